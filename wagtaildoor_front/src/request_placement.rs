//! Chooses an endpoint for a request from this host's current state.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        ModelId,
        ServiceId,
        WeightsVersion, //
    },
};

use crate::{
    block_store::BlockStore,
    endpoint::{
        Endpoint,
        EndpointKey, //
    },
    endpoint_limit::limit_news,
    engine_loads,
    engine_placement::{
        self,
        BlockSource,
        EngineCandidate,
        PlacementInput,
        PromptRequest,
        SharedPrefix,
        StoreCandidate, //
    },
    front::Front,
    plain_placement::{
        self,
        PlainCandidate, //
    },
    prefix_hash,
    route_table::account_isolation::SharingGroup,
    service_config::ServiceKind,
    wanted_weights::WantedWeights,
    weights_rollout,
    wire_codec::PromptHead,
};

/// Fraction of this host's equal share of an endpoint's connections that is used.
const CONNECTION_SHARE_FRACTION: f64 = 0.9;
/// Minimum number of connections that a host may open to an endpoint.
const MIN_CONNECTIONS: u32 = 4;
/// Upper bound of the random cost that breaks ties between plain endpoints, in milliseconds.
const TIE_BREAK_MS: f64 = 0.2;

/// Request properties that determine the choice of an endpoint.
#[derive(Debug)]
pub struct PlacementQuery<'a> {
    /// Services that can serve the request, in order of preference.
    pub services: &'a [&'a ServiceId],
    /// Prompt of the request; `None` for requests to plain services.
    pub prompt: Option<&'a PromptHead>,
    /// Accounts that share cached blocks with that of the request.
    pub group: SharingGroup<'a>,
    /// Endpoints that are excluded because they were already tried.
    pub tried: &'a [EndpointKey],
    /// Random value that breaks ties.
    pub draw: u64,
}

/// Endpoint that was chosen for a request.
#[derive(Debug)]
pub struct RequestPlacement {
    /// Chosen endpoint.
    pub endpoint: Rc<Endpoint>,
    /// Prompt placement; `None` for plain endpoints.
    pub engine: Option<EnginePlacement>,
    /// Expected cost of the choice in milliseconds; 0 for plain endpoints.
    pub cost_ms: f64,
    /// Number of prompt tokens that the endpoint is expected to prefill.
    pub prefill_tokens: u64,
}

/// Prompt-related part of a placement on an engine.
#[derive(Debug)]
pub struct EnginePlacement {
    /// Model that the request uses.
    pub model: ModelId,
    /// Weights version that the request must start with.
    pub weights: WeightsVersion,
    /// Salt that separates cached blocks of different models, weights and groups of accounts.
    pub cache_salt: Box<str>,
    /// Engine or block store from which cached blocks are fetched.
    pub source: Option<SocketAddr>,
    /// Block store that receives a copy of the blocks.
    pub copy_to: Option<Rc<BlockStore>>,
    /// Work that the engine has before this request, in tokens.
    pub queued_tokens: f64,
    /// Prefixes that the engine holds after it has prefilled the prompt.
    pub prefixes: Vec<SharedPrefix>,
}

/// Chooses an endpoint; returns `None` if no endpoint can take the request.
pub fn choose_endpoint(
    front: &Front,
    query: &PlacementQuery<'_>,
    now: BootInstant,
) -> Option<RequestPlacement> {
    let services = query.services.iter();
    let mut placements = services.filter_map(|service| match query.prompt {
        Some(prompt) if is_engine(front, service) => {
            choose_engine(front, service, prompt, query, now)
        }
        _ => choose_plain_endpoint(front, service, query, now),
    });
    placements.next()
}

/// Whether an engine that could take the request is loading weights, so that waiting may help.
pub fn is_load_in_progress(front: &Front, query: &PlacementQuery<'_>, now: BootInstant) -> bool {
    let Some(prompt) = query.prompt else {
        return false;
    };
    let directory = front.endpoints.borrow();
    let services = query.services.iter();
    let mut engines = services.flat_map(|service| directory.service_endpoints(service));
    engines.any(|engine| {
        is_usable(front, engine, u32::MAX, query.tried, now)
            && engine.is_loading(&prompt.model, now)
    })
}

/// Whether the endpoints of a service are engines.
fn is_engine(front: &Front, service: &ServiceId) -> bool {
    front.routes().is_some_and(|table| {
        let rule = table.service(service);
        rule.is_some_and(|rule| matches!(rule.kind, ServiceKind::Engine(_)))
    })
}

/// Number of connections that this host may open to one endpoint of a service.
fn connection_share(front: &Front, service: &ServiceId) -> u32 {
    let limit = front
        .routes()
        .and_then(|table| table.service(service).map(|rule| rule.connection_limit));
    let share = f64::from(limit.unwrap_or(u32::MAX)) * CONNECTION_SHARE_FRACTION
        / front.host_count() as f64;
    (share as u32).max(MIN_CONNECTIONS)
}

/// Whether an endpoint can take a request now.
fn is_usable(
    front: &Front,
    endpoint: &Endpoint,
    share: u32,
    tried: &[EndpointKey],
    now: BootInstant,
) -> bool {
    endpoint.is_accepting_requests()
        && !tried.contains(&endpoint.key)
        && !endpoint.health.borrow().is_down()
        && endpoint.load.borrow().own_requests() < share
        && limit_news::has_room(front, endpoint, now)
}

/// Chooses an engine for a prompt.
fn choose_engine(
    front: &Front,
    service: &ServiceId,
    prompt: &PromptHead,
    query: &PlacementQuery<'_>,
    now: BootInstant,
) -> Option<RequestPlacement> {
    let directory = front.endpoints.borrow();
    let endpoints = directory.service_endpoints(service);
    let share = connection_share(front, service);
    let mut candidates: Vec<EngineCandidate> = endpoints
        .iter()
        .map(|endpoint| {
            let usable = is_usable(front, endpoint, share, query.tried, now)
                && !endpoint.is_loading(&prompt.model, now);
            engine_candidate(front, endpoint, &prompt.model, usable, now)
        })
        .collect();
    let wanted = front.wanted_weights(&prompt.model);
    if let Some(wanted) = &wanted {
        assign_load_waves(front, &mut candidates, &prompt.model, wanted, now);
    }
    let prefixes = shared_prefixes(prompt, query.group, &candidates);
    let demand = PromptRequest {
        prefixes: &prefixes,
        tokens: prompt.tokens as f64,
        answer_tokens: prompt.answer_tokens,
        wanted: wanted.as_ref().map_or(0, |wanted| wanted.version),
    };
    let stores = front.block_stores.borrow();
    let stores: Vec<&Rc<BlockStore>> = stores.iter().filter(|store| store.is_up()).collect();
    let store_candidates: Vec<StoreCandidate> = stores
        .iter()
        .map(|store| StoreCandidate { key: store.key })
        .collect();
    let field = PlacementInput {
        engines: &candidates,
        stores: &store_candidates,
        prefix_index: &front.homes.borrow(),
        now,
    };
    let choice = engine_placement::choose_engine(&field, &demand, &front.settings.engines)?;
    let source = choice.source.map(|source| match source {
        BlockSource::Engine(index) => endpoints[index].address,
        BlockSource::Store(index) => stores[index].address,
    });
    let copy_to = choice.copy_to.map(|index| stores[index].clone());
    let chain = prefixes.into_iter().find(|(w, _)| *w == choice.weights);
    Some(RequestPlacement {
        endpoint: endpoints[choice.index].clone(),
        engine: Some(EnginePlacement {
            model: prompt.model.clone(),
            weights: choice.weights,
            cache_salt: query.group.cache_salt(&prompt.model, choice.weights),
            source,
            copy_to,
            queued_tokens: choice.queued_tokens,
            prefixes: chain.map_or_else(Vec::new, |(_, chain)| chain),
        }),
        cost_ms: choice.cost_ms,
        prefill_tokens: choice.prefill_tokens,
    })
}

/// Builds the input about one engine for the placement.
fn engine_candidate(
    front: &Front,
    endpoint: &Endpoint,
    model: &ModelId,
    usable: bool,
    now: BootInstant,
) -> EngineCandidate {
    let load = endpoint.load.borrow();
    EngineCandidate {
        key: endpoint.key,
        is_same_domain: endpoint.domain == front.settings.domain,
        domain: prefix_hash::text_hash(&endpoint.domain),
        weights: endpoint.weights(model),
        outdated_for: Duration::ZERO,
        prefill_tokens: load.total_prefill_tokens(now),
        waiting: load.others_waiting(now),
        requests: load.estimated_requests(now),
        slots: f64::from(load.slots()),
        failure_rate: endpoint.health.borrow().failure_rate(now),
        is_full: load.is_full(now),
        rollout_wave: 0,
        is_excluded: !usable,
    }
}

/// Assigns the age and the rollout wave of old weights; all hosts compute the same order.
fn assign_load_waves(
    front: &Front,
    candidates: &mut [EngineCandidate],
    model: &str,
    wanted: &WantedWeights,
    now: BootInstant,
) {
    let engines = candidates.len();
    let behind = candidates.iter_mut().filter(|c| c.weights < wanted.version);
    let mut behind: Vec<&mut EngineCandidate> = behind.collect();
    if behind.is_empty() {
        return;
    }
    for candidate in &mut behind {
        let outdated_since = wanted.outdated_since(candidate.weights);
        candidate.outdated_for = outdated_since.map_or(Duration::ZERO, |since| now.since(since));
    }
    let outdated = behind.iter().map(|candidate| candidate.outdated_for);
    let wave_size = engine_loads::concurrent_loads(front, model, engines, outdated);
    behind.sort_by_key(|candidate| {
        weights_rollout::rollout_rank(candidate.key, candidate.weights, wanted.version)
    });
    for (position, candidate) in behind.into_iter().enumerate() {
        candidate.rollout_wave = 1 + (position / wave_size) as u32;
    }
}

/// Shared prefixes of a prompt for each weights version that an engine has.
fn shared_prefixes(
    prompt: &PromptHead,
    group: SharingGroup<'_>,
    candidates: &[EngineCandidate],
) -> Vec<(WeightsVersion, Vec<SharedPrefix>)> {
    let mut versions: Vec<WeightsVersion> = candidates.iter().map(|c| c.weights).collect();
    versions.sort_unstable();
    versions.dedup();
    let (_, shared) = prompt.parts.split_last().unwrap_or((&EMPTY_PART, &[]));
    let prefix_chain = |weights| {
        let cache_salt = group.cache_salt(&prompt.model, weights);
        let ids = prefix_hash::prefix_ids(&cache_salt, shared.iter().map(|part| part.id));
        let mut tokens = 0.0;
        let chain = ids.into_iter().zip(shared).map(|(id, part)| {
            tokens += part.tokens as f64;
            SharedPrefix { id, tokens }
        });
        (weights, chain.collect())
    };
    versions.into_iter().map(prefix_chain).collect()
}

/// Replaces the last part of a prompt that has no parts.
const EMPTY_PART: crate::wire_codec::PromptPart =
    crate::wire_codec::PromptPart { id: 0, tokens: 0 };

/// Chooses an endpoint of a plain service.
fn choose_plain_endpoint(
    front: &Front,
    service: &ServiceId,
    query: &PlacementQuery<'_>,
    now: BootInstant,
) -> Option<RequestPlacement> {
    let directory = front.endpoints.borrow();
    let share = connection_share(front, service);
    let endpoints = directory.service_endpoints(service).iter();
    let usable: Vec<&Rc<Endpoint>> = endpoints
        .filter(|endpoint| is_usable(front, endpoint, share, query.tried, now))
        .collect();
    let candidates = usable.iter().map(|endpoint| {
        let load = endpoint.load.borrow();
        PlainCandidate {
            is_same_domain: endpoint.domain == front.settings.domain,
            requests: load.estimated_requests(now),
            slots: f64::from(load.slots()),
            failure_rate: endpoint.health.borrow().failure_rate(now),
            is_full: load.is_full(now),
        }
    });
    let tie_break_ms = |index: usize| {
        let random_value = prefix_hash::combine_hashes(query.draw, index as u64);
        random_value as f64 / u64::MAX as f64 * TIE_BREAK_MS
    };
    let index = plain_placement::choose_endpoint(candidates, &front.settings.plain, tie_break_ms)?;
    Some(RequestPlacement {
        endpoint: usable[index].clone(),
        engine: None,
        cost_ms: 0.0,
        prefill_tokens: 0,
    })
}

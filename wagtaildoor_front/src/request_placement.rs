//! Chooses where a request goes, from what the host knows at this moment.

use std::{
    net::SocketAddr,
    rc::Rc, //
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
    service_config::ServiceKind,
    weights_rollout,
    wire_codec::PromptHead,
};

/// Most of the connections to an endpoint that this host takes of its equal share.
const CONNECTION_SHARE_FRACTION: f64 = 0.9;
/// Connections that a host may have to an endpoint in any case.
const MIN_CONNECTIONS: u32 = 4;
/// Near ties between plain endpoints are settled by a draw of up to so many milliseconds.
const TIE_BREAK_MS: f64 = 0.2;

/// What decides where a request goes.
#[derive(Debug)]
pub struct PlacementQuery<'a> {
    /// Services that it may go to, in order.
    pub services: &'a [&'a ServiceId],
    /// Its prompt, if it has one.
    pub prompt: Option<&'a PromptHead>,
    /// Account whose cached blocks are kept apart.
    pub isolated: Option<&'a str>,
    /// Endpoints that must not get it again.
    pub tried: &'a [EndpointKey],
    /// A number that settles ties.
    pub draw: u64,
}

/// Where a request goes.
#[derive(Debug)]
pub struct RequestPlacement {
    /// Endpoint.
    pub endpoint: Rc<Endpoint>,
    /// For requests to models.
    pub engine: Option<EnginePlacement>,
    /// Expected cost of the choice, in milliseconds.
    pub cost_ms: f64,
    /// Tokens that the endpoint is expected to read.
    pub prefill_tokens: u64,
}

/// What an engine is told about the prompt.
#[derive(Debug)]
pub struct EnginePlacement {
    /// Model.
    pub model: ModelId,
    /// Weights that the request must begin under.
    pub weights: WeightsVersion,
    /// Text that keeps cached blocks apart.
    pub cache_salt: Box<str>,
    /// Where to fetch cached blocks from.
    pub source: Option<SocketAddr>,
    /// Store to send blocks to.
    pub copy_to: Option<Rc<BlockStore>>,
    /// Prefixes that the engine holds once it has read the prompt.
    pub prefixes: Vec<SharedPrefix>,
}

/// Chooses an endpoint; `None` if there is none that could take the request.
pub fn choose_endpoint(
    front: &Front,
    query: &PlacementQuery<'_>,
    now: BootInstant,
) -> Option<RequestPlacement> {
    let services = query.services.iter();
    let mut places = services.filter_map(|service| match query.prompt {
        Some(prompt) if is_engine(front, service) => {
            choose_engine(front, service, prompt, query, now)
        }
        _ => choose_plain_endpoint(front, service, query, now),
    });
    places.next()
}

/// Whether a service's endpoints are engines.
fn is_engine(front: &Front, service: &ServiceId) -> bool {
    front.routes().is_some_and(|table| {
        let rule = table.service(service);
        rule.is_some_and(|rule| matches!(rule.kind, ServiceKind::Engine(_)))
    })
}

/// Connections that this host may have to one endpoint of a service.
fn connection_share(front: &Front, service: &ServiceId) -> u32 {
    let limit = front
        .routes()
        .and_then(|table| table.service(service).map(|rule| rule.connection_limit));
    let share =
        f64::from(limit.unwrap_or(u32::MAX)) * CONNECTION_SHARE_FRACTION / front.hosts() as f64;
    (share as u32).max(MIN_CONNECTIONS)
}

/// Whether an endpoint could take a request now.
fn is_usable(endpoint: &Endpoint, share: u32, tried: &[EndpointKey]) -> bool {
    endpoint.is_accepting_requests()
        && !tried.contains(&endpoint.key)
        && !endpoint.health.borrow().is_down()
        && endpoint.load.borrow().own_requests() < share
}

/// Chooses an engine.
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
            let usable = is_usable(endpoint, share, query.tried);
            engine_candidate(front, endpoint, &prompt.model, usable, now)
        })
        .collect();
    let wanted = front.wanted_weights(&prompt.model);
    if let Some(wanted) = wanted {
        assign_load_waves(front, &mut candidates, wanted.version);
    }
    let prefixes = shared_prefixes(prompt, query.isolated, &candidates);
    let demand = PromptRequest {
        prefixes: &prefixes,
        tokens: prompt.tokens as f64,
        answer_tokens: prompt.answer_tokens,
        wanted: wanted.map_or(0, |wanted| wanted.version),
        wanted_age: wanted.map_or(std::time::Duration::ZERO, |wanted| now.since(wanted.since)),
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
            cache_salt: prefix_hash::cache_namespace(&prompt.model, choice.weights, query.isolated),
            source,
            copy_to,
            prefixes: chain.map_or_else(Vec::new, |(_, chain)| chain),
        }),
        cost_ms: choice.cost_ms,
        prefill_tokens: choice.prefill_tokens,
    })
}

/// An engine as the choice sees it.
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

/// Notes which engines load next; all hosts put them into the same order.
fn assign_load_waves(front: &Front, candidates: &mut [EngineCandidate], wanted: WeightsVersion) {
    let at_once = weights_rollout::max_concurrent_loads(candidates.len(), &front.settings.rollout);
    let behind = candidates.iter_mut().filter(|c| c.weights < wanted);
    let mut behind: Vec<&mut EngineCandidate> = behind.collect();
    behind.sort_by_key(|candidate| weights_rollout::rollout_rank(candidate.key, wanted));
    for (position, candidate) in behind.into_iter().enumerate() {
        candidate.rollout_wave = 1 + (position / at_once) as u32;
    }
}

/// Prefixes of a prompt under each version of weights that an engine has.
fn shared_prefixes(
    prompt: &PromptHead,
    isolated: Option<&str>,
    candidates: &[EngineCandidate],
) -> Vec<(WeightsVersion, Vec<SharedPrefix>)> {
    let mut versions: Vec<WeightsVersion> = candidates.iter().map(|c| c.weights).collect();
    versions.sort_unstable();
    versions.dedup();
    let (_, shared) = prompt.parts.split_last().unwrap_or((&EMPTY_PART, &[]));
    let chain_of = |weights| {
        let cache_salt = prefix_hash::cache_namespace(&prompt.model, weights, isolated);
        let ids = prefix_hash::prefix_ids(&cache_salt, shared.iter().map(|part| part.id));
        let mut tokens = 0.0;
        let chain = ids.into_iter().zip(shared).map(|(id, part)| {
            tokens += part.tokens as f64;
            SharedPrefix { id, tokens }
        });
        (weights, chain.collect())
    };
    versions.into_iter().map(chain_of).collect()
}

/// Stands for the missing last part of an empty prompt.
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
        .filter(|endpoint| is_usable(endpoint, share, query.tried))
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
    let tie = |index: usize| {
        let drawn = prefix_hash::combine_hashes(query.draw, index as u64);
        drawn as f64 / u64::MAX as f64 * TIE_BREAK_MS
    };
    let index = plain_placement::choose_endpoint(candidates, &front.settings.plain, tie)?;
    Some(RequestPlacement {
        endpoint: usable[index].clone(),
        engine: None,
        cost_ms: 0.0,
        prefill_tokens: 0,
    })
}

//! Chooses an engine for a prompt: queue, tokens to read, weights and distance against each other.

mod prompt_view;

use std::time::Duration;

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        PrefixId,
        WeightsVersion, //
    },
};

use crate::{
    endpoint::EndpointKey,
    prefix_index::PrefixIndex, //
};

use prompt_view::PromptView;

/// Times the expected cost that a request is taken to wait before it begins.
const BEGIN_TIMES: f64 = 2.0;

/// Tokens of an answer that takes longer than a wave of loads.
const LONG_ANSWER_TOKENS: u64 = 16;

/// Figures that the choice weighs.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePolicy {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Tokens of plain reading that a million pairs of prompt tokens cost.
    pub pair_tokens_per_million: f64,
    /// Tokens of an average request, for queues of which only the length is known.
    pub queued_request_tokens: f64,
    /// Cost of each request that runs at an engine, in milliseconds.
    pub running_ms: f64,
    /// Cost of each request beyond an engine's slots, in milliseconds.
    pub over_slots_ms: f64,
    /// Time to fetch a thousand tokens from another engine, in milliseconds.
    pub fetch_ms_per_1000: f64,
    /// Cost of one more copy of a prefix, in milliseconds.
    pub new_copy_ms: f64,
    /// Blocks go to a store when those of the request's own part are at most this share of those
    /// that others may use.
    pub copy_own_share: f64,
    /// Cost of reading a prefix away from its home, in milliseconds.
    pub away_from_home_ms: f64,
    /// Cost of another failure domain, in milliseconds.
    pub other_domain_ms: f64,
    /// Cost of an engine all of whose outcomes were failures, in milliseconds.
    pub failure_ms: f64,
    /// Cost of an engine that refused for lack of room a moment ago, in milliseconds.
    pub full_ms: f64,
    /// Cost of an engine whose weights change in the next wave of loads, for a prompt whose answer
    /// will still be under way then, in milliseconds.
    pub next_load_ms: f64,
    /// Time after which older weights begin to cost.
    pub old_weights_free: Duration,
    /// Cost of older weights from then on, in milliseconds.
    pub old_weights_ms: f64,
    /// Time after which no request may begin under older weights.
    pub old_weights_limit: Duration,
}

/// An engine that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Engine.
    pub key: EndpointKey,
    /// Whether it is in the host's failure domain.
    pub is_same_domain: bool,
    /// Hash of its failure domain's name.
    pub domain: u64,
    /// Weights that it serves the model with.
    pub weights: WeightsVersion,
    /// Work of reading that it has to do first, as [`EngineChoice::prefill_tokens`] counts it.
    pub prefill_tokens: f64,
    /// Requests that wait there without a known length.
    pub waiting: f64,
    /// Requests there.
    pub requests: f64,
    /// Requests that it works on at a time.
    pub slots: f64,
    /// Share of failures among its latest outcomes.
    pub failure_rate: f64,
    /// It refused for lack of room a moment ago, or is loading weights.
    pub is_full: bool,
    /// Waves of loads until its weights change; 0 when it is loading or has the newest.
    pub rollout_wave: u32,
    /// It must not get the request, but others may fetch blocks from it.
    pub is_excluded: bool,
}

/// A store of cached blocks that engines can reach.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCandidate {
    /// Store.
    pub key: EndpointKey,
}

/// Where an engine fetches cached blocks from, by its place among the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlockSource {
    /// Another engine.
    Engine(usize),
    /// A store.
    Store(usize),
}

/// What there is to choose from.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Engines.
    pub engines: &'a [EngineCandidate],
    /// Stores of cached blocks.
    pub stores: &'a [StoreCandidate],
    /// Who is known to hold which prefix.
    pub prefix_index: &'a PrefixIndex,
    /// Time of the choice.
    pub now: BootInstant,
}

/// The prompt that is to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptRequest<'a> {
    /// Prefixes of the prompt by weights, from the outside in, each with the tokens up to its end;
    /// the last part, which is the request's own, is left out.
    pub prefixes: &'a [(WeightsVersion, Vec<SharedPrefix>)],
    /// Tokens of the whole prompt.
    pub tokens: f64,
    /// Tokens of the answer at most.
    pub answer_tokens: u64,
    /// Newest weights that were named.
    pub wanted: WeightsVersion,
    /// Time since they were.
    pub wanted_age: Duration,
}

/// A prefix that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPrefix {
    /// Id.
    pub id: PrefixId,
    /// Tokens from the start of the prompt to its end.
    pub tokens: f64,
}

/// The choice.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// Place of the engine among the candidates.
    pub index: usize,
    /// Weights that it is expected to have.
    pub weights: WeightsVersion,
    /// Where it fetches cached blocks from.
    pub source: Option<BlockSource>,
    /// Store that it sends blocks to.
    pub copy_to: Option<usize>,
    /// Work of reading that is expected, in tokens at the start of a prompt; those far behind it
    /// take longer, since each is compared with all before it.
    pub prefill_tokens: u64,
    /// Expected cost, in milliseconds.
    pub cost_ms: f64,
}

/// What one engine would have to do for the prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PromptWork {
    /// Work of reading that it has to do, as [`EngineChoice::prefill_tokens`] counts it.
    read_work: f64,
    /// Tokens that it has to fetch.
    fetch_tokens: f64,
    /// Where from.
    source: Option<BlockSource>,
    /// It is where all hosts would read the prefix first, or already has it.
    is_home: bool,
}

/// Chooses an engine; `None` if no candidate may be used.
pub fn choose_engine(
    field: &PlacementInput<'_>,
    demand: &PromptRequest<'_>,
    policy: &EnginePolicy,
) -> Option<EngineChoice> {
    let views = demand.prefixes.iter();
    let views = views.map(|(weights, chain)| PromptView::new(field, *weights, chain));
    let views: Vec<PromptView<'_>> = views.collect();
    let none = PromptView::new(field, 0, &[]);
    let view_of = |weights| views.iter().find(|view| view.weights() == weights);
    let mut best: Option<EngineChoice> = None;
    for (index, candidate) in field.engines.iter().enumerate() {
        if candidate.is_excluded || candidate.weights == 0 {
            continue;
        }
        let view = view_of(candidate.weights).unwrap_or(&none);
        let work = prompt_work(index, view, demand, policy);
        let cost_ms = cost_ms(candidate, demand, &work, policy);
        if !may_use_weights(candidate, demand, cost_ms, policy) {
            continue;
        }
        if best.as_ref().is_none_or(|best| cost_ms < best.cost_ms) {
            best = Some(EngineChoice {
                index,
                weights: candidate.weights,
                source: work.source,
                copy_to: None,
                prefill_tokens: work.read_work as u64,
                cost_ms,
            });
        }
    }
    best.map(|mut best| {
        let view = view_of(best.weights);
        best.copy_to = view.and_then(|view| store_for_copy(view, demand, policy));
        best
    })
}

/// A store that should get the prompt's blocks: it does not hold the shared part yet, and what is
/// sent along beside it is not too much.
fn store_for_copy(
    view: &PromptView<'_>,
    demand: &PromptRequest<'_>,
    policy: &EnginePolicy,
) -> Option<usize> {
    let innermost = view.chain().last()?;
    let own = demand.tokens - innermost.tokens;
    if own > innermost.tokens * policy.copy_own_share {
        return None;
    }
    let store = view.home_store()?;
    (!view.is_in_store(store)).then_some(store)
}

/// Whether an engine's weights will be new enough when it begins the request.
fn may_use_weights(
    candidate: &EngineCandidate,
    demand: &PromptRequest<'_>,
    cost_ms: f64,
    policy: &EnginePolicy,
) -> bool {
    let begin = Duration::from_secs_f64(cost_ms.max(0.0) * BEGIN_TIMES / 1000.0);
    candidate.weights >= demand.wanted || demand.wanted_age + begin < policy.old_weights_limit
}

/// Cost of an engine for a prompt, in milliseconds.
fn cost_ms(
    candidate: &EngineCandidate,
    demand: &PromptRequest<'_>,
    work: &PromptWork,
    policy: &EnginePolicy,
) -> f64 {
    let queued = candidate.prefill_tokens + candidate.waiting * policy.queued_request_tokens;
    let mut cost = (queued + work.read_work) / policy.prefill_tokens_per_ms;
    cost += candidate.requests * policy.running_ms;
    cost += (candidate.requests + 1.0 - candidate.slots).max(0.0) * policy.over_slots_ms;
    cost += candidate.failure_rate * policy.failure_ms;
    if work.fetch_tokens > 0.0 {
        cost += work.fetch_tokens / 1000.0 * policy.fetch_ms_per_1000 + policy.new_copy_ms;
    }
    if !work.is_home {
        cost += policy.away_from_home_ms;
    }
    if !candidate.is_same_domain {
        cost += policy.other_domain_ms;
    }
    if candidate.is_full {
        cost += policy.full_ms;
    }
    if candidate.rollout_wave > 0 && demand.answer_tokens >= LONG_ANSWER_TOKENS {
        cost += policy.next_load_ms / f64::from(candidate.rollout_wave);
    }
    if candidate.weights < demand.wanted && demand.wanted_age > policy.old_weights_free {
        cost += policy.old_weights_ms;
    }
    cost
}

/// What an engine would have to do for a prompt.
fn prompt_work(
    index: usize,
    view: &PromptView<'_>,
    demand: &PromptRequest<'_>,
    policy: &EnginePolicy,
) -> PromptWork {
    let Some(innermost) = view.chain().len().checked_sub(1) else {
        return PromptWork {
            read_work: read_work(0.0, demand.tokens, policy),
            fetch_tokens: 0.0,
            source: None,
            is_home: true,
        };
    };
    let held = view.held(index);
    let held_tokens = held.map_or(0.0, |held| view.chain()[held].tokens);
    if held == Some(innermost) {
        // It may have evicted the prefix since: what is still there is not fetched again.
        return PromptWork {
            read_work: read_work(held_tokens, demand.tokens, policy),
            fetch_tokens: 0.0,
            source: view.known_source(innermost, index),
            is_home: true,
        };
    }
    let beyond = held.map_or(0, |held| held + 1)..=innermost;
    for prefix in beyond.rev() {
        if let Some(source) = view.known_source(prefix, index) {
            let tokens = view.chain()[prefix].tokens;
            return PromptWork {
                read_work: read_work(tokens, demand.tokens, policy),
                fetch_tokens: tokens - held_tokens,
                source: Some(source),
                is_home: false,
            };
        }
    }
    // Nobody is known to hold more. Other hosts read it at its home first, if they have at all.
    let is_home = view.home() == Some(index);
    let source = if is_home {
        view.home_store().map(BlockSource::Store)
    } else {
        view.home().map(BlockSource::Engine)
    };
    PromptWork {
        read_work: read_work(held_tokens, demand.tokens, policy),
        fetch_tokens: 0.0,
        source,
        is_home,
    }
}

/// Work of reading a prompt of which so many tokens are there, in tokens at its start.
fn read_work(held: f64, tokens: f64, policy: &EnginePolicy) -> f64 {
    let million_pairs = (tokens * tokens - held * held).max(0.0) / 1e6;
    (tokens - held).max(0.0) + million_pairs * policy.pair_tokens_per_million
}

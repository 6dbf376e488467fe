//! Chooses an engine for a prompt by queue, cached prefixes, weights version and distance.

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

/// Multiple of the estimated cost that a request is assumed to wait before it starts.
const START_DELAY_FACTOR: f64 = 2.0;

/// Response length in tokens from which generation outlasts a rollout wave.
const LONG_RESPONSE_TOKENS: u64 = 16;

/// Weights of the placement cost.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePolicy {
    /// Prefill throughput of an engine, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Attention cost of a million pairs of prompt tokens, in prefill tokens.
    pub pair_tokens_per_million: f64,
    /// Tokens of an average request, for queues of which only the length is known.
    pub queued_request_tokens: f64,
    /// Cost per request at the engine, in milliseconds.
    pub running_ms: f64,
    /// Cost per request beyond the engine's slots, in milliseconds.
    pub over_slots_ms: f64,
    /// Time to fetch the cache blocks of a thousand tokens from another engine, in milliseconds.
    pub fetch_ms_per_1000: f64,
    /// Cost of storing another copy of a prefix, in milliseconds.
    pub new_copy_ms: f64,
    /// Highest ratio of a prompt's own tokens to its shared tokens at which its blocks are copied
    /// to a store.
    pub copy_own_share: f64,
    /// Cost of prefilling a prefix at an engine other than its home, in milliseconds.
    pub away_from_home_ms: f64,
    /// Cost of an engine in another failure domain, in milliseconds.
    pub other_domain_ms: f64,
    /// Cost at a failure rate of 1, in milliseconds.
    pub failure_ms: f64,
    /// Cost of an engine that recently rejected a request for lack of capacity, in milliseconds.
    pub full_ms: f64,
    /// Cost of an engine in the next rollout wave for a prompt whose response would still be
    /// running when the weights are loaded, in milliseconds.
    pub next_load_ms: f64,
    /// Time after a weights change during which older weights cost nothing extra.
    pub old_weights_free: Duration,
    /// Cost of older weights after that time, in milliseconds.
    pub old_weights_ms: f64,
    /// Time after a weights change from which no request may start on older weights.
    pub old_weights_limit: Duration,
}

/// An engine of the requested service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Key of this start of the engine.
    pub key: EndpointKey,
    /// Whether the engine is in the host's failure domain.
    pub is_same_domain: bool,
    /// Hash of the engine's failure domain.
    pub domain: u64,
    /// Version of the weights that it serves the model with; 0 if it does not serve the model.
    pub weights: WeightsVersion,
    /// Time since a newer version was first wanted; zero if there is none.
    pub outdated_for: Duration,
    /// Pending prefill work in tokens, counted as in [`EngineChoice::prefill_tokens`].
    pub prefill_tokens: f64,
    /// Waiting requests of other hosts, whose prompt lengths are unknown.
    pub waiting: f64,
    /// Requests of all hosts at the engine.
    pub requests: f64,
    /// Requests that the engine processes concurrently.
    pub slots: f64,
    /// Recent failure rate, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the engine recently rejected a request for lack of capacity.
    pub is_full: bool,
    /// Rollout wave in which its weights change, starting from 1; 0 if it has the newest weights.
    pub rollout_wave: u32,
    /// Whether the engine must not get the request. Other engines may hold blocks from it.
    pub is_excluded: bool,
}

/// A reachable store of cached blocks.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCandidate {
    /// Key under which the prefix index lists the store as a holder.
    pub key: EndpointKey,
}

/// Source of cached blocks, as an index into the candidates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BlockSource {
    /// Index into [`PlacementInput::engines`].
    Engine(usize),
    /// Index into [`PlacementInput::stores`].
    Store(usize),
}

/// State that a placement decision is based on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Engines of the requested service.
    pub engines: &'a [EngineCandidate],
    /// Reachable stores of cached blocks.
    pub stores: &'a [StoreCandidate],
    /// Known holders of prompt prefixes.
    pub prefix_index: &'a PrefixIndex,
    /// Time of the decision.
    pub now: BootInstant,
}

/// A prompt to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptRequest<'a> {
    /// Prefixes of the prompt by weights version, shortest first. The whole prompt is not among
    /// them, since its last part belongs to this request alone.
    pub prefixes: &'a [(WeightsVersion, Vec<SharedPrefix>)],
    /// Tokens of the whole prompt.
    pub tokens: f64,
    /// Maximum number of response tokens.
    pub answer_tokens: u64,
    /// Newest version of the weights that the operator wants.
    pub wanted: WeightsVersion,
}

/// A prompt prefix that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPrefix {
    /// Hash of the prefix and its cache salt.
    pub id: PrefixId,
    /// Length of the prefix in tokens.
    pub tokens: f64,
}

/// The chosen engine, and the block transfers that it should make.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// Index into [`PlacementInput::engines`].
    pub index: usize,
    /// Version of the weights that the engine is expected to serve with.
    pub weights: WeightsVersion,
    /// Source from which the engine fetches cached blocks.
    pub source: Option<BlockSource>,
    /// Store to copy the prompt's blocks to, as an index into [`PlacementInput::stores`].
    pub copy_to: Option<usize>,
    /// Expected prefill work, in tokens at the start of a prompt. Later tokens count for more,
    /// since each attends to all tokens before it.
    pub prefill_tokens: u64,
    /// Work that the engine has before it, in tokens.
    pub queued_tokens: f64,
    /// Estimated cost, in milliseconds.
    pub cost_ms: f64,
}

/// Work that one engine would have to do for the prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PromptWork {
    /// Prefill work in tokens, counted as in [`EngineChoice::prefill_tokens`].
    prefill_work: f64,
    /// Tokens whose blocks the engine would fetch.
    fetch_tokens: f64,
    /// Source of those blocks, or of blocks that the engine may have evicted.
    source: Option<BlockSource>,
    /// Whether the engine is the prefix's home by rendezvous hashing, or holds the prefix already.
    is_home: bool,
}

/// Chooses the engine with the lowest cost; `None` if no candidate may be used.
pub fn choose_engine(
    input: &PlacementInput<'_>,
    request: &PromptRequest<'_>,
    policy: &EnginePolicy,
) -> Option<EngineChoice> {
    let views = request.prefixes.iter();
    let views = views.map(|(weights, chain)| PromptView::new(input, *weights, chain));
    let views: Vec<PromptView<'_>> = views.collect();
    let empty_view = PromptView::new(input, 0, &[]);
    let view_of = |weights| views.iter().find(|view| view.weights() == weights);
    let mut best: Option<EngineChoice> = None;
    for (index, candidate) in input.engines.iter().enumerate() {
        if candidate.is_excluded || candidate.weights == 0 {
            continue;
        }
        let view = view_of(candidate.weights).unwrap_or(&empty_view);
        let work = prompt_work(index, view, request, policy);
        let cost_ms = cost_ms(candidate, request, &work, policy);
        if !are_weights_usable(candidate, request, cost_ms, policy) {
            continue;
        }
        if best.as_ref().is_none_or(|best| cost_ms < best.cost_ms) {
            best = Some(EngineChoice {
                index,
                weights: candidate.weights,
                source: work.source,
                copy_to: None,
                prefill_tokens: work.prefill_work as u64,
                queued_tokens: queued_tokens(candidate, policy),
                cost_ms,
            });
        }
    }
    best.map(|mut best| {
        let view = view_of(best.weights);
        best.copy_to = view.and_then(|view| copy_target(view, request, policy));
        best
    })
}

/// Returns the store that the prompt's blocks should be copied to. `None` if it already holds the
/// shared prefix, or if the prompt's own blocks would make up too much of the transfer.
fn copy_target(
    view: &PromptView<'_>,
    request: &PromptRequest<'_>,
    policy: &EnginePolicy,
) -> Option<usize> {
    let longest = view.chain().last()?;
    let own_tokens = request.tokens - longest.tokens;
    if own_tokens > longest.tokens * policy.copy_own_share {
        return None;
    }
    let store = view.home_store()?;
    (!view.is_held_by_store(store)).then_some(store)
}

/// Whether the engine's weights will still be recent enough when the request starts.
fn are_weights_usable(
    candidate: &EngineCandidate,
    request: &PromptRequest<'_>,
    cost_ms: f64,
    policy: &EnginePolicy,
) -> bool {
    let start_delay = Duration::from_secs_f64(cost_ms.max(0.0) * START_DELAY_FACTOR / 1000.0);
    candidate.weights >= request.wanted
        || candidate.outdated_for + start_delay < policy.old_weights_limit
}

/// Work that an engine has to do before a new request, in tokens.
fn queued_tokens(candidate: &EngineCandidate, policy: &EnginePolicy) -> f64 {
    candidate.prefill_tokens + candidate.waiting * policy.queued_request_tokens
}

/// Estimated cost of an engine for a prompt, in milliseconds.
fn cost_ms(
    candidate: &EngineCandidate,
    request: &PromptRequest<'_>,
    work: &PromptWork,
    policy: &EnginePolicy,
) -> f64 {
    let queued_tokens = queued_tokens(candidate, policy);
    let mut cost = (queued_tokens + work.prefill_work) / policy.prefill_tokens_per_ms;
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
    if candidate.rollout_wave > 0 && request.answer_tokens >= LONG_RESPONSE_TOKENS {
        cost += policy.next_load_ms / f64::from(candidate.rollout_wave);
    }
    if candidate.weights < request.wanted && candidate.outdated_for > policy.old_weights_free {
        cost += policy.old_weights_ms;
    }
    cost
}

/// Estimates the work that a prompt causes at an engine.
fn prompt_work(
    index: usize,
    view: &PromptView<'_>,
    request: &PromptRequest<'_>,
    policy: &EnginePolicy,
) -> PromptWork {
    let Some(longest) = view.chain().len().checked_sub(1) else {
        return PromptWork {
            prefill_work: prefill_work(0.0, request.tokens, policy),
            fetch_tokens: 0.0,
            source: None,
            is_home: true,
        };
    };
    let held = view.longest_held(index);
    let held_tokens = held.map_or(0.0, |held| view.chain()[held].tokens);
    if held == Some(longest) {
        // The engine may have evicted the prefix since, so it gets another source. It does not
        // fetch blocks that it still has.
        return PromptWork {
            prefill_work: prefill_work(held_tokens, request.tokens, policy),
            fetch_tokens: 0.0,
            source: view.find_source(longest, index),
            is_home: true,
        };
    }
    let unheld = held.map_or(0, |held| held + 1)..=longest;
    for prefix in unheld.rev() {
        if let Some(source) = view.find_source(prefix, index) {
            let tokens = view.chain()[prefix].tokens;
            return PromptWork {
                prefill_work: prefill_work(tokens, request.tokens, policy),
                fetch_tokens: tokens - held_tokens,
                source: Some(source),
                is_home: false,
            };
        }
    }
    // No engine is known to hold more. If another host has placed the prefix, it chose the home.
    let is_home = view.home() == Some(index);
    let source = if is_home {
        view.home_store().map(BlockSource::Store)
    } else {
        view.home().map(BlockSource::Engine)
    };
    PromptWork {
        prefill_work: prefill_work(held_tokens, request.tokens, policy),
        fetch_tokens: 0.0,
        source,
        is_home,
    }
}

/// Prefill work of a prompt whose first `held` tokens are cached, in tokens at its start.
fn prefill_work(held: f64, tokens: f64, policy: &EnginePolicy) -> f64 {
    let million_pairs = (tokens * tokens - held * held).max(0.0) / 1e6;
    (tokens - held).max(0.0) + million_pairs * policy.pair_tokens_per_million
}

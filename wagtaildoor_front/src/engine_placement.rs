//! Chooses an engine for a prompt: queue, tokens to read, weights and distance against each other.

use std::time::Duration;

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        PrefixId,
        WeightsVersion, //
    },
    rendezvous::{
        self,
        HomeMember, //
    },
    residency::SlotIndex,
};

use crate::{
    endpoint::EndpointKey,
    prompt_homes::PromptHomes, //
};

/// Times the expected cost that a request is taken to wait before it begins.
const BEGIN_TIMES: f64 = 2.0;

/// Figures that the choice weighs.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePolicy {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
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
    /// Cost of reading a prefix away from its home, in milliseconds.
    pub away_from_home_ms: f64,
    /// Cost of another failure domain, in milliseconds.
    pub other_domain_ms: f64,
    /// Cost of an engine all of whose outcomes were failures, in milliseconds.
    pub failure_ms: f64,
    /// Cost of an engine that refused for lack of room a moment ago, in milliseconds.
    pub full_ms: f64,
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
    pub is_near: bool,
    /// Hash of its failure domain's name.
    pub domain: u64,
    /// Weights that it serves the model with.
    pub weights: WeightsVersion,
    /// Prompt tokens that it has to read first.
    pub prefill_tokens: f64,
    /// Requests that wait there without a known length.
    pub waiting: f64,
    /// Requests there.
    pub requests: f64,
    /// Requests that it works on at a time.
    pub slots: f64,
    /// Share of failures among its latest outcomes.
    pub failure_share: f64,
    /// It refused for lack of room a moment ago, or is loading weights.
    pub is_full: bool,
    /// It must not get the request, but others may fetch blocks from it.
    pub is_excluded: bool,
}

/// The prompt that is to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineDemand<'a> {
    /// Prefixes of the prompt by weights, from the outside in, each with the tokens up to its end;
    /// the last part, which is the request's own, is left out.
    pub prefixes: &'a [(WeightsVersion, Vec<SharedPrefix>)],
    /// Tokens of the whole prompt.
    pub tokens: f64,
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
    /// Place of the engine to fetch cached blocks from.
    pub source: Option<usize>,
    /// Tokens that it is expected to read.
    pub prefill_tokens: u64,
    /// Expected cost, in milliseconds.
    pub cost_ms: f64,
}

/// What one engine would have to do for the prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PromptWork {
    /// Tokens that it has to read.
    read_tokens: f64,
    /// Tokens that it has to fetch.
    fetch_tokens: f64,
    /// Where from.
    source: Option<usize>,
    /// It is where all hosts would read the prefix first, or already has it.
    is_home: bool,
}

/// Chooses an engine; `None` if no candidate may be used.
pub fn choose(
    candidates: &[EngineCandidate],
    demand: &EngineDemand<'_>,
    homes: &PromptHomes,
    policy: &EnginePolicy,
    now: BootInstant,
) -> Option<EngineChoice> {
    let mut best: Option<EngineChoice> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.is_excluded || candidate.weights == 0 {
            continue;
        }
        let work = prompt_work(index, candidates, demand, homes, now);
        let cost_ms = cost_ms(candidate, demand, &work, policy);
        if !may_use_weights(candidate, demand, cost_ms, policy) {
            continue;
        }
        if best.as_ref().is_none_or(|best| cost_ms < best.cost_ms) {
            best = Some(EngineChoice {
                index,
                weights: candidate.weights,
                source: work.source,
                prefill_tokens: work.read_tokens as u64,
                cost_ms,
            });
        }
    }
    best
}

/// Whether an engine's weights will be new enough when it begins the request.
fn may_use_weights(
    candidate: &EngineCandidate,
    demand: &EngineDemand<'_>,
    cost_ms: f64,
    policy: &EnginePolicy,
) -> bool {
    let begin = Duration::from_secs_f64(cost_ms.max(0.0) * BEGIN_TIMES / 1000.0);
    candidate.weights >= demand.wanted || demand.wanted_age + begin < policy.old_weights_limit
}

/// Cost of an engine for a prompt, in milliseconds.
fn cost_ms(
    candidate: &EngineCandidate,
    demand: &EngineDemand<'_>,
    work: &PromptWork,
    policy: &EnginePolicy,
) -> f64 {
    let queued = candidate.prefill_tokens + candidate.waiting * policy.queued_request_tokens;
    let mut cost = (queued + work.read_tokens) / policy.prefill_tokens_per_ms;
    cost += candidate.requests * policy.running_ms;
    cost += (candidate.requests + 1.0 - candidate.slots).max(0.0) * policy.over_slots_ms;
    cost += candidate.failure_share * policy.failure_ms;
    if work.fetch_tokens > 0.0 {
        cost += work.fetch_tokens / 1000.0 * policy.fetch_ms_per_1000 + policy.new_copy_ms;
    }
    if !work.is_home {
        cost += policy.away_from_home_ms;
    }
    if !candidate.is_near {
        cost += policy.other_domain_ms;
    }
    if candidate.is_full {
        cost += policy.full_ms;
    }
    if candidate.weights < demand.wanted && demand.wanted_age > policy.old_weights_free {
        cost += policy.old_weights_ms;
    }
    cost
}

/// What an engine would have to do for a prompt.
fn prompt_work(
    index: usize,
    candidates: &[EngineCandidate],
    demand: &EngineDemand<'_>,
    homes: &PromptHomes,
    now: BootInstant,
) -> PromptWork {
    let candidate = &candidates[index];
    let by_weights = demand.prefixes.iter();
    let mut by_weights = by_weights.filter(|(weights, _)| *weights == candidate.weights);
    let prefixes = by_weights.next().map_or(&[][..], |(_, chain)| chain);
    let held = prefixes
        .iter()
        .rev()
        .find(|prefix| homes.holder(prefix.id, candidate.key, now).is_some());
    let held_tokens = held.map_or(0.0, |prefix| prefix.tokens);
    let Some(innermost) = prefixes.last() else {
        return PromptWork {
            read_tokens: demand.tokens,
            fetch_tokens: 0.0,
            source: None,
            is_home: true,
        };
    };
    if held_tokens >= innermost.tokens {
        return PromptWork {
            read_tokens: demand.tokens - held_tokens,
            fetch_tokens: 0.0,
            source: None,
            is_home: true,
        };
    }
    let beyond = prefixes
        .iter()
        .rev()
        .filter(|prefix| prefix.tokens > held_tokens);
    for prefix in beyond {
        if let Some(source) = known_source(prefix.id, index, candidates, homes, now) {
            return PromptWork {
                read_tokens: demand.tokens - prefix.tokens,
                fetch_tokens: prefix.tokens - held_tokens,
                source: Some(source),
                is_home: false,
            };
        }
    }
    // Nobody is known to hold more. Other hosts read it at its home first, if they have at all.
    let home = home(innermost.id, candidates, candidate.weights, None);
    let is_home = home == Some(index);
    let source = if is_home {
        self::home(innermost.id, candidates, candidate.weights, Some(index))
    } else {
        home
    };
    PromptWork {
        read_tokens: demand.tokens - held_tokens,
        fetch_tokens: 0.0,
        source,
        is_home,
    }
}

/// An engine with the same weights that is known to have read a prefix, a near one first.
fn known_source(
    prefix: PrefixId,
    index: usize,
    candidates: &[EngineCandidate],
    homes: &PromptHomes,
    now: BootInstant,
) -> Option<usize> {
    let target = &candidates[index];
    let mut far = None;
    for holder in homes.holders(prefix, now).filter(|holder| holder.is_read) {
        let place = candidates.iter().position(|c| c.key == holder.endpoint);
        let Some(place) = place.filter(|&place| place != index) else {
            continue;
        };
        if candidates[place].weights != target.weights {
            continue;
        }
        if candidates[place].domain == target.domain {
            return Some(place);
        }
        far = far.or(Some(place));
    }
    far
}

/// The engine at which all hosts would read a prefix first.
fn home(
    prefix: PrefixId,
    candidates: &[EngineCandidate],
    weights: WeightsVersion,
    except: Option<usize>,
) -> Option<usize> {
    let members = candidates.iter().enumerate();
    let members = members.filter(|(index, c)| c.weights == weights && Some(*index) != except);
    let members = members.map(|(index, c)| HomeMember {
        slot: index as SlotIndex,
        hash: c.key,
    });
    rendezvous::first_home(prefix, members).map(|slot| slot as usize)
}

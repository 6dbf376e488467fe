//! What placement is asked, what it answers, and how candidates are scored.

use std::{
    fmt,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    cache_estimate::CacheEstimate,
    ids::{
        BootId,
        EndpointId,
        WeightsVersion, //
    },
    prefix::LevelPrefix,
    residency::SlotIndex,
};

/// A request that needs an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Pool that serves it.
    pub pool: &'a str,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Weights it must run on; 0 takes any.
    pub weights_version: WeightsVersion,
    /// Shared levels of its prompt, from the outside in.
    pub levels: &'a [LevelPrefix],
    /// Estimated tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// When the answer must have begun.
    pub deadline: Instant,
    /// Endpoints that must not get it.
    pub exclude: &'a [EndpointId],
}

/// Where a request goes, and why.
#[derive(Clone, Debug)]
pub struct PlacementChoice {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Its start, as last known; empty before its first word.
    pub boot_id: BootId,
    /// Why it was chosen.
    pub reason: PlacementReason,
    /// Expected wait before its prefill starts.
    pub expected_wait: Duration,
    /// Expected time to its first token.
    pub expected_first_token: Duration,
    /// Prompt tokens expected in its cache.
    pub expected_cached_tokens: u64,
    /// Weights the request must run on.
    pub weights_version: WeightsVersion,
    /// Estimated tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Endpoint to import shared levels from before the request goes, when that is cheaper than
    /// prefill.
    pub import_from: Option<SocketAddr>,
    /// What was believed of its cache.
    pub(crate) estimate: CacheEstimate,
    /// Levels of the request, for the tables.
    pub(crate) levels: Box<[LevelPrefix]>,
    /// Place of the endpoint in the tables.
    pub(crate) slot: SlotIndex,
    /// Use of that place, which another endpoint may take later.
    pub(crate) slot_generation: u32,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// It holds shared levels of the prompt.
    HoldsPrefix {
        /// Tokens it is expected to hold.
        cached_tokens: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
    },
    /// A request with the same levels is on its way there.
    PrefixOnItsWay,
    /// No endpoint in reach holds the levels, and this one is their home.
    PrefixHome,
    /// Others hold levels of the prompt, but waiting for them would take longer.
    HoldersBusy {
        /// Expected wait at the best holder.
        holder_wait: Duration,
    },
    /// It imports the levels from an endpoint that is busy.
    ImportsPrefix,
    /// Nothing is shared, and it has the shortest expected wait of those compared.
    ShortestWait,
}

impl fmt::Display for PlacementReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlacementReason::HoldsPrefix {
                cached_tokens,
                prompt_tokens,
            } => write!(
                f,
                "it already holds about {cached_tokens} of the prompt's {prompt_tokens} tokens"
            ),
            PlacementReason::PrefixOnItsWay => {
                write!(
                    f,
                    "a request with the same shared prompt was just sent to it"
                )
            }
            PlacementReason::PrefixHome => write!(
                f,
                "no endpoint is known to hold the shared prompt, and this one is its usual place"
            ),
            PlacementReason::HoldersBusy { holder_wait } => write!(
                f,
                "the endpoints that hold the shared prompt have a queue of about {} ms, \
                 and this one answers sooner",
                holder_wait.as_millis()
            ),
            PlacementReason::ImportsPrefix => write!(
                f,
                "it takes the shared prompt over from a busy endpoint, which is faster than \
                 reading it again"
            ),
            PlacementReason::ShortestWait => {
                write!(
                    f,
                    "no shared prompt counts here, and this one has the shortest queue"
                )
            }
        }
    }
}

/// How candidates are chosen and scored.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Homes of each level that are always compared.
    pub homes: usize,
    /// Most homes of a level in great demand.
    pub max_homes: usize,
    /// Requests for a level within its half-life that earn it one more home.
    pub demand_per_home: f32,
    /// Random endpoints that are compared.
    pub random_candidates: usize,
    /// Endpoints of a pool up to which all of them are compared.
    pub compare_all_limit: usize,
    /// Cost of going to another failure domain.
    pub cross_domain_cost: Duration,
    /// Cost of missed tokens to later requests, as a part of their prefill time.
    pub displacement: f64,
    /// Wait at an endpoint at which that cost is twice as high, since more requests come before
    /// its queue is empty.
    pub displacement_wait: Duration,
    /// Belief that an endpoint holds what was confirmed before missed events, likewise.
    pub initial_stale_accuracy: f64,
    /// Belief that an endpoint will hold what is on its way there, likewise.
    pub initial_pending_accuracy: f64,
    /// Belief that the home of a level holds it when no endpoint is known to, before answers
    /// tell how often it is right.
    pub initial_home_accuracy: f64,
    /// Own requests that one endpoint may have at a time.
    pub endpoint_in_flight: u32,
    /// Tokens imported a second; `None` where engines cannot import.
    pub import_tokens_per_s: Option<f64>,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            homes: 2,
            max_homes: 6,
            demand_per_home: 60.0,
            random_candidates: 2,
            compare_all_limit: 24,
            cross_domain_cost: Duration::from_millis(3),
            displacement: 0.05,
            displacement_wait: Duration::from_millis(100),
            initial_stale_accuracy: 0.7,
            initial_pending_accuracy: 0.99,
            initial_home_accuracy: 0.8,
            endpoint_in_flight: 64,
            import_tokens_per_s: None,
        }
    }
}

/// An endpoint that is compared with others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementCandidate {
    /// Endpoint.
    pub slot: SlotIndex,
    /// What is believed of its cache.
    pub estimate: CacheEstimate,
    /// Tokens to count on in its cache.
    pub cached_tokens: f64,
    /// Rank among the homes of the innermost level; lower goes first on equal cost.
    pub rank: u32,
}

/// What a candidate would cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateCost {
    /// Expected wait before prefill.
    pub wait: Duration,
    /// Expected time to the first token.
    pub first_token: Duration,
    /// Score that is compared.
    pub score: f64,
    /// Whether the levels are imported.
    pub imports: bool,
}

/// Inputs of a candidate's cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostInputs {
    /// Expected wait before prefill.
    pub wait: Duration,
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Tokens believed to be in the candidate's cache.
    pub cached_tokens: f64,
    /// Most tokens believed to be in any candidate's cache.
    pub max_cached_tokens: f64,
    /// Prompt tokens prefilled a second.
    pub prefill_tokens_per_s: f64,
    /// Whether it stands in another failure domain.
    pub cross_domain: bool,
}

impl PlacementPolicy {
    /// Score of an endpoint by wait and prefill time there, in seconds; the lowest is best.
    pub fn score(&self, wait_s: f64, prefill_s: f64) -> f64 {
        let crowding = 1.0 + wait_s / self.displacement_wait.as_secs_f64();
        wait_s + prefill_s * (1.0 + self.displacement * crowding)
    }

    /// What a candidate would cost.
    pub(crate) fn cost(&self, inputs: &CostInputs) -> CandidateCost {
        let missed = (inputs.prompt_tokens - inputs.cached_tokens).max(0.0);
        let prefill_s = missed / inputs.prefill_tokens_per_s;
        let import_s = self.import_time(inputs);
        let imports = import_s.is_some_and(|time| time < prefill_s);
        let ready_s = match import_s {
            Some(time) if imports => time,
            _ => prefill_s,
        };
        let wait_s = inputs.wait.as_secs_f64();
        let domain_s = match inputs.cross_domain {
            true => self.cross_domain_cost.as_secs_f64(),
            false => 0.0,
        };
        CandidateCost {
            wait: inputs.wait,
            first_token: Duration::from_secs_f64(wait_s + ready_s + domain_s),
            score: self.score(wait_s, ready_s) + domain_s,
            imports,
        }
    }

    /// Time to import what others hold and to prefill the rest, in seconds.
    fn import_time(&self, inputs: &CostInputs) -> Option<f64> {
        let rate = self.import_tokens_per_s?;
        let imported = inputs.max_cached_tokens - inputs.cached_tokens;
        if imported <= 0.0 {
            return None;
        }
        let rest = (inputs.prompt_tokens - inputs.max_cached_tokens).max(0.0);
        Some(imported / rate + rest / inputs.prefill_tokens_per_s)
    }
}

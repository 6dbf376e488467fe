//! Placement queries and choices, and the policy that scores candidate endpoints.

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

/// A request to be placed on an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Pool that serves the request.
    pub pool: &'a str,
    /// Failure domain of this entry.
    pub domain: &'a str,
    /// Required weights; 0 accepts any.
    pub weights_version: WeightsVersion,
    /// Shared prompt levels, outermost first.
    pub levels: &'a [LevelPrefix],
    /// Estimated tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Latest time of the first token.
    pub deadline: Instant,
    /// Endpoints that must not be chosen.
    pub exclude: &'a [EndpointId],
}

/// Endpoint for the next attempt, and why it was preferred.
#[derive(Clone, Debug)]
pub struct PlacementChoice {
    /// Chosen endpoint.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Last known start of the endpoint; empty before its first report.
    pub boot_id: BootId,
    /// What decided between this endpoint and the others, for explanations.
    pub reason: PlacementReason,
    /// Expected wait before the prefill starts.
    pub expected_wait: Duration,
    /// Expected time to first token.
    pub expected_first_token: Duration,
    /// Prompt tokens expected in the endpoint's cache.
    pub expected_cached_tokens: u64,
    /// Weights the request must run on; 0 accepts any.
    pub weights_version: WeightsVersion,
    /// Estimated tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Endpoint to import the shared levels from before the request is sent, if that is cheaper
    /// than prefill.
    pub import_from: Option<SocketAddr>,
    /// Estimate of the endpoint's cache.
    pub(crate) estimate: CacheEstimate,
    /// Shared prompt levels, outermost first.
    pub(crate) levels: Box<[LevelPrefix]>,
    /// Slot of the endpoint in the routing table.
    pub(crate) slot: SlotIndex,
    /// Generation of the slot, since the slot may be reused for another endpoint.
    pub(crate) slot_generation: u32,
}

/// Reason why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// Its cache holds shared levels of the prompt.
    HoldsPrefix {
        /// Prompt tokens expected in its cache.
        cached_tokens: u64,
        /// Estimated tokens of the whole prompt.
        prompt_tokens: u64,
    },
    /// A request with the same levels is in flight to it.
    PrefixPending,
    /// No compared endpoint is known to hold the levels, and it is their rendezvous home.
    PrefixHome,
    /// Other endpoints hold levels of the prompt, but their expected wait is too long.
    HoldersBusy {
        /// Shortest expected wait of the holders.
        holder_wait: Duration,
    },
    /// It imports the levels from a busy endpoint.
    ImportsPrefix,
    /// The prompt has no shared levels, and it has the shortest expected wait.
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
            PlacementReason::PrefixPending => {
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

/// Policy for the choice and scoring of candidates.
#[derive(Clone, Copy, Debug)]
pub struct PlacementPolicy {
    /// Homes of a level that are always compared.
    pub homes: usize,
    /// Maximum number of homes for a level in high demand.
    pub max_homes: usize,
    /// Decayed request count of a level for which one more home is compared.
    pub demand_per_home: f32,
    /// Random endpoints that are compared in addition.
    pub random_candidates: usize,
    /// Pool size up to which all endpoints are compared.
    pub compare_all_limit: usize,
    /// Penalty for an endpoint in another failure domain.
    pub cross_domain_cost: Duration,
    /// Penalty for uncached tokens, as a fraction of their prefill time, since their prefill delays
    /// later requests.
    pub displacement: f64,
    /// Wait at which the displacement penalty doubles, since more requests arrive before the queue
    /// is empty.
    pub displacement_wait: Duration,
    /// Initial accuracy of estimates from before missed cache events, between 0 and 1.
    pub initial_stale_accuracy: f64,
    /// Initial accuracy of estimates from requests in flight, between 0 and 1.
    pub initial_pending_accuracy: f64,
    /// Initial accuracy of estimates for a home of a level without known holder, between 0 and 1.
    pub initial_home_accuracy: f64,
    /// Maximum requests of this entry in flight to one endpoint.
    pub endpoint_in_flight: u32,
    /// Tokens imported per second; `None` if engines cannot import.
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
    pub slot: SlotIndex,
    pub estimate: CacheEstimate,
    /// Expected tokens in its cache, weighted by the accuracy of the estimate.
    pub cached_tokens: f64,
    /// Rank among the homes of the prompt; the lower one wins on equal scores.
    pub rank: u32,
}

/// Estimated cost of a candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateCost {
    /// Expected wait before prefill.
    pub wait: Duration,
    /// Expected time to first token.
    pub first_token: Duration,
    /// Score in seconds; the lowest wins.
    pub score: f64,
    /// Whether the levels are imported from another endpoint.
    pub imports: bool,
}

/// Inputs of a cost estimate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CostInputs {
    /// Expected wait before prefill.
    pub wait: Duration,
    pub prompt_tokens: f64,
    /// Expected tokens in the candidate's cache.
    pub cached_tokens: f64,
    /// Most expected tokens in any candidate's cache.
    pub max_cached_tokens: f64,
    pub prefill_tokens_per_s: f64,
    /// Whether the endpoint is in another failure domain than this entry.
    pub cross_domain: bool,
}

impl PlacementPolicy {
    /// Scores an endpoint by its expected wait and prefill time in seconds; the lowest wins.
    pub fn score(&self, wait_s: f64, prefill_s: f64) -> f64 {
        let crowding = 1.0 + wait_s / self.displacement_wait.as_secs_f64();
        wait_s + prefill_s * (1.0 + self.displacement * crowding)
    }

    /// Estimates the cost of a candidate.
    pub(crate) fn cost(&self, inputs: &CostInputs) -> CandidateCost {
        let uncached_tokens = (inputs.prompt_tokens - inputs.cached_tokens).max(0.0);
        let prefill_s = uncached_tokens / inputs.prefill_tokens_per_s;
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

    /// Returns the seconds to import what another endpoint holds and to prefill the rest; `None` if
    /// import is not possible or gains nothing.
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

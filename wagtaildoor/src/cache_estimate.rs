//! Estimates of cached prompt tokens, and their accuracy as measured from responses.

use crate::placement::PlacementPolicy;

/// Weight of one response in the measured accuracy.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Evidence that an endpoint has tokens of a prompt in its cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvidenceKind {
    /// A response or cache event showed the tokens in the cache, and no event was missed since.
    Confirmed,
    /// The tokens were in the cache, but cache events were missed since.
    Stale,
    /// A request with the same levels is in flight to the endpoint.
    Pending,
    /// The endpoint is the rendezvous home of the levels, so other hosts would send them there.
    Home,
    /// No evidence.
    None,
}

/// Estimate of the prompt tokens in an endpoint's cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheEstimate {
    /// Evidence for the estimate.
    pub kind: EvidenceKind,
    /// Cached tokens if the estimate is wrong.
    pub min_tokens: f64,
    /// Cached tokens if the estimate is right.
    pub max_tokens: f64,
}

/// Accuracy of each kind of evidence in one pool, as a running mean between 0 and 1.
#[derive(Clone, Copy, Debug)]
pub struct EstimateAccuracy {
    confirmed: f64,
    stale: f64,
    pending: f64,
    home: f64,
}

impl CacheEstimate {
    /// The estimate for an endpoint without evidence: no cached tokens.
    pub const NONE: CacheEstimate = CacheEstimate {
        kind: EvidenceKind::None,
        min_tokens: 0.0,
        max_tokens: 0.0,
    };
}

impl EstimateAccuracy {
    /// Creates the initial accuracy from the policy; confirmed holders start at 1.
    pub fn new(policy: &PlacementPolicy) -> Self {
        Self {
            confirmed: 1.0,
            stale: policy.initial_stale_accuracy,
            pending: policy.initial_pending_accuracy,
            home: policy.initial_home_accuracy,
        }
    }

    /// Returns the expected number of cached tokens, weighted by the accuracy of the evidence.
    pub fn expected_tokens(&self, estimate: &CacheEstimate) -> f64 {
        let rate = match estimate.kind {
            EvidenceKind::Confirmed => self.confirmed,
            EvidenceKind::Stale => self.stale,
            EvidenceKind::Pending => self.pending,
            EvidenceKind::Home => self.home,
            EvidenceKind::None => 0.0,
        };
        estimate.min_tokens + rate * (estimate.max_tokens - estimate.min_tokens)
    }

    /// Updates the accuracy with the tokens that a response reported as cached.
    ///
    /// Does nothing if the estimate has no evidence or no range.
    pub fn record_outcome(&mut self, estimate: &CacheEstimate, found_tokens: f64) {
        let span = estimate.max_tokens - estimate.min_tokens;
        if span <= 0.0 {
            return;
        }
        let rate = match estimate.kind {
            EvidenceKind::Confirmed => &mut self.confirmed,
            EvidenceKind::Stale => &mut self.stale,
            EvidenceKind::Pending => &mut self.pending,
            EvidenceKind::Home => &mut self.home,
            EvidenceKind::None => return,
        };
        let share = ((found_tokens - estimate.min_tokens) / span).clamp(0.0, 1.0);
        *rate += (share - *rate) * SAMPLE_WEIGHT;
    }
}

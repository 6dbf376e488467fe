//! How far beliefs about caches are right, learnt from answers.

use crate::placement::PlacementPolicy;

/// Part that one answer has in what is learnt.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Why an endpoint is believed to hold tokens of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvidenceKind {
    /// An answer or event said so, and no event was missed since.
    Confirmed,
    /// Events were missed since.
    Stale,
    /// A request with the same levels is on its way there.
    Pending,
    /// All hosts would have sent the levels there.
    Home,
    /// There is no reason.
    None,
}

/// Tokens of a prompt that an endpoint is believed to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheEstimate {
    /// Why.
    pub kind: EvidenceKind,
    /// Tokens it holds in any case.
    pub min_tokens: f64,
    /// Tokens it holds when the belief is right.
    pub max_tokens: f64,
}

/// How often each belief of a pool was right of late.
#[derive(Clone, Copy, Debug)]
pub struct EstimateAccuracy {
    /// Of certain holders.
    confirmed: f64,
    /// Of doubtful holders.
    stale: f64,
    /// Of requests on their way.
    pending: f64,
    /// Of homes.
    home: f64,
}

impl CacheEstimate {
    /// No belief.
    pub const NONE: CacheEstimate = CacheEstimate {
        kind: EvidenceKind::None,
        min_tokens: 0.0,
        max_tokens: 0.0,
    };
}

impl EstimateAccuracy {
    /// Rates before the first answer.
    pub fn new(policy: &PlacementPolicy) -> Self {
        Self {
            confirmed: 1.0,
            stale: policy.initial_stale_accuracy,
            pending: policy.initial_pending_accuracy,
            home: policy.initial_home_accuracy,
        }
    }

    /// Tokens to count on.
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

    /// Takes the tokens that were found where a belief had sent a request.
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

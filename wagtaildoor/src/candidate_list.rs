//! List of the endpoints that one placement compares.

use crate::{
    cache_estimate::{
        CacheEstimate, //
        EstimateAccuracy,
    },
    placement::PlacementCandidate,
    rendezvous::HomeMember,
    residency::SlotIndex,
};

/// Rank of candidates that are not a home of the prompt.
pub(crate) const NO_RANK: u32 = u32::MAX;
/// Maximum number of candidates, except when a whole pool is compared.
const MAX_CANDIDATES: usize = 32;

/// Candidates of one placement, without duplicates.
#[derive(Debug)]
pub(crate) struct CandidateList {
    /// Candidates in the order in which they were added.
    pub candidates: Vec<PlacementCandidate>,
    accuracy: EstimateAccuracy,
}

impl CandidateList {
    /// Creates an empty list.
    pub fn new(accuracy: EstimateAccuracy) -> Self {
        Self {
            candidates: Vec::with_capacity(MAX_CANDIDATES),
            accuracy,
        }
    }

    /// Adds an endpoint, or updates its estimate and rank if the new ones are better.
    ///
    /// A new endpoint is ignored once the list holds `MAX_CANDIDATES`.
    pub fn add(&mut self, slot: SlotIndex, estimate: CacheEstimate, rank: u32) {
        let cached_tokens = self.accuracy.expected_tokens(&estimate);
        let known = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.slot == slot);
        if let Some(candidate) = known {
            candidate.rank = candidate.rank.min(rank);
            if cached_tokens > candidate.cached_tokens {
                candidate.cached_tokens = cached_tokens;
                candidate.estimate = estimate;
            }
        } else if self.candidates.len() < MAX_CANDIDATES {
            self.candidates.push(PlacementCandidate {
                slot,
                estimate,
                cached_tokens,
                rank,
            });
        }
    }

    /// Adds all missing members of a pool, beyond `MAX_CANDIDATES` if necessary.
    pub fn add_all(&mut self, members: &[HomeMember]) {
        for member in members {
            if self
                .candidates
                .iter()
                .all(|known| known.slot != member.slot)
            {
                self.candidates.push(PlacementCandidate {
                    slot: member.slot,
                    estimate: CacheEstimate::NONE,
                    cached_tokens: 0.0,
                    rank: NO_RANK,
                });
            }
        }
    }

    /// Returns the endpoints that hold at least `tokens` if their estimates are right.
    pub fn holders_with(&self, tokens: f64) -> impl Iterator<Item = SlotIndex> + '_ {
        let candidates = self.candidates.iter();
        candidates
            .filter(move |candidate| candidate.estimate.max_tokens >= tokens)
            .map(|candidate| candidate.slot)
    }

    /// Returns the endpoint with the most expected cached tokens.
    pub fn best_holder(&self) -> Option<SlotIndex> {
        let candidates = self.candidates.iter();
        let best =
            candidates.max_by(|left, right| left.cached_tokens.total_cmp(&right.cached_tokens));
        best.map(|candidate| candidate.slot)
    }

    /// Returns the most expected cached tokens of any candidate; 0 for an empty list.
    pub fn max_cached_tokens(&self) -> f64 {
        let cached = self
            .candidates
            .iter()
            .map(|candidate| candidate.cached_tokens);
        cached.fold(0.0, f64::max)
    }
}

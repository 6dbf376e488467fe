//! The endpoints that one placement compares.

use crate::{
    cache_estimate::{
        CacheEstimate, //
        EstimateAccuracy,
    },
    placement::PlacementCandidate,
    rendezvous::HomeMember,
    residency::SlotIndex,
};

/// Rank of candidates that are no home.
pub(crate) const NO_RANK: u32 = u32::MAX;
/// Most endpoints that are compared, unless all of a pool are.
const MAX_CANDIDATES: usize = 32;

/// Endpoints to compare, each once.
#[derive(Debug)]
pub(crate) struct CandidateList {
    /// Endpoints.
    pub candidates: Vec<PlacementCandidate>,
    /// How often beliefs are right.
    accuracy: EstimateAccuracy,
}

impl CandidateList {
    /// An empty list.
    pub fn new(accuracy: EstimateAccuracy) -> Self {
        Self {
            candidates: Vec::with_capacity(MAX_CANDIDATES),
            accuracy,
        }
    }

    /// Adds an endpoint, or raises what is believed of it.
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

    /// Adds all members of a pool, over the limit too.
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

    /// Endpoints that hold at least so many tokens when what is believed of them is right.
    pub fn holders_with(&self, tokens: f64) -> impl Iterator<Item = SlotIndex> + '_ {
        let candidates = self.candidates.iter();
        candidates
            .filter(move |candidate| candidate.estimate.max_tokens >= tokens)
            .map(|candidate| candidate.slot)
    }

    /// The endpoint that is believed to hold most.
    pub fn best_holder(&self) -> Option<SlotIndex> {
        let candidates = self.candidates.iter();
        let best =
            candidates.max_by(|left, right| left.cached_tokens.total_cmp(&right.cached_tokens));
        best.map(|candidate| candidate.slot)
    }

    /// Most tokens believed to be in any candidate's cache.
    pub fn max_cached_tokens(&self) -> f64 {
        let cached = self
            .candidates
            .iter()
            .map(|candidate| candidate.cached_tokens);
        cached.fold(0.0, f64::max)
    }
}

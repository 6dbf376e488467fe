//! The endpoints that one placement compares.

use crate::{
    placement::{
        CandidateSource,
        PlacementCandidate, //
    },
    rendezvous::HomeMember,
    residency::SlotIndex,
};

/// Rank of candidates that are no home.
pub(crate) const NO_RANK: u32 = u32::MAX;
/// Most endpoints that are compared, unless all of a pool are.
const CANDIDATES_LIMIT: usize = 32;

/// Endpoints to compare, each once.
#[derive(Debug)]
pub(crate) struct CandidateList {
    /// Endpoints.
    pub candidates: Vec<PlacementCandidate>,
}

impl CandidateList {
    /// An empty list.
    pub fn new() -> Self {
        Self {
            candidates: Vec::with_capacity(CANDIDATES_LIMIT),
        }
    }

    /// Adds an endpoint, or raises what is believed of it.
    pub fn add(&mut self, slot: SlotIndex, source: CandidateSource, cached_tokens: f64, rank: u32) {
        let known = self
            .candidates
            .iter_mut()
            .find(|candidate| candidate.slot == slot);
        if let Some(candidate) = known {
            candidate.cached_tokens = candidate.cached_tokens.max(cached_tokens);
            candidate.rank = candidate.rank.min(rank);
        } else if self.candidates.len() < CANDIDATES_LIMIT {
            self.candidates.push(PlacementCandidate {
                slot,
                source,
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
                    source: CandidateSource::Random,
                    cached_tokens: 0.0,
                    rank: NO_RANK,
                });
            }
        }
    }

    /// Endpoints that are believed to hold at least so many tokens.
    pub fn holders_of(&self, tokens: f64) -> impl Iterator<Item = SlotIndex> + '_ {
        let candidates = self.candidates.iter();
        candidates
            .filter(move |candidate| candidate.cached_tokens >= tokens)
            .map(|candidate| candidate.slot)
    }

    /// Most tokens believed to be in any candidate's cache.
    pub fn best_cached(&self) -> f64 {
        let cached = self
            .candidates
            .iter()
            .map(|candidate| candidate.cached_tokens);
        cached.fold(0.0, f64::max)
    }
}

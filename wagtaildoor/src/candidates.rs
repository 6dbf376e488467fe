//! Chooses the few endpoints that placement compares, and the best of them.

use std::time::{
    Duration,
    Instant, //
};

use rand::Rng;

use crate::{
    endpoint_slot::EndpointSlot,
    error::ErrorKind,
    ids::PrefixId,
    placement::{
        CandidateCost,
        CandidateSource,
        CostInputs,
        PlacementCandidate,
        PlacementChoice,
        PlacementQuery,
        PlacementReason, //
    },
    rendezvous::HomeMember,
    residency::{
        HoldingState,
        SlotIndex, //
    },
    table_state::TableState,
};

/// Result of a choice.
type Result<T> = std::result::Result<T, ErrorKind>;

/// Most endpoints that are compared.
const CANDIDATES_LIMIT: usize = 32;
/// Rank of candidates that are no home.
const NO_RANK: u32 = u32::MAX;

/// Endpoints to compare.
#[derive(Debug)]
struct CandidateList {
    /// Candidates, each endpoint once.
    candidates: Vec<PlacementCandidate>,
}

/// A candidate with its cost.
type CostedCandidate = (PlacementCandidate, CandidateCost);

impl TableState {
    /// Chooses an endpoint for a request.
    pub fn place(&mut self, query: &PlacementQuery, now: Instant) -> Result<PlacementChoice> {
        let mut list = self.gather(query, now)?;
        let mut best = self.cheapest(query, &list, now);
        if best.is_none() {
            list.add_all(self.pools[query.pool].homes.members());
            best = self.cheapest(query, &list, now);
        }
        let (candidate, cost) = best.ok_or_else(|| self.shortage(query, &list, now))?;
        if now + cost.first_token > query.deadline {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        let reason = self.reason(query, &list, &candidate, &cost, now);
        self.choice(query, &candidate, &cost, reason)
    }

    /// Endpoints to compare: holders, homes and a few drawn ones.
    fn gather(&mut self, query: &PlacementQuery, now: Instant) -> Result<CandidateList> {
        let mut list = CandidateList::new();
        self.add_holders(query, &mut list);
        self.add_homes(query, &mut list, now)?;
        let members = self.pools[query.pool].homes.members();
        if members.len() <= self.policy.compare_all {
            list.add_all(members);
            return Ok(list);
        }
        for _ in 0..self.policy.randoms {
            let drawn = self.rng.random_range(0..members.len());
            list.add(members[drawn].slot, CandidateSource::Random, 0.0, NO_RANK);
        }
        Ok(list)
    }

    /// Adds the endpoints that may hold levels of the prompt, the innermost first.
    fn add_holders(&self, query: &PlacementQuery, list: &mut CandidateList) {
        for level in query.levels.iter().rev() {
            for holder in self.residency.holders(level.id) {
                let (source, belief) = match holder.state {
                    HoldingState::Certain => (CandidateSource::Holder, 1.0),
                    HoldingState::Doubtful => {
                        (CandidateSource::Holder, self.policy.doubtful_belief)
                    }
                    HoldingState::Expected => {
                        (CandidateSource::Expected, self.policy.expected_belief)
                    }
                };
                list.add(holder.slot, source, level.tokens as f64 * belief, NO_RANK);
            }
        }
    }

    /// Adds the homes of each level, the outermost first.
    fn add_homes(
        &mut self,
        query: &PlacementQuery,
        list: &mut CandidateList,
        now: Instant,
    ) -> Result<()> {
        let mut rank = 0;
        for level in query.levels {
            let wanted = self.homes_wanted(level.id, now);
            let known = self.residency.holders(level.id).next().is_some();
            let belief = match known {
                true => 0.0,
                false => self.policy.home_belief * level.tokens as f64,
            };
            let pool = self.pools.get_mut(query.pool);
            let homes = pool.ok_or(ErrorKind::NoEndpoint)?.homes.homes(level.id);
            for (place, slot) in homes.slots().take(wanted).enumerate() {
                let cached = belief / (place + 1) as f64;
                list.add(slot, CandidateSource::Home, cached, rank);
                rank += 1;
            }
        }
        match self.pools.contains_key(query.pool) {
            true => Ok(()),
            false => Err(ErrorKind::NoEndpoint),
        }
    }

    /// Homes of a level, more when it is in demand.
    fn homes_wanted(&self, prefix: PrefixId, now: Instant) -> usize {
        let demand = self.residency.demand(prefix, now);
        let earned = (demand / self.policy.demand_per_home) as usize;
        (self.policy.homes + earned).min(self.policy.homes_limit)
    }

    /// The usable candidate with the lowest score.
    fn cheapest(
        &self,
        query: &PlacementQuery,
        list: &CandidateList,
        now: Instant,
    ) -> Option<CostedCandidate> {
        let best_cached = list.best_cached();
        let mut best: Option<CostedCandidate> = None;
        for candidate in &list.candidates {
            let Some(slot) = self.usable(query, candidate.slot, now) else {
                continue;
            };
            let cost = self.cost(query, slot, candidate, best_cached, now);
            let better = best.as_ref().is_none_or(|(held, held_cost)| {
                (cost.score, candidate.rank) < (held_cost.score, held.rank)
            });
            if better {
                best = Some((*candidate, cost));
            }
        }
        best
    }

    /// What a candidate would cost.
    fn cost(
        &self,
        query: &PlacementQuery,
        slot: &EndpointSlot,
        candidate: &PlacementCandidate,
        best_cached: f64,
        now: Instant,
    ) -> CandidateCost {
        let rates = &self.pools[query.pool].rates;
        let inputs = CostInputs {
            wait: slot.load.expected_wait(rates, self.others, now),
            prompt_tokens: query.prompt_tokens as f64,
            cached_tokens: candidate.cached_tokens,
            best_cached,
            prefill_tokens_per_s: rates.prefill_tokens_per_s,
            cross_domain: *slot.domain != *query.domain,
        };
        self.policy.cost(&inputs)
    }

    /// An endpoint, when the request may go there now.
    fn usable(
        &self,
        query: &PlacementQuery,
        index: SlotIndex,
        now: Instant,
    ) -> Option<&EndpointSlot> {
        let slot = self.fitting(query, index)?;
        slot.has_room(self.policy.endpoint_in_flight, now)
            .then_some(slot)
    }

    /// An endpoint, when the request may go there at all.
    fn fitting(&self, query: &PlacementQuery, index: SlotIndex) -> Option<&EndpointSlot> {
        let slot = self.slot(index)?;
        let fits = *slot.pool == *query.pool
            && slot.serves(query.weights_version)
            && !query.exclude.contains(&slot.id);
        fits.then_some(slot)
    }

    /// Why no endpoint can take the request.
    fn shortage(&self, query: &PlacementQuery, list: &CandidateList, now: Instant) -> ErrorKind {
        let any_busy = list.candidates.iter().any(|candidate| {
            let slot = self.fitting(query, candidate.slot);
            slot.is_some_and(|slot| slot.breaker.allowance(now) != Some(0))
        });
        match any_busy {
            true => ErrorKind::Overloaded,
            false => ErrorKind::NoEndpoint,
        }
    }

    /// Why a candidate was chosen.
    fn reason(
        &self,
        query: &PlacementQuery,
        list: &CandidateList,
        chosen: &PlacementCandidate,
        cost: &CandidateCost,
        now: Instant,
    ) -> PlacementReason {
        if cost.imports {
            return PlacementReason::ImportsPrefix;
        }
        if query.levels.is_empty() {
            return PlacementReason::ShortestWait;
        }
        match chosen.source {
            CandidateSource::Holder => PlacementReason::HoldsPrefix {
                cached_tokens: chosen.cached_tokens as u64,
                prompt_tokens: query.prompt_tokens,
            },
            CandidateSource::Expected => PlacementReason::PrefixOnItsWay,
            CandidateSource::Home | CandidateSource::Random => self
                .holder_wait(query, list, now)
                .map_or(PlacementReason::PrefixHome, |holder_wait| {
                    PlacementReason::HoldersBusy { holder_wait }
                }),
        }
    }

    /// Shortest expected wait at a holder; `None` without holders.
    fn holder_wait(
        &self,
        query: &PlacementQuery,
        list: &CandidateList,
        now: Instant,
    ) -> Option<Duration> {
        let rates = &self.pools[query.pool].rates;
        let holders = list
            .candidates
            .iter()
            .filter(|candidate| candidate.source == CandidateSource::Holder);
        holders
            .filter_map(|candidate| self.fitting(query, candidate.slot))
            .map(|slot| slot.load.expected_wait(rates, self.others, now))
            .min()
    }

    /// The choice for a candidate.
    fn choice(
        &self,
        query: &PlacementQuery,
        candidate: &PlacementCandidate,
        cost: &CandidateCost,
        reason: PlacementReason,
    ) -> Result<PlacementChoice> {
        let slot = self.slot(candidate.slot).ok_or(ErrorKind::NoEndpoint)?;
        Ok(PlacementChoice {
            endpoint: slot.id.clone(),
            address: slot.address,
            boot_id: slot.boot_id.clone(),
            reason,
            expected_wait: cost.wait,
            expected_first_token: cost.first_token,
            expected_cached_tokens: candidate.cached_tokens as u64,
            weights_version: query.weights_version,
            prompt_tokens: query.prompt_tokens,
            levels: query.levels.into(),
            slot: candidate.slot,
            lease: slot.lease,
        })
    }
}

impl CandidateList {
    /// An empty list.
    fn new() -> Self {
        Self {
            candidates: Vec::with_capacity(CANDIDATES_LIMIT),
        }
    }

    /// Adds an endpoint, or raises what is believed of it.
    fn add(&mut self, slot: SlotIndex, source: CandidateSource, cached_tokens: f64, rank: u32) {
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
    fn add_all(&mut self, members: &[HomeMember]) {
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

    /// Most tokens believed to be in any candidate's cache.
    fn best_cached(&self) -> f64 {
        let cached = self
            .candidates
            .iter()
            .map(|candidate| candidate.cached_tokens);
        cached.fold(0.0, f64::max)
    }
}

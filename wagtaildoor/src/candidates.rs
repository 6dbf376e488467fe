//! Chooses the few endpoints that placement compares, and the best of them.

use std::time::{
    Duration,
    Instant, //
};

use rand::Rng;

use crate::{
    belief::{
        BeliefKind,
        TokenBelief, //
    },
    candidate_list::{
        CandidateList,
        NO_RANK, //
    },
    endpoint_slot::EndpointSlot,
    error::ErrorKind,
    ids::PrefixId,
    placement::{
        CandidateCost,
        CostInputs,
        PlacementCandidate,
        PlacementChoice,
        PlacementQuery,
        PlacementReason, //
    },
    rendezvous::{
        self,
        HomeMember, //
    },
    residency::{
        HoldingState,
        SlotIndex, //
    },
    table_state::TableState,
};

/// Result of a choice.
type Result<T> = std::result::Result<T, ErrorKind>;

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
        let mut choice = self.choice(query, &candidate, &cost, reason)?;
        if cost.imports {
            let source = list.best_holder().and_then(|slot| self.slot(slot));
            choice.import_from = source.map(|slot| slot.address);
        }
        Ok(choice)
    }

    /// Endpoints to compare: holders, homes and a few drawn ones.
    fn gather(&mut self, query: &PlacementQuery, now: Instant) -> Result<CandidateList> {
        let pool = self.pools.get(query.pool).ok_or(ErrorKind::NoEndpoint)?;
        let mut list = CandidateList::new(pool.beliefs);
        let known = self.add_holders(query, &mut list);
        self.believe_in_homes(query, known, &mut list);
        self.add_homes(query, &mut list, now);
        let members = self.pools[query.pool].homes.members();
        if members.len() <= self.policy.compare_all {
            list.add_all(members);
            return Ok(list);
        }
        for _ in 0..self.policy.randoms {
            let drawn = self.rng.random_range(0..members.len());
            list.add(members[drawn].slot, TokenBelief::NONE, NO_RANK);
        }
        Ok(list)
    }

    /// Adds the endpoints that may hold levels of the prompt, the innermost first; gives the
    /// number of levels that any of them may hold.
    fn add_holders(&self, query: &PlacementQuery, list: &mut CandidateList) -> usize {
        let mut known = 0;
        for (place, level) in query.levels.iter().enumerate().rev() {
            for holder in self.residency.holders(level.id) {
                let kind = match holder.state {
                    HoldingState::Certain => BeliefKind::Certain,
                    HoldingState::Doubtful => BeliefKind::Doubtful,
                    HoldingState::Expected => BeliefKind::Expected,
                };
                let belief = TokenBelief {
                    kind,
                    least: 0.0,
                    most: level.tokens as f64,
                };
                known = known.max(place + 1);
                list.add(holder.slot, belief, NO_RANK);
            }
        }
        known
    }

    /// Believes that the levels which no endpoint is known to hold are at one that all hosts
    /// would choose: the home of the next level among the holders of those before it, or among
    /// all endpoints.
    fn believe_in_homes(&mut self, query: &PlacementQuery, known: usize, list: &mut CandidateList) {
        let Some(next) = query.levels.get(known) else {
            return;
        };
        let innermost = query.levels[query.levels.len() - 1].tokens as f64;
        let held = match known {
            0 => 0.0,
            _ => query.levels[known - 1].tokens as f64,
        };
        let belief = TokenBelief {
            kind: BeliefKind::Home,
            least: held,
            most: innermost,
        };
        if known > 0 {
            let members = list.holders_of(held);
            let hashed = members.filter_map(|slot| {
                let hash = self.slot(slot)?.hash;
                Some(HomeMember { slot, hash })
            });
            if let Some(home) = rendezvous::first_home(next.id, hashed) {
                list.add(home, belief, 0);
            }
        } else if let Some(pool) = self.pools.get_mut(query.pool) {
            let home = pool.homes.homes(next.id).slots().next();
            if let Some(home) = home {
                list.add(home, belief, 0);
            }
        }
    }

    /// Adds the homes of the outermost and the innermost level.
    fn add_homes(&mut self, query: &PlacementQuery, list: &mut CandidateList, now: Instant) {
        let outermost = query.levels.first();
        let innermost = query.levels.last();
        let mut rank = 0;
        for level in outermost.into_iter().chain(innermost) {
            let wanted = self.homes_wanted(level.id, now);
            let Some(pool) = self.pools.get_mut(query.pool) else {
                return;
            };
            for slot in pool.homes.homes(level.id).slots().take(wanted) {
                list.add(slot, TokenBelief::NONE, rank);
                rank += 1;
            }
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
        match chosen.belief.kind {
            BeliefKind::Certain | BeliefKind::Doubtful => PlacementReason::HoldsPrefix {
                cached_tokens: chosen.cached_tokens as u64,
                prompt_tokens: query.prompt_tokens,
            },
            BeliefKind::Expected => PlacementReason::PrefixOnItsWay,
            BeliefKind::Home | BeliefKind::None => self
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
            .filter(|candidate| candidate.belief.kind == BeliefKind::Certain);
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
            import_from: None,
            belief: candidate.belief,
            levels: query.levels.into(),
            slot: candidate.slot,
            lease: slot.lease,
        })
    }
}

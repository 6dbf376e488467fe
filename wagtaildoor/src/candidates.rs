//! Collects the candidates of a placement and chooses the cheapest one.

use std::time::{
    Duration,
    Instant, //
};

use rand::Rng;

use crate::{
    cache_estimate::{
        CacheEstimate, //
        EvidenceKind,
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

/// Result of a placement.
type Result<T> = std::result::Result<T, ErrorKind>;

/// A candidate with its estimated cost.
type CostedCandidate = (PlacementCandidate, CandidateCost);

impl TableState {
    /// Chooses an endpoint for a request.
    ///
    /// Errors are `NoEndpoint`, `Overloaded` and `DeadlineUnreachable`.
    pub fn place(&mut self, query: &PlacementQuery, now: Instant) -> Result<PlacementChoice> {
        let mut list = self.collect_candidates(query, now)?;
        let mut best = self.cheapest_candidate(query, &list, now);
        if best.is_none() {
            list.add_all(self.pools[query.pool].homes.members());
            best = self.cheapest_candidate(query, &list, now);
        }
        let (candidate, cost) = best.ok_or_else(|| self.rejection_kind(query, &list, now))?;
        if now + cost.first_token > query.deadline {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        let reason = self.choice_reason(query, &list, &candidate, &cost, now);
        let mut choice = self.build_choice(query, &candidate, &cost, reason)?;
        if cost.imports {
            let source = list.best_holder().and_then(|slot| self.slot(slot));
            choice.import_from = source.map(|slot| slot.address);
        }
        Ok(choice)
    }

    /// Collects the endpoints to compare: cache holders, homes and a few random members, or the
    /// whole pool if it is small.
    fn collect_candidates(
        &mut self,
        query: &PlacementQuery,
        now: Instant,
    ) -> Result<CandidateList> {
        let pool = self.pools.get(query.pool).ok_or(ErrorKind::NoEndpoint)?;
        let mut list = CandidateList::new(pool.accuracy);
        let known_levels = self.add_holders(query, &mut list);
        self.add_home_estimate(query, known_levels, &mut list);
        self.add_homes(query, &mut list, now);
        let members = self.pools[query.pool].homes.members();
        if members.len() <= self.policy.compare_all_limit {
            list.add_all(members);
            return Ok(list);
        }
        for _ in 0..self.policy.random_candidates {
            let random_index = self.rng.random_range(0..members.len());
            list.add(members[random_index].slot, CacheEstimate::NONE, NO_RANK);
        }
        Ok(list)
    }

    /// Adds the endpoints that may hold levels of the prompt, innermost level first. Returns the
    /// number of outer levels that at least one of them may hold.
    fn add_holders(&self, query: &PlacementQuery, list: &mut CandidateList) -> usize {
        let mut known_levels = 0;
        for (index, level) in query.levels.iter().enumerate().rev() {
            for holder in self.residency.holders(level.id) {
                let kind = match holder.state {
                    HoldingState::Confirmed => EvidenceKind::Confirmed,
                    HoldingState::Stale => EvidenceKind::Stale,
                    HoldingState::Pending => EvidenceKind::Pending,
                };
                let estimate = CacheEstimate {
                    kind,
                    min_tokens: 0.0,
                    max_tokens: level.tokens as f64,
                };
                known_levels = known_levels.max(index + 1);
                list.add(holder.slot, estimate, NO_RANK);
            }
        }
        known_levels
    }

    /// Adds a home estimate for the first level without a known holder.
    ///
    /// The home is chosen by rendezvous hashing among the holders of the level before it, or among
    /// the whole pool if there are none, so that all hosts choose the same endpoint.
    fn add_home_estimate(
        &mut self,
        query: &PlacementQuery,
        known_levels: usize,
        list: &mut CandidateList,
    ) {
        let Some(next) = query.levels.get(known_levels) else {
            return;
        };
        let innermost = query.levels[query.levels.len() - 1].tokens as f64;
        let held_tokens = match known_levels {
            0 => 0.0,
            _ => query.levels[known_levels - 1].tokens as f64,
        };
        let estimate = CacheEstimate {
            kind: EvidenceKind::Home,
            min_tokens: held_tokens,
            max_tokens: innermost,
        };
        if known_levels > 0 {
            let members = list.holders_with(held_tokens);
            let hashed = members.filter_map(|slot| {
                let hash = self.slot(slot)?.hash;
                Some(HomeMember { slot, hash })
            });
            if let Some(home) = rendezvous::first_home(next.id, hashed) {
                list.add(home, estimate, 0);
            }
        } else if let Some(pool) = self.pools.get_mut(query.pool) {
            let home = pool.homes.homes(next.id).slots().next();
            if let Some(home) = home {
                list.add(home, estimate, 0);
            }
        }
    }

    /// Adds the homes of the outermost and the innermost level.
    fn add_homes(&mut self, query: &PlacementQuery, list: &mut CandidateList, now: Instant) {
        let outermost = query.levels.first();
        let innermost = query.levels.last();
        let mut rank = 0;
        for level in outermost.into_iter().chain(innermost) {
            let home_count = self.home_count(level.id, now);
            let Some(pool) = self.pools.get_mut(query.pool) else {
                return;
            };
            for slot in pool.homes.homes(level.id).slots().take(home_count) {
                list.add(slot, CacheEstimate::NONE, rank);
                rank += 1;
            }
        }
    }

    /// Returns the number of homes to compare for a level; popular prefixes have more.
    fn home_count(&self, prefix: PrefixId, now: Instant) -> usize {
        let demand = self.residency.demand(prefix, now);
        let extra_homes = (demand / self.policy.demand_per_home) as usize;
        (self.policy.homes + extra_homes).min(self.policy.max_homes)
    }

    /// Returns the usable candidate with the lowest score, and on equal scores the lowest rank.
    fn cheapest_candidate(
        &self,
        query: &PlacementQuery,
        list: &CandidateList,
        now: Instant,
    ) -> Option<CostedCandidate> {
        let max_cached_tokens = list.max_cached_tokens();
        let mut best: Option<CostedCandidate> = None;
        for candidate in &list.candidates {
            let Some(slot) = self.usable_slot(query, candidate.slot, now) else {
                continue;
            };
            let cost = self.cost(query, slot, candidate, max_cached_tokens, now);
            let better = best.as_ref().is_none_or(|(current, current_cost)| {
                (cost.score, candidate.rank) < (current_cost.score, current.rank)
            });
            if better {
                best = Some((*candidate, cost));
            }
        }
        best
    }

    /// Estimates the cost of sending the request to a candidate.
    fn cost(
        &self,
        query: &PlacementQuery,
        slot: &EndpointSlot,
        candidate: &PlacementCandidate,
        max_cached_tokens: f64,
        now: Instant,
    ) -> CandidateCost {
        let rates = &self.pools[query.pool].rates;
        let inputs = CostInputs {
            wait: slot.load.expected_wait(rates, self.other_hosts, now),
            prompt_tokens: query.prompt_tokens as f64,
            cached_tokens: candidate.cached_tokens,
            max_cached_tokens,
            prefill_tokens_per_s: rates.prefill_tokens_per_s,
            cross_domain: *slot.domain != *query.domain,
        };
        self.policy.cost(&inputs)
    }

    /// Returns an endpoint if it matches the request and has capacity now.
    fn usable_slot(
        &self,
        query: &PlacementQuery,
        index: SlotIndex,
        now: Instant,
    ) -> Option<&EndpointSlot> {
        let slot = self.matching_slot(query, index)?;
        slot.has_capacity(self.policy.endpoint_in_flight, now)
            .then_some(slot)
    }

    /// Returns an endpoint if it is live, in the right pool, serves the weights and is not
    /// excluded.
    fn matching_slot(&self, query: &PlacementQuery, index: SlotIndex) -> Option<&EndpointSlot> {
        let slot = self.slot(index)?;
        let fits = *slot.pool == *query.pool
            && slot.can_serve(query.weights_version)
            && !query.exclude.contains(&slot.id);
        fits.then_some(slot)
    }

    /// Returns `Overloaded` if a matching endpoint is only busy, otherwise `NoEndpoint`.
    fn rejection_kind(
        &self,
        query: &PlacementQuery,
        list: &CandidateList,
        now: Instant,
    ) -> ErrorKind {
        let any_busy = list.candidates.iter().any(|candidate| {
            let slot = self.matching_slot(query, candidate.slot);
            slot.is_some_and(|slot| slot.breaker.request_limit(now) != Some(0))
        });
        match any_busy {
            true => ErrorKind::Overloaded,
            false => ErrorKind::NoEndpoint,
        }
    }

    /// Explains why a candidate was chosen.
    fn choice_reason(
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
        match chosen.estimate.kind {
            EvidenceKind::Confirmed | EvidenceKind::Stale => PlacementReason::HoldsPrefix {
                cached_tokens: chosen.cached_tokens as u64,
                prompt_tokens: query.prompt_tokens,
            },
            EvidenceKind::Pending => PlacementReason::PrefixPending,
            EvidenceKind::Home | EvidenceKind::None => self
                .min_holder_wait(query, list, now)
                .map_or(PlacementReason::PrefixHome, |holder_wait| {
                    PlacementReason::HoldersBusy { holder_wait }
                }),
        }
    }

    /// Returns the shortest expected wait at a confirmed holder; `None` if there is no holder.
    fn min_holder_wait(
        &self,
        query: &PlacementQuery,
        list: &CandidateList,
        now: Instant,
    ) -> Option<Duration> {
        let rates = &self.pools[query.pool].rates;
        let holders = list
            .candidates
            .iter()
            .filter(|candidate| candidate.estimate.kind == EvidenceKind::Confirmed);
        holders
            .filter_map(|candidate| self.matching_slot(query, candidate.slot))
            .map(|slot| slot.load.expected_wait(rates, self.other_hosts, now))
            .min()
    }

    /// Builds the choice for a candidate.
    fn build_choice(
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
            estimate: candidate.estimate,
            levels: query.levels.into(),
            slot: candidate.slot,
            slot_generation: slot.slot_generation,
        })
    }
}

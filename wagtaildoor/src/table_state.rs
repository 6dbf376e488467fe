//! State of a routing table, behind its lock.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Instant,
};

use rand::{
    rngs::StdRng,
    SeedableRng, //
};

use crate::{
    cache_estimate::EstimateAccuracy,
    endpoint_slot::{
        EndpointSlot,
        IncarnationChange, //
    },
    error::ErrorKind,
    ids::{
        EndpointId,
        PoolId,
        PrefixId, //
    },
    load_view::EngineRates,
    placement::{
        PlacementChoice,
        PlacementPolicy, //
    },
    prefix::LevelPrefix,
    rendezvous::{
        HomeMember,
        HomeTable, //
    },
    residency::{
        ResidencyIndex,
        SlotIndex, //
    },
    routing_table::{
        DispatchTicket,
        HolderView, //
    },
    schema::{
        EndpointNews,
        EndpointState,
        EndpointView,
        EngineDone,
        HostView,
        PrefixNews, //
    },
};

/// Maximum number of prefixes tracked.
const MAX_PREFIXES: usize = 100_000;

#[derive(Debug)]
pub(crate) struct PoolMembers {
    /// Live endpoints.
    pub homes: HomeTable,
    /// Measured rates of the pool's engines.
    pub rates: EngineRates,
    /// Measured accuracy of cache estimates.
    pub accuracy: EstimateAccuracy,
}

impl PoolMembers {
    /// Creates a pool without members or measurements.
    fn new(policy: &PlacementPolicy) -> Self {
        Self {
            homes: HomeTable::default(),
            rates: EngineRates::default(),
            accuracy: EstimateAccuracy::new(policy),
        }
    }
}

/// State of a routing table.
#[derive(Debug)]
pub(crate) struct TableState {
    pub policy: PlacementPolicy,
    /// Endpoints by slot; the slots of removed endpoints are empty and get reused.
    pub slots: Vec<Option<EndpointSlot>>,
    pub pools: HashMap<PoolId, PoolMembers>,
    /// Prefixes in the endpoints' caches.
    pub residency: ResidencyIndex,
    /// Random generator for additional candidates.
    pub rng: StdRng,
    /// Other live entry hosts, which send to the same endpoints.
    pub other_hosts: u32,
    by_id: HashMap<EndpointId, SlotIndex>,
    /// Generation given to the slot that was filled last.
    last_generation: u32,
}

impl TableState {
    /// Creates a state without endpoints.
    pub fn new(policy: PlacementPolicy, seed: u64, now: Instant) -> Self {
        Self {
            policy,
            slots: Vec::new(),
            pools: HashMap::new(),
            residency: ResidencyIndex::new(MAX_PREFIXES, now),
            rng: StdRng::seed_from_u64(seed),
            other_hosts: 0,
            by_id: HashMap::new(),
            last_generation: 0,
        }
    }

    /// Returns the endpoint in a slot; `None` if the slot is empty or does not exist.
    pub fn slot(&self, index: SlotIndex) -> Option<&EndpointSlot> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Returns the endpoints that may hold a prefix, latest confirmation first.
    pub fn holder_views(&self, prefix: PrefixId) -> Vec<HolderView> {
        let holders = self.residency.holders(prefix);
        let views = holders.filter_map(|holder| {
            let slot = self.slot(holder.slot)?;
            Some(HolderView {
                endpoint: slot.id.clone(),
                boot_id: slot.boot_id.clone(),
                weights_version: slot.weights_version,
                state: holder.state,
            })
        });
        views.collect()
    }

    /// Replaces all endpoints; endpoints that are not in the list are removed.
    pub fn replace_endpoints(&mut self, views: &[EndpointView], now: Instant) {
        let listed_ids: HashSet<&EndpointId> = views.iter().map(|view| &view.id).collect();
        let gone: Vec<EndpointId> = self
            .by_id
            .keys()
            .filter(|id| !listed_ids.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.remove_endpoint(&id);
        }
        self.update_endpoints(views, now);
    }

    /// Adds or updates endpoints.
    pub fn update_endpoints(&mut self, views: &[EndpointView], now: Instant) {
        let mut changed = false;
        for view in views {
            changed |= self.apply_view(view, now);
        }
        if changed {
            self.rebuild_pools();
        }
    }

    /// Counts the other live entry hosts.
    pub fn update_hosts(&mut self, hosts: &[HostView]) {
        let alive = hosts.iter().filter(|host| host.alive).count();
        self.other_hosts = u32::try_from(alive).unwrap_or(u32::MAX).saturating_sub(1);
    }

    /// Applies a cache event; an event of another than the current start is dropped.
    pub fn apply_cache_event(&mut self, event: &PrefixNews, now: Instant) {
        let Some(&index) = self.by_id.get(&event.endpoint) else {
            return;
        };
        let is_current = self.slot(index);
        if is_current.is_none_or(|slot| slot.boot_id != event.boot_id) {
            return;
        }
        self.residency
            .apply_event(index, event.kind, &event.blocks, event.gap, now);
    }

    /// Adds a request to the endpoint's load and pending holdings.
    pub fn record_dispatch(
        &mut self,
        choice: &PlacementChoice,
        uncached_tokens: u64,
        now: Instant,
    ) {
        if let Some(slot) = slot_of_generation(&mut self.slots, choice.slot, choice.slot_generation)
        {
            let shared_tokens = choice.levels.last().map_or(0, |level| level.tokens);
            let unshared_tokens = choice.prompt_tokens.saturating_sub(shared_tokens);
            slot.load
                .record_dispatch(uncached_tokens, unshared_tokens.min(uncached_tokens), now);
            self.residency
                .record_pending(choice.slot, &choice.levels, now);
        }
    }

    /// Applies a response head. Returns whether it is from the endpoint's current start.
    ///
    /// The response is only known to be newer than its request: the endpoint may have restarted
    /// since, and a keeper may have reported that before the response was read.
    pub fn record_response_head(
        &mut self,
        ticket: &DispatchTicket,
        status: &EndpointNews,
        now: Instant,
    ) -> bool {
        let Some(slot) = slot_of_generation(&mut self.slots, ticket.slot, ticket.slot_generation)
        else {
            return false;
        };
        let sent_at = ticket.sent_at;
        let change = slot.apply_incarnation(&status.boot_id, status.weights_version, sent_at);
        if change == IncarnationChange::Outdated {
            return false;
        }
        slot.load.apply_report(None, status.queued, now);
        if change == IncarnationChange::Renewed {
            let weights_version = slot.weights_version;
            self.residency.invalidate(ticket.slot, weights_version);
        }
        true
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, ticket: &DispatchTicket) {
        if let Some(slot) = slot_of_generation(&mut self.slots, ticket.slot, ticket.slot_generation)
        {
            slot.load.record_first_token(ticket.uncached_tokens);
        }
    }

    /// Records the complete response of a model engine.
    pub fn record_completion(
        &mut self,
        ticket: &DispatchTicket,
        done: &EngineDone,
        levels: &[LevelPrefix],
        now: Instant,
    ) {
        let status = EndpointNews {
            endpoint: ticket.endpoint.clone(),
            boot_id: done.boot_id.clone(),
            weights_version: done.weights_version,
            queued: done.queued,
        };
        let is_current = self.record_response_head(ticket, &status, now);
        let uncached_tokens = done.prompt_tokens.saturating_sub(done.cached_tokens);
        self.record_success(ticket, uncached_tokens);
        self.record_measurements(ticket, done);
        let weights_fit = done.weights_version == ticket.weights_version;
        if is_current && weights_fit {
            self.residency
                .confirm(ticket.slot, levels, &done.level_blocks, now);
        } else {
            self.residency.remove_pending(ticket.slot, levels);
        }
    }

    /// Updates the prefill rate and the estimate accuracy of the endpoint's pool.
    fn record_measurements(&mut self, ticket: &DispatchTicket, done: &EngineDone) {
        let Some(slot) = slot_of_generation(&mut self.slots, ticket.slot, ticket.slot_generation)
        else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&slot.pool) else {
            return;
        };
        if let Some(elapsed) = ticket.first_token_after {
            let uncached_tokens = done.prompt_tokens.saturating_sub(done.cached_tokens);
            pool.rates.record_first_token(uncached_tokens, elapsed);
        }
        let found = done.cached_tokens as f64 / done.prompt_tokens.max(1) as f64;
        let found_tokens = found * ticket.prompt_tokens as f64;
        pool.accuracy.record_outcome(&ticket.estimate, found_tokens);
    }

    /// Records a successful response with its uncached prompt tokens.
    pub fn record_success(&mut self, ticket: &DispatchTicket, uncached_tokens: u64) {
        let Some(slot) = slot_of_generation(&mut self.slots, ticket.slot, ticket.slot_generation)
        else {
            return;
        };
        slot.breaker.record_success();
        slot.load.record_uncached_tokens(uncached_tokens);
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, ticket: &DispatchTicket, kind: ErrorKind, now: Instant) {
        self.residency.remove_pending(ticket.slot, &ticket.levels);
        let Some(slot) = slot_of_generation(&mut self.slots, ticket.slot, ticket.slot_generation)
        else {
            return;
        };
        match kind {
            ErrorKind::EndpointFailed | ErrorKind::StreamBroken | ErrorKind::OutcomeUnknown => {
                slot.breaker.record_failure(now);
                self.residency.mark_stale(ticket.slot, now);
            }
            ErrorKind::DeadlinePassed => slot.breaker.record_failure(now),
            ErrorKind::EndpointRefused => slot.load.record_refusal(now),
            _ => (),
        }
    }

    /// Removes a request from the endpoint's load.
    pub fn release_load(&mut self, ticket: &DispatchTicket) {
        if let Some(slot) = slot_of_generation(&mut self.slots, ticket.slot, ticket.slot_generation)
        {
            if ticket.first_token_after.is_none() {
                slot.load.record_first_token(ticket.uncached_tokens);
            }
            slot.load.record_end();
        }
    }

    /// Adds or updates one endpoint. Returns whether the pools have to be rebuilt.
    fn apply_view(&mut self, view: &EndpointView, now: Instant) -> bool {
        let Some(&index) = self.by_id.get(&view.id) else {
            self.add_endpoint(view, now);
            return true;
        };
        let Some(Some(slot)) = self.slots.get_mut(index as usize) else {
            return false;
        };
        if slot.pool != view.pool {
            self.remove_endpoint(&view.id);
            self.add_endpoint(view, now);
            return true;
        }
        let state_before = slot.state;
        let change = slot.apply_view(view, now);
        let state_changed = slot.state != state_before;
        if change == IncarnationChange::Renewed {
            let weights_version = slot.weights_version;
            self.residency.invalidate(index, weights_version);
        }
        state_changed
    }

    /// Adds an endpoint in the first empty slot.
    fn add_endpoint(&mut self, view: &EndpointView, now: Instant) {
        self.last_generation += 1;
        let slot = EndpointSlot::new(view, self.last_generation, now);
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or(self.slots.len());
        if free.is_none() {
            self.slots.push(None);
        }
        let slot_index = index as SlotIndex;
        self.residency.invalidate(slot_index, slot.weights_version);
        self.slots[index] = Some(slot);
        self.by_id.insert(view.id.clone(), slot_index);
    }

    /// Removes an endpoint and empties its slot.
    fn remove_endpoint(&mut self, id: &EndpointId) {
        if let Some(index) = self.by_id.remove(id) {
            self.slots[index as usize] = None;
            self.residency.invalidate(index, 0);
            self.rebuild_pools();
        }
    }

    /// Rebuilds the members of each pool from the live endpoints.
    fn rebuild_pools(&mut self) {
        let mut members: HashMap<&PoolId, Vec<HomeMember>> = HashMap::new();
        for (index, slot) in self.slots.iter().enumerate() {
            let Some(slot) = slot else { continue };
            let live = members.entry(&slot.pool).or_default();
            if slot.state == EndpointState::Live {
                live.push(HomeMember {
                    slot: index as SlotIndex,
                    hash: slot.hash,
                });
            }
        }
        self.pools.retain(|id, _| members.contains_key(id));
        for (id, members) in members {
            let pool = self.pools.entry(id.clone());
            let pool = pool.or_insert_with(|| PoolMembers::new(&self.policy));
            pool.homes = HomeTable::new(members);
        }
    }
}

/// Returns the endpoint in a slot if the slot still has the same generation.
fn slot_of_generation(
    slots: &mut [Option<EndpointSlot>],
    index: SlotIndex,
    slot_generation: u32,
) -> Option<&mut EndpointSlot> {
    let slot = slots.get_mut(index as usize)?.as_mut()?;
    (slot.slot_generation == slot_generation).then_some(slot)
}

//! The state behind a routing table.

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
    belief::BeliefRates,
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
        HomeMembers, //
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

/// Most prefixes remembered.
const PREFIXES_LIMIT: usize = 100_000;

/// A pool of endpoints.
#[derive(Debug)]
pub(crate) struct PoolMembers {
    /// Live endpoints.
    pub homes: HomeMembers,
    /// Rates of its engines.
    pub rates: EngineRates,
    /// How often beliefs about its caches are right.
    pub beliefs: BeliefRates,
}

impl PoolMembers {
    /// A pool of which nothing is learnt.
    fn new(policy: &PlacementPolicy) -> Self {
        Self {
            homes: HomeMembers::default(),
            rates: EngineRates::default(),
            beliefs: BeliefRates::new(policy),
        }
    }
}

/// Everything a routing table knows.
#[derive(Debug)]
pub(crate) struct TableState {
    /// How candidates are chosen and scored.
    pub policy: PlacementPolicy,
    /// Endpoints by place; places of endpoints that went are empty.
    pub slots: Vec<Option<EndpointSlot>>,
    /// Pools.
    pub pools: HashMap<PoolId, PoolMembers>,
    /// Who holds what.
    pub residency: ResidencyIndex,
    /// Draws random candidates.
    pub rng: StdRng,
    /// Other entry hosts that send to the same endpoints.
    pub others: u32,
    /// Places by name.
    by_id: HashMap<EndpointId, SlotIndex>,
    /// Uses of places so far.
    leases: u32,
}

impl TableState {
    /// A state that knows nothing.
    pub fn new(policy: PlacementPolicy, seed: u64, now: Instant) -> Self {
        Self {
            policy,
            slots: Vec::new(),
            pools: HashMap::new(),
            residency: ResidencyIndex::new(PREFIXES_LIMIT, now),
            rng: StdRng::seed_from_u64(seed),
            others: 0,
            by_id: HashMap::new(),
            leases: 0,
        }
    }

    /// An endpoint by place.
    pub fn slot(&self, index: SlotIndex) -> Option<&EndpointSlot> {
        self.slots.get(index as usize)?.as_ref()
    }

    /// Endpoints that may hold a prefix.
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

    /// Takes the whole list of endpoints; those missing from it are forgotten.
    pub fn replace_endpoints(&mut self, views: &[EndpointView], now: Instant) {
        let named: HashSet<&EndpointId> = views.iter().map(|view| &view.id).collect();
        let gone: Vec<EndpointId> = self
            .by_id
            .keys()
            .filter(|id| !named.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.forget(&id);
        }
        self.update_endpoints(views, now);
    }

    /// Takes endpoints that are new or changed.
    pub fn update_endpoints(&mut self, views: &[EndpointView], now: Instant) {
        let mut changed = false;
        for view in views {
            changed |= self.apply_view(view, now);
        }
        if changed {
            self.rebuild_pools();
        }
    }

    /// Counts the entry hosts that are alive.
    pub fn update_hosts(&mut self, hosts: &[HostView]) {
        let alive = hosts.iter().filter(|host| host.alive).count();
        self.others = u32::try_from(alive).unwrap_or(u32::MAX).saturating_sub(1);
    }

    /// Takes a cache event; one of another start than the present is dropped.
    pub fn apply_cache_event(&mut self, news: &PrefixNews, now: Instant) {
        let Some(&index) = self.by_id.get(&news.endpoint) else {
            return;
        };
        let current = self.slot(index);
        if current.is_none_or(|slot| slot.boot_id != news.boot_id) {
            return;
        }
        self.residency
            .take_event(index, news.kind, &news.blocks, news.gap, now);
    }

    /// Counts a request that is about to be sent.
    pub fn record_dispatch(&mut self, choice: &PlacementChoice, missed: u64, now: Instant) {
        if let Some(slot) = leased(&mut self.slots, choice.slot, choice.lease) {
            let shared = choice.levels.last().map_or(0, |level| level.tokens);
            let unshared = choice.prompt_tokens.saturating_sub(shared);
            slot.load.add(missed, unshared.min(missed), now);
            self.residency.expect(choice.slot, &choice.levels, now);
        }
    }

    /// Takes the head of an answer; whether it is about the endpoint's present start.
    ///
    /// The answer is only known to be younger than its request: the endpoint may have started
    /// anew since, and a keeper may have told of that before the answer was read.
    pub fn record_response_head(
        &mut self,
        ticket: &DispatchTicket,
        news: &EndpointNews,
        now: Instant,
    ) -> bool {
        let Some(slot) = leased(&mut self.slots, ticket.slot, ticket.lease) else {
            return false;
        };
        let sent_at = ticket.sent_at;
        let change = slot.apply_incarnation(&news.boot_id, news.weights_version, sent_at);
        if change == IncarnationChange::Outdated {
            return false;
        }
        slot.load.apply_report(None, news.queued, now);
        if change == IncarnationChange::Renewed {
            let weights_version = slot.weights_version;
            self.residency.reset(ticket.slot, weights_version);
        }
        true
    }

    /// Takes the first token of a request.
    pub fn record_first_token(&mut self, ticket: &DispatchTicket) {
        if let Some(slot) = leased(&mut self.slots, ticket.slot, ticket.lease) {
            slot.load.started(ticket.missed_tokens);
        }
    }

    /// Takes a whole answer of a model engine.
    pub fn record_completion(
        &mut self,
        ticket: &DispatchTicket,
        done: &EngineDone,
        levels: &[LevelPrefix],
        now: Instant,
    ) {
        let news = EndpointNews {
            endpoint: ticket.endpoint.clone(),
            boot_id: done.boot_id.clone(),
            weights_version: done.weights_version,
            queued: done.queued,
        };
        let current = self.record_response_head(ticket, &news, now);
        let missed = done.prompt_tokens.saturating_sub(done.cached_tokens);
        self.record_success(ticket, missed);
        self.learn(ticket, done);
        let weights_fit = done.weights_version == ticket.weights_version;
        if current && weights_fit {
            self.residency
                .confirm(ticket.slot, levels, &done.level_blocks, now);
        } else {
            self.residency.unexpect(ticket.slot, levels);
        }
    }

    /// Learns how fast a pool's engines prefill, and how often beliefs about them are right.
    fn learn(&mut self, ticket: &DispatchTicket, done: &EngineDone) {
        let Some(slot) = leased(&mut self.slots, ticket.slot, ticket.lease) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&slot.pool) else {
            return;
        };
        if let Some(elapsed) = ticket.first_token_after {
            let missed = done.prompt_tokens.saturating_sub(done.cached_tokens);
            pool.rates.take_first_token(missed, elapsed);
        }
        let found = done.cached_tokens as f64 / done.prompt_tokens.max(1) as f64;
        let found_tokens = found * ticket.prompt_tokens as f64;
        pool.beliefs.learn(&ticket.belief, found_tokens);
    }

    /// Counts an answer, and the prompt tokens it missed.
    pub fn record_success(&mut self, ticket: &DispatchTicket, missed: u64) {
        let Some(slot) = leased(&mut self.slots, ticket.slot, ticket.lease) else {
            return;
        };
        slot.breaker.succeeded();
        slot.load.answered(missed);
    }

    /// Takes the failure of an attempt.
    pub fn record_failure(&mut self, ticket: &DispatchTicket, kind: ErrorKind, now: Instant) {
        self.residency.unexpect(ticket.slot, &ticket.levels);
        let Some(slot) = leased(&mut self.slots, ticket.slot, ticket.lease) else {
            return;
        };
        match kind {
            ErrorKind::EndpointFailed | ErrorKind::StreamBroken | ErrorKind::OutcomeUnknown => {
                slot.breaker.failed(now);
                self.residency.doubt(ticket.slot, now);
            }
            ErrorKind::DeadlinePassed => slot.breaker.failed(now),
            ErrorKind::EndpointRefused => slot.load.refused(now),
            _ => (),
        }
    }

    /// Gives back a request's share of an endpoint's load.
    pub fn released(&mut self, ticket: &DispatchTicket) {
        if let Some(slot) = leased(&mut self.slots, ticket.slot, ticket.lease) {
            if ticket.first_token_after.is_none() {
                slot.load.started(ticket.missed_tokens);
            }
            slot.load.ended();
        }
    }

    /// Takes one endpoint; whether the pools change by it.
    fn apply_view(&mut self, view: &EndpointView, now: Instant) -> bool {
        let Some(&index) = self.by_id.get(&view.id) else {
            self.add(view, now);
            return true;
        };
        let Some(Some(slot)) = self.slots.get_mut(index as usize) else {
            return false;
        };
        if slot.pool != view.pool {
            self.forget(&view.id);
            self.add(view, now);
            return true;
        }
        let state_before = slot.state;
        let change = slot.apply_view(view, now);
        let state_changed = slot.state != state_before;
        if change == IncarnationChange::Renewed {
            let weights_version = slot.weights_version;
            self.residency.reset(index, weights_version);
        }
        state_changed
    }

    /// Gives an endpoint a place.
    fn add(&mut self, view: &EndpointView, now: Instant) {
        self.leases += 1;
        let slot = EndpointSlot::new(view, self.leases, now);
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or(self.slots.len());
        if free.is_none() {
            self.slots.push(None);
        }
        let place = index as SlotIndex;
        self.residency.reset(place, slot.weights_version);
        self.slots[index] = Some(slot);
        self.by_id.insert(view.id.clone(), place);
    }

    /// Forgets an endpoint.
    fn forget(&mut self, id: &EndpointId) {
        if let Some(index) = self.by_id.remove(id) {
            self.slots[index as usize] = None;
            self.residency.reset(index, 0);
            self.rebuild_pools();
        }
    }

    /// Lists the live endpoints of each pool anew.
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
            pool.homes = HomeMembers::new(members);
        }
    }
}

/// An endpoint, when its place still has the same use.
fn leased(
    slots: &mut [Option<EndpointSlot>],
    index: SlotIndex,
    lease: u32,
) -> Option<&mut EndpointSlot> {
    let slot = slots.get_mut(index as usize)?.as_mut()?;
    (slot.lease == lease).then_some(slot)
}

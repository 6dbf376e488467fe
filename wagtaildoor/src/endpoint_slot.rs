//! State of one endpoint in the routing table.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    breaker::EndpointBreaker,
    ids::{
        BootId,
        DomainId,
        EndpointId,
        PoolId,
        WeightsVersion, //
    },
    load_view::EndpointLoad,
    schema::{
        EndpointState,
        EndpointView, //
    },
};

/// Number of boot ids remembered from earlier starts.
const MAX_PAST_BOOT_IDS: usize = 4;

/// Effect of a report on the known start and weights of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IncarnationChange {
    /// The start and the weights are as known.
    Unchanged,
    /// The endpoint restarted or loaded newer weights, so its cache content is unknown.
    Renewed,
    /// The report is from an earlier start or from older weights.
    Outdated,
}

#[derive(Clone, Debug)]
pub(crate) struct EndpointSlot {
    pub id: EndpointId,
    pub address: SocketAddr,
    pub pool: PoolId,
    pub domain: DomainId,
    /// Hash of the id, equal on every host.
    pub hash: u64,
    /// Distinguishes successive endpoints in the same slot.
    pub slot_generation: u32,
    /// Current start; empty before the first report.
    pub boot_id: BootId,
    /// Weights in service; 0 if unknown.
    pub weights_version: WeightsVersion,
    pub state: EndpointState,
    pub load: EndpointLoad,
    pub breaker: EndpointBreaker,
    /// Time of the report that the boot id and weights come from.
    incarnation_as_of: Instant,
    /// Boot ids of earlier starts, oldest first.
    past_boot_ids: Vec<BootId>,
}

impl EndpointSlot {
    /// Creates the slot of an endpoint that the keeper reports for the first time.
    pub fn new(view: &EndpointView, slot_generation: u32, now: Instant) -> Self {
        let mut slot = Self {
            id: view.id.clone(),
            address: view.address,
            pool: view.pool.clone(),
            domain: view.domain.clone(),
            hash: endpoint_hash(&view.id),
            slot_generation,
            boot_id: view.boot_id.clone(),
            weights_version: view.weights_version,
            state: view.state,
            load: EndpointLoad::new(report_time(view, now)),
            breaker: EndpointBreaker::default(),
            incarnation_as_of: report_time(view, now),
            past_boot_ids: Vec::new(),
        };
        slot.apply_load(view, now);
        slot
    }

    /// Applies the keeper's view. The load is ignored if the view is from an earlier start.
    pub fn apply_view(&mut self, view: &EndpointView, now: Instant) -> IncarnationChange {
        self.address = view.address;
        self.domain = view.domain.clone();
        self.state = view.state;
        let as_of = report_time(view, now);
        if view.boot_id.is_empty() {
            return IncarnationChange::Unchanged;
        }
        let change = self.apply_incarnation(&view.boot_id, view.weights_version, as_of);
        if change != IncarnationChange::Outdated {
            self.apply_load(view, now);
        }
        change
    }

    /// Applies a boot id and weights that were observed at `as_of`.
    pub fn apply_incarnation(
        &mut self,
        boot_id: &BootId,
        weights_version: WeightsVersion,
        as_of: Instant,
    ) -> IncarnationChange {
        if self.boot_id == *boot_id {
            return self.apply_weights(weights_version, as_of);
        }
        if self.past_boot_ids.contains(boot_id) || as_of < self.incarnation_as_of {
            return IncarnationChange::Outdated;
        }
        self.retire_boot_id();
        self.boot_id = boot_id.clone();
        self.weights_version = weights_version;
        self.incarnation_as_of = as_of;
        IncarnationChange::Renewed
    }

    /// Whether the endpoint is live and serves these weights; 0 accepts any weights.
    pub fn can_serve(&self, weights_version: WeightsVersion) -> bool {
        let weights_fit = weights_version == 0
            || self.weights_version == 0
            || self.weights_version == weights_version;
        self.state == EndpointState::Live && weights_fit
    }

    /// Whether one more request of this entry fits the limit and the circuit breaker.
    pub fn has_capacity(&self, limit: u32, now: Instant) -> bool {
        let in_flight = self.load.in_flight();
        let request_limit = self.breaker.request_limit(now).unwrap_or(u32::MAX);
        in_flight < limit && in_flight < request_limit
    }

    /// Applies the weights of the current start; their version never decreases.
    fn apply_weights(
        &mut self,
        weights_version: WeightsVersion,
        as_of: Instant,
    ) -> IncarnationChange {
        if weights_version < self.weights_version {
            return IncarnationChange::Outdated;
        }
        self.incarnation_as_of = self.incarnation_as_of.max(as_of);
        if weights_version == self.weights_version {
            return IncarnationChange::Unchanged;
        }
        self.weights_version = weights_version;
        IncarnationChange::Renewed
    }

    /// Applies the load in the keeper's view, if the endpoint has reported.
    fn apply_load(&mut self, view: &EndpointView, now: Instant) {
        if !view.boot_id.is_empty() {
            let as_of = report_time(view, now);
            self.load
                .apply_report(Some(view.running), view.queued, as_of);
        }
    }

    /// Moves the current boot id to the past ones and drops the oldest if there are too many.
    fn retire_boot_id(&mut self) {
        if self.boot_id.is_empty() {
            return;
        }
        if self.past_boot_ids.len() >= MAX_PAST_BOOT_IDS {
            self.past_boot_ids.remove(0);
        }
        self.past_boot_ids.push(self.boot_id.clone());
    }
}

/// Returns the time at which the endpoint reported, on this host's clock.
fn report_time(view: &EndpointView, now: Instant) -> Instant {
    let age = Duration::from_millis(view.report_age_ms);
    now.checked_sub(age).unwrap_or(now)
}

/// Returns the first 8 bytes of the id's BLAKE3 hash.
fn endpoint_hash(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

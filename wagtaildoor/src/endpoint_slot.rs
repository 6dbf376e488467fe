//! What the routing table keeps of one endpoint.

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

/// Most earlier starts remembered of an endpoint.
const MAX_PAST_BOOT_IDS: usize = 4;

/// What a word about an endpoint's start and weights means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IncarnationChange {
    /// The start and the weights are those known.
    Unchanged,
    /// It started anew or has newer weights: its cache is another.
    Renewed,
    /// The word is about an earlier start or older weights.
    Outdated,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointSlot {
    /// Name.
    pub id: EndpointId,
    /// Address and port.
    pub address: SocketAddr,
    /// Pool.
    pub pool: PoolId,
    /// Failure domain.
    pub domain: DomainId,
    /// Hash of its name, the same on every host.
    pub hash: u64,
    /// Use of this place.
    pub slot_generation: u32,
    /// Present start; empty before its first word.
    pub boot_id: BootId,
    /// Weights in service; 0 when not known.
    pub weights_version: WeightsVersion,
    /// Live or leaving.
    pub state: EndpointState,
    /// Load.
    pub load: EndpointLoad,
    /// Breaker.
    pub breaker: EndpointBreaker,
    /// When the start and weights known now were true.
    incarnation_as_of: Instant,
    /// Earlier starts.
    past_boot_ids: Vec<BootId>,
}

impl EndpointSlot {
    /// An endpoint that the keeper tells of for the first time.
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

    /// Takes the keeper's word.
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

    /// Takes a start and weights that were true at a time.
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

    /// Whether a request for these weights may go there; 0 takes any.
    pub fn can_serve(&self, weights_version: WeightsVersion) -> bool {
        let weights_fit = weights_version == 0
            || self.weights_version == 0
            || self.weights_version == weights_version;
        self.state == EndpointState::Live && weights_fit
    }

    /// Whether one more own request may go there.
    pub fn has_capacity(&self, limit: u32, now: Instant) -> bool {
        let in_flight = self.load.in_flight();
        let request_limit = self.breaker.request_limit(now).unwrap_or(u32::MAX);
        in_flight < limit && in_flight < request_limit
    }

    /// Takes weights of the present start, which only rise.
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

    /// Takes the load of the keeper's word.
    fn apply_load(&mut self, view: &EndpointView, now: Instant) {
        if !view.boot_id.is_empty() {
            let as_of = report_time(view, now);
            self.load
                .apply_report(Some(view.running), view.queued, as_of);
        }
    }

    /// Remembers the present start as an earlier one.
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

/// When a report was true, on this host's clock.
fn report_time(view: &EndpointView, now: Instant) -> Instant {
    let age = Duration::from_millis(view.report_age_ms);
    now.checked_sub(age).unwrap_or(now)
}

/// Hash of an endpoint's name.
fn endpoint_hash(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

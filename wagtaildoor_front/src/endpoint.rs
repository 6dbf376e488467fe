//! An endpoint as one host of the front sees it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        DomainId,
        EndpointId,
        ModelId,
        ServiceId,
        WeightsVersion, //
    },
};

use crate::{
    endpoint_connection::ConnectionPool,
    endpoint_health::EndpointHealth,
    endpoint_load::EndpointLoad,
    prefix_hash,
    wire_codec::LoadReading, //
};

/// Hash that names one start of an endpoint, alike on all hosts.
pub type EndpointKey = u64;

/// What an endpoint says of itself in the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// Name.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Time that it stays slow after its start.
    pub warm_up: Duration,
    /// Weights by model.
    pub weights: Vec<(ModelId, WeightsVersion)>,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Grows with each description since the start.
    pub revision: u64,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// It ends what it has, and leaves.
    Draining,
}

impl EndpointRecord {
    /// Hash of the name and the start.
    pub fn key(&self) -> EndpointKey {
        prefix_hash::combine_hashes(prefix_hash::text_hash(&self.id), self.started_ms)
    }
}

/// One start of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Name.
    pub id: EndpointId,
    /// Hash of the name and the start.
    pub key: EndpointKey,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Its newest description.
    record: RefCell<EndpointRecord>,
    /// Weights by model, as the newest of description, answers and orders.
    weights: RefCell<Vec<(ModelId, WeightsVersion)>>,
    /// Load.
    pub load: RefCell<EndpointLoad>,
    /// Health.
    pub health: RefCell<EndpointHealth>,
    /// Connections.
    pub connections: ConnectionPool,
    /// It was taken off the list, or another endpoint answers at its address.
    is_retired: Cell<bool>,
}

impl Endpoint {
    /// An endpoint that nothing was sent to yet.
    pub fn new(record: EndpointRecord, now: BootInstant) -> Self {
        Self {
            id: record.id.clone(),
            key: record.key(),
            service: record.service.clone(),
            address: record.address,
            domain: record.domain.clone(),
            started_ms: record.started_ms,
            weights: RefCell::new(record.weights.clone()),
            load: RefCell::new(EndpointLoad::new(record.slots)),
            health: RefCell::new(EndpointHealth::new(now)),
            connections: ConnectionPool::new(record.address),
            is_retired: Cell::new(false),
            record: RefCell::new(record),
        }
    }

    /// Whether a description is about this start at this place.
    pub fn matches_record(&self, record: &EndpointRecord) -> bool {
        self.started_ms == record.started_ms
            && self.address == record.address
            && self.service == record.service
    }

    /// Takes a newer description; an older one that arrives late changes nothing.
    pub fn update_record(&self, record: EndpointRecord) {
        if record.revision < self.record.borrow().revision {
            return;
        }
        for (model, version) in &record.weights {
            self.record_weights(model, *version);
        }
        *self.record.borrow_mut() = record;
    }

    /// Whether it may be given new work.
    pub fn is_accepting_requests(&self) -> bool {
        !self.is_retired.get() && self.record.borrow().state == EndpointState::Ready
    }

    /// Takes it out of use for good.
    pub fn retire(&self) {
        self.is_retired.set(true);
        self.connections.close_idle();
    }

    /// Weights of a model; 0 when it does not serve it.
    pub fn weights(&self, model: &str) -> WeightsVersion {
        let weights = self.weights.borrow();
        let found = weights.iter().find(|(name, _)| &**name == model);
        found.map_or(0, |&(_, version)| version)
    }

    /// Notes weights that it was seen with; they never go back within one start.
    pub fn record_weights(&self, model: &ModelId, version: WeightsVersion) {
        let mut weights = self.weights.borrow_mut();
        match weights.iter_mut().find(|(name, _)| name == model) {
            Some((_, known)) => *known = (*known).max(version),
            None => weights.push((model.clone(), version)),
        }
    }

    /// Weights as its own description has them; 0 when it does not name the model.
    pub fn published_weights(&self, model: &str) -> WeightsVersion {
        let record = self.record.borrow();
        let found = record.weights.iter().find(|(name, _)| &**name == model);
        found.map_or(0, |&(_, version)| version)
    }

    /// Corrects weights that were wrongly believed to be newer.
    pub fn overwrite_weights(&self, model: &ModelId, version: WeightsVersion) {
        let mut weights = self.weights.borrow_mut();
        if let Some((_, known)) = weights.iter_mut().find(|(name, _)| name == model) {
            *known = version;
        }
    }

    /// Notes a report of its load.
    pub fn record_load(&self, reading: LoadReading, now: BootInstant) {
        self.load.borrow_mut().apply_report(reading, now);
    }

    /// Counts a request that is about to be sent.
    pub fn start_request(self: &Rc<Self>, prefill_tokens: u64, now: BootInstant) -> RequestGuard {
        self.load.borrow_mut().add_request(prefill_tokens);
        let number = self.health.borrow_mut().record_sent(now);
        RequestGuard {
            endpoint: self.clone(),
            prefill_tokens,
            number,
            started: false,
        }
    }
}

/// A request that is at an endpoint; it is counted until this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    /// Endpoint.
    endpoint: Rc<Endpoint>,
    /// Tokens that it was expected to read.
    prefill_tokens: u64,
    /// Number among the requests sent there.
    number: u64,
    /// Whether its answer has begun.
    started: bool,
}

impl RequestGuard {
    /// Endpoint.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Notes that the answer has begun.
    pub fn mark_started(&mut self, now: BootInstant) {
        if !self.started {
            self.started = true;
            self.endpoint.load.borrow_mut().start_response(self.prefill_tokens);
            self.endpoint.health.borrow_mut().record_response_start(self.number, now);
        }
    }

    /// Notes that a part of the answer has come.
    pub fn record_data(&self, now: BootInstant) {
        self.endpoint.health.borrow_mut().record_activity(now);
    }

    /// Whether requests that were sent later have been answered, so many at least.
    pub fn is_overtaken(&self, by: u32) -> bool {
        let health = self.endpoint.health.borrow();
        !self.started && health.later_responses(self.number) >= by
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut load = self.endpoint.load.borrow_mut();
        if self.started {
            load.finish_response();
            self.endpoint.health.borrow_mut().record_response_end();
        } else {
            load.remove_request(self.prefill_tokens);
            self.endpoint.health.borrow_mut().drop_request(self.number);
        }
    }
}

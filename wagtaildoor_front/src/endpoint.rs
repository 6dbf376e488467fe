//! State of an endpoint as seen by this host.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::{
        Rc,
        Weak, //
    },
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
    end_witness::EndWitness,
    endpoint::endpoint_statements::EndpointStatements,
    endpoint_connection::ConnectionPool,
    endpoint_health::EndpointHealth,
    endpoint_load::EndpointLoad,
    prefix_hash,
    wire_codec::LoadReading, //
};

pub mod endpoint_statements;

/// Hash of an endpoint's id and start time. It identifies one incarnation and is the same on all
/// hosts.
pub type EndpointKey = u64;

/// Record that an endpoint publishes about itself in the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointRecord {
    /// Id of the endpoint; kept across restarts.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Time after the start during which the endpoint is slow.
    pub warm_up: Duration,
    /// Loaded weights version by model; empty for plain services.
    pub weights: Vec<(ModelId, WeightsVersion)>,
    /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Revision of the record; increases with each publication since the start.
    pub revision: u64,
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its current requests and then stops.
    Draining,
}

impl EndpointRecord {
    /// Computes the key from the endpoint's id and start time.
    pub fn key(&self) -> EndpointKey {
        prefix_hash::combine_hashes(prefix_hash::text_hash(&self.id), self.started_ms)
    }
}

/// A load of weights that an engine was ordered to make.
#[derive(Clone, Debug, Eq, PartialEq)]
struct WeightsLoad {
    model: ModelId,
    version: WeightsVersion,
    since: BootInstant,
    /// When the load counts as failed if nothing shows its end.
    overdue_at: BootInstant,
}

/// One incarnation of an endpoint, from its start to its removal.
#[derive(Debug)]
pub struct Endpoint {
    /// Id of the endpoint; kept across restarts.
    pub id: EndpointId,
    /// Hash of the id and the start time.
    pub key: EndpointKey,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Published record with the highest revision.
    record: RefCell<EndpointRecord>,
    /// Weights version of each model: the newest from records, responses and load orders.
    weights: RefCell<Vec<(ModelId, WeightsVersion)>>,
    /// Load of weights in progress, as far as this host knows.
    loading: RefCell<Option<WeightsLoad>>,
    /// Load from this host and the reported load from others.
    pub load: RefCell<EndpointLoad>,
    /// Failures and silence observed by this host.
    pub health: RefCell<EndpointHealth>,
    /// Connections from this host.
    pub connections: ConnectionPool,
    /// Further connection while answers of unknown length are in progress.
    pub end_witness: RefCell<Weak<EndWitness>>,
    /// What this start of the endpoint has said of itself.
    pub statements: Rc<EndpointStatements>,
    /// Set when the endpoint was removed or another endpoint responds at its address.
    is_retired: Cell<bool>,
}

impl Endpoint {
    /// Creates an endpoint without requests from this host, of which nothing is known but its record.
    pub fn new(record: EndpointRecord, now: BootInstant) -> Self {
        Self::with_statements(record, Rc::default(), now)
    }

    /// Creates an endpoint without requests from this host, whose present start has said something of
    /// itself before.
    pub fn with_statements(
        record: EndpointRecord,
        statements: Rc<EndpointStatements>,
        now: BootInstant,
    ) -> Self {
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
            end_witness: RefCell::new(Weak::new()),
            statements,
            is_retired: Cell::new(false),
            loading: RefCell::new(None),
            record: RefCell::new(record),
        }
    }

    /// Whether a record describes this incarnation at the same address and service.
    pub fn matches_record(&self, record: &EndpointRecord) -> bool {
        self.started_ms == record.started_ms
            && self.address == record.address
            && self.service == record.service
    }

    /// Replaces the record, unless the new one has a lower revision.
    pub fn update_record(&self, record: EndpointRecord) {
        if record.revision < self.record.borrow().revision {
            return;
        }
        for (model, version) in &record.weights {
            self.record_weights(model, *version);
            // A record says too late when the load ended for its time to be learned.
            self.finish_load(model, *version, BootInstant::ZERO);
        }
        *self.record.borrow_mut() = record;
    }

    /// Whether the endpoint can receive new requests.
    pub fn is_accepting_requests(&self) -> bool {
        !self.is_retired.get()
            && !self.statements.is_leaving()
            && self.record.borrow().state == EndpointState::Ready
    }

    /// Records that an answer of the endpoint says that it leaves, which excludes it from new requests
    /// whatever its records say. Returns whether it is the first such answer.
    pub fn record_leaving(&self, now: BootInstant) -> bool {
        let is_first = self.statements.record_leaving(now);
        if is_first {
            self.connections.close_idle();
        }
        is_first
    }

    /// Time since an answer of the endpoint first said that it leaves; `None` if none has.
    pub fn leaving_for(&self, now: BootInstant) -> Option<Duration> {
        self.statements.leaving_for(now)
    }

    /// State in the endpoint's newest record.
    pub fn published_state(&self) -> EndpointState {
        self.record.borrow().state
    }

    /// Permanently excludes the endpoint from new requests and closes its idle connections.
    pub fn retire(&self) {
        self.is_retired.set(true);
        self.connections.close_idle();
    }

    /// Weights version of a model, or 0 if the endpoint does not serve it.
    pub fn weights(&self, model: &str) -> WeightsVersion {
        let weights = self.weights.borrow();
        let found = weights.iter().find(|(name, _)| &**name == model);
        found.map_or(0, |&(_, version)| version)
    }

    /// Records a weights version; an older one is ignored, since versions only increase within one
    /// incarnation.
    pub fn record_weights(&self, model: &ModelId, version: WeightsVersion) {
        let mut weights = self.weights.borrow_mut();
        match weights.iter_mut().find(|(name, _)| name == model) {
            Some((_, known)) => *known = (*known).max(version),
            None => weights.push((model.clone(), version)),
        }
    }

    /// Records that the engine was ordered to load weights. A repeated order does not restart the
    /// load's time.
    pub fn begin_load(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        now: BootInstant,
        overdue_after: Duration,
    ) {
        let mut loading = self.loading.borrow_mut();
        let is_known = loading.as_ref().is_some_and(|load| {
            load.model == *model && load.version == version && now < load.overdue_at
        });
        if !is_known {
            *loading = Some(WeightsLoad {
                model: model.clone(),
                version,
                since: now,
                overdue_at: now + overdue_after,
            });
        }
    }

    /// Ends a load because the engine was seen with `version` of the model. Returns how long the
    /// load took if it was a load of that version.
    pub fn finish_load(
        &self,
        model: &str,
        version: WeightsVersion,
        now: BootInstant,
    ) -> Option<Duration> {
        let mut loading = self.loading.borrow_mut();
        let is_done = |load: &mut WeightsLoad| &*load.model == model && load.version <= version;
        let load = loading.take_if(is_done)?;
        (load.version == version).then(|| now.since(load.since))
    }

    /// Ends a load that did not take place.
    pub fn cancel_load(&self) {
        self.loading.take();
    }

    /// Time since a load began that is not overdue; `None` if there is none.
    pub fn load_age(&self, now: BootInstant) -> Option<Duration> {
        let loading = self.loading.borrow();
        let load = loading.as_ref().filter(|load| now < load.overdue_at);
        load.map(|load| now.since(load.since))
    }

    /// Whether the engine is loading weights of a model, and so refuses new requests for it.
    pub fn is_loading(&self, model: &str, now: BootInstant) -> bool {
        let loading = self.loading.borrow();
        let load = loading.as_ref().filter(|load| &*load.model == model);
        load.is_some_and(|load| now < load.overdue_at)
    }

    /// Weights version from the endpoint's record, or 0 if the record does not name the model.
    pub fn published_weights(&self, model: &str) -> WeightsVersion {
        let record = self.record.borrow();
        let found = record.weights.iter().find(|(name, _)| &**name == model);
        found.map_or(0, |&(_, version)| version)
    }

    /// Replaces a weights version that was wrongly assumed, also by an older one.
    pub fn overwrite_weights(&self, model: &ModelId, version: WeightsVersion) {
        let mut weights = self.weights.borrow_mut();
        if let Some((_, known)) = weights.iter_mut().find(|(name, _)| name == model) {
            *known = version;
        }
    }

    /// Records a load report of the endpoint.
    pub fn record_load(&self, reading: LoadReading, now: BootInstant) {
        self.load.borrow_mut().apply_report(reading, now);
    }

    /// Counts a request that is about to be sent; dropping the guard ends it.
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

/// Counts a request in the load and health of its endpoint until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    /// Endpoint that received the request.
    endpoint: Rc<Endpoint>,
    /// Number of prompt tokens that the endpoint was expected to prefill.
    prefill_tokens: u64,
    /// Sequence number among this host's requests to the endpoint.
    number: u64,
    /// Whether the response has started.
    started: bool,
}

impl RequestGuard {
    /// Endpoint that received the request.
    pub fn endpoint(&self) -> &Rc<Endpoint> {
        &self.endpoint
    }

    /// Records that the response has started; later calls have no effect.
    pub fn mark_started(&mut self, now: BootInstant) {
        if !self.started {
            self.started = true;
            self.endpoint
                .load
                .borrow_mut()
                .start_response(self.prefill_tokens);
            self.endpoint
                .health
                .borrow_mut()
                .record_response_start(self.number, now);
        }
    }

    /// Records that response data arrived, which shows that the endpoint is alive.
    pub fn record_data(&self, now: BootInstant) {
        self.endpoint.health.borrow_mut().record_activity(now);
    }

    /// Whether the request is unanswered while at least `by` later requests were answered.
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

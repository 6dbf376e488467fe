//! Rollouts of model weights that operators requested from this keeper.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use futures_util::future;
use reqwest::Client;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use wagtaildoor::{
    config_publisher::{
        self,
        PublishOutcome, //
    },
    ids::{
        EndpointId,
        WeightsVersion, //
    },
    lease_holder::LeaseHolder,
    rollout::{
        RolloutReplica,
        RolloutView, //
    },
    rollout_driver::{
        RolloutBackend, //
        RolloutDriver,
        RolloutOutcome,
    },
    schema::{
        ConfigChange,
        EndpointView,
        EngineOrder,
        EngineState,
        EventKind,
        Pool,
        PoolKind,
        RolloutCall,
        RolloutStory,
        WeightsChange, //
    },
    timeline::EventDraft,
};

use crate::state::KeeperState;

/// Timeout for one response of an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the log to accept or reject the publication of new weights.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(4);

/// Result of requesting a rollout.
pub type Result<T> = std::result::Result<T, RolloutRefusal>;

/// Reason why a rollout was not started.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum RolloutRefusal {
    /// No model pool of this name is in the configuration in force.
    #[display("no pool of models named \"{_0}\" is in force")]
    NoPool(#[error(not(source))] Box<str>),
    /// The requested version is older than the one in force.
    #[display(
        "version {version} is older than {in_force}, which is in force; weights never go back"
    )]
    Older {
        /// Requested version.
        version: WeightsVersion,
        /// Weights version that the pool's configuration has in force.
        in_force: WeightsVersion,
    },
    /// This keeper is already driving a rollout of this pool.
    #[display("a roll-out of pool {_0} is under way here")]
    UnderWay(#[error(not(source))] Box<str>),
}

/// Rollouts since this keeper started. Clones share them.
#[derive(Clone, Default)]
pub struct RolloutRegistry {
    /// Rollouts in the order of their requests. A rollout is identified by its index.
    rollouts: Arc<Mutex<Vec<RolloutStory>>>,
}

impl RolloutRegistry {
    /// Returns all rollouts, finished ones too.
    pub fn list(&self) -> Vec<RolloutStory> {
        self.lock().clone()
    }

    /// Starts a rollout in a new task, which waits while another keeper holds the pool's lease.
    ///
    /// Each step is chosen from the state read back from the replicas. If this keeper stops, the
    /// operator can request the same rollout from another one, which continues from that state.
    pub fn start(
        &self,
        state: &Arc<KeeperState>,
        call: RolloutCall,
        token: CancellationToken,
    ) -> Result<()> {
        let pool = validate_pool(state, &call)?;
        let index = self.add(&call)?;
        let backend = PoolBackend::new(Arc::clone(state), &call);
        let name = format!("{}/{}", state.settings.host.name, Uuid::new_v4());
        let holder = LeaseHolder::new(state.store.clone(), &name);
        let driver = RolloutDriver::new(holder, backend, &pool.id);
        let rollouts = self.clone();
        let state = Arc::clone(state);
        tokio::spawn(async move {
            let outcome = driver.run(token).await;
            rollouts.record_outcome(&state, index, &outcome);
        });
        Ok(())
    }

    /// Adds a rollout and returns its index. Fails if one of the same pool has not ended.
    fn add(&self, call: &RolloutCall) -> Result<usize> {
        let mut rollouts = self.lock();
        let mut running = rollouts.iter().filter(|rollout| rollout.ended.is_none());
        if running.any(|rollout| rollout.pool == call.pool) {
            return Err(RolloutRefusal::UnderWay(call.pool.clone()));
        }
        rollouts.push(RolloutStory {
            ended: None,
            operator: call.operator.clone(),
            pool: call.pool.clone(),
            version: call.version,
        });
        Ok(rollouts.len() - 1)
    }

    /// Records the outcome of a rollout in the list and in the timeline.
    fn record_outcome(&self, state: &KeeperState, index: usize, outcome: &RolloutOutcome) {
        let sentence = describe_outcome(outcome);
        let kind = match outcome {
            RolloutOutcome::Done => EventKind::RolloutStep,
            RolloutOutcome::Stopped(_) | RolloutOutcome::LeaseLost | RolloutOutcome::Cancelled => {
                EventKind::RolloutStopped
            }
        };
        if let Some(rollout) = self.lock().get_mut(index) {
            state.record_event(kind, format!("rollout of {}: {sentence}", rollout.pool));
            rollout.ended = Some(sentence);
        }
    }

    /// Locks the list, also if another task has panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, Vec<RolloutStory>> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Describes an outcome in a sentence for operators.
fn describe_outcome(outcome: &RolloutOutcome) -> Box<str> {
    match outcome {
        RolloutOutcome::Done => "all replicas have the new weights".into(),
        RolloutOutcome::Stopped(reason) => format!("stopped: {reason}").into(),
        RolloutOutcome::LeaseLost => "the lease was lost; ask again to go on".into(),
        RolloutOutcome::Cancelled => "this keeper ended; ask another one to go on".into(),
    }
}

/// Returns the requested pool, if it serves models and its weights are not newer than requested.
fn validate_pool(state: &KeeperState, call: &RolloutCall) -> Result<Pool> {
    let pool = find_pool(state, &call.pool)
        .filter(|pool| pool.kind == PoolKind::Model)
        .ok_or_else(|| RolloutRefusal::NoPool(call.pool.clone()))?;
    if call.version < pool.weights_version {
        return Err(RolloutRefusal::Older {
            version: call.version,
            in_force: pool.weights_version,
        });
    }
    Ok(pool)
}

/// Returns a pool of the configuration in force.
fn find_pool(state: &KeeperState, id: &str) -> Option<Pool> {
    let config = state.config.watch().borrow().configuration.clone();
    config.pools.iter().find(|pool| &*pool.id == id).cloned()
}

/// Connects a rollout driver with the engines and the configuration of one pool.
struct PoolBackend {
    state: Arc<KeeperState>,
    /// Request of the operator.
    call: RolloutCall,
    /// HTTP client for requests to engines.
    client: Client,
    /// Share of replicas that did not respond to the first round of reads, from 0 to 1.
    baseline: Mutex<Option<f64>>,
}

impl PoolBackend {
    /// Creates a backend for a request.
    fn new(state: Arc<KeeperState>, call: &RolloutCall) -> Self {
        Self {
            client: state.engine_client.clone(),
            call: call.clone(),
            baseline: Mutex::new(None),
            state,
        }
    }

    /// Returns the known endpoints of the pool.
    fn endpoints(&self) -> Vec<EndpointView> {
        let known = self.state.endpoints.borrow();
        let pool = known.iter().filter(|view| view.pool == self.call.pool);
        pool.cloned().collect()
    }

    /// Reads the weights of a replica. They are `None` if it does not respond.
    async fn read_replica(&self, endpoint: EndpointView) -> RolloutReplica {
        let url = format!("http://{}/state", endpoint.address);
        let state = self.request_json::<EngineState>(self.client.get(url)).await;
        RolloutReplica {
            domain: endpoint.domain,
            endpoint: endpoint.id,
            loading: state.as_ref().map_or(0, |state| state.loading),
            weights: state.map(|state| state.weights_version),
        }
    }

    /// Sends a request and parses the response. `None` if the engine refuses or does not respond.
    async fn request_json<T: serde::de::DeserializeOwned>(
        &self,
        request: reqwest::RequestBuilder, //
    ) -> Option<T> {
        let response = request.timeout(ENGINE_TIMEOUT).send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }

    /// Returns the share of silent replicas in the first round of reads. The first call stores
    /// `current_share` as this value, and all calls return the stored value.
    fn baseline_silent_share(&self, current_share: f64) -> f64 {
        let mut baseline = self.baseline.lock().unwrap_or_else(PoisonError::into_inner);
        *baseline.get_or_insert(current_share)
    }

    /// Records a rollout event of an endpoint in the timeline.
    fn record_event(&self, kind: EventKind, endpoint: &EndpointId, detail: String) {
        let draft = EventDraft::new(kind, detail).endpoint(endpoint.clone());
        self.state.recorder.record(draft);
    }
}

impl RolloutBackend for PoolBackend {
    fn checks_fencing(&self) -> bool {
        find_pool(&self.state, &self.call.pool).is_some_and(|pool| pool.checks_fencing)
    }

    async fn view(&self) -> RolloutView {
        let pool = find_pool(&self.state, &self.call.pool);
        let reads = self
            .endpoints()
            .into_iter()
            .map(|view| self.read_replica(view));
        let replicas = future::join_all(reads).await;
        let silent = replicas
            .iter()
            .filter(|replica| replica.weights.is_none())
            .count();
        let current_error_share = silent as f64 / replicas.len().max(1) as f64;
        RolloutView {
            baseline_error_share: self.baseline_silent_share(current_error_share),
            current_error_share,
            in_force: pool.as_ref().map_or(0, |pool| pool.weights_version),
            load_slots: pool.map_or(0, |pool| pool.load_slots as usize),
            replicas,
            target: self.call.version,
        }
    }

    async fn send_order(&self, endpoint: &EndpointId, order: EngineOrder) -> Option<EngineState> {
        let known = self.endpoints();
        let address = known.iter().find(|view| view.id == *endpoint)?.address;
        let url = format!("http://{address}/orders");
        let detail = format!(
            "ordered {endpoint} to load weights {} with fencing token {}",
            order.weights_version, order.fencing
        );
        self.record_event(EventKind::OrderSent, endpoint, detail);
        let state = self.request_json(self.client.post(url).json(&order)).await;
        if state.is_none() {
            let detail = format!("{endpoint} refused the order or did not respond");
            self.record_event(EventKind::OrderRefused, endpoint, detail);
        }
        state
    }

    async fn publish_weights(&self, weights: WeightsVersion) -> bool {
        let change = ConfigChange::RaiseWeights(WeightsChange {
            pool: self.call.pool.clone(),
            version: weights,
        });
        let outcome = config_publisher::publish_after(
            self.state.store.clone(),
            self.state.config.chain(),
            &self.call.operator,
            &self.call.note,
            vec![change],
            Instant::now() + PUBLISH_TIMEOUT,
        )
        .await;
        let is_published = matches!(outcome, PublishOutcome::Published(_));
        let detail = match is_published {
            true => format!("weights {weights} of {} are in force", self.call.pool),
            false => format!(
                "weights {weights} of {} are not in force yet",
                self.call.pool
            ),
        };
        self.state.record_event(EventKind::RolloutStep, detail);
        is_published
    }
}

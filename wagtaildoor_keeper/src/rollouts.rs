//! Roll-outs of weights that operators ask this keeper for.

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

/// Longest wait for one answer of an engine.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the log to decide on the raise.
const RAISE_WAIT: Duration = Duration::from_secs(4);

/// Result of asking for a roll-out; an error says why it is not under way.
pub type Result<T> = std::result::Result<T, RolloutRefusal>;

/// Why a roll-out was not started.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum RolloutRefusal {
    /// The pool is not one of models in force.
    #[display("no pool of models named \"{_0}\" is in force")]
    NoPool(#[error(not(source))] Box<str>),
    /// The version is older than the one in force.
    #[display(
        "version {version} is older than {in_force}, which is in force; weights never go back"
    )]
    Older {
        /// Version asked for.
        version: WeightsVersion,
        /// Version in force.
        in_force: WeightsVersion,
    },
    /// This keeper drives a roll-out of the pool already.
    #[display("a roll-out of pool {_0} is under way here")]
    UnderWay(#[error(not(source))] Box<str>),
}

/// Roll-outs since the start of this keeper; clones share them.
#[derive(Clone, Default)]
pub struct RolloutDesk {
    /// Roll-outs, in the order they were asked for.
    stories: Arc<Mutex<Vec<RolloutStory>>>,
}

impl RolloutDesk {
    /// All roll-outs so far.
    pub fn stories(&self) -> Vec<RolloutStory> {
        self.lock().clone()
    }

    /// Starts a roll-out. Another keeper may hold the pool's lease; then this one waits for it.
    ///
    /// What comes next is read back from the replicas each time, so that an operator who asks
    /// another keeper after this one has gone goes on where it stood.
    pub fn start(
        &self,
        state: &Arc<KeeperState>,
        call: RolloutCall,
        token: CancellationToken,
    ) -> Result<()> {
        let pool = checked_pool(state, &call)?;
        let place = self.begin(&call)?;
        let scene = PoolScene::new(Arc::clone(state), &call);
        let name = format!("{}/{}", state.settings.host.name, Uuid::new_v4());
        let holder = LeaseHolder::new(state.store.clone(), &name);
        let driver = RolloutDriver::new(holder, scene, &pool.id);
        let desk = self.clone();
        let state = Arc::clone(state);
        tokio::spawn(async move {
            let end = driver.run(token).await;
            desk.end(&state, place, &end);
        });
        Ok(())
    }

    /// Files a roll-out; there is one of a pool at a time.
    fn begin(&self, call: &RolloutCall) -> Result<usize> {
        let mut stories = self.lock();
        let mut open = stories.iter().filter(|story| story.ended.is_none());
        if open.any(|story| story.pool == call.pool) {
            return Err(RolloutRefusal::UnderWay(call.pool.clone()));
        }
        stories.push(RolloutStory {
            ended: None,
            operator: call.operator.clone(),
            pool: call.pool.clone(),
            version: call.version,
        });
        Ok(stories.len() - 1)
    }

    /// Notes how a roll-out ended.
    fn end(&self, state: &KeeperState, place: usize, end: &RolloutOutcome) {
        let sentence = end_sentence(end);
        let kind = match end {
            RolloutOutcome::Done => EventKind::RolloutStep,
            RolloutOutcome::Stopped(_) | RolloutOutcome::LeaseLost | RolloutOutcome::Cancelled => {
                EventKind::RolloutStopped
            }
        };
        if let Some(story) = self.lock().get_mut(place) {
            state.note(kind, format!("roll-out of {}: {sentence}", story.pool));
            story.ended = Some(sentence);
        }
    }

    /// The roll-outs, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, Vec<RolloutStory>> {
        self.stories.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a roll-out ended, in words.
fn end_sentence(end: &RolloutOutcome) -> Box<str> {
    match end {
        RolloutOutcome::Done => "all replicas have the new weights".into(),
        RolloutOutcome::Stopped(reason) => format!("stopped: {reason}").into(),
        RolloutOutcome::LeaseLost => "the lease was lost; ask again to go on".into(),
        RolloutOutcome::Cancelled => "this keeper ended; ask another one to go on".into(),
    }
}

/// The pool of a call, if its weights may go on to the version.
fn checked_pool(state: &KeeperState, call: &RolloutCall) -> Result<Pool> {
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

/// A pool in force.
fn find_pool(state: &KeeperState, id: &str) -> Option<Pool> {
    let config = state.config.watch().borrow().configuration.clone();
    config.pools.iter().find(|pool| &*pool.id == id).cloned()
}

/// What a roll-out of one pool sees and does.
struct PoolScene {
    /// State of the keeper.
    state: Arc<KeeperState>,
    /// What was asked for.
    call: RolloutCall,
    /// Client towards engines.
    client: Client,
    /// Share of replicas that did not answer at the first look.
    silent_before: Mutex<Option<f64>>,
}

impl PoolScene {
    /// The scene of a call.
    fn new(state: Arc<KeeperState>, call: &RolloutCall) -> Self {
        Self {
            client: state.engines.clone(),
            call: call.clone(),
            silent_before: Mutex::new(None),
            state,
        }
    }

    /// Endpoints of the pool.
    fn endpoints(&self) -> Vec<EndpointView> {
        let known = self.state.endpoints.borrow();
        let own = known.iter().filter(|one| one.pool == self.call.pool);
        own.cloned().collect()
    }

    /// A replica as it tells of itself.
    async fn replica(&self, endpoint: EndpointView) -> RolloutReplica {
        let url = format!("http://{}/state", endpoint.address);
        let state = self.ask::<EngineState>(self.client.get(url)).await;
        RolloutReplica {
            domain: endpoint.domain,
            endpoint: endpoint.id,
            loading: state.as_ref().map_or(0, |state| state.loading),
            weights: state.map(|state| state.weights_version),
        }
    }

    /// Sends a call to an engine; `None` when it refuses or does not answer.
    async fn ask<T: serde::de::DeserializeOwned>(
        &self,
        call: reqwest::RequestBuilder, //
    ) -> Option<T> {
        let answer = call.timeout(ENGINE_TIMEOUT).send().await.ok()?;
        answer.error_for_status().ok()?.json().await.ok()
    }

    /// Share of replicas that did not answer at the first look.
    fn silent_before(&self, now: f64) -> f64 {
        let mut before = self
            .silent_before
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *before.get_or_insert(now)
    }

    /// Notes a step in the time line.
    fn note(&self, kind: EventKind, endpoint: &EndpointId, detail: String) {
        let draft = EventDraft::new(kind, detail).endpoint(endpoint.clone());
        self.state.recorder.record(draft);
    }
}

impl RolloutBackend for PoolScene {
    fn checks_fencing(&self) -> bool {
        find_pool(&self.state, &self.call.pool).is_some_and(|pool| pool.checks_fencing)
    }

    async fn view(&self) -> RolloutView {
        let pool = find_pool(&self.state, &self.call.pool);
        let looks = self.endpoints().into_iter().map(|one| self.replica(one));
        let replicas = future::join_all(looks).await;
        let silent = replicas.iter().filter(|one| one.weights.is_none()).count();
        let errors_now = silent as f64 / replicas.len().max(1) as f64;
        RolloutView {
            errors_before: self.silent_before(errors_now),
            errors_now,
            in_force: pool.as_ref().map_or(0, |pool| pool.weights_version),
            load_slots: pool.map_or(0, |pool| pool.load_slots as usize),
            replicas,
            target: self.call.version,
        }
    }

    async fn send_order(&self, endpoint: &EndpointId, order: EngineOrder) -> Option<EngineState> {
        let known = self.endpoints();
        let address = known.iter().find(|one| one.id == *endpoint)?.address;
        let url = format!("http://{address}/orders");
        let detail = format!(
            "{endpoint} is to load weights {} under number {}",
            order.weights_version, order.fencing
        );
        self.note(EventKind::OrderSent, endpoint, detail);
        let state = self.ask(self.client.post(url).json(&order)).await;
        if state.is_none() {
            let detail = format!("{endpoint} refused the order, or did not answer");
            self.note(EventKind::OrderRefused, endpoint, detail);
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
            Instant::now() + RAISE_WAIT,
        )
        .await;
        let raised = matches!(outcome, PublishOutcome::Published(_));
        let detail = match raised {
            true => format!("weights {weights} of {} are in force", self.call.pool),
            false => format!("weights {weights} of {} not raised yet", self.call.pool),
        };
        self.state.note(EventKind::RolloutStep, detail);
        raised
    }
}

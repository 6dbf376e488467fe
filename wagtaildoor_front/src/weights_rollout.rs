//! Rolls out new weights to the engines, a limited number at a time.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task,
    time, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        ModelId,
        WeightsVersion, //
    },
};

use crate::{
    endpoint::{
        Endpoint,
        EndpointKey, //
    },
    endpoint_call::{
        self,
        CallError, //
    },
    front::Front,
    front_settings::RolloutPolicy,
    prefix_hash,
    shard_leases::ShardLeases,
    wire_codec::{
        EngineReport,
        OrderVerdict,
        WeightsOrder,
        WireCodec, //
    },
};

const SCAN_INTERVAL: Duration = Duration::from_millis(40);
const REPORT_TIMEOUT: Duration = Duration::from_millis(350);
const ORDER_TIMEOUT: Duration = Duration::from_millis(450);
/// Time in which an engine should load its weights once it is its turn: a report, an order, and a
/// load that is slowed down by others.
const TURN_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before an engine is contacted again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Progress of this host's last order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderState {
    /// A report or an order is in flight.
    Calling,
    /// The engine is loading weights, or has confirmed that it holds them.
    Loading {
        /// Version of the weights being loaded.
        version: WeightsVersion,
        /// When the load should be done.
        done: BootInstant,
        /// When the engine's own record must show the version.
        confirm_by: BootInstant,
    },
    /// The engine is contacted again at this time.
    Waiting(BootInstant),
}

/// Tracks orders by engine, and which engines may load next.
#[derive(Debug, Default)]
pub struct OrderTracker {
    /// Progress of this host's orders.
    states: HashMap<EndpointKey, OrderState>,
    /// Version being rolled out.
    version: WeightsVersion,
    /// When this host first found each engine next to load; `TURN_TIMEOUT` counts from here.
    turns: HashMap<EndpointKey, BootInstant>,
}

/// State of an engine that the choice of the next orders depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutEngine {
    /// Key of this start of the engine.
    pub key: EndpointKey,
    /// Version that the engine is believed to serve.
    pub weights: WeightsVersion,
    /// Version in the engine's own record.
    pub published_weights: WeightsVersion,
    /// Whether this host holds the lease of the engine's shard.
    pub is_own: bool,
}

impl OrderTracker {
    /// Records the progress of an order to an engine.
    pub fn set_state(&mut self, key: EndpointKey, state: OrderState) {
        self.states.insert(key, state);
    }

    /// Engines of this host that should be sent an order now.
    ///
    /// All hosts sort the outdated engines alike, and the first `at_once` of them have their turn.
    /// This limits the concurrent loads although the orders come from several hosts. The turn of an
    /// engine that does not load in time expires, and the next engine gets a turn.
    pub fn next_orders(
        &mut self,
        engines: &[RolloutEngine],
        wanted: WeightsVersion,
        at_once: usize,
        now: BootInstant,
    ) -> Vec<EndpointKey> {
        if wanted != self.version {
            self.version = wanted;
            self.turns.clear();
        }
        let known = |key: &EndpointKey| engines.iter().any(|engine| engine.key == *key);
        self.states.retain(|key, _| known(key));
        self.turns.retain(|key, _| known(key));
        let mut behind: Vec<&RolloutEngine> = engines
            .iter()
            .filter(|engine| engine.weights < wanted && !self.has_turn_expired(engine.key, now))
            .collect();
        behind.sort_by_key(|engine| rollout_rank(engine.key, wanted));
        let turns: Vec<&RolloutEngine> = behind.into_iter().take(at_once).collect();
        for engine in &turns {
            self.turns.entry(engine.key).or_insert(now);
        }
        let late = engines
            .iter()
            .filter(|engine| engine.weights < wanted && self.has_turn_expired(engine.key, now));
        let due = turns.into_iter().chain(late).filter(|engine| engine.is_own);
        let due = due.map(|engine| engine.key);
        due.filter(|key| self.is_due(*key, wanted, now)).collect()
    }

    /// Removes and returns the engines whose record does not show the ordered version in time.
    pub fn take_unconfirmed(
        &mut self,
        engines: &[RolloutEngine],
        now: BootInstant,
    ) -> Vec<EndpointKey> {
        let mut unconfirmed = Vec::new();
        for engine in engines {
            let Some(OrderState::Loading {
                version,
                confirm_by,
                ..
            }) = self.states.get(&engine.key)
            else {
                continue;
            };
            if now >= *confirm_by {
                if engine.published_weights < *version {
                    unconfirmed.push(engine.key);
                }
                self.states.remove(&engine.key);
            }
        }
        unconfirmed
    }

    /// Whether an engine's turn has lasted so long that the next engine may load as well.
    fn has_turn_expired(&self, key: EndpointKey, now: BootInstant) -> bool {
        let turn = self.turns.get(&key);
        turn.is_some_and(|&since| now.since(since) > TURN_TIMEOUT)
    }

    /// Whether an engine may be sent an order now.
    fn is_due(&self, key: EndpointKey, wanted: WeightsVersion, now: BootInstant) -> bool {
        match self.states.get(&key) {
            None => true,
            Some(OrderState::Calling) => false,
            Some(OrderState::Loading { version, done, .. }) => *version < wanted && now >= *done,
            Some(OrderState::Waiting(until)) => now >= *until,
        }
    }
}

/// Sort key for the order in which all hosts update the engines to a version.
pub fn rollout_rank(engine: EndpointKey, wanted: WeightsVersion) -> u64 {
    prefix_hash::combine_hashes(wanted, engine)
}

/// Number of a service's engines that may load at the same time, at least 1.
pub fn max_concurrent_loads(engines: usize, policy: &RolloutPolicy) -> usize {
    let share = (engines as f64 * policy.max_loading_share).floor() as usize;
    share.max(1)
}

/// Rolls out weights to the engines of this host's shards until the process ends.
pub async fn run_rollout<C: WireCodec>(front: Rc<Front>, leases: Rc<ShardLeases>) {
    let tracker = Rc::new(RefCell::new(OrderTracker::default()));
    loop {
        time::sleep(SCAN_INTERVAL).await;
        let now = BootInstant::now();
        if leases.usable_shards(now).next().is_none() {
            continue;
        }
        for (model, wanted) in front.all_wanted_weights() {
            order_next_engines::<C>(&front, &leases, &tracker, &model, wanted.version, now);
        }
    }
}

/// Sends the next orders for one model.
fn order_next_engines<C: WireCodec>(
    front: &Rc<Front>,
    leases: &Rc<ShardLeases>,
    tracker: &Rc<RefCell<OrderTracker>>,
    model: &ModelId,
    wanted: WeightsVersion,
    now: BootInstant,
) {
    let directory = front.endpoints.borrow();
    let serving: Vec<&Rc<Endpoint>> = directory
        .all()
        .filter(|e| {
            e.is_accepting_requests() && !e.health.borrow().is_down() && e.weights(model) > 0
        })
        .collect();
    let engines: Vec<RolloutEngine> = serving
        .iter()
        .map(|endpoint| RolloutEngine {
            key: endpoint.key,
            weights: endpoint.weights(model),
            published_weights: endpoint.published_weights(model),
            is_own: leases.fencing_token_for(endpoint.key, now).is_some(),
        })
        .collect();
    let mut orders = tracker.borrow_mut();
    for key in orders.take_unconfirmed(&engines, now) {
        if let Some(endpoint) = directory.get_by_key(key) {
            let described = endpoint.published_weights(model);
            slog::warn!(front.log, "weights not confirmed"; "endpoint" => &*endpoint.id,
                "wanted" => wanted, "described" => described);
            endpoint.overwrite_weights(model, described);
        }
    }
    let limit = max_concurrent_loads(serving.len(), &front.settings.rollout);
    for key in orders.next_orders(&engines, wanted, limit, now) {
        let Some(endpoint) = directory.get_by_key(key).cloned() else {
            continue;
        };
        orders.set_state(key, OrderState::Calling);
        let order = EngineOrder {
            front: front.clone(),
            leases: leases.clone(),
            tracker: tracker.clone(),
            endpoint,
            model: model.clone(),
            version: wanted,
        };
        task::spawn_local(order.run::<C>());
    }
}

/// Update of one engine to a version of the weights.
struct EngineOrder {
    front: Rc<Front>,
    leases: Rc<ShardLeases>,
    /// Receives the result.
    tracker: Rc<RefCell<OrderTracker>>,
    endpoint: Rc<Endpoint>,
    model: ModelId,
    version: WeightsVersion,
}

impl EngineOrder {
    /// Requests the engine's report, and sends an order if the engine is outdated and not busy.
    async fn run<C: WireCodec>(self) {
        let state = match self.fetch_report::<C>().await {
            Some(report) if report.weights_of(&self.model) >= self.version => {
                self.mark_weights_loaded();
                self.loading_state(BootInstant::now())
            }
            Some(report) if report.busy => self.retry_state(),
            Some(report) => self.send_order::<C>(&report).await,
            None => self.retry_state(),
        };
        self.tracker
            .borrow_mut()
            .set_state(self.endpoint.key, state);
    }

    /// Requests the engine's report; `None` if the call fails or the report cannot be parsed.
    async fn fetch_report<C: WireCodec>(&self) -> Option<EngineReport> {
        let call = C::build_report_call(&self.endpoint.id);
        match endpoint_call::call(&self.endpoint, call, REPORT_TIMEOUT).await {
            Ok((status, body)) if status.is_success() => C::parse_report(&body),
            Ok((status, _)) => {
                self.log_verdict("no report", &status.to_string());
                None
            }
            Err(error) => {
                self.log_verdict("no report", &error.to_string());
                None
            }
        }
    }

    /// Sends the order if the lease still holds.
    async fn send_order<C: WireCodec>(&self, report: &EngineReport) -> OrderState {
        let key = self.endpoint.key;
        let Some(fencing) = self.leases.fencing_token_for(key, BootInstant::now()) else {
            return self.retry_state();
        };
        let order = WeightsOrder {
            model: &self.model,
            version: self.version,
            holder: &self.front.settings.host,
            fencing,
            orders_before: report.orders,
        };
        let call = C::build_order_call(&self.endpoint.id, &order);
        self.endpoint
            .load
            .borrow_mut()
            .mark_full(BootInstant::now());
        self.front
            .hints
            .borrow_mut()
            .push_weights(key, &self.model, self.version, true);
        let answer = endpoint_call::call(&self.endpoint, call, ORDER_TIMEOUT).await;
        let now = BootInstant::now();
        match answer.map(|(status, _)| C::parse_order_verdict(status)) {
            Ok(OrderVerdict::Accepted) => {
                self.log_verdict("accepted", "");
                task::spawn_local(confirm_after_load(
                    self.front.clone(),
                    self.endpoint.clone(),
                    self.model.clone(),
                    self.version,
                ));
                self.loading_state(now + self.front.settings.rollout.load_time)
            }
            Ok(OrderVerdict::AlreadyHolds) => {
                self.log_verdict("already_holds", "");
                self.mark_weights_loaded();
                self.loading_state(now)
            }
            Ok(OrderVerdict::Busy) => {
                self.log_verdict("busy", "");
                self.retry_state()
            }
            Ok(OrderVerdict::Fenced) => {
                self.log_verdict("fenced", "");
                self.retry_state()
            }
            Ok(OrderVerdict::Refused) => {
                self.log_verdict("refused", "");
                self.retry_state()
            }
            Err(CallError::NotSent(reason)) => {
                self.log_verdict("not_sent", &reason);
                self.retry_state()
            }
            Err(CallError::AnswerLost(reason)) => {
                self.log_verdict("answer_lost", &reason);
                self.retry_state()
            }
        }
    }

    /// Marks the weights as loaded, and queues the change for the other hosts.
    fn mark_weights_loaded(&self) {
        share_weights(&self.front, &self.endpoint, &self.model, self.version);
    }

    /// State of an engine whose load should be done at a given time.
    fn loading_state(&self, done: BootInstant) -> OrderState {
        OrderState::Loading {
            version: self.version,
            done,
            confirm_by: done + self.front.settings.rollout.confirm_timeout,
        }
    }

    /// State of an engine that is contacted again after [`RETRY_DELAY`].
    fn retry_state(&self) -> OrderState {
        OrderState::Waiting(BootInstant::now() + RETRY_DELAY)
    }

    /// Logs and counts the result of the order.
    fn log_verdict(&self, verdict: &'static str, detail: &str) {
        self.front.metrics.record_order(verdict);
        slog::info!(self.front.log, "order"; "endpoint" => &*self.endpoint.id,
            "model" => &*self.model, "version" => self.version,
            "verdict" => verdict, "detail" => detail);
    }
}

/// Marks weights as loaded after the load time. The engine's next record must confirm it.
async fn confirm_after_load(
    front: Rc<Front>,
    endpoint: Rc<Endpoint>,
    model: ModelId,
    version: WeightsVersion,
) {
    time::sleep(front.settings.rollout.load_time).await;
    share_weights(&front, &endpoint, &model, version);
}

/// Marks weights as loaded by an engine, and queues the change for the other hosts.
fn share_weights(front: &Front, endpoint: &Endpoint, model: &ModelId, version: WeightsVersion) {
    endpoint.record_weights(model, version);
    let mut hints = front.hints.borrow_mut();
    hints.push_weights(endpoint.key, model, version, false);
}

impl EngineReport {
    /// Version of a model's weights; 0 if the engine does not serve the model.
    pub fn weights_of(&self, model: &str) -> WeightsVersion {
        let found = self.weights.iter().find(|(name, _)| &**name == model);
        found.map_or(0, |&(_, version)| version)
    }
}

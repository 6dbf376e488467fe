//! Brings engines to the weights that the operator wants, some at a time.

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

/// Pause between two looks at what is to be done.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
/// Time for a report of an engine.
const REPORT_TIME: Duration = Duration::from_millis(350);
/// Time for an answer to an order.
const ORDER_TIME: Duration = Duration::from_millis(450);
/// Time in which an engine should have its weights once it has its turn: a report, an order, and a
/// load that is slowed by others.
const TURN_TIME: Duration = Duration::from_millis(1_200);
/// Pause before an engine is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What was last done about one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderState {
    /// A report or an order is on its way.
    Calling,
    /// It loads weights until then, and must be seen with them by a later time.
    Loading {
        /// Weights.
        version: WeightsVersion,
        /// When it should be done.
        done: BootInstant,
        /// When it must have been seen with them.
        confirm_by: BootInstant,
    },
    /// It is asked again then.
    Waiting(BootInstant),
}

/// Orders by engine, and who may load next.
#[derive(Debug, Default)]
pub struct OrderTracker {
    /// What was last done by this host.
    states: HashMap<EndpointKey, OrderState>,
    /// Weights that are rolled out.
    version: WeightsVersion,
    /// When each engine's turn was first seen.
    turns: HashMap<EndpointKey, BootInstant>,
}

/// An engine as the choice of the next order sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutEngine {
    /// Engine.
    pub key: EndpointKey,
    /// Weights that it is believed to have.
    pub weights: WeightsVersion,
    /// Weights as it describes itself.
    pub described: WeightsVersion,
    /// Whether this host gives it orders.
    pub is_own: bool,
}

impl OrderTracker {
    /// Notes what was done about an engine.
    pub fn set_state(&mut self, key: EndpointKey, state: OrderState) {
        self.states.insert(key, state);
    }

    /// Engines of this host to be given an order now.
    ///
    /// All hosts put the engines that are behind into the same order, and the first so many have
    /// their turn. So no more load at a time, though their orders come from several hosts. An
    /// engine that does nothing with its turn loses it.
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
            .filter(|engine| engine.weights < wanted && !self.has_lost_turn(engine.key, now))
            .collect();
        behind.sort_by_key(|engine| rollout_rank(engine.key, wanted));
        let turns: Vec<&RolloutEngine> = behind.into_iter().take(at_once).collect();
        for engine in &turns {
            self.turns.entry(engine.key).or_insert(now);
        }
        let late = engines
            .iter()
            .filter(|engine| engine.weights < wanted && self.has_lost_turn(engine.key, now));
        let due = turns.into_iter().chain(late).filter(|engine| engine.is_own);
        let due = due.map(|engine| engine.key);
        due.filter(|key| self.is_due(*key, wanted, now)).collect()
    }

    /// Engines that should have been seen with their weights by now, and were not.
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
                if engine.described < *version {
                    unconfirmed.push(engine.key);
                }
                self.states.remove(&engine.key);
            }
        }
        unconfirmed
    }

    /// Whether an engine had its turn for so long that the next may load beside it.
    fn has_lost_turn(&self, key: EndpointKey, now: BootInstant) -> bool {
        let turn = self.turns.get(&key);
        turn.is_some_and(|&since| now.since(since) > TURN_TIME)
    }

    /// Whether an engine may be given an order.
    fn is_due(&self, key: EndpointKey, wanted: WeightsVersion, now: BootInstant) -> bool {
        match self.states.get(&key) {
            None => true,
            Some(OrderState::Calling) => false,
            Some(OrderState::Loading { version, done, .. }) => *version < wanted && now >= *done,
            Some(OrderState::Waiting(until)) => now >= *until,
        }
    }
}

/// Place of an engine in the order in which all hosts load weights.
pub fn rollout_rank(engine: EndpointKey, wanted: WeightsVersion) -> u64 {
    prefix_hash::combine_hashes(wanted, engine)
}

/// Engines of a service that load at a time.
pub fn max_concurrent_loads(engines: usize, policy: &RolloutPolicy) -> usize {
    let share = (engines as f64 * policy.max_loading_share).floor() as usize;
    share.max(1)
}

/// Rolls out weights to the engines of this host's shards.
pub async fn run_rollout<C: WireCodec>(front: Rc<Front>, leases: Rc<ShardLeases>) {
    let tracker = Rc::new(RefCell::new(OrderTracker::default()));
    loop {
        time::sleep(LOOK_PAUSE).await;
        let now = BootInstant::now();
        if leases.usable_shards(now).next().is_none() {
            continue;
        }
        for (model, wanted) in front.all_wanted_weights() {
            step::<C>(&front, &leases, &tracker, &model, wanted.version, now);
        }
    }
}

/// Gives the next orders for one model.
fn step<C: WireCodec>(
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
            described: endpoint.published_weights(model),
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
        task::spawn_local(order.give::<C>());
    }
}

/// One engine that is brought to weights.
struct EngineOrder {
    /// Host.
    front: Rc<Front>,
    /// Leases of shards.
    leases: Rc<ShardLeases>,
    /// Where to note what was done.
    tracker: Rc<RefCell<OrderTracker>>,
    /// Engine.
    endpoint: Rc<Endpoint>,
    /// Model.
    model: ModelId,
    /// Weights.
    version: WeightsVersion,
}

impl EngineOrder {
    /// Asks the engine for its state, and gives it the order if it needs one.
    async fn give<C: WireCodec>(self) {
        let state = match self.report::<C>().await {
            Some(report) if report.weights_of(&self.model) >= self.version => {
                self.has_weights();
                self.loading_until(BootInstant::now())
            }
            Some(report) if report.busy => self.waiting(),
            Some(report) => self.order::<C>(&report).await,
            None => self.waiting(),
        };
        self.tracker
            .borrow_mut()
            .set_state(self.endpoint.key, state);
    }

    /// The engine's state.
    async fn report<C: WireCodec>(&self) -> Option<EngineReport> {
        let call = C::build_report_call(&self.endpoint.id);
        match endpoint_call::call(&self.endpoint, call, REPORT_TIME).await {
            Ok((status, body)) if status.is_success() => C::parse_report(&body),
            Ok((status, _)) => {
                self.note("no report", &status.to_string());
                None
            }
            Err(error) => {
                self.note("no report", &error.to_string());
                None
            }
        }
    }

    /// Gives the order, if the lease still holds.
    async fn order<C: WireCodec>(&self, report: &EngineReport) -> OrderState {
        let key = self.endpoint.key;
        let Some(fencing) = self.leases.fencing_token_for(key, BootInstant::now()) else {
            return self.waiting();
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
        let answer = endpoint_call::call(&self.endpoint, call, ORDER_TIME).await;
        let now = BootInstant::now();
        match answer.map(|(status, _)| C::parse_order_verdict(status)) {
            Ok(OrderVerdict::Accepted) => {
                self.note("accepted", "");
                task::spawn_local(expect_weights(
                    self.front.clone(),
                    self.endpoint.clone(),
                    self.model.clone(),
                    self.version,
                ));
                self.loading_until(now + self.front.settings.rollout.load_time)
            }
            Ok(OrderVerdict::AlreadyHolds) => {
                self.note("already_holds", "");
                self.has_weights();
                self.loading_until(now)
            }
            Ok(OrderVerdict::Busy) => {
                self.note("busy", "");
                self.waiting()
            }
            Ok(OrderVerdict::Fenced) => {
                self.note("fenced", "");
                self.waiting()
            }
            Ok(OrderVerdict::Refused) => {
                self.note("refused", "");
                self.waiting()
            }
            Err(CallError::NotSent(reason)) => {
                self.note("not_sent", &reason);
                self.waiting()
            }
            Err(CallError::AnswerLost(reason)) => {
                self.note("answer_lost", &reason);
                self.waiting()
            }
        }
    }

    /// Notes that the engine has the weights, and tells the other hosts.
    fn has_weights(&self) {
        record_weights(&self.front, &self.endpoint, &self.model, self.version);
    }

    /// The engine loads until then.
    fn loading_until(&self, done: BootInstant) -> OrderState {
        OrderState::Loading {
            version: self.version,
            done,
            confirm_by: done + self.front.settings.rollout.confirm_timeout,
        }
    }

    /// The engine is asked again soon.
    fn waiting(&self) -> OrderState {
        OrderState::Waiting(BootInstant::now() + RETRY_PAUSE)
    }

    /// Logs and counts what came of the order.
    fn note(&self, verdict: &'static str, detail: &str) {
        self.front.metrics.record_order(verdict);
        slog::info!(self.front.log, "order"; "endpoint" => &*self.endpoint.id,
            "model" => &*self.model, "version" => self.version,
            "verdict" => verdict, "detail" => detail);
    }
}

/// Takes an engine as loaded once it had the time for it; its next description confirms that.
async fn expect_weights(
    front: Rc<Front>,
    endpoint: Rc<Endpoint>,
    model: ModelId,
    version: WeightsVersion,
) {
    time::sleep(front.settings.rollout.load_time).await;
    record_weights(&front, &endpoint, &model, version);
}

/// Notes that an engine has weights, and tells the other hosts.
fn record_weights(front: &Front, endpoint: &Endpoint, model: &ModelId, version: WeightsVersion) {
    endpoint.record_weights(model, version);
    let mut hints = front.hints.borrow_mut();
    hints.push_weights(endpoint.key, model, version, false);
}

impl EngineReport {
    /// Weights of a model; 0 when the engine does not serve it.
    pub fn weights_of(&self, model: &str) -> WeightsVersion {
        let found = self.weights.iter().find(|(name, _)| &**name == model);
        found.map_or(0, |&(_, version)| version)
    }
}

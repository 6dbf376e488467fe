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
    engine_loads::{
        self,
        LoadEvidence, //
    },
    front::Front,
    prefix_hash,
    shard_leases::ShardLeases,
    wanted_weights::WantedWeights,
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
/// Time in which an engine should begin to load once it is its turn: a report, an order, and a hint
/// that tells of it.
const TURN_TIMEOUT: Duration = Duration::from_millis(700);
/// Share of the expected load time after which the engine's report is requested for the first time.
const FIRST_LOAD_POLL: f64 = 0.7;
/// Number of requests for the report in the expected load time.
const LOAD_POLLS: u32 = 8;
const MIN_LOAD_POLL_INTERVAL: Duration = Duration::from_millis(40);
const MAX_LOAD_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before an engine is contacted again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Progress of this host's last order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderState {
    /// A report or an order is in flight, or an accepted order is being carried out.
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
    /// Whether the engine is believed to be loading weights.
    pub is_loading: bool,
    /// Whether a load has lasted as long as expected, so that the next engine may begin.
    pub is_load_due: bool,
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
    /// engine that does not begin in time expires, and the next engine gets a turn. Engines whose
    /// turn has expired get their orders when fewer than `at_once` are loading.
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
            .filter(|engine| engine.weights < wanted && !self.has_turn_expired(engine, now))
            .collect();
        behind.sort_by_key(|engine| rollout_rank(engine.key, engine.weights, wanted));
        let about_done = engines.iter().filter(|engine| engine.is_load_due).count();
        let at_once = at_once + about_done;
        let turns: Vec<&RolloutEngine> = behind.into_iter().take(at_once).collect();
        for engine in &turns {
            self.turns.entry(engine.key).or_insert(now);
        }
        let is_due = |engine: &&RolloutEngine| {
            engine.is_own && !engine.is_loading && self.is_due(engine.key, wanted, now)
        };
        let on_time = turns.into_iter().filter(is_due).map(|engine| engine.key);
        let mut due: Vec<EndpointKey> = on_time.collect();
        let loading = engines.iter().filter(|engine| engine.is_loading).count();
        let late = engines
            .iter()
            .filter(|engine| engine.weights < wanted && self.has_turn_expired(engine, now));
        let late_limit = at_once.saturating_sub(loading + due.len());
        due.extend(
            late.filter(is_due)
                .take(late_limit)
                .map(|engine| engine.key),
        );
        due
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

    /// Whether an engine did not begin to load in its turn, so that the next one may as well.
    fn has_turn_expired(&self, engine: &RolloutEngine, now: BootInstant) -> bool {
        let turn = self.turns.get(&engine.key);
        !engine.is_loading && turn.is_some_and(|&since| now.since(since) > TURN_TIMEOUT)
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

/// Sort key for the order in which all hosts update the engines to a version. Those with the oldest
/// weights come first, since their time limit ends first.
pub fn rollout_rank(
    engine: EndpointKey,
    weights: WeightsVersion,
    wanted: WeightsVersion,
) -> (WeightsVersion, u64) {
    (weights, prefix_hash::combine_hashes(wanted, engine))
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
            order_next_engines::<C>(&front, &leases, &tracker, &model, &wanted, now);
        }
    }
}

/// Sends the next orders for one model.
fn order_next_engines<C: WireCodec>(
    front: &Rc<Front>,
    leases: &Rc<ShardLeases>,
    tracker: &Rc<RefCell<OrderTracker>>,
    model: &ModelId,
    wanted: &WantedWeights,
    now: BootInstant,
) {
    let directory = front.endpoints.borrow();
    let serving: Vec<&Rc<Endpoint>> = directory
        .all()
        .filter(|e| {
            e.is_accepting_requests() && !e.health.borrow().is_down() && e.weights(model) > 0
        })
        .collect();
    let expected = front.load_times.borrow().expected(model);
    let engines: Vec<RolloutEngine> = serving
        .iter()
        .map(|endpoint| RolloutEngine {
            key: endpoint.key,
            weights: endpoint.weights(model),
            published_weights: endpoint.published_weights(model),
            is_loading: endpoint.is_loading(model, now),
            is_load_due: endpoint.load_age(now).is_some_and(|age| age >= expected),
            is_own: leases.fencing_token_for(endpoint.key, now).is_some(),
        })
        .collect();
    let mut orders = tracker.borrow_mut();
    for key in orders.take_unconfirmed(&engines, now) {
        if let Some(endpoint) = directory.get_by_key(key) {
            let described = endpoint.published_weights(model);
            slog::warn!(front.log, "weights not confirmed"; "endpoint" => &*endpoint.id,
                "wanted" => wanted.version, "described" => described);
            endpoint.overwrite_weights(model, described);
        }
    }
    let behind = engines
        .iter()
        .filter(|engine| engine.weights < wanted.version);
    let outdated = behind.filter_map(|engine| wanted.outdated_since(engine.weights));
    let outdated = outdated.map(|since| now.since(since));
    let limit = engine_loads::concurrent_loads(front, model, engines.len(), outdated);
    for key in orders.next_orders(&engines, wanted.version, limit, now) {
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
            version: wanted.version,
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
            Some(report) if report.weights_of(&self.model) >= self.version => self.loaded_state(),
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
        match endpoint_call::fetch(&self.endpoint, call, REPORT_TIMEOUT).await {
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
        engine_loads::begin_load(&self.front, &self.endpoint, &self.model, self.version);
        let answer = endpoint_call::call(&self.endpoint, call, ORDER_TIMEOUT).await;
        let (verdict, detail) = match answer.map(|(status, _)| C::parse_order_verdict(status)) {
            Ok(OrderVerdict::Accepted) => {
                self.log_verdict("accepted", "");
                return self.await_load::<C>().await;
            }
            Ok(OrderVerdict::AlreadyHolds) => {
                self.log_verdict("already_holds", "");
                return self.loaded_state();
            }
            Ok(OrderVerdict::Busy) => ("busy", "".into()),
            Ok(OrderVerdict::Fenced) => ("fenced", "".into()),
            Ok(OrderVerdict::Refused) => ("refused", "".into()),
            Err(CallError::NotSent(reason)) => ("not_sent", reason),
            Err(CallError::AnswerLost(reason)) => ("answer_lost", reason),
        };
        self.log_verdict(verdict, &detail);
        engine_loads::cancel_load(&self.front, &self.endpoint, &self.model);
        self.retry_state()
    }

    /// Waits until the engine is seen with the new weights. A response or a hint may show them
    /// before the engine's report does, which lags behind.
    async fn await_load<C: WireCodec>(&self) -> OrderState {
        let since = BootInstant::now();
        let (expected, overdue_after) = {
            let times = self.front.load_times.borrow();
            let model = &*self.model;
            (times.expected(model), times.overdue_after(model))
        };
        let interval = expected / LOAD_POLLS;
        let interval = interval.clamp(MIN_LOAD_POLL_INTERVAL, MAX_LOAD_POLL_INTERVAL);
        time::sleep(expected.mul_f64(FIRST_LOAD_POLL)).await;
        while since.elapsed() < overdue_after {
            if self.endpoint.weights(&self.model) >= self.version {
                return self.confirmed_state();
            }
            let report = self.fetch_report::<C>().await;
            if report.is_some_and(|report| report.weights_of(&self.model) >= self.version) {
                return self.loaded_state();
            }
            time::sleep(interval).await;
        }
        self.log_verdict("overdue", "");
        engine_loads::cancel_load(&self.front, &self.endpoint, &self.model);
        self.retry_state()
    }

    /// Records that the engine reported the new weights.
    fn loaded_state(&self) -> OrderState {
        let evidence = LoadEvidence::Report;
        let (front, endpoint) = (&self.front, &self.endpoint);
        engine_loads::record_weights(front, endpoint, &self.model, self.version, evidence);
        self.confirmed_state()
    }

    /// State of an engine that has loaded the weights. Its record must show them, too.
    fn confirmed_state(&self) -> OrderState {
        let now = BootInstant::now();
        OrderState::Loading {
            version: self.version,
            done: now,
            confirm_by: now + self.front.settings.rollout.confirm_timeout,
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

impl EngineReport {
    /// Version of a model's weights; 0 if the engine does not serve the model.
    pub fn weights_of(&self, model: &str) -> WeightsVersion {
        let found = self.weights.iter().find(|(name, _)| &**name == model);
        found.map_or(0, |&(_, version)| version)
    }
}

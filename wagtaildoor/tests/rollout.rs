//! Rollout steps, and a rollout driver against engines with and without fencing checks.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use tokio::time::{
    self,
    Instant, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    ids::EndpointId,
    lease_holder::LeaseHolder,
    rollout::{
        self,
        RolloutReplica,
        RolloutStep,
        RolloutView, //
    },
    rollout_driver::{
        RolloutBackend, //
        RolloutDriver,
        RolloutOutcome,
    },
    schema::{
        EngineOrder,
        EngineState, //
    },
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// Retention of the log.
const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Time for which an engine loads weights.
const LOAD_TIME: Duration = Duration::from_secs(40);
/// Load slots of the tests.
const LOAD_SLOTS: usize = 2;

/// View whose rows are domain, weights in service and weights being loaded.
fn view(in_force: u64, rows: &[(&str, u64, u64)]) -> RolloutView {
    let replica = |(n, (domain, weights, loading)): (usize, &(&str, u64, u64))| RolloutReplica {
        endpoint: format!("e{n}").into(),
        domain: (*domain).into(),
        weights: Some(*weights),
        loading: *loading,
    };
    RolloutView {
        in_force,
        target: 2,
        replicas: rows.iter().enumerate().map(replica).collect(),
        load_slots: LOAD_SLOTS,
        baseline_error_share: 0.01,
        current_error_share: 0.01,
    }
}

#[test]
fn steps_never_take_the_last_serving_replica() {
    let load = |n: usize| RolloutStep::Load(format!("e{n}").into());
    let cases = [
        // One of two replicas in each domain loads first.
        (
            view(1, &[("a", 1, 0), ("a", 1, 0), ("b", 1, 0), ("b", 1, 0)]),
            load(0),
        ),
        (
            view(1, &[("a", 1, 2), ("a", 1, 0), ("b", 1, 0), ("b", 1, 0)]),
            load(2),
        ),
        // Both load slots are taken.
        (
            view(1, &[("a", 1, 2), ("a", 1, 0), ("b", 1, 2), ("b", 1, 0)]),
            RolloutStep::Wait,
        ),
        (
            view(1, &[("a", 2, 0), ("a", 1, 0), ("b", 2, 0), ("b", 1, 0)]),
            RolloutStep::Publish,
        ),
        // After publishing, the remaining replicas load.
        (
            view(2, &[("a", 2, 0), ("a", 1, 0), ("b", 2, 0), ("b", 1, 0)]),
            load(1),
        ),
        (
            view(2, &[("a", 2, 0), ("a", 2, 0), ("b", 2, 0), ("b", 1, 2)]),
            RolloutStep::Wait,
        ),
        (
            view(2, &[("a", 2, 0), ("a", 2, 0), ("b", 2, 0), ("b", 2, 0)]),
            RolloutStep::Done,
        ),
    ];
    for (view, step) in cases {
        assert_eq!(rollout::next_step(&view), step, "{view:?}");
    }
    let single = view(1, &[("a", 1, 0), ("a", 1, 0), ("b", 1, 0)]);
    let sole = view(1, &[("b", 1, 0)]);
    let backwards = view(3, &[("a", 3, 0)]);
    let mut failing = view(1, &[("a", 1, 0), ("a", 1, 0)]);
    failing.current_error_share = 0.2;
    assert_eq!(rollout::next_step(&single), load(0));
    for stopped in [sole, backwards, failing] {
        let step = rollout::next_step(&stopped);
        assert!(matches!(step, RolloutStep::Stop(_)), "{step:?}");
    }
}

/// A fake engine.
#[derive(Clone, Debug)]
struct TestEngine {
    domain: &'static str,
    weights: u64,
    /// Weights being loaded, and the time at which they are ready.
    loading: Option<(u64, Instant)>,
    /// Highest fencing token received.
    fencing: u64,
}

/// Fake engines with what the test observes of them.
struct TestPool {
    engines: BTreeMap<EndpointId, TestEngine>,
    /// Weights in force in the configuration.
    in_force: u64,
    /// Highest number of engines that loaded at a time.
    max_loading: usize,
    /// Number of received orders.
    orders: usize,
    /// Whether a domain was ever without a replica that serves the weights in force.
    outage: bool,
    /// Fraction of failed requests.
    errors: f64,
}

/// Backend of a driver under test.
#[derive(Clone)]
struct TestBackend {
    pool: Arc<Mutex<TestPool>>,
    /// Whether engines reject orders with outdated fencing tokens.
    checks_fencing: bool,
}

impl TestBackend {
    /// Creates three domains with three engines each.
    fn new(checks_fencing: bool) -> Self {
        let engine = |n: usize| {
            let engine = TestEngine {
                domain: ["a", "b", "c"][n % 3],
                weights: 1,
                loading: None,
                fencing: 0,
            };
            (format!("e{n}").into(), engine)
        };
        let pool = TestPool {
            engines: (0..9).map(engine).collect(),
            in_force: 1,
            max_loading: 0,
            orders: 0,
            outage: false,
            errors: 0.0,
        };
        Self {
            pool: Arc::new(Mutex::new(pool)),
            checks_fencing,
        }
    }

    /// Creates a driver that reaches the log through `link`.
    fn driver(&self, link: FakeLog, name: &str) -> RolloutDriver<FakeLog, TestBackend> {
        RolloutDriver::new(LeaseHolder::new(link, name), self.clone(), "drafters")
    }
}

impl TestPool {
    /// Finishes the loads that are due and checks which engines serve.
    fn finish_loads(&mut self) {
        for engine in self.engines.values_mut() {
            if let Some((weights, at)) = engine.loading {
                if Instant::now() >= at {
                    engine.weights = weights;
                    engine.loading = None;
                }
            }
        }
        let loading = self.engines.values().filter(|e| e.loading.is_some());
        self.max_loading = self.max_loading.max(loading.count());
        for domain in ["a", "b", "c"] {
            let serves = |e: &&TestEngine| {
                e.domain == domain && e.weights == self.in_force && e.loading.is_none()
            };
            self.outage |= !self.engines.values().any(|e| serves(&e));
        }
    }
}

impl RolloutBackend for TestBackend {
    fn checks_fencing(&self) -> bool {
        self.checks_fencing
    }

    async fn view(&self) -> RolloutView {
        let mut pool = self.pool.lock().expect("no panic");
        pool.finish_loads();
        let replica = |(id, engine): (&EndpointId, &TestEngine)| RolloutReplica {
            endpoint: id.clone(),
            domain: engine.domain.into(),
            weights: Some(engine.weights),
            loading: engine.loading.map_or(0, |(weights, _)| weights),
        };
        RolloutView {
            in_force: pool.in_force,
            target: 2,
            replicas: pool.engines.iter().map(replica).collect(),
            load_slots: LOAD_SLOTS,
            baseline_error_share: 0.0,
            current_error_share: pool.errors,
        }
    }

    async fn send_order(&self, endpoint: &EndpointId, order: EngineOrder) -> Option<EngineState> {
        let mut pool = self.pool.lock().expect("no panic");
        pool.orders += 1;
        let engine = pool.engines.get_mut(endpoint)?;
        if self.checks_fencing && order.fencing < engine.fencing {
            return None;
        }
        engine.fencing = order.fencing;
        if engine.weights != order.weights_version && engine.loading.is_none() {
            engine.loading = Some((order.weights_version, Instant::now() + LOAD_TIME));
        }
        let state = EngineState {
            adapters: Vec::new(),
            boot_id: "b".into(),
            fencing: engine.fencing,
            loading: engine.loading.map_or(0, |(weights, _)| weights),
            role: "".into(),
            weights_version: engine.weights,
        };
        pool.finish_loads();
        Some(state)
    }

    async fn publish_weights(&self, weights: u64) -> bool {
        let mut pool = self.pool.lock().expect("no panic");
        pool.in_force = weights;
        pool.finish_loads();
        true
    }
}

#[tokio::test(start_paused = true)]
async fn a_rollout_completes_after_its_driver_dies() {
    for checks_fencing in [true, false] {
        let backend = TestBackend::new(checks_fencing);
        let log = FakeLog::new(RETENTION);
        let token = CancellationToken::new();
        let first = tokio::spawn(backend.driver(log.link(), "h1").run(token.clone()));
        time::sleep(Duration::from_secs(60)).await;
        first.abort();
        let second = backend.driver(log.link(), "h2").run(token.clone());
        let end = time::timeout(Duration::from_secs(3600), second).await;
        assert_eq!(
            end,
            Ok(RolloutOutcome::Done),
            "checks_fencing: {checks_fencing}"
        );
        let pool = backend.pool.lock().expect("no panic");
        assert!(pool.engines.values().all(|e| e.weights == 2));
        assert!(!pool.outage, "checks_fencing: {checks_fencing}");
        assert_eq!(
            pool.max_loading, LOAD_SLOTS,
            "checks_fencing: {checks_fencing}"
        );
        assert_eq!(pool.orders, 9, "checks_fencing: {checks_fencing}");
    }
}

#[tokio::test(start_paused = true)]
async fn no_weights_are_loaded_without_the_log() {
    let backend = TestBackend::new(true);
    let log = FakeLog::new(RETENTION);
    let link = log.link();
    let running = tokio::spawn(
        backend
            .driver(link.clone(), "h1")
            .run(CancellationToken::new()),
    );
    time::sleep(Duration::from_secs(5)).await;
    link.set_faults(LogFaults {
        outage: true,
        ..LogFaults::default()
    });
    let orders = backend.pool.lock().expect("no panic").orders;
    let end = running.await.expect("no panic");
    assert_eq!(end, RolloutOutcome::LeaseLost);
    assert_eq!(backend.pool.lock().expect("no panic").orders, orders);
}

#[tokio::test(start_paused = true)]
async fn a_rollout_stops_when_errors_rise() {
    let backend = TestBackend::new(true);
    let log = FakeLog::new(RETENTION);
    let running = tokio::spawn(backend.driver(log, "h1").run(CancellationToken::new()));
    time::sleep(Duration::from_secs(30)).await;
    backend.pool.lock().expect("no panic").errors = 0.3;
    let end = running.await.expect("no panic");
    assert!(matches!(end, RolloutOutcome::Stopped(_)), "{end:?}");
    assert_eq!(backend.pool.lock().expect("no panic").in_force, 1);
}

//! Simulates callers that retry their orders over four hosts under injected faults.

use std::{
    future,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use tokio::{
    task::{
        JoinHandle,
        JoinSet, //
    },
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;
use uuid::Builder;
use wagtaildoor::{
    claim_policy::ClaimPolicy,
    claim_run::{
        ClaimClient,
        OnceReply,
        OnceRun, //
    },
    claim_service::ClaimService,
    error::{
        Result,
        RunOutcome, //
    },
    ids::{
        AttemptId,
        RequestKey, //
    },
    schema::{
        ClaimRecord,
        ClaimStart,
        ClaimVerdict, //
    },
};
use wagtaildoor_fakes::{
    effect_service::{
        self,
        EffectService,
        RequestHandling,
        ServiceTraits, //
    },
    fake_log::{
        FakeLog,
        LogFaults, //
    },
};

use super::order_faults::{
    self,
    OrderFault, //
};

/// Number of hosts, each with a keeper and a link to the log.
const HOST_COUNT: usize = 4;
/// Number of claim streams.
const SHARD_COUNT: u32 = 4;
/// Time between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two faults of links and keepers.
const FAULT_INTERVAL: Duration = Duration::from_secs(3);
/// Duration of a link fault.
const FAULT_DURATION: Duration = Duration::from_secs(2);
/// Time that a caller waits for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum number of attempts by a caller, including the first.
const MAX_CALLER_ATTEMPTS: usize = 3;
/// Delay before a caller retries the order at another host.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retention of records in the log.
const LOG_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Log time at the start of a run, in milliseconds since the Unix epoch.
const LOG_START_MS: u64 = 1_700_000_000_000;
/// Time after which no request, retry or late effect is in progress any more.
const DRAIN_TIME: Duration = Duration::from_secs(120);

/// Set of faults, and the number of orders to send under it.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    /// Faults to inject.
    pub faults: Vec<OrderFault>,
    /// Number of orders to send.
    pub orders: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Results of a run as callers saw them, with effects counted at the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderCounts {
    /// Orders, each with a unique key.
    pub sent: u64,
    /// Additional copies of orders, sent by caller retries and by the load balancer.
    pub copies: u64,
    /// Total effects at the service.
    pub effects: u64,
    /// Orders that took effect more than once.
    pub duplicates: u64,
    /// Orders reported to their caller as run, without any effect.
    pub lost: u64,
    /// Copies reported to their caller as not run, whose own attempt took effect.
    pub wrong_not_run: u64,
    /// Orders whose caller finally received the answer.
    pub ran: u64,
    /// Orders finally reported to their caller as not run.
    pub not_run: u64,
    /// Orders whose outcome was finally reported to their caller as unknown.
    pub unknown: u64,
    /// Claims without an outcome, which operators have to settle.
    pub unresolved: u64,
}

impl OrderCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &OrderCounts) {
        self.sent += other.sent;
        self.copies += other.copies;
        self.effects += other.effects;
        self.duplicates += other.duplicates;
        self.lost += other.lost;
        self.wrong_not_run += other.wrong_not_run;
        self.ran += other.ran;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unresolved += other.unresolved;
    }

    /// Returns the number of violations: duplicates, lost orders and wrong "not run" reports.
    pub fn violations(&self) -> u64 {
        self.duplicates + self.lost + self.wrong_not_run
    }
}

/// A host's link to the log, and its keeper.
struct OrderHost {
    link: FakeLog,
    /// The keeper's claim service.
    service: ClaimService<FakeLog>,
    /// Task that runs the claim service.
    task: JoinHandle<()>,
}

impl OrderHost {
    /// Starts a keeper on a link to the log.
    fn new(link: FakeLog) -> Self {
        let policy = ClaimPolicy::new(SHARD_COUNT, LOG_RETENTION);
        let service = ClaimService::new(link.clone(), policy, CancellationToken::new());
        let task = tokio::spawn(service.clone().run());
        Self {
            link,
            service,
            task,
        }
    }
}

/// Claim client of an entry that is paused between the verdict and the dispatch.
#[derive(Clone)]
struct FreezingClaimClient {
    /// The keeper's claim service.
    service: ClaimService<FakeLog>,
    /// Length of the pause; `None` means that the entry never continues.
    freeze: Option<Duration>,
}

impl ClaimClient for FreezingClaimClient {
    async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        let verdict = ClaimService::claim(&self.service, start, wait).await;
        match self.freeze {
            Some(freeze) if freeze.is_zero() => {}
            Some(freeze) => time::sleep(freeze).await,
            None => future::pending().await,
        }
        verdict
    }

    async fn record(&self, record: ClaimRecord, wait: Duration) -> bool {
        ClaimService::record(&self.service, record, wait).await
    }
}

/// State of one run, shared by callers and the fault injector.
struct OrderRun {
    plan: OrderPlan,
    hosts: Mutex<Vec<OrderHost>>,
    /// Service that counts effects by key.
    service: EffectService,
    /// Random number generator of all draws.
    rng: Mutex<StdRng>,
    counts: Mutex<OrderCounts>,
}

/// Sends the orders of a plan under its faults, and returns the counts.
pub async fn run(plan: &OrderPlan) -> OrderCounts {
    let log = FakeLog::starting_at(LOG_RETENTION, LOG_START_MS);
    let run_state = Arc::new(OrderRun {
        plan: plan.clone(),
        hosts: Mutex::new(
            (0..HOST_COUNT)
                .map(|_| OrderHost::new(log.link()))
                .collect(),
        ),
        service: EffectService::new(ServiceTraits::default()),
        rng: Mutex::new(StdRng::seed_from_u64(plan.seed)),
        counts: Mutex::default(),
    });
    let faults = tokio::spawn(run_state.clone().inject_faults());
    let mut callers = JoinSet::new();
    for _ in 0..plan.orders {
        let key = generate_key(log.now_ms(), &mut run_state.rng.lock().expect("no panic"));
        callers.spawn(run_state.clone().send_order(key));
        time::sleep(ORDER_INTERVAL).await;
    }
    let callers_deadline = Instant::now() + DRAIN_TIME;
    while let Ok(Some(_)) = time::timeout_at(callers_deadline, callers.join_next()).await {}
    faults.abort();
    run_state.finish().await
}

impl OrderRun {
    /// Sends one order, and retries at a random host until it has run or tries are used up.
    async fn send_order(self: Arc<Self>, key: RequestKey) {
        self.update_counts(|counts| counts.sent += 1);
        let mut outcome = RunOutcome::Unknown;
        for attempt in 0..MAX_CALLER_ATTEMPTS {
            if attempt > 0 {
                time::sleep(RETRY_DELAY).await;
                self.update_counts(|counts| counts.copies += 1);
            }
            if self.draw_duplicate() {
                self.update_counts(|counts| counts.copies += 1);
                tokio::spawn(self.clone().send_copy(key.clone()));
            }
            // A killed entry never answers, so the caller times out and retries elsewhere.
            let sent = time::timeout(ANSWER_TIMEOUT, self.clone().send_copy(key.clone())).await;
            outcome = sent.unwrap_or(RunOutcome::Unknown);
            if outcome == RunOutcome::Ran {
                break;
            }
        }
        self.update_counts(|counts| match outcome {
            RunOutcome::Ran => counts.ran += 1,
            RunOutcome::NotRun => counts.not_run += 1,
            RunOutcome::Unknown => counts.unknown += 1,
        });
    }

    /// Sends one copy of an order through a random host, and checks the reply.
    async fn send_copy(self: Arc<Self>, key: RequestKey) -> RunOutcome {
        let start = ClaimStart {
            account: "school".into(),
            attempt: generate_attempt_id(&mut self.rng.lock().expect("no panic")),
            body_hash: "b0".into(),
            host: "h0".into(),
            key,
            request: "r0".into(),
            template: "order".into(),
        };
        let (claims, fate) = self.draw_host();
        let run = OnceRun {
            claims,
            dispatcher: self.service.connect(fate),
            start: start.clone(),
            deadline: Instant::now() + ANSWER_TIMEOUT,
        };
        let reply = match run.spawn().await {
            Ok(reply) => reply,
            Err(_) => return RunOutcome::Unknown,
        };
        self.check_reply(&start, &reply)
    }

    /// Counts violations in a reply, and returns the outcome that it reports.
    fn check_reply(&self, start: &ClaimStart, reply: &Result<OnceReply>) -> RunOutcome {
        let effects = self.service.effects(&effect_service::effect_key(start));
        let reported = match reply {
            Ok(_) => RunOutcome::Ran,
            Err(error) => error.kind.answer().outcome,
        };
        if reported == RunOutcome::Ran && effects.is_empty() {
            self.update_counts(|counts| counts.lost += 1);
        }
        if reported == RunOutcome::NotRun && effects.contains(&start.attempt) {
            self.update_counts(|counts| counts.wrong_not_run += 1);
        }
        reported
    }

    /// Draws a host's keeper, and the result of the request at the service.
    fn draw_host(&self) -> (FreezingClaimClient, RequestHandling) {
        let rng = &mut *self.rng.lock().expect("no panic");
        let hosts = self.hosts.lock().expect("no panic");
        let claims = FreezingClaimClient {
            service: hosts[rng.random_range(0..HOST_COUNT)].service.clone(),
            freeze: order_faults::draw_freeze(&self.plan.faults, rng),
        };
        (claims, order_faults::draw_fate(&self.plan.faults, rng))
    }

    /// Draws whether the load balancer sends a duplicate.
    fn draw_duplicate(&self) -> bool {
        let copies = self.plan.faults.contains(&OrderFault::BalancerCopy);
        copies && self.rng.lock().expect("no panic").random_ratio(1, 5)
    }

    /// Injects a fault into a random host at each fault interval.
    async fn inject_faults(self: Arc<Self>) {
        loop {
            time::sleep(FAULT_INTERVAL - FAULT_DURATION).await;
            let link = self.inject_fault();
            time::sleep(FAULT_DURATION).await;
            link.set_faults(LogFaults::default());
        }
    }

    /// Starts the faults of one random host, and returns its link for the reset.
    fn inject_fault(&self) -> FakeLog {
        let rng = &mut *self.rng.lock().expect("no panic");
        let mut hosts = self.hosts.lock().expect("no panic");
        let host = &mut hosts[rng.random_range(0..HOST_COUNT)];
        if self.plan.faults.contains(&OrderFault::KeeperKill) {
            host.task.abort();
            *host = OrderHost::new(host.link.clone());
        }
        host.link
            .set_faults(order_faults::draw_log_faults(&self.plan.faults, rng));
        host.link.clone()
    }

    /// Clears all faults, waits until nothing is in progress, and counts effects at the service.
    async fn finish(&self) -> OrderCounts {
        for host in self.hosts.lock().expect("no panic").iter() {
            host.link.set_faults(LogFaults::default());
        }
        time::sleep(DRAIN_TIME).await;
        let hosts = self.hosts.lock().expect("no panic");
        let mut counts = *self.counts.lock().expect("no panic");
        counts.unresolved = hosts[0].service.unresolved().len() as u64;
        for attempts in self.service.effect_counts() {
            counts.effects += attempts;
            counts.duplicates += u64::from(attempts > 1);
        }
        for host in hosts.iter() {
            host.task.abort();
        }
        counts
    }

    fn update_counts(&self, change: impl FnOnce(&mut OrderCounts)) {
        change(&mut self.counts.lock().expect("no panic"));
    }
}

/// Generates a request key (UUID version 7) with the given creation time in milliseconds.
pub fn generate_key(made_ms: u64, rng: &mut StdRng) -> RequestKey {
    let rest: [u8; 10] = rng.random();
    let key = Builder::from_unix_timestamp_millis(made_ms, &rest).into_uuid();
    key.to_string().into()
}
/// Generates a random attempt id.
/// Name of an attempt.
pub fn generate_attempt_id(rng: &mut StdRng) -> AttemptId {
    format!("{:016x}", rng.random::<u64>()).into()
}

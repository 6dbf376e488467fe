//! Orders of callers that retry, over four hosts with faults.

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

/// Hosts.
const HOSTS: usize = 4;
/// Claim streams.
const SHARDS: u32 = 4;
/// Time between two orders.
const ORDER_SPACING: Duration = Duration::from_millis(20);
/// Time between two faults of links and keepers.
const FAULT_SPACING: Duration = Duration::from_secs(3);
/// How long a fault of a link lasts.
const FAULT_TIME: Duration = Duration::from_secs(2);
/// Longest time a caller waits for one answer.
const DEADLINE: Duration = Duration::from_secs(8);
/// Copies a caller sends at most, the first one included.
const CALLER_TRIES: usize = 3;
/// Wait of a caller before the same order goes to another host.
const CALLER_PAUSE: Duration = Duration::from_secs(1);
/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// The log's time at its start, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
/// Time after which nothing is under way any more.
const QUIET: Duration = Duration::from_secs(120);

/// One set of faults and how many orders meet it.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    /// Faults.
    pub faults: Vec<OrderFault>,
    /// Orders.
    pub orders: u32,
    /// Seed of all draws.
    pub seed: u64,
}

/// What came of orders; effects are counted at the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderCounts {
    /// Orders, each with a key of its own.
    pub sent: u64,
    /// Copies of orders, from callers and the balancer.
    pub copies: u64,
    /// Effects at the service.
    pub effects: u64,
    /// Orders that took effect more than once.
    pub duplicates: u64,
    /// Orders that a caller was told had run, and which did not.
    pub lost: u64,
    /// Orders that a caller was told had not run, and which this copy had run.
    pub wrong_not_run: u64,
    /// Orders whose caller got the answer in the end.
    pub ran: u64,
    /// Orders whose caller was told in the end that they did not run.
    pub not_run: u64,
    /// Orders whose caller was told in the end that it is not known.
    pub unknown: u64,
    /// Claims without an outcome, for operators to settle.
    pub unresolved: u64,
}

impl OrderCounts {
    /// Adds other counts.
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

    /// Broken promises.
    pub fn broken(&self) -> u64 {
        self.duplicates + self.lost + self.wrong_not_run
    }
}

/// A host's link to the log and its keeper.
struct OrderHost {
    /// Link.
    link: FakeLog,
    /// Keeper.
    service: ClaimService<FakeLog>,
    /// The keeper's task.
    task: JoinHandle<()>,
}

impl OrderHost {
    /// A host on a log.
    fn new(link: FakeLog) -> Self {
        let policy = ClaimPolicy::new(SHARDS, RETENTION);
        let service = ClaimService::new(link.clone(), policy, CancellationToken::new());
        let task = tokio::spawn(service.clone().run());
        Self {
            link,
            service,
            task,
        }
    }
}

/// A keeper as seen by an entry that freezes before the dispatch.
#[derive(Clone)]
struct FreezingAsker {
    /// Keeper.
    service: ClaimService<FakeLog>,
    /// How long it is frozen; `None` for ever.
    freeze: Option<Duration>,
}

impl ClaimClient for FreezingAsker {
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

/// Hosts and service under one set of faults.
struct OrderBench {
    /// Plan.
    plan: OrderPlan,
    /// Hosts.
    hosts: Mutex<Vec<OrderHost>>,
    /// Service.
    service: EffectService,
    /// Draws.
    draw: Mutex<StdRng>,
    /// Counts so far.
    counts: Mutex<OrderCounts>,
}

/// Runs the orders of a plan.
pub async fn run(plan: &OrderPlan) -> OrderCounts {
    let log = FakeLog::starting_at(RETENTION, STARTED_MS);
    let bench = Arc::new(OrderBench {
        plan: plan.clone(),
        hosts: Mutex::new((0..HOSTS).map(|_| OrderHost::new(log.link())).collect()),
        service: EffectService::new(ServiceTraits::default()),
        draw: Mutex::new(StdRng::seed_from_u64(plan.seed)),
        counts: Mutex::default(),
    });
    let faults = tokio::spawn(bench.clone().make_faults());
    let mut callers = JoinSet::new();
    for _ in 0..plan.orders {
        let key = key_at(log.now_ms(), &mut bench.draw.lock().expect("no panic"));
        callers.spawn(bench.clone().order(key));
        time::sleep(ORDER_SPACING).await;
    }
    let callers_end = Instant::now() + QUIET;
    while let Ok(Some(_)) = time::timeout_at(callers_end, callers.join_next()).await {}
    faults.abort();
    bench.finish().await
}

impl OrderBench {
    /// One order of a caller that tries again at other hosts.
    async fn order(self: Arc<Self>, key: RequestKey) {
        self.count(|counts| counts.sent += 1);
        let mut last = RunOutcome::Unknown;
        for attempt in 0..CALLER_TRIES {
            if attempt > 0 {
                time::sleep(CALLER_PAUSE).await;
                self.count(|counts| counts.copies += 1);
            }
            if self.draws_copy() {
                self.count(|counts| counts.copies += 1);
                tokio::spawn(self.clone().send(key.clone()));
            }
            // An entry that was killed never answers: its caller goes to another host.
            let sent = time::timeout(DEADLINE, self.clone().send(key.clone())).await;
            last = sent.unwrap_or(RunOutcome::Unknown);
            if last == RunOutcome::Ran {
                break;
            }
        }
        self.count(|counts| match last {
            RunOutcome::Ran => counts.ran += 1,
            RunOutcome::NotRun => counts.not_run += 1,
            RunOutcome::Unknown => counts.unknown += 1,
        });
    }

    /// Sends one copy of an order by some host, and checks the answer.
    async fn send(self: Arc<Self>, key: RequestKey) -> RunOutcome {
        let start = ClaimStart {
            account: "school".into(),
            attempt: attempt_id(&mut self.draw.lock().expect("no panic")),
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
            deadline: Instant::now() + DEADLINE,
        };
        let reply = match run.spawn().await {
            Ok(reply) => reply,
            Err(_) => return RunOutcome::Unknown,
        };
        self.check(&start, &reply)
    }

    /// Counts what is wrong with an answer; tells what it says.
    fn check(&self, start: &ClaimStart, reply: &Result<OnceReply>) -> RunOutcome {
        let effects = self.service.effects(&effect_service::effect_key(start));
        let said = match reply {
            Ok(_) => RunOutcome::Ran,
            Err(error) => error.kind.answer().outcome,
        };
        if said == RunOutcome::Ran && effects.is_empty() {
            self.count(|counts| counts.lost += 1);
        }
        if said == RunOutcome::NotRun && effects.contains(&start.attempt) {
            self.count(|counts| counts.wrong_not_run += 1);
        }
        said
    }

    /// A host's keeper, and what becomes of an order sent by it.
    fn draw_host(&self) -> (FreezingAsker, RequestHandling) {
        let draw = &mut *self.draw.lock().expect("no panic");
        let hosts = self.hosts.lock().expect("no panic");
        let asker = FreezingAsker {
            service: hosts[draw.random_range(0..HOSTS)].service.clone(),
            freeze: order_faults::freeze(&self.plan.faults, draw),
        };
        (asker, order_faults::fate(&self.plan.faults, draw))
    }

    /// Whether the balancer sends a copy.
    fn draws_copy(&self) -> bool {
        let copies = self.plan.faults.contains(&OrderFault::BalancerCopy);
        copies && self.draw.lock().expect("no panic").random_ratio(1, 5)
    }

    /// Lets links and keepers fail in turns.
    async fn make_faults(self: Arc<Self>) {
        loop {
            time::sleep(FAULT_SPACING - FAULT_TIME).await;
            let link = self.start_fault();
            time::sleep(FAULT_TIME).await;
            link.set_faults(LogFaults::default());
        }
    }

    /// Lets one host's link and keeper fail.
    fn start_fault(&self) -> FakeLog {
        let draw = &mut *self.draw.lock().expect("no panic");
        let mut hosts = self.hosts.lock().expect("no panic");
        let host = &mut hosts[draw.random_range(0..HOSTS)];
        if self.plan.faults.contains(&OrderFault::KeeperKill) {
            host.task.abort();
            *host = OrderHost::new(host.link.clone());
        }
        host.link
            .set_faults(order_faults::log_faults(&self.plan.faults, draw));
        host.link.clone()
    }

    /// Ends all faults, and counts effects at the service.
    async fn finish(&self) -> OrderCounts {
        for host in self.hosts.lock().expect("no panic").iter() {
            host.link.set_faults(LogFaults::default());
        }
        time::sleep(QUIET).await;
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

    /// Changes the counts.
    fn count(&self, change: impl FnOnce(&mut OrderCounts)) {
        change(&mut self.counts.lock().expect("no panic"));
    }
}

/// A key made at a time.
pub fn key_at(made_ms: u64, draw: &mut StdRng) -> RequestKey {
    let rest: [u8; 10] = draw.random();
    let key = Builder::from_unix_timestamp_millis(made_ms, &rest).into_uuid();
    key.to_string().into()
}

/// Name of an attempt.
pub fn attempt_id(draw: &mut StdRng) -> AttemptId {
    format!("{:016x}", draw.random::<u64>()).into()
}

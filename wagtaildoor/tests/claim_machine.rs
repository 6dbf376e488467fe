//! Random sequences of requests, duplicates, faults, pauses, kills and settlements.
//!
//! They guard against a key that runs twice, or never finishes. The fake service counts how often
//! each key took effect and serves as the oracle.
//!
//! `WAGTAILDOOR_SEED` overrides the seed, `WAGTAILDOOR_RUNS` the number of sequences per seed.

/// Shared test helpers.
mod support {
    pub mod sequences;
}

use std::{
    future::{
        self,
        Future, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use quickcheck::{
    Arbitrary,
    Gen, //
};
use support::sequences::{
    self,
    SequencePlan, //
};
use tokio::{
    task::JoinHandle,
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;
use uuid::{
    ContextV7,
    Timestamp,
    Uuid, //
};
use wagtaildoor::{
    claim_policy::ClaimPolicy,
    claim_run::{
        ClaimClient,
        DispatchResult,
        DispatchWindow,
        LookupResult,
        OnceDispatcher,
        OnceReply,
        OnceRun, //
    },
    claim_service::ClaimService,
    error::{
        ErrorKind,
        RequestError,
        RunOutcome, //
    },
    ids::{
        AttemptId,
        RequestKey, //
    },
    schema::{
        ClaimRecord,
        ClaimSettlement,
        ClaimStart,
        ClaimVerdict,
        SettledAs, //
    },
};
use wagtaildoor_fakes::{
    effect_service::{
        self,
        EffectConnection,
        EffectKey,
        EffectService,
        RequestHandling,
        ServiceTraits, //
    },
    fake_log::{
        FakeLog,
        LogFaults, //
    },
};

/// Time for which the log keeps records.
const RETENTION: Duration = Duration::from_secs(600);
/// Initial log time, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
const HOSTS: usize = 3;
/// Maximum time that a client waits.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time after which no request is in progress, once all faults are cleared.
const SETTLE_TIME: Duration = Duration::from_secs(60);
/// Maximum delay of a late effect or append.
const MAX_DELAY_MS: u64 = 9000;
/// Maximum number of operations in a sequence.
const MAX_SEQUENCE_LENGTH: usize = 100;
/// Number of sequences per seed.
const SEQUENCES: u64 = 560;
/// Minimum number of operations in all sequences of a seed.
const MIN_OPERATIONS: usize = 25_000;

/// Point at which an entry can be paused or killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EntryStep {
    /// Before it requests the claim.
    BeforeClaim,
    /// Between the verdict and the dispatch.
    AfterClaim,
    /// After the service responded, or failed to.
    AfterDispatch,
    /// After the outcome or release was recorded.
    AfterRecord,
}

/// Fault of an entry during a request.
#[derive(Clone, Copy, Debug)]
enum EntryFault {
    /// No fault.
    None,
    /// The entry is paused at the step for this number of milliseconds.
    Pause(EntryStep, u64),
    /// The entry is killed at the step.
    Kill(EntryStep),
}

#[derive(Clone, Debug)]
enum MachineOp {
    /// A host receives a request with a new key.
    Request(usize, RequestHandling, EntryFault),
    /// A host receives a copy of an earlier request, from its client or a load balancer.
    Copy(usize, usize, RequestHandling, EntryFault),
    /// A host receives an earlier key with another body.
    OtherBody(usize, usize),
    /// Faults are injected into the log connection of a host.
    Fault(usize, LogFaults),
    /// All log connections work again.
    ClearFaults,
    /// The keeper of a host is killed and restarted.
    KillKeeper(usize),
    /// An operator settles the oldest unresolved claim that a host reports.
    Settle(usize),
    /// This number of milliseconds passes.
    Advance(u64),
}

/// Chooses an item at random.
fn choose<T: Copy>(g: &mut Gen, items: &[T]) -> T {
    *g.choose(items).expect("the list has items")
}

impl Arbitrary for EntryFault {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = [
            EntryStep::BeforeClaim,
            EntryStep::AfterClaim,
            EntryStep::AfterDispatch,
            EntryStep::AfterRecord,
        ];
        match u8::arbitrary(g) % 8 {
            0 | 1 => EntryFault::Pause(
                choose(g, &steps),
                choose(g, &[50, 1000, 4990, 5000, 9000, 40_000]),
            ),
            2 => EntryFault::Kill(choose(g, &steps)),
            _ => EntryFault::None,
        }
    }
}

fn arbitrary_fate(g: &mut Gen) -> RequestHandling {
    match u8::arbitrary(g) % 10 {
        0 => RequestHandling::CrashBefore,
        1 => RequestHandling::CrashAfter,
        2 => RequestHandling::Late(Duration::from_millis(u64::arbitrary(g) % MAX_DELAY_MS)),
        3 => RequestHandling::Refuse,
        _ => RequestHandling::Answer(Duration::from_millis(u64::arbitrary(g) % 300)),
    }
}

fn arbitrary_faults(g: &mut Gen) -> LogFaults {
    let none = LogFaults::default();
    let count = choose(g, &[1, 2, 3, 60]);
    match u8::arbitrary(g) % 8 {
        0 => LogFaults {
            outage: true,
            ..none
        },
        1 => LogFaults {
            append_outage: true,
            ..none
        },
        2 => LogFaults {
            lost_answers: count,
            ..none
        },
        3 => LogFaults {
            lost_requests: count,
            ..none
        },
        4 => LogFaults {
            late_appends: count,
            late_ms: u64::arbitrary(g) % MAX_DELAY_MS,
            ..none
        },
        5 => LogFaults {
            duplicates: count,
            ..none
        },
        6 => LogFaults {
            slow_ms: u64::arbitrary(g) % 6000,
            ..none
        },
        _ => LogFaults {
            lost_answers: count,
            late_appends: 1,
            late_ms: 700,
            slow_ms: 300,
            ..none
        },
    }
}

impl Arbitrary for MachineOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        let key = usize::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=3 => MachineOp::Request(host, arbitrary_fate(g), EntryFault::arbitrary(g)),
            4..=7 => MachineOp::Copy(host, key, arbitrary_fate(g), EntryFault::arbitrary(g)),
            8 => MachineOp::OtherBody(host, key),
            9 => MachineOp::Fault(host, arbitrary_faults(g)),
            10 => MachineOp::ClearFaults,
            11 => MachineOp::KillKeeper(host),
            12 => MachineOp::Settle(host),
            13 => MachineOp::Advance(choose(
                g,
                &[31_000, 31_000, 31_000, 61_000, 200_000, 500_000],
            )),
            _ => MachineOp::Advance(u64::arbitrary(g) % 3000),
        }
    }
}

/// A sequence of operations and the properties of the service that it runs against.
#[derive(Clone, Debug)]
struct MachineInput {
    traits: ServiceTraits,
    ops: Vec<MachineOp>,
}

impl Arbitrary for MachineInput {
    fn arbitrary(g: &mut Gen) -> Self {
        let checks_request_keys = bool::arbitrary(g);
        Self {
            traits: ServiceTraits {
                checks_request_keys,
                looks_up: checks_request_keys || bool::arbitrary(g),
            },
            ops: Arbitrary::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let traits = self.traits;
        Box::new(self.ops.shrink().map(move |ops| Self { traits, ops }))
    }
}

/// Pauses or kills an entry if its fault is at this step.
async fn stop_entry(fault: EntryFault, step: EntryStep) {
    match fault {
        EntryFault::Pause(at, ms) if at == step => time::sleep(Duration::from_millis(ms)).await,
        EntryFault::Kill(at) if at == step => future::pending().await,
        _ => {}
    }
}

/// Claim client of an entry that can be paused or killed between steps.
#[derive(Clone)]
struct StoppingClient {
    service: ClaimService<FakeLog>,
    fault: EntryFault,
    /// Counts the effects of each key.
    oracle: EffectService,
    release_state: Arc<Mutex<ReleaseState>>,
}

/// What is known about a release by the entry.
#[derive(Clone, Copy, Debug, Default)]
struct ReleaseState {
    /// Whether the key had taken effect before the release was recorded.
    ran_before: bool,
    /// Whether the release was read back.
    recorded: bool,
}

impl StoppingClient {
    /// Tracks a release.
    ///
    /// Effects are checked only until the release is recorded, since copies that claim the key
    /// later may run it.
    fn track_release(&self, record: &ClaimRecord, recorded: bool) {
        let ClaimRecord::Release(release) = record else {
            return;
        };
        let id = EffectKey {
            account: release.account.clone(),
            key: release.key.clone(),
        };
        let mut release_state = self.release_state.lock().expect("no panic");
        release_state.recorded = recorded;
        release_state.ran_before |= !recorded && !self.oracle.effects(&id).is_empty();
    }
}

impl ClaimClient for StoppingClient {
    async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        stop_entry(self.fault, EntryStep::BeforeClaim).await;
        let verdict = ClaimService::claim(&self.service, start, wait).await;
        stop_entry(self.fault, EntryStep::AfterClaim).await;
        verdict
    }

    async fn record(&self, record: ClaimRecord, wait: Duration) -> bool {
        self.track_release(&record, false);
        let recorded = ClaimService::record(&self.service, record.clone(), wait).await;
        self.track_release(&record, recorded);
        stop_entry(self.fault, EntryStep::AfterRecord).await;
        recorded
    }
}

/// Connection to the service that can be paused or killed after the dispatch.
struct StoppingDispatcher {
    connection: EffectConnection,
    fault: EntryFault,
}

impl OnceDispatcher for StoppingDispatcher {
    fn checks_request_keys(&self) -> bool {
        self.connection.checks_request_keys()
    }

    async fn dispatch(&self, start: &ClaimStart, window: DispatchWindow) -> DispatchResult {
        let end = self.connection.dispatch(start, window).await;
        stop_entry(self.fault, EntryStep::AfterDispatch).await;
        end
    }

    fn look_up(&self, start: &ClaimStart) -> impl Future<Output = LookupResult> + Send {
        self.connection.look_up(start)
    }
}

/// The keeper of a host and its connection to the log.
struct MachineHost {
    link: FakeLog,
    service: ClaimService<FakeLog>,
    /// Task that runs the keeper.
    task: JoinHandle<()>,
    /// Cancelled when the keeper is killed.
    alive: CancellationToken,
}

impl MachineHost {
    /// Starts a host on a connection to the log.
    fn new(link: FakeLog) -> Self {
        let policy = ClaimPolicy::new(1, RETENTION);
        let service = ClaimService::new(link.clone(), policy, CancellationToken::new());
        let task = tokio::spawn(service.clone().run());
        Self {
            link,
            service,
            task,
            alive: CancellationToken::new(),
        }
    }
}

/// Descriptions of what went wrong.
type Failures = Arc<Mutex<Vec<String>>>;

/// The system under test and its oracle.
struct ClaimMachine {
    /// Connection to the log without faults.
    log: FakeLog,
    hosts: Vec<MachineHost>,
    service: EffectService,
    /// Keys used so far.
    keys: Vec<RequestKey>,
    /// Number of attempts so far.
    attempts: u64,
    /// Attempts that must not hold their key any more.
    undispatched: Arc<Mutex<Vec<UndispatchedAttempt>>>,
    failures: Failures,
}

/// An attempt that ended without a dispatch.
struct UndispatchedAttempt {
    attempt: AttemptId,
    /// Host whose keeper must have released the key.
    host: usize,
}

impl ClaimMachine {
    /// Starts the hosts against a service with the given properties.
    fn new(traits: ServiceTraits) -> Self {
        let log = FakeLog::starting_at(RETENTION, STARTED_MS);
        let hosts = (0..HOSTS).map(|_| MachineHost::new(log.link())).collect();
        Self {
            log,
            hosts,
            service: EffectService::new(traits),
            keys: Vec::new(),
            attempts: 0,
            undispatched: Arc::default(),
            failures: Failures::default(),
        }
    }

    /// Performs one operation.
    async fn step(&mut self, op: &MachineOp) {
        match op {
            MachineOp::Request(host, fate, fault) => {
                let key = self.create_key();
                self.keys.push(key.clone());
                self.send(*host, key, "b0", *fate, *fault);
            }
            MachineOp::Copy(host, key, fate, fault) => {
                if let Some(key) = self.recent_key(*key) {
                    self.send(*host, key, "b0", *fate, *fault);
                }
            }
            MachineOp::OtherBody(host, key) => {
                if let Some(key) = self.recent_key(*key) {
                    let fate = RequestHandling::Answer(Duration::ZERO);
                    self.send(*host, key, "b1", fate, EntryFault::None);
                }
            }
            MachineOp::Fault(host, faults) => self.hosts[*host].link.set_faults(faults.clone()),
            MachineOp::ClearFaults => self.clear_faults(),
            MachineOp::KillKeeper(host) => self.kill_keeper(*host),
            MachineOp::Settle(host) => self.settle(*host).await,
            MachineOp::Advance(ms) => time::sleep(Duration::from_millis(*ms)).await,
        }
    }

    /// Creates a key with the current log time.
    fn create_key(&self) -> RequestKey {
        let now_ms = self.log.now_ms();
        let (seconds, rest_ms) = (now_ms / 1000, (now_ms % 1000) as u32);
        let stamp = Timestamp::from_unix(ContextV7::new(), seconds, rest_ms * 1_000_000);
        Uuid::new_v7(stamp).to_string().into()
    }

    /// Returns one of the keys used recently.
    fn recent_key(&self, number: usize) -> Option<RequestKey> {
        // One of the newest 4 keys, since older ones have mostly run.
        let recent_count = self.keys.len().min(4);
        let number = number.checked_rem(recent_count)?;
        self.keys.iter().rev().nth(number).cloned()
    }

    /// Sends a request through a host, and checks its response when it arrives.
    fn send(
        &mut self,
        host: usize,
        key: RequestKey,
        body: &str,
        fate: RequestHandling,
        fault: EntryFault,
    ) -> JoinHandle<Option<wagtaildoor::error::Result<OnceReply>>> {
        self.attempts += 1;
        let start = ClaimStart {
            account: "school".into(),
            attempt: format!("a{}", self.attempts).into(),
            body_hash: body.into(),
            host: format!("h{host}").into(),
            key,
            request: format!("r{}", self.attempts).into(),
            template: "order".into(),
        };
        let release_state = Arc::<Mutex<ReleaseState>>::default();
        let run = OnceRun {
            claims: StoppingClient {
                service: self.hosts[host].service.clone(),
                fault,
                oracle: self.service.clone(),
                release_state: release_state.clone(),
            },
            dispatcher: StoppingDispatcher {
                connection: self.service.connect(fate),
                fault,
            },
            start: start.clone(),
            deadline: Instant::now() + DEADLINE,
        };
        let (service, failures) = (self.service.clone(), self.failures.clone());
        let undispatched_attempts = self.undispatched.clone();
        let keeper = self.hosts[host].alive.clone();
        tokio::spawn(async move {
            let reply = run.spawn().await.ok()?;
            let release_state = *release_state.lock().expect("no panic");
            if let Some(failure) = check_reply(&service, &start, &reply, release_state) {
                failures.lock().expect("no panic").push(failure);
            }
            if is_undispatched(&reply) && !keeper.is_cancelled() {
                let attempt = UndispatchedAttempt {
                    attempt: start.attempt,
                    host,
                };
                undispatched_attempts
                    .lock()
                    .expect("no panic")
                    .push(attempt);
            }
            Some(reply)
        })
    }

    /// Clears the faults of all log connections.
    fn clear_faults(&self) {
        for host in &self.hosts {
            host.link.set_faults(LogFaults::default());
        }
    }

    /// Kills a keeper and starts another one.
    fn kill_keeper(&mut self, host: usize) {
        let mut undispatched = self.undispatched.lock().expect("no panic");
        undispatched.retain(|attempt| attempt.host != host);
        drop(undispatched);
        self.hosts[host].task.abort();
        self.hosts[host].alive.cancel();
        self.hosts[host] = MachineHost::new(self.hosts[host].link.clone());
    }

    /// Settles the oldest unresolved claim according to the oracle.
    async fn settle(&mut self, host: usize) {
        let service = self.hosts[host].service.clone();
        let Some(claim) = service.unresolved().into_iter().next() else {
            return;
        };
        let id = EffectKey {
            account: claim.account.clone(),
            key: claim.key.clone(),
        };
        let settled = if self.service.effects(&id).is_empty() {
            SettledAs::NotRun
        } else {
            SettledAs::Ran
        };
        let record = ClaimRecord::Settlement(ClaimSettlement {
            account: claim.account,
            attempt: claim.attempt,
            by: "ah".into(),
            key: claim.key,
            note: "asked the service".into(),
            settled,
        });
        service.record(record, Duration::from_secs(2)).await;
    }

    /// Clears all faults, settles unresolved claims, and checks that each key ran at most once.
    async fn finish(&mut self) {
        self.clear_faults();
        time::sleep(SETTLE_TIME).await;
        self.check_undispatched();
        for host in 0..HOSTS {
            self.kill_keeper(host);
        }
        time::sleep(SETTLE_TIME).await;
        while !self.hosts[0].service.unresolved().is_empty() {
            self.settle(0).await;
        }
        for key in self.keys.clone() {
            let fate = RequestHandling::Answer(Duration::ZERO);
            let reply = self
                .send(1, key.clone(), "b0", fate, EntryFault::None)
                .await;
            let reply = reply.expect("no panic").expect("no panic");
            self.check_last_copy(&key, &reply);
        }
        if self.hosts[0].service.conflict_count() > 0 {
            self.report_failure("an attempt ran although another had its key".into());
        }
    }

    /// Checks that no undispatched attempt still holds its key.
    fn check_undispatched(&self) {
        let unresolved = self.hosts[0].service.unresolved();
        for attempt in self.undispatched.lock().expect("no panic").iter() {
            if unresolved.iter().any(|c| c.attempt == attempt.attempt) {
                self.report_failure(format!("{} keeps its key", attempt.attempt));
            }
        }
    }

    /// Checks a key after its last copy.
    fn check_last_copy(&self, key: &RequestKey, reply: &wagtaildoor::error::Result<OnceReply>) {
        let id = EffectKey {
            account: "school".into(),
            key: key.clone(),
        };
        let effects = self.service.effects(&id);
        if effects.len() > 1 {
            self.report_failure(format!("{key} ran {} times: {effects:?}", effects.len()));
        }
        match reply {
            Ok(_) => {}
            Err(error) if error.kind == ErrorKind::AnswerNotKept && effects.len() == 1 => {}
            // The copy with the other body can have run first.
            Err(error) if error.kind == ErrorKind::KeyMismatch && effects.len() == 1 => {}
            Err(error) if error.kind == ErrorKind::KeyExpired => {}
            Err(error) => {
                self.report_failure(format!("{key} is stuck: {error}, effects {effects:?}"))
            }
        }
    }

    fn report_failure(&self, failure: String) {
        self.failures.lock().expect("no panic").push(failure);
    }
}

/// Checks a reply against the effects at the time it is given. Returns a description of the fault.
fn check_reply(
    service: &EffectService,
    start: &ClaimStart,
    reply: &Result<OnceReply, RequestError>,
    release_state: ReleaseState,
) -> Option<String> {
    let effects = service.effects(&effect_service::effect_key(start));
    match reply {
        Ok(reply) => {
            let is_response_of_effect = effects
                .iter()
                .any(|attempt| EffectService::answer(attempt) == reply.answer);
            (!is_response_of_effect)
                .then(|| format!("{}: answer of nothing that ran: {reply:?}", start.key))
        }
        Err(error) => {
            let is_mismatch = error.kind == ErrorKind::KeyMismatch;
            let ran = effects.contains(&start.attempt) || release_state.ran_before;
            let is_unconfirmed = !is_mismatch && !release_state.recorded;
            let is_wrong =
                error.kind.answer().outcome == RunOutcome::NotRun && (ran || is_unconfirmed);
            is_wrong.then(|| format!("{}: wrong not_run: {error}, effects {effects:?}", start.key))
        }
    }
}

/// Whether an attempt ended without a dispatch and without a release by its entry.
fn is_undispatched(reply: &Result<OnceReply, RequestError>) -> bool {
    let Err(error) = reply else {
        return false;
    };
    matches!(
        error.kind,
        ErrorKind::PlatformUnavailable | ErrorKind::KeyInProgress | ErrorKind::KeyExpired
    )
}

/// Runs one sequence; returns an error with the first failure.
fn run_sequence(input: MachineInput) -> Result<bool, String> {
    sequences::run_paused(input.ops.len(), async move {
        let mut machine = ClaimMachine::new(input.traits);
        for op in &input.ops {
            machine.step(op).await;
        }
        machine.finish().await;
        let failures = machine.failures.lock().expect("no panic");
        match failures.first() {
            None => Ok(true),
            Some(failure) => Err(failure.clone()),
        }
    })
}

/// Defines one test per seed, so that the seeds run in parallel.
macro_rules! seeded {
    ($($name:ident: $seed:literal),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                let plan = SequencePlan {
                    seed: $seed,
                    runs: SEQUENCES,
                    length: MAX_SEQUENCE_LENGTH,
                    ops: MIN_OPERATIONS,
                };
                sequences::check(plan, run_sequence);
            }
        )+
    };
}

seeded! {
    no_key_runs_twice_or_is_lost_1: 1,
    no_key_runs_twice_or_is_lost_2: 2,
    no_key_runs_twice_or_is_lost_3: 3,
    no_key_runs_twice_or_is_lost_4: 4,
}

//! Sequences of requests, copies, faults, pauses, kills and settlements against an oracle that
//! counts effects at the service.
//!
//! `WAGTAILDOOR_SEED` sets another seed, `WAGTAILDOOR_RUNS` another number of sequences a seed.

/// Helpers of the tests.
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
        RequestFate,
        ServiceTraits, //
    },
    fake_log::{
        FakeLog,
        LogFaults, //
    },
};

/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(600);
/// The log's time at its start, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
/// Hosts.
const HOSTS: usize = 3;
/// Longest time a caller waits.
const DEADLINE: Duration = Duration::from_secs(8);
/// Time after which nothing is under way any more, when all faults are gone.
const QUIET: Duration = Duration::from_secs(60);
/// Longest delay of a late effect or append, in milliseconds.
const LATE_LIMIT_MS: u64 = 9000;
/// Longest sequence, in operations.
const SEQUENCE_LIMIT: usize = 100;
/// Sequences of each seed.
const SEQUENCES: u64 = 560;
/// Operations that the sequences of each seed reach at least.
const OPERATIONS: usize = 25_000;

/// Where an entry can stop for a while, or for good.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EntryStep {
    /// Before it asks for the claim.
    BeforeClaim,
    /// Between the verdict and the dispatch.
    AfterClaim,
    /// After the service answered, or failed to.
    AfterDispatch,
    /// After the outcome or release went on record.
    AfterRecord,
}

/// What happens to an entry at a step.
#[derive(Clone, Copy, Debug)]
enum EntryStop {
    /// Nothing.
    None,
    /// It is paused for so many milliseconds.
    Pause(EntryStep, u64),
    /// It is killed.
    Kill(EntryStep),
}

/// One operation of a sequence.
#[derive(Clone, Debug)]
enum MachineOp {
    /// A request with a new key.
    Request(usize, RequestFate, EntryStop),
    /// A copy of an earlier request, by its caller or the balancer.
    Copy(usize, usize, RequestFate, EntryStop),
    /// An earlier key with another body.
    OtherBody(usize, usize),
    /// A host's link to the log gets these faults.
    Fault(usize, LogFaults),
    /// All links work again.
    Heal,
    /// A host's keeper is killed and starts anew.
    KillKeeper(usize),
    /// An operator settles the oldest unresolved claim that a host shows.
    Settle(usize),
    /// Time passes.
    Advance(u64),
}

/// Any of a list.
fn pick<T: Copy>(g: &mut Gen, items: &[T]) -> T {
    *g.choose(items).expect("the list has items")
}

impl Arbitrary for EntryStop {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = [
            EntryStep::BeforeClaim,
            EntryStep::AfterClaim,
            EntryStep::AfterDispatch,
            EntryStep::AfterRecord,
        ];
        match u8::arbitrary(g) % 8 {
            0 | 1 => EntryStop::Pause(
                pick(g, &steps),
                pick(g, &[50, 1000, 4990, 5000, 9000, 40_000]),
            ),
            2 => EntryStop::Kill(pick(g, &steps)),
            _ => EntryStop::None,
        }
    }
}

/// Any fate of a request.
fn any_fate(g: &mut Gen) -> RequestFate {
    match u8::arbitrary(g) % 10 {
        0 => RequestFate::CrashBefore,
        1 => RequestFate::CrashAfter,
        2 => RequestFate::Late(Duration::from_millis(u64::arbitrary(g) % LATE_LIMIT_MS)),
        3 => RequestFate::Refuse,
        _ => RequestFate::Answer(Duration::from_millis(u64::arbitrary(g) % 300)),
    }
}

/// Any faults of a link.
fn any_faults(g: &mut Gen) -> LogFaults {
    let none = LogFaults::default();
    let count = pick(g, &[1, 2, 3, 60]);
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
            late_ms: u64::arbitrary(g) % LATE_LIMIT_MS,
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
            0..=3 => MachineOp::Request(host, any_fate(g), EntryStop::arbitrary(g)),
            4..=7 => MachineOp::Copy(host, key, any_fate(g), EntryStop::arbitrary(g)),
            8 => MachineOp::OtherBody(host, key),
            9 => MachineOp::Fault(host, any_faults(g)),
            10 => MachineOp::Heal,
            11 => MachineOp::KillKeeper(host),
            12 => MachineOp::Settle(host),
            13 => MachineOp::Advance(pick(g, &[31_000, 31_000, 31_000, 61_000, 200_000, 500_000])),
            _ => MachineOp::Advance(u64::arbitrary(g) % 3000),
        }
    }
}

/// A sequence against one kind of service.
#[derive(Clone, Debug)]
struct MachineInput {
    /// Kind of service.
    traits: ServiceTraits,
    /// Operations.
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

/// Stops an entry at a step.
async fn stop_at(stop: EntryStop, step: EntryStep) {
    match stop {
        EntryStop::Pause(at, ms) if at == step => time::sleep(Duration::from_millis(ms)).await,
        EntryStop::Kill(at) if at == step => future::pending().await,
        _ => {}
    }
}

/// A keeper as an entry sees it that stops between steps.
#[derive(Clone)]
struct StoppingAsker {
    /// Keeper.
    service: ClaimService<FakeLog>,
    /// Stop.
    stop: EntryStop,
    /// Oracle.
    oracle: EffectService,
    /// What is known if it gives up.
    given_up: Arc<Mutex<GivenUp>>,
}

/// What is known of a claim that was given up.
#[derive(Clone, Copy, Debug, Default)]
struct GivenUp {
    /// The key had run before.
    ran_before: bool,
    /// The release was read back.
    recorded: bool,
}

impl StoppingAsker {
    /// Notes a release; copies that claim the key later may run it.
    fn note_release(&self, record: &ClaimRecord, recorded: bool) {
        let ClaimRecord::Release(release) = record else {
            return;
        };
        let id = EffectKey {
            account: release.account.clone(),
            key: release.key.clone(),
        };
        let mut given_up = self.given_up.lock().expect("no panic");
        given_up.recorded = recorded;
        given_up.ran_before |= !recorded && !self.oracle.effects(&id).is_empty();
    }
}

impl ClaimClient for StoppingAsker {
    async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        stop_at(self.stop, EntryStep::BeforeClaim).await;
        let verdict = ClaimService::claim(&self.service, start, wait).await;
        stop_at(self.stop, EntryStep::AfterClaim).await;
        verdict
    }

    async fn record(&self, record: ClaimRecord, wait: Duration) -> bool {
        self.note_release(&record, false);
        let recorded = ClaimService::record(&self.service, record.clone(), wait).await;
        self.note_release(&record, recorded);
        stop_at(self.stop, EntryStep::AfterRecord).await;
        recorded
    }
}

/// A connection to the service that stops after the dispatch.
struct StoppingDispatcher {
    /// Connection.
    connection: EffectConnection,
    /// Stop.
    stop: EntryStop,
}

impl OnceDispatcher for StoppingDispatcher {
    fn checks_request_keys(&self) -> bool {
        self.connection.checks_request_keys()
    }

    async fn dispatch(&self, start: &ClaimStart, window: DispatchWindow) -> DispatchResult {
        let end = self.connection.dispatch(start, window).await;
        stop_at(self.stop, EntryStep::AfterDispatch).await;
        end
    }

    fn look_up(&self, start: &ClaimStart) -> impl Future<Output = LookupResult> + Send {
        self.connection.look_up(start)
    }
}

/// A host's link to the log and its keeper.
struct MachineHost {
    /// Link.
    link: FakeLog,
    /// Keeper.
    service: ClaimService<FakeLog>,
    /// The keeper's task.
    task: JoinHandle<()>,
    /// Cancelled when the keeper is killed.
    alive: CancellationToken,
}

impl MachineHost {
    /// A host on a log.
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

/// What went wrong, as sentences.
type Faults = Arc<Mutex<Vec<String>>>;

/// The system under test and its oracle.
struct ClaimMachine {
    /// Log, without faults.
    log: FakeLog,
    /// Hosts.
    hosts: Vec<MachineHost>,
    /// Service.
    service: EffectService,
    /// Keys used so far.
    keys: Vec<RequestKey>,
    /// Attempts so far.
    attempts: u64,
    /// Attempts that must not keep their key.
    ended: Arc<Mutex<Vec<EndedAttempt>>>,
    /// What went wrong.
    faults: Faults,
}

/// An attempt that ended without a dispatch.
struct EndedAttempt {
    /// Attempt.
    attempt: AttemptId,
    /// Host whose keeper must have freed its key.
    host: usize,
}

impl ClaimMachine {
    /// A machine with one kind of service.
    fn new(traits: ServiceTraits) -> Self {
        let log = FakeLog::starting_at(RETENTION, STARTED_MS);
        let hosts = (0..HOSTS).map(|_| MachineHost::new(log.link())).collect();
        Self {
            log,
            hosts,
            service: EffectService::new(traits),
            keys: Vec::new(),
            attempts: 0,
            ended: Arc::default(),
            faults: Faults::default(),
        }
    }

    /// Does one operation.
    async fn step(&mut self, op: &MachineOp) {
        match op {
            MachineOp::Request(host, fate, stop) => {
                let key = self.new_key();
                self.keys.push(key.clone());
                self.send(*host, key, "b0", *fate, *stop);
            }
            MachineOp::Copy(host, key, fate, stop) => {
                if let Some(key) = self.old_key(*key) {
                    self.send(*host, key, "b0", *fate, *stop);
                }
            }
            MachineOp::OtherBody(host, key) => {
                if let Some(key) = self.old_key(*key) {
                    let fate = RequestFate::Answer(Duration::ZERO);
                    self.send(*host, key, "b1", fate, EntryStop::None);
                }
            }
            MachineOp::Fault(host, faults) => self.hosts[*host].link.set_faults(faults.clone()),
            MachineOp::Heal => self.heal(),
            MachineOp::KillKeeper(host) => self.kill_keeper(*host),
            MachineOp::Settle(host) => self.settle(*host).await,
            MachineOp::Advance(ms) => time::sleep(Duration::from_millis(*ms)).await,
        }
    }

    /// A key made now.
    fn new_key(&self) -> RequestKey {
        let now_ms = self.log.now_ms();
        let (seconds, rest_ms) = (now_ms / 1000, (now_ms % 1000) as u32);
        let stamp = Timestamp::from_unix(ContextV7::new(), seconds, rest_ms * 1_000_000);
        Uuid::new_v7(stamp).to_string().into()
    }

    /// One of the keys used so far.
    fn old_key(&self, number: usize) -> Option<RequestKey> {
        // Rather a young one: old ones have mostly run.
        let young = self.keys.len().min(4);
        let number = number.checked_rem(young)?;
        self.keys.iter().rev().nth(number).cloned()
    }

    /// Sends a request by a host, and checks its answer when it comes.
    fn send(
        &mut self,
        host: usize,
        key: RequestKey,
        body: &str,
        fate: RequestFate,
        stop: EntryStop,
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
        let given_up = Arc::<Mutex<GivenUp>>::default();
        let run = OnceRun {
            claims: StoppingAsker {
                service: self.hosts[host].service.clone(),
                stop,
                oracle: self.service.clone(),
                given_up: given_up.clone(),
            },
            dispatcher: StoppingDispatcher {
                connection: self.service.connect(fate),
                stop,
            },
            start: start.clone(),
            deadline: Instant::now() + DEADLINE,
        };
        let (service, faults) = (self.service.clone(), self.faults.clone());
        let ended_attempts = self.ended.clone();
        let keeper = self.hosts[host].alive.clone();
        tokio::spawn(async move {
            let reply = run.spawn().await.ok()?;
            let given_up = *given_up.lock().expect("no panic");
            if let Some(fault) = check_reply(&service, &start, &reply, given_up) {
                faults.lock().expect("no panic").push(fault);
            }
            if never_dispatched(&reply) && !keeper.is_cancelled() {
                let ended = EndedAttempt {
                    attempt: start.attempt,
                    host,
                };
                ended_attempts.lock().expect("no panic").push(ended);
            }
            Some(reply)
        })
    }

    /// Ends all faults of links.
    fn heal(&self) {
        for host in &self.hosts {
            host.link.set_faults(LogFaults::default());
        }
    }

    /// Kills a keeper, and starts another.
    fn kill_keeper(&mut self, host: usize) {
        let mut ended = self.ended.lock().expect("no panic");
        ended.retain(|ended| ended.host != host);
        drop(ended);
        self.hosts[host].task.abort();
        self.hosts[host].alive.cancel();
        self.hosts[host] = MachineHost::new(self.hosts[host].link.clone());
    }

    /// An operator asks the service, and settles the oldest unresolved claim.
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

    /// Ends all faults, settles what is unresolved, and checks that each key ran once.
    async fn finish(&mut self) {
        self.heal();
        time::sleep(QUIET).await;
        self.check_ended();
        for host in 0..HOSTS {
            self.kill_keeper(host);
        }
        time::sleep(QUIET).await;
        while !self.hosts[0].service.unresolved().is_empty() {
            self.settle(0).await;
        }
        for key in self.keys.clone() {
            let fate = RequestFate::Answer(Duration::ZERO);
            let reply = self.send(1, key.clone(), "b0", fate, EntryStop::None).await;
            let reply = reply.expect("no panic").expect("no panic");
            self.check_last(&key, &reply);
        }
        if self.hosts[0].service.conflict_count() > 0 {
            self.fault("an attempt ran although another had its key".into());
        }
    }

    /// Checks that no attempt keeps a key that it will not run.
    fn check_ended(&self) {
        let unresolved = self.hosts[0].service.unresolved();
        for ended in self.ended.lock().expect("no panic").iter() {
            if unresolved.iter().any(|c| c.attempt == ended.attempt) {
                self.fault(format!("{} keeps its key", ended.attempt));
            }
        }
    }

    /// Checks a key after its last copy.
    fn check_last(&self, key: &RequestKey, reply: &wagtaildoor::error::Result<OnceReply>) {
        let id = EffectKey {
            account: "school".into(),
            key: key.clone(),
        };
        let effects = self.service.effects(&id);
        if effects.len() > 1 {
            self.fault(format!("{key} ran {} times: {effects:?}", effects.len()));
        }
        match reply {
            Ok(_) => {}
            Err(error) if error.kind == ErrorKind::AnswerNotKept && effects.len() == 1 => {}
            // With the other body, the key can have run before the copy with the first.
            Err(error) if error.kind == ErrorKind::KeyMismatch && effects.len() == 1 => {}
            Err(error) if error.kind == ErrorKind::KeyExpired => {}
            Err(error) => self.fault(format!("{key} is stuck: {error}, effects {effects:?}")),
        }
    }

    /// Notes what went wrong.
    fn fault(&self, fault: String) {
        self.faults.lock().expect("no panic").push(fault);
    }
}

/// What is wrong with an answer at the time it is given.
fn check_reply(
    service: &EffectService,
    start: &ClaimStart,
    reply: &Result<OnceReply, RequestError>,
    given_up: GivenUp,
) -> Option<String> {
    let effects = service.effects(&effect_service::effect_key(start));
    match reply {
        Ok(reply) => {
            let own = effects
                .iter()
                .any(|attempt| EffectService::answer(attempt) == reply.answer);
            (!own).then(|| format!("{}: answer of nothing that ran: {reply:?}", start.key))
        }
        Err(error) => {
            let mismatch = error.kind == ErrorKind::KeyMismatch;
            let ran = effects.contains(&start.attempt) || given_up.ran_before;
            let unproven = !mismatch && !given_up.recorded;
            let wrong = error.kind.answer().outcome == RunOutcome::NotRun && (ran || unproven);
            wrong.then(|| format!("{}: wrong not_run: {error}, effects {effects:?}", start.key))
        }
    }
}

/// Whether an attempt ended without a dispatch, and not by its entry's own release.
fn never_dispatched(reply: &Result<OnceReply, RequestError>) -> bool {
    let Err(error) = reply else {
        return false;
    };
    matches!(
        error.kind,
        ErrorKind::PlatformUnavailable | ErrorKind::KeyInProgress | ErrorKind::KeyExpired
    )
}

/// Runs one sequence.
fn hold(input: MachineInput) -> Result<bool, String> {
    sequences::run_paused(input.ops.len(), async move {
        let mut machine = ClaimMachine::new(input.traits);
        for op in &input.ops {
            machine.step(op).await;
        }
        machine.finish().await;
        let faults = machine.faults.lock().expect("no panic");
        match faults.first() {
            None => Ok(true),
            Some(fault) => Err(fault.clone()),
        }
    })
}

/// One test for each seed, so that they run side by side.
macro_rules! seeded {
    ($($name:ident: $seed:literal),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                let plan = SequencePlan {
                    seed: $seed,
                    runs: SEQUENCES,
                    length: SEQUENCE_LIMIT,
                    ops: OPERATIONS,
                };
                sequences::check(plan, hold);
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

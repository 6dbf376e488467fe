//! Sequences of publications, races, log faults, restarts and checkpoints: heads never go back,
//! never leave the one chain, and all hosts come to the same.

/// Helpers of the tests.
mod support {
    pub mod sequences;
}

use std::{
    collections::HashMap,
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
use tokio::time;
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    config_chain::{
        self,
        ChainStep,
        ConfigChain,
        CONFIG_STREAM, //
    },
    config_checkpoint::ConfigCheckpointer,
    config_follower::{
        ConfigFollower,
        ConfigState, //
    },
    config_publisher::{
        self,
        PublishOutcome, //
    },
    ids::ConfigHash,
    log_store::LogStore,
    schema::{
        Account,
        ConfigChange,
        ConfigHead, //
    },
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(240);
/// The log's time at its start, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
/// Hosts.
const HOSTS: usize = 3;
/// Longest time of a publication.
const WAIT: Duration = Duration::from_secs(6);
/// Time after which all hosts have come to the same, when all faults are gone.
const QUIET: Duration = Duration::from_secs(120);

/// One operation of a sequence.
#[derive(Clone, Debug)]
enum ConfigOp {
    /// An operator publishes by a host's link.
    Publish(usize),
    /// A host restarts with nothing.
    Restart(usize),
    /// A host takes the head of another.
    Offer(usize, usize),
    /// A host's link to the log gets these faults.
    Fault(usize, LogFaults),
    /// All links work again.
    Heal,
    /// Time passes.
    Advance(u64),
}

impl Arbitrary for ConfigOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 16 {
            0..=5 => ConfigOp::Publish(host),
            6 => ConfigOp::Restart(host),
            7 | 8 => ConfigOp::Offer(host, usize::arbitrary(g) % HOSTS),
            9 | 10 => ConfigOp::Fault(host, any_faults(g)),
            11 => ConfigOp::Heal,
            12 => ConfigOp::Advance(u64::arbitrary(g) % 300_000),
            _ => ConfigOp::Advance(u64::arbitrary(g) % 2000),
        }
    }
}

/// Any faults of a link.
fn any_faults(g: &mut Gen) -> LogFaults {
    let none = LogFaults::default();
    let count = u32::arbitrary(g) % 4 + 1;
    let ms = u64::arbitrary(g) % 5000;
    match u8::arbitrary(g) % 7 {
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
            late_ms: ms,
            ..none
        },
        5 => LogFaults {
            duplicates: count,
            ..none
        },
        _ => LogFaults {
            slow_ms: ms,
            ..none
        },
    }
}

/// The one chain, read without faults or gaps.
#[derive(Default)]
struct TrueChain {
    /// Chain.
    chain: ConfigChain,
    /// Hash of each link, by its sequence number.
    links: HashMap<u64, ConfigHash>,
    /// Notes of all links.
    notes: Vec<Box<str>>,
}

/// A host that follows the chain.
struct ConfigHost {
    /// Its link to the log.
    link: FakeLog,
    /// Follows.
    follower: ConfigFollower<FakeLog>,
    /// Ends its tasks.
    token: CancellationToken,
}

impl ConfigHost {
    /// A host with nothing; what it sees goes to a list.
    fn new(link: FakeLog, name: &str, seen: &Seen) -> Self {
        let token = CancellationToken::new();
        let follower = ConfigFollower::new(link.clone(), token.clone());
        tokio::spawn(follower.clone().run());
        let checkpointer = ConfigCheckpointer::new(link.clone(), follower.clone(), name, RETENTION);
        tokio::spawn(checkpointer.run(token.clone()));
        let (mut watch, seen) = (follower.watch(), seen.clone());
        tokio::spawn(async move {
            let mut last = 0;
            while watch.changed().await.is_ok() {
                let state: ConfigState = watch.borrow_and_update().clone();
                let back = state.head.sequence < last;
                last = state.head.sequence;
                let sight = HeadSight {
                    head: state.head,
                    back,
                };
                seen.lock().expect("no panic").push(sight);
            }
        });
        Self {
            link,
            follower,
            token,
        }
    }
}

/// A head that a host held.
struct HeadSight {
    /// Head.
    head: ConfigHead,
    /// It came after a newer one.
    back: bool,
}

/// Heads that hosts held.
type Seen = Arc<Mutex<Vec<HeadSight>>>;

/// What a publication was told.
struct ToldPublication {
    /// Its note.
    note: Box<str>,
    /// What it was told.
    outcome: PublishOutcome,
}

/// Hosts, and what they and their operators were told.
struct ConfigMachine {
    /// Hosts.
    hosts: Vec<ConfigHost>,
    /// Heads that hosts held.
    seen: Seen,
    /// Publications that ended.
    told: Arc<Mutex<Vec<ToldPublication>>>,
    /// Publications and restarts so far.
    count: u32,
    /// The one chain.
    truth: Arc<Mutex<TrueChain>>,
}

impl ConfigMachine {
    /// Hosts on a new log.
    fn new() -> Self {
        let log = FakeLog::starting_at(RETENTION, STARTED_MS);
        let seen = Seen::default();
        let host = |n: usize| ConfigHost::new(log.link(), &format!("h{n}"), &seen);
        let hosts = (0..HOSTS).map(host).collect();
        let truth = Arc::<Mutex<TrueChain>>::default();
        tokio::spawn(follow_truth(log, truth.clone()));
        Self {
            hosts,
            seen,
            told: Arc::default(),
            count: HOSTS as u32,
            truth,
        }
    }

    /// Does one operation.
    async fn step(&mut self, op: &ConfigOp) {
        match op {
            ConfigOp::Publish(host) => self.publish(*host),
            ConfigOp::Restart(host) => self.restart(*host),
            ConfigOp::Offer(from, to) => {
                let chain = self.hosts[*from].follower.chain();
                let follower = &self.hosts[*to].follower;
                follower.offer_head(chain.head(), chain.configuration());
            }
            ConfigOp::Fault(host, faults) => self.hosts[*host].link.set_faults(faults.clone()),
            ConfigOp::Heal => self.heal(),
            ConfigOp::Advance(ms) => time::sleep(Duration::from_millis(*ms)).await,
        }
    }

    /// An operator publishes beside the operations that follow.
    fn publish(&mut self, host: usize) {
        self.count += 1;
        let note: Box<str> = self.count.to_string().into();
        let change = ConfigChange::PutAccount(Account {
            id: "school".into(),
            parameters: Vec::new(),
            requests_per_s: self.count,
            token_hash: "".into(),
            weight: 1,
        });
        let (link, told) = (self.hosts[host].link.clone(), self.told.clone());
        tokio::spawn(async move {
            let outcome = config_publisher::publish(link, "ah", &note, vec![change], WAIT).await;
            let publication = ToldPublication { note, outcome };
            told.lock().expect("no panic").push(publication);
        });
    }

    /// A host restarts with nothing.
    fn restart(&mut self, host: usize) {
        self.count += 1;
        self.hosts[host].token.cancel();
        let link = self.hosts[host].link.clone();
        self.hosts[host] = ConfigHost::new(link, &format!("h{}", self.count), &self.seen);
    }

    /// Ends all faults.
    fn heal(&self) {
        for host in &self.hosts {
            host.link.set_faults(LogFaults::default());
        }
    }

    /// Ends all faults, and checks what everyone saw and was told.
    async fn finish(&mut self) -> Result<(), String> {
        self.heal();
        time::sleep(QUIET).await;
        let truth = self.truth.lock().expect("no panic");
        for sight in self.seen.lock().expect("no panic").iter() {
            let HeadSight { head, back } = sight;
            let on_chain =
                head.sequence == 0 || truth.links.get(&head.sequence) == Some(&head.hash);
            if *back || !on_chain {
                return Err(format!(
                    "head {head:?}: back {back}, on the chain {on_chain}"
                ));
            }
        }
        for ToldPublication { note, outcome } in self.told.lock().expect("no panic").iter() {
            let in_force = truth.notes.contains(note);
            let fits = match outcome {
                PublishOutcome::Published(head) => {
                    in_force && truth.links.get(&head.sequence) == Some(&head.hash)
                }
                PublishOutcome::LostTo { .. }
                | PublishOutcome::Refused(_)
                | PublishOutcome::Unavailable(_) => !in_force,
                PublishOutcome::Uncertain(_) => true,
            };
            if !fits {
                return Err(format!("{outcome:?}, in force {in_force}"));
            }
        }
        for host in &self.hosts {
            let chain = host.follower.chain();
            if chain.head() != truth.chain.head() {
                return Err(format!(
                    "stays at {:?}, broken {}",
                    chain.head(),
                    chain.has_gap()
                ));
            }
        }
        Ok(())
    }
}

/// Reads the one chain without faults; panics if the log drops a record first.
async fn follow_truth(log: FakeLog, truth: Arc<Mutex<TrueChain>>) {
    let mut cursor = 1;
    loop {
        let page = log.read(CONFIG_STREAM, cursor, 100, Duration::from_secs(60));
        let page = page.await.expect("no fault");
        assert!(page.first <= cursor, "the oracle missed a record");
        let mut truth = truth.lock().expect("no panic");
        for record in &page.records {
            cursor = record.offset + 1;
            if truth.chain.apply_record(record) == ChainStep::Advanced {
                let head = truth.chain.head().clone();
                truth.links.insert(head.sequence, head.hash);
                let link = config_chain::parse_record(&record.data).expect("a link is readable");
                truth.notes.push(link.note);
            }
        }
    }
}

/// Runs one sequence.
fn hold(ops: Vec<ConfigOp>) -> Result<bool, String> {
    sequences::run_paused(ops.len(), async move {
        let mut machine = ConfigMachine::new();
        for op in &ops {
            machine.step(op).await;
        }
        machine.finish().await?;
        Ok(true)
    })
}

#[test]
fn heads_never_go_back_and_all_hosts_agree() {
    let plan = SequencePlan {
        seed: 21,
        runs: 400,
        length: 100,
        ops: 15_000,
    };
    sequences::check(plan, hold);
}

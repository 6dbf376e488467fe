//! Random sequences of publications, races, log faults, restarts and checkpoints.
//!
//! Heads must never go back or leave the chain, and all hosts must converge on the same head.

/// Shared test helpers.
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

/// Time for which the log keeps records.
const RETENTION: Duration = Duration::from_secs(240);
/// Initial log time, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
const HOSTS: usize = 3;
/// Maximum time for a publication.
const WAIT: Duration = Duration::from_secs(6);
/// Time after which all hosts have converged, once all faults are cleared.
const SETTLE_TIME: Duration = Duration::from_secs(120);

#[derive(Clone, Debug)]
enum ConfigOp {
    /// An operator publishes through the log connection of a host.
    Publish(usize),
    /// A host restarts without state.
    Restart(usize),
    /// The head of the first host is offered to the second.
    Offer(usize, usize),
    /// Faults are injected into the log connection of a host.
    Fault(usize, LogFaults),
    /// All log connections work again.
    ClearFaults,
    /// This number of milliseconds passes.
    Advance(u64),
}

impl Arbitrary for ConfigOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 16 {
            0..=5 => ConfigOp::Publish(host),
            6 => ConfigOp::Restart(host),
            7 | 8 => ConfigOp::Offer(host, usize::arbitrary(g) % HOSTS),
            9 | 10 => ConfigOp::Fault(host, arbitrary_faults(g)),
            11 => ConfigOp::ClearFaults,
            12 => ConfigOp::Advance(u64::arbitrary(g) % 300_000),
            _ => ConfigOp::Advance(u64::arbitrary(g) % 2000),
        }
    }
}

fn arbitrary_faults(g: &mut Gen) -> LogFaults {
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

/// The chain as read without faults or gaps.
#[derive(Default)]
struct ReferenceChain {
    chain: ConfigChain,
    /// Hashes of the records of the chain, by sequence number.
    links: HashMap<u64, ConfigHash>,
    /// Notes of all records of the chain.
    notes: Vec<Box<str>>,
}

struct ConfigHost {
    /// Connection to the log.
    link: FakeLog,
    follower: ConfigFollower<FakeLog>,
    /// Stops the tasks of the host.
    token: CancellationToken,
}

impl ConfigHost {
    /// Starts a host without state. The heads that it holds are added to `seen`.
    fn new(link: FakeLog, name: &str, seen: &Observations) -> Self {
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
                let went_back = state.head.sequence < last;
                last = state.head.sequence;
                let observation = HeadObservation {
                    head: state.head,
                    went_back,
                };
                seen.lock().expect("no panic").push(observation);
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
struct HeadObservation {
    head: ConfigHead,
    /// Whether the host held a newer head before.
    went_back: bool,
}

type Observations = Arc<Mutex<Vec<HeadObservation>>>;

/// A publication and its outcome.
struct FinishedPublication {
    /// Note of the record, which identifies the publication.
    note: Box<str>,
    outcome: PublishOutcome,
}

/// The hosts and what they and their operators have observed.
struct ConfigMachine {
    hosts: Vec<ConfigHost>,
    /// Heads that hosts have held.
    seen: Observations,
    finished: Arc<Mutex<Vec<FinishedPublication>>>,
    /// Number of publications and host starts so far.
    count: u32,
    reference: Arc<Mutex<ReferenceChain>>,
}

impl ConfigMachine {
    /// Starts the hosts on a new log.
    fn new() -> Self {
        let log = FakeLog::starting_at(RETENTION, STARTED_MS);
        let seen = Observations::default();
        let host = |n: usize| ConfigHost::new(log.link(), &format!("h{n}"), &seen);
        let hosts = (0..HOSTS).map(host).collect();
        let reference = Arc::<Mutex<ReferenceChain>>::default();
        tokio::spawn(follow_reference(log, reference.clone()));
        Self {
            hosts,
            seen,
            finished: Arc::default(),
            count: HOSTS as u32,
            reference,
        }
    }

    /// Performs one operation.
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
            ConfigOp::ClearFaults => self.clear_faults(),
            ConfigOp::Advance(ms) => time::sleep(Duration::from_millis(*ms)).await,
        }
    }

    /// Starts a publication that runs concurrently with the following operations.
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
        let (link, finished) = (self.hosts[host].link.clone(), self.finished.clone());
        tokio::spawn(async move {
            let outcome = config_publisher::publish(link, "ah", &note, vec![change], WAIT).await;
            let publication = FinishedPublication { note, outcome };
            finished.lock().expect("no panic").push(publication);
        });
    }

    /// Restarts a host without state.
    fn restart(&mut self, host: usize) {
        self.count += 1;
        self.hosts[host].token.cancel();
        let link = self.hosts[host].link.clone();
        self.hosts[host] = ConfigHost::new(link, &format!("h{}", self.count), &self.seen);
    }

    /// Clears the faults of all log connections.
    fn clear_faults(&self) {
        for host in &self.hosts {
            host.link.set_faults(LogFaults::default());
        }
    }

    /// Clears all faults, then checks the observed heads, the outcomes and the final heads.
    async fn finish(&mut self) -> Result<(), String> {
        self.clear_faults();
        time::sleep(SETTLE_TIME).await;
        let reference = self.reference.lock().expect("no panic");
        for observation in self.seen.lock().expect("no panic").iter() {
            let HeadObservation { head, went_back } = observation;
            let is_on_chain =
                head.sequence == 0 || reference.links.get(&head.sequence) == Some(&head.hash);
            if *went_back || !is_on_chain {
                return Err(format!(
                    "head {head:?}: back {went_back}, on the chain {is_on_chain}"
                ));
            }
        }
        for FinishedPublication { note, outcome } in self.finished.lock().expect("no panic").iter()
        {
            let is_in_force = reference.notes.contains(note);
            let is_consistent = match outcome {
                PublishOutcome::Published(head) => {
                    is_in_force && reference.links.get(&head.sequence) == Some(&head.hash)
                }
                PublishOutcome::LostTo { .. }
                | PublishOutcome::Refused(_)
                | PublishOutcome::Unavailable(_) => !is_in_force,
                PublishOutcome::Uncertain(_) => true,
            };
            if !is_consistent {
                return Err(format!("{outcome:?}, in force {is_in_force}"));
            }
        }
        for host in &self.hosts {
            let chain = host.follower.chain();
            if chain.head() != reference.chain.head() {
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

/// Reads the chain without faults. Panics if the log drops a record before it was read.
async fn follow_reference(log: FakeLog, reference: Arc<Mutex<ReferenceChain>>) {
    let mut cursor = 1;
    loop {
        let page = log.read(CONFIG_STREAM, cursor, 100, Duration::from_secs(60));
        let page = page.await.expect("no fault");
        assert!(page.first <= cursor, "the oracle missed a record");
        let mut reference = reference.lock().expect("no panic");
        for record in &page.records {
            cursor = record.offset + 1;
            if reference.chain.apply_record(record) == ChainStep::Advanced {
                let head = reference.chain.head().clone();
                reference.links.insert(head.sequence, head.hash);
                let link = config_chain::parse_record(&record.data).expect("a link is readable");
                reference.notes.push(link.note);
            }
        }
    }
}

/// Runs a sequence of operations; the error names the rule that was broken.
fn run_sequence(ops: Vec<ConfigOp>) -> Result<bool, String> {
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
    sequences::check(plan, run_sequence);
}

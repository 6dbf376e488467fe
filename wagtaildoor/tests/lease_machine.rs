//! Sequences of asks, renewals, pauses, kills and log faults: never two holders at a time.

/// Helpers of the tests.
mod support {
    pub mod sequences;
}

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
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
use wagtaildoor::{
    boot_clock::BootInstant,
    lease_holder::{
        HeldLease,
        LeaseHolder, //
    },
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(65);
/// The log's time at its start, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
/// Processes that want the lease.
const HOLDERS: usize = 3;
/// Lease they want.
const LEASE: &str = "rollout/drafters";
/// How long it holds from each record.
const DURATION: Duration = Duration::from_secs(10);
/// Longest time after the end of all faults until somebody gets the lease.
const RECOVERY: Duration = Duration::from_secs(300);

/// One operation of a sequence.
#[derive(Clone, Debug)]
enum LeaseOp {
    /// A process asks for the lease, or renews it.
    Work(usize),
    /// A process does so every two seconds, so many times.
    Keep(usize, u64),
    /// A process gives the lease back.
    Release(usize),
    /// A process is killed and starts anew.
    Kill(usize),
    /// A process's link to the log gets these faults.
    Fault(usize, LogFaults),
    /// All links work again.
    Heal,
    /// Time passes.
    Advance(u64),
}

impl Arbitrary for LeaseOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let holder = usize::arbitrary(g) % HOLDERS;
        match u8::arbitrary(g) % 16 {
            0..=5 => LeaseOp::Work(holder),
            6 => LeaseOp::Keep(holder, u64::arbitrary(g) % 60),
            7 => LeaseOp::Release(holder),
            8 => LeaseOp::Kill(holder),
            9 | 10 => LeaseOp::Fault(holder, any_faults(g)),
            11 => LeaseOp::Heal,
            12 => LeaseOp::Advance(u64::arbitrary(g) % 100_000),
            _ => LeaseOp::Advance(u64::arbitrary(g) % 8000),
        }
    }
}

/// Any faults of a link.
fn any_faults(g: &mut Gen) -> LogFaults {
    let none = LogFaults::default();
    let count = u32::arbitrary(g) % 4 + 1;
    let ms = u64::arbitrary(g) % 12_000;
    match u8::arbitrary(g) % 6 {
        0 => LogFaults {
            outage: true,
            ..none
        },
        1 => LogFaults {
            lost_answers: count,
            ..none
        },
        2 => LogFaults {
            lost_requests: count,
            ..none
        },
        3 => LogFaults {
            late_appends: count,
            late_ms: ms,
            ..none
        },
        4 => LogFaults {
            duplicates: count,
            ..none
        },
        _ => LogFaults {
            slow_ms: ms,
            ..none
        },
    }
}

/// A process that wants the lease.
struct WantingProcess {
    /// Its link to the log.
    link: FakeLog,
    /// Asks and renews, one thing at a time.
    holder: tokio::sync::Mutex<LeaseHolder<FakeLog>>,
    /// What it holds.
    held: Mutex<Option<HeldLease>>,
    /// It was killed.
    killed: AtomicBool,
}

impl WantingProcess {
    /// A process under a name.
    fn new(link: FakeLog, name: &str) -> Arc<Self> {
        Arc::new(Self {
            holder: tokio::sync::Mutex::new(LeaseHolder::new(link.clone(), name)),
            link,
            held: Mutex::default(),
            killed: AtomicBool::new(false),
        })
    }

    /// Asks for the lease, or renews it, so many times.
    async fn keep(self: Arc<Self>, times: u64) {
        for _ in 0..times {
            self.work().await;
            time::sleep(DURATION / 5).await;
        }
    }

    /// Asks for the lease, or renews it.
    async fn work(&self) {
        let mut holder = self.holder.lock().await;
        if self.killed.load(Ordering::Relaxed) {
            return;
        }
        let held = self.held.lock().expect("no panic").clone();
        if let Some(mut held) = held {
            let renewed = holder.renew(&mut held).await == Ok(true);
            if renewed || held.is_valid() {
                *self.held.lock().expect("no panic") = Some(held);
                return;
            }
        }
        let held = holder.acquire(LEASE, DURATION).await.unwrap_or(None);
        *self.held.lock().expect("no panic") = held;
    }

    /// Gives the lease back.
    async fn release(&self) {
        let mut holder = self.holder.lock().await;
        let held = self.held.lock().expect("no panic").take();
        if let Some(held) = held {
            let _ = holder.release(held).await;
        }
    }

    /// Number it acts under now.
    fn acts(&self) -> Option<u64> {
        if self.killed.load(Ordering::Relaxed) {
            return None;
        }
        let held = self.held.lock().expect("no panic");
        let held = held.as_ref()?;
        held.is_valid().then_some(held.fencing)
    }
}

/// Processes and the highest fencing number any of them acted under.
struct LeaseMachine {
    /// Log, without faults.
    log: FakeLog,
    /// Processes.
    processes: Vec<Arc<WantingProcess>>,
    /// Processes started so far.
    started: u64,
    /// Highest fencing number so far.
    highest: u64,
}

impl LeaseMachine {
    /// Processes on a new log.
    fn new() -> Self {
        let log = FakeLog::starting_at(RETENTION, STARTED_MS);
        let process = |n: usize| WantingProcess::new(log.link(), &format!("p{n}"));
        Self {
            processes: (0..HOLDERS).map(process).collect(),
            log,
            started: HOLDERS as u64,
            highest: 0,
        }
    }

    /// Does one operation.
    async fn step(&mut self, op: &LeaseOp) {
        match op {
            LeaseOp::Work(n) => self.spawn(*n, 1),
            LeaseOp::Keep(n, times) => self.spawn(*n, *times),
            LeaseOp::Release(n) => {
                let process = self.processes[*n].clone();
                tokio::spawn(async move { process.release().await });
            }
            LeaseOp::Kill(n) => self.kill(*n),
            LeaseOp::Fault(n, faults) => self.processes[*n].link.set_faults(faults.clone()),
            LeaseOp::Heal => self.heal(),
            LeaseOp::Advance(ms) => time::sleep(Duration::from_millis(*ms)).await,
        }
    }

    /// Lets a process ask or renew beside the operations that follow.
    fn spawn(&self, n: usize, times: u64) {
        tokio::spawn(self.processes[n].clone().keep(times));
    }

    /// Kills a process, and starts another.
    fn kill(&mut self, n: usize) {
        self.started += 1;
        self.processes[n].killed.store(true, Ordering::Relaxed);
        let link = self.processes[n].link.clone();
        self.processes[n] = WantingProcess::new(link, &format!("p{}", self.started));
    }

    /// Ends all faults.
    fn heal(&self) {
        for process in &self.processes {
            process.link.set_faults(LogFaults::default());
        }
    }

    /// Checks that at most one process acts, and under a number that never falls.
    fn check(&mut self) -> Result<(), String> {
        let acting: Vec<u64> = self.processes.iter().filter_map(|p| p.acts()).collect();
        if acting.len() > 1 {
            return Err(format!("{} holders act: {acting:?}", acting.len()));
        }
        let Some(&fencing) = acting.first() else {
            return Ok(());
        };
        if fencing < self.highest {
            return Err(format!("number fell from {} to {fencing}", self.highest));
        }
        self.highest = fencing;
        Ok(())
    }

    /// Ends all faults, and waits until somebody has the lease.
    async fn finish(&mut self) -> Result<(), String> {
        self.heal();
        let limit = time::Instant::now() + RECOVERY;
        while time::Instant::now() < limit {
            time::sleep(DURATION / 4).await;
            for n in 0..HOLDERS {
                self.processes[n].work().await;
                self.check()?;
                if self.processes[n].acts().is_some() {
                    return Ok(());
                }
            }
        }
        Err(format!("nobody gets the lease: {:?}", self.log.counts()))
    }
}

/// Runs one sequence.
fn hold(ops: Vec<LeaseOp>) -> Result<bool, String> {
    sequences::run_paused(ops.len(), async move {
        let mut machine = LeaseMachine::new();
        for op in &ops {
            machine.step(op).await;
            // Tasks that the operation woke come first.
            time::sleep(Duration::from_millis(1)).await;
            machine.check()?;
        }
        machine.finish().await?;
        Ok(true)
    })
}

#[test]
fn never_do_two_holders_act() {
    let plan = SequencePlan {
        seed: 11,
        runs: 1200,
        length: 100,
        ops: 50_000,
    };
    sequences::check(plan, hold);
}

#[tokio::test(start_paused = true)]
async fn a_lease_runs_out_while_its_host_is_suspended() {
    let log = FakeLog::starting_at(RETENTION, STARTED_MS);
    let mut holder = LeaseHolder::new(log.link(), "p0");
    let held = holder.acquire(LEASE, DURATION).await.expect("a log");
    let held = held.expect("nobody else wants it");
    let steady = time::Instant::now();
    let boot = BootInstant::now();
    assert!(held.is_valid_at(steady, boot));
    assert!(
        !held.is_valid_at(steady, boot + DURATION),
        "the steady clock stood still"
    );
    assert!(!held.is_valid_at(steady + DURATION, boot));
}

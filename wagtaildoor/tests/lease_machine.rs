//! Random sequences of lease requests, renewals, pauses, kills and log faults.
//!
//! At most one process may hold the lease at any time.

/// Shared test helpers.
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

/// Time for which the log keeps records.
const RETENTION: Duration = Duration::from_secs(65);
/// Initial log time, in milliseconds since the Unix epoch.
const STARTED_MS: u64 = 1_700_000_000_000;
/// Number of processes that compete for the lease.
const PROCESSES: usize = 3;
/// Name of the lease.
const LEASE: &str = "rollout/drafters";
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Maximum time until a process acquires the lease, once all faults are cleared.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(300);

#[derive(Clone, Debug)]
enum LeaseOp {
    /// A process acquires or renews the lease.
    AcquireOrRenew(usize),
    /// A process acquires or renews the lease this many times, every two seconds.
    RenewPeriodically(usize, u64),
    /// A process releases the lease.
    Release(usize),
    /// A process is killed and restarted.
    Kill(usize),
    /// Faults are injected into the log connection of a process.
    Fault(usize, LogFaults),
    /// All log connections work again.
    ClearFaults,
    /// This number of milliseconds passes.
    Advance(u64),
}

impl Arbitrary for LeaseOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let holder = usize::arbitrary(g) % PROCESSES;
        match u8::arbitrary(g) % 16 {
            0..=5 => LeaseOp::AcquireOrRenew(holder),
            6 => LeaseOp::RenewPeriodically(holder, u64::arbitrary(g) % 60),
            7 => LeaseOp::Release(holder),
            8 => LeaseOp::Kill(holder),
            9 | 10 => LeaseOp::Fault(holder, arbitrary_faults(g)),
            11 => LeaseOp::ClearFaults,
            12 => LeaseOp::Advance(u64::arbitrary(g) % 100_000),
            _ => LeaseOp::Advance(u64::arbitrary(g) % 8000),
        }
    }
}

fn arbitrary_faults(g: &mut Gen) -> LogFaults {
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

/// A process that competes for the lease.
struct LeaseProcess {
    /// Connection to the log.
    link: FakeLog,
    /// Locked, so that the process performs one lease operation at a time.
    holder: tokio::sync::Mutex<LeaseHolder<FakeLog>>,
    /// The lease, while the process holds it.
    held: Mutex<Option<HeldLease>>,
    killed: AtomicBool,
}

impl LeaseProcess {
    /// Creates a process that uses `name` for its leases.
    fn new(link: FakeLog, name: &str) -> Arc<Self> {
        Arc::new(Self {
            holder: tokio::sync::Mutex::new(LeaseHolder::new(link.clone(), name)),
            link,
            held: Mutex::default(),
            killed: AtomicBool::new(false),
        })
    }

    /// Acquires or renews the lease `times` times, at a fifth of its duration.
    async fn renew_periodically(self: Arc<Self>, times: u64) {
        for _ in 0..times {
            self.acquire_or_renew().await;
            time::sleep(LEASE_DURATION / 5).await;
        }
    }

    /// Renews the lease if the process holds it, or requests it.
    async fn acquire_or_renew(&self) {
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
        let held = holder.acquire(LEASE, LEASE_DURATION).await.unwrap_or(None);
        *self.held.lock().expect("no panic") = held;
    }

    /// Releases the lease.
    async fn release(&self) {
        let mut holder = self.holder.lock().await;
        let held = self.held.lock().expect("no panic").take();
        if let Some(held) = held {
            let _ = holder.release(held).await;
        }
    }

    /// Fencing token of the lease that the process may use now.
    fn acting_token(&self) -> Option<u64> {
        if self.killed.load(Ordering::Relaxed) {
            return None;
        }
        let held = self.held.lock().expect("no panic");
        let held = held.as_ref()?;
        held.is_valid().then_some(held.fencing)
    }
}

/// Competing processes and the highest fencing token that any of them has used.
struct LeaseMachine {
    /// Connection to the log without faults.
    log: FakeLog,
    processes: Vec<Arc<LeaseProcess>>,
    /// Number of processes started so far.
    started: u64,
    /// Highest fencing token so far.
    highest_token: u64,
}

impl LeaseMachine {
    /// Starts the processes on a new log.
    fn new() -> Self {
        let log = FakeLog::starting_at(RETENTION, STARTED_MS);
        let process = |n: usize| LeaseProcess::new(log.link(), &format!("p{n}"));
        Self {
            processes: (0..PROCESSES).map(process).collect(),
            log,
            started: PROCESSES as u64,
            highest_token: 0,
        }
    }

    /// Performs one operation.
    async fn step(&mut self, op: &LeaseOp) {
        match op {
            LeaseOp::AcquireOrRenew(n) => self.spawn(*n, 1),
            LeaseOp::RenewPeriodically(n, times) => self.spawn(*n, *times),
            LeaseOp::Release(n) => {
                let process = self.processes[*n].clone();
                tokio::spawn(async move { process.release().await });
            }
            LeaseOp::Kill(n) => self.kill(*n),
            LeaseOp::Fault(n, faults) => self.processes[*n].link.set_faults(faults.clone()),
            LeaseOp::ClearFaults => self.clear_faults(),
            LeaseOp::Advance(ms) => time::sleep(Duration::from_millis(*ms)).await,
        }
    }

    /// Lets a process acquire or renew concurrently with the following operations.
    fn spawn(&self, n: usize, times: u64) {
        tokio::spawn(self.processes[n].clone().renew_periodically(times));
    }

    /// Kills a process and starts another one.
    fn kill(&mut self, n: usize) {
        self.started += 1;
        self.processes[n].killed.store(true, Ordering::Relaxed);
        let link = self.processes[n].link.clone();
        self.processes[n] = LeaseProcess::new(link, &format!("p{}", self.started));
    }

    /// Clears the faults of all log connections.
    fn clear_faults(&self) {
        for process in &self.processes {
            process.link.set_faults(LogFaults::default());
        }
    }

    /// Checks that at most one process may use the lease, and that fencing tokens never decrease.
    fn check_holders(&mut self) -> Result<(), String> {
        let acting: Vec<u64> = self
            .processes
            .iter()
            .filter_map(|p| p.acting_token())
            .collect();
        if acting.len() > 1 {
            return Err(format!("{} holders act: {acting:?}", acting.len()));
        }
        let Some(&fencing) = acting.first() else {
            return Ok(());
        };
        if fencing < self.highest_token {
            return Err(format!(
                "fencing token fell from {} to {fencing}",
                self.highest_token
            ));
        }
        self.highest_token = fencing;
        Ok(())
    }

    /// Clears all faults and waits until a process acquires the lease.
    async fn finish(&mut self) -> Result<(), String> {
        self.clear_faults();
        let limit = time::Instant::now() + RECOVERY_TIMEOUT;
        while time::Instant::now() < limit {
            time::sleep(LEASE_DURATION / 4).await;
            for n in 0..PROCESSES {
                self.processes[n].acquire_or_renew().await;
                self.check_holders()?;
                if self.processes[n].acting_token().is_some() {
                    return Ok(());
                }
            }
        }
        Err(format!("nobody gets the lease: {:?}", self.log.counts()))
    }
}

/// Runs a sequence of operations and checks the lease holders after each one.
fn run_sequence(ops: Vec<LeaseOp>) -> Result<bool, String> {
    sequences::run_paused(ops.len(), async move {
        let mut machine = LeaseMachine::new();
        for op in &ops {
            machine.step(op).await;
            // Run the tasks that the operation has woken.
            time::sleep(Duration::from_millis(1)).await;
            machine.check_holders()?;
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
    sequences::check(plan, run_sequence);
}

#[tokio::test(start_paused = true)]
async fn a_lease_runs_out_while_its_host_is_suspended() {
    let log = FakeLog::starting_at(RETENTION, STARTED_MS);
    let mut holder = LeaseHolder::new(log.link(), "p0");
    let held = holder.acquire(LEASE, LEASE_DURATION).await.expect("a log");
    let held = held.expect("nobody else wants it");
    let steady = time::Instant::now();
    let boot = BootInstant::now();
    assert!(held.is_valid_at(steady, boot));
    assert!(
        !held.is_valid_at(steady, boot + LEASE_DURATION),
        "the steady clock stood still"
    );
    assert!(!held.is_valid_at(steady + LEASE_DURATION, boot));
}

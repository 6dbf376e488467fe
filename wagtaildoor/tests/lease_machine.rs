//! Sequences of asks, renewals, pauses, kills and log faults: never two holders at a time.

/// Helpers of the tests.
mod support {
    pub mod sequences;
}

use std::time::Duration;

use quickcheck::{
    Arbitrary,
    Gen, //
};
use support::sequences::{
    self,
    SequencePlan, //
};
use tokio::time;
use wagtaildoor::lease_holder::{
    HeldLease,
    LeaseHolder, //
};
use wagtaildoor_fakes::fake_log::{
    FakeLog,
    LogFaults, //
};

/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(300);
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
            0..=6 => LeaseOp::Work(holder),
            7 => LeaseOp::Release(holder),
            8 => LeaseOp::Kill(holder),
            9 | 10 => LeaseOp::Fault(holder, any_faults(g)),
            11 => LeaseOp::Heal,
            12 => LeaseOp::Advance(u64::arbitrary(g) % 400_000),
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
    /// Asks and renews.
    holder: LeaseHolder<FakeLog>,
    /// What it holds.
    held: Option<HeldLease>,
}

impl WantingProcess {
    /// A process under a name.
    fn new(link: FakeLog, name: &str) -> Self {
        Self {
            holder: LeaseHolder::new(link.clone(), name),
            link,
            held: None,
        }
    }

    /// Asks for the lease, or renews it.
    async fn work(&mut self) {
        if let Some(held) = &mut self.held {
            if self.holder.renew(held).await == Ok(true) {
                return;
            }
            if held.is_valid() {
                return;
            }
        }
        self.held = self.holder.acquire(LEASE, DURATION).await.unwrap_or(None);
    }

    /// Whether it acts under the lease now.
    fn acts(&self) -> Option<u64> {
        let held = self.held.as_ref()?;
        held.is_valid().then_some(held.fencing)
    }
}

/// Processes and the highest fencing number any of them acted under.
struct LeaseMachine {
    /// Log, without faults.
    log: FakeLog,
    /// Processes.
    processes: Vec<WantingProcess>,
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
            LeaseOp::Work(n) => self.processes[*n].work().await,
            LeaseOp::Release(n) => {
                let process = &mut self.processes[*n];
                if let Some(held) = process.held.take() {
                    let _ = process.holder.release(held).await;
                }
            }
            LeaseOp::Kill(n) => {
                self.started += 1;
                let link = self.processes[*n].link.clone();
                self.processes[*n] = WantingProcess::new(link, &format!("p{}", self.started));
            }
            LeaseOp::Fault(n, faults) => self.processes[*n].link.set_faults(faults.clone()),
            LeaseOp::Heal => self.heal(),
            LeaseOp::Advance(ms) => time::sleep(Duration::from_millis(*ms)).await,
        }
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

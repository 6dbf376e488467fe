//! A graceful shutdown: not ready, still serving, the balancer quiet, work ended, stop.

use std::{
    future::Future,
    sync::Arc,
    time::Duration, //
};

use tokio::{
    sync::watch,
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;

/// How long each part of a shutdown may take.
#[derive(Clone, Copy, Debug)]
pub struct DrainLimits {
    /// Time without new work after which the balancer counts as gone.
    pub quiet_period: Duration,
    /// Longest whole shutdown; above the longest deadline of any request.
    pub total_timeout: Duration,
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum DrainOutcome {
    /// All work ended, and no more came.
    #[display("all work ended")]
    Finished,
    /// The limit passed with work left.
    #[display("the limit passed")]
    TimedOut,
    /// It was told to stop at once.
    #[display("told to stop at once")]
    Aborted,
}

/// Counts work, and lets a process end once there is none; clones share it.
#[derive(Clone)]
pub struct DrainGate {
    /// Work in hand.
    work: Arc<watch::Sender<WorkState>>,
    /// Cancelled once the process is leaving.
    leaving: CancellationToken,
}

/// Work in hand.
struct WorkState {
    /// Pieces that have not ended.
    running: u64,
    /// When the last piece started or ended.
    last_change: Instant,
}

/// One piece of work; it ends when this is dropped.
pub struct WorkGuard {
    /// Where it is counted.
    work: Arc<watch::Sender<WorkState>>,
}

impl Default for DrainGate {
    fn default() -> Self {
        Self::new()
    }
}

impl DrainGate {
    /// A gate without work.
    pub fn new() -> Self {
        let state = WorkState {
            running: 0,
            last_change: Instant::now(),
        };
        Self {
            work: Arc::new(watch::Sender::new(state)),
            leaving: CancellationToken::new(),
        }
    }

    /// Starts a piece of work. It is taken on while the process is leaving too: the balancer
    /// still sends some, and whoever sent it counts on an answer.
    pub fn start_work(&self) -> WorkGuard {
        self.work.send_modify(|state| {
            state.running += 1;
            state.last_change = Instant::now();
        });
        WorkGuard {
            work: Arc::clone(&self.work),
        }
    }

    /// Pieces of work in hand.
    pub fn running(&self) -> u64 {
        self.work.borrow().running
    }

    /// Whether the process is leaving: it says so to the balancer, and goes on serving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Cancelled once the process is leaving.
    pub fn leaving(&self) -> CancellationToken {
        self.leaving.clone()
    }

    /// Leaves: returns once there is no work and none has come for the quiet time, or the limit
    /// has passed, or `abort` has.
    pub async fn drain(
        &self,
        limits: DrainLimits,
        abort: impl Future<Output = ()>,
    ) -> DrainOutcome {
        self.leaving.cancel();
        let limit = Instant::now() + limits.total_timeout;
        tokio::select! {
            biased;
            () = abort => DrainOutcome::Aborted,
            () = self.wait_until_quiet(limits.quiet_period) => DrainOutcome::Finished,
            () = time::sleep_until(limit) => DrainOutcome::TimedOut,
        }
    }

    /// Returns once there has been no work for a time.
    async fn wait_until_quiet(&self, quiet_period: Duration) {
        let mut work = self.work.subscribe();
        let started = Instant::now();
        loop {
            let (running, last_change) = {
                let state = work.borrow_and_update();
                (state.running, state.last_change)
            };
            let quiet_at = last_change.max(started) + quiet_period;
            let quiet = async {
                match running {
                    0 => time::sleep_until(quiet_at).await,
                    _ => std::future::pending().await,
                }
            };
            tokio::select! {
                () = quiet => return,
                changed = work.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.work.send_modify(|state| {
            state.running -= 1;
            state.last_change = Instant::now();
        });
    }
}

//! Graceful shutdown: fail the readiness check, keep serving until traffic stops, then exit.

use std::{
    future::Future,
    sync::{
        Arc,
        OnceLock, //
    },
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

/// Time limits of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct DrainLimits {
    /// Time without new work after which the load balancer is assumed to send no more requests.
    pub quiet_period: Duration,
    /// Timeout of the whole shutdown; must exceed the longest deadline of any request.
    pub total_timeout: Duration,
}

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum DrainOutcome {
    /// All work ended, and none arrived during the quiet period.
    #[display("all work ended")]
    Finished,
    /// The total timeout passed with work still running.
    #[display("timed out with work running")]
    TimedOut,
    /// A second signal asked for an immediate stop.
    #[display("aborted by a second signal")]
    Aborted,
}

/// Counts running work and waits for it at shutdown; clones share the count.
#[derive(Clone)]
pub struct DrainGate {
    work: Arc<watch::Sender<WorkState>>,
    leaving: CancellationToken,
    /// When the shutdown ends at the latest; set when it begins.
    limit: Arc<OnceLock<Instant>>,
}

/// Count of running work.
struct WorkState {
    /// Number of live `WorkGuard`s.
    running: u64,
    /// When work was last started or ended.
    last_change: Instant,
}

/// Guard for one unit of work, which ends when the guard is dropped.
pub struct WorkGuard {
    work: Arc<watch::Sender<WorkState>>,
}

impl Default for DrainGate {
    fn default() -> Self {
        Self::new()
    }
}

impl DrainGate {
    /// Creates a gate without running work.
    pub fn new() -> Self {
        let state = WorkState {
            running: 0,
            last_change: Instant::now(),
        };
        Self {
            work: Arc::new(watch::Sender::new(state)),
            leaving: CancellationToken::new(),
            limit: Arc::default(),
        }
    }

    /// Starts a unit of work.
    ///
    /// Work is also accepted during a shutdown, since the load balancer keeps sending requests for
    /// a while and their callers expect a response.
    pub fn start_work(&self) -> WorkGuard {
        self.work.send_modify(|state| {
            state.running += 1;
            state.last_change = Instant::now();
        });
        WorkGuard {
            work: Arc::clone(&self.work),
        }
    }

    /// Whether work that may last until `deadline` ends before the shutdown does. Always true while none has
    /// begun.
    pub fn fits(&self, deadline: Instant) -> bool {
        self.limit.get().is_none_or(|&limit| deadline <= limit)
    }

    /// Returns the number of running units of work.
    pub fn running(&self) -> u64 {
        self.work.borrow().running
    }

    /// Whether the shutdown has begun. Readiness checks fail from then on, but requests are served.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Returns a token that is cancelled when the shutdown begins.
    pub fn leaving(&self) -> CancellationToken {
        self.leaving.clone()
    }

    /// Begins the shutdown and waits until no work is running and none arrived during the quiet
    /// period, until the total timeout passes, or until `abort` completes.
    pub async fn drain(
        &self,
        limits: DrainLimits,
        abort: impl Future<Output = ()>,
    ) -> DrainOutcome {
        let limit = Instant::now() + limits.total_timeout;
        let limit = *self.limit.get_or_init(|| limit);
        self.leaving.cancel();
        tokio::select! {
            biased;
            () = abort => DrainOutcome::Aborted,
            () = self.wait_until_quiet(limits.quiet_period) => DrainOutcome::Finished,
            () = time::sleep_until(limit) => DrainOutcome::TimedOut,
        }
    }

    /// Waits until no work was running, started or ended for `quiet_period`.
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

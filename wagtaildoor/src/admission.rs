//! Admits requests to work: fair between accounts, and refused early when it would be too late.

use std::{
    future::Future,
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use tokio::{
    sync::oneshot,
    time::{
        self,
        Instant, //
    },
};

use crate::{
    account_limit::AccountLimits,
    error::ErrorKind,
    fair_queue::{
        FairQueue,
        QueueHandle,
        SchedulingParams, //
    },
};

/// Result of asking for admission; errors are `AccountLimited`, `Overloaded` and
/// `DeadlineUnreachable`, and nothing was sent then.
pub type Result<T> = std::result::Result<T, ErrorKind>;

/// Part that a new sample has in the mean time between two releases.
const SAMPLE_WEIGHT: f64 = 0.1;

/// How much one entry takes on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Requests in work at a time.
    pub in_flight: u32,
    /// Requests waiting at a time.
    pub queued: u32,
}

/// Admits requests; clones share the queue.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    /// State.
    state: Arc<Mutex<AdmissionState>>,
}

/// A place in work; dropping it lets the next request in.
#[derive(Debug)]
pub struct AdmissionPermit {
    /// State to give the place back to.
    state: Arc<Mutex<AdmissionState>>,
}

/// What a waiter is told.
type AdmissionResult = Result<()>;

/// State of admission.
#[derive(Debug)]
struct AdmissionState {
    /// Limits.
    limits: AdmissionLimits,
    /// Requests in work.
    in_flight: u32,
    /// Requests waiting.
    queue: FairQueue<oneshot::Sender<AdmissionResult>>,
    /// Limits of accounts.
    accounts: AccountLimits,
    /// Mean time between two releases while requests wait, in seconds.
    mean_release_s: Option<f64>,
    /// The last release while requests waited.
    last_release_at: Option<Instant>,
}

/// A request that waits; dropping it takes it out of the queue.
#[derive(Debug)]
struct QueuedRequest {
    /// State it waits in.
    state: Arc<Mutex<AdmissionState>>,
    /// Its place.
    handle: QueueHandle,
    /// What it is told.
    result: oneshot::Receiver<AdmissionResult>,
    /// It was told.
    is_resolved: bool,
}

impl AdmissionQueue {
    /// A queue with limits, for an entry that is one of `hosts`.
    pub fn new(limits: AdmissionLimits, hosts: u32) -> Self {
        let state = AdmissionState {
            limits,
            in_flight: 0,
            queue: FairQueue::default(),
            accounts: AccountLimits::new(hosts),
            mean_release_s: None,
            last_release_at: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Takes the number of live entry hosts, which share the accounts' limits.
    pub fn set_host_count(&self, hosts: u32) {
        lock(&self.state).accounts.set_host_count(hosts);
    }

    /// Waits for a place in work, at most to the deadline.
    ///
    /// `requests_per_s` is the account's limit over all hosts; 0 sets none.
    pub async fn admit(
        &self,
        params: &SchedulingParams,
        requests_per_s: u32,
    ) -> Result<AdmissionPermit> {
        let queued = {
            let mut state = lock(&self.state);
            state
                .accounts
                .try_acquire(&params.account, requests_per_s)?;
            if state.has_capacity() {
                state.in_flight += 1;
                return Ok(self.permit());
            }
            state.check_deadline(params)?;
            state.make_queue_room(params)?;
            let (sender, result) = oneshot::channel();
            let handle = state.queue.push(params, sender);
            QueuedRequest {
                state: Arc::clone(&self.state),
                handle,
                result,
                is_resolved: false,
            }
        };
        match time::timeout_at(params.deadline, queued).await {
            Ok(result) => result.map(|()| self.permit()),
            Err(_) => Err(ErrorKind::DeadlineUnreachable),
        }
    }

    /// Requests waiting.
    pub fn queued(&self) -> usize {
        lock(&self.state).queue.len()
    }

    /// A permit for a place that is counted.
    fn permit(&self) -> AdmissionPermit {
        AdmissionPermit {
            state: Arc::clone(&self.state),
        }
    }
}

impl AdmissionState {
    /// Whether a request may go to work at once.
    fn has_capacity(&self) -> bool {
        self.in_flight < self.limits.in_flight && self.queue.is_empty()
    }

    /// Refuses a request that would wait past its deadline.
    fn check_deadline(&self, params: &SchedulingParams) -> Result<()> {
        let Some(mean_release_s) = self.mean_release_s else {
            return Ok(());
        };
        let position = (self.queue.count_ahead_of(params) + 1) as f64;
        let wait = Duration::from_secs_f64(position * mean_release_s);
        match Instant::now() + wait > params.deadline {
            true => Err(ErrorKind::DeadlineUnreachable),
            false => Ok(()),
        }
    }

    /// Makes room in the queue, or refuses the request.
    fn make_queue_room(&mut self, params: &SchedulingParams) -> Result<()> {
        if self.queue.len() < self.limits.queued as usize {
            return Ok(());
        }
        let evicted = self.queue.evict_for(params).ok_or(ErrorKind::Overloaded)?;
        // A waiter that is gone needs no word.
        let _ = evicted.send(Err(ErrorKind::Overloaded));
        Ok(())
    }

    /// Gives a place back, and to the next.
    fn release(&mut self) {
        self.in_flight -= 1;
        self.record_release();
        while self.in_flight < self.limits.in_flight {
            let Some(next) = self.queue.pop() else { break };
            if next.send(Ok(())).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    /// Learns the time between two releases while requests wait.
    fn record_release(&mut self) {
        let now = Instant::now();
        if self.queue.is_empty() {
            self.last_release_at = None;
            return;
        }
        if let Some(previous) = self.last_release_at.replace(now) {
            let sample = (now - previous).as_secs_f64();
            let mean = self.mean_release_s.get_or_insert(sample);
            *mean += (sample - *mean) * SAMPLE_WEIGHT;
        }
    }
}

impl Future for QueuedRequest {
    type Output = AdmissionResult;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<AdmissionResult> {
        let polled = Pin::new(&mut self.result).poll(context);
        polled.map(|result| {
            self.is_resolved = true;
            result.unwrap_or(Err(ErrorKind::Internal))
        })
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let mut state = lock(&self.state);
        // The place may have been given at the moment the request gave up.
        match self.result.try_recv() {
            Ok(Ok(())) => state.release(),
            Ok(Err(_)) => (),
            Err(_) => drop(state.queue.remove(&self.handle)),
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        lock(&self.state).release();
    }
}

/// The state, even when a holder of the lock panicked: each change is whole in itself.
fn lock(state: &Mutex<AdmissionState>) -> MutexGuard<'_, AdmissionState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

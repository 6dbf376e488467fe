//! Admission control: fair between accounts, with early rejection of requests that would be late.

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

/// Result of an admission. Errors are `AccountLimited`, `Overloaded` and `DeadlineUnreachable`; a
/// rejected request was not sent to any endpoint.
pub type Result<T> = std::result::Result<T, ErrorKind>;

/// Weight of a new sample in the mean interval between releases.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Concurrency limits of one entry.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionLimits {
    /// Maximum requests in flight.
    pub in_flight: u32,
    /// Maximum requests in the queue.
    pub queued: u32,
}

/// Admits requests up to the limits and queues the rest; clones share the queue.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    state: Arc<Mutex<AdmissionState>>,
}

/// Admission of one request; dropping it admits the next queued request.
#[derive(Debug)]
pub struct AdmissionPermit {
    state: Arc<Mutex<AdmissionState>>,
}

/// Result that a queued request receives.
type AdmissionResult = Result<()>;

/// State shared by the queue, its permits and the queued requests.
#[derive(Debug)]
struct AdmissionState {
    limits: AdmissionLimits,
    in_flight: u32,
    queue: FairQueue<oneshot::Sender<AdmissionResult>>,
    accounts: AccountLimits,
    /// Mean interval between two releases while the queue is not empty, in seconds.
    mean_release_s: Option<f64>,
    /// Time of the last release; `None` if the queue was empty then.
    last_release_at: Option<Instant>,
}

/// A queued request; dropping it removes it from the queue.
#[derive(Debug)]
struct QueuedRequest {
    state: Arc<Mutex<AdmissionState>>,
    handle: QueueHandle,
    result: oneshot::Receiver<AdmissionResult>,
    /// Whether `result` was received.
    is_resolved: bool,
}

impl AdmissionQueue {
    /// Creates a queue for one of `hosts` entry hosts.
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

    /// Sets the number of live entry hosts, which share the accounts' rate limits.
    pub fn set_host_count(&self, hosts: u32) {
        lock(&self.state).accounts.set_host_count(hosts);
    }

    /// Waits until the request may be dispatched, at most until its deadline.
    ///
    /// `requests_per_s` is the account's limit over all hosts; 0 means unlimited.
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

    /// Returns the queue depth.
    pub fn queued(&self) -> usize {
        lock(&self.state).queue.len()
    }

    /// Creates a permit for a request that is already counted in `in_flight`.
    fn permit(&self) -> AdmissionPermit {
        AdmissionPermit {
            state: Arc::clone(&self.state),
        }
    }
}

impl AdmissionState {
    /// Whether a request may be admitted without queueing.
    fn has_capacity(&self) -> bool {
        self.in_flight < self.limits.in_flight && self.queue.is_empty()
    }

    /// Rejects a request whose expected wait exceeds its deadline.
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

    /// Evicts a queued request if the queue is full, or rejects the new one.
    fn make_queue_room(&mut self, params: &SchedulingParams) -> Result<()> {
        if self.queue.len() < self.limits.queued as usize {
            return Ok(());
        }
        let evicted = self.queue.evict_for(params).ok_or(ErrorKind::Overloaded)?;
        // The send fails if the evicted caller has already left.
        let _ = evicted.send(Err(ErrorKind::Overloaded));
        Ok(())
    }

    /// Frees one place in flight and admits queued requests.
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

    /// Updates the mean interval between releases; an empty queue starts a new measurement.
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
        // The request may have been admitted or evicted while its caller gave up.
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

/// Locks the state. A poisoned lock is used as is, since every update is complete in itself.
fn lock(state: &Mutex<AdmissionState>) -> MutexGuard<'_, AdmissionState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

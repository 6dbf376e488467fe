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
const SAMPLE_SHARE: f64 = 0.1;

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
type Verdict = Result<()>;

/// State of admission.
#[derive(Debug)]
struct AdmissionState {
    /// Limits.
    limits: AdmissionLimits,
    /// Requests in work.
    in_flight: u32,
    /// Requests waiting.
    queue: FairQueue<oneshot::Sender<Verdict>>,
    /// Limits of accounts.
    accounts: AccountLimits,
    /// Mean time between two releases while requests wait, in seconds.
    release_s: Option<f64>,
    /// The last release while requests waited.
    released_at: Option<Instant>,
}

/// A request that waits; dropping it takes it out of the queue.
#[derive(Debug)]
struct QueuedRequest {
    /// State it waits in.
    state: Arc<Mutex<AdmissionState>>,
    /// Its place.
    place: QueueHandle,
    /// What it is told.
    verdict: oneshot::Receiver<Verdict>,
    /// It was told.
    told: bool,
}

impl AdmissionQueue {
    /// A queue with limits, for an entry that is one of `hosts`.
    pub fn new(limits: AdmissionLimits, hosts: u32) -> Self {
        let state = AdmissionState {
            limits,
            in_flight: 0,
            queue: FairQueue::default(),
            accounts: AccountLimits::new(hosts),
            release_s: None,
            released_at: None,
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
        terms: &SchedulingParams,
        requests_per_s: u32,
    ) -> Result<AdmissionPermit> {
        let queued = {
            let mut state = lock(&self.state);
            state.accounts.take(&terms.account, requests_per_s)?;
            if state.has_room() {
                state.in_flight += 1;
                return Ok(self.permit());
            }
            state.check_deadline(terms)?;
            state.check_room(terms)?;
            let (sender, verdict) = oneshot::channel();
            let place = state.queue.push(terms, sender);
            QueuedRequest {
                state: Arc::clone(&self.state),
                place,
                verdict,
                told: false,
            }
        };
        match time::timeout_at(terms.deadline, queued).await {
            Ok(verdict) => verdict.map(|()| self.permit()),
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
    fn has_room(&self) -> bool {
        self.in_flight < self.limits.in_flight && self.queue.is_empty()
    }

    /// Refuses a request that would wait past its deadline.
    fn check_deadline(&self, terms: &SchedulingParams) -> Result<()> {
        let Some(release_s) = self.release_s else {
            return Ok(());
        };
        let turns = (self.queue.ahead_of(terms) + 1) as f64;
        let wait = Duration::from_secs_f64(turns * release_s);
        match Instant::now() + wait > terms.deadline {
            true => Err(ErrorKind::DeadlineUnreachable),
            false => Ok(()),
        }
    }

    /// Makes room in the queue, or refuses the request.
    fn check_room(&mut self, terms: &SchedulingParams) -> Result<()> {
        if self.queue.len() < self.limits.queued as usize {
            return Ok(());
        }
        let less_entitled = self.queue.make_room(terms).ok_or(ErrorKind::Overloaded)?;
        // A waiter that is gone needs no word.
        let _ = less_entitled.send(Err(ErrorKind::Overloaded));
        Ok(())
    }

    /// Gives a place back, and to the next.
    fn release(&mut self) {
        self.in_flight -= 1;
        self.learn_release();
        while self.in_flight < self.limits.in_flight {
            let Some(next) = self.queue.pop() else { break };
            if next.send(Ok(())).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    /// Learns the time between two releases while requests wait.
    fn learn_release(&mut self) {
        let now = Instant::now();
        if self.queue.is_empty() {
            self.released_at = None;
            return;
        }
        if let Some(before) = self.released_at.replace(now) {
            let sample = (now - before).as_secs_f64();
            let mean = self.release_s.get_or_insert(sample);
            *mean += (sample - *mean) * SAMPLE_SHARE;
        }
    }
}

impl Future for QueuedRequest {
    type Output = Verdict;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<Verdict> {
        let told = Pin::new(&mut self.verdict).poll(context);
        told.map(|verdict| {
            self.told = true;
            verdict.unwrap_or(Err(ErrorKind::Internal))
        })
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.told {
            return;
        }
        let mut state = lock(&self.state);
        // The place may have been given at the moment the request gave up.
        match self.verdict.try_recv() {
            Ok(Ok(())) => state.release(),
            Ok(Err(_)) => (),
            Err(_) => drop(state.queue.remove(&self.place)),
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

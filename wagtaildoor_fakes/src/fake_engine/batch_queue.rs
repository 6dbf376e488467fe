//! Places in the running batch, given by priority and then by arrival.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use tokio::sync::oneshot;

/// The running batch of one start of an engine, and who waits for it.
#[derive(Debug)]
pub struct BatchQueue {
    /// Requests in the batch at most.
    batch_limit: u32,
    /// What changes.
    state: Mutex<QueueState>,
}

/// What changes in a queue.
#[derive(Debug, Default)]
struct QueueState {
    /// Requests in the batch.
    running: u32,
    /// One of them is being prefilled.
    prefilling: bool,
    /// Arrivals so far.
    arrivals: u64,
    /// Those who wait.
    waiting: BTreeMap<WaitOrder, oneshot::Sender<BatchPlace>>,
}

/// Who goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct WaitOrder {
    /// Lower goes first.
    priority: u32,
    /// Earlier goes first.
    arrival: u64,
}

/// A place in the batch; dropping it gives it back.
#[derive(Debug)]
pub struct BatchPlace {
    /// Batch it belongs to.
    queue: Arc<BatchQueue>,
    /// The prefill is not over.
    prefilling: bool,
}

/// Takes a request out of the queue when its caller goes away.
struct WaitGuard<'a> {
    /// Queue it waits in.
    queue: &'a BatchQueue,
    /// Its place there.
    order: WaitOrder,
}

impl BatchQueue {
    /// An empty batch.
    pub fn new(batch_limit: u32) -> Self {
        Self {
            batch_limit,
            state: Mutex::default(),
        }
    }

    /// Requests in the batch.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Requests waiting.
    pub fn queued(&self) -> u32 {
        u32::try_from(self.lock().waiting.len()).unwrap_or(u32::MAX)
    }

    /// Waits for a place in the batch and for its turn to prefill.
    pub async fn enter(self: &Arc<Self>, priority: u32) -> BatchPlace {
        let (sender, receiver) = oneshot::channel();
        let order = self.wait(priority, sender);
        let _guard = WaitGuard { queue: self, order };
        self.advance();
        receiver.await.expect("a queue outlives its waiters")
    }

    /// Joins those who wait.
    fn wait(&self, priority: u32, sender: oneshot::Sender<BatchPlace>) -> WaitOrder {
        let mut state = self.lock();
        state.arrivals += 1;
        let order = WaitOrder {
            priority,
            arrival: state.arrivals,
        };
        state.waiting.insert(order, sender);
        order
    }

    /// Lets the next one start, when there is room.
    fn advance(self: &Arc<Self>) {
        let next = self.lock().start_next(self.batch_limit);
        let Some(sender) = next else {
            return;
        };
        let place = BatchPlace {
            queue: self.clone(),
            prefilling: true,
        };
        // A place that nobody takes any more is dropped here, and so goes to the next.
        drop(sender.send(place));
    }

    /// The state, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueState {
    /// Takes the next one out of the queue and counts it as running.
    fn start_next(&mut self, batch_limit: u32) -> Option<oneshot::Sender<BatchPlace>> {
        if self.prefilling || self.running >= batch_limit {
            return None;
        }
        let (_, sender) = self.waiting.pop_first()?;
        self.running += 1;
        self.prefilling = true;
        Some(sender)
    }
}

impl BatchPlace {
    /// Ends the prefill, so that the next one can start.
    pub fn prefilled(&mut self) {
        self.prefilling = false;
        self.queue.lock().prefilling = false;
        self.queue.advance();
    }
}

impl Drop for BatchPlace {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        state.running -= 1;
        if self.prefilling {
            state.prefilling = false;
        }
        drop(state);
        self.queue.advance();
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.lock().waiting.remove(&self.order);
    }
}

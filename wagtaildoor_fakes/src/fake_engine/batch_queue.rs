//! Slots of the running batch, assigned by priority and then by arrival.

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

/// The running batch of one boot of an engine and the queue in front of it.
#[derive(Debug)]
pub struct BatchQueue {
    /// Maximum number of requests in the batch.
    batch_limit: u32,
    state: Mutex<QueueState>,
}

/// Mutable state of a queue.
#[derive(Debug, Default)]
struct QueueState {
    /// Number of requests in the batch.
    running: u32,
    /// A request in the batch is being prefilled; only one is at a time.
    prefilling: bool,
    /// Number of requests queued so far.
    arrivals: u64,
    /// Queued requests, the next one first.
    waiting: BTreeMap<QueuePosition, oneshot::Sender<BatchSlot>>,
}

/// Sort key of a queued request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    /// Requests with a lower value go first.
    priority: u32,
    /// Sequence number of the arrival, which breaks ties of priority.
    arrival: u64,
}

/// A slot in the batch, released when dropped.
#[derive(Debug)]
pub struct BatchSlot {
    queue: Arc<BatchQueue>,
    /// The prefill of this request is still in progress.
    prefilling: bool,
}

/// Removes a request from the queue when its caller stops waiting.
struct WaitGuard<'a> {
    queue: &'a BatchQueue,
    position: QueuePosition,
}

impl BatchQueue {
    /// Creates an empty queue for a maximum batch size.
    pub fn new(batch_limit: u32) -> Self {
        Self {
            batch_limit,
            state: Mutex::default(),
        }
    }

    /// Returns the number of requests in the batch.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the queue depth.
    pub fn queued(&self) -> u32 {
        u32::try_from(self.lock().waiting.len()).unwrap_or(u32::MAX)
    }

    /// Waits for a slot in the batch and for exclusive use of the prefill.
    pub async fn acquire_slot(self: &Arc<Self>, priority: u32) -> BatchSlot {
        let (sender, receiver) = oneshot::channel();
        let position = self.enqueue(priority, sender);
        let _guard = WaitGuard {
            queue: self,
            position,
        };
        self.admit_next();
        receiver
            .await
            .expect("the queue keeps the sender until it sends a slot")
    }

    /// Adds a request to the queue.
    fn enqueue(&self, priority: u32, sender: oneshot::Sender<BatchSlot>) -> QueuePosition {
        let mut state = self.lock();
        state.arrivals += 1;
        let position = QueuePosition {
            priority,
            arrival: state.arrivals,
        };
        state.waiting.insert(position, sender);
        position
    }

    /// Gives a slot to the next queued request if the batch has room and no prefill is running.
    fn admit_next(self: &Arc<Self>) {
        let next = self.lock().pop_next(self.batch_limit);
        let Some(sender) = next else {
            return;
        };
        let slot = BatchSlot {
            queue: self.clone(),
            prefilling: true,
        };
        // If the receiver is gone, the slot is dropped here, which admits the next request.
        drop(sender.send(slot));
    }

    /// Locks the state and ignores poisoning.
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueState {
    /// Removes the next request from the queue and counts it as running.
    fn pop_next(&mut self, batch_limit: u32) -> Option<oneshot::Sender<BatchSlot>> {
        if self.prefilling || self.running >= batch_limit {
            return None;
        }
        let (_, sender) = self.waiting.pop_first()?;
        self.running += 1;
        self.prefilling = true;
        Some(sender)
    }
}

impl BatchSlot {
    /// Ends the prefill, which admits the next request.
    pub fn finish_prefill(&mut self) {
        self.prefilling = false;
        self.queue.lock().prefilling = false;
        self.queue.admit_next();
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        state.running -= 1;
        if self.prefilling {
            state.prefilling = false;
        }
        drop(state);
        self.queue.admit_next();
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.queue.lock().waiting.remove(&self.position);
    }
}

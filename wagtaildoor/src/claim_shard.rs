//! One claim stream: reads it into a ledger, and appends what is queued in batches.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use tokio::{
    sync::{
        watch,
        Notify, //
    },
    time::{
        self,
        Instant, //
    },
};

use crate::{
    claim_key,
    claim_ledger::{
        ClaimLedger,
        BATCH_VERSION, //
    },
    claim_policy::ClaimPolicy,
    claim_queue::ClaimQueue,
    ids::{
        LogOffset,
        StreamId, //
    },
    log_store::{
        LogError,
        LogStore, //
    },
    schema::{
        ClaimBatch,
        ClaimRecord,
        LogPage, //
    },
};

/// Records read at a time.
const MAX_PAGE_RECORDS: usize = 256;
/// Longest wait of one read for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a call that the log refused.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// What was read of the stream, and what is on its way into it.
pub(crate) struct ShardState {
    /// State of the keys.
    pub ledger: ClaimLedger,
    /// Records on their way.
    pub queue: ClaimQueue,
    /// Offset of the next record to read.
    cursor: LogOffset,
    /// The log's time at the last read, in milliseconds since the Unix epoch.
    log_ms: u64,
    /// When the log last answered a read; `None` before its first answer.
    log_answered_at: Option<Instant>,
    /// The log dropped records before their time; older ones may be missing.
    complete_since_ms: u64,
}

/// One claim stream.
pub(crate) struct ClaimShard<L> {
    /// Log.
    log: L,
    /// Name of the stream.
    stream: StreamId,
    /// Times that claims go by.
    policy: ClaimPolicy,
    /// What was read, and what is on its way.
    state: Mutex<ShardState>,
    /// Wakes the appender.
    append_notify: Notify,
    /// Rises with each page that was read.
    pages: watch::Sender<u64>,
}

impl<L: LogStore> ClaimShard<L> {
    /// A stream that was not read yet.
    pub fn new(log: L, stream: StreamId, policy: ClaimPolicy) -> Self {
        let state = ShardState {
            ledger: ClaimLedger::new(policy.clone()),
            queue: ClaimQueue::default(),
            cursor: 1,
            log_ms: 0,
            log_answered_at: None,
            complete_since_ms: 0,
        };
        Self {
            log,
            stream,
            policy,
            state: Mutex::new(state),
            append_notify: Notify::new(),
            pages: watch::Sender::new(0),
        }
    }

    /// Tells of each page that is read.
    pub fn pages(&self) -> watch::Receiver<u64> {
        self.pages.subscribe()
    }

    /// Queues a record.
    pub fn push(&self, record: ClaimRecord) {
        self.lock().queue.push(record);
        self.append_notify.notify_one();
    }

    /// Wakes the appender.
    pub fn wake_appender(&self) {
        self.append_notify.notify_one();
    }

    /// Locks the state, also after a panic elsewhere.
    pub fn lock(&self) -> MutexGuard<'_, ShardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the stream as it grows. Ends only with its task.
    pub async fn follow_stream(&self) {
        loop {
            let (from, wait) = self.next_read();
            let read = self.log.read(&self.stream, from, MAX_PAGE_RECORDS, wait);
            match read.await {
                Ok(page) => self.apply_page(&page),
                Err(_) => time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Where the next read starts, and how long it waits: the first one not at all.
    fn next_read(&self) -> (LogOffset, Duration) {
        let state = self.lock();
        let wait = state
            .log_answered_at
            .map_or(Duration::ZERO, |_| LONG_POLL_TIMEOUT);
        (state.cursor, wait)
    }

    /// Appends what is queued, one batch at a time. Ends only with its task.
    pub async fn append_batches(&self) {
        loop {
            let batch = {
                let state = &mut *self.lock();
                let limit = self.policy.batch_records;
                state.queue.next_batch(&state.ledger, Instant::now(), limit)
            };
            if batch.is_empty() {
                self.wait_for_records().await;
                continue;
            }
            self.append_batch(batch).await;
            time::sleep(self.policy.append_spacing).await;
        }
    }

    /// Waits until a record is queued, or one may go again.
    async fn wait_for_records(&self) {
        let due = self.lock().queue.next_retry_at();
        let earliest = Instant::now() + RETRY_DELAY;
        match due {
            Some(due) => {
                let _ = time::timeout_at(due.max(earliest), self.append_notify.notified()).await;
            }
            None => self.append_notify.notified().await,
        }
    }

    /// Appends one batch, and notes how that went.
    async fn append_batch(&self, records: Vec<ClaimRecord>) {
        let batch = ClaimBatch {
            records,
            version: BATCH_VERSION,
        };
        let data = serde_json::to_string(&batch).expect("a batch has string keys only");
        let append = self.log.append(&self.stream, data.into());
        let result = time::timeout(self.policy.append_timeout, append).await;
        let now = Instant::now();
        let queue = &mut self.lock().queue;
        match result {
            Ok(Ok(appended)) => queue.mark_appended(appended.offset),
            Ok(Err(LogError::Unavailable(_))) => queue.mark_refused(now + RETRY_DELAY),
            // The same records go again unless they are read back: the ledger takes each once.
            Ok(Err(_)) | Err(_) => queue.mark_uncertain(now + self.policy.append_retry_delay),
        }
    }

    /// Takes one page.
    fn apply_page(&self, page: &LogPage) {
        let now = Instant::now();
        let state = &mut *self.lock();
        if page.first > state.cursor {
            state.skip_gap(page, &self.policy);
            state.queue.retry_appended(now);
        }
        for record in &page.records {
            state.ledger.apply_record(record);
            state.cursor = record.offset + 1;
        }
        state.log_ms = page.time_ms;
        state.log_answered_at = Some(now);
        state.ledger.drop_expired_keys(page.time_ms);
        state.queue.drop_recorded(&state.ledger);
        self.pages.send_modify(|pages| *pages += 1);
    }
}

impl ShardState {
    /// The log's time as far as this host can tell; `None` before its first answer.
    pub fn log_now_ms(&self) -> Option<u64> {
        let seen = self.log_answered_at?;
        Some(self.log_ms + seen.elapsed().as_millis() as u64)
    }

    /// When the log last answered a read.
    pub fn log_answered_at(&self) -> Option<Instant> {
        self.log_answered_at
    }

    /// Whether every claim of a key must have been read.
    pub fn has_all_claims(&self, key: &str, policy: &ClaimPolicy) -> bool {
        if self.complete_since_ms == 0 {
            return true;
        }
        let skew_ms = policy.key_skew.as_millis() as u64;
        claim_key::created_ms(key)
            .is_ok_and(|created_ms| created_ms >= self.complete_since_ms + skew_ms)
    }

    /// Goes on behind records that the log no longer keeps.
    fn skip_gap(&mut self, page: &LogPage, policy: &ClaimPolicy) {
        self.cursor = page.first;
        let retention_ms = policy.retention.as_millis() as u64;
        // What was dropped came after the last read. Dropped sooner than the retention allows, its
        // claims can be of keys that are still young.
        let is_early = self.log_answered_at.is_some() && page.time_ms < self.log_ms + retention_ms;
        if is_early {
            self.complete_since_ms = page.time_ms;
        }
    }
}

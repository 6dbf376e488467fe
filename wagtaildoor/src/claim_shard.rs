//! One claim stream of the log: folds its records into a ledger and appends queued records.

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

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 256;
/// Maximum time that a read waits for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a request that the log refused.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Mutable state of a shard.
pub(crate) struct ShardState {
    /// State of the keys.
    pub ledger: ClaimLedger,
    /// Records that wait to be appended or read back.
    pub queue: ClaimQueue,
    /// Offset of the next record to read.
    cursor: LogOffset,
    /// Log time of the last read, in milliseconds since the Unix epoch.
    log_ms: u64,
    /// Time of the last successful read; `None` before the first one.
    log_answered_at: Option<Instant>,
    /// Log time before which records may be missing, because the log dropped them too early; 0 if
    /// none are missing.
    complete_since_ms: u64,
}

/// One claim stream.
pub(crate) struct ClaimShard<L> {
    log: L,
    stream: StreamId,
    policy: ClaimPolicy,
    state: Mutex<ShardState>,
    /// Wakes the append task.
    append_notify: Notify,
    /// Number of pages read.
    pages: watch::Sender<u64>,
}

impl<L: LogStore> ClaimShard<L> {
    /// Creates a shard that has not read its stream yet.
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

    /// Subscribes to the number of pages read.
    pub fn pages(&self) -> watch::Receiver<u64> {
        self.pages.subscribe()
    }

    /// Queues a record and wakes the append task.
    pub fn push(&self, record: ClaimRecord) {
        self.lock().queue.push(record);
        self.append_notify.notify_one();
    }

    /// Wakes the append task.
    pub fn wake_appender(&self) {
        self.append_notify.notify_one();
    }

    /// Locks the state and ignores poisoning.
    pub fn lock(&self) -> MutexGuard<'_, ShardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows the stream. Never returns.
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

    /// Offset and wait time of the next read. The first read does not wait for new records.
    fn next_read(&self) -> (LogOffset, Duration) {
        let state = self.lock();
        let wait = state
            .log_answered_at
            .map_or(Duration::ZERO, |_| LONG_POLL_TIMEOUT);
        (state.cursor, wait)
    }

    /// Appends queued records, one batch at a time. Never returns.
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

    /// Waits until a record is queued or a failed record is due again.
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

    /// Appends one batch and updates the queue with the result.
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
            // The batch is appended again unless it is read back. The ledger ignores duplicates.
            Ok(Err(_)) | Err(_) => queue.mark_uncertain(now + self.policy.append_retry_delay),
        }
    }

    /// Applies a page of the log to the ledger and the queue.
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
    /// Estimated current log time; `None` before the first successful read.
    pub fn log_now_ms(&self) -> Option<u64> {
        let answered_at = self.log_answered_at?;
        Some(self.log_ms + answered_at.elapsed().as_millis() as u64)
    }

    /// Time of the last successful read; `None` before the first one.
    pub fn log_answered_at(&self) -> Option<Instant> {
        self.log_answered_at
    }

    /// Whether all claims of a key must have been read.
    pub fn has_all_claims(&self, key: &str, policy: &ClaimPolicy) -> bool {
        if self.complete_since_ms == 0 {
            return true;
        }
        let skew_ms = policy.key_skew.as_millis() as u64;
        claim_key::created_ms(key)
            .is_ok_and(|created_ms| created_ms >= self.complete_since_ms + skew_ms)
    }

    /// Continues after records that the log has dropped.
    fn skip_gap(&mut self, page: &LogPage, policy: &ClaimPolicy) {
        self.cursor = page.first;
        let retention_ms = policy.retention.as_millis() as u64;
        // The dropped records were appended after the last read. If the retention has not passed
        // since then, they may include claims of keys that have not expired yet.
        let is_within_retention =
            self.log_answered_at.is_some() && page.time_ms < self.log_ms + retention_ms;
        if is_within_retention {
            self.complete_since_ms = page.time_ms;
        }
    }
}

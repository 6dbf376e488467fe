//! In-memory fake of the platform's log, with switchable faults.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::{
        self,
        Instant, //
    },
};
use wagtaildoor::{
    ids::{
        LogOffset,
        StreamId, //
    },
    log_store::{
        LogError,
        LogStore,
        Result, //
    },
    schema::{
        LogAppended,
        LogPage,
        LogRecord, //
    },
};

/// Active faults of one log client. A `u32` is the number of coming appends that the fault affects.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// All calls are refused.
    pub outage: bool,
    /// Appends are refused; reads still work.
    pub append_outage: bool,
    /// Appends that are stored although their response is lost.
    pub lost_answers: u32,
    /// Appends that are lost before they are stored.
    pub lost_requests: u32,
    /// Appends that are stored after `late_ms` and whose response is lost.
    pub late_appends: u32,
    /// Delay until a late append is stored, in milliseconds.
    pub late_ms: u64,
    /// Appends that are stored twice.
    pub duplicates: u32,
    /// Duration of each call, in milliseconds; half of it passes before the call takes effect.
    pub slow_ms: u64,
}

/// Calls that the log handled so far.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LogCounts {
    /// Records stored.
    pub appends: u64,
    /// Reads completed.
    pub reads: u64,
    /// Calls refused.
    pub refused: u64,
}

/// Records of one stream.
#[derive(Default)]
struct FakeStream {
    /// Records within the retention time, in order of their offsets.
    records: VecDeque<LogRecord>,
    /// Number of records dropped since the log was created.
    dropped: u64,
}

/// State shared by all clients of a log.
struct LogCore {
    /// Time that records are kept.
    retention: Duration,
    /// The log's clock at `started`, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Time at which the log was created.
    started: Instant,
    /// Streams by name.
    streams: Mutex<HashMap<StreamId, FakeStream>>,
    counts: Mutex<LogCounts>,
    /// Incremented on every change to wake waiting readers.
    changes: watch::Sender<u64>,
}

/// A client of a fake log. Clones share its faults; clients created by `link` have their own.
#[derive(Clone)]
pub struct FakeLog {
    core: Arc<LogCore>,
    /// Active faults of this client.
    faults: Arc<Mutex<LogFaults>>,
}

impl FakeLog {
    /// Creates a log whose clock starts at the current system time.
    pub fn new(retention: Duration) -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self::starting_at(retention, now.as_millis() as u64)
    }

    /// Creates a log whose clock starts at a given time, in milliseconds since the Unix epoch.
    pub fn starting_at(retention: Duration, started_ms: u64) -> Self {
        let core = LogCore {
            retention,
            started_ms,
            started: Instant::now(),
            streams: Mutex::default(),
            counts: Mutex::default(),
            changes: watch::Sender::new(0),
        };
        Self {
            core: Arc::new(core),
            faults: Arc::default(),
        }
    }

    /// Returns another client of the same log, initially without faults.
    pub fn link(&self) -> Self {
        Self {
            core: self.core.clone(),
            faults: Arc::default(),
        }
    }

    /// Replaces the active faults of this client.
    pub fn set_faults(&self, faults: LogFaults) {
        *lock(&self.faults) = faults;
        self.core.wake_readers();
    }

    /// Returns the active faults of this client, with the remaining numbers of affected appends.
    pub fn faults(&self) -> LogFaults {
        lock(&self.faults).clone()
    }

    /// Returns the calls that the log handled so far, over all clients.
    pub fn counts(&self) -> LogCounts {
        *lock(&self.core.counts)
    }

    /// Returns the log's clock, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.core.now_ms()
    }

    /// Drops the records of a stream before an offset, regardless of their age.
    pub fn trim(&self, stream: &str, before: LogOffset) {
        let mut streams = lock(&self.core.streams);
        let stream = streams.entry(stream.into()).or_default();
        while stream.records.front().is_some_and(|r| r.offset < before) {
            stream.records.pop_front();
            stream.dropped += 1;
        }
    }

    /// Returns an error if an outage is active for this kind of call.
    fn check_outage(&self, append: bool) -> Result<()> {
        let faults = lock(&self.faults);
        if faults.outage || (append && faults.append_outage) {
            lock(&self.core.counts).refused += 1;
            return Err(LogError::Unavailable("outage".into()));
        }
        Ok(())
    }

    /// Selects the fault of the next append and counts it down.
    fn next_fault(&self) -> AppendFault {
        let mut faults = lock(&self.faults);
        if count_down(&mut faults.lost_requests) {
            return AppendFault::LostRequest;
        }
        if count_down(&mut faults.late_appends) {
            return AppendFault::Late(Duration::from_millis(faults.late_ms));
        }
        if count_down(&mut faults.lost_answers) {
            return AppendFault::LostAnswer;
        }
        if count_down(&mut faults.duplicates) {
            return AppendFault::Duplicate;
        }
        AppendFault::None
    }

    /// Sleeps for half of the duration of a slow call.
    async fn sleep_half_delay(&self) {
        let delay = Duration::from_millis(lock(&self.faults).slow_ms);
        if !delay.is_zero() {
            time::sleep(delay / 2).await;
        }
    }
}

/// Fault of a single append.
enum AppendFault {
    /// The append succeeds.
    None,
    /// The record is not stored and the response is lost.
    LostRequest,
    /// The record is stored, but the response is lost.
    LostAnswer,
    /// The record is stored after this delay and the response is lost.
    Late(Duration),
    /// The record is stored twice.
    Duplicate,
}

impl LogStore for FakeLog {
    async fn append(&self, stream: &str, data: Box<str>) -> Result<LogAppended> {
        self.check_outage(true)?;
        self.sleep_half_delay().await;
        let lost = || Err(LogError::Uncertain("answer lost".into()));
        let answer = match self.next_fault() {
            AppendFault::None => Ok(self.core.append_record(stream, data)),
            AppendFault::LostRequest => lost(),
            AppendFault::LostAnswer => {
                self.core.append_record(stream, data);
                lost()
            }
            AppendFault::Late(delay) => {
                self.core.append_later(stream.into(), data, delay);
                lost()
            }
            AppendFault::Duplicate => {
                let first = self.core.append_record(stream, data.clone());
                self.core.append_record(stream, data);
                Ok(first)
            }
        };
        self.sleep_half_delay().await;
        answer
    }

    async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> Result<LogPage> {
        let deadline = Instant::now() + wait;
        let mut changes = self.core.changes.subscribe();
        self.check_outage(false)?;
        self.sleep_half_delay().await;
        loop {
            changes.mark_unchanged();
            self.check_outage(false)?;
            let page = self.core.read_page(stream, from, limit);
            if !page.records.is_empty() || Instant::now() >= deadline {
                self.sleep_half_delay().await;
                lock(&self.core.counts).reads += 1;
                return Ok(page);
            }
            // The sender outlives this client, so only a change or the deadline ends the wait.
            let _ = time::timeout_at(deadline, changes.changed()).await;
        }
    }
}

impl LogCore {
    /// Returns the log's clock, in milliseconds since the Unix epoch.
    fn now_ms(&self) -> u64 {
        self.started_ms + self.started.elapsed().as_millis() as u64
    }

    /// Wakes waiting readers.
    fn wake_readers(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Appends a record to a stream, which is created if it does not exist.
    fn append_record(&self, stream: &str, data: Box<str>) -> LogAppended {
        let time_ms = self.now_ms();
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back(LogRecord {
            data,
            offset,
            time_ms,
        });
        drop(streams);
        lock(&self.counts).appends += 1;
        self.wake_readers();
        LogAppended { offset, time_ms }
    }

    /// Appends a record after a delay.
    fn append_later(self: &Arc<Self>, stream: StreamId, data: Box<str>, delay: Duration) {
        let core = self.clone();
        tokio::spawn(async move {
            time::sleep(delay).await;
            core.append_record(&stream, data);
        });
    }

    /// Drops expired records and reads a page.
    fn read_page(&self, stream: &str, from: LogOffset, limit: usize) -> LogPage {
        let time_ms = self.now_ms();
        let retention_ms = self.retention.as_millis() as u64;
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        stream.drop_expired(time_ms.saturating_sub(retention_ms));
        let first = stream.dropped + 1;
        let skip = from.saturating_sub(first) as usize;
        LogPage {
            first,
            next: stream.next_offset(),
            records: stream
                .records
                .iter()
                .skip(skip)
                .take(limit)
                .cloned()
                .collect(),
            time_ms,
        }
    }
}

impl FakeStream {
    /// Returns the offset of the next record.
    fn next_offset(&self) -> LogOffset {
        self.dropped + self.records.len() as u64 + 1
    }

    /// Drops the records older than a time, in milliseconds since the Unix epoch.
    fn drop_expired(&mut self, oldest_ms: u64) {
        while self.records.front().is_some_and(|r| r.time_ms < oldest_ms) {
            self.records.pop_front();
            self.dropped += 1;
        }
    }
}

/// Decrements the counter of a fault. Returns whether the fault applies.
fn count_down(counter: &mut u32) -> bool {
    let applies = *counter > 0;
    *counter = counter.saturating_sub(1);
    applies
}

/// Locks a mutex and ignores poisoning.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

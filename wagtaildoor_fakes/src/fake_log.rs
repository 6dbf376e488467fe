//! Stand-in for the platform's log, in memory, with a switch for each of its faults.

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

/// Switches for the log's faults; those that count down act on that many appends to come.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every call is refused.
    pub outage: bool,
    /// Appends are refused, reads go on.
    pub append_outage: bool,
    /// Appends that are stored while their answer is lost.
    pub lost_answers: u32,
    /// Appends that are lost before they are stored.
    pub lost_requests: u32,
    /// Appends whose answer is lost and which are stored later.
    pub late_appends: u32,
    /// How much later a late append is stored, in milliseconds.
    pub late_ms: u64,
    /// Appends that are stored twice.
    pub duplicates: u32,
    /// Time each call takes, half of it before its effect, in milliseconds.
    pub slow_ms: u64,
}

/// What the log did so far.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LogCounts {
    /// Records stored.
    pub appends: u64,
    /// Reads answered.
    pub reads: u64,
    /// Calls refused.
    pub refused: u64,
}

/// One stream.
#[derive(Default)]
struct FakeStream {
    /// Records still kept.
    records: VecDeque<LogRecord>,
    /// Records dropped since the start.
    dropped: u64,
}

/// What all links to one log share.
struct LogCore {
    /// How long records are kept.
    retention: Duration,
    /// The log's time at `started`, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// When the log started.
    started: Instant,
    /// Streams by name.
    streams: Mutex<HashMap<StreamId, FakeStream>>,
    /// What was done so far.
    counts: Mutex<LogCounts>,
    /// Rises with each change, to wake waiting readers.
    changes: watch::Sender<u64>,
}

/// A link to the stand-in log; clones share its faults, other links have their own.
#[derive(Clone)]
pub struct FakeLog {
    /// The log itself.
    core: Arc<LogCore>,
    /// Faults of this link.
    faults: Arc<Mutex<LogFaults>>,
}

impl FakeLog {
    /// A log that starts at this computer's time.
    pub fn new(retention: Duration) -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self::starting_at(retention, now.as_millis() as u64)
    }

    /// A log that starts at a given time, in milliseconds since the Unix epoch.
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

    /// Another link to the same log, with faults of its own.
    pub fn link(&self) -> Self {
        Self {
            core: self.core.clone(),
            faults: Arc::default(),
        }
    }

    /// Sets the faults of this link.
    pub fn set_faults(&self, faults: LogFaults) {
        *lock(&self.faults) = faults;
        self.core.wake();
    }

    /// The faults of this link as they stand.
    pub fn faults(&self) -> LogFaults {
        lock(&self.faults).clone()
    }

    /// What the log did so far, over all links.
    pub fn counts(&self) -> LogCounts {
        *lock(&self.core.counts)
    }

    /// The log's own time, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.core.now_ms()
    }

    /// Drops the records of a stream before an offset, whatever their age.
    pub fn trim(&self, stream: &str, before: LogOffset) {
        let mut streams = lock(&self.core.streams);
        let stream = streams.entry(stream.into()).or_default();
        while stream.records.front().is_some_and(|r| r.offset < before) {
            stream.records.pop_front();
            stream.dropped += 1;
        }
    }

    /// Refuses the call while this link is cut.
    fn check_outage(&self, append: bool) -> Result<()> {
        let faults = lock(&self.faults);
        if faults.outage || (append && faults.append_outage) {
            lock(&self.core.counts).refused += 1;
            return Err(LogError::Unavailable("outage".into()));
        }
        Ok(())
    }

    /// Draws the fault for one append.
    fn draw_fault(&self) -> AppendFault {
        let mut faults = lock(&self.faults);
        if take(&mut faults.lost_requests) {
            return AppendFault::LostRequest;
        }
        if take(&mut faults.late_appends) {
            return AppendFault::Late(Duration::from_millis(faults.late_ms));
        }
        if take(&mut faults.lost_answers) {
            return AppendFault::LostAnswer;
        }
        if take(&mut faults.duplicates) {
            return AppendFault::Duplicate;
        }
        AppendFault::None
    }

    /// Waits half the time that a slow call takes.
    async fn pause(&self) {
        let slow = Duration::from_millis(lock(&self.faults).slow_ms);
        if !slow.is_zero() {
            time::sleep(slow / 2).await;
        }
    }
}

/// The fault that one append meets.
enum AppendFault {
    /// None.
    None,
    /// It is not stored, and its answer is lost.
    LostRequest,
    /// It is stored, and its answer is lost.
    LostAnswer,
    /// It is stored later, and its answer is lost.
    Late(Duration),
    /// It is stored twice.
    Duplicate,
}

impl LogStore for FakeLog {
    async fn append(&self, stream: &str, data: Box<str>) -> Result<LogAppended> {
        self.check_outage(true)?;
        self.pause().await;
        let lost = || Err(LogError::Uncertain("answer lost".into()));
        let answer = match self.draw_fault() {
            AppendFault::None => Ok(self.core.store(stream, data)),
            AppendFault::LostRequest => lost(),
            AppendFault::LostAnswer => {
                self.core.store(stream, data);
                lost()
            }
            AppendFault::Late(delay) => {
                self.core.store_later(stream.into(), data, delay);
                lost()
            }
            AppendFault::Duplicate => {
                let first = self.core.store(stream, data.clone());
                self.core.store(stream, data);
                Ok(first)
            }
        };
        self.pause().await;
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
        self.pause().await;
        loop {
            changes.mark_unchanged();
            self.check_outage(false)?;
            let page = self.core.page(stream, from, limit);
            if !page.records.is_empty() || Instant::now() >= deadline {
                self.pause().await;
                lock(&self.core.counts).reads += 1;
                return Ok(page);
            }
            // The sender lives as long as this link, so that only a change or the deadline ends the wait.
            let _ = time::timeout_at(deadline, changes.changed()).await;
        }
    }
}

impl LogCore {
    /// The log's own time, in milliseconds since the Unix epoch.
    fn now_ms(&self) -> u64 {
        self.started_ms + self.started.elapsed().as_millis() as u64
    }

    /// Wakes waiting readers.
    fn wake(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Stores one record.
    fn store(&self, stream: &str, data: Box<str>) -> LogAppended {
        let time_ms = self.now_ms();
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        let offset = stream.next();
        stream.records.push_back(LogRecord {
            data,
            offset,
            time_ms,
        });
        drop(streams);
        lock(&self.counts).appends += 1;
        self.wake();
        LogAppended { offset, time_ms }
    }

    /// Stores one record after a delay.
    fn store_later(self: &Arc<Self>, stream: StreamId, data: Box<str>, delay: Duration) {
        let core = self.clone();
        tokio::spawn(async move {
            time::sleep(delay).await;
            core.store(&stream, data);
        });
    }

    /// Reads a page.
    fn page(&self, stream: &str, from: LogOffset, limit: usize) -> LogPage {
        let time_ms = self.now_ms();
        let retention_ms = self.retention.as_millis() as u64;
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.into()).or_default();
        stream.expire(time_ms.saturating_sub(retention_ms));
        let first = stream.dropped + 1;
        let skip = from.saturating_sub(first) as usize;
        LogPage {
            first,
            next: stream.next(),
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
    /// Offset of the next record.
    fn next(&self) -> LogOffset {
        self.dropped + self.records.len() as u64 + 1
    }

    /// Drops records older than a time.
    fn expire(&mut self, oldest_ms: u64) {
        while self.records.front().is_some_and(|r| r.time_ms < oldest_ms) {
            self.records.pop_front();
            self.dropped += 1;
        }
    }
}

/// Counts a switch down; tells whether it acts.
fn take(switch: &mut u32) -> bool {
    let acts = *switch > 0;
    *switch = switch.saturating_sub(1);
    acts
}

/// Locks, also after a panic elsewhere.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

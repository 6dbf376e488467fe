//! Reads the streams of the platform's store and applies their records to the host's state.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    sync::futures::Notified,
    task::{
        self,
        JoinHandle, //
    },
    time,
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        ControlPage,
        ControlStore,
        ControlStream,
        Result,
        StoreError, //
    },
    crash_reports,
    front::Front,
    outage_watch::{
        OutageWatch,
        ResponseGap, //
    },
    peer_records, prefix_hash,
    read_progress::ReadProgress,
    record_updates::{
        self,
        PageSource, //
    },
    snapshot_read::SnapshotReader,
    stream_position::StreamPosition,
    wire_codec::WireCodec,
};

const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(900);
/// Interval of the first peer fetches, which gives the store time for its first response.
const EARLY_PEER_FETCH_INTERVAL: Duration = Duration::from_millis(120);
/// Number of peer fetches at the early interval.
const EARLY_PEER_FETCHES: u32 = 6;
/// Interval of later peer fetches. When all hosts start at once, the store and the hosts need
/// seconds to respond.
const LATE_PEER_FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time over which hosts spread the read of a list again after a restore, for each host of the group.
const REREAD_SPREAD_PER_HOST: Duration = Duration::from_millis(2);
/// Pause of each host between two reads of crash reports, for each host. Without it, each report
/// ends the long polls of all hosts, so that the calls grow with the square of the number of hosts.
const REPORT_PAUSE_PER_HOST: Duration = Duration::from_millis(5);
/// Longest such pause. Engines that a part of a prompt crashes end about one a second.
const MAX_REPORT_PAUSE: Duration = Duration::from_millis(500);

/// Interval between checks whether an answer is still arriving.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without an answer after which so much may have been written that the newest record of each key
/// is read instead of all changes.
const SNAPSHOT_AFTER: Duration = Duration::from_secs(1);

/// Time for an answer from which the store counts as slow. A read that arrives then as a record is written may
/// wait for the next one.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(100);
/// Longest wait for records at a slow store.
const SLOW_STORE_POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Size of a page, in bytes, from which the newest record of each key is read next if there is more: to read
/// all of them would take longer than the operator takes to write them.
const LARGE_PAGE_BYTES: usize = 64 << 10;

/// Read position of one stream, and the state of the store as seen by its reads.
struct StreamFollower {
    stream: ControlStream,
    /// Position of the next read; `None` reads a snapshot first.
    cursor: Option<StreamPosition>,
    /// Read position at the last answer of the store.
    answered_cursor: Option<StreamPosition>,
    /// Whether newer records were written while a large page arrived.
    is_lagging: bool,
    /// Progress of a read, unless it is of the operator's stream.
    own_progress: ReadProgress,
    /// Snapshot in progress.
    snapshot: SnapshotReader,
    /// Whether the store has yielded no complete page yet, so that a peer's copy is used instead.
    is_first_read: bool,
    /// Responses of the store.
    outages: OutageWatch,
    /// Delay after the next failed call.
    retry_delay: Duration,
    /// Fetch of records from another host, which may outlast some reads of the store.
    peer_fetch: Option<JoinHandle<()>>,
}

enum ReadOutcome {
    /// Part of a snapshot, already applied; more parts follow.
    Part,
    /// A page to apply, and its origin.
    Page(ControlPage, PageSource),
    /// The store was restored from a copy, so that the read position means nothing.
    Restored,
    /// The read was given up, to be begun anew.
    GivenUp,
}

/// Reads one stream and applies its records until the process ends.
pub async fn follow_stream<C: WireCodec, S: ControlStore>(
    front: Rc<Front>,
    store: S,
    stream: ControlStream,
) {
    let mut follower = StreamFollower::new(stream);
    // A stream that nobody has written to yet has no end that would show that it was read.
    if stream != ControlStream::CrashReports {
        task::spawn_local(fetch_until_read::<C>(front.clone(), stream));
    }
    loop {
        follower.resume_from_mirror(&front);
        follower.begin_era(&front);
        let store_failure = front.store_read_failed.notified();
        let restore = front.store_restored.notified();
        let slowdown = wait_until_stalled(&front, stream, front.store_slowed.notified());
        let is_long_poll = follower.is_long_poll(&front);
        let result = tokio::select! {
            result = follower.read::<C, S>(&front, &store) => result,
            // The store may have dropped a long poll without closing the connection.
            () = wait_until_stalled(&front, stream, store_failure), if is_long_poll => {
                Err(StoreError::Unavailable("another read of the store failed".into()))
            }
            () = restore => Ok(ReadOutcome::Restored),
            () = slowdown, if is_long_poll => Ok(ReadOutcome::GivenUp),
        };
        match result {
            Ok(ReadOutcome::Part) => follower.record_response(&front),
            Ok(ReadOutcome::GivenUp) => {}
            Ok(ReadOutcome::Restored) => {
                follower.drop_position();
                if stream == ControlStream::Endpoints {
                    time::sleep(reread_delay(&front)).await;
                }
            }
            Ok(ReadOutcome::Page(page, source)) => {
                follower.record_response(&front);
                follower.cursor = Some(page.next);
                follower.answered_cursor = follower.cursor;
                follower.is_lagging = page.has_more && page.value_bytes() >= LARGE_PAGE_BYTES;
                follower.is_first_read = false;
                let relisted_by = follower.outages.relisted_by(BootInstant::now());
                record_updates::apply_page::<C>(&front, stream, &page, source, relisted_by);
                if !page.has_more {
                    follower.outages.record_end();
                }
                if source == PageSource::Snapshot && !front.is_era_settled() {
                    learn_from_others::<C>(&front, stream);
                }
                if !page.has_more {
                    time::sleep(pause_after_read(&front, stream)).await;
                }
            }
            Err(StoreError::Expired) => {
                slog::info!(front.log, "stream expired, reading a snapshot"; "stream" => ?stream);
                follower.cursor = None;
                follower.is_first_read = false;
            }
            Err(error) => {
                follower.record_failure(&front, &error);
                follower.fetch_from_peer::<C>(&front);
                // Without an answer to any other call until then, the timeout passes.
                let _ = time::timeout(follower.retry_delay, front.store_answered.notified()).await;
                follower.retry_delay = (follower.retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Waits for the failure of another read, or the store's slowness. The answer to a read of the operator's
/// stream may be arriving nevertheless, and is then waited for.
async fn wait_until_stalled(front: &Front, stream: ControlStream, store_trouble: Notified<'_>) {
    store_trouble.await;
    while stream == ControlStream::Operator && front.operator_read.is_arriving(BootInstant::now()) {
        time::sleep(ARRIVAL_CHECK_INTERVAL).await;
    }
}

/// Records the time that the store took for an answer that it gave at once. Reads that wait are begun anew
/// when it has become slow: they may have arrived since.
fn record_store_delay(front: &Front, delay: Duration) {
    let was_slow = is_store_slow(front);
    front.store_delay.set(delay);
    if is_store_slow(front) && !was_slow {
        let delay_ms = delay.as_millis() as u64;
        slog::info!(front.log, "store has become slow"; "delay_ms" => delay_ms);
        front.store_slowed.notify_waiters();
    }
}

/// Whether the store took long for its last answer.
fn is_store_slow(front: &Front) -> bool {
    front.store_delay.get() >= SLOW_STORE_DELAY
}

/// Learns what other hosts know and a restored store may lack, after its copy was read.
fn learn_from_others<C: WireCodec>(front: &Rc<Front>, stream: ControlStream) {
    match stream {
        ControlStream::Operator => {
            task::spawn_local(peer_records::fetch_confirmed_records::<C>(front.clone()));
        }
        ControlStream::CrashReports => {
            task::spawn_local(crash_reports::restore_reports(front.clone()));
        }
        ControlStream::Endpoints => {}
    }
}

/// Time after a page of a stream until the next read.
fn pause_after_read(front: &Front, stream: ControlStream) -> Duration {
    match stream {
        ControlStream::Operator => Duration::ZERO,
        ControlStream::Endpoints => front.settings.times.list_poll_interval,
        ControlStream::CrashReports => {
            let pause = REPORT_PAUSE_PER_HOST * front.host_count() as u32;
            pause.min(MAX_REPORT_PAUSE)
        }
    }
}

/// Time by which this host reads the list of endpoints again later than the first.
fn reread_delay(front: &Front) -> Duration {
    let spread = REREAD_SPREAD_PER_HOST * front.host_count() as u32;
    prefix_hash::spread_host(&front.settings.host, spread)
}

/// Fetches a stream from other hosts until a complete page of it has been applied. Skips a fetch
/// while the store's snapshot is making progress.
async fn fetch_until_read<C: WireCodec>(front: Rc<Front>, stream: ControlStream) {
    let mut last_record_count = 0;
    for attempt in 0.. {
        let interval = if attempt < EARLY_PEER_FETCHES {
            EARLY_PEER_FETCH_INTERVAL
        } else {
            LATE_PEER_FETCH_INTERVAL
        };
        time::sleep(interval).await;
        let record_count = front.mirror.borrow().len(stream);
        if front.mirror.borrow().next(stream).is_read() {
            return;
        }
        if record_count == last_record_count {
            peer_records::fetch_records::<C>(&front, stream).await;
        }
        last_record_count = record_count;
    }
}

impl StreamFollower {
    fn new(stream: ControlStream) -> Self {
        Self {
            stream,
            cursor: None,
            answered_cursor: None,
            is_lagging: false,
            own_progress: ReadProgress::default(),
            snapshot: SnapshotReader::default(),
            is_first_read: true,
            outages: OutageWatch::default(),
            retry_delay: MIN_RETRY_DELAY,
            peer_fetch: None,
        }
    }

    /// Fetches records from another host in the background, unless a fetch is in progress.
    fn fetch_from_peer<C: WireCodec>(&mut self, front: &Rc<Front>) {
        if self
            .peer_fetch
            .as_ref()
            .is_some_and(|task| !task.is_finished())
        {
            return;
        }
        let (front, stream) = (front.clone(), self.stream);
        let fetch = async move { peer_records::fetch_records::<C>(&front, stream).await };
        self.peer_fetch = Some(task::spawn_local(fetch));
    }

    /// Continues from the end of a peer's copy if that arrived before the store's snapshot.
    fn resume_from_mirror(&mut self, front: &Front) {
        let next = front.mirror.borrow().next(self.stream);
        if self.is_first_read && next.is_read() {
            slog::info!(front.log, "stream taken from a peer"; "stream" => ?self.stream,
                "era" => next.era, "next" => next.offset);
            self.cursor = Some(next);
            self.snapshot = SnapshotReader::default();
            self.is_first_read = false;
        }
    }

    /// Drops a read position from before the store was restored.
    fn begin_era(&mut self, front: &Front) {
        let era = front.store_era();
        if self.cursor.is_some_and(|cursor| cursor.era < era) {
            self.drop_position();
        }
    }

    /// Reads a snapshot next, since the store does not have the history of the read position.
    fn drop_position(&mut self) {
        self.cursor = None;
        self.snapshot = SnapshotReader::default();
        self.outages.begin_relisting(BootInstant::now());
    }

    /// Reads the next records. Long-polls only while the store responds, and once the end of the
    /// stream was reached: what a long poll then returns was written during the poll.
    async fn read<C: WireCodec, S: ControlStore>(
        &mut self,
        front: &Front,
        store: &S,
    ) -> Result<ReadOutcome> {
        self.skip_known(front);
        let Some(from) = self.cursor.filter(|_| !self.prefers_snapshot()) else {
            return self.read_snapshot::<C, S>(front, store).await;
        };
        let wait = match self.is_long_poll(front) {
            true if is_store_slow(front) => SLOW_STORE_POLL_TIMEOUT,
            true => front.settings.times.operator_poll_timeout,
            false => Duration::ZERO,
        };
        let progress = self.progress(front);
        let begun_at = BootInstant::now();
        let page = store.read_changes(self.stream, from, wait, progress);
        let page = page.await?;
        if wait.is_zero() {
            record_store_delay(front, BootInstant::now().since(begun_at));
        }
        front.enter_era(page.next.era);
        if page.next.era != from.era {
            return Ok(ReadOutcome::Restored);
        }
        Ok(ReadOutcome::Page(page, PageSource::Changes))
    }

    /// Moves the read position past what other hosts have brought meanwhile. Endpoints are read on
    /// nevertheless, since only the store tells which of them are gone.
    fn skip_known(&mut self, front: &Front) {
        let known = front.mirror.borrow().next(self.stream);
        let cursor = self.cursor.filter(|cursor| cursor.era == known.era);
        if self.stream == ControlStream::Operator && cursor.is_some_and(|cursor| cursor < known) {
            self.cursor = Some(known);
            self.snapshot = SnapshotReader::default();
        }
    }

    /// Whether to read the newest record of each key instead of all that was written since the last
    /// answer, or while it arrived. The operator writes the whole configuration with each version.
    fn prefers_snapshot(&self) -> bool {
        let away = self.outages.away(BootInstant::now());
        let has_missed = self.outages.has_failed()
            && away.is_some_and(|away| away > SNAPSHOT_AFTER)
            && self.cursor == self.answered_cursor;
        self.stream == ControlStream::Operator
            && (has_missed || self.is_lagging || self.snapshot.after_key().is_some())
    }

    /// Reads the next part of a snapshot and applies its records before the other parts arrive.
    async fn read_snapshot<C: WireCodec, S: ControlStore>(
        &mut self,
        front: &Front,
        store: &S,
    ) -> Result<ReadOutcome> {
        let snapshot = &self.snapshot;
        let (after, extra_timeout) = (snapshot.after_key(), snapshot.extra_timeout());
        let progress = self.progress(front);
        let part = store.read_snapshot(self.stream, after, extra_timeout, progress);
        let part = part.await;
        let part = part.inspect_err(|_| self.snapshot.record_failure())?;
        let now = BootInstant::now();
        if front.enter_era(part.end.era) {
            self.outages.begin_relisting(now);
        }
        let relisted_by = self.outages.relisted_by(now);
        let source = PageSource::Snapshot;
        record_updates::apply_records::<C>(front, self.stream, &part.records, source, relisted_by);
        let page = self.snapshot.add_part(part);
        Ok(page.map_or(ReadOutcome::Part, |page| ReadOutcome::Page(page, source)))
    }

    /// Progress of this stream's reads; that of the operator's stream is shared.
    fn progress<'a>(&'a self, front: &'a Front) -> &'a ReadProgress {
        match self.stream {
            ControlStream::Operator => &front.operator_read,
            _ => &self.own_progress,
        }
    }

    /// Whether a read waits on the server until records arrive.
    fn is_long_poll(&self, front: &Front) -> bool {
        let waits = match self.stream {
            ControlStream::Operator => front.is_operator_current.get(),
            ControlStream::Endpoints => false,
            ControlStream::CrashReports => true,
        };
        waits && self.cursor.is_some() && !self.outages.has_failed()
    }

    /// Resets the retry delay, and finds out why there was no response for long.
    fn record_response(&mut self, front: &Front) {
        let now = BootInstant::now();
        let away_ms = self.outages.away(now).map(|away| away.as_millis() as u64);
        let had_failed = self.outages.has_failed();
        let absence_since = |since| front.pauses.longest_absence(since, now);
        let gap = self.outages.record_response(now, absence_since);
        if self.stream == ControlStream::Endpoints {
            log_gap(front, gap, away_ms, had_failed);
        }
        if had_failed {
            slog::info!(front.log, "store regained"; "stream" => ?self.stream, "away_ms" => away_ms);
            front.store_answered.notify_waiters();
        }
        self.retry_delay = MIN_RETRY_DELAY;
    }

    /// Marks the store as lost, and aborts the long polls of the other streams.
    fn record_failure(&mut self, front: &Front, error: &StoreError) {
        if self.outages.record_failure() {
            slog::warn!(front.log, "store lost"; "stream" => ?self.stream, "error" => %error);
        } else {
            slog::info!(front.log, "store read failed again"; "stream" => ?self.stream,
                "error" => %error, "from" => self.cursor.map(|cursor| cursor.offset));
        }
        front.store_read_failed.notify_waiters();
    }
}

/// Logs by what a long time without a response is explained, which decides whether endpoints that the
/// store removes are kept for a while.
fn log_gap(front: &Front, gap: Option<ResponseGap>, away_ms: Option<u64>, had_failed: bool) {
    match gap {
        Some(ResponseGap::Outage) => {
            slog::info!(front.log, "outage assumed"; "away_ms" => away_ms, "read_failed" => had_failed);
        }
        Some(ResponseGap::Absence(absence)) => {
            slog::info!(front.log, "host was absent"; "away_ms" => away_ms,
                "absent_ms" => absence.length().as_millis() as u64, "read_failed" => had_failed);
        }
        None => {}
    }
}

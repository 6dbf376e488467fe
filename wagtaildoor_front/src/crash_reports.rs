//! Shares the evidence against prompt parts with the other hosts, through the platform's store.

use std::{
    collections::{
        HashSet,
        VecDeque, //
    },
    rc::Rc,
    time::Duration,
};

use tokio::{
    sync::Notify,
    time::{
        self,
        Instant, //
    },
};
use wagtaildoor::{
    boot_clock::BootInstant,
    crash_ledger::{
        CrashReport,
        ReportVerdict, //
    },
    ids::{
        EngineStart,
        PartId, //
    },
};

use crate::{
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStore,
        ControlStream,
        ControlUpdate,
        RecordChange, //
    },
    front::Front,
    prefix_hash,
    stream_position::StoreEra,
};

/// Number of changes that wait for the store at most.
const MAX_QUEUED_CHANGES: usize = 1_024;
/// Number of withdrawn crashes that are remembered.
const MAX_WITHDRAWN_CRASHES: usize = 1_024;
/// Time over which hosts spread the check of a restored store, for each host of the group. A write
/// reaches the others within that time.
const RESTORE_SPREAD_PER_HOST: Duration = Duration::from_millis(25);
/// Time over which hosts spread the withdrawal of crashes, for each host of the group: about the time
/// between two reads of the reports.
const WITHDRAWAL_SPREAD_PER_HOST: Duration = Duration::from_millis(10);
/// Number of changes in one call.
const MAX_CHANGES_PER_CALL: usize = 128;
/// Interval at which expired evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(900);

/// A change of the shared evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportChange {
    /// An engine crashed.
    Crash(CrashReport),
    /// A crash does not count against a part any more.
    Withdrawal(PartId, EngineStart),
}

/// Changes that were not written to the store yet.
#[derive(Debug, Default)]
pub struct ReportQueue {
    changes: VecDeque<ReportChange>,
    /// Crashes that were withdrawn last, which a restored store may list again.
    withdrawn: VecDeque<(PartId, EngineStart)>,
    /// Era of the last snapshot.
    era: StoreEra,
    /// Notified when a change is added.
    added: Rc<Notify>,
}

impl ReportQueue {
    /// Adds a change. Drops the oldest one if the queue is full.
    pub fn push(&mut self, change: ReportChange) {
        if self.changes.len() >= MAX_QUEUED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
        self.added.notify_one();
    }

    /// Remembers that a crash was withdrawn.
    fn record_withdrawal(&mut self, crash: (PartId, EngineStart)) {
        if self.withdrawn.contains(&crash) {
            return;
        }
        if self.withdrawn.len() >= MAX_WITHDRAWN_CRASHES {
            self.withdrawn.pop_front();
        }
        self.withdrawn.push_back(crash);
    }

    /// Whether any crash is waiting to be written.
    fn has_crash(&self) -> bool {
        let mut changes = self.changes.iter();
        changes.any(|change| matches!(change, ReportChange::Crash(_)))
    }

    /// Whether a given crash is waiting to be written.
    fn contains(&self, part: PartId, engine: EngineStart) -> bool {
        let mut changes = self.changes.iter();
        changes.any(|change| change.crash() == (part, engine))
    }
}

impl ReportChange {
    /// The part and the engine's start that the change is about.
    fn crash(&self) -> (PartId, EngineStart) {
        match self {
            ReportChange::Crash(report) => (report.part, report.engine),
            ReportChange::Withdrawal(part, engine) => (*part, *engine),
        }
    }

    /// Converts the change to a record of the stream.
    fn to_record(self) -> RecordChange {
        let value = match self {
            ReportChange::Crash(report) => {
                let in_first_event = u8::from(report.in_first_event);
                Some(format!("{},{in_first_event}", report.known_crashes).into())
            }
            ReportChange::Withdrawal(..) => None,
        };
        RecordChange {
            key: format_key(self.crash()),
            value,
        }
    }
}

/// Formats the key of a crash, which [`parse_key`] parses.
fn format_key((part, engine): (PartId, EngineStart)) -> Box<str> {
    format!("{part:016x}-{engine:016x}").into()
}

/// Parses a record of the stream of crash reports.
pub fn parse_record(record: &ControlRecord) -> ControlUpdate {
    match parse_change(record) {
        Some(change) => ControlUpdate::CrashReport(change),
        None => ControlUpdate::Unknown {
            reason: "not a crash report".into(),
        },
    }
}

fn parse_change(record: &ControlRecord) -> Option<ReportChange> {
    let (part, engine) = parse_key(&record.key)?;
    let Some(value) = &record.value else {
        return Some(ReportChange::Withdrawal(part, engine));
    };
    let (known_crashes, in_first_event) = std::str::from_utf8(value).ok()?.split_once(',')?;
    Some(ReportChange::Crash(CrashReport {
        part,
        engine,
        known_crashes: known_crashes.parse().ok()?,
        in_first_event: in_first_event == "1",
    }))
}

fn parse_key(key: &str) -> Option<(PartId, EngineStart)> {
    let (part, engine) = key.split_once('-')?;
    let part = PartId::from_str_radix(part, 16).ok()?;
    let engine = EngineStart::from_str_radix(engine, 16).ok()?;
    Some((part, engine))
}

/// Adds the crash of an engine to the evidence of this host and queues it for the others.
pub fn report_crash(front: &Front, report: CrashReport) {
    if record_crash(front, &report) == ReportVerdict::Added {
        let ledger = front.crash_ledger.borrow();
        let merged = ledger.merged_report(report.part, report.engine);
        let mut queue = front.report_queue.borrow_mut();
        queue.push(ReportChange::Crash(merged.unwrap_or(report)));
    }
}

/// Records that a prompt with these parts was answered completely, and withdraws what was reported
/// against them.
pub fn record_answer(front: &Front, parts: &[PartId]) {
    let now = BootInstant::now();
    for &part in parts {
        let engines = front.crash_ledger.borrow_mut().record_answer(part, now);
        if !engines.is_empty() {
            slog::info!(front.log, "part cleared"; "part" => format!("{part:016x}"),
                "crashes" => engines.len());
        }
        withdraw(front, engines.into_iter().map(|engine| (part, engine)));
    }
}

/// Applies a change that was read from the store or a peer.
pub fn apply_change(front: &Front, change: &ReportChange) {
    match change {
        ReportChange::Crash(report) => {
            let crash = (report.part, report.engine);
            if front.report_queue.borrow().withdrawn.contains(&crash) {
                return;
            }
            if record_crash(front, report) == ReportVerdict::Contradicted {
                withdraw(front, [(report.part, report.engine)].into_iter());
            }
        }
        ReportChange::Withdrawal(part, engine) => {
            let mut ledger = front.crash_ledger.borrow_mut();
            ledger.withdraw_crash(*part, *engine);
            // Another host has written it already.
            let mut queue = front.report_queue.borrow_mut();
            queue.record_withdrawal((*part, *engine));
            queue.changes.retain(|queued| queued != change);
        }
    }
}

/// Removes the evidence that a complete snapshot does not contain, except what this host is about to
/// write. The copy of a restored store may lack evidence that holds.
pub fn apply_snapshot(front: &Front, page: &ControlPage) {
    let era = page.next.era;
    let before = std::mem::replace(&mut front.report_queue.borrow_mut().era, era);
    if era > before {
        let mut mirror = front.mirror.borrow_mut();
        mirror.remove_before(ControlStream::CrashReports, era);
        return;
    }
    let listed = page.records.iter();
    let listed = listed.filter_map(|record| parse_key(&record.key));
    let listed: HashSet<(PartId, EngineStart)> = listed.collect();
    let queue = front.report_queue.borrow();
    let mut ledger = front.crash_ledger.borrow_mut();
    ledger.retain_crashes(|part, engine| {
        listed.contains(&(part, engine)) || queue.contains(part, engine)
    });
}

fn record_crash(front: &Front, report: &CrashReport) -> ReportVerdict {
    let now = BootInstant::now();
    let mut ledger = front.crash_ledger.borrow_mut();
    let verdict = ledger.record_crash(report, now);
    if verdict == ReportVerdict::Added {
        let is_blocked = ledger.blocked_part(&[report.part], now).is_some();
        slog::info!(front.log, "part under suspicion"; "part" => format!("{:016x}", report.part),
            "engine" => format!("{:016x}", report.engine), "known" => report.known_crashes,
            "in_first_event" => report.in_first_event,
            "crashes" => ledger.known_crashes(report.part), "is_blocked" => is_blocked);
        drop(ledger);
        front.crash_added.notify_waiters();
    }
    verdict
}

fn withdraw(front: &Front, crashes: impl Iterator<Item = (PartId, EngineStart)>) {
    let mut queue = front.report_queue.borrow_mut();
    for (part, engine) in crashes {
        queue.record_withdrawal((part, engine));
        queue.push(ReportChange::Withdrawal(part, engine));
    }
}

/// Writes what the copy of a restored store lacks, or should not have. Hosts do so one after the other,
/// so that most find it written already.
pub async fn restore_reports(front: Rc<Front>) {
    let spread = RESTORE_SPREAD_PER_HOST * front.host_count() as u32;
    time::sleep(prefix_hash::spread_host(&front.settings.host, spread)).await;
    let mirror = front.mirror.borrow();
    let mut queue = front.report_queue.borrow_mut();
    let is_listed = |crash| mirror.has_value(ControlStream::CrashReports, &format_key(crash));
    let ledger = front.crash_ledger.borrow();
    let missing = ledger.reports().map(|report| ReportChange::Crash(*report));
    let missing: Vec<ReportChange> = missing
        .filter(|change| !is_listed(change.crash()))
        .collect();
    let withdrawn = queue.withdrawn.iter().copied();
    let listed: Vec<ReportChange> = withdrawn
        .filter(|&crash| is_listed(crash))
        .map(|(part, engine)| ReportChange::Withdrawal(part, engine))
        .collect();
    if missing.is_empty() && listed.is_empty() {
        return;
    }
    slog::info!(front.log, "crash reports restored"; "missing" => missing.len(),
        "withdrawn" => listed.len());
    for change in missing.into_iter().chain(listed) {
        let (part, engine) = change.crash();
        if !queue.contains(part, engine) {
            queue.push(change);
        }
    }
}

/// Waits while there are only withdrawals to write, so that most hosts find them written by another one.
/// Crashes are written at once.
async fn await_withdrawals(front: &Front, added: &Notify) {
    let spread = WITHDRAWAL_SPREAD_PER_HOST * front.host_count() as u32;
    let wait = prefix_hash::spread_host(&front.settings.host, spread);
    let until = Instant::now() + wait;
    while Instant::now() < until && !front.report_queue.borrow().has_crash() {
        // A timeout means that the wait is over.
        let _ = time::timeout_at(until, added.notified()).await;
    }
}

/// Writes queued changes to the store and removes expired evidence until the process ends.
pub async fn publish_reports<S: ControlStore>(front: Rc<Front>, store: S) {
    let added = front.report_queue.borrow().added.clone();
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        // A timeout only means that nothing was added.
        let _ = time::timeout(EXPIRY_INTERVAL, added.notified()).await;
        let expired = front.crash_ledger.borrow_mut().expire(BootInstant::now());
        withdraw(&front, expired.into_iter());
        await_withdrawals(&front, &added).await;
        loop {
            let batch: Vec<ReportChange> = {
                let queue = front.report_queue.borrow();
                let batch = queue.changes.iter().take(MAX_CHANGES_PER_CALL);
                batch.copied().collect()
            };
            if batch.is_empty() {
                break;
            }
            let records: Vec<RecordChange> =
                batch.iter().map(|change| change.to_record()).collect();
            match store.append(ControlStream::CrashReports, &records).await {
                Ok(()) => {
                    retry_delay = MIN_RETRY_DELAY;
                    let mut queue = front.report_queue.borrow_mut();
                    queue.changes.retain(|change| !batch.contains(change));
                }
                Err(error) => {
                    slog::info!(front.log, "failed to write crash reports"; "error" => %error,
                        "waiting" => batch.len());
                    time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }
}

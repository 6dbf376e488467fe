//! Queue of claim records that are being appended to one log stream.

use tokio::time::Instant;

use crate::{
    claim_ledger::ClaimLedger,
    ids::LogOffset,
    schema::{
        ClaimRecord,
        ClaimRelease,
        ClaimStart, //
    },
};

/// Answer bytes after which a batch takes no further records.
const MAX_BATCH_ANSWER_BYTES: usize = 1024 * 1024;

/// Append state of a queued record.
#[derive(Clone, Copy, Debug, PartialEq)]
enum QueueStage {
    /// Waits for the next append.
    Waiting,
    /// Part of the append in progress.
    Appending,
    /// Appended at this offset, but not read back yet.
    Appended(LogOffset),
    /// An append failed. The record is appended again at this time unless it is read back before.
    RetryAt(Instant),
}

/// A record and its append state.
#[derive(Clone, Debug)]
struct QueuedRecord {
    record: ClaimRecord,
    stage: QueueStage,
    /// Whether an append of the record may have taken effect.
    possibly_appended: bool,
}

impl QueuedRecord {
    /// Whether an append of the record has taken effect or still may.
    fn may_be_in_log(&self) -> bool {
        self.possibly_appended || self.stage == QueueStage::Appending
    }
}

/// Claim records that wait to be appended or read back.
#[derive(Debug, Default)]
pub struct ClaimQueue {
    /// Records in the order in which they were queued.
    records: Vec<QueuedRecord>,
}

impl ClaimQueue {
    /// Number of queued records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the queue holds no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Queues a record unless an equal one is queued already.
    pub fn push(&mut self, record: ClaimRecord) {
        if self.records.iter().any(|known| known.record == record) {
            return;
        }
        self.records.push(QueuedRecord {
            record,
            stage: QueueStage::Waiting,
            possibly_appended: false,
        });
    }

    /// Removes a record. Returns whether an append of it may have taken effect.
    pub fn remove(&mut self, record: &ClaimRecord) -> bool {
        let Some(index) = self.records.iter().position(|r| r.record == *record) else {
            return false;
        };
        self.records.remove(index).may_be_in_log()
    }

    /// Whether an append of a queued claim may have taken effect.
    pub fn is_possibly_appended(&self, start: &ClaimStart) -> bool {
        self.records.iter().any(|queued| {
            let is_same_claim =
                matches!(&queued.record, ClaimRecord::Start(known) if known == start);
            is_same_claim && queued.may_be_in_log()
        })
    }

    /// Withdraws a claim. If the claim may be in the log, queues a release and returns `true`.
    pub fn withdraw_claim(&mut self, start: &ClaimStart) -> bool {
        let possibly_appended = self.remove(&ClaimRecord::Start(start.clone()));
        if possibly_appended {
            self.push(ClaimRecord::Release(ClaimRelease {
                account: start.account.clone(),
                attempt: start.attempt.clone(),
                key: start.key.clone(),
            }));
        }
        possibly_appended
    }

    /// Removes the records that the ledger knows. Claims stay until their caller removes them.
    pub fn drop_recorded(&mut self, ledger: &ClaimLedger) {
        self.records.retain(|queued| {
            let is_claim = matches!(queued.record, ClaimRecord::Start(_));
            is_claim || ledger.is_recorded(&queued.record).is_none()
        });
    }

    /// Schedules the records that await reading back for another append, after a gap in the log.
    pub fn retry_appended(&mut self, now: Instant) {
        for queued in &mut self.records {
            if matches!(queued.stage, QueueStage::Appended(_)) {
                queued.stage = QueueStage::RetryAt(now);
            }
        }
    }

    /// Selects up to `limit` records that are due and marks them as being appended.
    pub fn next_batch(
        &mut self,
        ledger: &ClaimLedger,
        now: Instant,
        limit: usize,
    ) -> Vec<ClaimRecord> {
        let mut batch = Vec::new();
        let mut answer_bytes = 0;
        for queued in &mut self.records {
            if batch.len() == limit || answer_bytes > MAX_BATCH_ANSWER_BYTES {
                break;
            }
            let is_due = match queued.stage {
                QueueStage::Waiting => true,
                QueueStage::RetryAt(at) => at <= now,
                QueueStage::Appending | QueueStage::Appended(_) => false,
            };
            if !is_due || ledger.is_recorded(&queued.record).is_some() {
                continue;
            }
            if let ClaimRecord::Outcome(outcome) = &queued.record {
                answer_bytes += outcome.answer.len();
            }
            queued.stage = QueueStage::Appending;
            batch.push(queued.record.clone());
        }
        batch
    }

    /// Marks the append in progress as successful.
    pub fn mark_appended(&mut self, offset: LogOffset) {
        for queued in self.appending_records() {
            queued.possibly_appended = true;
            queued.stage = QueueStage::Appended(offset);
        }
    }

    /// Marks the append in progress as failed without effect; its records are due at `retry_at`.
    pub fn mark_refused(&mut self, retry_at: Instant) {
        for queued in self.appending_records() {
            queued.stage = QueueStage::RetryAt(retry_at);
        }
    }

    /// Marks the append in progress as possibly successful; its records are due at `retry_at`.
    pub fn mark_uncertain(&mut self, retry_at: Instant) {
        for queued in self.appending_records() {
            queued.possibly_appended = true;
            queued.stage = QueueStage::RetryAt(retry_at);
        }
    }

    /// Earliest time at which a failed record is due again.
    pub fn next_retry_at(&self) -> Option<Instant> {
        let retry_at = |queued: &QueuedRecord| match queued.stage {
            QueueStage::RetryAt(at) => Some(at),
            _ => None,
        };
        self.records.iter().filter_map(retry_at).min()
    }

    /// Records of the append in progress.
    fn appending_records(&mut self) -> impl Iterator<Item = &mut QueuedRecord> {
        let is_appending = |queued: &&mut QueuedRecord| queued.stage == QueueStage::Appending;
        self.records.iter_mut().filter(is_appending)
    }
}

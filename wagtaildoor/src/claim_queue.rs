//! Claim records on their way into one stream of the log.

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

/// Text of answers that one append carries at most, in bytes.
const MAX_BATCH_ANSWER_BYTES: usize = 1024 * 1024;

/// Where a record stands on its way.
#[derive(Clone, Copy, Debug, PartialEq)]
enum QueueStage {
    /// It waits for the next append.
    Waiting,
    /// An append carries it.
    Appending,
    /// The log has it at an offset, and it was not read back yet.
    Appended(LogOffset),
    /// An append failed; it goes again from this time on, unless it is read back before.
    RetryAt(Instant),
}

/// One record on its way.
#[derive(Clone, Debug)]
struct QueuedRecord {
    /// Record.
    record: ClaimRecord,
    /// Where it stands.
    stage: QueueStage,
    /// An append that is_appending it may have taken effect.
    possibly_appended: bool,
}

impl QueuedRecord {
    /// Whether an append of it took effect, or may do so yet.
    fn may_be_in_log(&self) -> bool {
        self.possibly_appended || self.stage == QueueStage::Appending
    }
}

/// Records on their way into the log, until they are read back.
#[derive(Debug, Default)]
pub struct ClaimQueue {
    /// Records in their order.
    records: Vec<QueuedRecord>,
}

impl ClaimQueue {
    /// Records on their way.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is on its way.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Adds a record, unless the same is on its way already.
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

    /// Takes a record out; tells whether an append of it may have taken effect.
    pub fn remove(&mut self, record: &ClaimRecord) -> bool {
        let Some(index) = self.records.iter().position(|r| r.record == *record) else {
            return false;
        };
        self.records.remove(index).may_be_in_log()
    }

    /// Whether an append of a claim may have taken effect.
    pub fn is_possibly_appended(&self, start: &ClaimStart) -> bool {
        self.records.iter().any(|queued| {
            let is_same_claim =
                matches!(&queued.record, ClaimRecord::Start(known) if known == start);
            is_same_claim && queued.may_be_in_log()
        })
    }

    /// Gives a claim up; where it may be in the log, a release follows it. Tells whether so.
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

    /// Drops records that the ledger has, except claims, whose askers take them out.
    pub fn drop_recorded(&mut self, ledger: &ClaimLedger) {
        self.records.retain(|queued| {
            let is_claim = matches!(queued.record, ClaimRecord::Start(_));
            is_claim || ledger.is_recorded(&queued.record).is_none()
        });
    }

    /// Lets records that were appended before a gap in the log go again.
    pub fn retry_appended(&mut self, now: Instant) {
        for queued in &mut self.records {
            if matches!(queued.stage, QueueStage::Appended(_)) {
                queued.stage = QueueStage::RetryAt(now);
            }
        }
    }

    /// Takes the records of the next append, up to a number.
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

    /// Notes that an append took effect.
    pub fn mark_appended(&mut self, offset: LogOffset) {
        for queued in self.appending_records() {
            queued.possibly_appended = true;
            queued.stage = QueueStage::Appended(offset);
        }
    }

    /// Notes that an append did not take effect.
    pub fn mark_refused(&mut self, retry_at: Instant) {
        for queued in self.appending_records() {
            queued.stage = QueueStage::RetryAt(retry_at);
        }
    }

    /// Notes that an append may have taken effect.
    pub fn mark_uncertain(&mut self, retry_at: Instant) {
        for queued in self.appending_records() {
            queued.possibly_appended = true;
            queued.stage = QueueStage::RetryAt(retry_at);
        }
    }

    /// When the next record that waits for its time goes again.
    pub fn next_retry_at(&self) -> Option<Instant> {
        let retry_at = |queued: &QueuedRecord| match queued.stage {
            QueueStage::RetryAt(at) => Some(at),
            _ => None,
        };
        self.records.iter().filter_map(retry_at).min()
    }

    /// Records that the present append carries.
    fn appending_records(&mut self) -> impl Iterator<Item = &mut QueuedRecord> {
        let is_appending = |queued: &&mut QueuedRecord| queued.stage == QueueStage::Appending;
        self.records.iter_mut().filter(is_appending)
    }
}

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
const BATCH_ANSWER_BYTES: usize = 1024 * 1024;

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
    Again(Instant),
}

/// One record on its way.
#[derive(Clone, Debug)]
struct QueuedRecord {
    /// Record.
    record: ClaimRecord,
    /// Where it stands.
    stage: QueueStage,
    /// An append that carried it may have taken effect.
    handed: bool,
}

impl QueuedRecord {
    /// Whether an append of it took effect, or may do so yet.
    fn may_be_in_log(&self) -> bool {
        self.handed || self.stage == QueueStage::Appending
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
            handed: false,
        });
    }

    /// Takes a record out; tells whether an append of it may have taken effect.
    pub fn remove(&mut self, record: &ClaimRecord) -> bool {
        let Some(at) = self.records.iter().position(|r| r.record == *record) else {
            return false;
        };
        self.records.remove(at).may_be_in_log()
    }

    /// Whether an append of a claim may have taken effect.
    pub fn is_handed(&self, start: &ClaimStart) -> bool {
        self.records.iter().any(|queued| {
            let same = matches!(&queued.record, ClaimRecord::Start(known) if known == start);
            same && queued.may_be_in_log()
        })
    }

    /// Gives a claim up; where it may be in the log, a release follows it. Tells whether so.
    pub fn abandon(&mut self, start: &ClaimStart) -> bool {
        let handed = self.remove(&ClaimRecord::Start(start.clone()));
        if handed {
            self.push(ClaimRecord::Release(ClaimRelease {
                account: start.account.clone(),
                attempt: start.attempt.clone(),
                key: start.key.clone(),
            }));
        }
        handed
    }

    /// Drops records that the ledger has, except claims, whose askers take them out.
    pub fn prune(&mut self, ledger: &ClaimLedger) {
        self.records.retain(|queued| {
            let claim = matches!(queued.record, ClaimRecord::Start(_));
            claim || ledger.is_recorded(&queued.record).is_none()
        });
    }

    /// Lets records that were appended before a gap in the log go again.
    pub fn miss(&mut self, now: Instant) {
        for queued in &mut self.records {
            if matches!(queued.stage, QueueStage::Appended(_)) {
                queued.stage = QueueStage::Again(now);
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
        let mut bytes = 0;
        for queued in &mut self.records {
            if batch.len() == limit || bytes > BATCH_ANSWER_BYTES {
                break;
            }
            let due = match queued.stage {
                QueueStage::Waiting => true,
                QueueStage::Again(at) => at <= now,
                QueueStage::Appending | QueueStage::Appended(_) => false,
            };
            if !due || ledger.is_recorded(&queued.record).is_some() {
                continue;
            }
            if let ClaimRecord::Outcome(outcome) = &queued.record {
                bytes += outcome.answer.len();
            }
            queued.stage = QueueStage::Appending;
            batch.push(queued.record.clone());
        }
        batch
    }

    /// Notes that an append took effect.
    pub fn appended(&mut self, offset: LogOffset) {
        for queued in self.appending() {
            queued.handed = true;
            queued.stage = QueueStage::Appended(offset);
        }
    }

    /// Notes that an append did not take effect.
    pub fn refused(&mut self, again: Instant) {
        for queued in self.appending() {
            queued.stage = QueueStage::Again(again);
        }
    }

    /// Notes that an append may have taken effect.
    pub fn uncertain(&mut self, again: Instant) {
        for queued in self.appending() {
            queued.handed = true;
            queued.stage = QueueStage::Again(again);
        }
    }

    /// When the next record that waits for its time goes again.
    pub fn next_due(&self) -> Option<Instant> {
        let again = |queued: &QueuedRecord| match queued.stage {
            QueueStage::Again(at) => Some(at),
            _ => None,
        };
        self.records.iter().filter_map(again).min()
    }

    /// Records that the present append carries.
    fn appending(&mut self) -> impl Iterator<Item = &mut QueuedRecord> {
        let carried = |queued: &&mut QueuedRecord| queued.stage == QueueStage::Appending;
        self.records.iter_mut().filter(carried)
    }
}

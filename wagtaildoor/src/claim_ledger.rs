//! Folds the claim records of a log stream into the state of each idempotency key.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    claim_key,
    claim_policy::ClaimPolicy,
    ids::{
        AccountId,
        AttemptId,
        HostId,
        RequestId,
        RequestKey,
        TemplateId, //
    },
    schema::{
        ClaimBatch,
        ClaimOutcome,
        ClaimRecord,
        ClaimRelease,
        ClaimSettlement,
        ClaimStart,
        ClaimVerdict,
        LogRecord,
        SettledAs, //
    },
};

use key_state::{
    ExclusionReason,
    KeyPhase,
    KeyState,
    OpenClaim, //
};

mod key_state;

/// Version of the claim batches that this release writes and reads.
pub const BATCH_VERSION: u32 = 1;

/// Identifies a key. Each client account has its own key space.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ClaimId {
    account: AccountId,
    key: RequestKey,
}

/// A claim without a recorded outcome.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct UnresolvedClaim {
    /// Client account that sent the request.
    pub account: AccountId,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Attempt that holds the key.
    pub attempt: AttemptId,
    /// Request that the attempt runs.
    pub request: RequestId,
    /// Template of the request.
    pub template: TemplateId,
    /// Host that made the claim.
    pub host: HostId,
    /// Log time of the claim, in milliseconds since the Unix epoch.
    pub claimed_ms: u64,
}

/// Note that a record changed a key, which may expire once all its records have.
#[derive(Clone, Debug)]
struct KeyUpdate {
    /// Log time of the record.
    record_ms: u64,
    id: ClaimId,
}

/// State of all keys in one claim stream for which the log still keeps records.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    policy: ClaimPolicy,
    keys: HashMap<ClaimId, KeyState>,
    /// Updates in the order of the log, oldest first.
    updates: VecDeque<KeyUpdate>,
    /// Number of attempts that ran although another attempt held the key.
    conflict_count: u64,
}

impl ClaimLedger {
    /// Creates an empty ledger.
    pub fn new(policy: ClaimPolicy) -> Self {
        Self {
            policy,
            keys: HashMap::new(),
            updates: VecDeque::new(),
            conflict_count: 0,
        }
    }

    /// Number of keys in the ledger.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether the ledger holds no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of attempts that ran although another attempt held the key.
    ///
    /// Any value above 0 means that the at-most-once guarantee was violated.
    pub fn conflict_count(&self) -> u64 {
        self.conflict_count
    }

    /// Applies one log record. Records must be applied in offset order.
    ///
    /// Batches that cannot be parsed or have another version are ignored.
    pub fn apply_record(&mut self, record: &LogRecord) {
        let Ok(batch) = serde_json::from_str::<ClaimBatch>(&record.data) else {
            return;
        };
        if batch.version != BATCH_VERSION {
            return;
        }
        for claim in &batch.records {
            self.apply_claim_record(claim, record.time_ms);
        }
    }

    /// Removes the keys whose records are older than the retention at log time `log_ms`.
    pub fn drop_expired_keys(&mut self, log_ms: u64) {
        let oldest_ms = log_ms.saturating_sub(self.policy.retention.as_millis() as u64);
        while self
            .updates
            .front()
            .is_some_and(|update| update.record_ms < oldest_ms)
        {
            let Some(update) = self.updates.pop_front() else {
                return;
            };
            let is_stale = |state: &KeyState| state.updated_ms <= update.record_ms;
            if self.keys.get(&update.id).is_some_and(is_stale) {
                self.keys.remove(&update.id);
            }
        }
    }

    /// Verdict on a claim from the records applied so far; `None` if no attempt holds the key and
    /// this attempt has no record.
    pub fn verdict(&self, start: &ClaimStart) -> Option<ClaimVerdict> {
        let state = self.key_state(&start.account, &start.key)?;
        if let Some(reason) = state.exclusion_reason(&start.attempt) {
            return Some(state.excluded_verdict(start, reason));
        }
        state.phase_verdict(start)
    }

    /// Whether the record of a claim was read, or could no longer change the state.
    pub fn is_decided(&self, start: &ClaimStart) -> bool {
        let Some(state) = self.key_state(&start.account, &start.key) else {
            return false;
        };
        match &state.phase {
            KeyPhase::Done { .. } | KeyPhase::Settled { .. } => true,
            KeyPhase::Open(open) if open.start.attempt == start.attempt => true,
            KeyPhase::Open(_) | KeyPhase::Free => state.exclusion_reason(&start.attempt).is_some(),
        }
    }

    /// Whether a record has taken effect.
    ///
    /// `None` if the record was not read yet, `Some(false)` if it can never take effect.
    pub fn is_recorded(&self, record: &ClaimRecord) -> Option<bool> {
        match record {
            ClaimRecord::Start(start) => self.is_decided(start).then_some(true),
            ClaimRecord::Outcome(outcome) => self.is_outcome_recorded(outcome),
            ClaimRecord::Release(release) => self.is_release_recorded(release),
            ClaimRecord::Settlement(settlement) => self.is_settlement_recorded(settlement),
        }
    }

    /// Claims without an outcome whose log time is at most `before_ms`.
    pub fn unresolved(&self, before_ms: u64) -> impl Iterator<Item = UnresolvedClaim> + '_ {
        self.keys.values().filter_map(move |state| {
            let KeyPhase::Open(open) = &state.phase else {
                return None;
            };
            (open.claimed_ms <= before_ms).then(|| UnresolvedClaim::from(open))
        })
    }

    /// Log time from which an operator may settle an attempt as not run; `None` if the attempt does
    /// not hold the key.
    pub fn settleable_from_ms(&self, settlement: &ClaimSettlement) -> Option<u64> {
        let state = self.key_state(&settlement.account, &settlement.key)?;
        match &state.phase {
            KeyPhase::Open(open) if open.start.attempt == settlement.attempt => {
                Some(open.claimed_ms + self.policy.settlement_wait().as_millis() as u64)
            }
            _ => None,
        }
    }

    fn key_state(&self, account: &AccountId, key: &RequestKey) -> Option<&KeyState> {
        // The lookup has to own the id. Both parts are short.
        self.keys.get(&ClaimId {
            account: account.clone(),
            key: key.clone(),
        })
    }

    /// Registers an update of a key and returns the state of the key.
    fn update_key(
        &mut self,
        account: &AccountId,
        key: &RequestKey,
        record_ms: u64,
    ) -> &mut KeyState {
        let id = ClaimId {
            account: account.clone(),
            key: key.clone(),
        };
        self.updates.push_back(KeyUpdate {
            record_ms,
            id: id.clone(),
        });
        let state = self.keys.entry(id).or_default();
        state.updated_ms = state.updated_ms.max(record_ms);
        state
    }

    fn apply_claim_record(&mut self, claim: &ClaimRecord, record_ms: u64) {
        match claim {
            ClaimRecord::Start(start) => self.apply_start(start, record_ms),
            ClaimRecord::Outcome(outcome) => self.apply_outcome(outcome, record_ms),
            ClaimRecord::Release(release) => self.apply_release(release, record_ms),
            ClaimRecord::Settlement(settlement) => self.apply_settlement(settlement, record_ms),
        }
    }

    /// Gives a free key to the first claim. An attempt that loses can never claim the key later.
    fn apply_start(&mut self, start: &ClaimStart, record_ms: u64) {
        let checked = claim_key::check_key_age(&start.key, record_ms, &self.policy);
        let state = self.update_key(&start.account, &start.key, record_ms);
        if state.exclusion_reason(&start.attempt).is_some() {
            return;
        }
        match (&state.phase, checked) {
            (KeyPhase::Open(open), _) if open.start.attempt == start.attempt => {}
            (KeyPhase::Open(_), _) => state.exclude_attempt(&start.attempt, ExclusionReason::Lost),
            (KeyPhase::Free, Err(fault)) => {
                state.exclude_attempt(&start.attempt, ExclusionReason::Expired(fault))
            }
            (KeyPhase::Free, Ok(())) => {
                state.phase = KeyPhase::Open(OpenClaim {
                    start: start.clone(),
                    claimed_ms: record_ms,
                });
            }
            (KeyPhase::Done { .. } | KeyPhase::Settled { .. }, _) => {}
        }
    }

    /// Records an outcome, even if another attempt holds the key, since the request did run.
    fn apply_outcome(&mut self, outcome: &ClaimOutcome, record_ms: u64) {
        let state = self.update_key(&outcome.account, &outcome.key, record_ms);
        let body_hash = match &state.phase {
            KeyPhase::Free => "".into(),
            KeyPhase::Open(open) if open.start.attempt == outcome.attempt => {
                open.start.body_hash.clone()
            }
            KeyPhase::Settled { body_hash, attempt } if *attempt == outcome.attempt => {
                body_hash.clone()
            }
            KeyPhase::Done {
                outcome: recorded, ..
            } if recorded.attempt == outcome.attempt => return,
            KeyPhase::Open(_) | KeyPhase::Settled { .. } | KeyPhase::Done { .. } => {
                if state.exclusion_reason(&outcome.attempt) != Some(ExclusionReason::Conflict) {
                    state.exclude_attempt(&outcome.attempt, ExclusionReason::Conflict);
                    self.conflict_count += 1;
                }
                return;
            }
        };
        state.phase = KeyPhase::Done {
            body_hash,
            outcome: outcome.clone(),
        };
    }

    /// Frees the key and excludes the attempt, so that a claim of it that arrives later is ignored.
    fn apply_release(&mut self, release: &ClaimRelease, record_ms: u64) {
        let state = self.update_key(&release.account, &release.key, record_ms);
        match &state.phase {
            KeyPhase::Done { outcome, .. } if outcome.attempt == release.attempt => return,
            KeyPhase::Settled { attempt, .. } if *attempt == release.attempt => return,
            KeyPhase::Open(open) if open.start.attempt == release.attempt => {
                state.phase = KeyPhase::Free;
            }
            _ => {}
        }
        state.exclude_attempt(&release.attempt, ExclusionReason::Released);
    }

    /// Applies a settlement. "Ran" takes effect at once, "not run" only after the claiming host can
    /// no longer dispatch the request.
    fn apply_settlement(&mut self, settlement: &ClaimSettlement, record_ms: u64) {
        let wait_ms = self.policy.settlement_wait().as_millis() as u64;
        let state = self.update_key(&settlement.account, &settlement.key, record_ms);
        let KeyPhase::Open(open) = &state.phase else {
            return;
        };
        if open.start.attempt != settlement.attempt {
            return;
        }
        match settlement.settled {
            SettledAs::Ran => {
                state.phase = KeyPhase::Settled {
                    body_hash: open.start.body_hash.clone(),
                    attempt: settlement.attempt.clone(),
                };
            }
            SettledAs::NotRun if record_ms >= open.claimed_ms + wait_ms => {
                state.phase = KeyPhase::Free;
                state.exclude_attempt(&settlement.attempt, ExclusionReason::Settled);
            }
            SettledAs::NotRun => {}
        }
    }

    fn is_outcome_recorded(&self, outcome: &ClaimOutcome) -> Option<bool> {
        let state = self.key_state(&outcome.account, &outcome.key)?;
        let conflict = state.exclusion_reason(&outcome.attempt) == Some(ExclusionReason::Conflict);
        match &state.phase {
            KeyPhase::Done {
                outcome: recorded, ..
            } if recorded.attempt == outcome.attempt => Some(true),
            _ => conflict.then_some(true),
        }
    }

    /// Whether a release has taken effect and no other attempt has claimed the key since.
    fn is_release_recorded(&self, release: &ClaimRelease) -> Option<bool> {
        let state = self.key_state(&release.account, &release.key)?;
        let free = matches!(state.phase, KeyPhase::Free);
        match &state.phase {
            KeyPhase::Done { outcome, .. } if outcome.attempt == release.attempt => Some(false),
            KeyPhase::Settled { attempt, .. } if *attempt == release.attempt => Some(false),
            _ => match state.exclusion_reason(&release.attempt)? {
                ExclusionReason::Released => Some(free),
                _ => Some(false),
            },
        }
    }

    fn is_settlement_recorded(&self, settlement: &ClaimSettlement) -> Option<bool> {
        let state = self.key_state(&settlement.account, &settlement.key)?;
        let ran = match &state.phase {
            KeyPhase::Done { outcome, .. } => outcome.attempt == settlement.attempt,
            KeyPhase::Settled { attempt, .. } => *attempt == settlement.attempt,
            KeyPhase::Open(_) | KeyPhase::Free => false,
        };
        let exclusion = state.exclusion_reason(&settlement.attempt);
        match settlement.settled {
            SettledAs::Ran if ran => Some(true),
            SettledAs::NotRun if exclusion.is_some() => {
                Some(exclusion != Some(ExclusionReason::Conflict))
            }
            _ if ran || exclusion.is_some() => Some(false),
            _ => None,
        }
    }
}

impl From<&OpenClaim> for UnresolvedClaim {
    fn from(open: &OpenClaim) -> Self {
        let start = open.start.clone();
        Self {
            account: start.account,
            key: start.key,
            attempt: start.attempt,
            request: start.request,
            template: start.template,
            host: start.host,
            claimed_ms: open.claimed_ms,
        }
    }
}

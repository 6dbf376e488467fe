//! Fold of claim records into what each key did.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    claim_key::{
        self,
        KeyError, //
    },
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

/// Version of the batches this release writes and reads.
pub const BATCH_VERSION: u32 = 1;

/// A client account's key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ClaimId {
    /// Client account.
    account: AccountId,
    /// Idempotency key.
    key: RequestKey,
}

/// A claim that has the key.
#[derive(Clone, Debug)]
struct OpenClaim {
    /// Claim as asked for.
    start: ClaimStart,
    /// The log's time of its record.
    claimed_ms: u64,
}

/// What a key did so far.
#[derive(Clone, Debug, Default)]
enum KeyPhase {
    /// No attempt has it.
    #[default]
    Free,
    /// An attempt has it, and its outcome is not on record.
    Open(OpenClaim),
    /// It ran.
    Done {
        /// Hash of template and body; empty when the claim was not seen.
        body_hash: Box<str>,
        /// Answer on record.
        outcome: ClaimOutcome,
    },
    /// It was settled as having run; no answer is on record.
    Settled {
        /// Hash of template and body.
        body_hash: Box<str>,
        /// Attempt that is held to have run.
        attempt: AttemptId,
    },
}

/// Why an attempt can no longer get the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ExclusionReason {
    /// It gave its claim up.
    Released,
    /// Another attempt had the key.
    Lost,
    /// The key could not be checked.
    Expired(KeyError),
    /// It was settled as not having run.
    Settled,
    /// It ran, although another attempt had the key.
    Conflict,
}

/// An attempt that can no longer get the key.
#[derive(Clone, Debug)]
struct ExcludedAttempt {
    /// Attempt.
    attempt: AttemptId,
    /// Why.
    reason: ExclusionReason,
}

/// State of one key.
#[derive(Clone, Debug, Default)]
struct KeyState {
    /// What it did.
    phase: KeyPhase,
    /// Attempts that can no longer get it, also when their records come late.
    excluded: Vec<ExcludedAttempt>,
    /// The log's time of its newest record.
    updated_ms: u64,
}

/// A claim without an outcome.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct UnresolvedClaim {
    /// Client account.
    pub account: AccountId,
    /// Idempotency key.
    pub key: RequestKey,
    /// Attempt that has the key.
    pub attempt: AttemptId,
    /// Request it works for.
    pub request: RequestId,
    /// Template of the request.
    pub template: TemplateId,
    /// Host that claimed it.
    pub host: HostId,
    /// The log's time of the claim, in milliseconds since the Unix epoch.
    pub claimed_ms: u64,
}

/// When a key was touched.
#[derive(Clone, Debug)]
struct KeyUpdate {
    /// The log's time.
    record_ms: u64,
    /// Key.
    id: ClaimId,
}

/// State of all keys of one claim stream, as long as the log keeps their records.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    /// Times that claims go by.
    policy: ClaimPolicy,
    /// Keys.
    keys: HashMap<ClaimId, KeyState>,
    /// Keys by the time they were touched, oldest first.
    updates: VecDeque<KeyUpdate>,
    /// Attempts that ran although another had their key.
    conflict_count: u64,
}

impl ClaimLedger {
    /// A ledger with nothing in it.
    pub fn new(policy: ClaimPolicy) -> Self {
        Self {
            policy,
            keys: HashMap::new(),
            updates: VecDeque::new(),
            conflict_count: 0,
        }
    }

    /// Keys in the ledger.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is in the ledger.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Attempts that ran although another had their key; more than none is a broken promise.
    pub fn conflict_count(&self) -> u64 {
        self.conflict_count
    }

    /// Takes one record of the log, in the order of offsets.
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

    /// Drops keys whose records the log no longer keeps.
    pub fn drop_expired_keys(&mut self, log_ms: u64) {
        let oldest_ms = log_ms.saturating_sub(self.policy.retention.as_millis() as u64);
        while self
            .updates
            .front()
            .is_some_and(|t| t.record_ms < oldest_ms)
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

    /// What the records so far say of a claim; `None` when neither it nor another is on record.
    pub fn verdict(&self, start: &ClaimStart) -> Option<ClaimVerdict> {
        let state = self.key_state(&start.account, &start.key)?;
        if let Some(reason) = state.exclusion_reason(&start.attempt) {
            return Some(state.excluded_verdict(start, reason));
        }
        state.phase_verdict(start)
    }

    /// Whether a claim's own record was seen, or can no longer change anything.
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

    /// Whether a record is in force; `None` while it was not seen, `false` when it never can be.
    pub fn is_recorded(&self, record: &ClaimRecord) -> Option<bool> {
        match record {
            ClaimRecord::Start(start) => self.is_decided(start).then_some(true),
            ClaimRecord::Outcome(outcome) => self.is_outcome_recorded(outcome),
            ClaimRecord::Release(release) => self.is_release_recorded(release),
            ClaimRecord::Settlement(settlement) => self.is_settlement_recorded(settlement),
        }
    }

    /// Claims without an outcome that were made up to a time of the log.
    pub fn unresolved(&self, before_ms: u64) -> impl Iterator<Item = UnresolvedClaim> + '_ {
        self.keys.values().filter_map(move |state| {
            let KeyPhase::Open(open) = &state.phase else {
                return None;
            };
            (open.claimed_ms <= before_ms).then(|| UnresolvedClaim::from(open))
        })
    }

    /// The log's time from which on an operator's "not run" of an attempt can count.
    pub fn settleable_from_ms(&self, settlement: &ClaimSettlement) -> Option<u64> {
        let state = self.key_state(&settlement.account, &settlement.key)?;
        match &state.phase {
            KeyPhase::Open(open) if open.start.attempt == settlement.attempt => {
                Some(open.claimed_ms + self.policy.settlement_wait().as_millis() as u64)
            }
            _ => None,
        }
    }

    /// State of a key.
    fn key_state(&self, account: &AccountId, key: &RequestKey) -> Option<&KeyState> {
        // The map's key owns its parts; both are short.
        self.keys.get(&ClaimId {
            account: account.clone(),
            key: key.clone(),
        })
    }

    /// State of a key that a record touches.
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

    /// Takes one claim record.
    fn apply_claim_record(&mut self, claim: &ClaimRecord, record_ms: u64) {
        match claim {
            ClaimRecord::Start(start) => self.apply_start(start, record_ms),
            ClaimRecord::Outcome(outcome) => self.apply_outcome(outcome, record_ms),
            ClaimRecord::Release(release) => self.apply_release(release, record_ms),
            ClaimRecord::Settlement(settlement) => self.apply_settlement(settlement, record_ms),
        }
    }

    /// The first claim of a free key gets it; a losing attempt can never get it later.
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

    /// An outcome is a fact, whoever had the key.
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

    /// A release frees the key, and voids the attempt's claims that come later.
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

    /// "Ran" counts at once; "not run" only when the claiming host can no longer dispatch.
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

    /// Whether an outcome is in force.
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

    /// Whether a release is in force, and no other attempt had the key since.
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

    /// Whether a settlement is in force.
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

impl KeyState {
    /// Bars an attempt from the key.
    fn exclude_attempt(&mut self, attempt: &AttemptId, reason: ExclusionReason) {
        self.excluded
            .retain(|excluded| excluded.attempt != *attempt);
        self.excluded.push(ExcludedAttempt {
            attempt: attempt.clone(),
            reason,
        });
    }

    /// Why an attempt is barred from the key, if it is.
    fn exclusion_reason(&self, attempt: &AttemptId) -> Option<ExclusionReason> {
        let excluded = self
            .excluded
            .iter()
            .find(|excluded| excluded.attempt == *attempt);
        excluded.map(|excluded| excluded.reason)
    }

    /// What a barred attempt is told.
    fn excluded_verdict(&self, start: &ClaimStart, reason: ExclusionReason) -> ClaimVerdict {
        if let ExclusionReason::Expired(fault) = reason {
            return ClaimVerdict::Expired(fault.to_string().into());
        }
        let refused = || ClaimVerdict::Refused("the attempt has given its claim up".into());
        self.phase_verdict(start).unwrap_or_else(refused)
    }

    /// What an attempt is told by what the key did.
    fn phase_verdict(&self, start: &ClaimStart) -> Option<ClaimVerdict> {
        let has_other_body = |hash: &str| !hash.is_empty() && *hash != *start.body_hash;
        match &self.phase {
            KeyPhase::Free => None,
            KeyPhase::Open(open) => {
                let holder = open.start.attempt.clone();
                Some(if holder == start.attempt {
                    ClaimVerdict::Won(open.claimed_ms)
                } else if has_other_body(&open.start.body_hash) {
                    ClaimVerdict::Mismatch(holder)
                } else {
                    ClaimVerdict::Busy(holder)
                })
            }
            KeyPhase::Done { body_hash, outcome } if has_other_body(body_hash) => {
                Some(ClaimVerdict::Mismatch(outcome.attempt.clone()))
            }
            KeyPhase::Done { outcome, .. } => Some(ClaimVerdict::Done(outcome.clone())),
            KeyPhase::Settled { body_hash, attempt } if has_other_body(body_hash) => {
                Some(ClaimVerdict::Mismatch(attempt.clone()))
            }
            KeyPhase::Settled { attempt, .. } => Some(ClaimVerdict::Settled(attempt.clone())),
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

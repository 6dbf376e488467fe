//! Fold of claim records into what each key did.

use std::collections::{
    HashMap,
    VecDeque, //
};

use crate::{
    claim_key::{
        self,
        KeyFault, //
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
enum VoidReason {
    /// It gave its claim up.
    Released,
    /// Another attempt had the key.
    Lost,
    /// The key could not be checked.
    Expired(KeyFault),
    /// It was settled as not having run.
    Settled,
    /// It ran, although another attempt had the key.
    Conflict,
}

/// An attempt that can no longer get the key.
#[derive(Clone, Debug)]
struct VoidAttempt {
    /// Attempt.
    attempt: AttemptId,
    /// Why.
    reason: VoidReason,
}

/// State of one key.
#[derive(Clone, Debug, Default)]
struct KeyState {
    /// What it did.
    phase: KeyPhase,
    /// Attempts that can no longer get it, also when their records come late.
    void: Vec<VoidAttempt>,
    /// The log's time of its newest record.
    touched_ms: u64,
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
struct KeyTouch {
    /// The log's time.
    at_ms: u64,
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
    touches: VecDeque<KeyTouch>,
    /// Attempts that ran although another had their key.
    conflicts: u64,
}

impl ClaimLedger {
    /// A ledger with nothing in it.
    pub fn new(policy: ClaimPolicy) -> Self {
        Self {
            policy,
            keys: HashMap::new(),
            touches: VecDeque::new(),
            conflicts: 0,
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
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Takes one record of the log, in the order of offsets.
    pub fn take(&mut self, record: &LogRecord) {
        let Ok(batch) = serde_json::from_str::<ClaimBatch>(&record.data) else {
            return;
        };
        if batch.version != BATCH_VERSION {
            return;
        }
        for claim in &batch.records {
            self.take_claim(claim, record.time_ms);
        }
    }

    /// Drops keys whose records the log no longer keeps.
    pub fn expire(&mut self, log_ms: u64) {
        let oldest_ms = log_ms.saturating_sub(self.policy.retention.as_millis() as u64);
        while self.touches.front().is_some_and(|t| t.at_ms < oldest_ms) {
            let Some(touch) = self.touches.pop_front() else {
                return;
            };
            let stale = |state: &KeyState| state.touched_ms <= touch.at_ms;
            if self.keys.get(&touch.id).is_some_and(stale) {
                self.keys.remove(&touch.id);
            }
        }
    }

    /// What the records so far say of a claim; `None` when neither it nor another is on record.
    pub fn verdict(&self, start: &ClaimStart) -> Option<ClaimVerdict> {
        let state = self.state(&start.account, &start.key)?;
        if let Some(reason) = state.void_reason(&start.attempt) {
            return Some(state.void_verdict(start, reason));
        }
        state.phase_verdict(start)
    }

    /// Whether a claim's own record was seen, or can no longer change anything.
    pub fn is_decided(&self, start: &ClaimStart) -> bool {
        let Some(state) = self.state(&start.account, &start.key) else {
            return false;
        };
        match &state.phase {
            KeyPhase::Done { .. } | KeyPhase::Settled { .. } => true,
            KeyPhase::Open(open) if open.start.attempt == start.attempt => true,
            KeyPhase::Open(_) | KeyPhase::Free => state.void_reason(&start.attempt).is_some(),
        }
    }

    /// Whether a record is in force; `None` while it was not seen, `false` when it never can be.
    pub fn is_recorded(&self, record: &ClaimRecord) -> Option<bool> {
        match record {
            ClaimRecord::Start(start) => self.is_decided(start).then_some(true),
            ClaimRecord::Outcome(outcome) => self.has_outcome(outcome),
            ClaimRecord::Release(release) => self.has_release(release),
            ClaimRecord::Settlement(settlement) => self.has_settlement(settlement),
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
    pub fn settleable_ms(&self, settlement: &ClaimSettlement) -> Option<u64> {
        let state = self.state(&settlement.account, &settlement.key)?;
        match &state.phase {
            KeyPhase::Open(open) if open.start.attempt == settlement.attempt => {
                Some(open.claimed_ms + self.policy.settlement_wait().as_millis() as u64)
            }
            _ => None,
        }
    }

    /// State of a key.
    fn state(&self, account: &AccountId, key: &RequestKey) -> Option<&KeyState> {
        // The map's key owns its parts; both are short.
        self.keys.get(&ClaimId {
            account: account.clone(),
            key: key.clone(),
        })
    }

    /// State of a key that a record touches.
    fn touch(&mut self, account: &AccountId, key: &RequestKey, at_ms: u64) -> &mut KeyState {
        let id = ClaimId {
            account: account.clone(),
            key: key.clone(),
        };
        self.touches.push_back(KeyTouch {
            at_ms,
            id: id.clone(),
        });
        let state = self.keys.entry(id).or_default();
        state.touched_ms = state.touched_ms.max(at_ms);
        state
    }

    /// Takes one claim record.
    fn take_claim(&mut self, claim: &ClaimRecord, at_ms: u64) {
        match claim {
            ClaimRecord::Start(start) => self.take_start(start, at_ms),
            ClaimRecord::Outcome(outcome) => self.take_outcome(outcome, at_ms),
            ClaimRecord::Release(release) => self.take_release(release, at_ms),
            ClaimRecord::Settlement(settlement) => self.take_settlement(settlement, at_ms),
        }
    }

    /// The first claim of a free key gets it; a losing attempt can never get it later.
    fn take_start(&mut self, start: &ClaimStart, at_ms: u64) {
        let checked = claim_key::check(&start.key, at_ms, &self.policy);
        let state = self.touch(&start.account, &start.key, at_ms);
        if state.void_reason(&start.attempt).is_some() {
            return;
        }
        match (&state.phase, checked) {
            (KeyPhase::Open(open), _) if open.start.attempt == start.attempt => {}
            (KeyPhase::Open(_), _) => state.void(&start.attempt, VoidReason::Lost),
            (KeyPhase::Free, Err(fault)) => state.void(&start.attempt, VoidReason::Expired(fault)),
            (KeyPhase::Free, Ok(())) => {
                state.phase = KeyPhase::Open(OpenClaim {
                    start: start.clone(),
                    claimed_ms: at_ms,
                });
            }
            (KeyPhase::Done { .. } | KeyPhase::Settled { .. }, _) => {}
        }
    }

    /// An outcome is a fact, whoever had the key.
    fn take_outcome(&mut self, outcome: &ClaimOutcome, at_ms: u64) {
        let state = self.touch(&outcome.account, &outcome.key, at_ms);
        let body_hash = match &state.phase {
            KeyPhase::Free => "".into(),
            KeyPhase::Open(open) if open.start.attempt == outcome.attempt => {
                open.start.body_hash.clone()
            }
            KeyPhase::Settled { body_hash, attempt } if *attempt == outcome.attempt => {
                body_hash.clone()
            }
            KeyPhase::Done { outcome: known, .. } if known.attempt == outcome.attempt => return,
            KeyPhase::Open(_) | KeyPhase::Settled { .. } | KeyPhase::Done { .. } => {
                if state.void_reason(&outcome.attempt) != Some(VoidReason::Conflict) {
                    state.void(&outcome.attempt, VoidReason::Conflict);
                    self.conflicts += 1;
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
    fn take_release(&mut self, release: &ClaimRelease, at_ms: u64) {
        let state = self.touch(&release.account, &release.key, at_ms);
        match &state.phase {
            KeyPhase::Done { outcome, .. } if outcome.attempt == release.attempt => return,
            KeyPhase::Settled { attempt, .. } if *attempt == release.attempt => return,
            KeyPhase::Open(open) if open.start.attempt == release.attempt => {
                state.phase = KeyPhase::Free;
            }
            _ => {}
        }
        state.void(&release.attempt, VoidReason::Released);
    }

    /// "Ran" counts at once; "not run" only when the claiming host can no longer dispatch.
    fn take_settlement(&mut self, settlement: &ClaimSettlement, at_ms: u64) {
        let wait_ms = self.policy.settlement_wait().as_millis() as u64;
        let state = self.touch(&settlement.account, &settlement.key, at_ms);
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
            SettledAs::NotRun if at_ms >= open.claimed_ms + wait_ms => {
                state.phase = KeyPhase::Free;
                state.void(&settlement.attempt, VoidReason::Settled);
            }
            SettledAs::NotRun => {}
        }
    }

    /// Whether an outcome is in force.
    fn has_outcome(&self, outcome: &ClaimOutcome) -> Option<bool> {
        let state = self.state(&outcome.account, &outcome.key)?;
        let conflict = state.void_reason(&outcome.attempt) == Some(VoidReason::Conflict);
        match &state.phase {
            KeyPhase::Done { outcome: known, .. } if known.attempt == outcome.attempt => Some(true),
            _ => conflict.then_some(true),
        }
    }

    /// Whether a release is in force, and no other attempt had the key since.
    fn has_release(&self, release: &ClaimRelease) -> Option<bool> {
        let state = self.state(&release.account, &release.key)?;
        let free = matches!(state.phase, KeyPhase::Free);
        match &state.phase {
            KeyPhase::Done { outcome, .. } if outcome.attempt == release.attempt => Some(false),
            KeyPhase::Settled { attempt, .. } if *attempt == release.attempt => Some(false),
            _ => match state.void_reason(&release.attempt)? {
                VoidReason::Released => Some(free),
                _ => Some(false),
            },
        }
    }

    /// Whether a settlement is in force.
    fn has_settlement(&self, settlement: &ClaimSettlement) -> Option<bool> {
        let state = self.state(&settlement.account, &settlement.key)?;
        let ran = match &state.phase {
            KeyPhase::Done { outcome, .. } => outcome.attempt == settlement.attempt,
            KeyPhase::Settled { attempt, .. } => *attempt == settlement.attempt,
            KeyPhase::Open(_) | KeyPhase::Free => false,
        };
        let void = state.void_reason(&settlement.attempt);
        match settlement.settled {
            SettledAs::Ran if ran => Some(true),
            SettledAs::NotRun if void.is_some() => Some(void != Some(VoidReason::Conflict)),
            _ if ran || void.is_some() => Some(false),
            _ => None,
        }
    }
}

impl KeyState {
    /// Bars an attempt from the key.
    fn void(&mut self, attempt: &AttemptId, reason: VoidReason) {
        self.void.retain(|known| known.attempt != *attempt);
        self.void.push(VoidAttempt {
            attempt: attempt.clone(),
            reason,
        });
    }

    /// Why an attempt is barred from the key, if it is.
    fn void_reason(&self, attempt: &AttemptId) -> Option<VoidReason> {
        let known = self.void.iter().find(|known| known.attempt == *attempt);
        known.map(|known| known.reason)
    }

    /// What a barred attempt is told.
    fn void_verdict(&self, start: &ClaimStart, reason: VoidReason) -> ClaimVerdict {
        if let VoidReason::Expired(fault) = reason {
            return ClaimVerdict::Expired(fault.to_string().into());
        }
        let refused = || ClaimVerdict::Refused("the attempt has given its claim up".into());
        self.phase_verdict(start).unwrap_or_else(refused)
    }

    /// What an attempt is told by what the key did.
    fn phase_verdict(&self, start: &ClaimStart) -> Option<ClaimVerdict> {
        let other_body = |hash: &str| !hash.is_empty() && *hash != *start.body_hash;
        match &self.phase {
            KeyPhase::Free => None,
            KeyPhase::Open(open) => {
                let holder = open.start.attempt.clone();
                Some(if holder == start.attempt {
                    ClaimVerdict::Won(open.claimed_ms)
                } else if other_body(&open.start.body_hash) {
                    ClaimVerdict::Mismatch(holder)
                } else {
                    ClaimVerdict::Busy(holder)
                })
            }
            KeyPhase::Done { body_hash, outcome } if other_body(body_hash) => {
                Some(ClaimVerdict::Mismatch(outcome.attempt.clone()))
            }
            KeyPhase::Done { outcome, .. } => Some(ClaimVerdict::Done(outcome.clone())),
            KeyPhase::Settled { body_hash, attempt } if other_body(body_hash) => {
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

//! State of one idempotency key, and the verdicts that follow from it.

use crate::{
    claim_key::KeyError,
    ids::AttemptId,
    schema::{
        ClaimOutcome,
        ClaimStart,
        ClaimVerdict, //
    },
};

/// The claim that currently holds a key.
#[derive(Clone, Debug)]
pub(super) struct OpenClaim {
    pub(super) start: ClaimStart,
    /// Log time of the claim record.
    pub(super) claimed_ms: u64,
}

/// Progress of a key.
#[derive(Clone, Debug, Default)]
pub(super) enum KeyPhase {
    /// No attempt holds the key.
    #[default]
    Free,
    /// An attempt holds the key and has no recorded outcome.
    Open(OpenClaim),
    /// The request ran and its outcome is recorded.
    Done {
        /// Hash of template and body. Empty if the claim was not read.
        body_hash: Box<str>,
        /// The recorded outcome.
        outcome: ClaimOutcome,
    },
    /// The request was settled as having run, without a recorded answer.
    Settled {
        /// Hash of template and body.
        body_hash: Box<str>,
        /// The attempt that is considered to have run.
        attempt: AttemptId,
    },
}

/// Reason why an attempt can no longer claim the key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ExclusionReason {
    /// The attempt released its claim.
    Released,
    /// Another attempt held the key.
    Lost,
    /// The key was too old, too new or malformed when the claim reached the log.
    Expired(KeyError),
    /// The attempt was settled as not run.
    Settled,
    /// The attempt ran although another attempt held the key.
    Conflict,
}

/// An attempt that can no longer claim the key.
#[derive(Clone, Debug)]
pub(super) struct ExcludedAttempt {
    pub(super) attempt: AttemptId,
    pub(super) reason: ExclusionReason,
}

/// Progress of a key, and who can no longer claim it.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyState {
    pub(super) phase: KeyPhase,
    /// Attempts that can no longer claim the key, even if their records arrive later.
    pub(super) excluded: Vec<ExcludedAttempt>,
    /// Log time of the newest record of the key.
    pub(super) updated_ms: u64,
}

impl KeyState {
    /// Excludes an attempt from claiming the key.
    pub(super) fn exclude_attempt(&mut self, attempt: &AttemptId, reason: ExclusionReason) {
        self.excluded
            .retain(|excluded| excluded.attempt != *attempt);
        self.excluded.push(ExcludedAttempt {
            attempt: attempt.clone(),
            reason,
        });
    }

    /// Why an attempt is excluded from the key; `None` if it is not.
    pub(super) fn exclusion_reason(&self, attempt: &AttemptId) -> Option<ExclusionReason> {
        let excluded = self
            .excluded
            .iter()
            .find(|excluded| excluded.attempt == *attempt);
        excluded.map(|excluded| excluded.reason)
    }

    /// Verdict for an excluded attempt.
    pub(super) fn excluded_verdict(
        &self,
        start: &ClaimStart,
        reason: ExclusionReason,
    ) -> ClaimVerdict {
        if let ExclusionReason::Expired(fault) = reason {
            return ClaimVerdict::Expired(fault.to_string().into());
        }
        let refused_verdict = || ClaimVerdict::Refused("the attempt has given its claim up".into());
        self.phase_verdict(start).unwrap_or_else(refused_verdict)
    }

    /// Verdict that follows from the phase of the key; `None` if the key is free.
    pub(super) fn phase_verdict(&self, start: &ClaimStart) -> Option<ClaimVerdict> {
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

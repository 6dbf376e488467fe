//! Checks a request against the quota of its account.

use std::time::Duration;

use tokio::time::Instant;
use wagtaildoor::{
    boot_clock::BootInstant,
    error::{
        ErrorKind,
        RequestError, //
    },
};

use crate::{
    account_quota::{
        quota_grant::QuotaGrant,
        quota_ledger::QuotaRefusal, //
    },
    caller_request::{
        return_time,
        CallerRequest,
        Result, //
    },
    wire_codec::WireCodec,
};

impl<C: WireCodec> CallerRequest<C> {
    /// Asks for the units that the request costs, before it takes a place in line.
    pub(super) fn acquire_quota(&mut self, now: BootInstant) -> Result<()> {
        let Some(account) = &self.account else {
            return Ok(());
        };
        let tokens = self.head.stated_tokens;
        match QuotaGrant::acquire(&self.front.quotas, &account.id, tokens, now) {
            Ok(grant) => {
                if grant.units() > 0 {
                    self.front.metrics.record_quota("granted", grant.units());
                }
                self.grant = Some(grant);
                Ok(())
            }
            Err(refusal) => Err(self.refuse_quota(&refusal)),
        }
    }

    /// Makes the units returnable if no earlier send may have run.
    pub(super) fn release_grant(&mut self) {
        if self.possible_runs > 0 {
            return;
        }
        if let Some(grant) = &mut self.grant {
            grant.mark_not_run();
        }
    }

    /// Error for a request beyond its account's quota, and the time for its return.
    fn refuse_quota(&mut self, refusal: &QuotaRefusal) -> RequestError {
        let (kind, cost, wait) = match *refusal {
            QuotaRefusal::TooSoon { cost, wait, .. } => (ErrorKind::AccountLimited, cost, wait),
            QuotaRefusal::TooLarge { cost, .. } => {
                (ErrorKind::LargerThanQuota, cost, Duration::ZERO)
            }
        };
        self.front.metrics.record_quota("refused", cost);
        let left = self.deadline.saturating_duration_since(Instant::now());
        self.retry_after = Some(return_time::spread(
            wait,
            left,
            self.head.attempt.as_deref(),
        ));
        RequestError::new(kind, refusal.to_string())
    }
}

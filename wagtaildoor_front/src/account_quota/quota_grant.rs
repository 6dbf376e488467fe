//! Units that a request has been granted, returned unless the request may have run.

use std::{
    cell::RefCell,
    rc::Rc, //
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::AccountId, //
};

use crate::account_quota::quota_ledger::{
    QuotaLedger,
    Result, //
};

/// Units of one request. They go back to the account when the grant is dropped, unless the request
/// may have run by then.
#[derive(Debug)]
pub struct QuotaGrant {
    ledger: Rc<RefCell<QuotaLedger>>,
    account: AccountId,
    units: u64,
    /// Whether an endpoint may have begun the request.
    may_have_run: bool,
}

impl QuotaGrant {
    /// Asks for the units of a request with the given number of tokens; `None` if it states none.
    ///
    /// # Errors
    ///
    /// Fails if the request is beyond the account's quota; it must not run then.
    pub fn acquire(
        ledger: &Rc<RefCell<QuotaLedger>>,
        account: &AccountId,
        tokens: Option<u64>,
        now: BootInstant,
    ) -> Result<Self> {
        let units = ledger.borrow_mut().try_acquire(account, tokens, now)?;
        Ok(Self {
            ledger: ledger.clone(),
            account: account.clone(),
            units,
            may_have_run: false,
        })
    }

    /// Units of the request; 0 if its account has no quota.
    pub fn units(&self) -> u64 {
        self.units
    }

    /// Keeps the units, since the request is on its way to an endpoint.
    pub fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Makes the units returnable again, since no endpoint ran the request.
    pub fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }
}

impl Drop for QuotaGrant {
    fn drop(&mut self) {
        if self.units > 0 && !self.may_have_run {
            let now = BootInstant::now();
            let mut ledger = self.ledger.borrow_mut();
            ledger.give_back(&self.account, self.units, now);
        }
    }
}

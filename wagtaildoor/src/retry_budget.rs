//! Budget for additional attempts: retries and hedges.

use std::sync::{
    Mutex,
    PoisonError, //
};

/// Credit that one additional attempt costs.
const ATTEMPT_CREDIT: u64 = 100;
/// Initial and maximum credit, in attempts.
const MAX_SAVED_ATTEMPTS: u64 = 10;

/// Budget of additional attempts in proportion to first attempts.
///
/// If many endpoints fail, retries add at most this proportion to the load of the remaining ones.
#[derive(Debug)]
pub struct AttemptBudget {
    /// Credit earned by each first attempt.
    credit_per_attempt: u64,
    credit: Mutex<u64>,
}

impl AttemptBudget {
    /// Creates a budget of `percent` additional attempts per 100 first attempts.
    pub fn new(percent: u32) -> Self {
        Self {
            credit_per_attempt: u64::from(percent),
            credit: Mutex::new(MAX_SAVED_ATTEMPTS * ATTEMPT_CREDIT),
        }
    }

    /// Earns the credit of a first attempt.
    pub fn record_first_attempt(&self) {
        let mut credit = self.credit.lock().unwrap_or_else(PoisonError::into_inner);
        *credit = (*credit + self.credit_per_attempt).min(MAX_SAVED_ATTEMPTS * ATTEMPT_CREDIT);
    }

    /// Spends the credit of one additional attempt; returns false if there is not enough.
    pub fn try_acquire(&self) -> bool {
        let mut credit = self.credit.lock().unwrap_or_else(PoisonError::into_inner);
        let left = credit.checked_sub(ATTEMPT_CREDIT);
        *credit = left.unwrap_or(*credit);
        left.is_some()
    }
}

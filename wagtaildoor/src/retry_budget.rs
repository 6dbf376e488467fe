//! Budgets for attempts beyond the first: retries and hedges.

use std::sync::{
    Mutex,
    PoisonError, //
};

/// Credit of one attempt.
const ATTEMPT_CREDIT: u64 = 100;
/// Attempts that may be saved up, and that a fresh budget has.
const MAX_SAVED_ATTEMPTS: u64 = 10;

/// Extra attempts in proportion to first attempts.
///
/// When endpoints fail in numbers, retries can add no more than this part to the load that the
/// others have to carry.
#[derive(Debug)]
pub struct AttemptBudget {
    /// Credit that each first attempt adds.
    credit_per_attempt: u64,
    /// Credit at hand.
    credit: Mutex<u64>,
}

impl AttemptBudget {
    /// A budget of so many extra attempts for each hundred first ones.
    pub fn new(percent: u32) -> Self {
        Self {
            credit_per_attempt: u64::from(percent),
            credit: Mutex::new(MAX_SAVED_ATTEMPTS * ATTEMPT_CREDIT),
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&self) {
        let mut credit = self.credit.lock().unwrap_or_else(PoisonError::into_inner);
        *credit = (*credit + self.credit_per_attempt).min(MAX_SAVED_ATTEMPTS * ATTEMPT_CREDIT);
    }

    /// Takes one extra attempt, when there is credit.
    pub fn try_acquire(&self) -> bool {
        let mut credit = self.credit.lock().unwrap_or_else(PoisonError::into_inner);
        let left = credit.checked_sub(ATTEMPT_CREDIT);
        *credit = left.unwrap_or(*credit);
        left.is_some()
    }
}

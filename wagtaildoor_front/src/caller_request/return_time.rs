//! When a refused caller should return.

use std::time::Duration;

use crate::prefix_hash;

/// Shortest time after which a refused caller is asked to return.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Part of the time that a caller has left, as a divisor, after which it is asked to return at the
/// earliest.
const RETRY_AFTER_DIVISOR: u32 = 8;
/// Part of the time that a caller has left, as a divisor, up to which it waits before it returns.
const MAX_RETRY_AFTER_DIVISOR: u32 = 3;
/// Largest random extension of the time after which callers return, as a share of it.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// Time after which the caller of an attempt should return: when there is room after `wait`, within
/// the time that it has `left`, and not together with all others.
pub(super) fn spread(wait: Duration, left: Duration, attempt: Option<&str>) -> Duration {
    let draw = prefix_hash::text_hash(attempt.unwrap_or_default());
    let factor = 1.0 + draw as f64 / u64::MAX as f64 * RETRY_AFTER_SPREAD;
    let latest = left / MAX_RETRY_AFTER_DIVISOR;
    let after = wait.max(left / RETRY_AFTER_DIVISOR).max(MIN_RETRY_AFTER);
    after.min(latest).mul_f64(factor).min(latest)
}

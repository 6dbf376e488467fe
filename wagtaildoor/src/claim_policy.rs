//! Timeouts, margins and limits for claims.

use std::time::Duration;

/// Time after requesting a claim during which the request may be sent to an endpoint.
pub const DISPATCH_WINDOW: Duration = Duration::from_secs(5);
/// Time after the dispatch window from which an operator may settle an attempt as not run.
const SETTLEMENT_MARGIN: Duration = Duration::from_secs(25);
/// Upper bound of `ClaimPolicy::key_margin`.
const MAX_KEY_MARGIN: Duration = Duration::from_secs(3600);
/// Upper bound of `ClaimPolicy::key_skew`.
const MAX_KEY_SKEW: Duration = Duration::from_secs(300);
/// Maximum time that a duplicate request waits for the outcome of the first one.
const BUSY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 256;
/// Minimum time between two appends to the same stream.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum time to wait for the response to an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before records whose append got no response are appended again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeouts, margins and limits for claims.
///
/// The number of streams, the retention, the dispatch window and the margins determine what a
/// record means, so they must be the same on all hosts. The other values may differ between hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimPolicy {
    /// Number of log streams that claims are distributed over, at least 1.
    pub shards: u32,
    /// Time for which the log keeps records.
    pub retention: Duration,
    /// Time before the end of the retention at which keys expire. Must be greater than `key_skew`.
    pub key_margin: Duration,
    /// Maximum time by which the clock of a client may be ahead of the log.
    pub key_skew: Duration,
    /// Time after requesting a claim during which the request may be sent to an endpoint.
    pub dispatch_window: Duration,
    /// Time after the dispatch window from which an operator may settle an attempt as not run.
    pub settlement_margin: Duration,
    /// Maximum time that a duplicate request waits for the outcome of the first one.
    pub busy_timeout: Duration,
    /// Maximum number of records in one append.
    pub batch_records: usize,
    /// Minimum time between two appends to the same stream.
    pub append_spacing: Duration,
    /// Maximum time to wait for the response to an append.
    pub append_timeout: Duration,
    /// Delay before records whose append got no response are appended again.
    pub append_retry_delay: Duration,
}

impl ClaimPolicy {
    /// Creates the policy for a log with `shards` claim streams and the given retention.
    pub fn new(shards: u32, retention: Duration) -> Self {
        Self {
            shards: shards.max(1),
            retention,
            key_margin: MAX_KEY_MARGIN.min(retention / 4),
            key_skew: MAX_KEY_SKEW.min(retention / 12),
            dispatch_window: DISPATCH_WINDOW,
            settlement_margin: SETTLEMENT_MARGIN,
            busy_timeout: BUSY_TIMEOUT,
            batch_records: MAX_BATCH_RECORDS,
            append_spacing: MIN_APPEND_INTERVAL,
            append_timeout: APPEND_TIMEOUT,
            append_retry_delay: APPEND_RETRY_DELAY,
        }
    }

    /// Time after the claim record from which an operator may settle an attempt as not run.
    pub fn settlement_wait(&self) -> Duration {
        self.dispatch_window + self.settlement_margin
    }
}

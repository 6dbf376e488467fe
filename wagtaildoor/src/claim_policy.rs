//! The times that claims go by, the same on all hosts.

use std::time::Duration;

/// Time from asking for a claim within which its request may be written to an endpoint.
pub const DISPATCH_WINDOW: Duration = Duration::from_secs(5);
/// Time after the window before an operator's "not run" can count.
const SETTLEMENT_MARGIN: Duration = Duration::from_secs(25);
/// Longest time by which keys expire before the log may drop their claims.
const MAX_KEY_MARGIN: Duration = Duration::from_secs(3600);
/// Longest time by which a caller's clock may be ahead of the log's.
const MAX_KEY_SKEW: Duration = Duration::from_secs(300);
/// Longest wait of a copy of a request for the outcome of the first.
const BUSY_TIMEOUT: Duration = Duration::from_secs(2);
/// Records that one append carries at most.
const MAX_BATCH_RECORDS: usize = 256;
/// Shortest time between two appends to one stream.
const MIN_APPEND_INTERVAL: Duration = Duration::from_millis(4);
/// Longest wait for the answer to an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait before records without an answer are appended again.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The times that claims go by.
///
/// Streams, retention, window and margins decide what a record means, so all hosts must have the
/// same; the rest is each host's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimPolicy {
    /// Streams the claims are spread over.
    pub shards: u32,
    /// How long the log keeps records.
    pub retention: Duration,
    /// Time by which keys expire before the log may drop their claims; greater than the skew.
    pub key_margin: Duration,
    /// Time by which a caller's clock may be ahead of the log's.
    pub key_skew: Duration,
    /// Time from asking for a claim within which its request may be written to an endpoint.
    pub dispatch_window: Duration,
    /// Time after the window before an operator's "not run" can count.
    pub settlement_margin: Duration,
    /// Longest wait of a copy of a request for the outcome of the first.
    pub busy_timeout: Duration,
    /// Records that one append carries at most.
    pub batch_records: usize,
    /// Shortest time between two appends to one stream.
    pub append_spacing: Duration,
    /// Longest wait for the answer to an append.
    pub append_timeout: Duration,
    /// Wait before records without an answer are appended again.
    pub append_retry_delay: Duration,
}

impl ClaimPolicy {
    /// The policy for a log with so many claim streams and such a retention.
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

    /// Time from a claim's record after which an operator's "not run" can count.
    pub fn settlement_wait(&self) -> Duration {
        self.dispatch_window + self.settlement_margin
    }
}

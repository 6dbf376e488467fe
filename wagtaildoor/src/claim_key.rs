//! Age of idempotency keys, judged by the log's time.

use std::time::Duration;

use uuid::Uuid;

use crate::{
    claim_policy::ClaimPolicy,
    ids::RequestKey, //
};

/// Result of a check.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Why a key cannot be checked against the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum KeyError {
    /// It is not a UUIDv7.
    #[display("the key is not a UUIDv7")]
    Malformed,
    /// A claim of it may have left the log already.
    #[display("the key is older than the log can tell of")]
    TooOld,
    /// Its time lies in the future.
    #[display("the key's time lies in the future")]
    TooNew,
}

/// The one spelling of a key.
pub fn canonicalize_key(key: &str) -> Result<RequestKey> {
    let id = parse_key(key)?;
    Ok(id.hyphenated().to_string().into())
}

/// Time that a key was made, in milliseconds since the Unix epoch, by its maker's clock.
pub fn created_ms(key: &str) -> Result<u64> {
    let id = parse_key(key)?;
    let timestamp = id.get_timestamp().ok_or(KeyError::Malformed)?;
    let (seconds, nanos) = timestamp.to_unix();
    Ok(seconds * 1000 + u64::from(nanos / 1_000_000))
}

/// Checks that at a time of the log every claim of a key is still in it.
///
/// A first claim can come at most `key_skew` before the key's own time. It is kept for the
/// retention, so that a key younger than retention less `key_margin`, which is the greater of the
/// two, has all of its claims in the log.
pub fn check_key_age(key: &str, log_ms: u64, policy: &ClaimPolicy) -> Result<()> {
    let created_ms = created_ms(key)?;
    if created_ms > log_ms + millis(policy.key_skew) {
        return Err(KeyError::TooNew);
    }
    let max_age = policy.retention.saturating_sub(policy.key_margin);
    if log_ms > created_ms + millis(max_age) {
        return Err(KeyError::TooOld);
    }
    Ok(())
}

/// Reads a key.
fn parse_key(key: &str) -> Result<Uuid> {
    let id = Uuid::try_parse(key).map_err(|_| KeyError::Malformed)?;
    if id.get_version_num() != 7 {
        return Err(KeyError::Malformed);
    }
    Ok(id)
}

/// Whole milliseconds.
fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

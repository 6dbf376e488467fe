//! Validation of idempotency keys against the time and retention of the log.

use std::time::Duration;

use uuid::Uuid;

use crate::{
    claim_policy::ClaimPolicy,
    ids::RequestKey, //
};

/// Result of reading or checking an idempotency key.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Reason why a key cannot be checked against the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum KeyError {
    /// The key is not a UUIDv7.
    #[display("the key is not a UUIDv7")]
    Malformed,
    /// The log may already have dropped a claim of this key.
    #[display("the key is older than the log can tell of")]
    TooOld,
    /// The timestamp of the key lies in the future.
    #[display("the key's time lies in the future")]
    TooNew,
}

/// Returns the key in lowercase hyphenated form, so that all spellings of a UUID compare equal.
pub fn canonicalize_key(key: &str) -> Result<RequestKey> {
    let id = parse_key(key)?;
    Ok(id.hyphenated().to_string().into())
}

/// Returns the creation time of a key in milliseconds since the Unix epoch.
///
/// The time comes from the clock of the client that created the key.
pub fn created_ms(key: &str) -> Result<u64> {
    let id = parse_key(key)?;
    let timestamp = id.get_timestamp().ok_or(KeyError::Malformed)?;
    let (seconds, nanos) = timestamp.to_unix();
    Ok(seconds * 1000 + u64::from(nanos / 1_000_000))
}

/// Checks that the log still holds every claim of a key at log time `log_ms`.
///
/// The first claim of a key can precede the timestamp of the key by at most `key_skew`, and the
/// log keeps it for `retention`. `key_margin` is greater than `key_skew`, so the log still holds
/// all claims of a key that is younger than `retention - key_margin`.
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

fn parse_key(key: &str) -> Result<Uuid> {
    let id = Uuid::try_parse(key).map_err(|_| KeyError::Malformed)?;
    if id.get_version_num() != 7 {
        return Err(KeyError::Malformed);
    }
    Ok(id)
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

//! Request headers of callers.

use http::{
    header,
    HeaderMap, //
};

/// Prefix of the token in the `Authorization` header.
const BEARER_SCHEME: &str = "Bearer ";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Token and idempotency key of a request.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// Bearer token. `None` if the header is missing or has another scheme.
    pub token: Option<Box<str>>,
    /// Idempotency key. Several different keys are joined with commas, which makes the key invalid.
    pub key: Option<Box<str>>,
}

impl From<&HeaderMap> for CallerHeaders {
    fn from(headers: &HeaderMap) -> Self {
        let token = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER_SCHEME))
            .map(Box::from);
        let keys = headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
        // A key that is not visible ASCII becomes "?", which is rejected later as malformed.
        let mut keys: Vec<&str> = keys.map(|key| key.to_str().unwrap_or("?")).collect();
        keys.dedup();
        let key = (!keys.is_empty()).then(|| keys.join(", ").into());
        Self { token, key }
    }
}

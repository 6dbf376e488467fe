//! What a caller says in the headers of a request.

use http::{
    header,
    HeaderMap, //
};

/// Scheme before the token.
const BEARER_SCHEME: &str = "Bearer ";
/// Header with the idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The headers that matter.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// Bearer token.
    pub token: Option<Box<str>>,
    /// Idempotency key; several that differ stand side by side, and are then no key.
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
        // A key that is no text stays one that cannot be read, and is refused as such.
        let mut keys: Vec<&str> = keys.map(|key| key.to_str().unwrap_or("?")).collect();
        keys.dedup();
        let key = (!keys.is_empty()).then(|| keys.join(", ").into());
        Self { token, key }
    }
}

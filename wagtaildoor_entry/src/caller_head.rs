//! What a caller says in the headers of a request.

use std::convert::Infallible;

use rocket::{
    request::{
        FromRequest,
        Outcome, //
    },
    Request,
};

/// Scheme before the token.
const BEARER: &str = "Bearer ";

/// The headers that matter.
#[derive(Clone, Debug)]
pub struct CallerHead {
    /// Bearer token.
    pub token: Option<Box<str>>,
    /// Idempotency key; several that differ stand side by side, and are then no key.
    pub key: Option<Box<str>>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallerHead {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let headers = request.headers();
        let token = headers
            .get_one("authorization")
            .and_then(|value| value.strip_prefix(BEARER))
            .map(Box::from);
        let mut keys: Vec<&str> = headers.get("idempotency-key").collect();
        keys.dedup();
        let key = (!keys.is_empty()).then(|| keys.join(", ").into());
        Outcome::Success(Self { token, key })
    }
}

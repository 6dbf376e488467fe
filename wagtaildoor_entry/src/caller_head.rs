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
    /// Idempotency key.
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
        let key = headers.get_one("idempotency-key").map(Box::from);
        Outcome::Success(Self { token, key })
    }
}

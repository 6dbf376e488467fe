//! Query parameters of `GET /timeline`.

use rocket::{
    form::Form,
    FromForm, //
};
use wagtaildoor::timeline::EventFilter;

/// Filter for timeline events. A parameter that is absent matches all events.
#[derive(Clone, Debug, FromForm)]
pub struct TimelineQuery {
    request: Option<String>,
    /// ID of the client account.
    account: Option<String>,
    endpoint: Option<String>,
    /// Earliest time, in milliseconds since the Unix epoch.
    from_ms: Option<u64>,
    /// Latest time, in milliseconds since the Unix epoch.
    to_ms: Option<u64>,
    /// Maximum number of events; the newest ones are returned.
    newest: Option<usize>,
}

impl TimelineQuery {
    /// Parses a query string. The error is a sentence for the response.
    pub fn parse(query: &str) -> Result<Self, String> {
        Form::parse(query).map_err(|errors| format!("the query cannot be read: {errors}"))
    }
}

impl From<TimelineQuery> for EventFilter {
    fn from(query: TimelineQuery) -> Self {
        Self {
            request: query.request.map(Box::from),
            account: query.account.map(Box::from),
            endpoint: query.endpoint.map(Box::from),
            from_ms: query.from_ms,
            to_ms: query.to_ms,
            newest: query.newest,
            ..Self::default()
        }
    }
}

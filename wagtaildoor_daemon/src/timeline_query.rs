//! The query of `GET /timeline`.

use rocket::{
    form::Form,
    FromForm, //
};
use wagtaildoor::timeline::EventFilter;

/// Which events are asked for; what is left out asks for all.
#[derive(Clone, Debug, FromForm)]
pub struct TimelineQuery {
    /// Request.
    request: Option<String>,
    /// Client account.
    account: Option<String>,
    /// Endpoint.
    endpoint: Option<String>,
    /// Earliest time, in milliseconds since the Unix epoch.
    from_ms: Option<u64>,
    /// Latest time, in milliseconds since the Unix epoch.
    to_ms: Option<u64>,
    /// So many events at most, the newest ones.
    newest: Option<usize>,
}

impl TimelineQuery {
    /// Reads a query; the error is a sentence for whoever asked.
    pub fn parse(query: &str) -> Result<Self, String> {
        Form::parse(query).map_err(|faults| format!("the query cannot be read: {faults}"))
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

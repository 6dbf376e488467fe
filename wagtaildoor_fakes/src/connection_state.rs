//! State of an endpoint that its connections follow.

use tokio::time::Instant;

/// What the connections of an endpoint depend on.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionState {
    /// Ends each response with its connection, without a content length or chunks.
    pub close_delimited: bool,
    /// Number of crashes that cut all connections.
    pub crashes: u64,
    /// Time at which the endpoint listens again after the last of them.
    pub down_until: Option<Instant>,
}

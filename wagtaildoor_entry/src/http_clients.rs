//! HTTP clients for calls to endpoints.

use std::time::Duration;

use reqwest::{
    redirect,
    retry,
    Client, //
};

/// Result of building the HTTP clients.
pub type Result<T> = std::result::Result<T, reqwest::Error>;

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP clients for idempotent and for at-most-once calls.
#[derive(Clone, Debug)]
pub struct HttpClients {
    /// Client for idempotent calls, which reuses connections.
    pub idempotent: Client,
    /// Client for calls that may run at most once. It opens a new connection for each call, so that
    /// the HTTP library never retries a call on a stale connection.
    pub at_most_once: Client,
}

impl HttpClients {
    /// Builds both clients. Fails if the TLS backend cannot be initialized.
    pub fn new() -> Result<Self> {
        let at_most_once = base_builder().pool_max_idle_per_host(0).build()?;
        Ok(Self {
            idempotent: base_builder().build()?,
            at_most_once,
        })
    }
}

/// Returns a builder without retries, redirects or proxies, so that each call is sent once, to the
/// given address only.
fn base_builder() -> reqwest::ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
}

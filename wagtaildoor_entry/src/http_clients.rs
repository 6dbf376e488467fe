//! HTTP clients towards endpoints.

use std::time::Duration;

use reqwest::{
    redirect,
    retry,
    Client, //
};

/// Result of building the clients.
pub type Result<T> = std::result::Result<T, reqwest::Error>;

/// Longest wait for a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One client for each kind of call.
#[derive(Clone, Debug)]
pub struct HttpClients {
    /// For idempotent calls; keeps connections.
    pub idempotent: Client,
    /// For calls that may run at most once: a fresh connection each, and no retry below us.
    pub at_most_once: Client,
}

impl HttpClients {
    /// Builds the clients.
    pub fn new() -> Result<Self> {
        let at_most_once = base_builder().pool_max_idle_per_host(0).build()?;
        Ok(Self {
            idempotent: base_builder().build()?,
            at_most_once,
        })
    }
}

/// What both clients share: nothing is repeated or sent elsewhere behind our back.
fn base_builder() -> reqwest::ClientBuilder {
    Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
}

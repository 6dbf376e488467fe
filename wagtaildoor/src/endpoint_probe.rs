//! Reads load reports and cache events from endpoints.

use std::{
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use serde::de::DeserializeOwned;

use crate::schema::{
    CacheEventPage,
    LoadReport, //
};

/// Result of a read from an endpoint.
pub type Result<T> = std::result::Result<T, ProbeError>;

/// The endpoint could not be reached, returned an error status or an invalid body.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("failed to read endpoint: {reason}")]
pub struct ProbeError {
    /// Error text of the HTTP client.
    #[error(not(source))]
    pub reason: Box<str>,
}

/// Source of endpoint reports; a trait so that tests can replace HTTP.
pub trait EndpointProbe: Clone + Send + Sync + 'static {
    /// Reads the load report of the endpoint.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Result<LoadReport>> + Send;

    /// Reads the cache events of the endpoint, starting at sequence number `from`.
    fn events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> impl Future<Output = Result<CacheEventPage>> + Send;
}

/// Reads endpoints over HTTP, without redirects or proxies.
#[derive(Clone)]
pub struct HttpProbe {
    client: reqwest::Client,
}

impl HttpProbe {
    /// Creates a probe with a timeout for each request. Fails if the HTTP client cannot be built.
    pub fn new(timeout: Duration) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(timeout)
            .build()
            .map_err(to_probe_error)?;
        Ok(Self { client })
    }

    /// Sends a GET request and decodes the JSON body.
    async fn fetch_json<T: DeserializeOwned>(&self, url: String) -> Result<T> {
        let response = self.client.get(url).send().await.map_err(to_probe_error)?;
        let response = response.error_for_status().map_err(to_probe_error)?;
        response.json().await.map_err(to_probe_error)
    }
}

impl EndpointProbe for HttpProbe {
    async fn load(&self, address: SocketAddr) -> Result<LoadReport> {
        self.fetch_json(format!("http://{address}/load")).await
    }

    async fn events(&self, address: SocketAddr, from: u64) -> Result<CacheEventPage> {
        self.fetch_json(format!("http://{address}/cache-events?from={from}"))
            .await
    }
}

fn to_probe_error(error: reqwest::Error) -> ProbeError {
    ProbeError {
        reason: error.to_string().into(),
    }
}

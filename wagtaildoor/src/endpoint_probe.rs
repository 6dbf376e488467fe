//! How a keeper reads an endpoint's load report and cache events.

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

/// Result of a read.
pub type Result<T> = std::result::Result<T, ProbeError>;

/// The endpoint did not answer, or not sensibly.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("endpoint not read: {reason}")]
pub struct ProbeError {
    /// What went wrong.
    #[error(not(source))]
    pub reason: Box<str>,
}

/// Reads endpoints.
pub trait EndpointProbe: Clone + Send + Sync + 'static {
    /// The endpoint's load report.
    fn load(&self, address: SocketAddr) -> impl Future<Output = Result<LoadReport>> + Send;

    /// The endpoint's cache events from a sequence number on.
    fn events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> impl Future<Output = Result<CacheEventPage>> + Send;
}

/// Reads endpoints over HTTP.
#[derive(Clone)]
pub struct HttpProbe {
    /// Client.
    client: reqwest::Client,
}

impl HttpProbe {
    /// A probe that waits so long for each answer.
    pub fn new(timeout: Duration) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(timeout)
            .build()
            .map_err(to_probe_error)?;
        Ok(Self { client })
    }

    /// Reads a body.
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

/// The error of a client.
fn to_probe_error(error: reqwest::Error) -> ProbeError {
    ProbeError {
        reason: error.to_string().into(),
    }
}

//! HTTP calls to model engines.

use std::net::SocketAddr;

use eventsource_stream::Eventsource;
use futures_util::{
    Stream,
    StreamExt, //
};
use reqwest::{
    header::HeaderMap,
    Client,
    Response,
    StatusCode, //
};
use wagtaildoor::{
    ids::{
        AttemptId,
        BootId,
        EndpointId,
        WeightsVersion, //
    },
    schema::{
        EndpointNews,
        EngineChunk,
        EngineRequest, //
    },
};

/// Result of a call to an endpoint.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call to an endpoint failed.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// The connection failed before anything was sent.
    #[display("no connection: {_0}")]
    NotSent(#[error(not(source))] Box<str>),
    /// The endpoint rejected the request without running it.
    #[display("the endpoint refused: {_0}")]
    Refused(#[error(not(source))] Box<str>),
    /// The endpoint serves another version of the weights and did not run the request.
    #[display("the endpoint serves other weights")]
    OtherWeights,
    /// The connection broke or the answer is invalid. The request may have run.
    #[display("the answer broke off: {_0}")]
    Broken(#[error(not(source))] Box<str>),
}

impl CallError {
    /// Returns whether it is certain that the endpoint did not run the request.
    pub const fn is_not_run(&self) -> bool {
        !matches!(self, CallError::Broken(_))
    }
}

/// Endpoint status from the headers of a response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointStatus {
    /// Boot id, which changes with each restart of the endpoint. Empty if the header is missing.
    pub boot_id: BootId,
    /// Version of the weights in service. 0 if the header is missing.
    pub weights_version: WeightsVersion,
    /// Requests queued at the endpoint. 0 if the header is missing.
    pub queued: u32,
}

impl EndpointStatus {
    /// Converts the status to a message for the keeper.
    pub fn to_keeper_message(&self, endpoint: &EndpointId) -> EndpointNews {
        EndpointNews {
            boot_id: self.boot_id.clone(),
            endpoint: endpoint.clone(),
            queued: self.queued,
            weights_version: self.weights_version,
        }
    }
}

impl From<&HeaderMap> for EndpointStatus {
    fn from(headers: &HeaderMap) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|value| value.parse().ok());
        Self {
            boot_id: text("x-boot-id").unwrap_or_default().into(),
            weights_version: number("x-weights-version").unwrap_or_default(),
            queued: number("x-queued").unwrap_or_default() as u32,
        }
    }
}

/// Sends a request to an engine. Returns the endpoint status and the stream of chunks.
pub async fn generate(
    client: &Client,
    address: SocketAddr,
    request: &EngineRequest,
) -> Result<(EndpointStatus, impl Stream<Item = Result<EngineChunk>>)> {
    let url = format!("http://{address}/generate");
    let response = client
        .post(url)
        .json(request)
        .send()
        .await
        .map_err(call_error)?;
    let response = check_status(response).await?;
    let endpoint_status = EndpointStatus::from(response.headers());
    let chunks = response.bytes_stream().eventsource().map(|event| {
        let event = event.map_err(|error| CallError::Broken(error.to_string().into()))?;
        serde_json::from_str(&event.data)
            .map_err(|error| CallError::Broken(error.to_string().into()))
    });
    Ok((endpoint_status, chunks))
}

/// Cancels an attempt at an engine.
pub async fn cancel(client: &Client, address: SocketAddr, attempt: &AttemptId) -> Result<()> {
    let url = format!("http://{address}/cancel/{attempt}");
    client.post(url).send().await.map_err(call_error)?;
    Ok(())
}

/// Converts a client error. Connection errors mean that nothing was sent.
pub fn call_error(error: reqwest::Error) -> CallError {
    let detail = error.to_string().into();
    if error.is_connect() {
        CallError::NotSent(detail)
    } else {
        CallError::Broken(detail)
    }
}

/// Returns successful responses, and converts any other status to an error.
pub async fn check_status(response: Response) -> Result<Response> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let is_not_run = response
        .headers()
        .get("x-not-run")
        .is_some_and(|value| value == "true");
    if status == StatusCode::CONFLICT {
        return Err(CallError::OtherWeights);
    }
    let detail = format!("status {status}").into();
    if is_not_run {
        Err(CallError::Refused(detail))
    } else {
        Err(CallError::Broken(detail))
    }
}

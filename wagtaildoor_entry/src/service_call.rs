//! HTTP calls to plain services.

use std::net::SocketAddr;

use reqwest::{
    header::{
        HeaderMap,
        CONTENT_TYPE, //
    },
    Client,
    Response,
    StatusCode, //
};
use wagtaildoor::ids::{
    AttemptId,
    RequestId,
    RequestKey, //
};

use crate::engine_call::{
    self,
    CallError,
    EndpointStatus,
    Result, //
};

/// Media type of request bodies, and of answers without a `Content-Type`.
const JSON_MEDIA_TYPE: &str = "application/json";

/// A call to one endpoint of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Path at the endpoint.
    pub path: Box<str>,
    /// Id of the request, which the service must echo in its answer.
    pub request: RequestId,
    /// Id of the attempt, which the service must echo in its answer.
    pub attempt: AttemptId,
    /// Idempotency key, if the caller sent one.
    pub key: Option<RequestKey>,
    /// JSON body.
    pub body: Box<str>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Box<str>,
    /// Body, relayed unchanged.
    pub body: Box<str>,
    /// Endpoint status from the headers.
    pub endpoint_status: EndpointStatus,
}

/// Calls a service. An answer to another request or attempt counts as broken.
///
/// Answers with a status below 500 (2xx and 4xx) are results of the service itself and are relayed
/// to the caller.
pub async fn send_call(client: &Client, call: &ServiceCall) -> Result<ServiceAnswer> {
    let mut builder = client
        .post(format!("http://{}{}", call.address, call.path))
        .header("x-request-id", &*call.request)
        .header("x-attempt-id", &*call.attempt)
        .header(CONTENT_TYPE, JSON_MEDIA_TYPE)
        .body(call.body.to_string());
    if let Some(key) = &call.key {
        builder = builder.header("idempotency-key", &**key);
    }
    let response = builder.send().await.map_err(engine_call::call_error)?;
    let response = if response.status().is_client_error() {
        response
    } else {
        engine_call::check_status(response).await?
    };
    check_echo(response.headers(), call)?;
    read_answer(response).await
}

/// Looks up the recorded answer for a key. Returns `None` if the service has not seen the key.
pub async fn look_up(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<Option<ServiceAnswer>> {
    let url = format!("http://{address}{path}");
    let response = client
        .get(url)
        .send()
        .await
        .map_err(engine_call::call_error)?;
    match response.status() {
        StatusCode::NOT_FOUND => Ok(None),
        status if status.is_success() => read_answer(response).await.map(Some),
        status => Err(CallError::Broken(format!("status {status}").into())),
    }
}

/// Returns an error if an answer belongs to another request or attempt.
fn check_echo(headers: &HeaderMap, call: &ServiceCall) -> Result<()> {
    let echoes = |name: &str, expected: &str| {
        headers
            .get(name)
            .is_some_and(|value| value.as_bytes() == expected.as_bytes())
    };
    let is_own = echoes("x-request-id", &call.request) && echoes("x-attempt-id", &call.attempt);
    if is_own {
        return Ok(());
    }
    Err(CallError::Broken(
        "the answer belongs to another request".into(),
    ))
}

/// Reads a complete answer.
async fn read_answer(response: Response) -> Result<ServiceAnswer> {
    let status = response.status().as_u16();
    let endpoint_status = EndpointStatus::from(response.headers());
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or(JSON_MEDIA_TYPE)
        .into();
    let body = response.text().await.map_err(engine_call::call_error)?;
    Ok(ServiceAnswer {
        status,
        content_type,
        body: body.into(),
        endpoint_status,
    })
}

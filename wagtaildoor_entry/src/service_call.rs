//! HTTP calls to plain services.

use std::net::SocketAddr;

use reqwest::{
    header::{
        HeaderMap,
        CONTENT_LENGTH,
        CONTENT_TYPE,
        TRANSFER_ENCODING, //
    },
    Client,
    Response,
    StatusCode, //
};
use serde::de::IgnoredAny;
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
///
/// Without a length or chunks, a service that crashes ends its answer like one that has finished it.
/// Such an answer counts as broken unless its content shows that nothing is missing.
async fn read_answer(response: Response) -> Result<ServiceAnswer> {
    let status = response.status().as_u16();
    let endpoint_status = EndpointStatus::from(response.headers());
    let content_type: Box<str> = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or(JSON_MEDIA_TYPE)
        .into();
    let is_framed = [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| response.headers().contains_key(name));
    let body = response.text().await.map_err(engine_call::call_error)?;
    if !is_framed && !is_whole_json(&content_type, &body) {
        let detail = "the answer has no length and may be cut";
        return Err(CallError::Broken(detail.into()));
    }
    Ok(ServiceAnswer {
        status,
        content_type,
        body: body.into(),
        endpoint_status,
    })
}

/// Whether a body is a JSON object or array up to its closing bracket.
fn is_whole_json(media_type: &str, body: &str) -> bool {
    let media_type = media_type.split(';').next().unwrap_or_default().trim();
    let is_json = media_type.eq_ignore_ascii_case(JSON_MEDIA_TYPE);
    is_json
        && body.trim_start().starts_with(['{', '['])
        && serde_json::from_str::<IgnoredAny>(body).is_ok()
}

//! One call to a plain service.

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

/// Media type of bodies.
const JSON_MEDIA_TYPE: &str = "application/json";

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Path at the endpoint.
    pub path: Box<str>,
    /// Request, echoed in the answer.
    pub request: RequestId,
    /// Attempt, echoed in the answer.
    pub attempt: AttemptId,
    /// Idempotency key, when the caller gave one.
    pub key: Option<RequestKey>,
    /// Body, in JSON.
    pub body: Box<str>,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<str>,
    /// What the endpoint says of itself.
    pub endpoint_status: EndpointStatus,
}

/// Calls a service. An answer to another request or attempt counts as broken.
///
/// Every answer with a status below 500 is the service's own word and goes to the caller.
pub async fn call(client: &Client, call: &ServiceCall) -> Result<ServiceAnswer> {
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

/// Asks a service what it recorded for a key; `None` when it has not seen the key.
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

/// Refuses an answer that belongs to another request or attempt.
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

/// Reads a whole answer.
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

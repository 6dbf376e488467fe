//! Requests that the front itself makes to endpoints: load orders and reports.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header,
    HeaderMap,
    HeaderValue,
    Request,
    StatusCode,
    Uri, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use tokio::time;
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    endpoint::Endpoint,
    endpoint_connection::{
        ConnectionUse,
        EndpointConnection, //
    },
    wire_codec::EndpointCall, //
};

/// Largest response to a call, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Result type for calls.
pub type Result<T> = std::result::Result<T, CallError>;

/// Reason why a call yielded no response.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// No byte of the call went out, so that it was not executed.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] Box<str>),
    /// The call may have been executed or may still be running.
    #[display("answer lost: {_0}")]
    AnswerLost(#[error(not(source))] Box<str>),
}

/// Makes a call that may be repeated, on an idle connection if there is one, and reads the response.
/// `limit` covers the request and the response.
pub async fn fetch(
    endpoint: &Endpoint,
    call: EndpointCall,
    limit: Duration,
) -> Result<(StatusCode, Bytes)> {
    let now = BootInstant::now();
    match endpoint
        .connections
        .take_idle(ConnectionUse::Repeatable, now)
    {
        Some(connection) => call_on(endpoint, connection, call, limit).await,
        None => self::call(endpoint, call, limit).await,
    }
}

/// Makes a call on a new connection and reads the response; `limit` covers the request and the
/// response.
pub async fn call(
    endpoint: &Endpoint,
    call: EndpointCall,
    limit: Duration,
) -> Result<(StatusCode, Bytes)> {
    let connected = endpoint.connections.connect().await;
    let connection = connected.map_err(|error| CallError::NotSent(error.to_string().into()))?;
    call_on(endpoint, connection, call, limit).await
}

/// Makes a call on a connection, which becomes idle afterwards.
async fn call_on(
    endpoint: &Endpoint,
    mut connection: EndpointConnection,
    call: EndpointCall,
    limit: Duration,
) -> Result<(StatusCode, Bytes)> {
    let exchange = exchange(endpoint, &mut connection, call);
    let (status, _, body) = match time::timeout(limit, exchange).await {
        Ok(answer) => answer?,
        Err(_) => return Err(CallError::AnswerLost("no answer in time".into())),
    };
    let now = BootInstant::now();
    endpoint.connections.put_idle(connection, None, now);
    Ok((status, body))
}

/// Makes a call on a connection, without a time limit, and reads the response.
pub async fn exchange(
    endpoint: &Endpoint,
    connection: &mut EndpointConnection,
    call: EndpointCall,
) -> Result<(StatusCode, HeaderMap, Bytes)> {
    let lost = |error: String| CallError::AnswerLost(error.into());
    let response = connection.exchange(request(endpoint, call)).await;
    let response = response.map_err(|error| lost(error.to_string()))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|error| lost(error.to_string()))?;
    Ok((head.status, head.headers, body.to_bytes()))
}

/// Builds the HTTP request of a call.
fn request(endpoint: &Endpoint, call: EndpointCall) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse::<Uri>().unwrap_or_default();
    *request.headers_mut() = call.headers;
    if let Ok(host) = HeaderValue::from_str(&endpoint.address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

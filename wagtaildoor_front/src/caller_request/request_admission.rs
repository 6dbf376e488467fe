//! Checks the route, the key and the body of a request before it is served.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header,
    request, //
};
use hyper::body::Incoming;
use tokio::{
    task,
    time, //
};
use wagtaildoor::error::{
    ErrorKind,
    RequestError, //
};
use wagtaildoor_daemon::request_body::{
    self,
    BodyError, //
};

use crate::{
    caller_request::Result,
    front::Front,
    request_log::RequestLog,
    route_table::{
        KeyVerdict,
        RouteTable, //
    },
    service_config::{
        AccountRule,
        RouteRule, //
    },
    wire_codec::CallerHead,
};

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that passed admission.
pub(super) struct AdmittedRequest {
    /// Configuration version that admitted the request.
    pub(super) table: Rc<RouteTable>,
    /// Fields parsed from the request headers.
    pub(super) head: CallerHead,
    /// Route that matches the request.
    pub(super) route: Rc<RouteRule>,
    /// Client account of the caller; `None` for anonymous requests.
    pub(super) account: Option<Rc<AccountRule>>,
}

/// Checks a request head against the configuration and logs its route and account.
pub(super) fn admit(
    front: &Front,
    parts: &request::Parts,
    head: CallerHead,
    log: &mut RequestLog,
) -> Result<AdmittedRequest> {
    let Some(table) = front.routes() else {
        let detail = "this host has read no configuration yet";
        return Err(RequestError::new(ErrorKind::NotConfigured, detail));
    };
    let host = host_name(parts);
    let Some(route) = table.find_route(&host, parts.uri.path()).cloned() else {
        let detail = format!("no route for host {host} and this path");
        return Err(RequestError::new(ErrorKind::UnknownRoute, detail));
    };
    let account = match table.check_key(&route, head.key.as_deref()) {
        KeyVerdict::Account(account) => Some(account),
        KeyVerdict::Anonymous => None,
        KeyVerdict::Unknown => {
            let detail = "the key belongs to no client account";
            return Err(RequestError::new(ErrorKind::Unauthorized, detail));
        }
    };
    let account_id = account.as_ref().map(|account| &account.id);
    log.set_route(&route.id, account_id, table.version());
    if head.attempt.is_none() {
        let detail = "the request carries no attempt id";
        return Err(RequestError::new(ErrorKind::BadRequest, detail));
    }
    Ok(AdmittedRequest {
        table,
        head,
        route,
        account,
    })
}

/// Lower-case host name from the `Host` header or the URI, without the port.
fn host_name(parts: &request::Parts) -> Box<str> {
    let named = parts.headers.get(header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    host.to_ascii_lowercase().into()
}

/// Reads a request body of at most `limit` bytes. The rest of a larger one is discarded in the
/// background.
pub(super) async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes> {
    match time::timeout(BODY_TIMEOUT, request_body::read_limited(&mut body, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(BodyError::TooLarge)) => {
            task::spawn_local(request_body::discard(body));
            let detail = format!("the body is larger than {limit} bytes");
            Err(RequestError::new(ErrorKind::BodyTooLarge, detail))
        }
        Ok(Err(BodyError::Unreadable(error))) => {
            let detail = format!("the body cannot be read: {error}");
            Err(RequestError::new(ErrorKind::BadRequest, detail))
        }
        Err(_) => {
            let detail = format!("the body did not come within {} s", BODY_TIMEOUT.as_secs());
            Err(RequestError::new(ErrorKind::BodyTimeout, detail))
        }
    }
}

//! Removes hop-by-hop headers, which must not be forwarded.

use http::{
    header,
    response,
    HeaderMap,
    HeaderName,
    Response, //
};
use wagtaildoor_daemon::response_body::ResponseBody;

/// Hop-by-hop headers, which apply to a single connection.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Hop-by-hop header for which the `http` crate has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Builds the caller's response from an endpoint's response head.
pub(super) fn caller_response(
    mut parts: response::Parts,
    body: ResponseBody,
) -> Response<ResponseBody> {
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}

/// Removes hop-by-hop headers and the headers listed in `Connection`.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

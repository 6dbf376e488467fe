//! Headers that concern one connection only, and so go no further.

use http::{
    header,
    response,
    HeaderMap,
    HeaderName,
    Response, //
};
use wagtaildoor_daemon::answer_body::AnswerBody;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];
/// Name of a header that concerns one connection only and that the library does not name.
const KEEP_ALIVE: &str = "keep-alive";

/// An endpoint's answer as it goes to the caller.
pub(super) fn caller_response(
    mut parts: response::Parts,
    body: AnswerBody,
) -> Response<AnswerBody> {
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}

/// Takes out headers that concern one connection only, and those that `Connection` names.
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

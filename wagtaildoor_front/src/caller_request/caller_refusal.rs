//! Error responses for requests that are not served.

use std::time::Duration;

use http::{
    header,
    HeaderValue,
    Response,
    StatusCode, //
};
use wagtaildoor::error::{
    ErrorKind,
    RequestError,
    RunOutcome, //
};
use wagtaildoor_daemon::response_body::ResponseBody;

use crate::request_log::RequestLog;

/// Default `Retry-After` delay when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Builds the error response for a request and logs its outcome.
pub(super) fn refuse(
    log: &mut RequestLog,
    error: &RequestError,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    log.add_decision(format_args!("{error}"));
    log.set_outcome(outcome_name(error.kind));
    let table = error.kind.answer();
    let mut response = Response::new(ResponseBody::full(format!("{error}\n")));
    *response.status_mut() =
        StatusCode::from_u16(table.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if table.retry_after.is_some() && table.outcome == RunOutcome::NotRun {
        let after = retry_after.unwrap_or(DEFAULT_RETRY_AFTER).as_secs_f64();
        if let Ok(value) = HeaderValue::from_str(&format!("{after:.2}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Outcome label of an error in logs and metrics.
fn outcome_name(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::BadRequest => "bad_request",
        ErrorKind::BodyTooLarge => "body_too_large",
        ErrorKind::BodyTimeout => "body_timeout",
        ErrorKind::Unauthorized => "unauthorized",
        ErrorKind::UnknownRoute => "unknown_route",
        ErrorKind::AccountLimited => "account_limited",
        ErrorKind::LargerThanQuota => "larger_than_quota",
        ErrorKind::Overloaded => "overloaded",
        ErrorKind::DeadlineUnreachable => "deadline_unreachable",
        ErrorKind::NoEndpoint => "no_endpoint",
        ErrorKind::NotConfigured => "not_configured",
        ErrorKind::PromptBlocked => "prompt_blocked",
        ErrorKind::EndpointFailed => "endpoint_failed",
        ErrorKind::DeadlinePassed => "deadline_passed",
        ErrorKind::OutcomeUnknown => "outcome_unknown",
        ErrorKind::StreamBroken => "stream_broken",
        _ => "error",
    }
}

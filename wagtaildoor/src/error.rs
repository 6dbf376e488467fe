//! Error kinds of requests and the response that each kind gives to the client.

use std::time::Duration;

/// Result of handling a client request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Whether a failed request ran, as far as the system can tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum RunOutcome {
    /// No byte of the request reached an endpoint, or the endpoint reported that it did not run it.
    #[display("not_run")]
    NotRun,
    /// The request ran.
    #[display("ran")]
    Ran,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// All reasons why a request can end without its response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, derive_more::Display)]
pub enum ErrorKind {
    /// The body, a header or a parameter is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The body is larger than the limit.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The caller took too long to send the body.
    #[display("body_timeout")]
    BodyTimeout,
    /// The bearer token is missing or does not belong to an account.
    #[display("unauthorized")]
    Unauthorized,
    /// The account is not allowed to use the template.
    #[display("forbidden")]
    Forbidden,
    /// The configuration has no template with this name.
    #[display("unknown_template")]
    UnknownTemplate,
    /// No route with this name exists.
    #[display("unknown_route")]
    UnknownRoute,
    /// A non-idempotent request has no idempotency key.
    #[display("key_missing")]
    KeyMissing,
    /// The idempotency key is not a UUIDv7.
    #[display("key_malformed")]
    KeyMalformed,
    /// The idempotency key is too old, or too far in the future, to be checked.
    #[display("key_expired")]
    KeyExpired,
    /// The idempotency key was used before with another body.
    #[display("key_mismatch")]
    KeyMismatch,
    /// The request was refused before the log was asked whether an earlier copy ran.
    #[display("key_unchecked")]
    KeyUnchecked,
    /// Another attempt with this key has no recorded outcome yet.
    #[display("key_in_progress")]
    KeyInProgress,
    /// The key ran, but its response was not recorded.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The account exceeds its request limit.
    #[display("account_limited")]
    AccountLimited,
    /// The request costs more than the account's quota can ever grant.
    #[display("larger_than_quota")]
    LargerThanQuota,
    /// Too many requests are queued.
    #[display("overloaded")]
    Overloaded,
    /// The deadline passed, or would have passed, before the request could start.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// No endpoint that could serve the request is reachable.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The log is unreachable, so neither can the request be claimed, nor is it known whether an
    /// earlier copy ran.
    #[display("platform_unavailable")]
    PlatformUnavailable,
    /// This entry has no configuration yet.
    #[display("not_configured")]
    NotConfigured,
    /// Engines crashed under a part of the prompt.
    #[display("prompt_blocked")]
    PromptBlocked,
    /// The endpoint refused the request and reported that it did not run.
    #[display("endpoint_refused")]
    EndpointRefused,
    /// All attempts on endpoints failed.
    #[display("endpoint_failed")]
    EndpointFailed,
    /// A response stream broke and could not be resumed.
    #[display("stream_broken")]
    StreamBroken,
    /// The deadline passed while the request was at an endpoint.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// A non-idempotent request was sent, but no response arrived.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// Internal error of this program.
    #[display("internal")]
    Internal,
}

/// Response to the client for an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Time after which the client may retry the request; `None` if it should not retry.
    pub retry_after: Option<Duration>,
}

/// Retry delay for short overload conditions.
const RETRY_SOON: Option<Duration> = Some(Duration::from_secs(1));
/// Retry delay for outages.
const RETRY_LATER: Option<Duration> = Some(Duration::from_secs(5));
/// The client should not retry.
const RETRY_NEVER: Option<Duration> = None;

impl ErrorKind {
    /// All kinds, in the order of the documentation.
    pub const ALL: [ErrorKind; 28] = [
        ErrorKind::BadRequest,
        ErrorKind::BodyTooLarge,
        ErrorKind::BodyTimeout,
        ErrorKind::Unauthorized,
        ErrorKind::Forbidden,
        ErrorKind::UnknownTemplate,
        ErrorKind::UnknownRoute,
        ErrorKind::KeyMissing,
        ErrorKind::KeyMalformed,
        ErrorKind::KeyExpired,
        ErrorKind::KeyMismatch,
        ErrorKind::KeyUnchecked,
        ErrorKind::KeyInProgress,
        ErrorKind::AnswerNotKept,
        ErrorKind::AccountLimited,
        ErrorKind::LargerThanQuota,
        ErrorKind::Overloaded,
        ErrorKind::DeadlineUnreachable,
        ErrorKind::NoEndpoint,
        ErrorKind::PlatformUnavailable,
        ErrorKind::NotConfigured,
        ErrorKind::PromptBlocked,
        ErrorKind::EndpointRefused,
        ErrorKind::EndpointFailed,
        ErrorKind::StreamBroken,
        ErrorKind::DeadlinePassed,
        ErrorKind::OutcomeUnknown,
        ErrorKind::Internal,
    ];

    /// Response to the client for this kind.
    pub const fn answer(self) -> ErrorAnswer {
        use RunOutcome::{NotRun, Ran, Unknown};
        let (status, outcome, retry_after) = match self {
            ErrorKind::BadRequest => (400, NotRun, RETRY_NEVER),
            ErrorKind::BodyTooLarge => (413, NotRun, RETRY_NEVER),
            ErrorKind::BodyTimeout => (408, NotRun, RETRY_SOON),
            ErrorKind::Unauthorized => (401, NotRun, RETRY_NEVER),
            ErrorKind::Forbidden => (403, NotRun, RETRY_NEVER),
            ErrorKind::UnknownTemplate => (404, NotRun, RETRY_NEVER),
            ErrorKind::UnknownRoute => (404, NotRun, RETRY_NEVER),
            ErrorKind::KeyMissing => (400, NotRun, RETRY_NEVER),
            ErrorKind::KeyMalformed => (400, NotRun, RETRY_NEVER),
            ErrorKind::KeyExpired => (422, Unknown, RETRY_NEVER),
            ErrorKind::KeyMismatch => (422, NotRun, RETRY_NEVER),
            ErrorKind::KeyUnchecked => (503, Unknown, RETRY_SOON),
            ErrorKind::KeyInProgress => (409, Unknown, RETRY_SOON),
            ErrorKind::AnswerNotKept => (409, Ran, RETRY_NEVER),
            ErrorKind::AccountLimited => (429, NotRun, RETRY_SOON),
            ErrorKind::LargerThanQuota => (429, NotRun, RETRY_NEVER),
            ErrorKind::Overloaded => (503, NotRun, RETRY_SOON),
            ErrorKind::DeadlineUnreachable => (503, NotRun, RETRY_SOON),
            ErrorKind::NoEndpoint => (503, NotRun, RETRY_SOON),
            ErrorKind::PlatformUnavailable => (503, Unknown, RETRY_LATER),
            ErrorKind::NotConfigured => (503, NotRun, RETRY_SOON),
            ErrorKind::PromptBlocked => (503, NotRun, RETRY_LATER),
            ErrorKind::EndpointRefused => (502, NotRun, RETRY_SOON),
            ErrorKind::EndpointFailed => (502, Unknown, RETRY_SOON),
            ErrorKind::StreamBroken => (502, Unknown, RETRY_SOON),
            ErrorKind::DeadlinePassed => (504, Unknown, RETRY_SOON),
            ErrorKind::OutcomeUnknown => (502, Unknown, RETRY_SOON),
            ErrorKind::Internal => (500, Unknown, RETRY_NEVER),
        };
        ErrorAnswer {
            status,
            outcome,
            retry_after,
        }
    }
}

/// An error of a request, with details.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("{kind}: {detail}")]
pub struct RequestError {
    /// Kind of the error, which determines the response.
    pub kind: ErrorKind,
    /// What happened, as a sentence for the client.
    #[error(not(source))]
    pub detail: Box<str>,
}

impl ErrorKind {
    /// Kind to report for a non-idempotent request that is refused before the log was asked about
    /// its key.
    ///
    /// An earlier copy of the request may have run elsewhere, so a shortage on this host must not
    /// be reported as "not run". Errors in the request itself keep their kind.
    pub const fn before_claim(self) -> ErrorKind {
        match self {
            ErrorKind::AccountLimited
            | ErrorKind::Overloaded
            | ErrorKind::DeadlineUnreachable
            | ErrorKind::NoEndpoint
            | ErrorKind::NotConfigured => ErrorKind::KeyUnchecked,
            kind => kind,
        }
    }
}

impl RequestError {
    /// Creates an error with a sentence for the client.
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

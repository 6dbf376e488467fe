//! The closed list of error kinds and the answer each one gives a caller.

use std::time::Duration;

/// Result of work for a caller.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Whether the caller's request had an effect, as far as the system can say truthfully.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display)]
pub enum RunOutcome {
    /// No byte of the request reached an endpoint, or the endpoint said that it did not run it.
    #[display("not_run")]
    NotRun,
    /// The request ran.
    #[display("ran")]
    Ran,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Every way in which a request can end without its answer.
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
    /// The bearer token is missing or belongs to no account.
    #[display("unauthorized")]
    Unauthorized,
    /// The account may not use the template.
    #[display("forbidden")]
    Forbidden,
    /// No template of this name is in force.
    #[display("unknown_template")]
    UnknownTemplate,
    /// No route of this name exists.
    #[display("unknown_route")]
    UnknownRoute,
    /// A non-idempotent request came without an idempotency key.
    #[display("key_missing")]
    KeyMissing,
    /// The idempotency key is not a UUIDv7.
    #[display("key_malformed")]
    KeyMalformed,
    /// The idempotency key is too old, or too far in the future, to be checked.
    #[display("key_expired")]
    KeyExpired,
    /// The idempotency key came before with another body.
    #[display("key_mismatch")]
    KeyMismatch,
    /// The request was refused before the log told whether an earlier copy of its key ran.
    #[display("key_unchecked")]
    KeyUnchecked,
    /// Another attempt with this key has no outcome on record yet.
    #[display("key_in_progress")]
    KeyInProgress,
    /// The key has run, but its answer is not on record.
    #[display("answer_not_kept")]
    AnswerNotKept,
    /// The account is over its request limit.
    #[display("account_limited")]
    AccountLimited,
    /// Too many requests are waiting.
    #[display("overloaded")]
    Overloaded,
    /// The deadline would pass, or passed, before the request could start.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// No endpoint that could serve the request is in reach.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The platform's log cannot be reached, and the request may not go without it; nor can be
    /// read whether an earlier copy of its key ran.
    #[display("platform_unavailable")]
    PlatformUnavailable,
    /// This entry holds no configuration yet.
    #[display("not_configured")]
    NotConfigured,
    /// The endpoint refused the request and said that it did not run.
    #[display("endpoint_refused")]
    EndpointRefused,
    /// Endpoints failed, and no attempt is left.
    #[display("endpoint_failed")]
    EndpointFailed,
    /// A stream broke and could not be resumed.
    #[display("stream_broken")]
    StreamBroken,
    /// The deadline passed while the request was at an endpoint.
    #[display("deadline_passed")]
    DeadlinePassed,
    /// A non-idempotent request was sent, and no answer came.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// A fault of this program.
    #[display("internal")]
    Internal,
}

/// What a caller is told about an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// How long to wait before the same request is worth sending again; `None` advises against.
    pub retry_after: Option<Duration>,
}

/// Retry advice for short shortages.
const RETRY_SOON: Option<Duration> = Some(Duration::from_secs(1));
/// Retry advice for outages.
const RETRY_LATER: Option<Duration> = Some(Duration::from_secs(5));
/// Advice against a retry.
const RETRY_NEVER: Option<Duration> = None;

impl ErrorKind {
    /// Every kind, in the order of the documentation.
    pub const ALL: [ErrorKind; 26] = [
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
        ErrorKind::Overloaded,
        ErrorKind::DeadlineUnreachable,
        ErrorKind::NoEndpoint,
        ErrorKind::PlatformUnavailable,
        ErrorKind::NotConfigured,
        ErrorKind::EndpointRefused,
        ErrorKind::EndpointFailed,
        ErrorKind::StreamBroken,
        ErrorKind::DeadlinePassed,
        ErrorKind::OutcomeUnknown,
        ErrorKind::Internal,
    ];

    /// The table from kind to answer.
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
            ErrorKind::Overloaded => (503, NotRun, RETRY_SOON),
            ErrorKind::DeadlineUnreachable => (503, NotRun, RETRY_SOON),
            ErrorKind::NoEndpoint => (503, NotRun, RETRY_SOON),
            ErrorKind::PlatformUnavailable => (503, Unknown, RETRY_LATER),
            ErrorKind::NotConfigured => (503, NotRun, RETRY_SOON),
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

/// An error kind with what happened in this case.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("{kind}: {detail}")]
pub struct RequestError {
    /// Kind, which decides the answer.
    pub kind: ErrorKind,
    /// What happened, as a sentence for the caller.
    #[error(not(source))]
    pub detail: Box<str>,
}

impl ErrorKind {
    /// The kind to give when a non-idempotent request is refused before the log was asked about
    /// its key.
    ///
    /// An earlier copy of the request may have run elsewhere, so a shortage of this host must not
    /// be answered with "not run". What is wrong with the request itself stays as it is.
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
    /// An error of a kind, with its sentence.
    pub fn new(kind: ErrorKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
        }
    }
}

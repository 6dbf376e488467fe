//! What a caller gets when no endpoint gave a sound response.

use std::time::Duration;

use http::Response;
use wagtaildoor::error::{
    ErrorKind,
    RequestError, //
};
use wagtaildoor_daemon::response_body::ResponseBody;

use crate::{
    caller_request::{
        caller_refusal,
        response_read::ReadAnswer,
        CallerRequest,
        Result,
        StartedResponse, //
    },
    wire_codec::WireCodec,
};

impl<C: WireCodec> CallerRequest<C> {
    /// Result when no further endpoint can be tried.
    pub(super) fn no_endpoint_outcome<T>(&mut self) -> Result<Option<T>> {
        if self.failure.is_some() {
            return Ok(None);
        }
        Err(if self.possible_runs == 0 {
            let kind = if self.sends == 0 {
                ErrorKind::NoEndpoint
            } else {
                ErrorKind::Overloaded
            };
            RequestError::new(kind, "no endpoint can take the request now")
        } else if self.route.kind.is_repeatable() {
            RequestError::new(ErrorKind::EndpointFailed, "no endpoint gave an answer")
        } else {
            let detail = "the request was sent, but its answer was lost";
            RequestError::new(ErrorKind::OutcomeUnknown, detail)
        })
    }

    /// Responds at the deadline, or with the last answers of a host that stops; prefers a stored error
    /// response of an endpoint.
    pub(super) fn respond_at_limit(mut self) -> Response<ResponseBody> {
        if self.failure.is_some() {
            return self.respond_with_failure();
        }
        let is_stopping = self.front.answers_due.is_cancelled();
        let error = match (is_stopping, self.delivered_sends) {
            (true, 0) => self.stopping_error(),
            (true, _) => {
                let detail = "this host stops before the answer came";
                RequestError::new(ErrorKind::DeadlinePassed, detail)
            }
            (false, 0) => {
                let detail = "no endpoint could be reached before the deadline";
                RequestError::new(ErrorKind::DeadlineUnreachable, detail)
            }
            (false, _) => {
                let detail = "no answer came before the deadline";
                RequestError::new(ErrorKind::DeadlinePassed, detail)
            }
        };
        let retry_after = is_stopping.then_some(Duration::ZERO);
        caller_refusal::refuse(&mut self.log, &error, retry_after)
    }

    /// Error of a host that stops for a request that it has not sent.
    pub(super) fn stopping_error(&self) -> RequestError {
        let detail = "this host is stopping, others are not";
        RequestError::new(ErrorKind::Overloaded, detail)
    }

    /// Whether to retry after an error response of an endpoint.
    pub(super) fn should_try_another(&self, started: &StartedResponse) -> bool {
        started.response.status().is_server_error()
            && self.has_attempt_left()
            && self.failure.is_none()
    }

    /// Stores an error response in case no other endpoint does better.
    pub(super) async fn store_failure(&mut self, started: StartedResponse) {
        let endpoint = started.guard.endpoint().clone();
        self.possible_runs += 1;
        self.tried.push(endpoint.key);
        if let Ok(ReadAnswer::Whole(response)) = self.read_response(started).await {
            self.failure = Some(response);
        }
    }

    /// Responds with the stored error response of an endpoint.
    pub(super) fn respond_with_failure(mut self) -> Response<ResponseBody> {
        match self.failure.take() {
            Some(response) => {
                self.log.set_outcome("failure_relayed");
                response
            }
            None => {
                let error = RequestError::new(ErrorKind::EndpointFailed, "no endpoint answered");
                caller_refusal::refuse(&mut self.log, &error, None)
            }
        }
    }
}

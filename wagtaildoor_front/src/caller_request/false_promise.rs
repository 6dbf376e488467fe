//! Keeps from callers a status that promises what the endpoint has not said.

use http::{
    Response,
    StatusCode, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    error::{
        ErrorKind,
        RequestError, //
    },
};
use wagtaildoor_daemon::response_body::ResponseBody;

use crate::{
    caller_request::{
        caller_refusal,
        CallerRequest,
        StartedResponse, //
    },
    wire_codec::WireCodec,
};

/// Statuses that tell a caller that its request was not run and never will be.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

impl<C: WireCodec> CallerRequest<C> {
    /// Whether the caller would take a request that may have run for one that was not. An answer by which
    /// the endpoint states that it did not run the request is a refusal, and never gets here. Callers
    /// send repeatable requests again after any failure, so that nothing is promised to them.
    pub(super) fn is_false_promise(&self, started: &StartedResponse) -> bool {
        !self.route.kind.is_repeatable() && NOT_RUN_STATUSES.contains(&started.response.status())
    }

    /// Responds in the host's own name that the outcome is unknown. The endpoint's signature would vouch
    /// for another status, and its `Retry-After` invite the caller to run the request again.
    pub(super) fn respond_outcome_unknown(
        mut self,
        started: StartedResponse,
    ) -> Response<ResponseBody> {
        let status = started.response.status().as_u16();
        let endpoint = started.guard.endpoint();
        endpoint
            .health
            .borrow_mut()
            .record_outcome(true, BootInstant::now());
        self.front.metrics.record_send("failed");
        self.log.set_answering_endpoint(&endpoint.id);
        self.log
            .add_decision(format_args!("failed: status {status}, no refusal"));
        let detail =
            format!("the endpoint answered {status}, but not that it did not run the request");
        let error = RequestError::new(ErrorKind::OutcomeUnknown, detail);
        caller_refusal::refuse(&mut self.log, &error, None)
    }
}

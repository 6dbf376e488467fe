//! Handles one caller request: sends it to endpoints until one responds or no attempt is left.

use std::{
    marker::PhantomData,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header,
    request,
    uri::PathAndQuery,
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use tokio::time::Instant;
use wagtaildoor::{
    boot_clock::BootInstant,
    error::RequestError,
    ids::{
        EndpointId,
        PartId,
        ServiceId, //
    },
};
use wagtaildoor_daemon::response_body::ResponseBody;

use crate::{
    account_quota::quota_grant::QuotaGrant,
    caller_request::{
        request_admission::AdmittedRequest,
        response_read::UnconfirmedAnswer, //
    },
    drain_schedule::DrainSchedule,
    end_witness::EndWitness,
    endpoint::{
        EndpointKey,
        RequestGuard, //
    },
    endpoint_connection::EndpointConnection,
    engine_crash::{
        self,
        SharedPart, //
    },
    front::Front,
    request_log::RequestLog,
    request_placement::RequestPlacement,
    route_table::{
        self,
        RouteTable, //
    },
    service_config::{
        AccountRule,
        RouteKind,
        RouteRule, //
    },
    wire_codec::{
        AnswerHead,
        CallerHead,
        WireCodec, //
    },
};

mod answer_end;
mod answer_limit;
mod blocked_prompt;
mod caller_refusal;
mod connection_headers;
mod endpoint_choice;
mod engine_wait;
mod false_promise;
mod request_admission;
mod request_outcome;
mod request_quota;
mod request_send;
mod response_read;
mod return_time;

/// Result type for request handling.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Maximum number of sends per request, including sends that the endpoint refused.
const MAX_SENDS: u32 = 6;

/// A caller request and the state of its attempts.
pub struct CallerRequest<C> {
    /// Shared state of this host.
    pub(crate) front: Rc<Front>,
    /// Fields parsed from the request headers.
    pub(crate) head: CallerHead,
    pub(crate) route: Rc<RouteRule>,
    /// Configuration that admitted the request.
    table: Rc<RouteTable>,
    /// Client account of the caller, if it authenticated.
    account: Option<Rc<AccountRule>>,
    method: Method,
    /// Path and query that are sent to the endpoint.
    target: PathAndQuery,
    /// Headers that are forwarded to the endpoint.
    headers: HeaderMap,
    body: Bytes,
    /// Parts of the prompt that other prompts may hold, too.
    parts: Box<[PartId]>,
    /// The same parts with their crashes that were known at the last send.
    sent_parts: Box<[SharedPart]>,
    /// Earliest of the caller's deadline and the route's timeout.
    pub(crate) deadline: Instant,
    /// Units of the account's quota that the request holds; `None` before they are granted.
    grant: Option<QuotaGrant>,
    /// Log line of the request.
    pub(crate) log: RequestLog,
    /// Endpoints that are excluded from further attempts.
    tried: Vec<EndpointKey>,
    /// Endpoints that have refused the request.
    refused_by: Vec<EndpointKey>,
    /// Sends that reached an endpoint.
    delivered_sends: u32,
    /// All sends, including those that did not reach an endpoint.
    sends: u32,
    /// Number of endpoints that ran the request or may have run it.
    possible_runs: u32,
    /// Time between the caller's first attempt and the arrival of this one, as far as it is known.
    age_at_arrival: Duration,
    /// When the caller should return if the request is refused; `None` if there is no estimate.
    retry_after: Option<Duration>,
    /// Answer whose end could not be confirmed, passed on if no other endpoint does better.
    unconfirmed: Option<UnconfirmedAnswer>,
    /// Error response from an endpoint, returned if no other endpoint does better.
    failure: Option<Response<ResponseBody>>,
    /// Selects the wire format.
    codec: PhantomData<C>,
}

/// An endpoint response whose head has arrived.
pub struct StartedResponse {
    /// Counts the request in the endpoint's load until dropped.
    pub guard: RequestGuard,
    /// Connection that carries the response.
    pub connection: EndpointConnection,
    /// Response with an unread body.
    pub response: Response<Incoming>,
    /// Fields parsed from the response headers.
    pub head: AnswerHead,
    /// When the head arrived.
    pub begun_at: BootInstant,
    /// Set if the answer has neither a length nor chunks, so that it ends with its connection.
    pub end_witness: Option<Rc<EndWitness>>,
}

/// Reason why a send yielded no response.
enum SendFailure {
    /// The request did not reach the endpoint.
    NotSent(Box<str>),
    /// The endpoint reports that it did not run the request.
    Refused(AnswerHead),
    /// The endpoint may have run the request.
    Lost(Box<str>),
    /// The request was withdrawn from the endpoint, since a part of its prompt was blocked.
    Blocked,
}

/// Handles a caller request. Errors are returned as error responses.
pub async fn handle_request<C: WireCodec>(
    front: Rc<Front>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let head = C::parse_caller_head(&parts.headers);
    let mut log = RequestLog::new(front.clone(), head.attempt.as_ref());
    let admitted = match request_admission::admit(&front, &parts, head, &mut log) {
        Ok(admitted) => admitted,
        Err(error) => return caller_refusal::refuse(&mut log, &error, None),
    };
    let limit = admitted.table.limits().body_bytes;
    let body = match request_admission::read_body(body, limit).await {
        Ok(body) => body,
        Err(error) => return caller_refusal::refuse(&mut log, &error, None),
    };
    CallerRequest::<C>::new(front, parts, admitted, body, log)
        .execute()
        .await
}

impl<C: WireCodec> CallerRequest<C> {
    /// Prepares an admitted request for forwarding.
    fn new(
        front: Rc<Front>,
        head: request::Parts,
        admitted: AdmittedRequest,
        body: Bytes,
        log: RequestLog,
    ) -> Self {
        let mut headers = head.headers;
        connection_headers::strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        C::strip_caller_headers(&mut headers);
        let time = admitted.head.deadline;
        let time = time.unwrap_or(front.settings.times.default_deadline);
        let age_at_arrival = front
            .caller_deadlines
            .borrow_mut()
            .record(&admitted.route.id, time);
        let time = admitted.route.timeout.map_or(time, |limit| limit.min(time));
        let target = head.uri.path_and_query().cloned();
        let parts = engine_crash::shared_parts(admitted.head.prompt.as_ref());
        Self {
            deadline: log.arrived() + time,
            front,
            head: admitted.head,
            route: admitted.route,
            table: admitted.table,
            account: admitted.account,
            method: head.method,
            target: target.unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers,
            body,
            parts,
            grant: None,
            sent_parts: Box::default(),
            log,
            tried: Vec::new(),
            refused_by: Vec::new(),
            delivered_sends: 0,
            sends: 0,
            possible_runs: 0,
            age_at_arrival,
            retry_after: None,
            unconfirmed: None,
            failure: None,
            codec: PhantomData,
        }
    }

    /// Forwards the request and returns the response for the caller.
    async fn execute(mut self) -> Response<ResponseBody> {
        let now = BootInstant::now();
        if !self.fits_in_grace(now) {
            let error = self.stopping_error();
            return caller_refusal::refuse(&mut self.log, &error, Some(Duration::ZERO));
        }
        if let Err(error) = self.acquire_quota(now) {
            return caller_refusal::refuse(&mut self.log, &error, self.retry_after);
        }
        if let Some(service) = self.target_services().first() {
            self.front.retries.borrow_mut().record_request(service, now);
        }
        let limit = self.answer_limit();
        let started = match limit.apply(self.send_until_answered(None)).await {
            Some(Ok(Some(started))) => started,
            Some(Ok(None)) => return self.respond_with_failure(),
            Some(Err(error)) => {
                return caller_refusal::refuse(&mut self.log, &error, self.retry_after);
            }
            None => return self.respond_at_limit(),
        };
        if self.is_event_stream(&started) {
            return self.respond_stream(started);
        }
        if self.is_false_promise(&started) {
            return self.respond_outcome_unknown(started);
        }
        self.respond_buffered(started).await
    }

    /// Whether a response is a stream of events, which is passed on while it arrives.
    fn is_event_stream(&self, started: &StartedResponse) -> bool {
        self.route.kind.is_stream() && started.response.status() == StatusCode::OK
    }

    /// Sends the request until an endpoint responds.
    ///
    /// Returns `None` if the only result is an endpoint's error response, stored in `failure`.
    pub(crate) async fn send_until_answered(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Option<StartedResponse>> {
        loop {
            let Some(placement) = self.await_placement(resume_after.is_some()).await? else {
                return self.no_endpoint_outcome();
            };
            let now = BootInstant::now();
            if !self.try_acquire_send(&placement.endpoint.service.clone(), now) {
                return self.no_endpoint_outcome();
            }
            self.record_placement(&placement, now);
            match self.send(&placement, resume_after).await {
                Ok(started) => {
                    if self.should_try_another(&started) {
                        self.store_failure(started).await;
                        continue;
                    }
                    return Ok(Some(started));
                }
                Err(SendFailure::NotSent(reason)) => {
                    self.release_grant();
                    self.front.metrics.record_send("not_sent");
                    self.log.add_decision(format_args!("not sent: {reason}"));
                    self.undo_placement(&placement);
                    placement.endpoint.statements.limit.borrow_mut().give_back();
                    self.tried.push(placement.endpoint.key);
                }
                Err(SendFailure::Refused(head)) => {
                    self.release_grant();
                    self.front.metrics.record_send("refused");
                    self.handle_refusal(&placement, &head, now);
                }
                Err(SendFailure::Lost(reason)) => {
                    self.front.metrics.record_send("lost");
                    self.log.add_decision(format_args!("lost: {reason}"));
                    placement
                        .endpoint
                        .health
                        .borrow_mut()
                        .record_outcome(true, now);
                    self.tried.push(placement.endpoint.key);
                    self.possible_runs += 1;
                    if !self.may_run_again() {
                        return self.no_endpoint_outcome();
                    }
                }
                Err(SendFailure::Blocked) => {
                    self.front.metrics.record_send("withdrawn");
                    self.undo_placement(&placement);
                    self.possible_runs += 1;
                    self.check_parts(BootInstant::now())?;
                    if !self.may_run_again() {
                        return self.no_endpoint_outcome();
                    }
                }
            }
        }
    }

    /// Whether the request may be sent again although an earlier send may have run.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.possible_runs < self.route.attempts.max(1)
    }

    /// Whether another attempt is left if the present one yields no whole answer.
    fn has_attempt_left(&self) -> bool {
        self.route.kind.is_repeatable() && self.possible_runs + 1 < self.route.attempts
    }

    /// Whether this host can answer the request before it exits.
    fn fits_in_grace(&self, now: BootInstant) -> bool {
        let Some(since) = self.front.stopping_since() else {
            return true;
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        DrainSchedule::from(self.front.settings.times.grace).accepts(now.since(since), left)
    }

    /// Services that can serve the request, in order of preference.
    fn target_services(&self) -> Vec<&ServiceId> {
        let attempt = self.head.attempt.as_deref().unwrap_or_default();
        route_table::ordered_targets(&self.route, attempt)
    }

    /// Whether the request may be sent. Once a send has reached an endpoint, each further send uses
    /// one retry of the allowance.
    fn try_acquire_send(&mut self, service: &ServiceId, now: BootInstant) -> bool {
        if self.delivered_sends == 0 {
            return true;
        }
        let host_count = self.front.host_count();
        let is_granted = self
            .front
            .retries
            .borrow_mut()
            .try_acquire_retry(service, host_count, now);
        if !is_granted {
            self.log
                .add_decision(format_args!("no retry: allowance used up"));
        }
        is_granted
    }

    /// Logs the chosen endpoint and records that it will hold the prompt's prefixes.
    fn record_placement(&mut self, placement: &RequestPlacement, now: BootInstant) {
        let load = placement.endpoint.load.borrow().estimated_requests(now);
        let source = placement.engine.as_ref().and_then(|engine| engine.source);
        let source = source.map_or_else(|| "-".into(), |source| source.to_string());
        self.log.add_decision(format_args!(
            "to {} (cost {:.0} ms, load {load:.1}, to read {}, blocks from {source})",
            placement.endpoint.id, placement.cost_ms, placement.prefill_tokens,
        ));
        if let Some(engine) = &placement.engine {
            let salt = &engine.cache_salt;
            let version = self.newest_table().version();
            self.log
                .add_decision(format_args!("salt {salt} by version {version}"));
        }
        if let Some(age) = placement.endpoint.leaving_for(now) {
            let age_ms = age.as_millis();
            self.log
                .add_decision(format_args!("which said {age_ms} ms ago that it leaves"));
        }
        if let Some(engine) = &placement.engine {
            let mut homes = self.front.homes.borrow_mut();
            let mut hints = self.front.hints.borrow_mut();
            for prefix in &engine.prefixes {
                if homes.record_holder(prefix.id, placement.endpoint.key, false, now) {
                    hints.push_prefix(prefix.id, placement.endpoint.key, false);
                }
            }
        }
    }

    /// Reverts the prefix records of a send that the endpoint did not run.
    fn undo_placement(&self, placement: &RequestPlacement) {
        if let Some(engine) = &placement.engine {
            let mut homes = self.front.homes.borrow_mut();
            for prefix in &engine.prefixes {
                homes.remove_unread(prefix.id, placement.endpoint.key);
            }
        }
    }

    /// Updates the state of an endpoint that refused the request.
    fn handle_refusal(
        &mut self,
        placement: &RequestPlacement,
        head: &AnswerHead,
        now: BootInstant,
    ) {
        self.undo_placement(placement);
        let endpoint = &placement.endpoint;
        self.refused_by.push(endpoint.key);
        if !head.misdirected {
            self.log.add_decision(format_args!("refused: no room"));
            endpoint.load.borrow_mut().mark_full(now);
            self.tried.push(endpoint.key);
            return;
        }
        if head.endpoint.as_ref().is_some_and(|id| *id != endpoint.id) {
            self.log
                .add_decision(format_args!("refused: another endpoint has the address"));
            endpoint.retire();
            self.tried.push(endpoint.key);
            return;
        }
        self.log
            .add_decision(format_args!("refused: other weights"));
        let Some(engine) = &placement.engine else {
            self.tried.push(endpoint.key);
            return;
        };
        let wanted = self
            .front
            .wanted_weights(&engine.model)
            .map_or(0, |w| w.version);
        match head.weights {
            Some(weights) if weights != engine.weights => {
                endpoint.overwrite_weights(&engine.model, weights);
            }
            _ if engine.weights < wanted => endpoint.record_weights(&engine.model, wanted),
            _ => {
                let described = endpoint.published_weights(&engine.model);
                endpoint.overwrite_weights(&engine.model, described);
                self.tried.push(endpoint.key);
            }
        }
    }

    /// Records the endpoint whose response goes to the caller.
    pub(crate) fn set_answering_endpoint(&mut self, endpoint: &EndpointId) {
        self.log.set_answering_endpoint(endpoint);
    }

    /// Whether a broken stream may be resumed at another endpoint.
    pub(crate) fn may_resume(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { resumable: true }) && self.may_run_again()
    }
}

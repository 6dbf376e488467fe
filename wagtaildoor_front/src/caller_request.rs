//! One request of a caller: its sends to endpoints, until one answers or none can.

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
use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    error::{
        ErrorKind,
        RequestError, //
    },
    ids::{
        EndpointId,
        ServiceId, //
    },
};
use wagtaildoor_daemon::answer_body::AnswerBody;

use crate::{
    caller_request::request_admission::AdmittedRequest,
    endpoint::{
        EndpointKey,
        RequestGuard, //
    },
    endpoint_connection::EndpointConnection,
    front::Front,
    prefix_hash,
    request_log::RequestLog,
    request_placement::{
        self,
        PlacementQuery,
        RequestPlacement, //
    },
    route_table,
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

mod answer_read;
mod caller_refusal;
mod connection_headers;
mod request_admission;
mod request_send;

/// Result of work on a request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Sends of one request at most, counting those that were refused.
const MAX_SENDS: u32 = 6;
/// Time after SIGTERM in which requests are taken whose deadline lies beyond the grace: the
/// balancer may have no other host for them yet.
const LONG_REQUEST_ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// A request that is being worked on.
pub struct CallerRequest<C> {
    /// Host.
    pub(crate) front: Rc<Front>,
    /// What its head says.
    pub(crate) head: CallerHead,
    /// Route.
    pub(crate) route: Rc<RouteRule>,
    /// Client account.
    account: Option<Rc<AccountRule>>,
    /// Method.
    method: Method,
    /// Path and query.
    target: PathAndQuery,
    /// Headers for the endpoint.
    headers: HeaderMap,
    /// Body.
    body: Bytes,
    /// When the caller or the route gives up.
    pub(crate) deadline: Instant,
    /// Its log line.
    pub(crate) log: RequestLog,
    /// Endpoints that must not get it again.
    tried: Vec<EndpointKey>,
    /// Sends that reached an endpoint.
    delivered_sends: u32,
    /// All sends.
    sends: u32,
    /// Endpoints on which it has run or may have run.
    possible_runs: u32,
    /// An answer with a failure, for the case that no endpoint gives a better one.
    failure: Option<Response<AnswerBody>>,
    /// Wire format.
    codec: PhantomData<C>,
}

/// An answer whose head has come.
pub struct StartedAnswer {
    /// Counts the request at its endpoint.
    pub guard: RequestGuard,
    /// Connection.
    pub connection: EndpointConnection,
    /// Answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub head: AnswerHead,
}

/// Why a send brought no answer.
enum SendFailure {
    /// The request did not reach the endpoint.
    NotSent(Box<str>),
    /// The endpoint says that it did not run it.
    Refused(AnswerHead),
    /// It may have run.
    Lost(Box<str>),
}

/// Answers one request.
pub async fn handle_request<C: WireCodec>(
    front: Rc<Front>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
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
    /// A request that was admitted and read.
    fn new(
        front: Rc<Front>,
        parts: request::Parts,
        admitted: AdmittedRequest,
        body: Bytes,
        log: RequestLog,
    ) -> Self {
        let mut headers = parts.headers;
        connection_headers::strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        C::strip_caller_headers(&mut headers);
        let time = admitted.head.deadline;
        let time = time.unwrap_or(front.settings.times.default_deadline);
        let time = admitted.route.timeout.map_or(time, |limit| limit.min(time));
        let target = parts.uri.path_and_query().cloned();
        Self {
            deadline: log.arrived() + time,
            front,
            head: admitted.head,
            route: admitted.route,
            account: admitted.account,
            method: parts.method,
            target: target.unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers,
            body,
            log,
            tried: Vec::new(),
            delivered_sends: 0,
            sends: 0,
            possible_runs: 0,
            failure: None,
            codec: PhantomData,
        }
    }

    /// Serves the request, or says why not.
    async fn execute(mut self) -> Response<AnswerBody> {
        let now = BootInstant::now();
        if !self.fits_in_grace(now) {
            let detail = "this host is stopping, others are not";
            let error = RequestError::new(ErrorKind::Overloaded, detail);
            return caller_refusal::refuse(&mut self.log, &error, Some(Duration::ZERO));
        }
        if let Some(service) = self.target_services().first() {
            self.front.retries.borrow_mut().record_request(service, now);
        }
        let deadline = self.deadline;
        let started = match time::timeout_at(deadline, self.send_until_answered(None)).await {
            Ok(Ok(Some(started))) => started,
            Ok(Ok(None)) => return self.respond_with_failure(),
            Ok(Err(error)) => return caller_refusal::refuse(&mut self.log, &error, None),
            Err(_) => return self.respond_at_deadline(),
        };
        if self.route.kind.is_stream() && started.response.status() == StatusCode::OK {
            return self.respond_stream(started);
        }
        self.respond_buffered(started).await
    }

    /// Sends the request until an endpoint answers; `None` when only a failure is left to give.
    pub(crate) async fn send_until_answered(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Option<StartedAnswer>> {
        loop {
            let now = BootInstant::now();
            let Some(placement) = self.choose_endpoint(now) else {
                return self.no_endpoint_outcome();
            };
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
                    self.front.metrics.record_send("not_sent");
                    self.log.add_decision(format_args!("not sent: {reason}"));
                    self.undo_placement(&placement);
                    self.tried.push(placement.endpoint.key);
                }
                Err(SendFailure::Refused(head)) => {
                    self.front.metrics.record_send("refused");
                    self.handle_refusal(&placement, &head, now);
                }
                Err(SendFailure::Lost(reason)) => {
                    self.front.metrics.record_send("lost");
                    self.log.add_decision(format_args!("lost: {reason}"));
                    placement.endpoint.health.borrow_mut().record_outcome(true, now);
                    self.tried.push(placement.endpoint.key);
                    self.possible_runs += 1;
                    if !self.may_run_again() {
                        return self.no_endpoint_outcome();
                    }
                }
            }
        }
    }

    /// Whether the request may run once more after it may have run.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.possible_runs < self.route.attempts.max(1)
    }

    /// Notes that an answer broke off.
    pub(crate) fn record_broken_response(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.possible_runs += 1;
    }

    /// Whether the request can end before the process does.
    fn fits_in_grace(&self, now: BootInstant) -> bool {
        let Some(since) = self.front.stopping_since() else {
            return true;
        };
        let stopping = now.since(since);
        let left = self.deadline.saturating_duration_since(Instant::now());
        stopping < LONG_REQUEST_ACCEPT_TIME || stopping + left < self.front.settings.times.grace
    }

    /// Services that the request may go to.
    fn target_services(&self) -> Vec<&ServiceId> {
        let attempt = self.head.attempt.as_deref().unwrap_or_default();
        route_table::ordered_targets(&self.route, attempt)
    }

    /// Chooses an endpoint.
    fn choose_endpoint(&self, now: BootInstant) -> Option<RequestPlacement> {
        if self.sends >= MAX_SENDS {
            return None;
        }
        let account = self.account.as_ref();
        let isolated = account.filter(|account| account.isolated);
        let attempt = self.head.attempt.as_deref().unwrap_or_default();
        let query = PlacementQuery {
            services: &self.target_services(),
            prompt: self.head.prompt.as_ref(),
            isolated: isolated.map(|account| &*account.id),
            tried: &self.tried,
            draw: prefix_hash::text_hash(attempt),
        };
        request_placement::choose_endpoint(&self.front, &query, now)
    }

    /// Whether one more send keeps the limit on extra sends.
    fn try_acquire_send(&mut self, service: &ServiceId, now: BootInstant) -> bool {
        if self.delivered_sends == 0 {
            return true;
        }
        let hosts = self.front.hosts();
        let granted = self
            .front
            .retries
            .borrow_mut()
            .try_acquire_retry(service, hosts, now);
        if !granted {
            self.log
                .add_decision(format_args!("no retry: allowance used up"));
        }
        granted
    }

    /// Notes a choice, and that its endpoint will hold the prompt.
    fn record_placement(&mut self, placement: &RequestPlacement, now: BootInstant) {
        let load = placement.endpoint.load.borrow().estimated_requests(now);
        let source = placement.engine.as_ref().and_then(|engine| engine.source);
        let source = source.map_or_else(|| "-".into(), |source| source.to_string());
        self.log.add_decision(format_args!(
            "to {} (cost {:.0} ms, load {load:.1}, to read {}, blocks from {source})",
            placement.endpoint.id, placement.cost_ms, placement.prefill_tokens,
        ));
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

    /// Takes back that an endpoint will hold the prompt.
    fn undo_placement(&self, placement: &RequestPlacement) {
        if let Some(engine) = &placement.engine {
            let mut homes = self.front.homes.borrow_mut();
            for prefix in &engine.prefixes {
                homes.remove_unread(prefix.id, placement.endpoint.key);
            }
        }
    }

    /// Learns from a refusal.
    fn handle_refusal(
        &mut self,
        placement: &RequestPlacement,
        head: &AnswerHead,
        now: BootInstant,
    ) {
        self.undo_placement(placement);
        let endpoint = &placement.endpoint;
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

    /// What is left when no endpoint can take the request.
    fn no_endpoint_outcome<T>(&mut self) -> Result<Option<T>> {
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

    /// Ends the request at its deadline; a failure that an endpoint answered is still given.
    fn respond_at_deadline(mut self) -> Response<AnswerBody> {
        if self.failure.is_some() {
            return self.respond_with_failure();
        }
        let error = self.deadline_error();
        caller_refusal::refuse(&mut self.log, &error, None)
    }

    /// What to say at the deadline.
    fn deadline_error(&self) -> RequestError {
        if self.delivered_sends == 0 {
            let detail = "no endpoint could be reached before the deadline";
            RequestError::new(ErrorKind::DeadlineUnreachable, detail)
        } else {
            let detail = "no answer came before the deadline";
            RequestError::new(ErrorKind::DeadlinePassed, detail)
        }
    }

    /// Whether an answer is a failure that another endpoint may do better than.
    fn should_try_another(&self, started: &StartedAnswer) -> bool {
        started.response.status().is_server_error()
            && self.route.kind.is_repeatable()
            && self.possible_runs + 1 < self.route.attempts
            && self.failure.is_none()
    }

    /// Keeps a failure for the case that no endpoint gives a better answer.
    async fn store_failure(&mut self, started: StartedAnswer) {
        let endpoint = started.guard.endpoint().clone();
        let status = started.response.status();
        self.log
            .add_decision(format_args!("failed: status {status}"));
        self.possible_runs += 1;
        self.tried.push(endpoint.key);
        self.failure = self.read_response(started).await.ok();
    }

    /// Gives the failure that was kept.
    fn respond_with_failure(mut self) -> Response<AnswerBody> {
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

    /// Names the endpoint whose answer goes to the caller.
    pub(crate) fn set_answering_endpoint(&mut self, endpoint: &EndpointId) {
        self.log.set_answering_endpoint(endpoint);
    }

    /// Whether a broken stream may be resumed at another endpoint.
    pub(crate) fn may_resume(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { resumable: true }) && self.may_run_again()
    }
}

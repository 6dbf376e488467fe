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
    caller_run::request_admission::AdmittedRequest,
    endpoint::{
        EndpointKey,
        WorkTicket, //
    },
    endpoint_connection::EndpointConnection,
    front::Front,
    prefix_hash,
    request_log::RequestLog,
    request_place::{
        self,
        PlaceQuery,
        RequestPlace, //
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
const SENDS_LIMIT: u32 = 6;
/// Time after SIGTERM in which requests are taken whose deadline lies beyond the grace: the
/// balancer may have no other host for them yet.
const LONG_REQUESTS_TIME: Duration = Duration::from_millis(2_500);

/// A request that is being worked on.
pub struct CallerRun<C> {
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
    arrivals: u32,
    /// All sends.
    sends: u32,
    /// Endpoints on which it has run or may have run.
    runs: u32,
    /// An answer with a failure, for the case that no endpoint gives a better one.
    failure: Option<Response<AnswerBody>>,
    /// Wire format.
    codec: PhantomData<C>,
}

/// An answer whose head has come.
pub struct StartedAnswer {
    /// Counts the request at its endpoint.
    pub ticket: WorkTicket,
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
pub async fn answer<C: WireCodec>(
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
    CallerRun::<C>::new(front, parts, admitted, body, log)
        .execute()
        .await
}

impl<C: WireCodec> CallerRun<C> {
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
            arrivals: 0,
            sends: 0,
            runs: 0,
            failure: None,
            codec: PhantomData,
        }
    }

    /// Serves the request, or says why not.
    async fn execute(mut self) -> Response<AnswerBody> {
        let now = BootInstant::now();
        if !self.ends_in_grace(now) {
            let detail = "this host is stopping, others are not";
            let error = RequestError::new(ErrorKind::Overloaded, detail);
            return caller_refusal::refuse(&mut self.log, &error, Some(Duration::ZERO));
        }
        if let Some(service) = self.services().first() {
            self.front.retries.borrow_mut().request(service, now);
        }
        let deadline = self.deadline;
        let started = match time::timeout_at(deadline, self.first_answer(None)).await {
            Ok(Ok(Some(started))) => started,
            Ok(Ok(None)) => return self.give_failure(),
            Ok(Err(error)) => return caller_refusal::refuse(&mut self.log, &error, None),
            Err(_) => return self.end_at_deadline(),
        };
        if self.route.kind.is_stream() && started.response.status() == StatusCode::OK {
            return self.relay(started);
        }
        self.whole(started).await
    }

    /// Sends the request until an endpoint answers; `None` when only a failure is left to give.
    pub(crate) async fn first_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Option<StartedAnswer>> {
        loop {
            let now = BootInstant::now();
            let Some(place) = self.place(now) else {
                return self.without_place();
            };
            if !self.may_send(&place.endpoint.service.clone(), now) {
                return self.without_place();
            }
            self.note_place(&place, now);
            match self.send(&place, resume_after).await {
                Ok(started) => {
                    if self.wants_other_answer(&started) {
                        self.keep_failure(started).await;
                        continue;
                    }
                    return Ok(Some(started));
                }
                Err(SendFailure::NotSent(reason)) => {
                    self.front.metrics.record_send("not_sent");
                    self.log.decided(format_args!("not sent: {reason}"));
                    self.forget_place(&place);
                    self.tried.push(place.endpoint.key);
                }
                Err(SendFailure::Refused(head)) => {
                    self.front.metrics.record_send("refused");
                    self.take_refusal(&place, &head, now);
                }
                Err(SendFailure::Lost(reason)) => {
                    self.front.metrics.record_send("lost");
                    self.log.decided(format_args!("lost: {reason}"));
                    place.endpoint.health.borrow_mut().record_outcome(true, now);
                    self.tried.push(place.endpoint.key);
                    self.runs += 1;
                    if !self.may_run_again() {
                        return self.without_place();
                    }
                }
            }
        }
    }

    /// Whether the request may run once more after it may have run.
    pub(crate) fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.runs < self.route.attempts.max(1)
    }

    /// Notes that an answer broke off.
    pub(crate) fn broke_off(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.runs += 1;
    }

    /// Whether the request can end before the process does.
    fn ends_in_grace(&self, now: BootInstant) -> bool {
        let Some(since) = self.front.stopping_since() else {
            return true;
        };
        let stopping = now.since(since);
        let left = self.deadline.saturating_duration_since(Instant::now());
        stopping < LONG_REQUESTS_TIME || stopping + left < self.front.settings.times.grace
    }

    /// Services that the request may go to.
    fn services(&self) -> Vec<&ServiceId> {
        let attempt = self.head.attempt.as_deref().unwrap_or_default();
        route_table::targets_in_order(&self.route, attempt)
    }

    /// Chooses an endpoint.
    fn place(&self, now: BootInstant) -> Option<RequestPlace> {
        if self.sends >= SENDS_LIMIT {
            return None;
        }
        let account = self.account.as_ref();
        let isolated = account.filter(|account| account.isolated);
        let attempt = self.head.attempt.as_deref().unwrap_or_default();
        let query = PlaceQuery {
            services: &self.services(),
            prompt: self.head.prompt.as_ref(),
            isolated: isolated.map(|account| &*account.id),
            tried: &self.tried,
            draw: prefix_hash::text_hash(attempt),
        };
        request_place::place(&self.front, &query, now)
    }

    /// Whether one more send keeps the limit on extra sends.
    fn may_send(&mut self, service: &ServiceId, now: BootInstant) -> bool {
        if self.arrivals == 0 {
            return true;
        }
        let hosts = self.front.hosts();
        let granted = self
            .front
            .retries
            .borrow_mut()
            .try_extra(service, hosts, now);
        if !granted {
            self.log
                .decided(format_args!("no retry: allowance used up"));
        }
        granted
    }

    /// Notes a choice, and that its endpoint will hold the prompt.
    fn note_place(&mut self, place: &RequestPlace, now: BootInstant) {
        let load = place.endpoint.load.borrow().estimated_requests(now);
        let source = place.engine.as_ref().and_then(|engine| engine.source);
        let source = source.map_or_else(|| "-".into(), |source| source.to_string());
        self.log.decided(format_args!(
            "to {} (cost {:.0} ms, load {load:.1}, to read {}, blocks from {source})",
            place.endpoint.id, place.cost_ms, place.prefill_tokens,
        ));
        if let Some(engine) = &place.engine {
            let mut homes = self.front.homes.borrow_mut();
            let mut hints = self.front.hints.borrow_mut();
            for prefix in &engine.prefixes {
                if homes.record_holder(prefix.id, place.endpoint.key, false, now) {
                    hints.push_prefix(prefix.id, place.endpoint.key, false);
                }
            }
        }
    }

    /// Takes back that an endpoint will hold the prompt.
    fn forget_place(&self, place: &RequestPlace) {
        if let Some(engine) = &place.engine {
            let mut homes = self.front.homes.borrow_mut();
            for prefix in &engine.prefixes {
                homes.remove_unread(prefix.id, place.endpoint.key);
            }
        }
    }

    /// Learns from a refusal.
    fn take_refusal(&mut self, place: &RequestPlace, head: &AnswerHead, now: BootInstant) {
        self.forget_place(place);
        let endpoint = &place.endpoint;
        if !head.misdirected {
            self.log.decided(format_args!("refused: no room"));
            endpoint.load.borrow_mut().mark_full(now);
            self.tried.push(endpoint.key);
            return;
        }
        if head.endpoint.as_ref().is_some_and(|id| *id != endpoint.id) {
            self.log
                .decided(format_args!("refused: another endpoint has the address"));
            endpoint.retire();
            self.tried.push(endpoint.key);
            return;
        }
        self.log.decided(format_args!("refused: other weights"));
        let Some(engine) = &place.engine else {
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
    fn without_place<T>(&mut self) -> Result<Option<T>> {
        if self.failure.is_some() {
            return Ok(None);
        }
        Err(if self.runs == 0 {
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
    fn end_at_deadline(mut self) -> Response<AnswerBody> {
        if self.failure.is_some() {
            return self.give_failure();
        }
        let error = self.deadline_passed();
        caller_refusal::refuse(&mut self.log, &error, None)
    }

    /// What to say at the deadline.
    fn deadline_passed(&self) -> RequestError {
        if self.arrivals == 0 {
            let detail = "no endpoint could be reached before the deadline";
            RequestError::new(ErrorKind::DeadlineUnreachable, detail)
        } else {
            let detail = "no answer came before the deadline";
            RequestError::new(ErrorKind::DeadlinePassed, detail)
        }
    }

    /// Whether an answer is a failure that another endpoint may do better than.
    fn wants_other_answer(&self, started: &StartedAnswer) -> bool {
        started.response.status().is_server_error()
            && self.route.kind.is_repeatable()
            && self.runs + 1 < self.route.attempts
            && self.failure.is_none()
    }

    /// Keeps a failure for the case that no endpoint gives a better answer.
    async fn keep_failure(&mut self, started: StartedAnswer) {
        let endpoint = started.ticket.endpoint().clone();
        let status = started.response.status();
        self.log.decided(format_args!("failed: status {status}"));
        self.runs += 1;
        self.tried.push(endpoint.key);
        self.failure = self.read_whole(started).await.ok();
    }

    /// Gives the failure that was kept.
    fn give_failure(mut self) -> Response<AnswerBody> {
        match self.failure.take() {
            Some(response) => {
                self.log.ended("failure_relayed");
                response
            }
            None => {
                let error = RequestError::new(ErrorKind::EndpointFailed, "no endpoint answered");
                caller_refusal::refuse(&mut self.log, &error, None)
            }
        }
    }

    /// Names the endpoint whose answer goes to the caller.
    pub(crate) fn answered_by(&mut self, endpoint: &EndpointId) {
        self.log.answered_by(endpoint);
    }

    /// Whether a broken stream may be resumed at another endpoint.
    pub(crate) fn may_resume(&self) -> bool {
        matches!(self.route.kind, RouteKind::Stream { resumable: true }) && self.may_run_again()
    }
}

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
    HeaderName,
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode,
    Uri, //
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::body::Incoming;
use tokio::{
    task,
    time::{
        self,
        Instant, //
    },
};
use wagtaildoor::{
    boot_clock::BootInstant,
    error::{
        ErrorKind,
        RequestError,
        RunOutcome, //
    },
    ids::{
        EndpointId,
        ServiceId, //
    },
};

use wagtaildoor_daemon::answer_body::AnswerBody;

use crate::{
    endpoint::{
        EndpointKey,
        WorkTicket, //
    },
    endpoint_connection::{
        EndpointConnection,
        ExchangeError,
        FRESH_TIME, //
    },
    front::Front,
    prefix_hash,
    request_log::RequestLog,
    request_place::{
        self,
        PlaceQuery,
        RequestPlace, //
    },
    route_table::{
        self,
        KeyVerdict,
        RouteTable, //
    },
    service_config::{
        AccountRule,
        RouteKind,
        RouteRule, //
    },
    stream_relay,
    wire_codec::{
        AnswerHead,
        CallerHead,
        DispatchHead,
        EngineHead,
        WireCodec, //
    },
};

/// Result of work on a request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Parts held for a slow caller before the endpoint is held back.
const RELAY_PARTS: usize = 32;
/// Sends of one request at most, counting those that were refused.
const SENDS_LIMIT: u32 = 6;
/// Largest answer that is held until it is complete.
const WHOLE_ANSWER_LIMIT: usize = 8 << 20;
/// Time a caller has to send a body.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Time after SIGTERM in which requests are taken whose deadline lies beyond the grace: the
/// balancer may have no other host for them yet.
const LONG_REQUESTS_TIME: Duration = Duration::from_millis(2_500);
/// Advice on when to come back, where no better estimate is known.
const RETRY_SOON: Duration = Duration::from_millis(400);
/// Sends that were answered after a later start, from which on an earlier one is taken as lost.
const OVERTAKEN_LIMIT: u32 = 4;
/// Pause between looks at whether a send was overtaken.
const OVERTAKEN_PAUSE: Duration = Duration::from_millis(100);
/// Least wait before a send counts as lost because later ones were answered, as a multiple of the
/// route's target for the first part of an answer.
const OVERTAKEN_TARGETS: f64 = 2.0;

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
    let head = C::caller_head(&parts.headers);
    let mut log = RequestLog::new(front.clone(), head.attempt.as_ref());
    let admitted = match admit(&front, &parts, head, &mut log) {
        Ok(admitted) => admitted,
        Err(error) => return refuse(&mut log, &error, None),
    };
    let limit = admitted.table.limits().body_bytes;
    let body = match read_body(body, limit).await {
        Ok(body) => body,
        Err(error) => return refuse(&mut log, &error, None),
    };
    CallerRun::<C>::new(front, parts, admitted, body, log)
        .execute()
        .await
}

/// A request that may be served.
struct AdmittedRequest {
    /// Configuration that admitted it.
    table: Rc<RouteTable>,
    /// What its head says.
    head: CallerHead,
    /// Route.
    route: Rc<RouteRule>,
    /// Client account.
    account: Option<Rc<AccountRule>>,
}

/// Checks a request against the configuration.
fn admit(
    front: &Front,
    parts: &request::Parts,
    head: CallerHead,
    log: &mut RequestLog,
) -> Result<AdmittedRequest> {
    let Some(table) = front.routes() else {
        let detail = "this host has read no configuration yet";
        return Err(RequestError::new(ErrorKind::NotConfigured, detail));
    };
    let host = host_name(parts);
    let Some(route) = table.route(&host, parts.uri.path()).cloned() else {
        let detail = format!("no route for host {host} and this path");
        return Err(RequestError::new(ErrorKind::UnknownRoute, detail));
    };
    let account = match table.key(&route, head.key.as_deref()) {
        KeyVerdict::Account(account) => Some(account),
        KeyVerdict::Anonymous => None,
        KeyVerdict::Unknown => {
            let detail = "the key belongs to no client account";
            return Err(RequestError::new(ErrorKind::Unauthorized, detail));
        }
    };
    let account_id = account.as_ref().map(|account| &account.id);
    log.classified(&route.id, account_id, table.version());
    if head.attempt.is_none() {
        let detail = "the request carries no attempt id";
        return Err(RequestError::new(ErrorKind::BadRequest, detail));
    }
    Ok(AdmittedRequest {
        table,
        head,
        route,
        account,
    })
}

/// Host that a request names, without its port.
fn host_name(parts: &request::Parts) -> Box<str> {
    let named = parts.headers.get(header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    host.to_ascii_lowercase().into()
}

/// Reads a body to its end.
async fn read_body(body: Incoming, limit: usize) -> Result<Bytes> {
    let limited = Limited::new(body, limit);
    match time::timeout(BODY_TIME, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {limit} bytes");
            Err(RequestError::new(ErrorKind::BodyTooLarge, detail))
        }
        Ok(Err(error)) => {
            let detail = format!("the body cannot be read: {error}");
            Err(RequestError::new(ErrorKind::BadRequest, detail))
        }
        Err(_) => {
            let detail = format!("the body did not come within {} s", BODY_TIME.as_secs());
            Err(RequestError::new(ErrorKind::BodyTimeout, detail))
        }
    }
}

/// The answer to a request that is not served.
pub(crate) fn refuse(
    log: &mut RequestLog,
    error: &RequestError,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    log.decided(format_args!("{error}"));
    log.ended(outcome_name(error.kind));
    let table = error.kind.answer();
    let mut response = Response::new(AnswerBody::whole(format!("{error}\n")));
    *response.status_mut() =
        StatusCode::from_u16(table.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if table.retry_after.is_some() && table.outcome == RunOutcome::NotRun {
        let after = retry_after.unwrap_or(RETRY_SOON).as_secs_f64();
        if let Ok(value) = HeaderValue::from_str(&format!("{after:.2}")) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Name of an outcome in logs and metrics.
fn outcome_name(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::BadRequest => "bad_request",
        ErrorKind::BodyTooLarge => "body_too_large",
        ErrorKind::BodyTimeout => "body_timeout",
        ErrorKind::Unauthorized => "unauthorized",
        ErrorKind::UnknownRoute => "unknown_route",
        ErrorKind::Overloaded => "overloaded",
        ErrorKind::DeadlineUnreachable => "deadline_unreachable",
        ErrorKind::NoEndpoint => "no_endpoint",
        ErrorKind::NotConfigured => "not_configured",
        ErrorKind::EndpointFailed => "endpoint_failed",
        ErrorKind::DeadlinePassed => "deadline_passed",
        ErrorKind::OutcomeUnknown => "outcome_unknown",
        ErrorKind::StreamBroken => "stream_broken",
        _ => "error",
    }
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
        strip_connection_headers(&mut headers);
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
            return refuse(&mut self.log, &error, Some(Duration::ZERO));
        }
        if let Some(service) = self.services().first() {
            self.front.retries.borrow_mut().request(service, now);
        }
        let deadline = self.deadline;
        let started = match time::timeout_at(deadline, self.first_answer(None)).await {
            Ok(Ok(Some(started))) => started,
            Ok(Ok(None)) => return self.give_failure(),
            Ok(Err(error)) => return refuse(&mut self.log, &error, None),
            Err(_) => {
                let error = self.deadline_passed();
                return refuse(&mut self.log, &error, None);
            }
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
                    self.front.metrics.send("not_sent");
                    self.log.decided(format_args!("not sent: {reason}"));
                    self.forget_place(&place);
                    self.tried.push(place.endpoint.key);
                }
                Err(SendFailure::Refused(head)) => {
                    self.front.metrics.send("refused");
                    self.take_refusal(&place, &head, now);
                }
                Err(SendFailure::Lost(reason)) => {
                    self.front.metrics.send("lost");
                    self.log.decided(format_args!("lost: {reason}"));
                    place.endpoint.health.borrow_mut().outcome(true, now);
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
        let load = place.endpoint.load.borrow().requests(now);
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
                if homes.note(prefix.id, place.endpoint.key, false, now) {
                    hints.placed(prefix.id, place.endpoint.key, false);
                }
            }
        }
    }

    /// Takes back that an endpoint will hold the prompt.
    fn forget_place(&self, place: &RequestPlace) {
        if let Some(engine) = &place.engine {
            let mut homes = self.front.homes.borrow_mut();
            for prefix in &engine.prefixes {
                homes.forget(prefix.id, place.endpoint.key);
            }
        }
    }

    /// Learns from a refusal.
    fn take_refusal(&mut self, place: &RequestPlace, head: &AnswerHead, now: BootInstant) {
        self.forget_place(place);
        let endpoint = &place.endpoint;
        if !head.misdirected {
            self.log.decided(format_args!("refused: no room"));
            endpoint.load.borrow_mut().refused(now);
            self.tried.push(endpoint.key);
            return;
        }
        if head.endpoint.as_ref().is_some_and(|id| *id != endpoint.id) {
            self.log
                .decided(format_args!("refused: another endpoint has the address"));
            endpoint.withdraw();
            self.tried.push(endpoint.key);
            return;
        }
        self.log.decided(format_args!("refused: other weights"));
        let Some(engine) = &place.engine else {
            self.tried.push(endpoint.key);
            return;
        };
        let wanted = self.front.wanted(&engine.model).map_or(0, |w| w.version);
        match head.weights {
            Some(weights) if weights != engine.weights => {
                endpoint.reset_weights(&engine.model, weights);
            }
            _ if engine.weights < wanted => endpoint.saw_weights(&engine.model, wanted),
            _ => {
                let described = endpoint.described_weights(&engine.model);
                endpoint.reset_weights(&engine.model, described);
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

    /// Sends the request to one endpoint, and waits for the head of its answer.
    async fn send(
        &mut self,
        place: &RequestPlace,
        resume_after: Option<u64>,
    ) -> std::result::Result<StartedAnswer, SendFailure> {
        self.sends += 1;
        let endpoint = &place.endpoint;
        let mut ticket = endpoint.begin(place.prefill_tokens, BootInstant::now());
        if place.engine.is_some() {
            self.front.hints.borrow_mut().work(endpoint.key);
        }
        loop {
            let mut connection = self.connection(place).await?;
            let reused = connection.is_reused();
            let request = self.request(place, resume_after);
            self.arrivals += 1;
            match self
                .exchange(place, &mut connection, &ticket, request)
                .await
            {
                Ok(response) => {
                    let now = BootInstant::now();
                    ticket.started(now);
                    if place.engine.is_some() {
                        self.front.hints.borrow_mut().work(endpoint.key);
                    }
                    return self.judge_head(place, ticket, connection, response, now);
                }
                Err(ExchangeError::NotSent(reason)) => {
                    self.arrivals -= 1;
                    if !reused {
                        return Err(SendFailure::NotSent(reason));
                    }
                }
                Err(ExchangeError::AnswerLost(reason)) => return Err(SendFailure::Lost(reason)),
            }
        }
    }

    /// A connection to the endpoint.
    async fn connection(
        &self,
        place: &RequestPlace,
    ) -> std::result::Result<EndpointConnection, SendFailure> {
        let fresh = if self.route.kind.is_repeatable() {
            Duration::MAX
        } else {
            FRESH_TIME
        };
        let endpoint = &place.endpoint;
        if let Some(idle) = endpoint.connections.take_idle(fresh, BootInstant::now()) {
            return Ok(idle);
        }
        endpoint.connections.connect().await.map_err(|error| {
            let now = BootInstant::now();
            endpoint.health.borrow_mut().unreachable(now);
            slog::warn!(self.front.log, "endpoint unreachable";
                "endpoint" => &*endpoint.id, "error" => %error);
            SendFailure::NotSent(error.to_string().into())
        })
    }

    /// Waits for the head of an answer, as long as there is hope for one.
    async fn exchange(
        &self,
        place: &RequestPlace,
        connection: &mut EndpointConnection,
        ticket: &WorkTicket,
        request: Request<Full<Bytes>>,
    ) -> crate::endpoint_connection::Result<Response<Incoming>> {
        if !self.route.kind.is_repeatable() {
            return connection.exchange(request).await;
        }
        let silence = place.endpoint.health.borrow().silence();
        tokio::select! {
            answer = connection.exchange(request) => answer,
            () = silence.cancelled() => {
                Err(ExchangeError::AnswerLost("endpoint is silent".into()))
            }
            () = self.overtaken(ticket) => {
                Err(ExchangeError::AnswerLost("later requests were answered before".into()))
            }
        }
    }

    /// Waits until a send counts as lost because later ones were answered.
    async fn overtaken(&self, ticket: &WorkTicket) {
        let least = self.route.first_answer.mul_f64(OVERTAKEN_TARGETS);
        time::sleep(least).await;
        while !ticket.overtaken(OVERTAKEN_LIMIT) || self.runs + 1 >= self.route.attempts {
            time::sleep(OVERTAKEN_PAUSE).await;
        }
    }

    /// Takes an answer's head for what it is.
    fn judge_head(
        &self,
        place: &RequestPlace,
        ticket: WorkTicket,
        connection: EndpointConnection,
        response: Response<Incoming>,
        now: BootInstant,
    ) -> std::result::Result<StartedAnswer, SendFailure> {
        let head = C::answer_head(response.status(), response.headers());
        let foreign = head.attempt.is_some() && head.attempt != self.head.attempt;
        if foreign {
            return Err(SendFailure::Lost("the answer is to another request".into()));
        }
        let endpoint = &place.endpoint;
        if let Some(load) = head.load {
            endpoint.saw_load(load, now);
        }
        if head.not_run || head.misdirected {
            return Err(SendFailure::Refused(head));
        }
        if let (Some(engine), Some(weights)) = (&place.engine, head.weights) {
            endpoint.saw_weights(&engine.model, weights);
        }
        let garbled = response.headers().contains_key(header::CONTENT_ENCODING);
        if garbled || (!head.signed && response.status().is_success()) {
            return Err(SendFailure::Lost("the answer is not the endpoint's".into()));
        }
        if let Some(engine) = &place.engine {
            let mut homes = self.front.homes.borrow_mut();
            let mut hints = self.front.hints.borrow_mut();
            for prefix in &engine.prefixes {
                if homes.note(prefix.id, endpoint.key, true, now) {
                    hints.placed(prefix.id, endpoint.key, true);
                }
                let copy = engine.copy_to.as_ref().map(|store| store.key);
                if copy.is_some_and(|store| homes.note(prefix.id, store, true, now)) {
                    hints.placed(prefix.id, copy.unwrap_or_default(), true);
                }
            }
        }
        Ok(StartedAnswer {
            ticket,
            connection,
            response,
            head,
        })
    }

    /// The request as it goes to an endpoint.
    fn request(&self, place: &RequestPlace, resume_after: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let mut headers = self.headers.clone();
        let account = self.account.as_ref();
        let account_urgency = account.and_then(|account| account.urgency);
        let engine = place.engine.as_ref().map(|engine| EngineHead {
            weights: engine.weights,
            cache_wall: &engine.wall,
            cache_source: engine.source,
            cache_copy: engine.copy_to.as_ref().map(|store| store.address),
        });
        let head = DispatchHead {
            endpoint: &place.endpoint.id,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            account: account.map(|account| &account.id),
            urgency: account_urgency.unwrap_or(self.route.urgency),
            engine,
            resume_after,
        };
        C::write_dispatch(&mut headers, &head);
        *request.headers_mut() = headers;
        request
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
                refuse(&mut self.log, &error, None)
            }
        }
    }

    /// Reads an answer to its end, and gives it.
    async fn whole(mut self, mut started: StartedAnswer) -> Response<AnswerBody> {
        loop {
            let endpoint = started.ticket.endpoint().clone();
            let deadline = self.deadline;
            let reason = match time::timeout_at(deadline, self.read_whole(started)).await {
                Ok(Ok(response)) => {
                    self.log.answered_by(&endpoint.id);
                    self.log.first_part();
                    self.log.ended(match response.status().is_success() {
                        true => "answered",
                        false => "failure_relayed",
                    });
                    return response;
                }
                Ok(Err(reason)) => reason,
                Err(_) => {
                    let error = self.deadline_passed();
                    return refuse(&mut self.log, &error, None);
                }
            };
            self.log.decided(format_args!("broke off: {reason}"));
            endpoint
                .health
                .borrow_mut()
                .outcome(true, BootInstant::now());
            self.broke_off(endpoint.key);
            let next = match self.may_run_again() {
                true => time::timeout_at(deadline, self.first_answer(None)).await,
                false => Ok(self.without_place()),
            };
            started = match next {
                Ok(Ok(Some(next))) => next,
                Ok(Ok(None)) => return self.give_failure(),
                Ok(Err(error)) => return refuse(&mut self.log, &error, None),
                Err(_) => {
                    let error = self.deadline_passed();
                    return refuse(&mut self.log, &error, None);
                }
            };
        }
    }

    /// Reads an answer to its end.
    async fn read_whole(
        &mut self,
        started: StartedAnswer,
    ) -> std::result::Result<Response<AnswerBody>, Box<str>> {
        let (parts, body) = started.response.into_parts();
        let limited = Limited::new(body, WHOLE_ANSWER_LIMIT);
        let silence = started.ticket.endpoint().health.borrow().silence();
        let body = tokio::select! {
            body = limited.collect() => body.map_err(|error| error.to_string())?,
            () = silence.cancelled() => return Err("endpoint is silent".into()),
        };
        let now = BootInstant::now();
        let endpoint = started.ticket.endpoint();
        let failed = parts.status.is_server_error();
        endpoint.health.borrow_mut().outcome(failed, now);
        self.front
            .metrics
            .send(if failed { "failed" } else { "answered" });
        if !started.head.closing {
            endpoint
                .connections
                .give_back(started.connection, started.head.idle_limit, now);
        }
        Ok(caller_response(parts, AnswerBody::whole(body.to_bytes())))
    }

    /// Relays a stream while it comes.
    fn relay(self, started: StartedAnswer) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::relayed(RELAY_PARTS);
        let (parts, incoming) = started.response.into_parts();
        let response = caller_response(parts, body);
        let stream = stream_relay::StreamSource {
            ticket: started.ticket,
            connection: started.connection,
            body: incoming,
            head: started.head,
        };
        task::spawn_local(stream_relay::relay(self, stream, sender));
        response
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

/// An endpoint's answer as it goes to the caller.
fn caller_response(mut parts: http::response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers;
    response
}

/// Takes out headers that concern one connection only, and those that `Connection` names.
fn strip_connection_headers(headers: &mut HeaderMap) {
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

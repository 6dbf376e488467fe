//! One send of a request to one endpoint.

use std::time::Duration;

use bytes::Bytes;
use http::{
    header,
    Request,
    Response,
    Uri, //
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    caller_run::{
        CallerRun,
        SendFailure,
        StartedAnswer, //
    },
    endpoint::WorkTicket,
    endpoint_connection::{
        self,
        EndpointConnection,
        ExchangeError,
        FRESH_TIME, //
    },
    request_place::RequestPlace,
    wire_codec::{
        DispatchHead,
        EngineHead,
        WireCodec, //
    },
};

/// Result of a send.
type Result<T> = std::result::Result<T, SendFailure>;

/// Sends that were answered after a later start, from which on an earlier one is taken as lost.
const OVERTAKEN_LIMIT: u32 = 4;
/// Pause between looks at whether a send was overtaken.
const OVERTAKEN_PAUSE: Duration = Duration::from_millis(100);
/// Least wait before a send counts as lost because later ones were answered, as a multiple of the
/// route's target for the first part of an answer.
const OVERTAKEN_TARGETS: f64 = 2.0;

impl<C: WireCodec> CallerRun<C> {
    /// Sends the request to one endpoint, and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        place: &RequestPlace,
        resume_after: Option<u64>,
    ) -> Result<StartedAnswer> {
        self.sends += 1;
        let endpoint = &place.endpoint;
        let mut ticket = endpoint.begin(place.prefill_tokens, BootInstant::now());
        if place.engine.is_some() {
            self.front
                .hints
                .borrow_mut()
                .mark_load_changed(endpoint.key);
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
                        self.front
                            .hints
                            .borrow_mut()
                            .mark_load_changed(endpoint.key);
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
    async fn connection(&self, place: &RequestPlace) -> Result<EndpointConnection> {
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
            endpoint.health.borrow_mut().mark_unreachable(now);
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
    ) -> endpoint_connection::Result<Response<Incoming>> {
        if !self.route.kind.is_repeatable() {
            return connection.exchange(request).await;
        }
        let silence = place.endpoint.health.borrow().silence_token();
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
        let least = self.route.first_answer_target.mul_f64(OVERTAKEN_TARGETS);
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
    ) -> Result<StartedAnswer> {
        let head = C::parse_answer_head(response.status(), response.headers());
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
            endpoint.record_weights(&engine.model, weights);
        }
        let garbled = response.headers().contains_key(header::CONTENT_ENCODING);
        if garbled || (!head.signed && response.status().is_success()) {
            return Err(SendFailure::Lost("the answer is not the endpoint's".into()));
        }
        if let Some(engine) = &place.engine {
            let mut homes = self.front.homes.borrow_mut();
            let mut hints = self.front.hints.borrow_mut();
            for prefix in &engine.prefixes {
                if homes.record_holder(prefix.id, endpoint.key, true, now) {
                    hints.push_prefix(prefix.id, endpoint.key, true);
                }
                let copy = engine.copy_to.as_ref().map(|store| store.key);
                if copy.is_some_and(|store| homes.record_holder(prefix.id, store, true, now)) {
                    hints.push_prefix(prefix.id, copy.unwrap_or_default(), true);
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
            cache_salt: &engine.wall,
            cache_source: engine.source,
            cache_destination: engine.copy_to.as_ref().map(|store| store.address),
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
}

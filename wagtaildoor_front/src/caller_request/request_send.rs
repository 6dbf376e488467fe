//! Sends a request to one endpoint and checks the response head.

use std::{
    ops::RangeInclusive,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    header,
    HeaderMap,
    Request,
    Response,
    Uri, //
};
use http_body_util::Full;
use hyper::body::{
    Body,
    Incoming, //
};
use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    caller_request::{
        CallerRequest,
        SendFailure,
        StartedResponse, //
    },
    end_witness::EndWitness,
    endpoint::{
        Endpoint,
        RequestGuard, //
    },
    endpoint_connection::{
        self,
        ConnectionUse,
        EndpointConnection,
        ExchangeError, //
    },
    endpoint_limit::limit_news,
    engine_crash,
    engine_loads::{
        self,
        LoadEvidence, //
    },
    request_placement::RequestPlacement,
    wire_codec::{
        DispatchHead,
        EngineHead,
        StatedRate,
        WireCodec, //
    },
};

/// Result type for sends.
type Result<T> = std::result::Result<T, SendFailure>;

/// Statuses of answers. The HTTP library takes 101 and all numbers of three digits from 200 for final.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Number of later sends that must be answered first before an earlier send counts as lost.
const MIN_OVERTAKING_RESPONSES: u32 = 4;
/// Interval between checks whether a send was overtaken.
const OVERTAKEN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum wait before an overtaken send counts as lost, as a multiple of the route's target for
/// the first part of a response.
const OVERTAKEN_TARGET_FACTOR: f64 = 2.0;

impl<C: WireCodec> CallerRequest<C> {
    /// Sends the request to the endpoint and waits for the response head.
    pub(super) async fn send(
        &mut self,
        placement: &RequestPlacement,
        resume_after: Option<u64>,
    ) -> Result<StartedResponse> {
        self.sends += 1;
        let endpoint = &placement.endpoint;
        endpoint
            .statements
            .limit
            .borrow_mut()
            .take(BootInstant::now());
        let mut guard = endpoint.start_request(placement.prefill_tokens, BootInstant::now());
        if placement.engine.is_some() {
            self.front
                .hints
                .borrow_mut()
                .mark_load_changed(endpoint.key);
        }
        loop {
            let mut connection = self.acquire_connection(placement).await?;
            let reused = connection.is_reused();
            let request = self.build_request(placement, resume_after);
            self.delivered_sends += 1;
            if let Some(grant) = &mut self.grant {
                grant.mark_sent();
            }
            self.sent_parts = engine_crash::known_crashes(&self.front, &self.parts);
            let sent_at = Instant::now();
            let exchange = self.exchange(placement, &mut connection, &guard, request);
            let answer = tokio::select! {
                biased;
                () = self.wait_until_blocked() => return Err(SendFailure::Blocked),
                answer = exchange => answer,
            };
            match answer {
                Ok(response) => {
                    let now = BootInstant::now();
                    guard.mark_started(now);
                    if placement.engine.is_some() {
                        self.front
                            .hints
                            .borrow_mut()
                            .mark_load_changed(endpoint.key);
                    }
                    if resume_after.is_none() {
                        self.record_prefill_speed(placement, sent_at.elapsed(), &response);
                    }
                    return self.check_response_head(placement, guard, connection, response, now);
                }
                Err(ExchangeError::NotSent(reason)) => {
                    self.delivered_sends -= 1;
                    if !reused {
                        return Err(SendFailure::NotSent(reason));
                    }
                }
                Err(ExchangeError::AnswerLost(reason)) => {
                    let mut links = self.front.broken_links.borrow_mut();
                    links.record(&endpoint.domain, BootInstant::now());
                    return Err(SendFailure::Lost(reason));
                }
            }
        }
    }

    /// Learns from the time to the first part of a successful response.
    fn record_prefill_speed(
        &self,
        placement: &RequestPlacement,
        took: Duration,
        response: &Response<Incoming>,
    ) {
        if let Some(engine) = placement
            .engine
            .as_ref()
            .filter(|_| response.status().is_success())
        {
            let tokens = engine.queued_tokens + placement.prefill_tokens as f64;
            let mut speeds = self.front.prefill_speeds.borrow_mut();
            speeds.record(&placement.endpoint.service, tokens, took);
        }
    }

    /// Takes an idle connection to the endpoint or opens a new one.
    async fn acquire_connection(&self, placement: &RequestPlacement) -> Result<EndpointConnection> {
        let endpoint = &placement.endpoint;
        // The same refusal, once more on a kept connection, would name this request as well.
        if self.refused_by.contains(&endpoint.key) {
            return self.connect(placement).await;
        }
        let usage = match self.route.kind.is_repeatable() {
            true => ConnectionUse::Repeatable,
            false => {
                let links = self.front.broken_links.borrow();
                ConnectionUse::AtMostOnce(links.trusted_since(&endpoint.domain))
            }
        };
        if let Some(idle) = endpoint.connections.take_idle(usage, BootInstant::now()) {
            return Ok(idle);
        }
        self.connect(placement).await
    }

    /// Opens a connection to the endpoint.
    async fn connect(&self, placement: &RequestPlacement) -> Result<EndpointConnection> {
        let endpoint = &placement.endpoint;
        endpoint.connections.connect().await.map_err(|error| {
            let now = BootInstant::now();
            endpoint.health.borrow_mut().mark_unreachable(now);
            self.front
                .broken_links
                .borrow_mut()
                .record(&endpoint.domain, now);
            slog::warn!(self.front.log, "endpoint unreachable";
                "endpoint" => &*endpoint.id, "error" => %error);
            SendFailure::NotSent(error.to_string().into())
        })
    }

    /// Waits for the response head. Repeatable requests give up early if the endpoint is silent or
    /// later requests were answered first.
    async fn exchange(
        &self,
        placement: &RequestPlacement,
        connection: &mut EndpointConnection,
        guard: &RequestGuard,
        request: Request<Full<Bytes>>,
    ) -> endpoint_connection::Result<Response<Incoming>> {
        if !self.route.kind.is_repeatable() {
            return connection.exchange(request).await;
        }
        let silence = placement.endpoint.health.borrow().silence_token();
        tokio::select! {
            answer = connection.exchange(request) => answer,
            () = silence.cancelled() => {
                Err(ExchangeError::AnswerLost("endpoint is silent".into()))
            }
            () = self.wait_until_overtaken(guard) => {
                Err(ExchangeError::AnswerLost("later requests were answered first".into()))
            }
        }
    }

    /// Waits until enough later sends were answered that this one counts as lost. Keeps waiting if
    /// the request has no further attempt.
    async fn wait_until_overtaken(&self, guard: &RequestGuard) {
        let min_wait = self
            .route
            .first_answer_target
            .mul_f64(OVERTAKEN_TARGET_FACTOR);
        time::sleep(min_wait).await;
        while !guard.is_overtaken(MIN_OVERTAKING_RESPONSES)
            || self.possible_runs + 1 >= self.route.attempts
        {
            time::sleep(OVERTAKEN_CHECK_INTERVAL).await;
        }
    }

    /// Checks that the response is valid and updates the endpoint's state from its head.
    fn check_response_head(
        &self,
        placement: &RequestPlacement,
        guard: RequestGuard,
        connection: EndpointConnection,
        response: Response<Incoming>,
        now: BootInstant,
    ) -> Result<StartedResponse> {
        let status = response.status();
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            let reason = format!("status {} is not that of an answer", status.as_u16());
            return Err(SendFailure::Lost(reason.into()));
        }
        let head = C::parse_answer_head(status, response.headers());
        let is_refusal = head.not_run || head.misdirected;
        let is_foreign = match &head.attempt {
            Some(attempt) => Some(attempt) != self.head.attempt.as_ref(),
            // An earlier refusal may have been written once more. Endpoints name the request.
            None => is_refusal,
        };
        if is_foreign {
            return Err(SendFailure::Lost(
                "the response belongs to another request".into(),
            ));
        }
        let endpoint = &placement.endpoint;
        if let Some(load) = head.load {
            endpoint.record_load(load, now);
        }
        // A misdirected request was answered by another endpoint, or not for its own sake.
        if !head.misdirected {
            if head.leaving {
                self.record_leaving(endpoint, now);
            }
            // Spoilt answers, which do not name the request, lift no limit.
            if head.attempt.is_some() || head.rate_limit != StatedRate::Unlimited {
                limit_news::apply_answer(&self.front, endpoint, head.rate_limit, now);
            }
        }
        if is_refusal {
            return Err(SendFailure::Refused(head));
        }
        if let (Some(engine), Some(weights)) = (&placement.engine, head.weights) {
            let evidence = LoadEvidence::Response;
            engine_loads::record_weights(&self.front, endpoint, &engine.model, weights, evidence);
        }
        let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
        if is_encoded || (!head.signed && status.is_success()) {
            return Err(SendFailure::Lost(
                "the response is unsigned or encoded".into(),
            ));
        }
        if let Some(engine) = &placement.engine {
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
        let ends_with_connection =
            !response.body().is_end_stream() && !has_framing(response.headers());
        Ok(StartedResponse {
            guard,
            connection,
            response,
            head,
            begun_at: now,
            end_witness: ends_with_connection
                .then(|| EndWitness::attach(endpoint, self.table.clone())),
        })
    }

    /// Records and logs that an endpoint says in its answer that it leaves.
    fn record_leaving(&self, endpoint: &Endpoint, now: BootInstant) {
        if !endpoint.record_leaving(now) {
            return;
        }
        let list_read_at = self.front.list_read_at.get();
        let list_age_ms = list_read_at.map(|at| now.since(at).as_millis() as u64);
        slog::info!(self.front.log, "endpoint"; "endpoint" => &*endpoint.id, "change" => "leaving",
            "by" => "answer", "listed" => ?endpoint.published_state(),
            "list_age_ms" => list_age_ms);
    }

    /// Builds the request for the endpoint.
    fn build_request(
        &self,
        placement: &RequestPlacement,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let mut headers = self.headers.clone();
        let account = self.account.as_ref();
        let ranking = self.front.settings.ranking;
        let engine = placement.engine.as_ref().map(|engine| EngineHead {
            weights: engine.weights,
            cache_salt: &engine.cache_salt,
            cache_source: engine.source,
            cache_destination: engine.copy_to.as_ref().map(|store| store.address),
        });
        let head = DispatchHead {
            endpoint: &placement.endpoint.id,
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            account: account.map(|account| &account.id),
            urgency: ranking.engine_urgency(&self.ranked_request()),
            engine,
            resume_after,
        };
        C::write_dispatch(&mut headers, &head);
        *request.headers_mut() = headers;
        request
    }
}

/// Whether a length or chunks mark the end of a body.
fn has_framing(headers: &HeaderMap) -> bool {
    let Some(codings) = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back()
    else {
        return headers.contains_key(header::CONTENT_LENGTH);
    };
    let last_coding = codings.as_bytes().rsplit(|&byte| byte == b',').next();
    last_coding.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

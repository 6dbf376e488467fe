//! Relays an event stream to the caller and resumes it at another endpoint if it breaks.

use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::mpsc::Sender,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_daemon::response_body::{
    self,
    StreamInterrupted, //
};

use crate::{
    caller_request::{
        CallerRequest,
        StartedResponse, //
    },
    end_witness::{
        end_check::EndFinding,
        EndWitness, //
    },
    endpoint::RequestGuard,
    endpoint_connection::EndpointConnection,
    engine_crash,
    engine_loads::{
        self,
        LoadEvidence, //
    },
    event_splitter::EventSplitter,
    wire_codec::{
        AnswerHead,
        WireCodec, //
    },
};

/// Share of the caller's patience after which a stream without complete events is resumed elsewhere.
/// Bytes that complete no event do not count as progress.
const STALL_SHARE: f64 = 0.75;

/// A response stream from an endpoint.
pub struct StreamSource {
    /// Counts the request in the endpoint's load until dropped.
    pub guard: RequestGuard,
    /// Connection that carries the stream.
    pub connection: EndpointConnection,
    /// Unread part of the response body.
    pub body: Incoming,
    /// Fields parsed from the response headers.
    pub head: AnswerHead,
    /// When the head arrived.
    pub begun_at: BootInstant,
    /// Set if only the end of the connection marks the end of the stream.
    pub end_witness: Option<Rc<EndWitness>>,
    /// Whether a complete event has arrived.
    pub has_event: bool,
    /// Number of body bytes from this source that went to the caller.
    pub passed_bytes: u64,
    /// Whether the answer has gone on for so long that its prompt does not crash its engine.
    pub is_past_beginning: bool,
}

impl From<StartedResponse> for StreamSource {
    fn from(started: StartedResponse) -> Self {
        Self {
            guard: started.guard,
            connection: started.connection,
            body: started.response.into_body(),
            head: started.head,
            begun_at: started.begun_at,
            end_witness: started.end_witness,
            has_event: false,
            passed_bytes: 0,
            is_past_beginning: false,
        }
    }
}

/// How a response stream ended.
enum SourceEnd {
    /// The stream is complete.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The deadline passed before the stream ended.
    DeadlinePassed,
    /// The stream broke off for the given reason.
    Broken(Box<str>),
}

/// Relays a stream to the caller until it completes, fails or the caller disconnects.
pub async fn relay<C: WireCodec>(
    mut request: CallerRequest<C>,
    mut source: StreamSource,
    parts: Sender<response_body::Result<Bytes>>,
) {
    let mut events = EventSplitter::for_route(request.route.kind);
    loop {
        let endpoint = source.guard.endpoint().clone();
        request.set_answering_endpoint(&endpoint.id);
        let end = relay_events(&mut request, &mut source, &mut events, &parts).await;
        let now = BootInstant::now();
        let reason = match end {
            SourceEnd::Complete => {
                let comments = events.take_early_comments();
                if !comments.is_empty() {
                    // A failed send means that the caller already disconnected.
                    let _ = parts.send(Ok(comments)).await;
                }
                endpoint.health.borrow_mut().record_outcome(false, now);
                request.front.metrics.record_send("answered");
                if source.has_event {
                    request.record_sound_parts();
                }
                if !source.head.closing && source.end_witness.is_none() {
                    let idle_limit = source.head.idle_limit;
                    endpoint
                        .connections
                        .put_idle(source.connection, idle_limit, now);
                }
                request.log.set_outcome("answered");
                return;
            }
            SourceEnd::CallerLeft => return,
            SourceEnd::DeadlinePassed => {
                request.log.set_outcome("deadline_passed");
                break;
            }
            SourceEnd::Broken(reason) => reason,
        };
        let passed_bytes = source.passed_bytes;
        request.log.add_decision(format_args!(
            "broke off: {reason}, {passed_bytes} bytes passed on"
        ));
        endpoint.health.borrow_mut().record_outcome(true, now);
        request
            .front
            .broken_links
            .borrow_mut()
            .record(&endpoint.domain, now);
        request.front.metrics.record_send("broke_off");
        request.record_broken_response(endpoint.key);
        let last_id = events.last_id().or(request.head.resume_after);
        let (begun_at, in_first_event) = (source.begun_at, !source.has_event);
        // Close the old connection first so that its engine stops before another one continues.
        drop(source);
        request
            .inspect_broken_answer(&endpoint, begun_at, in_first_event)
            .await;
        let next = match request.may_resume() && !events.has_no_ids() {
            true => resume(&mut request, last_id, &parts).await,
            false => None,
        };
        let Some(next) = next else {
            request.log.set_outcome("stream_broken");
            break;
        };
        request
            .log
            .add_decision(format_args!("resumed after event {last_id:?}"));
        events = EventSplitter::resumed_after(last_id);
        source = next;
    }
    // Abort the caller's connection. A failed send means that the caller already disconnected.
    let _ = parts.send(Err(StreamInterrupted)).await;
}

/// Forwards complete events to the caller until the endpoint's stream ends.
async fn relay_events<C: WireCodec>(
    request: &mut CallerRequest<C>,
    source: &mut StreamSource,
    events: &mut EventSplitter,
    parts: &Sender<response_body::Result<Bytes>>,
) -> SourceEnd {
    let silence = source.guard.endpoint().health.borrow().silence_token();
    let stall_timeout = request.route.caller_patience.mul_f64(STALL_SHARE);
    let mut stalled_at = time::Instant::now() + stall_timeout;
    loop {
        let can_resume = request.may_resume() && !events.has_no_ids();
        let frame = tokio::select! {
            biased;
            () = parts.closed() => return SourceEnd::CallerLeft,
            frame = source.body.frame() => frame,
            () = time::sleep_until(request.deadline) => return SourceEnd::DeadlinePassed,
            () = silence.cancelled(), if can_resume => {
                return SourceEnd::Broken("endpoint is silent".into());
            }
            () = time::sleep_until(stalled_at), if can_resume => {
                return SourceEnd::Broken("no complete event in time".into());
            }
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => return SourceEnd::Broken(error.to_string().into()),
            None => {
                return tokio::select! {
                    biased;
                    end = judge_end(request, source, events) => end,
                    () = parts.closed() => SourceEnd::CallerLeft,
                };
            }
        };
        if events.is_oversized() {
            return SourceEnd::Broken("an event has no end".into());
        }
        source.guard.record_data(BootInstant::now());
        record_weights(request, source, &data);
        let early_bytes = events.early_bytes();
        let complete = events.push(data);
        if !complete.is_empty() || events.early_bytes() > early_bytes {
            stalled_at = time::Instant::now() + stall_timeout;
        }
        if complete.is_empty() {
            if events.is_foreign() {
                return SourceEnd::Broken("an event does not belong to the stream".into());
            }
            continue;
        }
        source.has_event = true;
        if !source.is_past_beginning && source.begun_at.elapsed() >= engine_crash::BEGINNING_TIME {
            source.is_past_beginning = true;
            request.record_sound_parts();
        }
        request.log.record_first_part();
        source.passed_bytes += complete.len() as u64;
        if parts.send(Ok(complete)).await.is_err() {
            return SourceEnd::CallerLeft;
        }
        if events.is_foreign() {
            return SourceEnd::Broken("an event does not belong to the stream".into());
        }
    }
}

/// Judges a stream whose body has ended. Without a length or chunks, the end of the connection says
/// only that no more comes.
async fn judge_end<C: WireCodec>(
    request: &mut CallerRequest<C>,
    source: &StreamSource,
    events: &EventSplitter,
) -> SourceEnd {
    if events.has_partial_event() {
        return SourceEnd::Broken("the stream ended inside an event".into());
    }
    if events.is_doubtful() {
        return SourceEnd::Broken("the stream ended after one event without an id".into());
    }
    if let Some(witness) = &source.end_witness {
        let resumed_after = events.last_id().or(request.head.resume_after);
        if resumed_after.is_none() && !source.has_event {
            return SourceEnd::Broken("the stream ended before its first event".into());
        }
        let begun_at = source.begun_at;
        let (finding, _) = request
            .check_end(witness, &source.connection, begun_at)
            .await;
        match finding {
            EndFinding::Confirmed => {}
            EndFinding::ProcessEnded => {
                return SourceEnd::Broken("the engine ended with the stream".into());
            }
            EndFinding::Unconfirmed | EndFinding::Unanswered | EndFinding::RequestCut => {
                return SourceEnd::Broken("the end of the stream is not confirmed".into());
            }
        }
    }
    SourceEnd::Complete
}

/// Records the engine's weights version if an event reports a change.
fn record_weights<C: WireCodec>(request: &CallerRequest<C>, source: &StreamSource, data: &[u8]) {
    let Some(prompt) = &request.head.prompt else {
        return;
    };
    if let Some(weights) = C::parse_event_weights(data) {
        let endpoint = source.guard.endpoint();
        let evidence = LoadEvidence::Response;
        engine_loads::record_weights(&request.front, endpoint, &prompt.model, weights, evidence);
    }
}

/// Sends the request to another endpoint, which continues after event `last_id`.
async fn resume<C: WireCodec>(
    request: &mut CallerRequest<C>,
    last_id: Option<u64>,
    parts: &Sender<response_body::Result<Bytes>>,
) -> Option<StreamSource> {
    let deadline = request.deadline;
    let started = tokio::select! {
        () = parts.closed() => return None,
        started = time::timeout_at(deadline, request.send_until_answered(last_id)) => started,
    };
    match started {
        Ok(Ok(Some(started))) if started.response.status() == StatusCode::OK => {
            Some(started.into())
        }
        Ok(Ok(Some(started))) => {
            let status = started.response.status();
            request
                .log
                .add_decision(format_args!("not resumed: status {status}"));
            None
        }
        Ok(Ok(None)) => None,
        Ok(Err(error)) => {
            request
                .log
                .add_decision(format_args!("not resumed: {error}"));
            None
        }
        Err(_) => None,
    }
}

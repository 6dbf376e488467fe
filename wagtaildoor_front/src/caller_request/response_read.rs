//! Passes endpoint responses to the caller, either buffered completely or as a stream.

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    response,
    Response, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task;
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_daemon::response_body::{
    ResponseBody,
    StreamInterrupted, //
};

use crate::{
    buffer_budget::BufferBudget,
    caller_request::{
        answer_limit::AnswerLimit,
        caller_refusal,
        connection_headers,
        CallerRequest,
        StartedResponse, //
    },
    end_witness::end_check::{
        EndCheck,
        EndFinding, //
    },
    stream_relay,
    wire_codec::WireCodec,
};

/// Largest response that is buffered, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;
/// Number of stream parts queued for a slow caller before reading from the endpoint pauses.
const RELAY_QUEUE_PARTS: usize = 32;

/// Answer that has come to the end of its connection without a sign that it is whole.
pub(super) struct UnconfirmedAnswer {
    head: response::Parts,
    body: Bytes,
    /// Check in progress that may still confirm it.
    check: Option<EndCheck>,
}

/// An answer that was read to its end.
pub(super) enum ReadAnswer {
    /// The answer is known to be whole.
    Whole(Response<ResponseBody>),
    /// The answer may be whole.
    Unconfirmed(UnconfirmedAnswer),
}

/// Reads a complete body. Fails if it ends early, or grows beyond its limit or the host's budget.
async fn collect_body(
    mut body: Incoming,
    budget: &BufferBudget,
) -> std::result::Result<Bytes, Box<str>> {
    let mut share = budget.start_share();
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let data = frame.into_data().unwrap_or_default();
        if collected.len() + data.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return Err("the body is too large".into());
        }
        if !share.try_grow(data.len()) {
            return Err("no memory left for the body".into());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

impl<C: WireCodec> CallerRequest<C> {
    /// Buffers the complete response and returns it; retries if the response breaks off. A stream that
    /// follows a failure is not buffered.
    pub(super) async fn respond_buffered(
        mut self,
        mut started: StartedResponse,
    ) -> Response<ResponseBody> {
        loop {
            let endpoint = started.guard.endpoint().clone();
            let begun_at = started.begun_at;
            let limit = self.answer_limit();
            let reason = match limit.apply(self.read_response(started)).await {
                Some(Ok(ReadAnswer::Whole(response))) => {
                    self.log.set_answering_endpoint(&endpoint.id);
                    self.log.record_first_part();
                    self.log.set_outcome(match response.status().is_success() {
                        true => "answered",
                        false => "failure_relayed",
                    });
                    return response;
                }
                Some(Ok(ReadAnswer::Unconfirmed(answer))) => {
                    self.unconfirmed = Some(answer);
                    "the end of the answer is not confirmed".into()
                }
                Some(Err(reason)) => reason,
                None => match self.unconfirmed.take() {
                    Some(answer) => return self.respond_unconfirmed(answer, &limit).await,
                    None => return self.respond_at_limit(),
                },
            };
            self.log.add_decision(format_args!("broke off: {reason}"));
            endpoint
                .health
                .borrow_mut()
                .record_outcome(true, BootInstant::now());
            self.inspect_broken_answer(&endpoint, begun_at, false).await;
            self.record_broken_response(endpoint.key);
            let next = match self.may_run_again() {
                true => limit.apply(self.send_until_answered(None)).await,
                false => Some(self.no_endpoint_outcome()),
            };
            if let Some(Ok(Some(next))) = next {
                if self.is_event_stream(&next) {
                    return self.respond_stream(next);
                }
                started = next;
                continue;
            }
            if let Some(answer) = self.unconfirmed.take() {
                return self.respond_unconfirmed(answer, &limit).await;
            }
            return match next {
                Some(Err(error)) => caller_refusal::refuse(&mut self.log, &error, None),
                Some(Ok(_)) => self.respond_with_failure(),
                None => self.respond_at_limit(),
            };
        }
    }

    /// Waits on for the finding of an answer that no other one has replaced. Without a confirmation it is passed
    /// on without the end that would vouch for it: the caller's connection ends inside the answer's last chunk.
    async fn respond_unconfirmed(
        mut self,
        mut answer: UnconfirmedAnswer,
        limit: &AnswerLimit,
    ) -> Response<ResponseBody> {
        let finding = match &mut answer.check {
            Some(check) => limit.apply(check.finding()).await,
            None => None,
        };
        self.log.record_first_part();
        if finding == Some(EndFinding::Confirmed) {
            self.log
                .add_decision(format_args!("its end was confirmed later"));
            self.log.set_outcome("answered");
            return connection_headers::caller_response(
                answer.head,
                ResponseBody::full(answer.body),
            );
        }
        self.log.set_outcome("unconfirmed");
        // With room for one chunk, the interruption is not read before the body was written.
        let (sender, body) = ResponseBody::streamed(1);
        let response = connection_headers::caller_response(answer.head, body);
        task::spawn_local(async move {
            // A failed send means that the caller already disconnected.
            let _ = sender.send(Ok(answer.body)).await;
            let _ = sender.send(Err(StreamInterrupted)).await;
        });
        response
    }

    /// Reads a response completely and records its outcome at the endpoint.
    pub(super) async fn read_response(
        &mut self,
        started: StartedResponse,
    ) -> std::result::Result<ReadAnswer, Box<str>> {
        let (parts, body) = started.response.into_parts();
        if !parts.status.is_success() {
            let status = parts.status.as_u16();
            self.log
                .add_decision(format_args!("failed: status {status}"));
        }
        let endpoint = started.guard.endpoint().clone();
        let silence = endpoint.health.borrow().silence_token();
        let body = tokio::select! {
            body = collect_body(body, &self.front.buffer_budget) => body?,
            () = silence.cancelled() => return Err("endpoint is silent".into()),
        };
        // The endpoint is done with the request, whatever is found out about the end.
        drop(started.guard);
        if let Some(witness) = &started.end_witness {
            let begun_at = started.begun_at;
            let (finding, check) = self.check_end(witness, &started.connection, begun_at).await;
            match finding {
                EndFinding::Confirmed => {}
                EndFinding::ProcessEnded => {
                    return Err("the endpoint ended with the answer".into());
                }
                EndFinding::Unconfirmed | EndFinding::Unanswered | EndFinding::RequestCut => {
                    let answer = UnconfirmedAnswer {
                        head: parts,
                        body,
                        check: check.filter(|_| finding == EndFinding::Unanswered),
                    };
                    return Ok(ReadAnswer::Unconfirmed(answer));
                }
            }
        }
        let now = BootInstant::now();
        let failed = parts.status.is_server_error();
        endpoint.health.borrow_mut().record_outcome(failed, now);
        self.front
            .metrics
            .record_send(if failed { "failed" } else { "answered" });
        if parts.status.is_success() {
            self.record_sound_parts();
        }
        if !started.head.closing && started.end_witness.is_none() {
            endpoint
                .connections
                .put_idle(started.connection, started.head.idle_limit, now);
        }
        let body = ResponseBody::full(body);
        let response = connection_headers::caller_response(parts, body);
        Ok(ReadAnswer::Whole(response))
    }

    /// Returns a response that streams the endpoint's events while they arrive.
    pub(super) fn respond_stream(self, started: StartedResponse) -> Response<ResponseBody> {
        let (sender, body) = ResponseBody::streamed(RELAY_QUEUE_PARTS);
        let (parts, incoming) = started.response.into_parts();
        let response = connection_headers::caller_response(parts, body);
        let stream = stream_relay::StreamSource {
            guard: started.guard,
            connection: started.connection,
            body: incoming,
            head: started.head,
            begun_at: started.begun_at,
            end_witness: started.end_witness,
            has_event: false,
            passed_bytes: 0,
            is_past_beginning: false,
        };
        task::spawn_local(stream_relay::relay(self, stream, sender));
        response
    }
}

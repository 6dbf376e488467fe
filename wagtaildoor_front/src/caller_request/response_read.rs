//! Passes endpoint responses to the caller, either buffered completely or as a stream.

use bytes::{
    Bytes,
    BytesMut, //
};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    task,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_daemon::response_body::ResponseBody;

use crate::{
    buffer_budget::BufferBudget,
    caller_request::{
        caller_refusal,
        connection_headers,
        CallerRequest,
        StartedResponse, //
    },
    engine_crash::{
        self,
        ListenerState, //
    },
    stream_relay,
    wire_codec::WireCodec,
};

/// Largest response that is buffered, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 << 20;
/// Number of stream parts queued for a slow caller before reading from the endpoint pauses.
const RELAY_QUEUE_PARTS: usize = 32;

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
    /// Buffers the complete response and returns it; retries if the response breaks off.
    pub(super) async fn respond_buffered(
        mut self,
        mut started: StartedResponse,
    ) -> Response<ResponseBody> {
        loop {
            let endpoint = started.guard.endpoint().clone();
            let begun_at = started.begun_at;
            let deadline = self.deadline;
            let reason = match time::timeout_at(deadline, self.read_response(started)).await {
                Ok(Ok(response)) => {
                    self.log.set_answering_endpoint(&endpoint.id);
                    self.log.record_first_part();
                    self.log.set_outcome(match response.status().is_success() {
                        true => "answered",
                        false => "failure_relayed",
                    });
                    return response;
                }
                Ok(Err(reason)) => reason,
                Err(_) => return self.respond_at_deadline(),
            };
            self.log.add_decision(format_args!("broke off: {reason}"));
            endpoint
                .health
                .borrow_mut()
                .record_outcome(true, BootInstant::now());
            self.inspect_broken_answer(&endpoint, begun_at, false).await;
            self.record_broken_response(endpoint.key);
            let next = match self.may_run_again() {
                true => time::timeout_at(deadline, self.send_until_answered(None)).await,
                false => Ok(self.no_endpoint_outcome()),
            };
            started = match next {
                Ok(Ok(Some(next))) => next,
                Ok(Ok(None)) => return self.respond_with_failure(),
                Ok(Err(error)) => return caller_refusal::refuse(&mut self.log, &error, None),
                Err(_) => return self.respond_at_deadline(),
            };
        }
    }

    /// Reads a response completely and records its outcome at the endpoint.
    pub(super) async fn read_response(
        &mut self,
        started: StartedResponse,
    ) -> std::result::Result<Response<ResponseBody>, Box<str>> {
        let (parts, body) = started.response.into_parts();
        let silence = started.guard.endpoint().health.borrow().silence_token();
        let body = tokio::select! {
            body = collect_body(body, &self.front.buffer_budget) => body?,
            () = silence.cancelled() => return Err("endpoint is silent".into()),
        };
        let endpoint = started.guard.endpoint();
        if started.ends_with_connection && self.head.prompt.is_some() {
            let state = engine_crash::probe_listener(endpoint).await;
            self.record_connection_end(state.name());
            if state == ListenerState::Refusing && endpoint.is_accepting_requests() {
                return Err("the engine ended with the answer".into());
            }
        } else if started.ends_with_connection {
            self.record_connection_end("not_asked");
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
        if !started.head.closing && !started.ends_with_connection {
            endpoint
                .connections
                .put_idle(started.connection, started.head.idle_limit, now);
        }
        Ok(connection_headers::caller_response(
            parts,
            ResponseBody::full(body),
        ))
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
            ends_with_connection: started.ends_with_connection,
            has_event: false,
            is_past_beginning: false,
        };
        task::spawn_local(stream_relay::relay(self, stream, sender));
        response
    }
}

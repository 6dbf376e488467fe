//! Relays a stream of events to a caller, and resumes it elsewhere when its engine is lost.

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::mpsc::Sender,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_daemon::answer_body::{
    self,
    RelayBroken, //
};

use crate::{
    caller_run::{
        CallerRun,
        StartedAnswer, //
    },
    endpoint::WorkTicket,
    endpoint_connection::EndpointConnection,
    event_splitter::EventSplitter,
    wire_codec::{
        AnswerHead,
        WireCodec, //
    },
};

/// A stream that comes from an endpoint.
pub struct StreamSource {
    /// Counts the request at its endpoint.
    pub ticket: WorkTicket,
    /// Connection.
    pub connection: EndpointConnection,
    /// Rest of the answer.
    pub body: Incoming,
    /// What the answer's head says.
    pub head: AnswerHead,
}

impl From<StartedAnswer> for StreamSource {
    fn from(started: StartedAnswer) -> Self {
        Self {
            ticket: started.ticket,
            connection: started.connection,
            body: started.response.into_body(),
            head: started.head,
        }
    }
}

/// How a source ended.
enum SourceEnd {
    /// It is complete.
    Complete,
    /// The caller is gone.
    CallerLeft,
    /// The deadline passed.
    DeadlinePassed,
    /// It broke off.
    Broken(Box<str>),
}

/// Relays a stream to its end.
pub async fn relay<C: WireCodec>(
    mut run: CallerRun<C>,
    mut source: StreamSource,
    parts: Sender<answer_body::Result<Bytes>>,
) {
    let mut events = EventSplitter::default();
    loop {
        let endpoint = source.ticket.endpoint().clone();
        run.answered_by(&endpoint.id);
        let end = pump(&mut run, &mut source, &mut events, &parts).await;
        let now = BootInstant::now();
        let reason = match end {
            SourceEnd::Complete => {
                endpoint.health.borrow_mut().record_outcome(false, now);
                run.front.metrics.record_send("answered");
                if !source.head.closing {
                    let idle_limit = source.head.idle_limit;
                    endpoint
                        .connections
                        .put_idle(source.connection, idle_limit, now);
                }
                run.log.ended("answered");
                return;
            }
            SourceEnd::CallerLeft => return,
            SourceEnd::DeadlinePassed => {
                run.log.ended("deadline_passed");
                break;
            }
            SourceEnd::Broken(reason) => reason,
        };
        run.log.decided(format_args!("broke off: {reason}"));
        endpoint.health.borrow_mut().record_outcome(true, now);
        run.front.metrics.record_send("broke_off");
        run.broke_off(endpoint.key);
        let last_id = events.last_id().or(run.head.resume_after);
        // The old connection closes first, so that its engine stops before another goes on.
        drop(source);
        let next = match run.may_resume() {
            true => resume(&mut run, last_id, &parts).await,
            false => None,
        };
        let Some(next) = next else {
            run.log.ended("stream_broken");
            break;
        };
        run.log
            .decided(format_args!("resumed after event {last_id:?}"));
        events = EventSplitter::resumed_after(last_id);
        source = next;
    }
    // The caller sees the connection break; a failed send means that it has left already.
    let _ = parts.send(Err(RelayBroken)).await;
}

/// Passes whole events on until the source ends.
async fn pump<C: WireCodec>(
    run: &mut CallerRun<C>,
    source: &mut StreamSource,
    events: &mut EventSplitter,
    parts: &Sender<answer_body::Result<Bytes>>,
) -> SourceEnd {
    let silence = source.ticket.endpoint().health.borrow().silence_token();
    let may_move = run.may_resume();
    loop {
        let frame = tokio::select! {
            biased;
            () = parts.closed() => return SourceEnd::CallerLeft,
            frame = source.body.frame() => frame,
            () = time::sleep_until(run.deadline) => return SourceEnd::DeadlinePassed,
            () = silence.cancelled(), if may_move => {
                return SourceEnd::Broken("endpoint is silent".into());
            }
        };
        let data = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => return SourceEnd::Broken(error.to_string().into()),
            None => return finish(events, parts).await,
        };
        source.ticket.heard(BootInstant::now());
        note_weights(run, source, &data);
        let whole = events.push(data);
        if whole.is_empty() {
            continue;
        }
        run.log.first_part();
        if parts.send(Ok(whole)).await.is_err() {
            return SourceEnd::CallerLeft;
        }
    }
}

/// Passes on what follows the last whole event of a complete answer.
async fn finish(
    events: &mut EventSplitter,
    parts: &Sender<answer_body::Result<Bytes>>,
) -> SourceEnd {
    if !events.is_mid_event() {
        return SourceEnd::Complete;
    }
    let rest = std::mem::take(events).into_rest();
    match parts.send(Ok(rest)).await {
        Ok(()) => SourceEnd::Complete,
        Err(_) => SourceEnd::CallerLeft,
    }
}

/// Learns that an engine changed its weights during a stream.
fn note_weights<C: WireCodec>(run: &CallerRun<C>, source: &StreamSource, data: &[u8]) {
    let Some(prompt) = &run.head.prompt else {
        return;
    };
    if let Some(weights) = C::parse_event_weights(data) {
        source
            .ticket
            .endpoint()
            .record_weights(&prompt.model, weights);
    }
}

/// Sends the request to another endpoint, to go on after the last event that the caller has.
async fn resume<C: WireCodec>(
    run: &mut CallerRun<C>,
    last_id: Option<u64>,
    parts: &Sender<answer_body::Result<Bytes>>,
) -> Option<StreamSource> {
    let deadline = run.deadline;
    let started = tokio::select! {
        () = parts.closed() => return None,
        started = time::timeout_at(deadline, run.first_answer(last_id)) => started,
    };
    match started {
        Ok(Ok(Some(started))) if started.response.status() == StatusCode::OK => {
            Some(started.into())
        }
        Ok(Ok(Some(started))) => {
            let status = started.response.status();
            run.log
                .decided(format_args!("not resumed: status {status}"));
            None
        }
        Ok(Ok(None)) => None,
        Ok(Err(error)) => {
            run.log.decided(format_args!("not resumed: {error}"));
            None
        }
        Err(_) => None,
    }
}

//! One attempt at running a request at one engine.

use std::time::Duration;

use futures_util::{
    Stream,
    StreamExt, //
};
use tokio::time::Instant;
use uuid::Uuid;
use wagtaildoor::{
    error::ErrorKind,
    ids::AttemptId,
    placement::PlacementChoice,
    prefix::{
        self,
        LevelPrefix, //
    },
    routing_table::DispatchTicket,
    schema::{
        EndpointNews,
        EngineChunk,
        EngineDone,
        EngineRequest,
        EventKind,
        Urgency, //
    },
    stream_check::{
        CheckedChunk,
        StreamCheck, //
    },
};

use crate::{
    engine_call::{
        self,
        CallError,
        EndpointStatus, //
    },
    model_run::{
        AnswerSource, //
        ModelRun,
        RunEvent,
    },
};

/// Silence after which a running stream counts as broken.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);
/// Waits for the first chunk, in first-token targets of the template.
const FIRST_CHUNK_TARGETS: u32 = 6;

/// Result of one step of an attempt; an error ends the attempt.
type StepResult<T> = std::result::Result<T, AttemptOutcome>;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The answer is whole.
    Completed(EngineDone),
    /// The attempt failed; another may go on where it stopped.
    Failed(CallError),
    /// Nobody waits for the answer any more.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
}

/// An attempt under way.
pub struct EngineAttempt<'a> {
    /// Request.
    run: &'a ModelRun,
    /// Engine, and why it was chosen.
    choice: &'a PlacementChoice,
    /// Name of the attempt.
    attempt: AttemptId,
}

impl<'a> EngineAttempt<'a> {
    /// A new attempt.
    pub fn new(run: &'a ModelRun, choice: &'a PlacementChoice) -> Self {
        Self {
            run,
            choice,
            attempt: Uuid::now_v7().to_string().into(),
        }
    }

    /// Runs the attempt, and tells the routing table how it went.
    ///
    /// `received` counts the pieces that the caller has, those of earlier attempts too.
    pub async fn run(self, levels: &[LevelPrefix], received: &mut u64) -> AttemptOutcome {
        let table = &self.run.context.state.table;
        let mut ticket = table.record_dispatch(self.choice, now());
        self.record_dispatched(*received);
        let outcome = match self.relay_stream(&mut ticket, received).await {
            Ok(done) => AttemptOutcome::Completed(done),
            Err(outcome) => outcome,
        };
        match &outcome {
            AttemptOutcome::Completed(done) => {
                self.send_endpoint_news(done);
                table.record_completion(ticket, done, levels, now());
                return outcome;
            }
            AttemptOutcome::Failed(_) => {
                table.record_failure(ticket, ErrorKind::EndpointFailed, now())
            }
            AttemptOutcome::DeadlinePassed => {
                table.record_failure(ticket, ErrorKind::DeadlinePassed, now())
            }
            AttemptOutcome::CallerGone => drop(ticket),
        }
        self.spawn_cancel();
        outcome
    }

    /// Sends the request and passes its chunks on.
    async fn relay_stream(
        &self,
        ticket: &mut DispatchTicket,
        received: &mut u64,
    ) -> StepResult<EngineDone> {
        let first = Instant::now() + self.first_chunk_timeout();
        let request = self.engine_request(*received);
        let (endpoint_status, chunks) = self.open_stream(&request, first).await?;
        self.check_response_head(ticket, &endpoint_status)?;
        let mut chunks = std::pin::pin!(chunks);
        let request_id = self.run.context.request.clone();
        let mut check = StreamCheck::new(request_id, self.attempt.clone(), *received);
        let mut chunk_deadline = first;
        loop {
            let chunk = self.next_chunk(&mut chunks, &check, chunk_deadline).await?;
            match check.accept(chunk) {
                Ok(CheckedChunk::Chunk(text)) => {
                    self.run
                        .context
                        .state
                        .table
                        .record_first_token(ticket, now());
                    if *received == 0 {
                        self.send_answer_source().await?;
                    }
                    *received = check.received();
                    self.send_event(RunEvent::Chunk(text)).await?;
                    chunk_deadline = Instant::now() + CHUNK_TIMEOUT;
                }
                Ok(CheckedChunk::Done(done)) => return Ok(done),
                Ok(CheckedChunk::Crossed) => self.record_crossed_chunk(),
                Ok(CheckedChunk::Duplicate) => {}
                Err(fault) => return Err(broken_outcome(fault.to_string())),
            }
        }
    }

    /// Sends the request, and waits until the engine begins to answer.
    async fn open_stream(
        &self,
        request: &EngineRequest,
        chunk_deadline: Instant,
    ) -> StepResult<(
        EndpointStatus,
        impl Stream<Item = engine_call::Result<EngineChunk>>,
    )> {
        let client = &self.run.context.state.clients.idempotent;
        let opened = engine_call::generate(client, self.choice.address, request);
        let opened =
            tokio::time::timeout_at(chunk_deadline.min(self.run.context.deadline()), opened);
        let opened = tokio::select! {
            opened = opened => opened,
            () = self.run.events.closed() => return Err(AttemptOutcome::CallerGone),
        };
        match opened {
            Ok(Ok(opened)) => Ok(opened),
            Ok(Err(error)) => Err(AttemptOutcome::Failed(error)),
            Err(_) => Err(self.timeout_outcome("no answer began in time")),
        }
    }

    /// Takes what the engine says of itself; other weights than asked for end the attempt.
    fn check_response_head(
        &self,
        ticket: &DispatchTicket,
        endpoint_status: &EndpointStatus,
    ) -> StepResult<()> {
        let known = &self.choice.boot_id;
        let restarted = !endpoint_status.boot_id.is_empty()
            && !known.is_empty()
            && endpoint_status.boot_id != *known;
        if restarted {
            self.record_restart();
        }
        let news = endpoint_status.to_news(&self.choice.endpoint);
        self.run
            .context
            .state
            .table
            .record_response_head(ticket, &news, now());
        let asked = self.run.context.pool.weights_version;
        if endpoint_status.weights_version != 0 && endpoint_status.weights_version != asked {
            return Err(AttemptOutcome::Failed(CallError::OtherWeights));
        }
        Ok(())
    }

    /// The next chunk of the stream.
    async fn next_chunk<S>(
        &self,
        chunks: &mut S,
        check: &StreamCheck,
        chunk_deadline: Instant,
    ) -> StepResult<EngineChunk>
    where
        S: Stream<Item = engine_call::Result<EngineChunk>> + Unpin,
    {
        let chunk_deadline = chunk_deadline.min(self.run.context.deadline());
        let next = tokio::select! {
            next = tokio::time::timeout_at(chunk_deadline, chunks.next()) => next,
            () = self.run.events.closed() => return Err(AttemptOutcome::CallerGone),
        };
        match next {
            Ok(Some(Ok(chunk))) => Ok(chunk),
            Ok(Some(Err(error))) => Err(AttemptOutcome::Failed(error)),
            Ok(None) => Err(truncated_outcome(check)),
            Err(_) => Err(self.timeout_outcome("no further chunk came in time")),
        }
    }

    /// The request in the form an engine takes.
    fn engine_request(&self, resume_from: u64) -> EngineRequest {
        let run = self.run;
        let levels = &run.prompt.levels;
        EngineRequest {
            adapter: run.context.template.adapter.clone(),
            attempt_id: self.attempt.clone(),
            cache_salt: prefix::cache_salt(&run.context.account.id),
            levels: levels.iter().map(|level| level.end_bytes as u64).collect(),
            max_tokens: run.max_tokens,
            model: run.context.pool.id.clone(),
            priority: priority(run.context.template.urgency),
            prompt: run.prompt.text.clone(),
            request_id: run.context.request.clone(),
            resume_from,
            weights_version: run.context.pool.weights_version,
        }
    }

    /// Tells the caller where its answer comes from.
    async fn send_answer_source(&self) -> StepResult<()> {
        let time = self.run.context.received.elapsed();
        self.run.context.state.metrics.record_first_token(time);
        let detail = format!("first token after {} ms", time.as_millis());
        self.record_event(EventKind::FirstToken, detail);
        let source = AnswerSource {
            endpoint: self.choice.endpoint.clone(),
            reason: self.choice.reason.to_string().into(),
        };
        self.send_event(RunEvent::Begun(source)).await
    }

    /// Passes an event on to the caller, who has until the deadline to make room for it.
    async fn send_event(&self, event: RunEvent) -> StepResult<()> {
        let sent = self.run.events.send(event);
        match tokio::time::timeout_at(self.run.context.deadline(), sent).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(AttemptOutcome::CallerGone),
            Err(_) => Err(AttemptOutcome::DeadlinePassed),
        }
    }

    /// How long the attempt may take to its first chunk.
    fn first_chunk_timeout(&self) -> Duration {
        Duration::from_millis(self.run.context.template.first_token_ms) * FIRST_CHUNK_TARGETS
    }

    /// The end of an attempt that stayed silent.
    fn timeout_outcome(&self, detail: &str) -> AttemptOutcome {
        if Instant::now() >= self.run.context.deadline() {
            return AttemptOutcome::DeadlinePassed;
        }
        broken_outcome(detail)
    }

    /// Tells the keeper what the answer said of its endpoint.
    fn send_endpoint_news(&self, done: &EngineDone) {
        self.run.context.state.link.send_endpoint_news(EndpointNews {
            boot_id: done.boot_id.clone(),
            endpoint: self.choice.endpoint.clone(),
            queued: done.queued,
            weights_version: done.weights_version,
        });
    }

    /// Tells the engine, in a task of its own, that the attempt is over.
    fn spawn_cancel(&self) {
        let client = self.run.context.state.clients.idempotent.clone();
        let address = self.choice.address;
        let attempt = self.attempt.clone();
        self.run.context.state.run_tasks.spawn(async move {
            // An engine that cannot be reached has nothing to cancel.
            let call = engine_call::cancel(&client, address, &attempt);
            let _ = tokio::time::timeout(CHUNK_TIMEOUT, call).await;
        });
    }

    /// Notes that the request is sent.
    fn record_dispatched(&self, received: u64) {
        let engine = &self.choice.endpoint;
        let detail = match received {
            0 => format!("attempt {} goes to {engine}", self.attempt),
            _ => format!(
                "attempt {} goes on at {engine} after {received} pieces",
                self.attempt
            ),
        };
        self.record_event(EventKind::RequestDispatched, detail);
    }

    /// Notes that the engine came back empty.
    fn record_restart(&self) {
        let engine = &self.choice.endpoint;
        let detail = format!("{engine} has restarted; what it held cached is gone");
        self.record_event(EventKind::EndpointRestarted, detail);
    }

    /// Notes a chunk of another request or attempt.
    fn record_crossed_chunk(&self) {
        self.run.context.state.metrics.record_crossed_chunk();
        let engine = &self.choice.endpoint;
        let detail = format!("{engine} sent a piece of another answer; it was dropped");
        self.record_event(EventKind::AnswerCrossed, detail);
    }

    /// Notes something of this attempt.
    fn record_event(&self, kind: EventKind, detail: String) {
        let engine = &self.choice.endpoint;
        self.run
            .context
            .timeline
            .record_endpoint_event(kind, engine, detail);
    }
}

/// The time in the form that the routing table takes.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// The end of an attempt whose answer makes no sense or broke off.
fn broken_outcome(detail: impl Into<Box<str>>) -> AttemptOutcome {
    AttemptOutcome::Failed(CallError::Broken(detail.into()))
}

/// The end of an attempt whose stream closed before its last event.
fn truncated_outcome(check: &StreamCheck) -> AttemptOutcome {
    match check.finish() {
        Err(fault) => broken_outcome(fault.to_string()),
        Ok(()) => broken_outcome("the stream closed"),
    }
}

/// Priority an engine is told; lower goes first.
const fn priority(urgency: Urgency) -> u32 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}

//! One attempt to run a request on one engine.

use std::time::Duration;

use futures_util::{
    Stream,
    StreamExt, //
};
use slog::info;
use tokio::time::Instant;
use uuid::Uuid;
use wagtaildoor::{
    error::ErrorKind,
    ids::{
        AttemptId,
        PartId, //
    },
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
    crash_monitor::{
        self,
        AnswerGuard,
        SentPart, //
    },
    engine_call::{
        self,
        CallError,
        EndpointStatus, //
    },
    engine_crash,
    model_run::{
        AnswerSource, //
        ModelRun,
        RunEvent,
    },
};

/// Time without a chunk after which a running stream counts as broken.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the first chunk, in multiples of the template's first-token target.
const FIRST_CHUNK_TARGETS: u32 = 6;

/// Result of one step of an attempt. An error ends the attempt.
type StepResult<T> = std::result::Result<T, AttemptOutcome>;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The caller received the complete answer.
    Completed(EngineDone),
    /// The attempt failed. Another attempt may resume the stream after the last chunk received.
    Failed(CallError),
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed before the answer was complete.
    DeadlinePassed,
}

/// An attempt of a model request on the chosen engine.
pub struct EngineAttempt<'a> {
    run: &'a ModelRun,
    /// Chosen engine, with the reason for the choice.
    choice: &'a PlacementChoice,
    /// Id under which the engine can cancel the attempt.
    attempt: AttemptId,
}

impl<'a> EngineAttempt<'a> {
    /// Creates an attempt with a new id. Nothing is sent yet.
    pub fn new(run: &'a ModelRun, choice: &'a PlacementChoice) -> Self {
        Self {
            run,
            choice,
            attempt: Uuid::now_v7().to_string().into(),
        }
    }

    /// Runs the attempt and records its outcome in the routing table.
    ///
    /// `received` counts the chunks sent to the caller, including those of earlier attempts. An
    /// attempt that does not complete is cancelled at the engine. A crash of the engine is recorded
    /// against the prompt's `parts`.
    pub async fn run(
        self,
        levels: &[LevelPrefix],
        parts: &[PartId],
        received: &mut u64,
    ) -> AttemptOutcome {
        let table = &self.run.context.state.table;
        let crashes = &self.run.context.state.crashes;
        let sent_parts = crashes.sent_parts(parts);
        let mut answer = None;
        let mut ticket = table.record_dispatch(self.choice, now());
        self.record_dispatched(*received);
        let outcome = match self
            .relay_stream(&mut ticket, sent_parts, &mut answer, received)
            .await
        {
            Ok(done) => AttemptOutcome::Completed(done),
            Err(outcome) => outcome,
        };
        match &outcome {
            AttemptOutcome::Completed(done) => {
                self.send_endpoint_status(done);
                crashes.record_answer(parts);
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
        if let (AttemptOutcome::Failed(CallError::Broken(_)), Some(answer)) = (&outcome, answer) {
            self.inspect_engine(&answer).await;
        }
        outcome
    }

    /// Finds out whether the engine of a broken answer has ended, and records its crash.
    async fn inspect_engine(&self, answer: &AnswerGuard<'_>) {
        let answered_for = answer.age();
        let has_ended = engine_crash::refuses_connections(self.choice.address).await;
        let state = &self.run.context.state;
        info!(state.log, "answer broke off"; "request" => &*self.run.context.request,
            "attempt" => &*self.attempt, "endpoint" => &*self.choice.endpoint,
            "engine_ended" => has_ended, "answered_ms" => answered_for.as_millis() as u64);
        if has_ended {
            state.crashes.record_crash(answer.engine());
        }
    }

    /// Sends the request to the engine and relays its chunks to the caller.
    async fn relay_stream(
        &self,
        ticket: &mut DispatchTicket,
        parts: Vec<SentPart>,
        answer: &mut Option<AnswerGuard<'a>>,
        received: &mut u64,
    ) -> StepResult<EngineDone> {
        let first_chunk_deadline = Instant::now() + self.first_chunk_timeout();
        let request = self.engine_request(*received);
        let (endpoint_status, chunks) = self.open_stream(&request, first_chunk_deadline).await?;
        *answer = Some(self.begin_answer(&endpoint_status, parts));
        self.check_response_head(ticket, &endpoint_status)?;
        let mut chunks = std::pin::pin!(chunks);
        let request_id = self.run.context.request.clone();
        let mut check = StreamCheck::new(request_id, self.attempt.clone(), *received);
        let mut chunk_deadline = first_chunk_deadline;
        loop {
            let chunk = self.next_chunk(&mut chunks, &check, chunk_deadline).await?;
            match check.accept(chunk) {
                Ok(CheckedChunk::Chunk(text)) => {
                    if let Some(answer) = &*answer {
                        answer.record_chunk();
                    }
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

    /// Registers the answer that the engine has begun.
    fn begin_answer(
        &self,
        endpoint_status: &EndpointStatus,
        parts: Vec<SentPart>,
    ) -> AnswerGuard<'a> {
        let boot_id = match &*endpoint_status.boot_id {
            "" => &*self.choice.boot_id,
            boot_id => boot_id,
        };
        let engine = crash_monitor::engine_start(&self.choice.endpoint, boot_id);
        self.run.context.state.crashes.begin_answer(parts, engine)
    }

    /// Sends the request and waits for the response head.
    async fn open_stream(
        &self,
        request: &EngineRequest,
        chunk_deadline: Instant,
    ) -> StepResult<(
        EndpointStatus,
        impl Stream<Item = engine_call::Result<EngineChunk>>,
    )> {
        let client = &self.run.context.state.clients.idempotent;
        let call = engine_call::generate(client, self.choice.address, request);
        let call = tokio::time::timeout_at(chunk_deadline.min(self.run.context.deadline()), call);
        let result = tokio::select! {
            result = call => result,
            () = self.run.events.closed() => return Err(AttemptOutcome::CallerGone),
        };
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(AttemptOutcome::Failed(error)),
            Err(_) => Err(self.timeout_outcome("no answer began in time")),
        }
    }

    /// Records the endpoint's status in the routing table. Fails if the engine serves other weights
    /// than requested.
    fn check_response_head(
        &self,
        ticket: &DispatchTicket,
        endpoint_status: &EndpointStatus,
    ) -> StepResult<()> {
        let known_boot_id = &self.choice.boot_id;
        let has_restarted = !endpoint_status.boot_id.is_empty()
            && !known_boot_id.is_empty()
            && endpoint_status.boot_id != *known_boot_id;
        if has_restarted {
            self.record_restart();
        }
        let status = endpoint_status.to_keeper_message(&self.choice.endpoint);
        self.run
            .context
            .state
            .table
            .record_response_head(ticket, &status, now());
        let requested_weights = self.run.context.pool.weights_version;
        if endpoint_status.weights_version != 0
            && endpoint_status.weights_version != requested_weights
        {
            return Err(AttemptOutcome::Failed(CallError::OtherWeights));
        }
        Ok(())
    }

    /// Waits for the next chunk, up to `chunk_deadline` or the deadline of the request.
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

    /// Builds the engine request, which starts after `resume_from` chunks.
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

    /// Records the time to the first token and sends the answer's source to the caller.
    async fn send_answer_source(&self) -> StepResult<()> {
        let elapsed = self.run.context.received.elapsed();
        self.run.context.state.metrics.record_first_token(elapsed);
        let detail = format!("first token after {} ms", elapsed.as_millis());
        self.record_event(EventKind::FirstToken, detail);
        let source = AnswerSource {
            endpoint: self.choice.endpoint.clone(),
            reason: self.choice.reason.to_string().into(),
        };
        self.send_event(RunEvent::Begun(source)).await
    }

    /// Sends an event to the caller. A slow caller delays this at most until the deadline.
    async fn send_event(&self, event: RunEvent) -> StepResult<()> {
        let sent = self.run.events.send(event);
        match tokio::time::timeout_at(self.run.context.deadline(), sent).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(AttemptOutcome::CallerGone),
            Err(_) => Err(AttemptOutcome::DeadlinePassed),
        }
    }

    fn first_chunk_timeout(&self) -> Duration {
        Duration::from_millis(self.run.context.template.first_token_ms) * FIRST_CHUNK_TARGETS
    }

    /// Outcome after a timeout: the deadline of the request, or else a broken stream.
    fn timeout_outcome(&self, detail: &str) -> AttemptOutcome {
        if Instant::now() >= self.run.context.deadline() {
            return AttemptOutcome::DeadlinePassed;
        }
        broken_outcome(detail)
    }

    /// Sends the endpoint status at the end of the answer to the keeper.
    fn send_endpoint_status(&self, done: &EngineDone) {
        self.run
            .context
            .state
            .link
            .send_endpoint_status(EndpointNews {
                boot_id: done.boot_id.clone(),
                endpoint: self.choice.endpoint.clone(),
                queued: done.queued,
                weights_version: done.weights_version,
            });
    }

    /// Cancels the attempt at the engine in a background task.
    fn spawn_cancel(&self) {
        let client = self.run.context.state.clients.idempotent.clone();
        let address = self.choice.address;
        let attempt = self.attempt.clone();
        self.run.context.state.run_tasks.spawn(async move {
            // An unreachable engine has no attempt to cancel, so errors are ignored.
            let call = engine_call::cancel(&client, address, &attempt);
            let _ = tokio::time::timeout(CHUNK_TIMEOUT, call).await;
        });
    }

    fn record_dispatched(&self, received: u64) {
        let engine = &self.choice.endpoint;
        let detail = match received {
            0 => format!("attempt {} sent to {engine}", self.attempt),
            _ => format!(
                "attempt {} resumes at {engine} after {received} chunks",
                self.attempt
            ),
        };
        self.record_event(EventKind::RequestDispatched, detail);
    }

    /// Records that the engine restarted with an empty cache.
    fn record_restart(&self) {
        let engine = &self.choice.endpoint;
        let detail = format!("{engine} has restarted; its cache is empty");
        self.record_event(EventKind::EndpointRestarted, detail);
    }

    /// Records a chunk that belongs to another request or attempt.
    fn record_crossed_chunk(&self) {
        self.run.context.state.metrics.record_crossed_chunk();
        let engine = &self.choice.endpoint;
        let detail = format!("{engine} sent a chunk of another answer; the chunk was dropped");
        self.record_event(EventKind::AnswerCrossed, detail);
    }

    /// Records an event of this attempt's endpoint.
    fn record_event(&self, kind: EventKind, detail: String) {
        let engine = &self.choice.endpoint;
        self.run
            .context
            .timeline
            .record_endpoint_event(kind, engine, detail);
    }
}

/// Returns the current time as a standard library `Instant`, which the routing table uses.
fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Outcome of an attempt whose answer is invalid or incomplete.
fn broken_outcome(detail: impl Into<Box<str>>) -> AttemptOutcome {
    AttemptOutcome::Failed(CallError::Broken(detail.into()))
}

/// Outcome of an attempt whose stream closed before its last event.
fn truncated_outcome(check: &StreamCheck) -> AttemptOutcome {
    match check.finish() {
        Err(fault) => broken_outcome(fault.to_string()),
        Ok(()) => broken_outcome("the stream closed"),
    }
}

/// Converts the urgency to an engine priority. Lower values run first.
const fn priority(urgency: Urgency) -> u32 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}

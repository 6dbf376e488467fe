//! Runs one model request: placement, attempts, retry and resume, until its answer is whole.

use std::{
    sync::Arc,
    time::Duration, //
};

use futures_util::StreamExt;
use tokio::{
    sync::mpsc,
    time::Instant, //
};
use uuid::Uuid;
use wagtaildoor::{
    admission::AdmissionPermit,
    error::{
        ErrorKind,
        RequestError,
        RunOutcome, //
    },
    ids::{
        AttemptId,
        EndpointId,
        RequestId, //
    },
    placement::{
        PlacementChoice,
        PlacementQuery, //
    },
    prefix::{
        self,
        LevelPrefix, //
    },
    prompt::RenderedPrompt,
    routing_table::DispatchTicket,
    schema::{
        Account,
        EndpointNews,
        EngineDone,
        EngineRequest,
        EventKind,
        Pool,
        Template,
        Urgency, //
    },
    stream_check::{
        Accepted,
        StreamCheck, //
    },
    timeline::EventDraft,
};

use crate::{
    admit,
    engine_call::{
        self,
        CallError,
        EndpointWord, //
    },
    state::EntryState,
};

/// Attempts a request gets at most, the first one too.
const ATTEMPT_LIMIT: usize = 4;
/// Silence after which a running stream counts as broken.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(2);
/// Waits for the first chunk, in first-token targets of the template.
const FIRST_CHUNK_TARGETS: u32 = 6;

/// What happens to a run, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
    /// An endpoint began to answer; comes before the first chunk.
    Begun(RunStart),
    /// The next piece of the answer.
    Chunk(Box<str>),
    /// The answer is whole.
    Done(EngineDone),
    /// The request ended without its answer.
    Failed(RequestError),
}

/// Where a run goes, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunStart {
    /// Endpoint that answers.
    pub endpoint: EndpointId,
    /// Why it was chosen, as a sentence.
    pub reason: Box<str>,
}

/// One request for a model's answer.
pub struct ModelRun {
    /// State of the entry.
    pub state: Arc<EntryState>,
    /// Request.
    pub request: RequestId,
    /// Account that asks.
    pub account: Account,
    /// Template in force when the request came.
    pub template: Template,
    /// Pool in force when the request came; its weights stay those of the request.
    pub pool: Pool,
    /// Prompt.
    pub prompt: RenderedPrompt,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// When the request came.
    pub received: Instant,
    /// Where the answer goes; closed when the caller has gone.
    pub events: mpsc::Sender<RunEvent>,
}

/// How an attempt ended.
enum AttemptEnd {
    /// The answer is whole.
    Whole(EngineDone),
    /// The attempt failed; another may go on where it stopped.
    Failed(CallError),
    /// Nobody waits for the answer any more.
    CallerGone,
    /// The deadline passed.
    Late,
}

impl ModelRun {
    /// Runs the request to its end.
    pub async fn run(self) {
        // Room for the last event is kept, so that a reader that stops cannot hold the run up.
        let Ok(last) = self.events.clone().reserve_owned().await else {
            return;
        };
        let end = self.attempts().await;
        let event = match end {
            Ok(Some(done)) => RunEvent::Done(done),
            Ok(None) => {
                self.note(
                    EventKind::CallerGone,
                    "the caller went before its answer was whole",
                );
                return;
            }
            Err(error) => RunEvent::Failed(error),
        };
        self.note_end(&event);
        last.send(event);
    }

    /// Tries endpoints until the answer is whole; `None` when the caller has gone.
    async fn attempts(&self) -> Result<Option<EngineDone>, RequestError> {
        let Some(_permit) = self.admit().await? else {
            return Ok(None);
        };
        let levels = self.level_prefixes();
        let mut exclude: Vec<EndpointId> = Vec::new();
        let mut received = 0;
        let mut worst = None;
        for attempt in 0..ATTEMPT_LIMIT {
            if attempt == 0 {
                self.state.retries.first_attempt();
            } else if received == 0 && !self.state.retries.try_extra() {
                // A stream that has begun goes on all the same: its caller holds a part of it.
                break;
            } else {
                self.state.metrics.retried();
            }
            let choice = match self.place(&levels, &exclude) {
                Ok(choice) => choice,
                Err(error) => return Err(worst.unwrap_or(error)),
            };
            match self.attempt(&choice, &levels, &mut received).await {
                AttemptEnd::Whole(done) => return Ok(Some(done)),
                AttemptEnd::CallerGone => return Ok(None),
                AttemptEnd::Late => return Err(self.late()),
                AttemptEnd::Failed(error) => {
                    self.note_failure(&choice, &error, received);
                    worst = Some(worse(worst, self.failure(&error, received)));
                    exclude.push(choice.endpoint);
                }
            }
        }
        Err(worst.unwrap_or_else(|| RequestError::new(ErrorKind::Internal, "no attempt was made")))
    }

    /// Waits for a place in work; `None` when the caller has gone.
    async fn admit(&self) -> Result<Option<AdmissionPermit>, RequestError> {
        let cost = prefix::estimate_tokens(&self.prompt.text);
        let admitted = admit::admit(
            &self.state,
            &self.request,
            &self.account,
            &self.template,
            self.deadline(),
            cost,
        );
        tokio::select! {
            admitted = admitted => admitted.map(Some),
            () = self.events.closed() => Ok(None),
        }
    }

    /// Ids of the prompt's levels.
    fn level_prefixes(&self) -> Vec<LevelPrefix> {
        let texts: Vec<&str> = self
            .prompt
            .levels
            .iter()
            .map(|level| &*level.text)
            .collect();
        prefix::level_prefixes(
            &self.account.id,
            &self.pool.id,
            &self.template.adapter,
            self.pool.weights_version,
            &texts,
        )
    }

    /// Chooses an endpoint.
    fn place(
        &self,
        levels: &[LevelPrefix],
        exclude: &[EndpointId],
    ) -> Result<PlacementChoice, RequestError> {
        let query = PlacementQuery {
            pool: &self.pool.id,
            domain: &self.state.settings.host.domain,
            weights_version: self.pool.weights_version,
            levels,
            prompt_tokens: prefix::estimate_tokens(&self.prompt.text),
            deadline: self.deadline().into_std(),
            exclude,
        };
        let choice = self
            .state
            .table
            .place(&query, Instant::now().into_std())
            .map_err(|kind| self.no_place(kind))?;
        let detail = format!("sent to {}: {}", choice.endpoint, choice.reason);
        let draft = self.draft(EventKind::RequestPlaced, detail);
        self.state
            .recorder
            .record(draft.endpoint(choice.endpoint.clone()));
        Ok(choice)
    }

    /// The error when no endpoint can be chosen.
    fn no_place(&self, kind: ErrorKind) -> RequestError {
        let pool = &self.pool.id;
        let detail = match kind {
            ErrorKind::NoEndpoint => format!("no endpoint of pool {pool} is in reach"),
            ErrorKind::DeadlineUnreachable => {
                format!(
                    "pool {pool} could not answer within {} ms",
                    self.template.deadline_ms
                )
            }
            _ => format!("pool {pool} has no room"),
        };
        RequestError::new(kind, detail)
    }

    /// One attempt at one endpoint.
    async fn attempt(
        &self,
        choice: &PlacementChoice,
        levels: &[LevelPrefix],
        received: &mut u64,
    ) -> AttemptEnd {
        let now = || Instant::now().into_std();
        let mut ticket = self.state.table.dispatched(choice, now());
        let attempt: AttemptId = Uuid::now_v7().to_string().into();
        let end = self.stream(choice, &attempt, &mut ticket, received).await;
        match &end {
            AttemptEnd::Whole(done) => {
                self.tell(choice, done);
                self.state.table.answered(ticket, done, levels, now());
            }
            AttemptEnd::Failed(_) => {
                let kind = ErrorKind::EndpointFailed;
                self.state.table.failed(ticket, kind, now());
            }
            AttemptEnd::Late => {
                let kind = ErrorKind::DeadlinePassed;
                self.state.table.failed(ticket, kind, now());
            }
            AttemptEnd::CallerGone => drop(ticket),
        }
        let unfinished = !matches!(end, AttemptEnd::Whole(_));
        if unfinished {
            self.cancel(choice, attempt);
        }
        end
    }

    /// Sends the request and passes its chunks on.
    async fn stream(
        &self,
        choice: &PlacementChoice,
        attempt: &AttemptId,
        ticket: &mut DispatchTicket,
        received: &mut u64,
    ) -> AttemptEnd {
        let request = self.engine_request(attempt, *received);
        let client = &self.state.clients.repeatable;
        let first = Instant::now() + self.first_chunk_timeout();
        let opened = engine_call::generate(client, choice.address, &request);
        let opened = tokio::time::timeout_at(first.min(self.deadline()), opened).await;
        let (word, chunks) = match opened {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => return AttemptEnd::Failed(error),
            Err(_) => return self.silent("no answer began in time"),
        };
        if self.is_restarted(choice, &word) {
            self.note_restart(choice);
        }
        let news = word.news(&choice.endpoint);
        self.state
            .table
            .heard(ticket, &news, Instant::now().into_std());
        let mut chunks = std::pin::pin!(chunks);
        let mut check = StreamCheck::new(self.request.clone(), attempt.clone(), *received);
        let mut limit = first;
        loop {
            let next = tokio::select! {
                next = tokio::time::timeout_at(limit.min(self.deadline()), chunks.next()) => next,
                () = self.events.closed() => return AttemptEnd::CallerGone,
            };
            let chunk = match next {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(error))) => return AttemptEnd::Failed(error),
                Ok(None) => return AttemptEnd::Failed(truncated(&check)),
                Err(_) => return self.silent("no further chunk came in time"),
            };
            match check.accept(chunk) {
                Ok(Accepted::Chunk(text)) => {
                    self.state
                        .table
                        .first_token(ticket, Instant::now().into_std());
                    if *received == 0 {
                        if let Err(end) = self.begin(choice).await {
                            return end;
                        }
                    }
                    *received = check.received();
                    if let Err(end) = self.pass_on(RunEvent::Chunk(text)).await {
                        return end;
                    }
                    limit = Instant::now() + CHUNK_TIMEOUT;
                }
                Ok(Accepted::Done(done)) => return AttemptEnd::Whole(done),
                Ok(Accepted::Crossed) => self.note_crossed(choice),
                Ok(Accepted::Duplicate) => {}
                Err(fault) => {
                    return AttemptEnd::Failed(CallError::Broken(fault.to_string().into()))
                }
            }
        }
    }

    /// The request in the form an engine takes.
    fn engine_request(&self, attempt: &AttemptId, resume_from: u64) -> EngineRequest {
        EngineRequest {
            adapter: self.template.adapter.clone(),
            attempt_id: attempt.clone(),
            cache_salt: prefix::cache_salt(&self.account.id),
            levels: self
                .prompt
                .levels
                .iter()
                .map(|level| level.end_bytes as u64)
                .collect(),
            max_tokens: self.max_tokens,
            model: self.pool.id.clone(),
            priority: priority(self.template.urgency),
            prompt: self.prompt.text.clone(),
            request_id: self.request.clone(),
            resume_from,
            weights_version: self.pool.weights_version,
        }
    }

    /// Tells the caller where its answer comes from.
    async fn begin(&self, choice: &PlacementChoice) -> std::result::Result<(), AttemptEnd> {
        let time = self.received.elapsed();
        self.state.metrics.first_token(time);
        let detail = format!("first token after {} ms", time.as_millis());
        let draft = self.draft(EventKind::FirstToken, detail);
        self.state
            .recorder
            .record(draft.endpoint(choice.endpoint.clone()));
        let start = RunStart {
            endpoint: choice.endpoint.clone(),
            reason: choice.reason.to_string().into(),
        };
        self.pass_on(RunEvent::Begun(start)).await
    }

    /// Passes an event on to the caller, who has until the deadline to make room for it.
    async fn pass_on(&self, event: RunEvent) -> std::result::Result<(), AttemptEnd> {
        let sent = self.events.send(event);
        match tokio::time::timeout_at(self.deadline(), sent).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(AttemptEnd::CallerGone),
            Err(_) => Err(AttemptEnd::Late),
        }
    }

    /// Notes how an answer ended.
    fn note_end(&self, event: &RunEvent) {
        if let RunEvent::Done(done) = event {
            let computed = done.prompt_tokens.saturating_sub(done.cached_tokens);
            self.state.metrics.prompt(done.cached_tokens, computed);
            let detail = format!(
                "answered whole in {} pieces after {} ms; {} of {} prompt tokens were cached",
                done.chunks,
                self.received.elapsed().as_millis(),
                done.cached_tokens,
                done.prompt_tokens
            );
            self.note(EventKind::RequestAnswered, detail);
        }
    }

    /// When the whole answer is due.
    fn deadline(&self) -> Instant {
        self.received + Duration::from_millis(self.template.deadline_ms)
    }

    /// How long an attempt may take to its first chunk.
    fn first_chunk_timeout(&self) -> Duration {
        Duration::from_millis(self.template.first_token_ms) * FIRST_CHUNK_TARGETS
    }

    /// The end of an attempt that stayed silent.
    fn silent(&self, detail: &str) -> AttemptEnd {
        if Instant::now() >= self.deadline() {
            return AttemptEnd::Late;
        }
        AttemptEnd::Failed(CallError::Broken(detail.into()))
    }

    /// The error once the deadline has passed.
    fn late(&self) -> RequestError {
        let detail = format!("no whole answer within {} ms", self.template.deadline_ms);
        RequestError::new(ErrorKind::DeadlinePassed, detail)
    }

    /// The error when no attempt is left.
    fn failure(&self, error: &CallError, received: u64) -> RequestError {
        let kind = match error {
            _ if received > 0 => ErrorKind::StreamBroken,
            CallError::Broken(_) => ErrorKind::EndpointFailed,
            CallError::NotSent(_) => ErrorKind::NoEndpoint,
            CallError::Refused(_) | CallError::OtherWeights => ErrorKind::EndpointRefused,
        };
        RequestError::new(kind, error.to_string())
    }

    /// Whether the endpoint has restarted since the keeper last heard of it.
    fn is_restarted(&self, choice: &PlacementChoice, word: &EndpointWord) -> bool {
        !word.boot_id.is_empty() && !choice.boot_id.is_empty() && word.boot_id != choice.boot_id
    }

    /// Tells the keeper what the answer said of its endpoint.
    fn tell(&self, choice: &PlacementChoice, done: &EngineDone) {
        self.state.link.tell(EndpointNews {
            boot_id: done.boot_id.clone(),
            endpoint: choice.endpoint.clone(),
            queued: done.queued,
            weights_version: done.weights_version,
        });
    }

    /// Tells an engine, in a task of its own, that an attempt is over.
    fn cancel(&self, choice: &PlacementChoice, attempt: AttemptId) {
        let client = self.state.clients.repeatable.clone();
        let address = choice.address;
        self.state.runs.spawn(async move {
            // An engine that cannot be reached has nothing to cancel.
            let call = engine_call::cancel(&client, address, &attempt);
            let _ = tokio::time::timeout(CHUNK_TIMEOUT, call).await;
        });
    }

    /// Notes a failed attempt.
    fn note_failure(&self, choice: &PlacementChoice, error: &CallError, received: u64) {
        let kind = if received > 0 {
            EventKind::StreamResumed
        } else {
            EventKind::RequestRetried
        };
        let detail = format!(
            "{} failed after {received} pieces: {error}",
            choice.endpoint
        );
        let draft = self.draft(kind, detail);
        self.state
            .recorder
            .record(draft.endpoint(choice.endpoint.clone()));
    }

    /// Notes that an endpoint came back empty.
    fn note_restart(&self, choice: &PlacementChoice) {
        let detail = format!(
            "{} has restarted; what it held cached is gone",
            choice.endpoint
        );
        let draft = self.draft(EventKind::EndpointRestarted, detail);
        self.state
            .recorder
            .record(draft.endpoint(choice.endpoint.clone()));
    }

    /// Notes a chunk of another request or attempt.
    fn note_crossed(&self, choice: &PlacementChoice) {
        self.state.metrics.crossed();
        let detail = format!(
            "{} sent a piece of another answer; it was dropped",
            choice.endpoint
        );
        let draft = self.draft(EventKind::AnswerCrossed, detail);
        self.state
            .recorder
            .record(draft.endpoint(choice.endpoint.clone()));
    }

    /// Notes something of this request.
    fn note(&self, kind: EventKind, detail: impl Into<Box<str>>) {
        self.state.recorder.record(self.draft(kind, detail));
    }

    /// An event of this request.
    fn draft(&self, kind: EventKind, detail: impl Into<Box<str>>) -> EventDraft {
        EventDraft::new(kind, detail)
            .request(self.request.clone())
            .account(self.account.id.clone())
    }
}

/// The error that says more: once an attempt may have run, none after it takes that back.
pub fn worse(before: Option<RequestError>, now: RequestError) -> RequestError {
    match before {
        Some(before) if before.kind.answer().outcome != RunOutcome::NotRun => before,
        _ => now,
    }
}

/// The fault of a stream that closed; its end was not seen.
fn truncated(check: &StreamCheck) -> CallError {
    let detail = match check.finish() {
        Err(fault) => fault.to_string(),
        Ok(()) => "the stream closed".to_string(),
    };
    CallError::Broken(detail.into())
}

/// Priority an engine is told; lower goes first.
const fn priority(urgency: Urgency) -> u32 {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Batch => 2,
    }
}

//! Runs one model request: placement, attempts, retry and resume, until its answer is whole.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::{
    sync::mpsc,
    time::Instant, //
};
use wagtaildoor::{
    admission::AdmissionPermit,
    error::{
        ErrorKind,
        RequestError,
        RunOutcome, //
    },
    ids::{
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
    schema::{
        Account,
        EngineDone,
        EventKind,
        Pool,
        Template, //
    },
};

use crate::{
    admit,
    engine_attempt::{
        AttemptEnd,
        EngineAttempt, //
    },
    engine_call::CallError,
    request_notes::RequestNotes,
    state::EntryState,
};

/// Attempts a request gets at most, the first one too.
const ATTEMPT_LIMIT: usize = 4;

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
    /// Time line of the request.
    pub notes: RequestNotes,
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
                self.notes.note(
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
            let attempt = EngineAttempt::new(self, &choice);
            match attempt.run(&levels, &mut received).await {
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
            &self.notes,
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
        let kind = EventKind::RequestPlaced;
        self.notes.note_at(kind, &choice.endpoint, detail);
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
            self.notes.note(EventKind::RequestAnswered, detail);
        }
    }

    /// When the whole answer is due.
    pub fn deadline(&self) -> Instant {
        self.received + Duration::from_millis(self.template.deadline_ms)
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

    /// Notes a failed attempt.
    fn note_failure(&self, choice: &PlacementChoice, error: &CallError, received: u64) {
        let kind = if received > 0 {
            EventKind::StreamResumed
        } else {
            EventKind::RequestRetried
        };
        let endpoint = &choice.endpoint;
        let detail = format!("{endpoint} failed after {received} pieces: {error}");
        self.notes.note_at(kind, endpoint, detail);
    }
}

/// The error that says more: once an attempt may have run, none after it takes that back.
pub fn worse(before: Option<RequestError>, now: RequestError) -> RequestError {
    match before {
        Some(before) if before.kind.answer().outcome != RunOutcome::NotRun => before,
        _ => now,
    }
}

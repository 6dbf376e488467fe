//! Runs one model request: placement, attempts, retry and resume, until its answer is whole.

use tokio::sync::mpsc;
use wagtaildoor::{
    admission::AdmissionPermit,
    error::{
        ErrorKind,
        RequestError,
        RunOutcome, //
    },
    ids::EndpointId,
    placement::PlacementChoice,
    prefix::{
        self,
        LevelPrefix, //
    },
    prompt::RenderedPrompt,
    schema::{
        EngineDone,
        EventKind, //
    },
};

use crate::{
    engine_attempt::{
        AttemptOutcome,
        EngineAttempt, //
    },
    engine_call::CallError,
    run_context::RunContext,
};

/// Attempts a request gets at most, the first one too.
const MAX_ATTEMPTS: usize = 4;

/// What happens to a run, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
    /// An endpoint began to answer; comes before the first chunk.
    Begun(AnswerSource),
    /// The next piece of the answer.
    Chunk(Box<str>),
    /// The answer is whole.
    Done(EngineDone),
    /// The request ended without its answer.
    Failed(RequestError),
}

/// Where a run goes, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerSource {
    /// Endpoint that answers.
    pub endpoint: EndpointId,
    /// Why it was chosen, as a sentence.
    pub reason: Box<str>,
}

/// One request for a model's answer.
pub struct ModelRun {
    /// The request.
    pub context: RunContext,
    /// Prompt.
    pub prompt: RenderedPrompt,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
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
        let end = self.run_attempts().await;
        let event = match end {
            Ok(Some(done)) => RunEvent::Done(done),
            Ok(None) => {
                self.context.timeline.record_event(
                    EventKind::CallerGone,
                    "the caller went before its answer was whole",
                );
                return;
            }
            Err(error) => RunEvent::Failed(error),
        };
        self.record_answered(&event);
        last.send(event);
    }

    /// Tries endpoints until the answer is whole; `None` when the caller has gone.
    async fn run_attempts(&self) -> Result<Option<EngineDone>, RequestError> {
        let Some(_permit) = self.admit().await? else {
            return Ok(None);
        };
        let levels = self.level_prefixes();
        let mut exclude: Vec<EndpointId> = Vec::new();
        let mut received = 0;
        let mut worst = None;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt == 0 {
                self.context.state.retry_budget.record_first_attempt();
            } else if received == 0 && !self.context.state.retry_budget.try_acquire() {
                // A stream that has begun goes on all the same: its caller holds a part of it.
                break;
            } else {
                self.context.state.metrics.record_retry();
            }
            let choice = match self
                .context
                .choose_endpoint(&levels, self.prompt_tokens(), &exclude)
            {
                Ok(choice) => choice,
                Err(error) => return Err(worst.unwrap_or(error)),
            };
            let attempt = EngineAttempt::new(self, &choice);
            match attempt.run(&levels, &mut received).await {
                AttemptOutcome::Completed(done) => return Ok(Some(done)),
                AttemptOutcome::CallerGone => return Ok(None),
                AttemptOutcome::DeadlinePassed => return Err(self.context.deadline_error()),
                AttemptOutcome::Failed(error) => {
                    self.record_failed_attempt(&choice, &error, received);
                    worst = Some(more_severe_error(
                        worst,
                        self.request_error(&error, received),
                    ));
                    exclude.push(choice.endpoint);
                }
            }
        }
        Err(worst.unwrap_or_else(|| RequestError::new(ErrorKind::Internal, "no attempt was made")))
    }

    /// Waits for a place in work; `None` when the caller has gone.
    async fn admit(&self) -> Result<Option<AdmissionPermit>, RequestError> {
        let admitted = self.context.admit(self.prompt_tokens());
        tokio::select! {
            admitted = admitted => admitted.map(Some),
            () = self.events.closed() => Ok(None),
        }
    }

    /// Estimated tokens of the prompt.
    fn prompt_tokens(&self) -> u64 {
        prefix::estimate_tokens(&self.prompt.text)
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
            &self.context.account.id,
            &self.context.pool.id,
            &self.context.template.adapter,
            self.context.pool.weights_version,
            &texts,
        )
    }

    /// Notes how an answer ended.
    fn record_answered(&self, event: &RunEvent) {
        if let RunEvent::Done(done) = event {
            let computed = done.prompt_tokens.saturating_sub(done.cached_tokens);
            self.context
                .state
                .metrics
                .record_prompt_tokens(done.cached_tokens, computed);
            let detail = format!(
                "answered whole in {} pieces after {} ms; {} of {} prompt tokens were cached",
                done.chunks,
                self.context.received.elapsed().as_millis(),
                done.cached_tokens,
                done.prompt_tokens
            );
            self.context
                .timeline
                .record_event(EventKind::RequestAnswered, detail);
        }
    }

    /// The error when no attempt is left.
    fn request_error(&self, error: &CallError, received: u64) -> RequestError {
        let kind = match error {
            _ if received > 0 => ErrorKind::StreamBroken,
            CallError::Broken(_) => ErrorKind::EndpointFailed,
            CallError::NotSent(_) => ErrorKind::NoEndpoint,
            CallError::Refused(_) | CallError::OtherWeights => ErrorKind::EndpointRefused,
        };
        RequestError::new(kind, error.to_string())
    }

    /// Notes a failed attempt.
    fn record_failed_attempt(&self, choice: &PlacementChoice, error: &CallError, received: u64) {
        let kind = if received > 0 {
            EventKind::StreamResumed
        } else {
            EventKind::RequestRetried
        };
        let endpoint = &choice.endpoint;
        let detail = format!("{endpoint} failed after {received} pieces: {error}");
        self.context
            .timeline
            .record_endpoint_event(kind, endpoint, detail);
    }
}

/// The error that says more: once an attempt may have run, none after it takes that back.
pub fn more_severe_error(before: Option<RequestError>, now: RequestError) -> RequestError {
    match before {
        Some(before) if before.kind.answer().outcome != RunOutcome::NotRun => before,
        _ => now,
    }
}

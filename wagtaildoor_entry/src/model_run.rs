//! Runs a model request: placement, attempts, retries and resumption of a broken stream.

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
    crash_monitor,
    engine_attempt::{
        AttemptOutcome,
        EngineAttempt, //
    },
    engine_call::CallError,
    run_context::RunContext,
};

/// Maximum number of attempts of a request, including the first.
const MAX_ATTEMPTS: usize = 4;

/// Events of a run, in the order in which they are sent.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
    /// An endpoint began to answer. Sent before the first chunk.
    Begun(AnswerSource),
    /// Next chunk of the answer.
    Chunk(Box<str>),
    /// The answer is complete. No event follows.
    Done(EngineDone),
    /// The request failed. No event follows.
    Failed(RequestError),
}

/// Endpoint that answers, and why it was chosen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AnswerSource {
    /// Endpoint that runs the request.
    pub endpoint: EndpointId,
    /// Reason for the choice, sent to the caller in a header.
    pub reason: Box<str>,
}

/// An authorized request to a model.
pub struct ModelRun {
    /// Ids and configuration of the request.
    pub context: RunContext,
    /// Rendered prompt, with its shared levels.
    pub prompt: RenderedPrompt,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u32,
    /// Channel to the caller, closed when the caller disconnects.
    pub events: mpsc::Sender<RunEvent>,
}

impl ModelRun {
    /// Runs the request and sends its events. Stops when the caller disconnects.
    pub async fn run(self) {
        // Reserves a slot for the last event, so that a stalled reader cannot block the end of the
        // run.
        let Ok(last) = self.events.clone().reserve_owned().await else {
            return;
        };
        let end = self.run_attempts().await;
        let event = match end {
            Ok(Some(done)) => RunEvent::Done(done),
            Ok(None) => {
                self.context.timeline.record_event(
                    EventKind::CallerGone,
                    "the caller disconnected before its answer was complete",
                );
                return;
            }
            Err(error) => RunEvent::Failed(error),
        };
        self.record_answered(&event);
        last.send(event);
    }

    /// Tries endpoints until the answer is complete. Returns `None` if the caller disconnects.
    async fn run_attempts(&self) -> Result<Option<EngineDone>, RequestError> {
        let parts = crash_monitor::shared_parts(&self.context.template, &self.prompt);
        self.context.state.crashes.check_parts(&parts)?;
        let Some(_permit) = self.admit().await? else {
            return Ok(None);
        };
        let levels = self.level_prefixes();
        let mut exclude: Vec<EndpointId> = Vec::new();
        let mut received = 0;
        let mut worst = None;
        for attempt in 0..MAX_ATTEMPTS {
            if let Err(error) = self.context.state.crashes.check_parts(&parts) {
                return Err(more_severe_error(worst, error));
            }
            if attempt == 0 {
                self.context.state.retry_budget.record_first_attempt();
            } else if received == 0 && !self.context.state.retry_budget.try_acquire() {
                // The retry budget does not limit streams that have begun, because their caller has
                // received a part of the answer.
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
            match attempt.run(&levels, &parts, &mut received).await {
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

    /// Waits for admission. Returns `None` if the caller disconnects.
    async fn admit(&self) -> Result<Option<AdmissionPermit>, RequestError> {
        let admitted = self.context.admit(self.prompt_tokens());
        tokio::select! {
            admitted = admitted => admitted.map(Some),
            () = self.events.closed() => Ok(None),
        }
    }

    /// Estimates the number of tokens in the prompt.
    fn prompt_tokens(&self) -> u64 {
        prefix::estimate_tokens(&self.prompt.text)
    }

    /// Computes the prefix ids of the prompt's levels.
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

    /// Records a complete answer in the timeline and its prompt tokens in the metrics.
    fn record_answered(&self, event: &RunEvent) {
        if let RunEvent::Done(done) = event {
            let computed = done.prompt_tokens.saturating_sub(done.cached_tokens);
            self.context
                .state
                .metrics
                .record_prompt_tokens(done.cached_tokens, computed);
            let detail = format!(
                "answer complete in {} chunks after {} ms; {} of {} prompt tokens were cached",
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

    /// Converts the error of an attempt to the error of the request.
    fn request_error(&self, error: &CallError, received: u64) -> RequestError {
        let kind = match error {
            _ if received > 0 => ErrorKind::StreamBroken,
            CallError::Broken(_) => ErrorKind::EndpointFailed,
            CallError::NotSent(_) => ErrorKind::NoEndpoint,
            CallError::Refused(_) | CallError::OtherWeights => ErrorKind::EndpointRefused,
        };
        RequestError::new(kind, error.to_string())
    }

    /// Records a failed attempt as a resumed stream or as a retry.
    fn record_failed_attempt(&self, choice: &PlacementChoice, error: &CallError, received: u64) {
        let kind = if received > 0 {
            EventKind::StreamResumed
        } else {
            EventKind::RequestRetried
        };
        let endpoint = &choice.endpoint;
        let detail = format!("{endpoint} failed after {received} chunks: {error}");
        self.context
            .timeline
            .record_endpoint_event(kind, endpoint, detail);
    }
}

/// Returns the error to report after a further failed attempt.
///
/// An error of an attempt that may have run is kept, since later attempts cannot rule that out.
pub fn more_severe_error(before: Option<RequestError>, now: RequestError) -> RequestError {
    match before {
        Some(before) if before.kind.answer().outcome != RunOutcome::NotRun => before,
        _ => now,
    }
}

//! Runs a non-idempotent request at most once: claim, dispatch, outcome, answer.

use std::time::Duration;

use tokio::time::Instant;
use uuid::Uuid;
use wagtaildoor::{
    claim_policy::DISPATCH_WINDOW,
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::{
        AttemptId,
        EndpointId,
        RequestKey, //
    },
    placement::PlacementChoice,
    schema::{
        ClaimOutcome,
        ClaimRecord,
        ClaimRelease,
        ClaimStart,
        ClaimVerdict,
        EventKind, //
    },
};

use crate::{
    engine_call::{
        CallError,
        EndpointWord, //
    },
    service_call::{
        self,
        ServiceAnswer, //
    },
    service_run::{
        ServiceReply,
        ServiceRun, //
    },
};

/// Longest wait for a record to be read back.
const RECORD_WAIT: Duration = Duration::from_secs(10);
/// Wait between two look-ups at a service that does not answer.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(200);
/// Largest answer that is kept on record, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024;
/// Stands in a path for the idempotency key.
const KEY_PLACE: &str = "{key}";

/// One non-idempotent request.
pub struct OnceRun {
    /// The request.
    run: ServiceRun,
    /// Its one attempt.
    attempt: AttemptId,
}

/// How the dispatch of the attempt ended.
enum DispatchEnd {
    /// The service answered.
    Answered(ServiceReply),
    /// Certainly nothing was written to an endpoint that ran it.
    NotRun(RequestError),
    /// The request was written, and no answer came.
    Unknown(PlacementChoice, CallError),
}

impl OnceRun {
    /// The one attempt of a request.
    pub fn new(run: ServiceRun) -> Self {
        Self {
            run,
            attempt: Uuid::now_v7().to_string().into(),
        }
    }

    /// Runs the request to its end, whether or not its caller still waits.
    pub async fn run(self) -> Result<ServiceReply> {
        let key = self.run.key.clone().ok_or_else(|| {
            let detail = "this request may run only once: it needs an Idempotency-Key header";
            RequestError::new(ErrorKind::KeyMissing, detail)
        })?;
        // The window starts before the claim is asked for, and so before the claim is in the log.
        let asked = Instant::now();
        match self.claim(&key).await {
            ClaimVerdict::Won(_) => self.won(&key, asked).await,
            verdict => self.not_won(verdict),
        }
    }

    /// Asks the log for the key.
    async fn claim(&self, key: &RequestKey) -> ClaimVerdict {
        let run = &self.run;
        run.note(
            EventKind::ClaimAsked,
            format!("asked the log to run key {key}"),
        );
        let start = ClaimStart {
            account: run.account.id.clone(),
            attempt: self.attempt.clone(),
            body_hash: body_hash(&run.template.id, &run.body),
            host: run.state.settings.host.name.clone(),
            key: key.clone(),
            request: run.request.clone(),
            template: run.template.id.clone(),
        };
        let wait = run.deadline().saturating_duration_since(Instant::now());
        run.state.link.claim(start, wait.min(DISPATCH_WINDOW)).await
    }

    /// Dispatches the request, and puts on record what came of it.
    async fn won(&self, key: &RequestKey, asked: Instant) -> Result<ServiceReply> {
        let run = &self.run;
        run.note(EventKind::ClaimWon, "the log gives the key to this attempt");
        match self.dispatch(asked).await {
            DispatchEnd::Answered(reply) => {
                self.record_outcome(key, &reply.answer).await;
                Ok(reply)
            }
            DispatchEnd::NotRun(error) => Err(self.release(key, error).await),
            DispatchEnd::Unknown(choice, error) => self.settle(key, &choice, error).await,
        }
    }

    /// Sends the request once. Only endpoints that certainly did not run it are followed by others.
    async fn dispatch(&self, asked: Instant) -> DispatchEnd {
        let mut exclude: Vec<EndpointId> = Vec::new();
        let mut last = None;
        loop {
            let choice = match self.run.place(&exclude) {
                Ok(choice) => choice,
                Err(error) => return DispatchEnd::NotRun(last.unwrap_or(error)),
            };
            let call = self.run.service_call(&choice, self.attempt.clone());
            if asked.elapsed() >= DISPATCH_WINDOW {
                let detail = "the time between claim and dispatch was over";
                return DispatchEnd::NotRun(RequestError::new(
                    ErrorKind::DeadlineUnreachable,
                    detail,
                ));
            }
            let sent = self.run.send(&choice, &call);
            let error = match tokio::time::timeout_at(self.run.deadline(), sent).await {
                Ok(Ok(reply)) => return DispatchEnd::Answered(reply),
                Ok(Err(error)) if error.not_run() => error,
                Ok(Err(error)) => return DispatchEnd::Unknown(choice, error),
                Err(_) => {
                    let error = CallError::Broken("no answer before the deadline".into());
                    return DispatchEnd::Unknown(choice, error);
                }
            };
            let detail = format!("{} did not run it: {error}", choice.endpoint);
            self.run.note_at(EventKind::RequestRetried, &choice, detail);
            last = Some(RequestError::new(
                ErrorKind::EndpointRefused,
                error.to_string(),
            ));
            exclude.push(choice.endpoint);
        }
    }

    /// Puts the answer on record, so that a later copy of the request gets it too.
    async fn record_outcome(&self, key: &RequestKey, answer: &ServiceAnswer) {
        let kept = answer.body.len() <= ANSWER_LIMIT_BYTES;
        let outcome = ClaimOutcome {
            account: self.run.account.id.clone(),
            answer: if kept { answer.body.clone() } else { "".into() },
            attempt: self.attempt.clone(),
            content_type: if kept {
                answer.content_type.clone()
            } else {
                "".into()
            },
            key: key.clone(),
            status: answer.status,
        };
        let recorded = self.record(ClaimRecord::Outcome(outcome)).await;
        let detail = if recorded {
            "the answer is on record"
        } else {
            "the answer could not be put on record yet"
        };
        self.run.note(EventKind::OutcomeRecorded, detail);
    }

    /// Gives the claim up; the error says "not run" only when that is on record.
    async fn release(&self, key: &RequestKey, error: RequestError) -> RequestError {
        let release = ClaimRelease {
            account: self.run.account.id.clone(),
            attempt: self.attempt.clone(),
            key: key.clone(),
        };
        if self.record(ClaimRecord::Release(release)).await {
            self.run
                .note(EventKind::ClaimReleased, format!("not run: {error}"));
            return error;
        }
        self.run.note(
            EventKind::ClaimUnknown,
            "the claim could not be given up on record",
        );
        let detail = format!("{error}; this copy did not run, but that could not be put on record");
        RequestError::new(ErrorKind::KeyUnchecked, detail)
    }

    /// Appends a record through the keeper.
    async fn record(&self, record: ClaimRecord) -> bool {
        self.run.state.link.record(record, RECORD_WAIT).await
    }

    /// Finds out whether a request ran whose answer was lost.
    async fn settle(
        &self,
        key: &RequestKey,
        choice: &PlacementChoice,
        error: CallError,
    ) -> Result<ServiceReply> {
        let detail = format!("sent to {}, and no answer came: {error}", choice.endpoint);
        self.run.note_at(EventKind::ClaimUnknown, choice, detail);
        let found = tokio::time::timeout_at(self.run.deadline(), self.find(key, choice)).await;
        let Ok(Some(answer)) = found else {
            let detail = format!("the request was sent, and no answer came: {error}");
            return Err(RequestError::new(ErrorKind::OutcomeUnknown, detail));
        };
        let detail = "the service's own record says that it ran";
        self.run.note_at(EventKind::ClaimSettled, choice, detail);
        self.record_outcome(key, &answer).await;
        Ok(ServiceReply {
            answer,
            endpoint: Some(choice.endpoint.clone()),
            reason: detail.into(),
        })
    }

    /// Asks the service for the key until it answers, and sends the request again where the
    /// service itself runs each key at most once.
    async fn find(&self, key: &RequestKey, choice: &PlacementChoice) -> Option<ServiceAnswer> {
        let run = &self.run;
        if run.pool.lookup_path.is_empty() {
            return None;
        }
        let path = run.pool.lookup_path.replace(KEY_PLACE, key);
        let client = &run.state.clients.once;
        loop {
            match service_call::look_up(client, choice.address, &path).await {
                Ok(Some(answer)) => return Some(answer),
                Ok(None) if run.pool.checks_request_keys => {
                    let call = run.service_call(choice, self.attempt.clone());
                    if let Ok(reply) = run.send(choice, &call).await {
                        return Some(reply.answer);
                    }
                }
                Ok(None) | Err(_) => {}
            }
            tokio::time::sleep(LOOK_UP_PAUSE).await;
        }
    }

    /// The answer when this attempt may not run the key.
    fn not_won(&self, verdict: ClaimVerdict) -> Result<ServiceReply> {
        self.run
            .note(EventKind::ClaimLost, verdict_sentence(&verdict));
        match verdict {
            ClaimVerdict::Done(outcome) => self.replay(outcome),
            ClaimVerdict::Won(_) => Err(RequestError::new(
                ErrorKind::Internal,
                "a won claim was not run",
            )),
            ClaimVerdict::Busy(_) => Err(RequestError::new(
                ErrorKind::KeyInProgress,
                "another copy of this request has the key, and its outcome is not on record yet",
            )),
            ClaimVerdict::Mismatch(_) => Err(RequestError::new(
                ErrorKind::KeyMismatch,
                "the key came before with another body; this request did not run",
            )),
            ClaimVerdict::Settled(_) => Err(RequestError::new(
                ErrorKind::AnswerNotKept,
                "the key has run; its answer is not on record",
            )),
            ClaimVerdict::Expired(detail) => Err(RequestError::new(ErrorKind::KeyExpired, detail)),
            ClaimVerdict::Refused(detail) | ClaimVerdict::Uncertain(detail) => {
                let detail = format!("{detail}; this copy did not run");
                Err(RequestError::new(ErrorKind::PlatformUnavailable, detail))
            }
        }
    }

    /// The recorded answer of an earlier copy.
    fn replay(&self, outcome: ClaimOutcome) -> Result<ServiceReply> {
        if outcome.content_type.is_empty() {
            let detail = "the key has run; its answer was too large to keep";
            return Err(RequestError::new(ErrorKind::AnswerNotKept, detail));
        }
        let detail = "answered from the record of an earlier copy of this request";
        self.run.note(EventKind::OutcomeReplayed, detail);
        Ok(ServiceReply {
            answer: ServiceAnswer {
                status: outcome.status,
                content_type: outcome.content_type,
                body: outcome.answer,
                word: EndpointWord::default(),
            },
            endpoint: None,
            reason: detail.into(),
        })
    }
}

/// Hash of what a key stands for.
fn body_hash(template: &str, body: &str) -> Box<str> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(template.as_bytes());
    hasher.update(&[0]);
    hasher.update(body.as_bytes());
    hasher.finalize().to_hex().as_str().into()
}

/// What the log said, as a sentence.
fn verdict_sentence(verdict: &ClaimVerdict) -> Box<str> {
    match verdict {
        ClaimVerdict::Won(_) => "the log gives the key to this attempt".into(),
        ClaimVerdict::Done(_) => "an earlier copy of this request has run".into(),
        ClaimVerdict::Busy(attempt) => format!("attempt {attempt} has the key").into(),
        ClaimVerdict::Mismatch(_) => "the key came before with another body".into(),
        ClaimVerdict::Settled(_) => "the key was settled as having run".into(),
        ClaimVerdict::Refused(detail) => format!("no claim was made: {detail}").into(),
        ClaimVerdict::Uncertain(detail) => format!("the log did not say in time: {detail}").into(),
        ClaimVerdict::Expired(detail) => format!("the key cannot be checked: {detail}").into(),
    }
}

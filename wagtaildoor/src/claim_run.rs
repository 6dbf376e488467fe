//! Runs a non-idempotent request at most once: claim, dispatch, outcome, answer.

use std::{
    future::Future,
    time::Duration, //
};

use tokio::{
    task::JoinHandle,
    time::{
        self,
        Instant, //
    },
};

use crate::{
    claim_policy::DISPATCH_WINDOW,
    claim_service::ClaimService,
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::AttemptId,
    log_store::LogStore,
    schema::{
        ClaimOutcome,
        ClaimRecord,
        ClaimRelease,
        ClaimSettlement,
        ClaimStart,
        ClaimVerdict,
        SettledAs, //
    },
};

/// Longest wait of a caller for its outcome or release to be on record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an outcome that is not on record yet is tried again.
const OUTCOME_RETRY_TIMEOUT: Duration = Duration::from_secs(600);
/// Wait between two attempts to find out whether a request ran.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);
/// Largest answer that is kept on record, in bytes.
const MAX_RECORDED_ANSWER_BYTES: usize = 64 * 1024;

/// Decides claims, and puts records into the log.
pub trait ClaimClient: Clone + Send + Sync + 'static {
    /// Claims a key. An attempt asks once only; only `Won` lets it run.
    fn claim(&self, start: ClaimStart, wait: Duration)
        -> impl Future<Output = ClaimVerdict> + Send;

    /// Puts a record into the log; tells whether it was read back.
    fn record(&self, record: ClaimRecord, wait: Duration) -> impl Future<Output = bool> + Send;
}

impl<L: LogStore> ClaimClient for ClaimService<L> {
    async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        ClaimService::claim(self, start, wait).await
    }

    async fn record(&self, record: ClaimRecord, wait: Duration) -> bool {
        ClaimService::record(self, record, wait).await
    }
}

/// Writes a request to an endpoint.
pub trait OnceDispatcher: Send + Sync + 'static {
    /// Whether the endpoints themselves run each key at most once.
    fn checks_request_keys(&self) -> bool;

    /// Writes the request to an endpoint, and waits for its answer.
    ///
    /// Right before each write it looks whether the window is open, and writes nothing if not.
    fn dispatch(
        &self,
        start: &ClaimStart,
        window: DispatchWindow,
    ) -> impl Future<Output = DispatchResult> + Send;

    /// Asks the service what it knows of the key.
    fn look_up(&self, start: &ClaimStart) -> impl Future<Output = LookupResult> + Send;
}

/// Time within which a request may be written to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DispatchWindow {
    /// When it closes; `None` never.
    closes_at: Option<Instant>,
}

impl DispatchWindow {
    /// The window of a claim that is asked for now, at the earliest.
    pub fn open_from(asked: Instant) -> Self {
        Self {
            closes_at: Some(asked + DISPATCH_WINDOW),
        }
    }

    /// Whether the request may be written now.
    pub fn is_open(&self) -> bool {
        self.closes_at
            .is_none_or(|closes_at| Instant::now() < closes_at)
    }
}

/// Answer of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OnceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Box<str>,
    /// Body.
    pub body: Box<str>,
}

/// How a dispatch ended.
#[derive(Clone, Debug)]
pub enum DispatchResult {
    /// The endpoint answered.
    Answered(OnceAnswer),
    /// Certainly no endpoint ran it.
    NotRun(RequestError),
    /// It was written, and no answer came.
    Unknown(Box<str>),
}

/// What a service knows of a key.
#[derive(Clone, Debug)]
pub enum LookupResult {
    /// It ran, with this answer.
    Ran(OnceAnswer),
    /// The service has not seen the key so far.
    NotSeen,
    /// The service did not say, or has no look-up.
    NoAnswer,
}

/// What a caller gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OnceReply {
    /// Answer of the endpoint.
    pub answer: OnceAnswer,
    /// It is the answer to an earlier copy of the request.
    pub replayed: bool,
}

/// The one attempt of a non-idempotent request.
pub struct OnceRun<A, D> {
    /// Decides claims.
    pub claims: A,
    /// Writes to endpoints.
    pub dispatcher: D,
    /// The claim.
    pub start: ClaimStart,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl<A: ClaimClient, D: OnceDispatcher> OnceRun<A, D> {
    /// Runs in a task of its own, which goes on when the caller hangs up.
    pub fn spawn(self) -> JoinHandle<Result<OnceReply>> {
        tokio::spawn(self.run())
    }

    /// Runs to the end. Must not be dropped before: `spawn` keeps it.
    async fn run(self) -> Result<OnceReply> {
        // Taken before the claim is asked for, and so before the log's time of the claim.
        let window = DispatchWindow::open_from(Instant::now());
        let wait = self.remaining().min(DISPATCH_WINDOW);
        match self.claims.claim(self.start.clone(), wait).await {
            ClaimVerdict::Won(_) => self.dispatch_claimed(window).await,
            ClaimVerdict::Busy(holder) => self.resolve_busy(holder).await,
            verdict @ ClaimVerdict::Settled(_) => self.answer_settled(verdict).await,
            verdict @ ClaimVerdict::Uncertain(_) => {
                // The keeper does so too, but it may be the one that failed.
                let (claims, release) = (self.claims.clone(), self.release_record());
                tokio::spawn(async move { claims.record(release, RECORD_TIMEOUT).await });
                reply_without_run(verdict)
            }
            verdict => reply_without_run(verdict),
        }
    }

    /// Dispatches the request, and puts on record what came of it.
    async fn dispatch_claimed(&self, window: DispatchWindow) -> Result<OnceReply> {
        let result = if window.is_open() {
            self.dispatcher.dispatch(&self.start, window).await
        } else {
            let detail = "the time between claim and dispatch was over";
            DispatchResult::NotRun(RequestError::new(ErrorKind::DeadlineUnreachable, detail))
        };
        match result {
            DispatchResult::Answered(answer) => Ok(self.record_answer(answer).await),
            DispatchResult::NotRun(error) => Err(self.release_claim(error).await),
            DispatchResult::Unknown(detail) => self.resolve_unknown(detail).await,
        }
    }

    /// Another attempt has the key: the service may tell that it ran.
    ///
    /// The holder may have lost the key since. A settlement counts only while it has it, so that
    /// nothing is put down to the wrong attempt.
    async fn resolve_busy(&self, holder: AttemptId) -> Result<OnceReply> {
        let Some(answer) = self.look_up().await else {
            return reply_without_run(ClaimVerdict::Busy(holder));
        };
        let record = ClaimRecord::Settlement(ClaimSettlement {
            account: self.start.account.clone(),
            attempt: holder,
            by: self.start.host.clone(),
            key: self.start.key.clone(),
            note: "the service's own record says that it ran".into(),
            settled: SettledAs::Ran,
        });
        let claims = self.claims.clone();
        tokio::spawn(async move { claims.record(record, RECORD_TIMEOUT).await });
        Ok(OnceReply {
            answer,
            replayed: true,
        })
    }

    /// The key has run, and its answer is not on record: the service may have it.
    async fn answer_settled(&self, verdict: ClaimVerdict) -> Result<OnceReply> {
        match self.look_up().await {
            Some(answer) => Ok(OnceReply {
                answer,
                replayed: true,
            }),
            None => reply_without_run(verdict),
        }
    }

    /// The service's answer to the key, if it ran and the service tells.
    async fn look_up(&self) -> Option<OnceAnswer> {
        let lookup = time::timeout_at(self.deadline, self.dispatcher.look_up(&self.start)).await;
        match lookup {
            Ok(LookupResult::Ran(answer)) => Some(answer),
            Ok(LookupResult::NotSeen | LookupResult::NoAnswer) | Err(_) => None,
        }
    }

    /// Puts an answer on record, so that later copies of the request get it too.
    async fn record_answer(&self, answer: OnceAnswer) -> OnceReply {
        let is_recorded = answer.body.len() <= MAX_RECORDED_ANSWER_BYTES;
        let record = ClaimRecord::Outcome(ClaimOutcome {
            account: self.start.account.clone(),
            answer: if is_recorded {
                answer.body.clone()
            } else {
                "".into()
            },
            attempt: self.start.attempt.clone(),
            content_type: if is_recorded {
                answer.content_type.clone()
            } else {
                "".into()
            },
            key: self.start.key.clone(),
            status: answer.status,
        });
        let wait = self.remaining().min(RECORD_TIMEOUT);
        if !self.claims.record(record.clone(), wait).await {
            // The answer is not held back any longer for an unreachable log.
            tokio::spawn(retry_recording(self.claims.clone(), record));
        }
        OnceReply {
            answer,
            replayed: false,
        }
    }

    /// Gives the claim up; "not run" is said only when that is on record.
    async fn release_claim(&self, error: RequestError) -> RequestError {
        if self
            .claims
            .record(self.release_record(), RECORD_TIMEOUT)
            .await
        {
            return error;
        }
        let detail = format!("{error}; this copy did not run, but that is not on record yet");
        RequestError::new(ErrorKind::KeyUnchecked, detail)
    }

    /// Record by which this attempt gives its claim up.
    fn release_record(&self) -> ClaimRecord {
        ClaimRecord::Release(ClaimRelease {
            account: self.start.account.clone(),
            attempt: self.start.attempt.clone(),
            key: self.start.key.clone(),
        })
    }

    /// Finds out whether a request ran whose answer was lost.
    async fn resolve_unknown(&self, detail: Box<str>) -> Result<OnceReply> {
        match time::timeout_at(self.deadline, self.find_answer()).await {
            Ok(answer) => Ok(self.record_answer(answer).await),
            Err(_) => {
                let detail = format!("the request was sent, and no answer came: {detail}");
                Err(RequestError::new(ErrorKind::OutcomeUnknown, detail))
            }
        }
    }

    /// Asks the service until it tells an answer. Where it runs each key at most once, the request
    /// is also sent again.
    async fn find_answer(&self) -> OnceAnswer {
        loop {
            let lookup = self.dispatcher.look_up(&self.start).await;
            if let LookupResult::Ran(answer) = lookup {
                return answer;
            }
            if self.dispatcher.checks_request_keys() {
                let unbounded = DispatchWindow { closes_at: None };
                let result = self.dispatcher.dispatch(&self.start, unbounded).await;
                if let DispatchResult::Answered(answer) = result {
                    return answer;
                }
            }
            time::sleep(LOOKUP_INTERVAL).await;
        }
    }

    /// Time for which the caller still waits.
    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Goes on trying to put an outcome on record.
async fn retry_recording<A: ClaimClient>(claims: A, record: ClaimRecord) {
    let deadline = Instant::now() + OUTCOME_RETRY_TIMEOUT;
    while Instant::now() < deadline {
        if claims.record(record.clone(), RECORD_TIMEOUT).await {
            return;
        }
        time::sleep(LOOKUP_INTERVAL).await;
    }
}

/// The answer when an attempt may not run the key.
pub fn reply_without_run(verdict: ClaimVerdict) -> Result<OnceReply> {
    let request_error = |kind, detail: &str| Err(RequestError::new(kind, detail));
    match verdict {
        ClaimVerdict::Done(outcome) => replay_outcome(outcome),
        ClaimVerdict::Won(_) => request_error(ErrorKind::Internal, "a won claim was not run"),
        ClaimVerdict::Busy(_) => request_error(
            ErrorKind::KeyInProgress,
            "another copy of this request has the key, and its outcome is not on record yet",
        ),
        ClaimVerdict::Mismatch(_) => request_error(
            ErrorKind::KeyMismatch,
            "the key came before with another body; this request did not run",
        ),
        ClaimVerdict::Settled(_) => request_error(
            ErrorKind::AnswerNotKept,
            "the key has run; its answer is not on record",
        ),
        ClaimVerdict::Expired(detail) => request_error(ErrorKind::KeyExpired, &detail),
        ClaimVerdict::Refused(detail) | ClaimVerdict::Uncertain(detail) => {
            let detail = format!("{detail}; this copy did not run");
            request_error(ErrorKind::PlatformUnavailable, &detail)
        }
    }
}

/// The recorded answer to an earlier copy.
fn replay_outcome(outcome: ClaimOutcome) -> Result<OnceReply> {
    if outcome.content_type.is_empty() {
        let detail = "the key has run; its answer was too large to keep";
        return Err(RequestError::new(ErrorKind::AnswerNotKept, detail));
    }
    let answer = OnceAnswer {
        status: outcome.status,
        content_type: outcome.content_type,
        body: outcome.answer,
    };
    Ok(OnceReply {
        answer,
        replayed: true,
    })
}

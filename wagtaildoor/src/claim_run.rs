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

/// Maximum time that a client waits for its outcome or release to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time during which recording an outcome is retried in the background.
const OUTCOME_RETRY_TIMEOUT: Duration = Duration::from_secs(600);
/// Delay between two lookups of a request with unknown outcome, and between two retries.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum size of an answer that is stored with its outcome.
const MAX_RECORDED_ANSWER_BYTES: usize = 64 * 1024;

/// Client of a claim service, either local or on a keeper.
pub trait ClaimClient: Clone + Send + Sync + 'static {
    /// Claims a key for an attempt.
    ///
    /// Must be called only once per attempt. The attempt may run only after `Won`.
    fn claim(&self, start: ClaimStart, wait: Duration)
        -> impl Future<Output = ClaimVerdict> + Send;

    /// Appends a record to the log. Returns whether it was read back within `wait`.
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

/// Sends a claimed request to an endpoint.
pub trait OnceDispatcher: Send + Sync + 'static {
    /// Whether the endpoints run each idempotency key at most once by themselves.
    fn checks_request_keys(&self) -> bool;

    /// Sends the request to an endpoint and waits for the response.
    ///
    /// Must check right before each write that the window is open, and write nothing otherwise.
    fn dispatch(
        &self,
        start: &ClaimStart,
        window: DispatchWindow,
    ) -> impl Future<Output = DispatchResult> + Send;

    /// Asks the service whether it ran the key.
    fn look_up(&self, start: &ClaimStart) -> impl Future<Output = LookupResult> + Send;
}

/// Time window during which a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DispatchWindow {
    /// End of the window; `None` if it never closes.
    closes_at: Option<Instant>,
}

impl DispatchWindow {
    /// Creates the window of a claim that is requested at `requested_at` or later.
    pub fn open_from(requested_at: Instant) -> Self {
        Self {
            closes_at: Some(requested_at + DISPATCH_WINDOW),
        }
    }

    /// Whether the request may be sent now.
    pub fn is_open(&self) -> bool {
        self.closes_at
            .is_none_or(|closes_at| Instant::now() < closes_at)
    }
}

/// Response of an endpoint to a request that runs at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OnceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Box<str>,
    /// Response body.
    pub body: Box<str>,
}

/// What became of a request that was sent to an endpoint.
#[derive(Clone, Debug)]
pub enum DispatchResult {
    /// The endpoint responded.
    Answered(OnceAnswer),
    /// The request did not run on any endpoint.
    NotRun(RequestError),
    /// The request was sent, but no response arrived.
    Unknown(Box<str>),
}

/// Answer of a service to a lookup of a key.
#[derive(Clone, Debug)]
pub enum LookupResult {
    /// The key ran, with this response.
    Ran(OnceAnswer),
    /// The service has not received the key so far.
    NotSeen,
    /// The lookup failed, or the service does not support lookups.
    NoAnswer,
}

/// Reply to the client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OnceReply {
    /// Response of the endpoint.
    pub answer: OnceAnswer,
    /// Whether the response belongs to an earlier copy of the request.
    pub replayed: bool,
}

/// An attempt to run a non-idempotent request at most once.
pub struct OnceRun<A, D> {
    /// Client that claims the key and records the outcome.
    pub claims: A,
    /// Sends the request to an endpoint.
    pub dispatcher: D,
    /// Claim of this attempt.
    pub start: ClaimStart,
    /// Time at which the client stops waiting.
    pub deadline: Instant,
}

impl<A: ClaimClient, D: OnceDispatcher> OnceRun<A, D> {
    /// Runs the attempt in its own task, so that it completes even if the client disconnects.
    pub fn spawn(self) -> JoinHandle<Result<OnceReply>> {
        tokio::spawn(self.run())
    }

    /// Runs the attempt to completion. The future must not be dropped earlier; see `spawn`.
    async fn run(self) -> Result<OnceReply> {
        // Taken before the claim is requested, so that the window opens before the log time of the
        // claim.
        let window = DispatchWindow::open_from(Instant::now());
        let wait = self.remaining().min(DISPATCH_WINDOW);
        match self.claims.claim(self.start.clone(), wait).await {
            ClaimVerdict::Won(_) => self.dispatch_claimed(window).await,
            ClaimVerdict::Busy(holder) => self.resolve_busy(holder).await,
            verdict @ ClaimVerdict::Settled(_) => self.answer_settled(verdict).await,
            verdict @ ClaimVerdict::Uncertain(_) => {
                // The keeper releases the claim as well, unless the keeper itself has failed.
                let (claims, release) = (self.claims.clone(), self.release_record());
                tokio::spawn(async move { claims.record(release, RECORD_TIMEOUT).await });
                reply_without_run(verdict)
            }
            verdict => reply_without_run(verdict),
        }
    }

    /// Dispatches the request and records the result.
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

    /// Checks with the service whether the key ran, since another attempt holds it.
    ///
    /// The holder may have lost the key in the meantime. A settlement takes effect only while the
    /// attempt that it names holds the key, so it is never applied to another attempt.
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

    /// Looks up the answer of a key that ran, but has no recorded answer.
    async fn answer_settled(&self, verdict: ClaimVerdict) -> Result<OnceReply> {
        match self.look_up().await {
            Some(answer) => Ok(OnceReply {
                answer,
                replayed: true,
            }),
            None => reply_without_run(verdict),
        }
    }

    /// Response of the service for the key; `None` if it did not run, is unknown or the deadline
    /// passed.
    async fn look_up(&self) -> Option<OnceAnswer> {
        let lookup = time::timeout_at(self.deadline, self.dispatcher.look_up(&self.start)).await;
        match lookup {
            Ok(LookupResult::Ran(answer)) => Some(answer),
            Ok(LookupResult::NotSeen | LookupResult::NoAnswer) | Err(_) => None,
        }
    }

    /// Records the response, so that later copies of the request receive it too.
    async fn record_answer(&self, answer: OnceAnswer) -> OnceReply {
        let can_be_recorded = answer.body.len() <= MAX_RECORDED_ANSWER_BYTES;
        let record = ClaimRecord::Outcome(ClaimOutcome {
            account: self.start.account.clone(),
            answer: if can_be_recorded {
                answer.body.clone()
            } else {
                "".into()
            },
            attempt: self.start.attempt.clone(),
            content_type: if can_be_recorded {
                answer.content_type.clone()
            } else {
                "".into()
            },
            key: self.start.key.clone(),
            status: answer.status,
        });
        let wait = self.remaining().min(RECORD_TIMEOUT);
        if !self.claims.record(record.clone(), wait).await {
            // Return the response even though the log is unreachable.
            tokio::spawn(retry_recording(self.claims.clone(), record));
        }
        OnceReply {
            answer,
            replayed: false,
        }
    }

    /// Releases the claim. The client receives "not run" only if the release was recorded.
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

    fn release_record(&self) -> ClaimRecord {
        ClaimRecord::Release(ClaimRelease {
            account: self.start.account.clone(),
            attempt: self.start.attempt.clone(),
            key: self.start.key.clone(),
        })
    }

    /// Resolves whether a request ran whose response was lost.
    async fn resolve_unknown(&self, detail: Box<str>) -> Result<OnceReply> {
        match time::timeout_at(self.deadline, self.find_answer()).await {
            Ok(answer) => Ok(self.record_answer(answer).await),
            Err(_) => {
                let detail = format!("the request was sent, and no answer came: {detail}");
                Err(RequestError::new(ErrorKind::OutcomeUnknown, detail))
            }
        }
    }

    /// Repeats the lookup until the service returns a response.
    ///
    /// If the service runs each key at most once, the request is also sent again.
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

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Retries recording an outcome until `OUTCOME_RETRY_TIMEOUT` passes.
async fn retry_recording<A: ClaimClient>(claims: A, record: ClaimRecord) {
    let deadline = Instant::now() + OUTCOME_RETRY_TIMEOUT;
    while Instant::now() < deadline {
        if claims.record(record.clone(), RECORD_TIMEOUT).await {
            return;
        }
        time::sleep(LOOKUP_INTERVAL).await;
    }
}

/// Converts a verdict that does not let the attempt run into the reply to the client.
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

/// Returns the recorded response of an earlier copy of the request.
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

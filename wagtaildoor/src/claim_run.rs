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
const RECORD_WAIT: Duration = Duration::from_secs(5);
/// Time for which an outcome that is not on record yet is tried again.
const RECORD_LIMIT: Duration = Duration::from_secs(600);
/// Wait between two attempts to find out whether a request ran.
const LOOK_UP_PAUSE: Duration = Duration::from_millis(200);
/// Largest answer that is kept on record, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024;

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
    closes: Option<Instant>,
}

impl DispatchWindow {
    /// The window of a claim that is asked for now, at the earliest.
    pub fn opened(asked: Instant) -> Self {
        Self {
            closes: Some(asked + DISPATCH_WINDOW),
        }
    }

    /// Whether the request may be written now.
    pub fn is_open(&self) -> bool {
        self.closes.is_none_or(|closes| Instant::now() < closes)
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
        let window = DispatchWindow::opened(Instant::now());
        let wait = self.remaining().min(DISPATCH_WINDOW);
        match self.claims.claim(self.start.clone(), wait).await {
            ClaimVerdict::Won(_) => self.won(window).await,
            ClaimVerdict::Busy(holder) => self.busy(holder).await,
            verdict @ ClaimVerdict::Settled(_) => self.settled(verdict).await,
            verdict @ ClaimVerdict::Uncertain(_) => {
                // The keeper does so too, but it may be the one that failed.
                let (claims, release) = (self.claims.clone(), self.release_record());
                tokio::spawn(async move { claims.record(release, RECORD_WAIT).await });
                not_won(verdict)
            }
            verdict => not_won(verdict),
        }
    }

    /// Dispatches the request, and puts on record what came of it.
    async fn won(&self, window: DispatchWindow) -> Result<OnceReply> {
        let end = if window.is_open() {
            self.dispatcher.dispatch(&self.start, window).await
        } else {
            let detail = "the time between claim and dispatch was over";
            DispatchResult::NotRun(RequestError::new(ErrorKind::DeadlineUnreachable, detail))
        };
        match end {
            DispatchResult::Answered(answer) => Ok(self.ran(answer).await),
            DispatchResult::NotRun(error) => Err(self.release(error).await),
            DispatchResult::Unknown(detail) => self.settle(detail).await,
        }
    }

    /// Another attempt has the key: the service may tell that it ran.
    ///
    /// The holder may have lost the key since. A settlement counts only while it has it, so that
    /// nothing is put down to the wrong attempt.
    async fn busy(&self, holder: AttemptId) -> Result<OnceReply> {
        let Some(answer) = self.look_up().await else {
            return not_won(ClaimVerdict::Busy(holder));
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
        tokio::spawn(async move { claims.record(record, RECORD_WAIT).await });
        Ok(OnceReply {
            answer,
            replayed: true,
        })
    }

    /// The key has run, and its answer is not on record: the service may have it.
    async fn settled(&self, verdict: ClaimVerdict) -> Result<OnceReply> {
        match self.look_up().await {
            Some(answer) => Ok(OnceReply {
                answer,
                replayed: true,
            }),
            None => not_won(verdict),
        }
    }

    /// The service's answer to the key, if it ran and the service tells.
    async fn look_up(&self) -> Option<OnceAnswer> {
        let looked = time::timeout_at(self.deadline, self.dispatcher.look_up(&self.start)).await;
        match looked {
            Ok(LookupResult::Ran(answer)) => Some(answer),
            Ok(LookupResult::NotSeen | LookupResult::NoAnswer) | Err(_) => None,
        }
    }

    /// Puts an answer on record, so that later copies of the request get it too.
    async fn ran(&self, answer: OnceAnswer) -> OnceReply {
        let kept = answer.body.len() <= ANSWER_LIMIT_BYTES;
        let record = ClaimRecord::Outcome(ClaimOutcome {
            account: self.start.account.clone(),
            answer: if kept { answer.body.clone() } else { "".into() },
            attempt: self.start.attempt.clone(),
            content_type: if kept {
                answer.content_type.clone()
            } else {
                "".into()
            },
            key: self.start.key.clone(),
            status: answer.status,
        });
        let wait = self.remaining().min(RECORD_WAIT);
        if !self.claims.record(record.clone(), wait).await {
            // The answer is not held back any longer for an unreachable log.
            tokio::spawn(record_later(self.claims.clone(), record));
        }
        OnceReply {
            answer,
            replayed: false,
        }
    }

    /// Gives the claim up; "not run" is said only when that is on record.
    async fn release(&self, error: RequestError) -> RequestError {
        if self.claims.record(self.release_record(), RECORD_WAIT).await {
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
    async fn settle(&self, detail: Box<str>) -> Result<OnceReply> {
        match time::timeout_at(self.deadline, self.find()).await {
            Ok(answer) => Ok(self.ran(answer).await),
            Err(_) => {
                let detail = format!("the request was sent, and no answer came: {detail}");
                Err(RequestError::new(ErrorKind::OutcomeUnknown, detail))
            }
        }
    }

    /// Asks the service until it tells an answer. Where it runs each key at most once, the request
    /// is also sent again.
    async fn find(&self) -> OnceAnswer {
        loop {
            let looked = self.dispatcher.look_up(&self.start).await;
            if let LookupResult::Ran(answer) = looked {
                return answer;
            }
            if self.dispatcher.checks_request_keys() {
                let unbounded = DispatchWindow { closes: None };
                let end = self.dispatcher.dispatch(&self.start, unbounded).await;
                if let DispatchResult::Answered(answer) = end {
                    return answer;
                }
            }
            time::sleep(LOOK_UP_PAUSE).await;
        }
    }

    /// Time for which the caller still waits.
    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Goes on trying to put an outcome on record.
async fn record_later<A: ClaimClient>(claims: A, record: ClaimRecord) {
    let limit = Instant::now() + RECORD_LIMIT;
    while Instant::now() < limit {
        if claims.record(record.clone(), RECORD_WAIT).await {
            return;
        }
        time::sleep(LOOK_UP_PAUSE).await;
    }
}

/// The answer when an attempt may not run the key.
pub fn not_won(verdict: ClaimVerdict) -> Result<OnceReply> {
    let fail = |kind, detail: &str| Err(RequestError::new(kind, detail));
    match verdict {
        ClaimVerdict::Done(outcome) => replay(outcome),
        ClaimVerdict::Won(_) => fail(ErrorKind::Internal, "a won claim was not run"),
        ClaimVerdict::Busy(_) => fail(
            ErrorKind::KeyInProgress,
            "another copy of this request has the key, and its outcome is not on record yet",
        ),
        ClaimVerdict::Mismatch(_) => fail(
            ErrorKind::KeyMismatch,
            "the key came before with another body; this request did not run",
        ),
        ClaimVerdict::Settled(_) => fail(
            ErrorKind::AnswerNotKept,
            "the key has run; its answer is not on record",
        ),
        ClaimVerdict::Expired(detail) => fail(ErrorKind::KeyExpired, &detail),
        ClaimVerdict::Refused(detail) | ClaimVerdict::Uncertain(detail) => {
            let detail = format!("{detail}; this copy did not run");
            fail(ErrorKind::PlatformUnavailable, &detail)
        }
    }
}

/// The recorded answer to an earlier copy.
fn replay(outcome: ClaimOutcome) -> Result<OnceReply> {
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

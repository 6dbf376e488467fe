//! Runs a non-idempotent request at most once, through this entry's keeper and endpoints.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use uuid::Uuid;
use wagtaildoor::{
    claim_run::{
        ClaimClient,
        DispatchResult,
        DispatchWindow,
        LookupResult,
        OnceAnswer,
        OnceDispatcher,
        OnceRun, //
    },
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::{
        EndpointId,
        RequestKey, //
    },
    placement::PlacementChoice,
    schema::{
        ClaimRecord,
        ClaimStart,
        ClaimVerdict,
        EventKind, //
    },
};

use crate::{
    engine_call::{
        CallError,
        EndpointStatus, //
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

/// Stands in a look-up path for the idempotency key.
const KEY_PLACEHOLDER: &str = "{key}";

/// Runs a request to its end, whether or not its caller still waits.
pub async fn run(run: ServiceRun, key: RequestKey) -> Result<ServiceReply> {
    let sent = SentChoice::default();
    let once = OnceRun {
        claims: RecordingClaimClient { run: run.clone() },
        deadline: run.context.deadline(),
        dispatcher: ServiceDispatcher {
            run: run.clone(),
            sent: sent.clone(),
        },
        start: claim_start(&run, key),
    };
    let reply = once.spawn().await.map_err(|error| {
        let detail = format!("the request's task failed: {error}");
        RequestError::new(ErrorKind::Internal, detail)
    })??;
    if reply.replayed {
        let detail = "answered from the record of an earlier copy of this request";
        run.context
            .timeline
            .record_event(EventKind::OutcomeReplayed, detail);
        return Ok(service_reply(reply.answer, None, detail.into()));
    }
    let choice = sent.get();
    let endpoint = choice.as_ref().map(|choice| choice.endpoint.clone());
    let reason = choice.map_or_else(String::new, |choice| choice.reason.to_string());
    let reply = service_reply(reply.answer, endpoint, reason.into());
    run.record_answered(&reply);
    Ok(reply)
}

/// The claim of a request's one attempt.
fn claim_start(run: &ServiceRun, key: RequestKey) -> ClaimStart {
    ClaimStart {
        account: run.context.account.id.clone(),
        attempt: Uuid::now_v7().to_string().into(),
        body_hash: body_hash(&run.context.template.id, &run.body),
        host: run.context.state.settings.host.name.clone(),
        key,
        request: run.context.request.clone(),
        template: run.context.template.id.clone(),
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

/// The keeper's claims, with their steps in the time line.
#[derive(Clone)]
struct RecordingClaimClient {
    /// The request.
    run: ServiceRun,
}

impl ClaimClient for RecordingClaimClient {
    async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        let detail = format!("asked the log to run key {}", start.key);
        self.run
            .context
            .timeline
            .record_event(EventKind::ClaimAsked, detail);
        let verdict = self.run.context.state.link.claim(start, wait).await;
        let kind = match verdict {
            ClaimVerdict::Won(_) => EventKind::ClaimWon,
            _ => EventKind::ClaimLost,
        };
        self.run
            .context
            .timeline
            .record_event(kind, describe_verdict(&verdict));
        verdict
    }

    async fn record(&self, record: ClaimRecord, wait: Duration) -> bool {
        let is_release = matches!(record, ClaimRecord::Release(_));
        let is_recorded = self.run.context.state.link.record(record, wait).await;
        let (kind, detail) = match (is_release, is_recorded) {
            (true, true) => (EventKind::ClaimReleased, "not run, and that is on record"),
            (true, false) => (
                EventKind::ClaimUnknown,
                "not run, but that could not be put on record",
            ),
            (false, true) => (EventKind::OutcomeRecorded, "the answer is on record"),
            (false, false) => (
                EventKind::ClaimUnknown,
                "the answer could not be put on record yet",
            ),
        };
        self.run.context.timeline.record_event(kind, detail);
        is_recorded
    }
}

/// The endpoint that a request was written to last.
#[derive(Clone, Default)]
struct SentChoice {
    /// Endpoint; `None` before the first write.
    choice: Arc<Mutex<Option<PlacementChoice>>>,
}

impl SentChoice {
    /// The endpoint, if the request was written to one.
    fn get(&self) -> Option<PlacementChoice> {
        let choice = self.choice.lock().unwrap_or_else(PoisonError::into_inner);
        choice.clone()
    }

    /// The request is about to be written to an endpoint.
    fn set(&self, sent: &PlacementChoice) {
        let mut choice = self.choice.lock().unwrap_or_else(PoisonError::into_inner);
        *choice = Some(sent.clone());
    }
}

/// Writes the request to the endpoints of its pool.
struct ServiceDispatcher {
    /// The request.
    run: ServiceRun,
    /// Where it was written.
    sent: SentChoice,
}

impl OnceDispatcher for ServiceDispatcher {
    fn checks_request_keys(&self) -> bool {
        self.run.context.pool.checks_request_keys
    }

    /// Goes on to another endpoint only when the one before certainly did not run it. Once it may
    /// have run, only that endpoint gets it again.
    async fn dispatch(&self, start: &ClaimStart, window: DispatchWindow) -> DispatchResult {
        if let Some(choice) = self.sent.get() {
            return self.send_once(&choice, start).await;
        }
        let mut exclude: Vec<EndpointId> = Vec::new();
        let mut last = None;
        loop {
            let choice = match self.run.choose_endpoint(&exclude) {
                Ok(choice) => choice,
                Err(error) => return DispatchResult::NotRun(last.unwrap_or(error)),
            };
            if !window.is_open() {
                let detail = "the time between claim and dispatch was over";
                let error = RequestError::new(ErrorKind::DeadlineUnreachable, detail);
                return DispatchResult::NotRun(last.unwrap_or(error));
            }
            match self.send_once(&choice, start).await {
                DispatchResult::NotRun(error) => last = Some(error),
                DispatchResult::Answered(answer) => {
                    self.sent.set(&choice);
                    return DispatchResult::Answered(answer);
                }
                DispatchResult::Unknown(detail) => {
                    self.sent.set(&choice);
                    return DispatchResult::Unknown(detail);
                }
            }
            exclude.push(choice.endpoint);
        }
    }

    async fn look_up(&self, start: &ClaimStart) -> LookupResult {
        let template = &self.run.context.pool.lookup_path;
        if template.is_empty() {
            return LookupResult::NoAnswer;
        }
        let choice = self
            .sent
            .get()
            .or_else(|| self.run.choose_endpoint(&[]).ok());
        let Some(choice) = choice else {
            return LookupResult::NoAnswer;
        };
        let path = template.replace(KEY_PLACEHOLDER, &start.key);
        let client = &self.run.context.state.clients.at_most_once;
        let lookup = service_call::look_up(client, choice.address, &path);
        match tokio::time::timeout_at(self.run.context.deadline(), lookup).await {
            Ok(Ok(Some(answer))) => {
                let detail = "the service's own record says that it ran";
                self.run.context.timeline.record_endpoint_event(
                    EventKind::ClaimSettled,
                    &choice.endpoint,
                    detail,
                );
                LookupResult::Ran(once_answer(answer))
            }
            Ok(Ok(None)) => LookupResult::NotSeen,
            Ok(Err(_)) | Err(_) => LookupResult::NoAnswer,
        }
    }
}

impl ServiceDispatcher {
    /// Writes the request to an endpoint once.
    async fn send_once(&self, choice: &PlacementChoice, start: &ClaimStart) -> DispatchResult {
        let call = self.run.service_call(choice, start.attempt.clone());
        let sent = self.run.send(choice, &call);
        let error = match tokio::time::timeout_at(self.run.context.deadline(), sent).await {
            Ok(Ok(reply)) => return DispatchResult::Answered(once_answer(reply.answer)),
            Ok(Err(error)) => error,
            Err(_) => CallError::Broken("no answer before the deadline".into()),
        };
        if error.is_not_run() {
            let detail = format!("{} did not run it: {error}", choice.endpoint);
            self.run.context.timeline.record_endpoint_event(
                EventKind::RequestRetried,
                &choice.endpoint,
                detail,
            );
            let error = RequestError::new(ErrorKind::EndpointRefused, error.to_string());
            return DispatchResult::NotRun(error);
        }
        let detail = format!("sent to {}, and no answer came: {error}", choice.endpoint);
        self.run.context.timeline.record_endpoint_event(
            EventKind::ClaimUnknown,
            &choice.endpoint,
            detail,
        );
        DispatchResult::Unknown(error.to_string().into())
    }
}

/// What a caller gets of an answer.
fn service_reply(
    answer: OnceAnswer,
    endpoint: Option<EndpointId>,
    reason: Box<str>,
) -> ServiceReply {
    ServiceReply {
        answer: ServiceAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
            endpoint_status: EndpointStatus::default(),
        },
        endpoint,
        reason,
    }
}

/// What of a service's answer is put on record.
fn once_answer(answer: ServiceAnswer) -> OnceAnswer {
    OnceAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}

/// What the log said, as a sentence.
fn describe_verdict(verdict: &ClaimVerdict) -> Box<str> {
    match verdict {
        ClaimVerdict::Won(_) => "the log gives the key to this attempt".into(),
        ClaimVerdict::Done(_) => "an earlier copy of this request has run".into(),
        ClaimVerdict::Busy(attempt) => format!("attempt {attempt} has the key").into(),
        ClaimVerdict::Mismatch(_) => "the key came before with another body".into(),
        ClaimVerdict::Settled(_) => "the key was settled as having run".into(),
        ClaimVerdict::Expired(detail) => format!("the key cannot be checked: {detail}").into(),
        ClaimVerdict::Refused(detail) => format!("no claim was made: {detail}").into(),
        ClaimVerdict::Uncertain(detail) => format!("the log did not say in time: {detail}").into(),
    }
}

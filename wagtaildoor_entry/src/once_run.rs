//! Runs non-idempotent requests at most once, with claims made through the keeper.

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

/// Placeholder for the idempotency key in a pool's lookup path.
const KEY_PLACEHOLDER: &str = "{key}";

/// Runs a request to its end, even if the caller disconnects.
///
/// Returns the recorded answer if an earlier request with the same key has run.
pub async fn run(run: ServiceRun, key: RequestKey) -> Result<ServiceReply> {
    let sent = SentChoice::default();
    let once = OnceRun {
        claims: RecordingClaimClient { run: run.clone() },
        deadline: run.context.deadline(),
        dispatcher: ServiceDispatcher {
            run: run.clone(),
            sent: sent.clone(),
        },
        start: build_claim(&run, key),
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
        return Ok(build_reply(reply.answer, None, detail.into()));
    }
    let choice = sent.get();
    let endpoint = choice.as_ref().map(|choice| choice.endpoint.clone());
    let reason = choice.map_or_else(String::new, |choice| choice.reason.to_string());
    let reply = build_reply(reply.answer, endpoint, reason.into());
    run.record_answered(&reply);
    Ok(reply)
}

/// Builds the claim for the only attempt of a request.
fn build_claim(run: &ServiceRun, key: RequestKey) -> ClaimStart {
    ClaimStart {
        account: run.context.account.id.clone(),
        attempt: Uuid::now_v7().to_string().into(),
        body_hash: hash_request(&run.context.template.id, &run.body),
        host: run.context.state.settings.host.name.clone(),
        key,
        request: run.context.request.clone(),
        template: run.context.template.id.clone(),
    }
}

/// Hashes template and body, so that a key reused for another request is detected.
fn hash_request(template: &str, body: &str) -> Box<str> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(template.as_bytes());
    hasher.update(&[0]);
    hasher.update(body.as_bytes());
    hasher.finalize().to_hex().as_str().into()
}

/// Makes claims through the keeper and records each step in the timeline.
#[derive(Clone)]
struct RecordingClaimClient {
    /// Request whose timeline is written.
    run: ServiceRun,
}

impl ClaimClient for RecordingClaimClient {
    async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        let detail = format!("requested a claim for key {}", start.key);
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
            (true, true) => (
                EventKind::ClaimReleased,
                "the request did not run; the release is recorded",
            ),
            (true, false) => (
                EventKind::ClaimUnknown,
                "the request did not run, but the release could not be recorded",
            ),
            (false, true) => (EventKind::OutcomeRecorded, "the answer is recorded"),
            (false, false) => (
                EventKind::ClaimUnknown,
                "the answer could not be recorded yet",
            ),
        };
        self.run.context.timeline.record_event(kind, detail);
        is_recorded
    }
}

/// Endpoint that answered the request or may have run it, shared by the dispatcher and the reply.
#[derive(Clone, Default)]
struct SentChoice {
    /// `None` until an endpoint has answered or may have run the request.
    choice: Arc<Mutex<Option<PlacementChoice>>>,
}

impl SentChoice {
    fn get(&self) -> Option<PlacementChoice> {
        let choice = self.choice.lock().unwrap_or_else(PoisonError::into_inner);
        choice.clone()
    }

    fn set(&self, sent: &PlacementChoice) {
        let mut choice = self.choice.lock().unwrap_or_else(PoisonError::into_inner);
        *choice = Some(sent.clone());
    }
}

/// Sends the request to endpoints of its pool.
struct ServiceDispatcher {
    /// Request to send.
    run: ServiceRun,
    /// Endpoint that a repeated dispatch has to use.
    sent: SentChoice,
}

impl OnceDispatcher for ServiceDispatcher {
    fn checks_request_keys(&self) -> bool {
        self.run.context.pool.checks_request_keys
    }

    /// Tries another endpoint only if the previous one certainly did not run the request. Once an
    /// endpoint may have run it, the request is sent again only to that endpoint.
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
                let detail = "the service reports that the request ran";
                self.run.context.timeline.record_endpoint_event(
                    EventKind::ClaimSettled,
                    &choice.endpoint,
                    detail,
                );
                LookupResult::Ran(to_once_answer(answer))
            }
            Ok(Ok(None)) => LookupResult::NotSeen,
            Ok(Err(_)) | Err(_) => LookupResult::NoAnswer,
        }
    }
}

impl ServiceDispatcher {
    /// Sends the request to an endpoint once, without retries.
    async fn send_once(&self, choice: &PlacementChoice, start: &ClaimStart) -> DispatchResult {
        let call = self.run.service_call(choice, start.attempt.clone());
        let sent = self.run.send(choice, &call);
        let error = match tokio::time::timeout_at(self.run.context.deadline(), sent).await {
            Ok(Ok(reply)) => return DispatchResult::Answered(to_once_answer(reply.answer)),
            Ok(Err(error)) => error,
            Err(_) => CallError::Broken("no answer before the deadline".into()),
        };
        if error.is_not_run() {
            let detail = format!("{} did not run the request: {error}", choice.endpoint);
            self.run.context.timeline.record_endpoint_event(
                EventKind::RequestRetried,
                &choice.endpoint,
                detail,
            );
            let error = RequestError::new(ErrorKind::EndpointRefused, error.to_string());
            return DispatchResult::NotRun(error);
        }
        let detail = format!(
            "request sent to {}, but no answer was received: {error}",
            choice.endpoint
        );
        self.run.context.timeline.record_endpoint_event(
            EventKind::ClaimUnknown,
            &choice.endpoint,
            detail,
        );
        DispatchResult::Unknown(error.to_string().into())
    }
}

/// Builds the reply to the caller from an answer.
fn build_reply(answer: OnceAnswer, endpoint: Option<EndpointId>, reason: Box<str>) -> ServiceReply {
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

/// Extracts the part of a service's answer that is recorded in the log.
fn to_once_answer(answer: ServiceAnswer) -> OnceAnswer {
    OnceAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    }
}

/// Describes a verdict as a sentence for the timeline.
fn describe_verdict(verdict: &ClaimVerdict) -> Box<str> {
    match verdict {
        ClaimVerdict::Won(_) => "this attempt won the claim for the key".into(),
        ClaimVerdict::Done(_) => "an earlier request with this key has run".into(),
        ClaimVerdict::Busy(attempt) => {
            format!("attempt {attempt} holds the claim for the key").into()
        }
        ClaimVerdict::Mismatch(_) => "the key was used before with another body".into(),
        ClaimVerdict::Settled(_) => "the key was settled as having run".into(),
        ClaimVerdict::Expired(detail) => format!("the key cannot be checked: {detail}").into(),
        ClaimVerdict::Refused(detail) => format!("no claim was made: {detail}").into(),
        ClaimVerdict::Uncertain(detail) => {
            format!("the log did not decide the claim in time: {detail}").into()
        }
    }
}

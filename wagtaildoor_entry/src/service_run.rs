//! Runs one request to a plain service: idempotent ones with retries, others at most once.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::Instant;
use uuid::Uuid;
use wagtaildoor::{
    admission::AdmissionPermit,
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::{
        EndpointId,
        RequestId,
        RequestKey, //
    },
    placement::{
        PlacementChoice,
        PlacementQuery, //
    },
    prefix,
    schema::{
        Account,
        EventKind,
        Pool,
        Template, //
    },
};

use crate::{
    admit,
    engine_call::CallError,
    model_run, once_run,
    request_notes::RequestNotes,
    service_call::{
        self,
        ServiceAnswer,
        ServiceCall, //
    },
    state::EntryState,
};

/// Attempts an idempotent request gets at most.
const ATTEMPT_LIMIT: usize = 3;

/// One request to a plain service.
#[derive(Clone)]
pub struct ServiceRun {
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
    /// Pool in force when the request came.
    pub pool: Pool,
    /// Idempotency key.
    pub key: Option<RequestKey>,
    /// Body, in JSON.
    pub body: Box<str>,
    /// When the request came.
    pub received: Instant,
}

/// What a caller gets, and from where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// Answer of the service.
    pub answer: ServiceAnswer,
    /// Endpoint that gave it; `None` for an answer on record.
    pub endpoint: Option<EndpointId>,
    /// Why it came from there, as a sentence.
    pub reason: Box<str>,
}

impl ServiceRun {
    /// Runs the request to its end.
    pub async fn run(self) -> Result<ServiceReply> {
        let _permit = self.admit().await?;
        if !self.template.repeatable {
            let key = self.key.clone().ok_or_else(|| {
                let detail = "this request may run only once, and has no key";
                RequestError::new(ErrorKind::KeyMissing, detail)
            })?;
            return once_run::run(self, key).await;
        }
        let limit = self.deadline();
        let result = match tokio::time::timeout_at(limit, self.attempts()).await {
            Ok(result) => result,
            Err(_) => Err(self.late()),
        };
        if let Ok(reply) = &result {
            self.note_answered(reply);
        }
        result
    }

    /// Waits for a place in work. The log was not asked about a key yet.
    async fn admit(&self) -> Result<AdmissionPermit> {
        let cost = prefix::estimate_tokens(&self.body);
        let admitted = admit::admit(
            &self.state,
            &self.notes,
            &self.account,
            &self.template,
            self.deadline(),
            cost,
        );
        admitted.await.map_err(|error| {
            if self.template.repeatable {
                return error;
            }
            RequestError {
                kind: error.kind.before_claim(),
                detail: error.detail,
            }
        })
    }

    /// Notes that the caller's answer is whole.
    pub fn note_answered(&self, reply: &ServiceReply) {
        let time = self.received.elapsed().as_millis();
        let detail = format!(
            "answered with status {} after {time} ms",
            reply.answer.status
        );
        let kind = EventKind::RequestAnswered;
        match &reply.endpoint {
            Some(endpoint) => self.notes.note_at(kind, endpoint, detail),
            None => self.notes.note(kind, detail),
        }
    }

    /// Tries endpoints until one answers.
    async fn attempts(&self) -> Result<ServiceReply> {
        let mut exclude: Vec<EndpointId> = Vec::new();
        let mut worst = None;
        for attempt in 0..ATTEMPT_LIMIT {
            if attempt == 0 {
                self.state.retries.first_attempt();
            } else if !self.state.retries.try_extra() {
                break;
            } else {
                self.state.metrics.retried();
            }
            let choice = match self.place(&exclude) {
                Ok(choice) => choice,
                Err(error) => return Err(worst.unwrap_or(error)),
            };
            let call = self.service_call(&choice, Uuid::now_v7().to_string().into());
            let error = match self.send(&choice, &call).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let detail = format!("{} failed: {error}", choice.endpoint);
            self.notes
                .note_at(EventKind::RequestRetried, &choice.endpoint, detail);
            worst = Some(model_run::worse(worst, failure(&error)));
            exclude.push(choice.endpoint);
        }
        Err(worst.unwrap_or_else(|| RequestError::new(ErrorKind::Internal, "no attempt was made")))
    }

    /// Sends the call to the endpoint, and tells the keeper what the answer says of it.
    pub async fn send(
        &self,
        choice: &PlacementChoice,
        call: &ServiceCall,
    ) -> std::result::Result<ServiceReply, CallError> {
        let now = || Instant::now().into_std();
        let ticket = self.state.table.dispatched(choice, now());
        let detail = format!("attempt {} goes to {}", call.attempt, choice.endpoint);
        self.notes
            .note_at(EventKind::RequestDispatched, &choice.endpoint, detail);
        let client = if self.template.repeatable {
            &self.state.clients.repeatable
        } else {
            &self.state.clients.once
        };
        let answer = match service_call::call(client, call).await {
            Ok(answer) => answer,
            Err(error) => {
                let kind = ErrorKind::EndpointFailed;
                self.state.table.failed(ticket, kind, now());
                return Err(error);
            }
        };
        let news = answer.word.news(&choice.endpoint);
        self.state.table.served(ticket, &news, now());
        self.state.link.tell(news);
        Ok(ServiceReply {
            answer,
            endpoint: Some(choice.endpoint.clone()),
            reason: choice.reason.to_string().into(),
        })
    }

    /// Chooses an endpoint.
    pub fn place(&self, exclude: &[EndpointId]) -> Result<PlacementChoice> {
        let query = PlacementQuery {
            pool: &self.pool.id,
            domain: &self.state.settings.host.domain,
            weights_version: 0,
            levels: &[],
            prompt_tokens: 0,
            deadline: self.deadline().into_std(),
            exclude,
        };
        let choice = self
            .state
            .table
            .place(&query, Instant::now().into_std())
            .map_err(|kind| {
                let detail = format!("no endpoint of pool {} can take the request", self.pool.id);
                RequestError::new(kind, detail)
            })?;
        let detail = format!("sent to {}: {}", choice.endpoint, choice.reason);
        self.notes
            .note_at(EventKind::RequestPlaced, &choice.endpoint, detail);
        Ok(choice)
    }

    /// The call of one attempt.
    pub fn service_call(&self, choice: &PlacementChoice, attempt: Box<str>) -> ServiceCall {
        ServiceCall {
            address: choice.address,
            path: self.template.path.clone(),
            request: self.request.clone(),
            attempt,
            key: self.key.clone(),
            body: self.body.clone(),
        }
    }

    /// When the whole answer is due.
    pub fn deadline(&self) -> Instant {
        self.received + Duration::from_millis(self.template.deadline_ms)
    }

    /// The error once the deadline has passed.
    pub fn late(&self) -> RequestError {
        let detail = format!("no answer within {} ms", self.template.deadline_ms);
        RequestError::new(ErrorKind::DeadlinePassed, detail)
    }
}

/// The error of a failed call.
pub fn failure(error: &CallError) -> RequestError {
    let kind = match error {
        CallError::Broken(_) => ErrorKind::EndpointFailed,
        CallError::NotSent(_) => ErrorKind::NoEndpoint,
        CallError::Refused(_) | CallError::OtherWeights => ErrorKind::EndpointRefused,
    };
    RequestError::new(kind, error.to_string())
}

//! Runs requests to plain services: idempotent ones with retries, others at most once.

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
        RequestKey, //
    },
    placement::PlacementChoice,
    prefix,
    schema::EventKind,
};

use crate::{
    engine_call::CallError,
    model_run, once_run,
    run_context::RunContext,
    service_call::{
        self,
        ServiceAnswer,
        ServiceCall, //
    },
};

/// Maximum number of attempts of an idempotent request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// An authorized request to a plain service.
#[derive(Clone)]
pub struct ServiceRun {
    /// Ids and configuration of the request.
    pub context: RunContext,
    /// Idempotency key. Always set for non-idempotent requests.
    pub key: Option<RequestKey>,
    /// JSON body.
    pub body: Box<str>,
}

/// Answer for the caller and the endpoint that gave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// Status and body, received from the endpoint or replayed from the log.
    pub answer: ServiceAnswer,
    /// Endpoint that answered. `None` if the answer was replayed from the log.
    pub endpoint: Option<EndpointId>,
    /// Reason for the choice of the endpoint, or for the replay.
    pub reason: Box<str>,
}

impl ServiceRun {
    /// Runs the request after admission. Idempotent requests are cut off at the deadline.
    pub async fn run(self) -> Result<ServiceReply> {
        let _permit = self.admit().await?;
        if !self.context.template.repeatable {
            let key = self.key.clone().ok_or_else(|| {
                let detail = "this request may run only once, and has no key";
                RequestError::new(ErrorKind::KeyMissing, detail)
            })?;
            return once_run::run(self, key).await;
        }
        let deadline = self.context.deadline();
        let result = match tokio::time::timeout_at(deadline, self.run_attempts()).await {
            Ok(result) => result,
            Err(_) => Err(self.context.deadline_error()),
        };
        if let Ok(reply) = &result {
            self.record_answered(reply);
        }
        result
    }

    /// Waits for admission. Errors of non-idempotent requests are converted, because no claim has
    /// been requested yet and an earlier request with the same key may have run.
    async fn admit(&self) -> Result<AdmissionPermit> {
        let cost = prefix::estimate_tokens(&self.body);
        let admitted = self.context.admit(cost);
        admitted.await.map_err(|error| {
            if self.context.template.repeatable {
                return error;
            }
            RequestError {
                kind: error.kind.before_claim(),
                detail: error.detail,
            }
        })
    }

    /// Records the answer in the timeline.
    pub fn record_answered(&self, reply: &ServiceReply) {
        let elapsed_ms = self.context.received.elapsed().as_millis();
        let detail = format!(
            "answered with status {} after {elapsed_ms} ms",
            reply.answer.status
        );
        let kind = EventKind::RequestAnswered;
        match &reply.endpoint {
            Some(endpoint) => self
                .context
                .timeline
                .record_endpoint_event(kind, endpoint, detail),
            None => self.context.timeline.record_event(kind, detail),
        }
    }

    /// Tries endpoints until one answers, within the attempt limit and the retry budget.
    async fn run_attempts(&self) -> Result<ServiceReply> {
        let mut exclude: Vec<EndpointId> = Vec::new();
        let mut worst = None;
        for attempt in 0..MAX_ATTEMPTS {
            if attempt == 0 {
                self.context.state.retry_budget.record_first_attempt();
            } else if !self.context.state.retry_budget.try_acquire() {
                break;
            } else {
                self.context.state.metrics.record_retry();
            }
            let choice = match self.choose_endpoint(&exclude) {
                Ok(choice) => choice,
                Err(error) => return Err(worst.unwrap_or(error)),
            };
            let call = self.service_call(&choice, Uuid::now_v7().to_string().into());
            let error = match self.send(&choice, &call).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let detail = format!("{} failed: {error}", choice.endpoint);
            self.context.timeline.record_endpoint_event(
                EventKind::RequestRetried,
                &choice.endpoint,
                detail,
            );
            worst = Some(model_run::more_severe_error(worst, request_error(&error)));
            exclude.push(choice.endpoint);
        }
        Err(worst.unwrap_or_else(|| RequestError::new(ErrorKind::Internal, "no attempt was made")))
    }

    /// Sends the call to the endpoint and forwards the endpoint's status to the keeper.
    pub async fn send(
        &self,
        choice: &PlacementChoice,
        call: &ServiceCall,
    ) -> std::result::Result<ServiceReply, CallError> {
        let now = || Instant::now().into_std();
        let ticket = self.context.state.table.record_dispatch(choice, now());
        let detail = format!("attempt {} sent to {}", call.attempt, choice.endpoint);
        self.context.timeline.record_endpoint_event(
            EventKind::RequestDispatched,
            &choice.endpoint,
            detail,
        );
        let client = if self.context.template.repeatable {
            &self.context.state.clients.idempotent
        } else {
            &self.context.state.clients.at_most_once
        };
        let answer = match service_call::send_call(client, call).await {
            Ok(answer) => answer,
            Err(error) => {
                let kind = ErrorKind::EndpointFailed;
                self.context.state.table.record_failure(ticket, kind, now());
                return Err(error);
            }
        };
        let status = answer.endpoint_status.to_keeper_message(&choice.endpoint);
        self.context
            .state
            .table
            .record_service_response(ticket, &status, now());
        self.context.state.link.send_endpoint_status(status);
        Ok(ServiceReply {
            answer,
            endpoint: Some(choice.endpoint.clone()),
            reason: choice.reason.to_string().into(),
        })
    }

    /// Chooses an endpoint by load, without regard to cached prefixes.
    pub fn choose_endpoint(&self, exclude: &[EndpointId]) -> Result<PlacementChoice> {
        self.context.choose_endpoint(&[], 0, exclude)
    }

    /// Call to the chosen endpoint, under the id of one attempt.
    pub fn service_call(&self, choice: &PlacementChoice, attempt: Box<str>) -> ServiceCall {
        ServiceCall {
            address: choice.address,
            path: self.context.template.path.clone(),
            request: self.context.request.clone(),
            attempt,
            key: self.key.clone(),
            body: self.body.clone(),
        }
    }
}

/// Converts the error of a call to the error of the request.
pub fn request_error(error: &CallError) -> RequestError {
    let kind = match error {
        CallError::Broken(_) => ErrorKind::EndpointFailed,
        CallError::NotSent(_) => ErrorKind::NoEndpoint,
        CallError::Refused(_) | CallError::OtherWeights => ErrorKind::EndpointRefused,
    };
    RequestError::new(kind, error.to_string())
}

//! What every run of a request has, whatever it asks for.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::Instant;
use wagtaildoor::{
    admission::AdmissionPermit,
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    ids::{
        EndpointId,
        RequestId, //
    },
    placement::{
        PlacementChoice,
        PlacementQuery, //
    },
    prefix::LevelPrefix,
    schema::{
        Account,
        EventKind,
        Pool,
        PoolKind,
        Template, //
    },
};

use crate::{
    admit,
    request_timeline::RequestTimeline,
    state::EntryState, //
};

/// A request, and what was in force when it came.
#[derive(Clone)]
pub struct RunContext {
    /// State of the entry.
    pub state: Arc<EntryState>,
    /// Request.
    pub request: RequestId,
    /// Time line of the request.
    pub timeline: RequestTimeline,
    /// Account that asks.
    pub account: Account,
    /// Template in force when the request came.
    pub template: Template,
    /// Pool in force when the request came; its weights stay those of the request.
    pub pool: Pool,
    /// When the request came.
    pub received: Instant,
}

impl RunContext {
    /// When the whole answer is due.
    pub fn deadline(&self) -> Instant {
        self.received + Duration::from_millis(self.template.deadline_ms)
    }

    /// The error once the deadline has passed.
    pub fn deadline_error(&self) -> RequestError {
        let detail = format!("no whole answer within {} ms", self.template.deadline_ms);
        RequestError::new(ErrorKind::DeadlinePassed, detail)
    }

    /// Waits for a place in work.
    pub async fn admit(&self, cost_tokens: u64) -> Result<AdmissionPermit> {
        admit::admit(
            &self.state,
            &self.timeline,
            &self.account,
            &self.template,
            self.deadline(),
            cost_tokens,
        )
        .await
    }

    /// Chooses an endpoint.
    pub fn choose_endpoint(
        &self,
        levels: &[LevelPrefix],
        prompt_tokens: u64,
        exclude: &[EndpointId],
    ) -> Result<PlacementChoice> {
        let query = PlacementQuery {
            pool: &self.pool.id,
            domain: &self.state.settings.host.domain,
            weights_version: match self.pool.kind {
                PoolKind::Model => self.pool.weights_version,
                PoolKind::Service => 0,
            },
            levels,
            prompt_tokens,
            deadline: self.deadline().into_std(),
            exclude,
        };
        let choice = self
            .state
            .table
            .place(&query, Instant::now().into_std())
            .map_err(|kind| self.placement_error(kind))?;
        let detail = format!("sent to {}: {}", choice.endpoint, choice.reason);
        let kind = EventKind::RequestPlaced;
        self.timeline
            .record_endpoint_event(kind, &choice.endpoint, detail);
        Ok(choice)
    }

    /// The error when no endpoint can be chosen.
    fn placement_error(&self, kind: ErrorKind) -> RequestError {
        let pool = &self.pool.id;
        let due_ms = self.template.deadline_ms;
        let detail = match kind {
            ErrorKind::NoEndpoint => format!("no endpoint of pool {pool} is in reach"),
            ErrorKind::DeadlineUnreachable => {
                format!("pool {pool} could not answer within {due_ms} ms")
            }
            _ => format!("pool {pool} has no room"),
        };
        RequestError::new(kind, detail)
    }
}

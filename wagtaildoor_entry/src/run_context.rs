//! Context shared by model runs and service runs.

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

/// A request with the configuration in force when it was received.
#[derive(Clone)]
pub struct RunContext {
    /// Shared state of the entry.
    pub state: Arc<EntryState>,
    /// Id that the entry assigned when the request was received.
    pub request: RequestId,
    /// Recorder for timeline events of the request.
    pub timeline: RequestTimeline,
    /// Account of the caller.
    pub account: Account,
    /// Template in force when the request was received.
    pub template: Template,
    /// Pool in force when the request was received. All attempts use its version of the weights.
    pub pool: Pool,
    /// When the request was received. The deadline counts from here.
    pub received: Instant,
}

impl RunContext {
    /// Returns the time at which the complete answer is due.
    pub fn deadline(&self) -> Instant {
        self.received + Duration::from_millis(self.template.deadline_ms)
    }

    /// Builds the error for a request that missed its deadline.
    pub fn deadline_error(&self) -> RequestError {
        let detail = format!("no whole answer within {} ms", self.template.deadline_ms);
        RequestError::new(ErrorKind::DeadlinePassed, detail)
    }

    /// Waits for admission. See [`admit::admit`].
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

    /// Chooses an endpoint and records the choice in the timeline.
    ///
    /// Fails if all endpoints are excluded, unreachable or full, or cannot meet the deadline.
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

    /// Converts the error kind of the routing table to an error with a detail text.
    fn placement_error(&self, kind: ErrorKind) -> RequestError {
        let pool = &self.pool.id;
        let deadline_ms = self.template.deadline_ms;
        let detail = match kind {
            ErrorKind::NoEndpoint => format!("no endpoint of pool {pool} is in reach"),
            ErrorKind::DeadlineUnreachable => {
                format!("pool {pool} could not answer within {deadline_ms} ms")
            }
            _ => format!("pool {pool} has no room"),
        };
        RequestError::new(kind, detail)
    }
}

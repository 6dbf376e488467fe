//! Lifetime of a request, for metrics, timeline and shutdown.

use std::sync::Arc;

use tokio::time::Instant;
use uuid::Uuid;
use wagtaildoor::{
    drain_gate::WorkGuard,
    ids::RequestId,
    schema::{
        Account,
        EventKind, //
    },
};

use crate::{
    access::AccessGrant,
    request_timeline::RequestTimeline,
    run_context::RunContext,
    state::EntryState, //
};

/// A request in flight. Dropping the scope records the end of the request in the metrics.
pub struct RequestScope {
    /// Shared state of the entry.
    pub state: Arc<EntryState>,
    /// Id that the entry assigned when the request was received.
    pub request: RequestId,
    /// When the head of the request had been read.
    pub received: Instant,
    /// Delays shutdown until the request has ended.
    _work_guard: WorkGuard,
}

impl RequestScope {
    /// Starts the scope of a request received now, with a new id.
    pub fn start(state: &Arc<EntryState>) -> Self {
        state.metrics.record_request();
        Self {
            state: Arc::clone(state),
            request: new_request_id(),
            received: Instant::now(),
            _work_guard: state.gate.start_work(),
        }
    }

    /// Records the account, the template and its limits in the timeline.
    pub fn record_received(&self, grant: AccessGrant<'_>) {
        let template = grant.template;
        let shared = match template.levels.as_slice() {
            [] => "no shared prompt".to_string(),
            levels => {
                let names: Vec<&str> = levels.iter().map(|level| &*level.name).collect();
                format!("a shared prompt of {}", names.join(", "))
            }
        };
        let kind = if template.repeatable {
            "idempotent"
        } else {
            "to be run at most once"
        };
        let detail = format!(
            "account {} requested template {}: {kind}, urgency {}, deadline {} ms, {shared}",
            grant.account.id, template.id, template.urgency, template.deadline_ms
        );
        self.timeline(grant.account)
            .record_event(EventKind::RequestReceived, detail);
    }

    /// Builds the context for running the request.
    pub fn run_context(&self, grant: AccessGrant<'_>) -> RunContext {
        RunContext {
            account: grant.account.clone(),
            timeline: self.timeline(grant.account),
            pool: grant.pool.clone(),
            received: self.received,
            request: self.request.clone(),
            state: Arc::clone(&self.state),
            template: grant.template.clone(),
        }
    }

    /// Starts recording the steps of this request under an account.
    pub fn timeline(&self, account: &Account) -> RequestTimeline {
        RequestTimeline::new(&self.state.recorder, &self.request, &account.id)
    }
}

impl Drop for RequestScope {
    fn drop(&mut self) {
        self.state.metrics.record_end(self.received.elapsed());
    }
}

/// Returns a new request id, unique across hosts.
pub fn new_request_id() -> RequestId {
    Uuid::now_v7().to_string().into()
}

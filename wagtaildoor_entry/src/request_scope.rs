//! The life of one request at an entry, from its first byte to its end.

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

/// A request in work; its end is counted when this is dropped.
pub struct RequestScope {
    /// State of the entry.
    pub state: Arc<EntryState>,
    /// Request.
    pub request: RequestId,
    /// When it came.
    pub received: Instant,
    /// Holds a shutdown off.
    _work_guard: WorkGuard,
}

impl RequestScope {
    /// A request that came now.
    pub fn start(state: &Arc<EntryState>) -> Self {
        state.metrics.record_request();
        Self {
            state: Arc::clone(state),
            request: new_request_id(),
            received: Instant::now(),
            _work_guard: state.gate.start_work(),
        }
    }

    /// Notes who asks for what.
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
            "{} asked for {}, {kind}, {}, due within {} ms, with {shared}",
            grant.account.id, template.id, template.urgency, template.deadline_ms
        );
        self.timeline(grant.account)
            .record_event(EventKind::RequestReceived, detail);
    }

    /// What a run of this request is given.
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

    /// The time line of this request.
    pub fn timeline(&self, account: &Account) -> RequestTimeline {
        RequestTimeline::new(&self.state.recorder, &self.request, &account.id)
    }
}

impl Drop for RequestScope {
    fn drop(&mut self) {
        self.state.metrics.record_end(self.received.elapsed());
    }
}

/// A request id that no other host gives.
pub fn new_request_id() -> RequestId {
    Uuid::now_v7().to_string().into()
}

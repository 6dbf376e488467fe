//! Handles the calls that entries send to their keeper.

use std::{
    sync::Arc,
    time::Duration, //
};

use wagtaildoor::{
    schema::{
        ClaimCall,
        ClaimVerdict,
        ClockStamp,
        EndpointNews,
        RecordCall, //
    },
    view_publisher::EntryCallHandler,
};

use crate::state::KeeperState;

/// Handles the calls of one entry connection.
#[derive(Clone)]
pub struct KeeperCallHandler {
    state: Arc<KeeperState>,
}

impl KeeperCallHandler {
    /// Creates a handler that answers from this keeper's state.
    pub fn new(state: Arc<KeeperState>) -> Self {
        Self { state }
    }
}

impl EntryCallHandler for KeeperCallHandler {
    async fn claim(&self, call: ClaimCall) -> ClaimVerdict {
        let _work = self.state.drain_gate.start_work();
        let timeout = Duration::from_millis(call.wait_ms);
        let verdict = self.state.claims.claim(call.start, timeout).await;
        self.state.metrics.record_claim(&verdict);
        verdict
    }

    async fn record(&self, call: RecordCall) -> bool {
        let _work = self.state.drain_gate.start_work();
        let timeout = Duration::from_millis(call.wait_ms);
        self.state.claims.record(call.record, timeout).await
    }

    async fn apply_endpoint_status(&self, status: EndpointNews) {
        self.state.endpoint_watch.apply_endpoint_status(&status);
    }

    fn observe(&self, seen: ClockStamp) -> ClockStamp {
        self.state.recorder.clock().observe(seen)
    }
}

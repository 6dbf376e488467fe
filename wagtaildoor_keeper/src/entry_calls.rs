//! Answers the calls of entries.

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

/// Answers the calls of one entry.
#[derive(Clone)]
pub struct CallDesk {
    /// State of the keeper.
    state: Arc<KeeperState>,
}

impl CallDesk {
    /// Answers with the state of this keeper.
    pub fn new(state: Arc<KeeperState>) -> Self {
        Self { state }
    }
}

impl EntryCallHandler for CallDesk {
    async fn claim(&self, call: ClaimCall) -> ClaimVerdict {
        let _work = self.state.gate.start_work();
        let wait = Duration::from_millis(call.wait_ms);
        let verdict = self.state.claims.claim(call.start, wait).await;
        self.state.metrics.claimed(&verdict);
        verdict
    }

    async fn record(&self, call: RecordCall) -> bool {
        let _work = self.state.gate.start_work();
        let wait = Duration::from_millis(call.wait_ms);
        self.state.claims.record(call.record, wait).await
    }

    async fn apply_endpoint_news(&self, news: EndpointNews) {
        self.state.watch.apply_endpoint_news(&news);
    }

    fn observe(&self, seen: ClockStamp) -> ClockStamp {
        self.state.recorder.clock().observe(seen)
    }
}

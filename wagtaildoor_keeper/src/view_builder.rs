//! Builds the view that entries receive, and publishes it on each change.

use std::sync::Arc;

use tokio::time::{
    self,
    Duration, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::schema::{
    EventKind,
    KeeperView, //
};

use crate::state::KeeperState;

/// Longest delay of the first view while a starting keeper has no endpoints.
const ENDPOINTS_TIMEOUT: Duration = Duration::from_secs(3);

/// Publishes a new view on each change, until cancelled.
///
/// Nothing is published before the first configuration has been read: entries with a view without
/// accounts would refuse every caller. A view without endpoints would fail every request too, so
/// the first view waits up to `ENDPOINTS_TIMEOUT` for them.
pub async fn publish_views(state: Arc<KeeperState>, token: CancellationToken) {
    let mut loaded = state.endpoints_loaded.subscribe();
    tokio::select! {
        () = token.cancelled() => return,
        _ = loaded.wait_for(|loaded| *loaded) => {}
        () = time::sleep(ENDPOINTS_TIMEOUT) => {}
    }
    let mut config = state.config.watch();
    let mut endpoints = state.endpoints.clone();
    let mut hosts = state.hosts.clone();
    let mut recorded_sequence = 0;
    loop {
        let sequence = config.borrow_and_update().head.sequence;
        endpoints.mark_unchanged();
        hosts.mark_unchanged();
        if sequence > recorded_sequence {
            recorded_sequence = sequence;
            let detail = format!("configuration {sequence} is in force");
            state.record_event(EventKind::ConfigInForce, detail);
        }
        if sequence > 0 {
            state.view_publisher.publish(build_view(&state));
        }
        let changed = tokio::select! {
            () = token.cancelled() => return,
            changed = config.changed() => changed,
            changed = endpoints.changed() => changed,
            changed = hosts.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Builds a view from the current state.
pub fn build_view(state: &KeeperState) -> KeeperView {
    let config = state.config.watch().borrow().clone();
    KeeperView {
        configuration: (*config.configuration).clone(),
        endpoints: state.endpoints.borrow().clone(),
        head: config.head,
        hosts: state.hosts.borrow().clone(),
        platform_age_ms: state.platform_age_ms(),
    }
}

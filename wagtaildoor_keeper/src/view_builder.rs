//! Puts together what entries see, and publishes each change of it.

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

/// Longest wait of a starting keeper for its endpoints.
const ENDPOINTS_WAIT: Duration = Duration::from_secs(3);

/// Publishes changes until cancelled.
///
/// Entries get nothing before the configuration was read once: a view without accounts would
/// refuse every caller. One without endpoints would too, so that those are waited for a while.
pub async fn run(state: Arc<KeeperState>, token: CancellationToken) {
    let mut listed = state.listed.subscribe();
    tokio::select! {
        () = token.cancelled() => return,
        _ = listed.wait_for(|listed| *listed) => {}
        () = time::sleep(ENDPOINTS_WAIT) => {}
    }
    let mut config = state.config.watch();
    let mut endpoints = state.endpoints.clone();
    let mut hosts = state.hosts.clone();
    let mut shown = 0;
    loop {
        let sequence = config.borrow_and_update().head.sequence;
        endpoints.mark_unchanged();
        hosts.mark_unchanged();
        if sequence > shown {
            shown = sequence;
            let detail = format!("configuration {sequence} is in force");
            state.note(EventKind::ConfigInForce, detail);
        }
        if sequence > 0 {
            state.board.publish(view(&state));
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

/// The whole view.
pub fn view(state: &KeeperState) -> KeeperView {
    let config = state.config.watch().borrow().clone();
    KeeperView {
        configuration: (*config.configuration).clone(),
        endpoints: state.endpoints.borrow().clone(),
        head: config.head,
        hosts: state.hosts.borrow().clone(),
        platform_age_ms: state.platform_age_ms(),
    }
}

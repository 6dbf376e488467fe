//! Accepts connections from the entries. Each one is served by its own task.

use std::sync::Arc;

use slog::{
    debug,
    warn, //
};
use tokio::{
    net::TcpListener,
    time::{
        self,
        Duration, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    entry_calls::KeeperCallHandler,
    state::KeeperState, //
};

/// Delay before the next attempt after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts and serves connections until cancelled.
pub async fn accept_entries(
    state: Arc<KeeperState>,
    listener: TcpListener,
    token: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(state.log, "failed to accept an entry connection"; "error" => %error);
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = KeeperCallHandler::new(Arc::clone(&state));
        let view_publisher = state.view_publisher.clone();
        let log = state.log.clone();
        tokio::spawn(async move {
            // View updates are small and must not wait for Nagle's algorithm.
            let _ = stream.set_nodelay(true);
            if let Err(error) = view_publisher.serve(stream, handler).await {
                debug!(log, "entry connection closed"; "peer" => %peer, "error" => %error);
            }
        });
    }
}

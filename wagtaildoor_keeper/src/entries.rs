//! Connections of entries: one task each.

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
    entry_calls::CallDesk,
    state::KeeperState, //
};

/// Wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves entries until cancelled.
pub async fn run(state: Arc<KeeperState>, listener: TcpListener, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(state.log, "entry not accepted"; "error" => %error);
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let calls = CallDesk::new(Arc::clone(&state));
        let board = state.board.clone();
        let log = state.log.clone();
        tokio::spawn(async move {
            // Views are small and urgent.
            let _ = stream.set_nodelay(true);
            if let Err(error) = board.serve(stream, calls).await {
                debug!(log, "entry left"; "peer" => %peer, "error" => %error);
            }
        });
    }
}

//! Synchronizes the hybrid clock of an entry with that of its keeper.

use std::time::Duration;

use tokio::time::{
    self,
    MissedTickBehavior, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    keeper_link::KeeperLink,
    timeline::EventRecorder, //
};

/// Interval between two exchanges.
///
/// Events closer together than this may be ordered by wall time alone.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Sends the entry's stamps to its keeper and merges the returned ones until cancelled.
pub async fn run(link: KeeperLink, recorder: EventRecorder, token: CancellationToken) {
    let mut stamps = link.subscribe_stamps();
    let mut ticks = time::interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = ticks.tick() => link.send_ping(recorder.clock().now()),
            changed = stamps.changed() => {
                if changed.is_err() {
                    return;
                }
                let seen = stamps.borrow_and_update().clone();
                if let Some(seen) = seen {
                    recorder.clock().observe(seen);
                }
            }
        }
    }
}

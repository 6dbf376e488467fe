//! Keeps the clock of an entry in step with that of its keeper, so that causes sort first.

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

/// Time between two exchanges. Events closer to each other than this may sort by wall time alone.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(250);

/// Sends the entry's stamps to its keeper and takes over those that come back.
pub async fn run(link: KeeperLink, recorder: EventRecorder, token: CancellationToken) {
    let mut stamps = link.subscribe_stamps();
    let mut ticks = time::interval(EXCHANGE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = ticks.tick() => link.ping(recorder.clock().now()),
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

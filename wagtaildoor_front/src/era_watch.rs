//! Records in the store that its present era is settled, so that hosts that start know it.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::time;

use crate::{
    control_store::ControlStore,
    front::Front,
    prefix_hash,
    stream_position::StoreEra, //
};

/// Time after which an era is settled: what the operator and the endpoints have written is written
/// again, and the leases of the era before have ended.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Time over which hosts spread the write, for each host of the group. The first write reaches the others
/// within that time.
const SPREAD_PER_HOST: Duration = Duration::from_millis(25);
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Reads whether the present era is settled. Without an answer, it counts as not settled. The era of a
/// store that was never restored always is.
pub async fn read_settled<S: ControlStore>(front: &Front, store: &S) -> bool {
    match store.read_settled_era().await {
        Ok((era, settled)) => {
            front.enter_era(era);
            let is_settled = era == 0 || settled == Some(era);
            if is_settled {
                front.settled_era.set(Some(era));
            }
            is_settled
        }
        Err(error) => {
            slog::info!(front.log, "failed to read the settled era"; "error" => %error);
            false
        }
    }
}

/// Records each era once it is settled, until the process ends.
pub async fn record_settled_eras<S: ControlStore>(front: Rc<Front>, store: S) {
    loop {
        let Some(era) = next_unsettled(&front).await else {
            continue;
        };
        if read_settled(&front, &store).await || front.store_era() != era {
            continue;
        }
        match store.write_settled_era(era).await {
            Ok(()) => {
                front.settled_era.set(Some(era));
                slog::info!(front.log, "store era settled"; "era" => era);
            }
            Err(error) => {
                slog::info!(front.log, "failed to write the settled era"; "error" => %error);
            }
        }
    }
}

/// Waits for an era to last long enough. Returns `None` if the store was restored meanwhile.
async fn next_unsettled(front: &Front) -> Option<StoreEra> {
    while front.is_era_settled() {
        time::sleep(CHECK_INTERVAL).await;
    }
    let era = front.store_era();
    let spread = SPREAD_PER_HOST * front.host_count() as u32;
    time::sleep(SETTLE_TIME + prefix_hash::spread_host(&front.settings.host, spread)).await;
    (front.store_era() == era).then_some(era)
}

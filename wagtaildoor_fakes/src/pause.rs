//! Waits of the stand-ins.

use std::time::Duration;

use tokio::time;

/// Waits for a time; no time at all takes none, where a timer would take a tick of the clock.
pub async fn pause(time: Duration) {
    if !time.is_zero() {
        time::sleep(time).await;
    }
}

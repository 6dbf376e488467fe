//! Sleep helper of the fakes.

use std::time::Duration;

use tokio::time;

/// Sleeps for a duration. Returns at once for zero, where a timer would take a tick of the clock.
pub async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        time::sleep(duration).await;
    }
}

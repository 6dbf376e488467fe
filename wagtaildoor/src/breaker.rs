//! Circuit breaker: stops requests to a failing endpoint and lets traffic return gradually.

use std::time::{
    Duration,
    Instant, //
};

/// Consecutive failures after which the breaker opens.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Time for which the breaker first stays open; it doubles with each further failure.
const MIN_OPEN_TIME: Duration = Duration::from_millis(500);
/// Upper bound of the open time.
const MAX_OPEN_TIME: Duration = Duration::from_secs(20);
/// Request limit at which the next success closes the breaker.
const FULL_RECOVERY_LIMIT: u32 = 32;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BreakerState {
    /// Requests are not limited; holds the number of consecutive failures.
    Closed(u32),
    /// No requests until this time; after it, one trial request.
    Open(Instant),
    /// At most this many concurrent requests; the limit doubles with each success.
    HalfOpen(u32),
}

/// Circuit breaker of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointBreaker {
    state: BreakerState,
    /// Open time of the next trip.
    open_time: Duration,
}

impl Default for EndpointBreaker {
    fn default() -> Self {
        Self {
            state: BreakerState::Closed(0),
            open_time: MIN_OPEN_TIME,
        }
    }
}

impl EndpointBreaker {
    /// Returns the maximum number of concurrent requests; `None` means unlimited.
    pub fn request_limit(&self, now: Instant) -> Option<u32> {
        match self.state {
            BreakerState::Closed(_) => None,
            BreakerState::Open(until) if now < until => Some(0),
            BreakerState::Open(_) => Some(1),
            BreakerState::HalfOpen(limit) => Some(limit),
        }
    }

    /// Records a successful response.
    pub fn record_success(&mut self) {
        self.state = match self.state {
            BreakerState::Closed(_) => BreakerState::Closed(0),
            BreakerState::Open(_) => BreakerState::HalfOpen(2),
            BreakerState::HalfOpen(limit) if limit >= FULL_RECOVERY_LIMIT => {
                self.open_time = MIN_OPEN_TIME;
                BreakerState::Closed(0)
            }
            BreakerState::HalfOpen(limit) => BreakerState::HalfOpen(limit * 2),
        };
    }

    /// Records a failed attempt. Failures while the breaker is open do not extend the open time.
    pub fn record_failure(&mut self, now: Instant) {
        self.state = match self.state {
            BreakerState::Closed(failures) if failures + 1 < MAX_CONSECUTIVE_FAILURES => {
                BreakerState::Closed(failures + 1)
            }
            BreakerState::Open(until) if now < until => BreakerState::Open(until),
            _ => self.trip(now),
        };
    }

    /// Opens the breaker and doubles the next open time up to `MAX_OPEN_TIME`.
    fn trip(&mut self, now: Instant) -> BreakerState {
        let until = now + self.open_time;
        self.open_time = (self.open_time * 2).min(MAX_OPEN_TIME);
        BreakerState::Open(until)
    }
}

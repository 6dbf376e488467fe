//! Keeps work from an endpoint that fails, and lets it return slowly.

use std::time::{
    Duration,
    Instant, //
};

/// Failures in a row after which an endpoint gets no work.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// First time without work.
const MIN_OPEN_TIME: Duration = Duration::from_millis(500);
/// Longest time without work.
const MAX_OPEN_TIME: Duration = Duration::from_secs(20);
/// Requests at a time with which a return is complete.
const FULL_RECOVERY_LIMIT: u32 = 32;

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BreakerState {
    /// It gets work; so many attempts have failed in a row.
    Closed(u32),
    /// It gets none until then.
    Open(Instant),
    /// It gets at most so many requests at a time.
    HalfOpen(u32),
}

/// Breaker of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointBreaker {
    /// Whether it gets work.
    state: BreakerState,
    /// Next time without work.
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
    /// Requests that the endpoint may have at a time; `None` sets no limit.
    pub fn request_limit(&self, now: Instant) -> Option<u32> {
        match self.state {
            BreakerState::Closed(_) => None,
            BreakerState::Open(until) if now < until => Some(0),
            BreakerState::Open(_) => Some(1),
            BreakerState::HalfOpen(limit) => Some(limit),
        }
    }

    /// Counts an answer.
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

    /// Counts a failure.
    pub fn record_failure(&mut self, now: Instant) {
        self.state = match self.state {
            BreakerState::Closed(failures) if failures + 1 < MAX_CONSECUTIVE_FAILURES => {
                BreakerState::Closed(failures + 1)
            }
            BreakerState::Open(until) if now < until => BreakerState::Open(until),
            _ => self.trip(now),
        };
    }

    /// Starts a time without work, each longer than the one before.
    fn trip(&mut self, now: Instant) -> BreakerState {
        let until = now + self.open_time;
        self.open_time = (self.open_time * 2).min(MAX_OPEN_TIME);
        BreakerState::Open(until)
    }
}

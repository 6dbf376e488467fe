//! Keeps work from an endpoint that fails, and lets it return slowly.

use std::time::{
    Duration,
    Instant, //
};

/// Failures in a row after which an endpoint gets no work.
const FAILURES_LIMIT: u32 = 2;
/// First time without work.
const PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest time without work.
const PAUSE_MAX: Duration = Duration::from_secs(20);
/// Requests at a time with which a return is complete.
const RETURN_COMPLETE: u32 = 32;

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BreakerState {
    /// It gets work; so many attempts have failed in a row.
    Closed(u32),
    /// It gets none until then.
    Open(Instant),
    /// It gets at most so many requests at a time.
    Returning(u32),
}

/// Breaker of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointBreaker {
    /// Whether it gets work.
    state: BreakerState,
    /// Next time without work.
    pause: Duration,
}

impl Default for EndpointBreaker {
    fn default() -> Self {
        Self {
            state: BreakerState::Closed(0),
            pause: PAUSE_MIN,
        }
    }
}

impl EndpointBreaker {
    /// Requests that the endpoint may have at a time; `None` sets no limit.
    pub fn allowance(&self, now: Instant) -> Option<u32> {
        match self.state {
            BreakerState::Closed(_) => None,
            BreakerState::Open(until) if now < until => Some(0),
            BreakerState::Open(_) => Some(1),
            BreakerState::Returning(limit) => Some(limit),
        }
    }

    /// Counts an answer.
    pub fn succeeded(&mut self) {
        self.state = match self.state {
            BreakerState::Closed(_) => BreakerState::Closed(0),
            BreakerState::Open(_) => BreakerState::Returning(2),
            BreakerState::Returning(limit) if limit >= RETURN_COMPLETE => {
                self.pause = PAUSE_MIN;
                BreakerState::Closed(0)
            }
            BreakerState::Returning(limit) => BreakerState::Returning(limit * 2),
        };
    }

    /// Counts a failure.
    pub fn failed(&mut self, now: Instant) {
        self.state = match self.state {
            BreakerState::Closed(failures) if failures + 1 < FAILURES_LIMIT => {
                BreakerState::Closed(failures + 1)
            }
            BreakerState::Open(until) if now < until => BreakerState::Open(until),
            _ => self.open(now),
        };
    }

    /// Starts a time without work, each longer than the one before.
    fn open(&mut self, now: Instant) -> BreakerState {
        let until = now + self.pause;
        self.pause = (self.pause * 2).min(PAUSE_MAX);
        BreakerState::Open(until)
    }
}

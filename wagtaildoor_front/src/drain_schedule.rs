//! When a host that stops accepts requests, ends its answers, and exits.

use std::time::Duration;

/// Time between the exit and the end of the grace period, after which the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// Time between the last answers and the exit, in which they are written.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Part of the time until the last answers, as a divisor, in which requests with a later deadline are
/// accepted too, because the balancer may not have another host for them yet.
const LONG_REQUEST_DIVISOR: u32 = 3;

/// Times of a shutdown, counted from its beginning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSchedule {
    /// When requests without an answer get one that says so.
    pub answers_due: Duration,
    /// When the process ends at the latest.
    pub exit: Duration,
}

impl From<Duration> for DrainSchedule {
    /// Plans the shutdown within a grace period.
    fn from(grace: Duration) -> Self {
        let exit = grace.saturating_sub(KILL_MARGIN);
        Self {
            answers_due: exit.saturating_sub(ANSWER_MARGIN),
            exit,
        }
    }
}

impl DrainSchedule {
    /// Whether a request that arrives this long after the shutdown began is accepted: it is answered by
    /// its deadline while there is time for answers, or comes early.
    pub fn accepts(&self, stopping_for: Duration, time_left: Duration) -> bool {
        stopping_for < self.answers_due / LONG_REQUEST_DIVISOR
            || stopping_for + time_left <= self.answers_due
    }
}

//! Health of one endpoint, from what its connections show.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio_util::sync::CancellationToken;
use wagtaildoor::boot_clock::BootInstant;

/// Silence of an endpoint with work in hand after which it is checked; engines give a sign every
/// few tens of milliseconds.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time between two checks of an endpoint that does not answer.
const CHECK_PAUSE: Duration = Duration::from_millis(400);
/// Pause after the first failure to connect; it doubles with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(200);
/// Longest pause after a failure to connect.
const PAUSE_MAX: Duration = Duration::from_millis(1_600);
/// Weight of one outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Time in which the share of failures halves when nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Health of one endpoint.
#[derive(Debug)]
pub struct EndpointHealth {
    /// When it last gave a sign.
    last_heard: BootInstant,
    /// Requests without an answer by number: when they were sent.
    unanswered: BTreeMap<u64, BootInstant>,
    /// Numbers of answers that overtook requests still unanswered.
    overtakers: Vec<u64>,
    /// Requests whose answer is under way.
    running: u32,
    /// Number of the next request.
    next_number: u64,
    /// When it was last checked for silence.
    checked_at: Option<BootInstant>,
    /// It accepts no connections: when it is tried again.
    down_until: Option<BootInstant>,
    /// Next pause after a failure to connect.
    pause: Duration,
    /// Share of failures among the latest outcomes, from 0 to 1.
    failures: f64,
    /// When `failures` was last changed.
    failures_at: BootInstant,
    /// Ends what waits for the endpoint once it is found silent.
    silence_token: CancellationToken,
}

impl EndpointHealth {
    /// A healthy endpoint.
    pub fn new(now: BootInstant) -> Self {
        Self {
            last_heard: now,
            unanswered: BTreeMap::new(),
            overtakers: Vec::new(),
            running: 0,
            next_number: 0,
            checked_at: None,
            down_until: None,
            pause: PAUSE_MIN,
            failures: 0.0,
            failures_at: now,
            silence_token: CancellationToken::new(),
        }
    }

    /// Counts a request that is sent, and gives its number.
    pub fn record_sent(&mut self, now: BootInstant) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.unanswered.insert(number, now);
        number
    }

    /// Counts the beginning of an answer.
    pub fn record_response_start(&mut self, number: u64, now: BootInstant) {
        self.unanswered.remove(&number);
        self.running += 1;
        let oldest = self.unanswered.keys().next().copied();
        self.overtakers.push(number);
        self.overtakers
            .retain(|&later| oldest.is_some_and(|oldest| later > oldest));
        self.record_activity(now);
    }

    /// Notes a sign of life.
    pub fn record_activity(&mut self, now: BootInstant) {
        self.last_heard = now;
        self.down_until = None;
        self.pause = PAUSE_MIN;
    }

    /// Counts the end of an answer.
    pub fn record_response_end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Counts a request that ended without an answer.
    pub fn drop_request(&mut self, number: u64) {
        self.unanswered.remove(&number);
    }

    /// Answers to requests that were sent after one that has none.
    pub fn later_responses(&self, number: u64) -> u32 {
        self.overtakers.iter().filter(|&&n| n > number).count() as u32
    }

    /// Whether it owes a sign of life for so long that it has to be checked; notes the check.
    pub fn begin_due_check(&mut self, now: BootInstant) -> bool {
        if let Some(until) = self.down_until {
            return now >= until;
        }
        let oldest = self.unanswered.values().min().copied();
        let owed_since = match (oldest, self.running) {
            (None, 0) => return false,
            (Some(sent_at), 0) => sent_at.max(self.last_heard),
            _ => self.last_heard,
        };
        let due = now.since(owed_since) > SILENCE_TIMEOUT
            && self.checked_at.is_none_or(|at| now.since(at) > CHECK_PAUSE);
        if due {
            self.checked_at = Some(now);
        }
        due
    }

    /// Notes that it accepts connections.
    pub fn mark_reachable(&mut self) {
        self.down_until = None;
        self.pause = PAUSE_MIN;
    }

    /// Notes that it does not accept connections, and ends what waits for it.
    pub fn mark_unreachable(&mut self, now: BootInstant) {
        self.down_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(PAUSE_MAX);
        self.silence_token.cancel();
        self.silence_token = CancellationToken::new();
    }

    /// Whether it accepted no connection when it was last tried.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some()
    }

    /// Token that is cancelled when the endpoint is found silent.
    pub fn silence_token(&self) -> CancellationToken {
        self.silence_token.clone()
    }

    /// Counts a failed or a good outcome of a request.
    pub fn record_outcome(&mut self, failed: bool, now: BootInstant) {
        let sample = if failed { 1.0 } else { 0.0 };
        let share = self.failure_rate(now);
        self.failures = share + (sample - share) * OUTCOME_WEIGHT;
        self.failures_at = now;
    }

    /// Share of failures among the latest outcomes, from 0 to 1.
    pub fn failure_rate(&self, now: BootInstant) -> f64 {
        let age = now.since(self.failures_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(age)
    }
}

//! Health of one endpoint, derived from the traffic on its connections.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use tokio_util::sync::CancellationToken;
use wagtaildoor::boot_clock::BootInstant;

/// Silence after which an endpoint with requests in flight is checked. Engines send data every few
/// tens of milliseconds.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Backoff after the first failed connection attempt; it doubles with each further one.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(200);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(1_600);
/// Weight of one outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Half-life of the failure rate while no outcomes arrive.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);

/// Signs of life and failures of an endpoint, as seen on this host's connections.
#[derive(Debug)]
pub struct EndpointHealth {
    last_activity_at: BootInstant,
    /// Send times of the requests without a response, by request number.
    unanswered: BTreeMap<u64, BootInstant>,
    /// Numbers of responses that arrived while an earlier request was still unanswered.
    early_responses: Vec<u64>,
    /// Responses that have started and not ended.
    open_responses: u32,
    /// Number that the next request gets.
    next_number: u64,
    /// When the last silence check began.
    checked_at: Option<BootInstant>,
    /// Time of the next connection attempt; set while the endpoint refuses connections.
    retry_at: Option<BootInstant>,
    connect_backoff: Duration,
    /// Failure rate from 0 to 1 when the last outcome was recorded.
    failure_ewma: f64,
    failure_ewma_at: BootInstant,
    /// Cancelled when the endpoint is found unreachable, which aborts the requests waiting for it.
    silence_token: CancellationToken,
}

impl EndpointHealth {
    /// Creates the health of an endpoint without failures or requests.
    pub fn new(now: BootInstant) -> Self {
        Self {
            last_activity_at: now,
            unanswered: BTreeMap::new(),
            early_responses: Vec::new(),
            open_responses: 0,
            next_number: 0,
            checked_at: None,
            retry_at: None,
            connect_backoff: MIN_CONNECT_BACKOFF,
            failure_ewma: 0.0,
            failure_ewma_at: now,
            silence_token: CancellationToken::new(),
        }
    }

    /// Records a request that is being sent, and returns its number.
    pub fn record_sent(&mut self, now: BootInstant) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.unanswered.insert(number, now);
        number
    }

    /// Records that the response to a request has started.
    pub fn record_response_start(&mut self, number: u64, now: BootInstant) {
        self.unanswered.remove(&number);
        self.open_responses += 1;
        let oldest = self.unanswered.keys().next().copied();
        self.early_responses.push(number);
        self.early_responses
            .retain(|&later| oldest.is_some_and(|oldest| later > oldest));
        self.record_activity(now);
    }

    /// Records that data arrived, which also ends the connection backoff.
    pub fn record_activity(&mut self, now: BootInstant) {
        self.last_activity_at = now;
        self.retry_at = None;
        self.connect_backoff = MIN_CONNECT_BACKOFF;
    }

    /// Removes a response from those whose silence would be noticed.
    pub fn record_response_end(&mut self) {
        self.open_responses = self.open_responses.saturating_sub(1);
    }

    /// Removes a request that ended without a response.
    pub fn drop_request(&mut self, number: u64) {
        self.unanswered.remove(&number);
    }

    /// Number of responses to requests sent after this one, while this one is unanswered.
    pub fn later_responses(&self, number: u64) -> u32 {
        self.early_responses.iter().filter(|&&n| n > number).count() as u32
    }

    /// Whether a connection check is due, because the endpoint has been silent for longer than
    /// [`SILENCE_TIMEOUT`] or its backoff has expired. A due silence check counts as begun.
    pub fn begin_due_check(&mut self, now: BootInstant) -> bool {
        if let Some(until) = self.retry_at {
            return now >= until;
        }
        let oldest = self.unanswered.values().min().copied();
        let silent_since = match (oldest, self.open_responses) {
            (None, 0) => return false,
            (Some(sent_at), 0) => sent_at.max(self.last_activity_at),
            _ => self.last_activity_at,
        };
        let due = now.since(silent_since) > SILENCE_TIMEOUT
            && self
                .checked_at
                .is_none_or(|at| now.since(at) > CHECK_INTERVAL);
        if due {
            self.checked_at = Some(now);
        }
        due
    }

    /// Records that the endpoint accepted a connection.
    pub fn mark_reachable(&mut self) {
        self.retry_at = None;
        self.connect_backoff = MIN_CONNECT_BACKOFF;
    }

    /// Records that the endpoint accepts no connections, and aborts the requests waiting for it.
    pub fn mark_unreachable(&mut self, now: BootInstant) {
        self.retry_at = Some(now + self.connect_backoff);
        self.connect_backoff = (self.connect_backoff * 2).min(MAX_CONNECT_BACKOFF);
        self.silence_token.cancel();
        self.silence_token = CancellationToken::new();
    }

    /// Whether the last connection attempt failed.
    pub fn is_down(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Token that is cancelled when the endpoint is found unreachable.
    pub fn silence_token(&self) -> CancellationToken {
        self.silence_token.clone()
    }

    /// Adds the outcome of a request to the failure rate.
    pub fn record_outcome(&mut self, is_failure: bool, now: BootInstant) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        let rate = self.failure_rate(now);
        self.failure_ewma = rate + (sample - rate) * OUTCOME_WEIGHT;
        self.failure_ewma_at = now;
    }

    /// Moving average of the failure rate from 0 to 1, decayed by the time since the last outcome.
    pub fn failure_rate(&self, now: BootInstant) -> f64 {
        let age = now.since(self.failure_ewma_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_ewma * 0.5_f64.powf(age)
    }
}

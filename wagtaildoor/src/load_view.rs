//! An entry's estimate of an endpoint's load, from reports, responses and its own requests.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Maximum number of requests tracked since the last report.
const MAX_TRACKED_SENDS: usize = 256;
/// Weight of a sample below the current prefill rate.
const LOW_SAMPLE_WEIGHT: f64 = 0.002;
/// Minimum prefill size, in tokens, that is used to measure the rate.
const MIN_RATE_SAMPLE_TOKENS: u64 = 256;
/// Age from which a report no longer says anything about the queue.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// Uncached prompt tokens per request that are assumed before the first response.
const INITIAL_UNCACHED_TOKENS: f64 = 500.0;

/// Rates of a pool's engines, measured from responses.
#[derive(Clone, Copy, Debug)]
pub struct EngineRates {
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_s: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
        }
    }
}

impl EngineRates {
    /// Returns the time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64((tokens / self.prefill_tokens_per_s).max(0.0))
    }

    /// Updates the prefill rate from a request's uncached tokens and its time to first token.
    ///
    /// Most of that time may be an unseen queue wait, so the rate follows high samples fast and low
    /// ones slowly. Short prefills are ignored, as they measure the network more than the engine.
    pub fn record_first_token(&mut self, uncached_tokens: u64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds <= 0.0 || uncached_tokens < MIN_RATE_SAMPLE_TOKENS {
            return;
        }
        let sample = uncached_tokens as f64 / seconds;
        let weight = match sample > self.prefill_tokens_per_s {
            true => SAMPLE_WEIGHT,
            false => LOW_SAMPLE_WEIGHT,
        };
        self.prefill_tokens_per_s += (sample - self.prefill_tokens_per_s) * weight;
    }
}

/// A request of this entry that the endpoint's last report does not include.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    sent_at: Instant,
    /// Prompt tokens after the shared levels.
    unshared_tokens: u64,
}

/// Requests that run and wait at an endpoint, from its reports and from own sends since.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    /// Requests in the batch, from the last report.
    running: u32,
    /// Queue depth, from the last report.
    queued: u32,
    /// Time of the last report.
    reported_at: Instant,
    /// This entry's requests without a first token at the last report.
    waiting_at_report: u32,
    /// This entry's requests since the last report, oldest first.
    sent_since_report: VecDeque<SentRequest>,
    /// Running mean of the uncached prompt tokens per request of this entry.
    mean_uncached_tokens: f64,
    /// This entry's requests that have not ended.
    in_flight: u32,
    /// This entry's requests without a first token.
    waiting: u32,
    /// Expected uncached prompt tokens of this entry's requests without a first token.
    waiting_tokens: u64,
}

impl EndpointLoad {
    /// Creates the load of an idle endpoint without reports.
    pub fn new(now: Instant) -> Self {
        Self {
            running: 0,
            queued: 0,
            reported_at: now,
            waiting_at_report: 0,
            sent_since_report: VecDeque::new(),
            mean_uncached_tokens: INITIAL_UNCACHED_TOKENS,
            in_flight: 0,
            waiting: 0,
            waiting_tokens: 0,
        }
    }

    /// Applies a report that was valid at `as_of`; a report older than the last one is dropped.
    ///
    /// `running` is `None` if the report only has the queue depth.
    pub fn apply_report(&mut self, running: Option<u32>, queued: u32, as_of: Instant) {
        if as_of < self.reported_at {
            return;
        }
        self.running = running.unwrap_or(self.running);
        self.queued = queued;
        self.reported_at = as_of;
        while self
            .sent_since_report
            .front()
            .is_some_and(|sent| sent.sent_at <= as_of)
        {
            self.sent_since_report.pop_front();
        }
        self.waiting_at_report = self.waiting.saturating_sub(self.count_sent_since_report());
    }

    /// Records a request sent by this entry, with its expected uncached tokens and the tokens that
    /// no other request shares.
    pub fn record_dispatch(&mut self, uncached_tokens: u64, unshared_tokens: u64, now: Instant) {
        self.in_flight += 1;
        self.waiting += 1;
        if self.sent_since_report.len() >= MAX_TRACKED_SENDS {
            self.sent_since_report.pop_front();
        }
        self.sent_since_report.push_back(SentRequest {
            sent_at: now,
            unshared_tokens,
        });
        self.waiting_tokens += uncached_tokens;
    }

    /// Records the first token of a request sent by this entry.
    pub fn record_first_token(&mut self, uncached_tokens: u64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(uncached_tokens);
    }

    /// Records the end of a request sent by this entry, after its first token was recorded.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a rejection for lack of capacity, which means that the queue is longer than known.
    pub fn record_refusal(&mut self, now: Instant) {
        self.queued = self.queued.max(self.running).max(1) * 2;
        self.reported_at = now;
        self.waiting_at_report = self.waiting;
        self.sent_since_report.clear();
    }

    /// Returns the number of this entry's requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Updates the running mean with the uncached tokens of a finished request.
    pub fn record_uncached_tokens(&mut self, uncached_tokens: u64) {
        update_mean(&mut self.mean_uncached_tokens, uncached_tokens as f64);
    }

    /// Estimates how long a request sent now waits before its prefill starts.
    ///
    /// This entry's requests count by their tokens. Requests of other entries are the queue of the
    /// last report, plus an estimate of those sent since: the unshared tokens that this entry sent
    /// since, times the number of other entries (shared tokens are prefilled once), less the tokens
    /// that the endpoint has prefilled since.
    pub fn expected_wait(&self, rates: &EngineRates, other_hosts: u32, now: Instant) -> Duration {
        let own = self.waiting_tokens as f64;
        let age = now.saturating_duration_since(self.reported_at);
        if age >= REPORT_LIFETIME {
            return rates.prefill_time(own);
        }
        let queued = self.queued.saturating_sub(self.waiting_at_report);
        let other_tokens_at_report = f64::from(queued) * self.mean_uncached_tokens;
        let sent = self
            .sent_since_report
            .iter()
            .map(|sent| sent.unshared_tokens);
        let other_tokens_since_report = f64::from(other_hosts) * sent.sum::<u64>() as f64;
        let prefilled = age.as_secs_f64() * rates.prefill_tokens_per_s;
        let other_tokens =
            (other_tokens_at_report + other_tokens_since_report - prefilled).max(0.0);
        rates.prefill_time(own + other_tokens)
    }

    /// Counts this entry's requests since the last report, up to `MAX_TRACKED_SENDS`.
    fn count_sent_since_report(&self) -> u32 {
        u32::try_from(self.sent_since_report.len()).unwrap_or(u32::MAX)
    }
}

/// Moves a running mean towards a sample.
fn update_mean(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}

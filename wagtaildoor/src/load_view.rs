//! What one entry knows of an endpoint's load: reports, answers and its own dispatches.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Part that a new sample has in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Most sends remembered since a report.
const MAX_TRACKED_SENDS: usize = 256;
/// Part that a sample below the mean has in the prefill rate.
const LOW_SAMPLE_WEIGHT: f64 = 0.002;
/// Prompt tokens from which a prefill tells the rate.
const MIN_RATE_SAMPLE_TOKENS: u64 = 256;
/// Time after which a report tells nothing more of the queue.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// Prompt tokens that a request misses before anything is learnt.
const INITIAL_UNCACHED_TOKENS: f64 = 500.0;

/// Rates of a pool's engines, learnt from answers.
#[derive(Clone, Copy, Debug)]
pub struct EngineRates {
    /// Prompt tokens prefilled a second.
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
    /// Time to prefill tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64((tokens / self.prefill_tokens_per_s).max(0.0))
    }

    /// Takes what a request missed, and how long it took to its first token.
    ///
    /// Most of that time may be a wait that nobody saw, so that the rate follows high samples
    /// fast and low ones slowly. Short prefills tell more of the network than of the engine.
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

/// An own request that the endpoint's last word does not count.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    /// When it was sent.
    sent_at: Instant,
    /// Prompt tokens that no other request shares.
    unshared_tokens: u64,
}

/// Load of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    /// Requests in the batch, by the last word of the endpoint.
    running: u32,
    /// Requests waiting there, by the last word of the endpoint.
    queued: u32,
    /// When that word was true.
    reported_at: Instant,
    /// Own requests without a first token when that word was true.
    waiting_at_report: u32,
    /// Own requests sent since that word, the oldest first.
    sent_since_report: VecDeque<SentRequest>,
    /// Prompt tokens that own requests missed there of late, on average.
    mean_uncached_tokens: f64,
    /// Own requests without an end.
    in_flight: u32,
    /// Own requests without a first token.
    waiting: u32,
    /// Prompt tokens that own requests without a first token are expected to miss.
    waiting_tokens: u64,
}

impl EndpointLoad {
    /// An endpoint of which nothing is known.
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

    /// Takes the endpoint's word, true at a time; an older one than the last is dropped.
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

    /// Counts an own request that was sent at a time, with the prompt tokens that it is
    /// expected to miss, and those that no other request shares.
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

    /// Counts the first token of an own request.
    pub fn record_first_token(&mut self, uncached_tokens: u64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(uncached_tokens);
    }

    /// Counts the end of an own request that had its first token.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes a refusal for want of room: the queue is longer than was known.
    pub fn record_refusal(&mut self, now: Instant) {
        self.queued = self.queued.max(self.running).max(1) * 2;
        self.reported_at = now;
        self.waiting_at_report = self.waiting;
        self.sent_since_report.clear();
    }

    /// Own requests without an end.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Takes what an own request missed there.
    pub fn record_uncached_tokens(&mut self, uncached_tokens: u64) {
        update_mean(&mut self.mean_uncached_tokens, uncached_tokens as f64);
    }

    /// Expected time that a request sent now waits before its prefill starts.
    ///
    /// Own requests count by their tokens. Requests of other entries count by the endpoint's
    /// last word; those sent since by the unshared tokens that this entry sent since, times the
    /// number of other entries, as shared ones are prefilled once; less what the endpoint has
    /// prefilled since.
    pub fn expected_wait(&self, rates: &EngineRates, other_hosts: u32, now: Instant) -> Duration {
        let own = self.waiting_tokens as f64;
        let age = now.saturating_duration_since(self.reported_at);
        if age >= REPORT_LIFETIME {
            return rates.prefill_time(own);
        }
        let queued = self.queued.saturating_sub(self.waiting_at_report);
        let foreign_at_report = f64::from(queued) * self.mean_uncached_tokens;
        let sent = self
            .sent_since_report
            .iter()
            .map(|sent| sent.unshared_tokens);
        let foreign_since_report = f64::from(other_hosts) * sent.sum::<u64>() as f64;
        let prefilled = age.as_secs_f64() * rates.prefill_tokens_per_s;
        let foreign = (foreign_at_report + foreign_since_report - prefilled).max(0.0);
        rates.prefill_time(own + foreign)
    }

    /// Own requests sent since the last word.
    fn count_sent_since_report(&self) -> u32 {
        u32::try_from(self.sent_since_report.len()).unwrap_or(u32::MAX)
    }
}

/// Moves a running mean towards a sample.
fn update_mean(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}

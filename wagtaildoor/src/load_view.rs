//! What one entry knows of an endpoint's load: reports, answers and its own dispatches.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

/// Part that a new sample has in a running mean.
const SAMPLE_SHARE: f64 = 0.1;
/// Most sends remembered since a report.
const SENDS_LIMIT: usize = 256;
/// Time after which a report tells nothing more of the queue.
const REPORT_LIFE: Duration = Duration::from_secs(30);

/// Rates of a pool's engines, learnt from answers.
#[derive(Clone, Copy, Debug)]
pub struct EngineRates {
    /// Prompt tokens prefilled a second.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens that a request misses, on average.
    pub missed_tokens: f64,
    /// Time from dispatch to the end of an answer, on average, in seconds.
    pub service_s: f64,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 8_000.0,
            missed_tokens: 500.0,
            service_s: 1.0,
        }
    }
}

impl EngineRates {
    /// Time to prefill tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64((tokens / self.prefill_tokens_per_s).max(0.0))
    }

    /// Takes how long an idle engine took to its first token.
    pub fn take_first_token(&mut self, missed_tokens: u64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        if seconds > 0.0 && missed_tokens > 0 {
            mix(
                &mut self.prefill_tokens_per_s,
                missed_tokens as f64 / seconds,
            );
        }
    }

    /// Takes what a whole answer took.
    pub fn take_answer(&mut self, missed_tokens: u64, elapsed: Duration) {
        mix(&mut self.missed_tokens, missed_tokens as f64);
        mix(&mut self.service_s, elapsed.as_secs_f64());
    }

    /// Time between two requests leaving a queue, with so many running.
    fn queue_step(&self, running: u32) -> Duration {
        let prefill = self.prefill_time(self.missed_tokens);
        let service = Duration::from_secs_f64(self.service_s / f64::from(running.max(1)));
        prefill.max(service)
    }
}

/// Load of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    /// Requests in the batch, by the last word of the endpoint.
    running: u32,
    /// Requests waiting there, by the last word of the endpoint.
    queued: u32,
    /// When that word was true.
    told_at: Instant,
    /// Own requests without a first token when that word was true.
    waiting_then: u32,
    /// When own requests were sent since that word, the oldest first.
    sent_since: VecDeque<Instant>,
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
            told_at: now,
            waiting_then: 0,
            sent_since: VecDeque::new(),
            in_flight: 0,
            waiting: 0,
            waiting_tokens: 0,
        }
    }

    /// Takes the endpoint's word, true at a time; an older one than the last is dropped.
    pub fn take_word(&mut self, running: Option<u32>, queued: u32, true_at: Instant) {
        if true_at < self.told_at {
            return;
        }
        self.running = running.unwrap_or(self.running);
        self.queued = queued;
        self.told_at = true_at;
        while self.sent_since.front().is_some_and(|&sent| sent <= true_at) {
            self.sent_since.pop_front();
        }
        self.waiting_then = self.waiting.saturating_sub(self.sent_count());
    }

    /// Counts an own request that was sent at a time.
    pub fn add(&mut self, missed_tokens: u64, now: Instant) {
        self.in_flight += 1;
        self.waiting += 1;
        if self.sent_since.len() >= SENDS_LIMIT {
            self.sent_since.pop_front();
        }
        self.sent_since.push_back(now);
        self.waiting_tokens += missed_tokens;
    }

    /// Counts the first token of an own request.
    pub fn started(&mut self, missed_tokens: u64) {
        self.waiting = self.waiting.saturating_sub(1);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(missed_tokens);
    }

    /// Counts the end of an own request that had its first token.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes a refusal for want of room: the queue is longer than was known.
    pub fn refused(&mut self, now: Instant) {
        self.queued = self.queued.max(self.running).max(1) * 2;
        self.told_at = now;
        self.waiting_then = self.waiting;
        self.sent_since.clear();
    }

    /// Own requests without an end.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Expected time that a request sent now waits before its prefill starts.
    ///
    /// Own requests count by their tokens. Requests of other entries count by the endpoint's
    /// last word, less what has left the queue since, and by the own rate of sending times the
    /// number of other entries.
    pub fn expected_wait(&self, rates: &EngineRates, others: u32, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.told_at);
        let step = rates.queue_step(self.running).as_secs_f64().max(1e-6);
        let foreign_then = f64::from(self.queued.saturating_sub(self.waiting_then));
        let foreign_since = f64::from(others) * f64::from(self.sent_count());
        let left = age.as_secs_f64() / step;
        let foreign = match age < REPORT_LIFE {
            true => (foreign_then + foreign_since - left).max(0.0),
            false => 0.0,
        };
        let own = rates.prefill_time(self.waiting_tokens as f64);
        own + Duration::from_secs_f64(foreign * step)
    }

    /// Own requests sent since the last word.
    fn sent_count(&self) -> u32 {
        u32::try_from(self.sent_since.len()).unwrap_or(u32::MAX)
    }
}

/// Moves a running mean towards a sample.
fn mix(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_SHARE;
}

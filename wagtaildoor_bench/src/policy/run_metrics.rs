//! Metrics of one simulated run.

use hdrhistogram::Histogram;

use super::workload::SimMicros;

/// Upper bound of the latency histograms, in microseconds; larger values are counted at the bound.
const LATENCY_LIMIT: u64 = 600_000_000;

/// Cache and latency metrics of one run, without its warm-up.
#[derive(Clone, Debug)]
pub struct RunMetrics {
    /// Total prompt tokens of all prefills.
    pub prompt_tokens: u64,
    /// Prompt tokens that were found in the engine's cache.
    pub cached_tokens: u64,
    /// Prompt tokens that were recomputed although another running engine had them cached.
    pub wasted_tokens: u64,
    /// Requests that failed or were refused.
    pub refused: u64,
    /// Times to the first token, in microseconds.
    all: Histogram<u64>,
    /// Times to the first token by account, in microseconds.
    accounts: Vec<Histogram<u64>>,
}

impl RunMetrics {
    /// Creates empty metrics for the given number of accounts.
    pub fn new(accounts: usize) -> Self {
        Self {
            prompt_tokens: 0,
            cached_tokens: 0,
            wasted_tokens: 0,
            refused: 0,
            all: histogram(),
            accounts: (0..accounts).map(|_| histogram()).collect(),
        }
    }

    /// Records the time from a request's arrival to its first token.
    pub fn record(&mut self, account: usize, latency: SimMicros) {
        self.all.saturating_record(latency);
        self.accounts[account].saturating_record(latency);
    }

    /// Fraction of the prompt tokens that were found in the cache.
    pub fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Fraction of the prompt tokens that were recomputed although another engine had them cached.
    pub fn waste_rate(&self) -> f64 {
        self.wasted_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Quantile of the time to the first token, in milliseconds; `quantile` is from 0 to 1.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.all.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Number of requests that received a first token.
    pub fn answered(&self) -> u64 {
        self.all.len()
    }

    /// Ratio of the worst account's p95 time to the first token to the overall p95; 1 is fair.
    pub fn unfairness(&self) -> f64 {
        let all = self.all.value_at_quantile(0.95).max(1) as f64;
        let accounts = self.accounts.iter().filter(|times| !times.is_empty());
        let worst = accounts.map(|times| times.value_at_quantile(0.95)).max();
        worst.unwrap_or(0) as f64 / all
    }
}

/// Creates an empty histogram of latencies in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT, 3).expect("sound bounds")
}

//! Figures of one run.

use hdrhistogram::Histogram;

use super::workload::RunMicros;

/// Longest time to a first token that is told apart, in microseconds.
const LATENCY_LIMIT: u64 = 600_000_000;

/// Figures of one run.
#[derive(Clone, Debug)]
pub struct RunFigures {
    /// Tokens of the prompts that were prefilled.
    pub prompt_tokens: u64,
    /// Tokens of them that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens that were computed though another live engine held them.
    pub wasted_tokens: u64,
    /// Requests that got no first token.
    pub refused: u64,
    /// Times to the first token.
    all: Histogram<u64>,
    /// Times to the first token, by account.
    accounts: Vec<Histogram<u64>>,
}

impl RunFigures {
    /// Figures before the first request.
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

    /// Counts a first token.
    pub fn record(&mut self, account: usize, latency: RunMicros) {
        self.all.saturating_record(latency);
        self.accounts[account].saturating_record(latency);
    }

    /// Part of the prompt tokens that was found in the cache.
    pub fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Part of the prompt tokens that was computed though another live engine held them.
    pub fn waste_rate(&self) -> f64 {
        self.wasted_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// A quantile of the time to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.all.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Requests that got a first token.
    pub fn answered(&self) -> u64 {
        self.all.len()
    }

    /// The worst account's 95th percentile against that of all; 1 is fair.
    pub fn unfairness(&self) -> f64 {
        let all = self.all.value_at_quantile(0.95).max(1) as f64;
        let accounts = self.accounts.iter().filter(|times| !times.is_empty());
        let worst = accounts.map(|times| times.value_at_quantile(0.95)).max();
        worst.unwrap_or(0) as f64 / all
    }
}

/// An empty histogram of microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_LIMIT, 3).expect("sound bounds")
}

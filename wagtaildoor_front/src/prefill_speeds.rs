//! Learns how fast the engines of each service work off prompt tokens.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use wagtaildoor::ids::ServiceId;

/// Number of a service's last samples that count.
const KEPT_SAMPLES: usize = 48;
/// Number of samples from which on they replace the assumed speed.
const MIN_SAMPLES: usize = 6;
/// Work below which the time to the first part says little about the speed, in tokens.
const MIN_SAMPLE_TOKENS: f64 = 1_500.0;
/// Rank of the speed among the samples, from 0 to 1. Most samples are slowed down by prefixes that the
/// engine did not hold, or by waits for memory.
const SPEED_RANK: f64 = 0.75;
/// Number of new samples after which the speed is computed again.
const UPDATE_INTERVAL: usize = 8;

/// Samples of one service, and the speed that follows from them.
#[derive(Debug, Default)]
struct SpeedSamples {
    /// Speeds in tokens per millisecond, the newest last.
    recent: VecDeque<f64>,
    /// Samples since the speed was computed.
    added: usize,
    speed: Option<f64>,
}

/// Speeds by service, learned from the times to the first part of responses.
///
/// They include what slows all of an engine's work besides prefill.
#[derive(Debug)]
pub struct PrefillSpeeds {
    /// Assumed speed of a service with few samples, in tokens per millisecond.
    initial: f64,
    services: HashMap<ServiceId, SpeedSamples>,
}

impl PrefillSpeeds {
    /// Creates speeds without samples; `initial` is in tokens per millisecond.
    pub fn new(initial: f64) -> Self {
        Self {
            initial,
            services: HashMap::new(),
        }
    }

    /// Adds a response whose first part took `took`, with `tokens` to read until then: those queued
    /// at the engine when the request was sent, and the request's own.
    pub fn record(&mut self, service: &ServiceId, tokens: f64, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if tokens < MIN_SAMPLE_TOKENS || took_ms <= 0.0 {
            return;
        }
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), SpeedSamples::default());
        }
        let samples = self.services.entry(service.clone()).or_default();
        if samples.recent.len() == KEPT_SAMPLES {
            samples.recent.pop_front();
        }
        samples.recent.push_back(tokens / took_ms);
        samples.added += 1;
        if samples.added >= UPDATE_INTERVAL || samples.speed.is_none() {
            samples.added = 0;
            samples.speed = speed_of(&samples.recent);
        }
    }

    /// Speed of the engines of a service, in tokens per millisecond.
    pub fn tokens_per_ms(&self, service: &str) -> f64 {
        let samples = self.services.get(service);
        let learned = samples.and_then(|samples| samples.speed);
        learned.unwrap_or(self.initial)
    }
}

/// Speed by enough samples; `None` if there are few.
fn speed_of(recent: &VecDeque<f64>) -> Option<f64> {
    if recent.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted: Vec<f64> = recent.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    let index = ((sorted.len() - 1) as f64 * SPEED_RANK).round() as usize;
    Some(sorted[index])
}

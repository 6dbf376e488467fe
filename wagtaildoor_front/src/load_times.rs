//! Learns how long engines take to load weights, and how many may load at the same time.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};

use wagtaildoor::ids::ModelId;

/// Number of a model's last loads that the expected time is taken from.
const KEPT_SAMPLES: usize = 8;
/// Rank of the expected time among the kept samples, as a divisor of their number. Most reports of
/// a load's end come late, none comes early.
const EXPECTED_RANK_DIVISOR: usize = 4;
/// Longest load that is learned from. Later evidence belongs to a load that nobody watched.
const MAX_LOAD_TIME: Duration = Duration::from_secs(20);
/// Multiple of the expected time after which a load counts as failed.
const OVERDUE_FACTOR: f64 = 3.0;
/// Time for a load to count as failed, at least.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(1_500);

/// Load times by model, learned from loads whose start and end this host knows.
#[derive(Debug)]
pub struct LoadTimes {
    /// Assumed load time of a model of which no load was seen.
    initial: Duration,
    /// Last samples of each model, the newest last.
    samples: HashMap<ModelId, VecDeque<Duration>>,
}

impl LoadTimes {
    /// Creates load times without samples.
    pub fn new(initial: Duration) -> Self {
        Self {
            initial,
            samples: HashMap::new(),
        }
    }

    /// Adds a load that took this long.
    pub fn record(&mut self, model: &ModelId, took: Duration) {
        if took > MAX_LOAD_TIME {
            return;
        }
        let samples = self.samples.entry(model.clone()).or_default();
        if samples.len() == KEPT_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(took);
    }

    /// Time that an engine is expected to need for a load.
    pub fn expected(&self, model: &str) -> Duration {
        let Some(samples) = self.samples.get(model) else {
            return self.initial;
        };
        let mut sorted: Vec<Duration> = samples.iter().copied().collect();
        sorted.sort_unstable();
        sorted[sorted.len() / EXPECTED_RANK_DIVISOR]
    }

    /// Time after which a load without a sign of its end counts as failed.
    pub fn overdue_after(&self, model: &str) -> Duration {
        let expected = self.expected(model).mul_f64(OVERDUE_FACTOR);
        match self.samples.contains_key(model) {
            true => expected.max(MIN_OVERDUE_TIME),
            false => expected.max(2 * MIN_OVERDUE_TIME),
        }
    }
}

/// Engines that still have to load weights, and the time for it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadBacklog {
    /// Number of all engines that serve the model.
    pub engines: usize,
    /// For each engine that is behind: time left until no request may start on its weights.
    pub time_left: Vec<Duration>,
    /// Expected time of one load.
    pub load_time: Duration,
}

impl LoadBacklog {
    /// Number of engines that may load at the same time: a fixed share of the fleet, or up to half
    /// of it if the backlog would not be worked off in time otherwise. At least 1.
    pub fn concurrent_loads(mut self, share: f64) -> usize {
        let usual = (self.engines as f64 * share).floor().max(1.0);
        let most = (self.engines as f64 / 2.0).floor().max(usual);
        self.time_left.sort_unstable();
        let load_s = self.load_time.as_secs_f64().max(0.001);
        let needed = self.time_left.iter().enumerate().map(|(ahead, left)| {
            let rounds = (left.as_secs_f64() / load_s).floor();
            (ahead + 1) as f64 / rounds.max(1.0)
        });
        needed.fold(usual, f64::max).min(most).ceil() as usize
    }
}

//! Fake weight store with limited bandwidth.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use tokio::time::Instant;

/// A weight store whose bandwidth is shared by concurrent loads; clones share it.
#[derive(Clone, Debug)]
pub struct FakeWeights {
    /// Number of concurrent loads at full speed.
    full_speed: u32,
    loads: Arc<Mutex<LoadList>>,
}

/// Loads in progress and their peak number.
#[derive(Debug, Default)]
struct LoadList {
    /// Time at which each load ends.
    ends: Vec<Instant>,
    /// Maximum number of concurrent loads so far.
    peak: u32,
}

impl FakeWeights {
    /// Creates a store that serves `full_speed` concurrent loads at full speed (at least 1).
    pub fn new(full_speed: u32) -> Self {
        Self {
            full_speed: full_speed.max(1),
            loads: Arc::default(),
        }
    }

    /// Starts a load and returns its duration, from `alone`, the duration at full speed, and the
    /// number of concurrent loads.
    pub fn start_load(&self, alone: Duration) -> Duration {
        let now = Instant::now();
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        loads.ends.retain(|&end| end > now);
        let count = u32::try_from(loads.ends.len() + 1).unwrap_or(u32::MAX);
        let delay = match count <= self.full_speed {
            true => alone,
            false => alone * count / self.full_speed,
        };
        loads.ends.push(now + delay);
        loads.peak = loads.peak.max(count);
        delay
    }

    /// Returns the maximum number of concurrent loads so far.
    pub fn peak_loads(&self) -> u32 {
        self.loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .peak
    }
}

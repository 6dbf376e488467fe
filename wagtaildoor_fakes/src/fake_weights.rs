//! Stand-in for the rate-limited weight store.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use tokio::time::Instant;

/// A weight store from which a few replicas load at full speed, and more load slowly.
#[derive(Clone, Debug)]
pub struct FakeWeights {
    /// Replicas that load at full speed.
    full_speed: u32,
    /// Loads that have been begun.
    loads: Arc<Mutex<LoadList>>,
}

/// Loads in work.
#[derive(Debug, Default)]
struct LoadList {
    /// When each load ends.
    ends: Vec<Instant>,
    /// Most loads there were at a time.
    most: u32,
}

impl FakeWeights {
    /// A store with the number of replicas that load at full speed.
    pub fn new(full_speed: u32) -> Self {
        Self {
            full_speed: full_speed.max(1),
            loads: Arc::default(),
        }
    }

    /// Begins a load and gives the time it takes, by how many load now.
    pub fn begin(&self, alone: Duration) -> Duration {
        let now = Instant::now();
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        loads.ends.retain(|&end| end > now);
        let count = u32::try_from(loads.ends.len() + 1).unwrap_or(u32::MAX);
        let delay = match count <= self.full_speed {
            true => alone,
            false => alone * count / self.full_speed,
        };
        loads.ends.push(now + delay);
        loads.most = loads.most.max(count);
        delay
    }

    /// Most loads there were at a time.
    pub fn most_at_once(&self) -> u32 {
        self.loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .most
    }
}

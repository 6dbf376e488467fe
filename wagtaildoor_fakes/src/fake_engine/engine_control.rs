//! Orders to an engine: load weights, load adapters, set its role.

use std::time::Duration;

use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor::{
    ids::{
        BootId,
        FencingToken,
        WeightsVersion, //
    },
    schema::{
        EngineOrder,
        EngineState,
        OrderKind, //
    },
};

use super::FakeEngine;

/// Result of an order.
pub type Result<T> = std::result::Result<T, OrderRefusal>;

/// The order carried an older fencing token than one seen before.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("fencing number is old; the highest seen is {seen}")]
pub struct OrderRefusal {
    /// Highest fencing token that the engine has seen.
    pub seen: FencingToken,
}

/// Engine state that orders change.
#[derive(Clone, Debug)]
pub(super) struct EngineControl {
    /// Highest fencing token seen.
    fencing: FencingToken,
    /// Version of the weights being served.
    pub(super) weights_version: WeightsVersion,
    /// Version of the weights being loaded; 0 if none.
    loading: WeightsVersion,
    /// Number of the current load; a load with a lower number is discarded when it ends.
    load_number: u64,
    adapters: Vec<Box<str>>,
    /// Role set by the last order; empty at startup.
    role: Box<str>,
}

impl EngineControl {
    /// Creates the state before the first order.
    pub(super) fn new(weights_version: WeightsVersion) -> Self {
        Self {
            fencing: 0,
            weights_version,
            loading: 0,
            load_number: 0,
            adapters: Vec::new(),
            role: "".into(),
        }
    }

    /// Discards the load in progress, as on a crash.
    pub(super) fn abort_load(&mut self) {
        self.loading = 0;
        self.load_number += 1;
    }

    /// Starts a load and returns its number, unless the version is already served or loading.
    /// Discards a load of another version.
    fn begin_load(&mut self, version: WeightsVersion) -> Option<u64> {
        if self.loading == version {
            return None;
        }
        self.load_number += 1;
        if self.weights_version == version {
            self.loading = 0;
            return None;
        }
        self.loading = version;
        Some(self.load_number)
    }
}

impl FakeEngine {
    /// Returns the state that orders change.
    pub fn state(&self) -> EngineState {
        let inner = self.lock();
        EngineState {
            adapters: inner.control.adapters.clone(),
            boot_id: inner.boot.boot_id.clone(),
            fencing: inner.control.fencing,
            loading: inner.control.loading,
            role: inner.control.role.clone(),
            weights_version: inner.control.weights_version,
        }
    }

    /// Applies an order. Weights are served only after their load time.
    pub fn order(&self, order: &EngineOrder) -> Result<EngineState> {
        let delay = |alone| self.shared.weights.start_load(alone);
        self.order_with_delay(order, delay)
    }

    /// Applies an order; `delay` maps the uncontended load time to the actual one.
    pub fn order_with_delay(
        &self,
        order: &EngineOrder,
        delay: impl FnOnce(Duration) -> Duration,
    ) -> Result<EngineState> {
        if let Some(number) = self.apply_order(order)? {
            let delay = delay(self.shared.profile.load_time);
            let limit = Duration::from_millis(order.limit_ms);
            let load = LoadTask {
                boot_id: self.boot_id(),
                number,
                version: order.weights_version,
                delay,
                limit,
            };
            tokio::spawn(self.clone().finish_load(load));
        }
        Ok(self.state())
    }

    /// Checks the fencing token and applies the order. Returns the number of a load to run.
    fn apply_order(&self, order: &EngineOrder) -> Result<Option<u64>> {
        let mut inner = self.lock();
        let seen = inner.control.fencing;
        if self.shared.profile.checks_fencing && order.fencing < seen {
            inner.counts.orders_refused += 1;
            return Err(OrderRefusal { seen });
        }
        inner.counts.orders += 1;
        let control = &mut inner.control;
        control.fencing = seen.max(order.fencing);
        match order.kind {
            OrderKind::LoadWeights => return Ok(control.begin_load(order.weights_version)),
            OrderKind::LoadAdapter if control.adapters.contains(&order.name) => {}
            OrderKind::LoadAdapter => control.adapters.push(order.name.clone()),
            OrderKind::SetRole => control.role = order.name.clone(),
        }
        Ok(None)
    }

    /// Serves the loaded weights after the load time, unless the load was replaced or timed out.
    async fn finish_load(self, load: LoadTask) {
        time::sleep(load.delay.min(load.limit)).await;
        let now = Instant::now();
        let mut inner = self.lock();
        let replaced = inner.control.load_number != load.number;
        if replaced || inner.boot.boot_id != load.boot_id {
            return;
        }
        inner.control.loading = 0;
        if load.delay > load.limit {
            return;
        }
        inner.control.weights_version = load.version;
        inner.boot.cache.clear();
        inner.boot.events.record_clear(now);
    }
}

/// A load in progress.
struct LoadTask {
    /// Boot that runs the load; a crash discards it.
    boot_id: BootId,
    number: u64,
    /// Version of the weights being loaded.
    version: WeightsVersion,
    /// Time that the load takes.
    delay: Duration,
    /// Time limit of the order.
    limit: Duration,
}

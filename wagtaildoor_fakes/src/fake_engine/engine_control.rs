//! Orders to an engine: weights, adapters, role.

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

/// The order came under a lease that a newer one has replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("fencing number is old; the highest seen is {seen}")]
pub struct OrderRefusal {
    /// Highest fencing number the engine has seen.
    pub seen: FencingToken,
}

/// What orders change.
#[derive(Clone, Debug)]
pub(super) struct EngineControl {
    /// Highest fencing number seen.
    fencing: FencingToken,
    /// Weights in service.
    pub(super) weights_version: WeightsVersion,
    /// Weights on their way in; 0 for none.
    loading: WeightsVersion,
    /// Number of the load in work; a newer order makes it count for nothing.
    load_number: u64,
    /// Adapters loaded.
    adapters: Vec<Box<str>>,
    /// Role it has.
    role: Box<str>,
}

impl EngineControl {
    /// State before the first order.
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

    /// Gives up the load in work, as a crash does.
    pub(super) fn abort_load(&mut self) {
        self.loading = 0;
        self.load_number += 1;
    }

    /// Begins to load weights, unless they serve or are on their way.
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
    /// What the engine is.
    pub fn state(&self) -> EngineState {
        let inner = self.lock();
        EngineState {
            adapters: inner.control.adapters.clone(),
            boot_id: inner.start.boot_id.clone(),
            fencing: inner.control.fencing,
            loading: inner.control.loading,
            role: inner.control.role.clone(),
            weights_version: inner.control.weights_version,
        }
    }

    /// Takes an order; weights come into service later.
    pub fn order(&self, order: &EngineOrder) -> Result<EngineState> {
        let delay = |alone| self.shared.weights.begin(alone);
        self.order_with_delay(order, delay)
    }

    /// Takes an order, with the time a load takes given from outside.
    pub fn order_with_delay(
        &self,
        order: &EngineOrder,
        delay: impl FnOnce(Duration) -> Duration,
    ) -> Result<EngineState> {
        if let Some(number) = self.accept(order)? {
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

    /// Checks the fencing number and does what takes no time; gives the number of a load to do.
    fn accept(&self, order: &EngineOrder) -> Result<Option<u64>> {
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

    /// Puts weights into service after their load, when the order still counts.
    async fn finish_load(self, load: LoadTask) {
        time::sleep(load.delay.min(load.limit)).await;
        let now = Instant::now();
        let mut inner = self.lock();
        let replaced = inner.control.load_number != load.number;
        if replaced || inner.start.boot_id != load.boot_id {
            return;
        }
        inner.control.loading = 0;
        if load.delay > load.limit {
            return;
        }
        inner.control.weights_version = load.version;
        inner.start.cache.clear();
        inner.start.events.record_clear(now);
    }
}

/// A load in work.
struct LoadTask {
    /// Start that loads.
    boot_id: BootId,
    /// Its number.
    number: u64,
    /// Weights that come.
    version: WeightsVersion,
    /// How long it takes.
    delay: Duration,
    /// How long the order counts.
    limit: Duration,
}

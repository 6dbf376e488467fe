//! Drives a rollout under a lease, with a load slot lease for each replica that loads weights.

use std::{
    future::Future,
    time::Duration, //
};

use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    ids::{
        EndpointId,
        LeaseId,
        WeightsVersion, //
    },
    lease_holder::{
        self,
        HeldLease,
        LeaseHolder, //
    },
    log_store::LogStore,
    rollout::{
        self,
        RolloutStep,
        RolloutView,
        ORDER_VALIDITY, //
    },
    schema::{
        EngineOrder,
        EngineState, //
    },
};

/// Duration of the driver's lease and of load slot leases, from each renewal.
const LEASE_DURATION: Duration = Duration::from_secs(20);
/// Interval between two steps, and between attempts to acquire the lease.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// Access of a rollout to the pool's engines and the configuration.
pub trait RolloutBackend: Send + Sync {
    /// Whether the pool's endpoints reject orders with outdated fencing tokens.
    fn checks_fencing(&self) -> bool;

    /// Reads the state of the rollout from the replicas.
    fn view(&self) -> impl Future<Output = RolloutView> + Send;

    /// Sends an order and reads the engine's state; `None` if it was rejected or got no response.
    fn send_order(
        &self,
        endpoint: &EndpointId,
        order: EngineOrder,
    ) -> impl Future<Output = Option<EngineState>> + Send;

    /// Publishes the new weights in the configuration. Returns whether they are in force.
    fn publish_weights(&self, weights: WeightsVersion) -> impl Future<Output = bool> + Send;
}

/// Outcome of a rollout driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutOutcome {
    /// All replicas have the new weights.
    Done,
    /// The rollout was aborted for this reason.
    Stopped(Box<str>),
    /// The lease was lost; its next holder continues the rollout.
    LeaseLost,
    /// The driver was cancelled.
    Cancelled,
}

/// A replica that loads weights, with its load slot.
struct LoadingReplica {
    endpoint: EndpointId,
    slot: HeldLease,
}

/// Drives the rollout of one pool.
pub struct RolloutDriver<L, S> {
    holder: LeaseHolder<L>,
    backend: S,
    pool: Box<str>,
    loading: Vec<LoadingReplica>,
}

impl<L: LogStore, S: RolloutBackend> RolloutDriver<L, S> {
    /// Creates a driver for a pool, whose leases are acquired through `holder`.
    pub fn new(holder: LeaseHolder<L>, backend: S, pool: &str) -> Self {
        Self {
            holder,
            backend,
            pool: pool.into(),
            loading: Vec::new(),
        }
    }

    /// Drives the rollout until it ends or `token` is cancelled.
    pub async fn run(mut self, token: CancellationToken) -> RolloutOutcome {
        let drive = self.drive();
        let end = token.run_until_cancelled(drive).await;
        end.unwrap_or(RolloutOutcome::Cancelled)
    }

    /// Acquires the lease and runs steps while it is valid.
    async fn drive(&mut self) -> RolloutOutcome {
        let mut lease = self.acquire_lease().await;
        // Without fencing checks, orders of an earlier lease holder may still be carried out.
        let exclusive_from = lease.exclusive_from(ORDER_VALIDITY);
        loop {
            if !self.renew_leases(&mut lease).await {
                return RolloutOutcome::LeaseLost;
            }
            if self.backend.checks_fencing() || time::Instant::now() >= exclusive_from {
                if let Some(end) = self.run_step(&lease).await {
                    self.release_all(lease).await;
                    return end;
                }
            }
            time::sleep(STEP_INTERVAL).await;
        }
    }

    /// Retries until the lease is acquired.
    async fn acquire_lease(&mut self) -> HeldLease {
        let name = format!("rollout/{}", self.pool);
        loop {
            if let Ok(Some(lease)) = self.holder.acquire(&name, LEASE_DURATION).await {
                return lease;
            }
            time::sleep(STEP_INTERVAL).await;
        }
    }

    /// Renews the lease and the load slots if due. Returns whether the lease is still valid.
    async fn renew_leases(&mut self, lease: &mut HeldLease) -> bool {
        if lease.is_renewal_due() {
            // An unconfirmed renewal is retried while the lease is valid.
            let _ = self.holder.renew(lease).await;
        }
        for loading in &mut self.loading {
            if loading.slot.is_renewal_due() {
                let _ = self.holder.renew(&mut loading.slot).await;
            }
        }
        lease.is_valid()
    }

    /// Runs one step. Returns the outcome if the rollout has ended.
    async fn run_step(&mut self, lease: &HeldLease) -> Option<RolloutOutcome> {
        let view = self.backend.view().await;
        self.release_finished_slots(&view).await;
        match rollout::next_step(&view) {
            RolloutStep::Load(endpoint) => self.load_replica(&view, endpoint, lease).await,
            RolloutStep::Publish => {
                if lease.is_valid() {
                    self.backend.publish_weights(view.target).await;
                }
            }
            RolloutStep::Wait => {}
            RolloutStep::Done => return Some(RolloutOutcome::Done),
            RolloutStep::Stop(reason) => return Some(RolloutOutcome::Stopped(reason)),
        }
        None
    }

    /// Orders a replica to load the new weights, if a load slot is free.
    async fn load_replica(&mut self, view: &RolloutView, endpoint: EndpointId, lease: &HeldLease) {
        let Some(slot) = self.acquire_slot(view.load_slots).await else {
            return;
        };
        let order = rollout::load_order(lease.fencing, view.target);
        // Checked right before the order, since acquiring the slot may have taken long.
        if !lease.is_valid() || !slot.is_valid() {
            return;
        }
        let state = self.backend.send_order(&endpoint, order.clone()).await;
        if state.is_some_and(|state| rollout::shows_order(&state, &order)) {
            self.loading.push(LoadingReplica { endpoint, slot });
        } else if self.backend.checks_fencing() {
            let _ = self.holder.release(slot).await;
        }
        // Without fencing checks the order may still be carried out, so the slot is left to expire.
    }

    /// Acquires a free load slot; `None` if all are taken.
    async fn acquire_slot(&mut self, slots: usize) -> Option<HeldLease> {
        let names: Vec<LeaseId> =
            lease_holder::load_slot_leases(&self.pool, slots as u32).collect();
        for name in names {
            let slot = self.holder.acquire(&name, LEASE_DURATION).await;
            if let Ok(Some(slot)) = slot {
                return Some(slot);
            }
        }
        None
    }

    /// Releases the slots of replicas that have finished loading.
    async fn release_finished_slots(&mut self, view: &RolloutView) {
        let loads = |loading: &LoadingReplica| {
            let replica = view
                .replicas
                .iter()
                .find(|r| r.endpoint == loading.endpoint);
            replica.is_some_and(|r| r.loading != 0)
        };
        let (kept, freed) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(loads);
        self.loading = kept;
        self.release(freed).await;
    }

    /// Releases the load slots and the lease at the end of the rollout.
    async fn release_all(&mut self, lease: HeldLease) {
        let loading = std::mem::take(&mut self.loading);
        self.release(loading).await;
        let _ = self.holder.release(lease).await;
    }

    /// Releases load slots; a slot whose release fails expires by itself.
    async fn release(&mut self, freed: Vec<LoadingReplica>) {
        for loading in freed {
            let _ = self.holder.release(loading.slot).await;
        }
    }
}

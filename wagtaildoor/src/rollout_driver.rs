//! Drives a roll-out under a lease, with a load slot for each replica that loads.

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

/// How long the driver's lease and load slots hold from each record.
const LEASE_DURATION: Duration = Duration::from_secs(20);
/// Time between two looks.
const STEP_INTERVAL: Duration = Duration::from_secs(1);

/// What a roll-out sees and does.
pub trait RolloutBackend: Send + Sync {
    /// Whether the pool's endpoints refuse orders with old fencing numbers.
    fn checks_fencing(&self) -> bool;

    /// How the roll-out stands, read back from the replicas.
    fn view(&self) -> impl Future<Output = RolloutView> + Send;

    /// Gives an order and reads the engine's state back; `None` when it refused or did not answer.
    fn send_order(
        &self,
        endpoint: &EndpointId,
        order: EngineOrder,
    ) -> impl Future<Output = Option<EngineState>> + Send;

    /// Publishes the new weights; tells whether they are in force.
    fn publish_weights(&self, weights: WeightsVersion) -> impl Future<Output = bool> + Send;
}

/// How a driver ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutOutcome {
    /// All replicas have the new weights.
    Done,
    /// The roll-out must not go on, for this reason.
    Stopped(Box<str>),
    /// The lease was lost; whoever takes it goes on.
    LeaseLost,
    /// The driver was cancelled.
    Cancelled,
}

/// A replica that loads under a slot.
struct LoadingReplica {
    /// Endpoint.
    endpoint: EndpointId,
    /// Slot.
    slot: HeldLease,
}

/// Drives the roll-out of one pool.
pub struct RolloutDriver<L, S> {
    /// Asks for leases.
    holder: LeaseHolder<L>,
    /// What it sees and does.
    backend: S,
    /// Pool.
    pool: Box<str>,
    /// Replicas that load.
    loading: Vec<LoadingReplica>,
}

impl<L: LogStore, S: RolloutBackend> RolloutDriver<L, S> {
    /// A driver for a pool.
    pub fn new(holder: LeaseHolder<L>, backend: S, pool: &str) -> Self {
        Self {
            holder,
            backend,
            pool: pool.into(),
            loading: Vec::new(),
        }
    }

    /// Drives until the end.
    pub async fn run(mut self, token: CancellationToken) -> RolloutOutcome {
        let drive = self.drive();
        let end = token.run_until_cancelled(drive).await;
        end.unwrap_or(RolloutOutcome::Cancelled)
    }

    /// Takes the lease, and one step after the other under it.
    async fn drive(&mut self) -> RolloutOutcome {
        let mut lease = self.acquire_lease().await;
        // Orders of an earlier holder may still act where nobody checks their number.
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

    /// Waits for the lease.
    async fn acquire_lease(&mut self) -> HeldLease {
        let name = format!("rollout/{}", self.pool);
        loop {
            if let Ok(Some(lease)) = self.holder.acquire(&name, LEASE_DURATION).await {
                return lease;
            }
            time::sleep(STEP_INTERVAL).await;
        }
    }

    /// Renews the lease and the slots; tells whether the lease may still be used.
    async fn renew_leases(&mut self, lease: &mut HeldLease) -> bool {
        if lease.is_renewal_due() {
            // A renewal that was not read back is tried again while the lease lasts.
            let _ = self.holder.renew(lease).await;
        }
        for loading in &mut self.loading {
            if loading.slot.is_renewal_due() {
                let _ = self.holder.renew(&mut loading.slot).await;
            }
        }
        lease.is_valid()
    }

    /// Takes one step; tells how the roll-out ended, if it did.
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

    /// Lets a replica load under a free slot.
    async fn load_replica(&mut self, view: &RolloutView, endpoint: EndpointId, lease: &HeldLease) {
        let Some(slot) = self.acquire_slot(view.load_slots).await else {
            return;
        };
        let order = rollout::load_order(lease.fencing, view.target);
        // Looked at right before the order: taking the slot may have taken long.
        if !lease.is_valid() || !slot.is_valid() {
            return;
        }
        let state = self.backend.send_order(&endpoint, order.clone()).await;
        if state.is_some_and(|state| rollout::shows_order(&state, &order)) {
            self.loading.push(LoadingReplica { endpoint, slot });
        } else if self.backend.checks_fencing() {
            let _ = self.holder.release(slot).await;
        }
        // Where numbers are not checked, the order may yet act: the slot then ends by itself.
    }

    /// Takes a free slot, if there is one.
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

    /// Gives back the slots of replicas that have loaded.
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

    /// Gives back everything at the end.
    async fn release_all(&mut self, lease: HeldLease) {
        let loading = std::mem::take(&mut self.loading);
        self.release(loading).await;
        let _ = self.holder.release(lease).await;
    }

    /// Gives slots back; one that the log does not take ends by itself.
    async fn release(&mut self, freed: Vec<LoadingReplica>) {
        for loading in freed {
            let _ = self.holder.release(loading.slot).await;
        }
    }
}

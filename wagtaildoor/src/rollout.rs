//! Decides the steps of a rollout of new weights over the replicas of a pool.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    ids::{
        DomainId,
        EndpointId,
        FencingToken,
        WeightsVersion, //
    },
    schema::{
        EngineOrder,
        EngineState,
        OrderKind, //
    },
};

/// Time for which an endpoint may act on an order.
pub const ORDER_VALIDITY: Duration = Duration::from_secs(30);

/// State of a replica, as last read from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutReplica {
    /// Endpoint that serves as this replica.
    pub endpoint: EndpointId,
    /// Failure domain of the replica.
    pub domain: DomainId,
    /// Weights in service; `None` if the replica does not respond.
    pub weights: Option<WeightsVersion>,
    /// Weights being loaded; 0 for none.
    pub loading: WeightsVersion,
}

/// How far a rollout has come, as operators see it.
#[derive(Clone, Debug)]
pub struct RolloutView {
    /// Weights in force in the published configuration.
    pub in_force: WeightsVersion,
    /// Weights to roll out.
    pub target: WeightsVersion,
    /// All replicas of the pool.
    pub replicas: Vec<RolloutReplica>,
    /// Number of replicas that may load weights at a time.
    pub load_slots: usize,
    /// Fraction of failed requests in the pool before the rollout.
    pub baseline_error_share: f64,
    /// Current fraction of failed requests in the pool.
    pub current_error_share: f64,
}

/// Next step of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutStep {
    /// Let this replica load the new weights.
    Load(EndpointId),
    /// Publish the new weights in the configuration: half of each domain has loaded them.
    Publish,
    /// Wait for replicas that are loading or must not load yet.
    Wait,
    /// Finish: all replicas have the new weights, and they are in force.
    Done,
    /// Abort the rollout for this reason.
    Stop(Box<str>),
}

/// Rise in the fraction of failed requests above which a rollout stops.
const MAX_ERROR_RISE: f64 = 0.02;

/// Chooses the next step from the view alone, so that another driver can continue a rollout.
///
/// Until the new weights are published, replicas with the weights in force serve; after that,
/// replicas with the target do. The last serving replica of a domain is never taken out.
pub fn next_step(view: &RolloutView) -> RolloutStep {
    if view.target < view.in_force {
        let text = "weights only go forward; go back by a new version with the old content";
        return RolloutStep::Stop(text.into());
    }
    if view.current_error_share > view.baseline_error_share + MAX_ERROR_RISE {
        let text = format!(
            "failed requests rose from {:.1} % to {:.1} %",
            100.0 * view.baseline_error_share,
            100.0 * view.current_error_share
        );
        return RolloutStep::Stop(text.into());
    }
    let domains = group_by_domain(&view.replicas);
    if view.target > view.in_force {
        return step_before_publish(view, &domains);
    }
    step_after_publish(view, &domains)
}

/// Groups replicas by failure domain.
fn group_by_domain(replicas: &[RolloutReplica]) -> BTreeMap<&DomainId, Vec<&RolloutReplica>> {
    let mut domains: BTreeMap<&DomainId, Vec<&RolloutReplica>> = BTreeMap::new();
    for replica in replicas {
        domains.entry(&replica.domain).or_default().push(replica);
    }
    domains
}

/// Loads the target on half of each domain's replicas while the others serve.
fn step_before_publish(
    view: &RolloutView,
    domains: &BTreeMap<&DomainId, Vec<&RolloutReplica>>,
) -> RolloutStep {
    let mut is_waiting = false;
    for (domain, replicas) in domains {
        let answering = replicas.iter().filter(|r| r.weights.is_some()).count();
        let ready = find_serving(replicas, view.target).len();
        let loading = replicas.iter().filter(|r| r.loading == view.target).count();
        let wanted = answering.div_ceil(2).min(answering.saturating_sub(1));
        if ready > 0 && ready >= wanted {
            continue;
        }
        is_waiting = true;
        if ready + loading >= wanted && loading > 0 {
            continue;
        }
        let serving_old = find_serving(replicas, view.in_force);
        if serving_old.len() < 2 {
            let text = format!("domain {domain} has no second replica to serve meanwhile");
            return RolloutStep::Stop(text.into());
        }
        if has_load_slot(view) {
            return RolloutStep::Load(serving_old[0].endpoint.clone());
        }
    }
    if is_waiting {
        return RolloutStep::Wait;
    }
    RolloutStep::Publish
}

/// Loads the target on the remaining replicas, while the updated ones serve.
fn step_after_publish(
    view: &RolloutView,
    domains: &BTreeMap<&DomainId, Vec<&RolloutReplica>>,
) -> RolloutStep {
    let mut is_waiting = false;
    for replicas in domains.values() {
        for replica in replicas {
            let Some(weights) = replica.weights else {
                is_waiting = true;
                continue;
            };
            if weights == view.target {
                continue;
            }
            is_waiting = true;
            if replica.loading == 0 && has_load_slot(view) {
                return RolloutStep::Load(replica.endpoint.clone());
            }
        }
    }
    if is_waiting {
        return RolloutStep::Wait;
    }
    RolloutStep::Done
}

/// Returns the replicas that serve these weights and are not loading others.
fn find_serving<'a>(
    replicas: &[&'a RolloutReplica],
    weights: WeightsVersion,
) -> Vec<&'a RolloutReplica> {
    let serves = |r: &&&RolloutReplica| r.weights == Some(weights) && r.loading == 0;
    replicas.iter().filter(serves).copied().collect()
}

/// Whether another replica may load weights.
fn has_load_slot(view: &RolloutView) -> bool {
    let loading = view.replicas.iter().filter(|r| r.loading != 0).count();
    loading < view.load_slots
}

/// Builds the order to load weights; it is idempotent.
pub fn load_order(fencing: FencingToken, weights: WeightsVersion) -> EngineOrder {
    EngineOrder {
        fencing,
        kind: OrderKind::LoadWeights,
        limit_ms: ORDER_VALIDITY.as_millis() as u64,
        name: "".into(),
        weights_version: weights,
    }
}

/// Whether an engine's state shows that it carries out an order, or has done so.
pub fn shows_order(state: &EngineState, order: &EngineOrder) -> bool {
    state.weights_version == order.weights_version || state.loading == order.weights_version
}

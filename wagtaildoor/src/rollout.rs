//! Rolls new weights out over the replicas of a pool, a few at a time.

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

/// Longest time for which an order counts at an endpoint.
pub const ORDER_VALIDITY: Duration = Duration::from_secs(30);

/// A replica of the pool, as last read back from it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RolloutReplica {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Weights in service; `None` when it does not answer.
    pub weights: Option<WeightsVersion>,
    /// Weights on their way in; 0 for none.
    pub loading: WeightsVersion,
}

/// How a roll-out stands.
#[derive(Clone, Debug)]
pub struct RolloutView {
    /// Weights in force by the configuration.
    pub in_force: WeightsVersion,
    /// Weights to go to.
    pub target: WeightsVersion,
    /// Replicas of the pool.
    pub replicas: Vec<RolloutReplica>,
    /// Replicas that may load at once.
    pub load_slots: usize,
    /// Share of failed requests in the pool before the roll-out.
    pub errors_before: f64,
    /// Share of failed requests now.
    pub errors_now: f64,
}

/// What comes next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutStep {
    /// This replica may load the new weights.
    Load(EndpointId),
    /// The new weights may come in force: half of each domain has them.
    Publish,
    /// Replicas are loading, or none may load yet.
    Wait,
    /// All replicas have the new weights, and they are in force.
    Done,
    /// It must not go on, for this reason.
    Stop(Box<str>),
}

/// Rise of the share of failed requests at which a roll-out stops by itself.
const MAX_ERROR_RISE: f64 = 0.02;

/// Chooses the next step. It depends on nothing but the view, so that a successor goes on.
///
/// Before the raise, replicas with the weights in force serve; after it, those with the target.
/// The last one that serves in a domain is never taken.
pub fn next_step(view: &RolloutView) -> RolloutStep {
    if view.target < view.in_force {
        let text = "weights only go forward; go back by a new version with the old content";
        return RolloutStep::Stop(text.into());
    }
    if view.errors_now > view.errors_before + MAX_ERROR_RISE {
        let text = format!(
            "failed requests rose from {:.1} % to {:.1} %",
            100.0 * view.errors_before,
            100.0 * view.errors_now
        );
        return RolloutStep::Stop(text.into());
    }
    let domains = group_by_domain(&view.replicas);
    if view.target > view.in_force {
        return step_before_publish(view, &domains);
    }
    step_after_publish(view, &domains)
}

/// Replicas of each failure domain.
fn group_by_domain(replicas: &[RolloutReplica]) -> BTreeMap<&DomainId, Vec<&RolloutReplica>> {
    let mut domains: BTreeMap<&DomainId, Vec<&RolloutReplica>> = BTreeMap::new();
    for replica in replicas {
        domains.entry(&replica.domain).or_default().push(replica);
    }
    domains
}

/// Brings half of each domain's replicas to the target while the others serve.
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

/// Brings the other replicas to the target, as long as one serves in each domain.
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

/// Replicas that serve certain weights, and are not about to change.
fn find_serving<'a>(
    replicas: &[&'a RolloutReplica],
    weights: WeightsVersion,
) -> Vec<&'a RolloutReplica> {
    let serves = |r: &&&RolloutReplica| r.weights == Some(weights) && r.loading == 0;
    replicas.iter().filter(serves).copied().collect()
}

/// Whether another replica may load.
fn has_load_slot(view: &RolloutView) -> bool {
    let loading = view.replicas.iter().filter(|r| r.loading != 0).count();
    loading < view.load_slots
}

/// The order that brings a replica to weights; giving it twice changes nothing.
pub fn load_order(fencing: FencingToken, weights: WeightsVersion) -> EngineOrder {
    EngineOrder {
        fencing,
        kind: OrderKind::LoadWeights,
        limit_ms: ORDER_VALIDITY.as_millis() as u64,
        name: "".into(),
        weights_version: weights,
    }
}

/// Whether an engine's state shows that an order for weights is being followed, or was.
pub fn shows_order(state: &EngineState, order: &EngineOrder) -> bool {
    state.weights_version == order.weights_version || state.loading == order.weights_version
}

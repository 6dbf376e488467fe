//! Chooses an endpoint of a plain service by its occupied slots, failures and distance.

/// Weights of the placement cost.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainPolicy {
    /// Time that an endpoint takes for one request, in milliseconds.
    pub work_ms: f64,
    /// Cost of an endpoint in another failure domain, in milliseconds.
    pub other_domain_ms: f64,
    /// Cost at a failure rate of 1, in milliseconds.
    pub failure_ms: f64,
    /// Cost of an endpoint that recently rejected a request for lack of capacity, in milliseconds.
    pub full_ms: f64,
}

/// An endpoint that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCandidate {
    /// Whether the endpoint is in the host's failure domain.
    pub is_same_domain: bool,
    /// Requests of all hosts at the endpoint.
    pub requests: f64,
    /// Requests that the endpoint processes concurrently.
    pub slots: f64,
    /// Recent failure rate, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the endpoint recently rejected a request for lack of capacity.
    pub is_full: bool,
}

/// Returns the index of the candidate with the lowest cost; `None` if there is no candidate.
///
/// `tie_breaker` maps an index to milliseconds from 0 to 1, which are added to the cost.
pub fn choose_endpoint(
    candidates: impl Iterator<Item = PlainCandidate>,
    policy: &PlainPolicy,
    tie_breaker: impl Fn(usize) -> f64,
) -> Option<usize> {
    let costs = candidates
        .enumerate()
        .map(|(index, candidate)| (index, cost_ms(&candidate, policy) + tie_breaker(index)));
    let best = costs.min_by(|(_, first), (_, second)| first.total_cmp(second));
    best.map(|(index, _)| index)
}

/// Estimated cost of an endpoint, in milliseconds.
fn cost_ms(candidate: &PlainCandidate, policy: &PlainPolicy) -> f64 {
    let occupancy = (candidate.requests + 1.0) / candidate.slots.max(1.0);
    let mut cost = (occupancy - 1.0).max(0.0) * policy.work_ms + occupancy;
    cost += candidate.failure_rate * policy.failure_ms;
    if !candidate.is_same_domain {
        cost += policy.other_domain_ms;
    }
    if candidate.is_full {
        cost += policy.full_ms;
    }
    cost
}

//! Chooses an endpoint of a plain service: places in use, failures and distance.

/// Figures that the choice weighs.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainPolicy {
    /// Time that an endpoint works on one request, in milliseconds.
    pub work_ms: f64,
    /// Cost of another failure domain, in milliseconds.
    pub other_domain_ms: f64,
    /// Cost of an endpoint all of whose outcomes were failures, in milliseconds.
    pub failure_ms: f64,
    /// Cost of an endpoint that refused for lack of room a moment ago, in milliseconds.
    pub full_ms: f64,
}

/// An endpoint that could take a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCandidate {
    /// Whether it is in the host's failure domain.
    pub is_same_domain: bool,
    /// Requests there.
    pub requests: f64,
    /// Requests that it works on at a time.
    pub slots: f64,
    /// Share of failures among its latest outcomes.
    pub failure_rate: f64,
    /// It refused for lack of room a moment ago.
    pub is_full: bool,
}

/// Chooses among endpoints; `draw` between 0 and 1 settles near ties.
pub fn choose_endpoint(
    candidates: impl Iterator<Item = PlainCandidate>,
    policy: &PlainPolicy,
    draw: impl Fn(usize) -> f64,
) -> Option<usize> {
    let costs = candidates
        .enumerate()
        .map(|(index, candidate)| (index, cost_ms(&candidate, policy) + draw(index)));
    let best = costs.min_by(|(_, first), (_, second)| first.total_cmp(second));
    best.map(|(index, _)| index)
}

/// Cost of an endpoint, in milliseconds.
fn cost_ms(candidate: &PlainCandidate, policy: &PlainPolicy) -> f64 {
    let rounds = (candidate.requests + 1.0) / candidate.slots.max(1.0);
    let mut cost = (rounds - 1.0).max(0.0) * policy.work_ms + rounds;
    cost += candidate.failure_rate * policy.failure_ms;
    if !candidate.is_same_domain {
        cost += policy.other_domain_ms;
    }
    if candidate.is_full {
        cost += policy.full_ms;
    }
    cost
}

//! Placement of requests to plain services.

use wagtaildoor_front::plain_placement::{
    self,
    PlainCandidate,
    PlainPolicy, //
};

/// The policy that the deployments use.
const POLICY: PlainPolicy = PlainPolicy {
    work_ms: 30.0,
    other_domain_ms: 4.0,
    failure_ms: 600.0,
    full_ms: 500.0,
};

/// Creates a candidate with a number of requests.
fn endpoint(is_same_domain: bool, requests: f64) -> PlainCandidate {
    PlainCandidate {
        is_same_domain,
        requests,
        slots: 6.0,
        failure_rate: 0.0,
        is_full: false,
    }
}

/// Chooses a candidate without a tie breaker.
fn choose(candidates: &[PlainCandidate]) -> Option<usize> {
    plain_placement::choose_endpoint(candidates.iter().cloned(), &POLICY, |_| 0.0)
}

#[test]
fn endpoints_in_the_same_domain_are_preferred_until_their_slots_are_used() {
    assert_eq!(
        choose(&[endpoint(false, 0.0), endpoint(true, 3.0)]),
        Some(1)
    );
    assert_eq!(
        choose(&[endpoint(false, 0.0), endpoint(true, 8.0)]),
        Some(0)
    );
}

#[test]
fn failing_and_full_endpoints_are_avoided() {
    let failing = PlainCandidate {
        failure_rate: 0.5,
        ..endpoint(true, 0.0)
    };
    let full = PlainCandidate {
        is_full: true,
        ..endpoint(true, 0.0)
    };
    assert_eq!(choose(&[failing, full, endpoint(false, 5.0)]), Some(2));
}

#[test]
fn the_tie_breaker_decides_between_equal_costs_only() {
    let tie_breaker = |index: usize| [0.2, 0.0, 0.1][index];
    let candidates = [
        endpoint(true, 1.0),
        endpoint(true, 1.0),
        endpoint(false, 1.0),
    ];
    let choice = plain_placement::choose_endpoint(candidates.into_iter(), &POLICY, tie_breaker);
    assert_eq!(choice, Some(1));
    assert_eq!(choose(&[]), None);
}

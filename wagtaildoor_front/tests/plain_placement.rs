//! Where requests to plain services go.

use wagtaildoor_front::plain_placement::{
    self,
    PlainCandidate,
    PlainPolicy, //
};

/// The figures of the deployments.
const POLICY: PlainPolicy = PlainPolicy {
    work_ms: 30.0,
    other_domain_ms: 4.0,
    failure_ms: 600.0,
    full_ms: 500.0,
};

/// An endpoint with requests, near or not.
fn endpoint(is_same_domain: bool, requests: f64) -> PlainCandidate {
    PlainCandidate {
        is_same_domain,
        requests,
        slots: 6.0,
        failure_rate: 0.0,
        is_full: false,
    }
}

/// The choice, without a draw.
fn choose(candidates: &[PlainCandidate]) -> Option<usize> {
    plain_placement::choose_endpoint(candidates.iter().cloned(), &POLICY, |_| 0.0)
}

#[test]
fn near_ones_come_first_until_their_places_are_taken() {
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
fn failing_and_full_ones_come_last() {
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
fn a_draw_settles_ties_only() {
    let draw = |index: usize| [0.2, 0.0, 0.1][index];
    let even = [
        endpoint(true, 1.0),
        endpoint(true, 1.0),
        endpoint(false, 1.0),
    ];
    let choice = plain_placement::choose_endpoint(even.into_iter(), &POLICY, draw);
    assert_eq!(choice, Some(1));
    assert_eq!(choose(&[]), None);
}

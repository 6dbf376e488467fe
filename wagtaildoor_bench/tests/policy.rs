//! Policy comparison: equal seeds give equal metrics, and the own policy stays near the bound.

use std::time::Duration;

use wagtaildoor_bench::policy::{
    self,
    deployment::{
        DeploymentShape,
        NamedFault,
        DESK,
        FAULTS, //
    },
    run_metrics::RunMetrics,
    PolicyKind,
};

/// Minimum hit rate of a short run, relative to the bound's.
const MIN_HIT_RATIO: f64 = 0.9;

/// Desk deployment, shortened to 24 s.
const SHORT_DESK: DeploymentShape = DeploymentShape {
    duration: Duration::from_secs(24),
    ..DESK
};

/// Runs one short simulation.
fn run(fault: &NamedFault, policy: PolicyKind) -> RunMetrics {
    policy::run_one(&SHORT_DESK, fault, policy, 5)
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let [first, second] = [0, 1].map(|_| run(&FAULTS[1], PolicyKind::Wagtaildoor));
    assert_eq!(first.prompt_tokens, second.prompt_tokens);
    assert_eq!(first.cached_tokens, second.cached_tokens);
    assert_eq!(first.wasted_tokens, second.wasted_tokens);
    assert_eq!(first.answered(), second.answered());
    let p99s = [first.first_token_ms(0.99), second.first_token_ms(0.99)];
    assert_eq!(p99s[0], p99s[1]);
}

#[test]
fn the_own_policy_stays_near_the_bound_and_far_from_round_robin() {
    let round_robin = run(&FAULTS[0], PolicyKind::RoundRobin);
    let bound = run(&FAULTS[0], PolicyKind::Bound);
    let own = run(&FAULTS[0], PolicyKind::Wagtaildoor);
    assert!(
        own.hit_rate() >= MIN_HIT_RATIO * bound.hit_rate(),
        "{}",
        own.hit_rate()
    );
    assert!(own.first_token_ms(0.99) <= round_robin.first_token_ms(0.99) / 2.0);
    assert_eq!(own.refused, 0);
}

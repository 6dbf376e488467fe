//! The policy experiment: the same figures from the same seed, and the own policy near the bound.

use std::time::Duration;

use wagtaildoor_bench::policy::{
    self,
    deployment::{
        DeploymentShape,
        NamedFault,
        DESK,
        FAULTS, //
    },
    run_figures::RunFigures,
    PolicyKind,
};

/// Part of the bound's hit rate that a short run must reach.
const HIT_SHARE: f64 = 0.9;

/// The desk for a short while.
const SHORT_DESK: DeploymentShape = DeploymentShape {
    length: Duration::from_secs(24),
    ..DESK
};

/// One short run.
fn run(fault: &NamedFault, policy: PolicyKind) -> RunFigures {
    policy::run_one(&SHORT_DESK, fault, policy, 5)
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let [near, far] = [0, 1].map(|_| run(&FAULTS[1], PolicyKind::Wagtaildoor));
    assert_eq!(near.prompt_tokens, far.prompt_tokens);
    assert_eq!(near.cached_tokens, far.cached_tokens);
    assert_eq!(near.wasted_tokens, far.wasted_tokens);
    assert_eq!(near.answered(), far.answered());
    let tails = [near.first_token_ms(0.99), far.first_token_ms(0.99)];
    assert_eq!(tails[0], tails[1]);
}

#[test]
fn the_own_policy_stays_near_the_bound_and_far_from_round_robin() {
    let robin = run(&FAULTS[0], PolicyKind::RoundRobin);
    let bound = run(&FAULTS[0], PolicyKind::Bound);
    let own = run(&FAULTS[0], PolicyKind::Wagtaildoor);
    assert!(
        own.hit_rate() >= HIT_SHARE * bound.hit_rate(),
        "{}",
        own.hit_rate()
    );
    assert!(own.first_token_ms(0.99) <= robin.first_token_ms(0.99) / 2.0);
    assert_eq!(own.refused, 0);
}

//! Tests that all hosts together keep the quotas of accounts, under load that moves and under failures.

#[path = "support/quota_fleet.rs"]
mod quota_fleet;

use std::time::Duration;

use quickcheck::{
    Gen,
    QuickCheck,
    TestResult, //
};
use quota_fleet::QuotaFleet;
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    account_quota::quota_ledger::{
        QuotaLedger,
        QuotaRefusal, //
    },
    service_config::{
        QuotaRule,
        QuotaUnit, //
    },
};

/// Window over which quotas are judged.
const WINDOW: Duration = Duration::from_secs(8);
/// A quota of the deployments: the burst is what flows in within a second.
const RULE: QuotaRule = QuotaRule {
    unit: QuotaUnit::Tokens { unstated: 200 },
    rate_per_s: 1_000_000.0,
    burst: 1_000_000.0,
};

/// What the platform's rule allows in one window.
fn allowed(rule: &QuotaRule) -> f64 {
    (rule.rate_per_s * WINDOW.as_secs_f64() + rule.burst) * 1.1 + 140_000.0
}

fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

#[test]
fn one_account_that_sends_six_times_its_usual_keeps_its_quota() {
    let mut fleet = QuotaFleet::new(24, RULE, 1);
    fleet.run(30_000, |_, _| 3_300_000.0 / 24.0);
    assert!(fleet.largest_window(WINDOW) <= allowed(&RULE));
    // What is within the quota is granted: the inflow of all 30 s, and the burst.
    assert!(fleet.granted() > 0.97 * 30.0 * RULE.rate_per_s);
}

#[test]
fn an_account_whose_callers_reach_two_hosts_gets_its_whole_quota_there() {
    let mut fleet = QuotaFleet::new(60, RULE, 2);
    fleet.run(20_000, |host, _| if host < 2 { 450_000.0 } else { 0.0 });
    assert!(fleet.granted() > 0.99 * fleet.asked());
}

#[test]
fn load_that_moves_to_another_domain_within_a_second_is_granted() {
    let mut fleet = QuotaFleet::new(24, RULE, 3);
    fleet.run(20_000, |host, ms| {
        let domain = (ms / 1_000) as usize % 3;
        if host % 3 == domain {
            800_000.0 / 8.0
        } else {
            0.0
        }
    });
    assert!(fleet.granted() > 0.99 * fleet.asked());
}

#[test]
fn two_halves_that_cannot_hear_each_other_do_not_grant_the_quota_twice() {
    let mut fleet = QuotaFleet::new(24, RULE, 4);
    fleet.run(5_000, |_, _| 3_300_000.0 / 24.0);
    fleet.cut(|host| host % 2);
    fleet.run(10_000, |_, _| 3_300_000.0 / 24.0);
    fleet.cut(|_| 0);
    fleet.run(10_000, |_, _| 3_300_000.0 / 24.0);
    assert!(fleet.largest_window(WINDOW) <= allowed(&RULE));
    assert!(fleet.granted() > 0.9 * 25.0 * RULE.rate_per_s);
}

#[test]
fn hosts_that_stood_still_do_not_wake_with_full_buckets() {
    let mut fleet = QuotaFleet::new(24, RULE, 5);
    fleet.run(5_000, |_, _| 3_300_000.0 / 24.0);
    fleet.freeze(|host| host % 2 == 0);
    fleet.run(4_000, |_, _| 3_300_000.0 / 24.0);
    fleet.freeze(|_| false);
    fleet.run(10_000, |_, _| 3_300_000.0 / 24.0);
    assert!(fleet.largest_window(WINDOW) <= allowed(&RULE));
}

#[test]
fn hosts_that_restart_together_do_not_grant_the_quota_again() {
    let mut fleet = QuotaFleet::new(24, RULE, 6);
    fleet.run(8_000, |_, _| 3_300_000.0 / 24.0);
    fleet.restart(|host| host % 2 == 0);
    fleet.run(10_000, |_, _| 3_300_000.0 / 24.0);
    assert!(fleet.largest_window(WINDOW) <= allowed(&RULE));
}

/// Guards against a quota that is granted twice around the loss of all that hosts know.
#[test]
fn a_surge_before_and_after_all_hosts_are_killed_keeps_the_quota() {
    let mut fleet = QuotaFleet::new(24, RULE, 8);
    fleet.run(6_000, |_, _| 5_000_000.0 / 24.0);
    fleet.restart(|_| true);
    fleet.run(10_000, |_, _| 5_000_000.0 / 24.0);
    assert!(fleet.largest_window(WINDOW) <= allowed(&RULE));
    // Callers are served again soon.
    assert!(fleet.granted() > 0.9 * 12.0 * RULE.rate_per_s);
}

#[test]
fn a_limit_that_is_lowered_in_a_burst_binds_at_once() {
    let mut fleet = QuotaFleet::new(24, RULE, 7);
    fleet.run(6_000, |_, _| 3_300_000.0 / 24.0);
    let lower = QuotaRule {
        rate_per_s: 100_000.0,
        burst: 100_000.0,
        ..RULE
    };
    fleet.set_rule(lower);
    fleet.run(1_000, |_, _| 3_300_000.0 / 24.0);
    fleet.forget_grants();
    fleet.run(12_000, |_, _| 3_300_000.0 / 24.0);
    assert!(fleet.largest_window(WINDOW) <= allowed(&lower));
}

#[test]
fn a_request_that_did_not_run_gets_its_units_back() {
    let mut ledger = QuotaLedger::new(WINDOW, at(0));
    let account = "a".into();
    ledger.set_rules([(&account, RULE)].into_iter(), at(0));
    let tick = |ledger: &mut QuotaLedger, from: u64, to: u64| {
        for ms in (from..to).step_by(25) {
            ledger.tick(at(ms));
        }
    };
    tick(&mut ledger, 0, 1_000);
    assert_eq!(
        ledger.try_acquire(&account, Some(900_000), at(1_000)),
        Ok(900_000)
    );
    assert!(ledger
        .try_acquire(&account, Some(900_000), at(1_000))
        .is_err());
    ledger.give_back(&account, 900_000, at(1_000));
    assert_eq!(
        ledger.try_acquire(&account, Some(900_000), at(1_000)),
        Ok(900_000)
    );
}

#[test]
fn a_refusal_says_when_there_is_enough_for_this_request() {
    let mut ledger = QuotaLedger::new(WINDOW, at(0));
    let account = "a".into();
    ledger.set_rules([(&account, RULE)].into_iter(), at(0));
    let refused = ledger.try_acquire(&account, Some(400_000), at(0));
    let Err(QuotaRefusal::TooSoon { wait, .. }) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(wait, Duration::from_millis(400));
    assert_eq!(
        ledger.try_acquire(&account, Some(400_000), at(400)),
        Ok(400_000)
    );
}

#[test]
fn a_request_larger_than_the_quota_can_hold_is_refused_for_good() {
    let mut ledger = QuotaLedger::new(WINDOW, at(0));
    let account = "a".into();
    ledger.set_rules([(&account, RULE)].into_iter(), at(0));
    let refused = ledger.try_acquire(&account, Some(9_000_001), at(0));
    assert!(
        matches!(refused, Err(QuotaRefusal::TooLarge { .. })),
        "{refused:?}"
    );
}

#[test]
fn accounts_without_a_quota_are_not_counted() {
    let mut ledger = QuotaLedger::new(WINDOW, at(0));
    assert_eq!(
        ledger.try_acquire(&"a".into(), Some(u64::MAX), at(0)),
        Ok(0)
    );
    assert!(!ledger.is_datagram_due(at(5_000)));
}

/// Number of random schedules, unless `WAGTAILDOOR_RUNS` is set.
const SCHEDULES: u64 = 20;

fn case_count() -> u64 {
    let runs = std::env::var("WAGTAILDOOR_RUNS").ok();
    runs.and_then(|runs| runs.parse().ok()).unwrap_or(SCHEDULES)
}

fn seed() -> u64 {
    let seed = std::env::var("WAGTAILDOOR_SEED").ok();
    seed.and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

/// Random cuts, pauses, restarts and late or lost datagrams under a constant surge.
#[test]
fn no_schedule_of_failures_breaks_the_rule() {
    fn keeps_the_rule(seed: u64, hosts: u8, phases: Vec<(u8, u8)>) -> TestResult {
        let count = usize::from(hosts % 14) + 2;
        let mut fleet = QuotaFleet::new(count, RULE, seed);
        let demand = 3_300_000.0 / count as f64;
        for (kind, length) in phases.into_iter().take(6) {
            let cut_at = usize::from(length) % count;
            match kind % 4 {
                0 => fleet.cut(|host| usize::from(host < cut_at)),
                1 => fleet.freeze(|host| host < cut_at / 2),
                2 => fleet.restart(|host| host < cut_at / 4),
                _ => fleet.lose(0.3),
            }
            fleet.run(1_000 + u64::from(length) * 20, |_, _| demand);
            fleet.cut(|_| 0);
            fleet.freeze(|_| false);
            fleet.lose(0.0);
            // Failures follow each other no sooner than links and hosts recover.
            fleet.run(4_000, |_, _| demand);
        }
        let (largest, limit) = (fleet.largest_window(WINDOW), allowed(&RULE));
        if largest > limit {
            return TestResult::error(format!("{largest} of {limit}"));
        }
        TestResult::passed()
    }
    let check: fn(u64, u8, Vec<(u8, u8)>) -> TestResult = keeps_the_rule;
    QuickCheck::new()
        .tests(case_count())
        .rng(Gen::from_size_and_seed(12, seed()))
        .quickcheck(check);
}

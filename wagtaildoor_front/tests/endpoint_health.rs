//! An endpoint that falls silent is noticed by what its connections do not show.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::endpoint_health::{
    EndpointHealth,
    SILENCE_TIMEOUT, //
};

/// A time after the start.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

#[test]
fn an_endpoint_without_work_owes_no_sign_of_life() {
    let mut health = EndpointHealth::new(at(0));
    assert!(!health.begin_due_check(at(60_000)));
    let number = health.record_sent(at(60_000));
    assert!(!health.begin_due_check(at(60_000) + SILENCE_TIMEOUT));
    health.record_response_start(number, at(60_300));
    health.record_response_end();
    assert!(!health.begin_due_check(at(120_000)));
}

#[test]
fn a_silent_endpoint_is_checked_within_half_a_second() {
    let mut health = EndpointHealth::new(at(0));
    health.record_sent(at(1_000));
    let noticed = (1_000..)
        .step_by(100)
        .find(|&ms| health.begin_due_check(at(ms)));
    assert!(noticed.is_some_and(|ms| ms <= 1_500), "{noticed:?}");
    assert!(!health.begin_due_check(at(1_500)), "one check at a time");
}

#[test]
fn a_stream_that_stops_counts_as_silence_too() {
    let mut health = EndpointHealth::new(at(0));
    let number = health.record_sent(at(0));
    health.record_response_start(number, at(50));
    health.record_activity(at(900));
    assert!(!health.begin_due_check(at(1_200)));
    assert!(health.begin_due_check(at(1_300)));
}

#[test]
fn what_waits_for_an_unreachable_endpoint_is_told() {
    let mut health = EndpointHealth::new(at(0));
    let silence_token = health.silence_token();
    health.mark_unreachable(at(400));
    assert!(silence_token.is_cancelled());
    assert!(health.is_down());
    assert!(
        !health.silence_token().is_cancelled(),
        "later work waits anew"
    );
}

#[test]
fn an_unreachable_endpoint_is_tried_again_ever_less_often_until_it_answers() {
    let mut health = EndpointHealth::new(at(0));
    let mut tries = Vec::new();
    health.mark_unreachable(at(0));
    for ms in 0..6_000 {
        if health.begin_due_check(at(ms)) {
            tries.push(ms);
            health.mark_unreachable(at(ms));
        }
    }
    assert_eq!(tries, [200, 600, 1_400, 3_000, 4_600]);
    health.mark_reachable();
    assert!(!health.is_down());
}

#[test]
fn a_request_is_overtaken_by_answers_to_later_ones_only() {
    let mut health = EndpointHealth::new(at(0));
    let before = health.record_sent(at(0));
    let stuck = health.record_sent(at(1));
    let later: Vec<u64> = (0..3).map(|ms| health.record_sent(at(2 + ms))).collect();
    health.record_response_start(before, at(20));
    assert_eq!(health.later_responses(stuck), 0);
    for number in later {
        health.record_response_start(number, at(30));
    }
    assert_eq!(health.later_responses(stuck), 3);
}

#[test]
fn failures_are_forgotten_with_time() {
    let mut health = EndpointHealth::new(at(0));
    for ms in 0..40 {
        health.record_outcome(true, at(ms));
    }
    assert!(health.failure_rate(at(40)) > 0.9);
    assert!(health.failure_rate(at(12_040)) < 0.2);
    let failing = health.failure_rate(at(40));
    health.record_outcome(false, at(40));
    assert!(health.failure_rate(at(40)) < failing);
}

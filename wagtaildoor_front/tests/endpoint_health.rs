//! Detection of silent endpoints, connection backoff and the failure rate.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::endpoint_health::{
    EndpointHealth,
    SILENCE_TIMEOUT, //
};

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

#[test]
fn an_idle_endpoint_is_not_checked() {
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
    let checked_at = (1_000..)
        .step_by(100)
        .find(|&ms| health.begin_due_check(at(ms)));
    assert!(checked_at.is_some_and(|ms| ms <= 1_500), "{checked_at:?}");
    assert!(!health.begin_due_check(at(1_500)), "one check at a time");
}

#[test]
fn a_stream_that_stalls_counts_as_silence() {
    let mut health = EndpointHealth::new(at(0));
    let number = health.record_sent(at(0));
    health.record_response_start(number, at(50));
    health.record_activity(at(900));
    assert!(!health.begin_due_check(at(1_200)));
    assert!(health.begin_due_check(at(1_300)));
}

#[test]
fn requests_waiting_for_an_unreachable_endpoint_are_cancelled() {
    let mut health = EndpointHealth::new(at(0));
    let silence_token = health.silence_token();
    health.mark_unreachable(at(400));
    assert!(silence_token.is_cancelled());
    assert!(health.is_down());
    assert!(
        !health.silence_token().is_cancelled(),
        "later requests get a new token"
    );
}

#[test]
fn connection_attempts_back_off_until_the_endpoint_is_reachable() {
    let mut health = EndpointHealth::new(at(0));
    let mut attempts = Vec::new();
    health.mark_unreachable(at(0));
    for ms in 0..6_000 {
        if health.begin_due_check(at(ms)) {
            attempts.push(ms);
            health.mark_unreachable(at(ms));
        }
    }
    assert_eq!(attempts, [200, 600, 1_400, 3_000, 4_600]);
    health.mark_reachable();
    assert!(!health.is_down());
}

#[test]
fn only_responses_to_later_requests_count_as_later() {
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
fn the_failure_rate_decays_with_time() {
    let mut health = EndpointHealth::new(at(0));
    for ms in 0..40 {
        health.record_outcome(true, at(ms));
    }
    assert!(health.failure_rate(at(40)) > 0.9);
    assert!(health.failure_rate(at(12_040)) < 0.2);
    let rate_before = health.failure_rate(at(40));
    health.record_outcome(false, at(40));
    assert!(health.failure_rate(at(40)) < rate_before);
}

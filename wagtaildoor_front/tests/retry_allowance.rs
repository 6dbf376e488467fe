//! Tests that all hosts together keep the retry limit without coordination.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::retry_allowance::{
    RetryAllowance,
    RetryLimit, //
};

/// Retry limit of the deployments.
const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

#[test]
fn an_outage_cannot_push_all_hosts_over_the_limit() {
    let hosts = 4;
    let mut granted = 0;
    let mut requests = 0;
    for _ in 0..hosts {
        let mut allowance = RetryAllowance::new(LIMIT);
        // Every request fails and is retried five times, for one whole window.
        for ms in 0..9_900 {
            let now = BootInstant::ZERO + Duration::from_millis(ms);
            if ms % 50 == 0 {
                requests += 1;
                allowance.record_request(&"counter".into(), now);
            }
            let is_retry = ms % 10 == 0;
            granted +=
                usize::from(is_retry && allowance.try_acquire_retry(&"counter".into(), hosts, now));
        }
    }
    let limit = f64::from(requests) * LIMIT.ratio + LIMIT.slack;
    assert!(granted as f64 <= limit, "{granted} of {limit}");
    assert!(granted as f64 > limit * 0.8, "{granted} of {limit}");
}

#[test]
fn services_do_not_use_up_each_others_allowance() {
    let mut allowance = RetryAllowance::new(LIMIT);
    let now = BootInstant::ZERO;
    while allowance.try_acquire_retry(&"drafters".into(), 4, now) {}
    assert!(allowance.try_acquire_retry(&"counter".into(), 4, now));
}

#[test]
fn what_was_used_returns_after_the_window() {
    let mut allowance = RetryAllowance::new(LIMIT);
    let now = BootInstant::ZERO;
    while allowance.try_acquire_retry(&"counter".into(), 4, now) {}
    let later = now + Duration::from_millis(9_999);
    assert!(!allowance.try_acquire_retry(&"counter".into(), 4, later));
    assert!(allowance.try_acquire_retry(&"counter".into(), 4, now + LIMIT.window));
}

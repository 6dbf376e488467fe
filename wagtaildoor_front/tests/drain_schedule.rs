//! When a host that stops accepts requests.

use std::time::Duration;

use wagtaildoor_front::drain_schedule::DrainSchedule;

/// Guards against LOST: requests are taken by another bound than the one by which the process ends.
#[test]
fn accepted_requests_are_answered_before_the_exit_in_any_grace_period() {
    for grace_ms in [0, 300, 1_000, 3_000, 8_000, 30_000] {
        let schedule = DrainSchedule::from(Duration::from_millis(grace_ms));
        assert!(schedule.answers_due <= schedule.exit);
        assert!(schedule.exit <= Duration::from_millis(grace_ms));
        for (stopping_ms, left_ms) in [(0, 100), (900, 450), (2_900, 1_000), (7_400, 150)] {
            let stopping_for = Duration::from_millis(stopping_ms);
            let time_left = Duration::from_millis(left_ms);
            let is_early = stopping_for < schedule.answers_due / 3;
            let fits = stopping_for + time_left <= schedule.answers_due;
            assert_eq!(
                schedule.accepts(stopping_for, time_left),
                is_early || fits,
                "{stopping_ms} ms after SIGTERM with {left_ms} ms left of {grace_ms} ms"
            );
        }
    }
}

#[test]
fn short_requests_are_accepted_late_and_long_ones_only_early() {
    let schedule = DrainSchedule::from(Duration::from_secs(8));
    let accepts = |stopping_ms, left_ms| {
        schedule.accepts(
            Duration::from_millis(stopping_ms),
            Duration::from_millis(left_ms),
        )
    };
    assert!(accepts(0, 12_000));
    assert!(accepts(2_400, 12_000));
    assert!(!accepts(2_600, 12_000));
    assert!(accepts(6_000, 1_000));
    assert!(accepts(7_000, 450));
    assert!(!accepts(7_100, 450));
    assert!(!accepts(7_600, 0));
}

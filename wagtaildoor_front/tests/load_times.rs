//! Learned times of weights loads, and how many engines load at the same time.

use std::time::Duration;

use wagtaildoor::ids::ModelId;
use wagtaildoor_front::load_times::{
    LoadBacklog,
    LoadTimes, //
};

/// Share of the engines that may load at the same time while there is time enough.
const SHARE: f64 = 0.17;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Number of concurrent loads for 12 engines that are all behind by the same time.
fn loads_of_twelve(behind: usize, time_left: Duration, load_time: Duration) -> usize {
    let backlog = LoadBacklog {
        engines: 12,
        time_left: vec![time_left; behind],
        load_time,
    };
    backlog.concurrent_loads(SHARE)
}

#[test]
fn slow_loads_are_learned_from_the_first_one_on() {
    let model = ModelId::from("m");
    let mut times = LoadTimes::new(ms(300));
    assert_eq!(times.expected("m"), ms(300));
    times.record(&model, ms(670));
    assert_eq!(times.expected("m"), ms(670));
    assert!(times.overdue_after("m") > ms(1_340));
    assert_eq!(times.expected("other"), ms(300));
}

#[test]
fn ends_that_are_seen_late_do_not_stretch_the_expected_time() {
    let model = ModelId::from("m");
    let mut times = LoadTimes::new(ms(300));
    for took in [670, 880, 1_300, 675, 860, 890, 680, 870] {
        times.record(&model, ms(took));
    }
    assert!((ms(670)..=ms(700)).contains(&times.expected("m")));
}

#[test]
fn loads_that_became_slower_are_followed() {
    let model = ModelId::from("m");
    let mut times = LoadTimes::new(ms(300));
    for took in [200; 8].into_iter().chain([900; 8]) {
        times.record(&model, ms(took));
    }
    assert_eq!(times.expected("m"), ms(900));
}

#[test]
fn a_load_whose_end_nobody_watched_is_not_learned_from() {
    let model = ModelId::from("m");
    let mut times = LoadTimes::new(ms(300));
    times.record(&model, Duration::from_secs(60));
    assert_eq!(times.expected("m"), ms(300));
}

#[test]
fn slow_loads_run_side_by_side_only_as_far_as_the_limit_demands() {
    assert_eq!(loads_of_twelve(12, ms(9_000), ms(300)), 2, "fast loads");
    assert_eq!(loads_of_twelve(12, ms(9_000), ms(670)), 2, "in six rounds");
    assert_eq!(
        loads_of_twelve(12, ms(9_000), ms(2_000)),
        3,
        "in four rounds"
    );
    assert_eq!(loads_of_twelve(12, ms(2_500), ms(2_000)), 6, "half at most");
    assert_eq!(loads_of_twelve(1, ms(0), ms(2_000)), 2, "one is late");
    assert_eq!(loads_of_twelve(0, ms(0), ms(2_000)), 2);
}

#[test]
fn engines_that_are_late_do_not_hurry_those_with_time() {
    let mut time_left = vec![ms(9_000); 8];
    time_left.extend([ms(1_500); 2]);
    let backlog = LoadBacklog {
        engines: 12,
        time_left,
        load_time: ms(670),
    };
    assert_eq!(backlog.concurrent_loads(SHARE), 2);
}

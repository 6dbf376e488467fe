//! Speeds of engines that are learned from times to the first part.

use std::time::Duration;

use wagtaildoor::ids::ServiceId;
use wagtaildoor_front::{
    caller_deadlines::CallerDeadlines,
    prefill_speeds::PrefillSpeeds, //
};

#[test]
fn engines_that_are_half_as_fast_as_assumed_are_found_out() {
    let service = ServiceId::from("engines");
    let mut speeds = PrefillSpeeds::new(90.0);
    for _ in 0..5 {
        speeds.record(&service, 8_600.0, Duration::from_millis(200));
    }
    assert_eq!(speeds.tokens_per_ms("engines"), 90.0, "too few samples");
    for _ in 0..16 {
        speeds.record(&service, 8_600.0, Duration::from_millis(200));
    }
    assert_eq!(speeds.tokens_per_ms("engines"), 43.0);
    assert_eq!(speeds.tokens_per_ms("others"), 90.0);
}

#[test]
fn evicted_prefixes_and_short_prompts_do_not_distort_the_speed() {
    let service = ServiceId::from("engines");
    let mut speeds = PrefillSpeeds::new(90.0);
    for sample in 0..48 {
        let took = if sample % 4 == 0 { 900 } else { 200 };
        speeds.record(&service, 8_600.0, Duration::from_millis(took));
        speeds.record(&service, 100.0, Duration::from_millis(50));
    }
    assert_eq!(speeds.tokens_per_ms("engines"), 43.0);
}

#[test]
fn the_age_of_a_callers_first_attempt_follows_from_its_deadline() {
    let route = "tags".into();
    let mut deadlines = CallerDeadlines::default();
    let first = deadlines.record(&route, Duration::from_millis(2_500));
    let returned = deadlines.record(&route, Duration::from_millis(1_700));
    let other = deadlines.record(&"drafts".into(), Duration::from_millis(1_700));
    assert_eq!(first, Duration::ZERO);
    assert_eq!(returned, Duration::from_millis(800));
    assert_eq!(other, Duration::ZERO);
    deadlines.retain(|known| *known != route);
    assert_eq!(
        deadlines.record(&route, Duration::from_millis(1_700)),
        Duration::ZERO
    );
}

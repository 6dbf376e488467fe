//! Beliefs about who holds which part of prompts.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::prompt_homes::PromptHomes;

/// A time after the start.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Engines that hold a prefix, in order.
fn holders(homes: &PromptHomes, prefix: u64, now: BootInstant) -> Vec<u64> {
    homes
        .holders(prefix, now)
        .map(|holder| holder.endpoint)
        .collect()
}

#[test]
fn the_engine_used_last_comes_first() {
    let mut homes = PromptHomes::default();
    assert!(homes.note(1, 10, true, at(0)));
    assert!(homes.note(1, 11, true, at(10)));
    assert!(!homes.note(1, 10, true, at(20)), "this is no news");
    assert_eq!(holders(&homes, 1, at(30)), [10, 11]);
}

#[test]
fn a_part_that_was_read_is_news_once_more() {
    let mut homes = PromptHomes::default();
    assert!(homes.note(1, 10, false, at(0)));
    assert!(!homes.note(1, 10, false, at(1)));
    assert!(homes.note(1, 10, true, at(2)));
    assert!(!homes.note(1, 10, false, at(3)));
    let holder = homes.holder(1, 10, at(4)).expect("known");
    assert!(holder.is_read, "a later request does not take that back");
}

#[test]
fn what_is_not_used_is_forgotten() {
    let mut homes = PromptHomes::default();
    homes.note(1, 10, true, at(0));
    assert_eq!(holders(&homes, 1, at(14_999)), [10]);
    assert!(holders(&homes, 1, at(15_000)).is_empty());
    assert!(homes.note(1, 10, true, at(15_000)), "then it is news again");
}

#[test]
fn a_request_that_did_not_arrive_leaves_nothing_behind() {
    let mut homes = PromptHomes::default();
    homes.note(1, 10, false, at(0));
    homes.note(1, 11, true, at(0));
    homes.forget(1, 10);
    homes.forget(1, 11);
    assert_eq!(holders(&homes, 1, at(1)), [11]);
}

#[test]
fn a_store_that_was_lost_holds_nothing_from_before() {
    let mut homes = PromptHomes::default();
    let before = BootInstant::now();
    homes.note(1, 900, true, before);
    homes.forget_all(900);
    let now = BootInstant::now() + Duration::from_millis(1);
    assert!(holders(&homes, 1, now).is_empty());
    homes.note(1, 900, true, now);
    assert_eq!(holders(&homes, 1, now), [900]);
}

//! Beliefs about who holds which part of prompts.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::prefix_index::PrefixIndex;

/// A time after the start.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Engines that hold a prefix, in order.
fn holders(index: &PrefixIndex, prefix: u64, now: BootInstant) -> Vec<u64> {
    index
        .holders(prefix, now)
        .map(|holder| holder.endpoint)
        .collect()
}

#[test]
fn the_engine_used_last_comes_first() {
    let mut index = PrefixIndex::default();
    assert!(index.record_holder(1, 10, true, at(0)));
    assert!(index.record_holder(1, 11, true, at(10)));
    assert!(!index.record_holder(1, 10, true, at(20)), "this is no news");
    assert_eq!(holders(&index, 1, at(30)), [10, 11]);
}

#[test]
fn a_part_that_was_read_is_news_once_more() {
    let mut index = PrefixIndex::default();
    assert!(index.record_holder(1, 10, false, at(0)));
    assert!(!index.record_holder(1, 10, false, at(1)));
    assert!(index.record_holder(1, 10, true, at(2)));
    assert!(!index.record_holder(1, 10, false, at(3)));
    let holder = index.holder(1, 10, at(4)).expect("known");
    assert!(holder.is_read, "a later request does not take that back");
}

#[test]
fn what_is_not_used_is_forgotten() {
    let mut index = PrefixIndex::default();
    index.record_holder(1, 10, true, at(0));
    assert_eq!(holders(&index, 1, at(14_999)), [10]);
    assert!(holders(&index, 1, at(15_000)).is_empty());
    assert!(
        index.record_holder(1, 10, true, at(15_000)),
        "then it is news again"
    );
}

#[test]
fn a_request_that_did_not_arrive_leaves_nothing_behind() {
    let mut index = PrefixIndex::default();
    index.record_holder(1, 10, false, at(0));
    index.record_holder(1, 11, true, at(0));
    index.remove_unread(1, 10);
    index.remove_unread(1, 11);
    assert_eq!(holders(&index, 1, at(1)), [11]);
}

#[test]
fn a_store_that_was_lost_holds_nothing_from_before() {
    let mut index = PrefixIndex::default();
    let before = BootInstant::now();
    index.record_holder(1, 900, true, before);
    index.invalidate_endpoint(900);
    let now = BootInstant::now() + Duration::from_millis(1);
    assert!(holders(&index, 1, now).is_empty());
    index.record_holder(1, 900, true, now);
    assert_eq!(holders(&index, 1, now), [900]);
}

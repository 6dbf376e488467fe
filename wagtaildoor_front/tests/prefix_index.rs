//! Index of the engines and stores that hold prompt prefixes.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::prefix_index::PrefixIndex;

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Keys of a prefix's holders, most recently used first.
fn holders(index: &PrefixIndex, prefix: u64, now: BootInstant) -> Vec<u64> {
    index
        .holders(prefix, now)
        .map(|holder| holder.endpoint)
        .collect()
}

#[test]
fn the_most_recently_used_holder_comes_first() {
    let mut index = PrefixIndex::default();
    assert!(index.record_holder(1, 10, true, at(0)));
    assert!(index.record_holder(1, 11, true, at(10)));
    assert!(
        !index.record_holder(1, 10, true, at(20)),
        "it is known already"
    );
    assert_eq!(holders(&index, 1, at(30)), [10, 11]);
}

#[test]
fn a_finished_prefill_is_reported_once() {
    let mut index = PrefixIndex::default();
    assert!(index.record_holder(1, 10, false, at(0)));
    assert!(!index.record_holder(1, 10, false, at(1)));
    assert!(index.record_holder(1, 10, true, at(2)));
    assert!(!index.record_holder(1, 10, false, at(3)));
    let holder = index.holder(1, 10, at(4)).expect("known");
    assert!(holder.is_read, "a later request does not undo the prefill");
}

#[test]
fn an_unused_holder_expires() {
    let mut index = PrefixIndex::default();
    index.record_holder(1, 10, true, at(0));
    assert_eq!(holders(&index, 1, at(14_999)), [10]);
    assert!(holders(&index, 1, at(15_000)).is_empty());
    assert!(
        index.record_holder(1, 10, true, at(15_000)),
        "an expired holder is new again"
    );
}

#[test]
fn a_failed_request_removes_its_unfinished_prefill() {
    let mut index = PrefixIndex::default();
    index.record_holder(1, 10, false, at(0));
    index.record_holder(1, 11, true, at(0));
    index.remove_unread(1, 10);
    index.remove_unread(1, 11);
    assert_eq!(holders(&index, 1, at(1)), [11]);
}

#[test]
fn a_lost_store_no_longer_holds_earlier_prefixes() {
    let mut index = PrefixIndex::default();
    let before = BootInstant::now();
    index.record_holder(1, 900, true, before);
    index.invalidate_endpoint(900);
    let now = BootInstant::now() + Duration::from_millis(1);
    assert!(holders(&index, 1, now).is_empty());
    index.record_holder(1, 900, true, now);
    assert_eq!(holders(&index, 1, now), [900]);
}

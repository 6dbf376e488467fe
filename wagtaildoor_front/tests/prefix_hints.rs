//! Hints about holders of prefixes when each of many hosts sees few of the uses.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::prefix_index::PrefixIndex;

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// A prefix is used every 300 ms, each time by the next of 38 hosts.
#[test]
fn all_hosts_know_that_a_holder_is_in_use() {
    const HOSTS: usize = 38;
    let mut indexes: Vec<PrefixIndex> = (0..HOSTS).map(|_| PrefixIndex::default()).collect();
    let mut hints = 0;
    for (turn, time) in (0..60_000).step_by(300).enumerate() {
        let host = turn % HOSTS;
        if indexes[host].record_holder(7, 1, true, at(time)) {
            hints += 1;
            for (other, index) in indexes.iter_mut().enumerate() {
                if other != host {
                    index.record_hint(7, 1, true, at(time));
                }
            }
        }
        for index in &indexes {
            let holder = index.holder(7, 1, at(time)).expect("a holder");
            let age = at(time).since(holder.last_used);
            assert!(age <= Duration::from_millis(1_200), "{age:?} at {time} ms");
        }
    }
    assert!(hints <= 60, "{hints} hints in a minute");
}

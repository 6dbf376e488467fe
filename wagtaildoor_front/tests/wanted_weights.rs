//! Time limits of weights versions that are named in quick succession.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::wanted_weights::WantedWeights;

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

#[test]
fn a_later_version_does_not_extend_the_limit_of_an_earlier_one() {
    let mut wanted = WantedWeights::new(2, at(0));
    assert!(wanted.add(3, at(500)));
    assert!(wanted.add(4, at(1_200)));
    assert_eq!(wanted.outdated_since(1), Some(at(0)));
    assert_eq!(wanted.outdated_since(2), Some(at(500)));
    assert_eq!(wanted.outdated_since(3), Some(at(1_200)));
    assert_eq!(wanted.outdated_since(4), None);
}

#[test]
fn an_older_version_that_is_read_late_changes_nothing() {
    let mut wanted = WantedWeights::new(4, at(0));
    assert!(!wanted.add(3, at(500)));
    assert_eq!((wanted.version, wanted.since), (4, at(0)));
}

#[test]
fn a_storm_of_versions_never_moves_a_limit_to_a_later_time() {
    let mut wanted = WantedWeights::new(1, at(0));
    for version in 2..200 {
        wanted.add(version, at(version * 10));
        for old in 0..version {
            let since = wanted.outdated_since(old).expect("outdated");
            assert!(since <= at((old + 1) * 10), "version {old} of {version}");
        }
    }
}

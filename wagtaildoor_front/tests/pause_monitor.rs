//! Age of news that a host reads after it stood still.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::pause_monitor::PauseMonitor;

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// A host stands still from 6.4 to 11.4 s. What it reads then may have been written at 6.4 s.
#[test]
fn news_read_after_a_pause_may_be_as_old_as_the_pause() {
    let monitor = PauseMonitor::new(at(0));
    for time in (0..=6_400).step_by(100) {
        monitor.tick(at(time));
    }
    assert_eq!(monitor.recent_pause(at(6_450)), None);
    assert_eq!(monitor.recent_pause(at(11_400)), Some(at(6_450)), "at once");
    for time in (11_400..13_300).step_by(100) {
        monitor.tick(at(time));
        assert_eq!(monitor.recent_pause(at(time)), Some(at(6_450)));
    }
    monitor.tick(at(13_400));
    assert_eq!(monitor.recent_pause(at(13_400)), None, "it has caught up");
}

#[test]
fn a_slow_host_does_not_count_as_paused() {
    let monitor = PauseMonitor::new(at(0));
    for time in (0..20_000).step_by(500) {
        monitor.tick(at(time));
        assert_eq!(monitor.recent_pause(at(time)), None);
    }
}

//! How long endpoints that the store removes are kept, by why the store gave no response before.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    endpoint_directory::RELISTING_GRACE,
    outage_watch::{
        OutageWatch,
        ResponseGap, //
    },
    pause_monitor::{
        HostAbsence,
        PauseMonitor, //
    },
};

/// Interval of reads and ticks in these tests, in milliseconds.
const STEP_MS: usize = 100;

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// What a host does in a span of milliseconds.
#[derive(Clone, Copy)]
struct HostSpan {
    until_ms: u64,
    runs: bool,
    hears_others: bool,
    store_answers: bool,
}

/// Spans in which the host runs and hears others unless said otherwise.
const CALM: HostSpan = HostSpan {
    until_ms: 0,
    runs: true,
    hears_others: true,
    store_answers: true,
};

/// Plays spans, and returns the watch at their end with the gap that it found last.
fn play(spans: &[HostSpan]) -> (OutageWatch, Option<ResponseGap>) {
    let monitor = PauseMonitor::new(at(0));
    let mut watch = OutageWatch::default();
    let mut found = None;
    let mut from_ms = 0;
    for span in spans {
        for ms in (from_ms..span.until_ms).step_by(STEP_MS) {
            if !span.runs {
                continue;
            }
            monitor.tick(at(ms));
            if span.hears_others {
                monitor.record_contact(at(ms));
            }
            if span.store_answers {
                let absence_since = |since| monitor.longest_absence(since, at(ms));
                found = watch.record_response(at(ms), absence_since).or(found);
            } else {
                watch.record_failure();
            }
        }
        from_ms = span.until_ms;
    }
    (watch, found)
}

/// Guards against DRAIN: a host takes the time in which it stood still or was cut off for an outage of
/// the store, and keeps endpoints that leave long afterwards.
#[test]
fn a_host_that_was_absent_keeps_only_what_was_removed_meanwhile() {
    let paused = HostSpan {
        until_ms: 8_500,
        runs: false,
        ..CALM
    };
    let cut_off = HostSpan {
        until_ms: 8_500,
        hears_others: false,
        store_answers: false,
        ..CALM
    };
    let heard_first = HostSpan {
        until_ms: 9_700,
        store_answers: false,
        ..CALM
    };
    let before = HostSpan {
        until_ms: 5_000,
        ..CALM
    };
    let after = |until_ms| HostSpan { until_ms, ..CALM };
    let cases = [
        ("paused", vec![before, paused, after(8_600)]),
        ("cut off", vec![before, cut_off, after(8_600)]),
        (
            "cut off, others heard before the store",
            vec![before, cut_off, heard_first, after(9_800)],
        ),
    ];
    for (name, spans) in cases {
        let (mut watch, found) = play(&spans);
        let Some(ResponseGap::Absence(absence)) = found else {
            panic!("{name}: {found:?}");
        };
        assert!(
            absence.to <= at(8_600),
            "{name}: it ended at {:?}",
            absence.to
        );
        let now = at(spans.last().expect("spans").until_ms);
        let caught_up_by = watch.relisted_by(now);
        assert_eq!(caught_up_by, Some(absence.to + RELISTING_GRACE), "{name}");
        watch.record_end();
        assert_eq!(watch.relisted_by(now), None, "{name}: what comes later");
    }
}

/// Guards against endpoints dropped after an outage of the store, and against keeping them for longer
/// than they have to register again, whenever their removal is read.
#[test]
fn after_an_outage_endpoints_are_kept_until_a_fixed_time() {
    let before = HostSpan {
        until_ms: 5_000,
        ..CALM
    };
    let outage = HostSpan {
        until_ms: 9_000,
        store_answers: false,
        ..CALM
    };
    let unheard = HostSpan {
        hears_others: false,
        ..CALM
    };
    let after = HostSpan {
        until_ms: 9_100,
        ..CALM
    };
    let cases = [
        ("others heard all the while", vec![before, outage, after]),
        (
            "no other host for long",
            vec![
                HostSpan {
                    until_ms: 1_000,
                    ..CALM
                },
                HostSpan {
                    until_ms: 5_000,
                    ..unheard
                },
                HostSpan {
                    hears_others: false,
                    ..outage
                },
                HostSpan {
                    until_ms: 9_100,
                    ..unheard
                },
            ],
        ),
        ("at the start", vec![outage, after]),
    ];
    for (name, spans) in cases {
        let (mut watch, found) = play(&spans);
        assert_eq!(found, Some(ResponseGap::Outage), "{name}");
        watch.record_end();
        let until = at(9_000) + RELISTING_GRACE;
        for ms in [9_100, 10_000, 11_200] {
            assert_eq!(watch.relisted_by(at(ms)), Some(until), "{name} at {ms} ms");
        }
        assert_eq!(watch.relisted_by(until), None, "{name}");
    }
}

#[test]
fn the_longest_absence_is_clipped_to_the_time_asked_for() {
    let monitor = PauseMonitor::new(at(0));
    monitor.record_contact(at(0));
    assert_eq!(monitor.longest_absence(at(0), at(600)), None);
    let paused = monitor.longest_absence(at(4_000), at(9_000));
    let expected = HostAbsence {
        from: at(4_000),
        to: at(9_000),
    };
    assert_eq!(paused, Some(expected));
}

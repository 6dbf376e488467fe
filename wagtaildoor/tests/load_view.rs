//! Expected waits: delayed reports, corrected by this entry's requests and their responses.

use std::time::{
    Duration,
    Instant, //
};

use wagtaildoor::load_view::{
    EndpointLoad,
    EngineRates, //
};

/// Rates at which each queued request adds 100 ms: 500 uncached tokens at 5,000 per second.
fn rates() -> EngineRates {
    EngineRates {
        prefill_tokens_per_s: 5_000.0,
    }
}

#[test]
fn the_expected_wait_follows_reports_and_own_requests() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    type Change = fn(&mut EndpointLoad, Instant);
    let cases: [(&str, Change, u32, u64, u64); 10] = [
        ("no report", |_, _| (), 0, 0, 0),
        (
            "report",
            |load, at| load.apply_report(Some(4), 5, at),
            0,
            0,
            500,
        ),
        (
            "report of 200 ms ago",
            |load, at| load.apply_report(Some(4), 5, at),
            0,
            200,
            300,
        ),
        (
            "report of 9 s ago",
            |load, at| load.apply_report(Some(4), 5, at),
            0,
            9_000,
            0,
        ),
        (
            "own request",
            |load, at| load.record_dispatch(1_000, 1_000, at),
            0,
            0,
            200,
        ),
        (
            "own request with a first token",
            |load, at| {
                load.record_dispatch(1_000, 1_000, at);
                load.record_first_token(1_000);
            },
            0,
            0,
            0,
        ),
        (
            "own request included in the report",
            |load, at| {
                load.record_dispatch(500, 500, at);
                load.apply_report(Some(0), 1, at);
            },
            0,
            0,
            100,
        ),
        (
            "own request sent after the report",
            |load, at| {
                load.record_dispatch(500, 500, at + Duration::from_millis(2));
                load.apply_report(Some(0), 1, at + Duration::from_millis(1));
            },
            0,
            2,
            199,
        ),
        (
            "other hosts send unshared tokens too",
            |load, at| load.record_dispatch(500, 50, at + Duration::from_millis(1)),
            2,
            0,
            120,
        ),
        (
            "other hosts send as much",
            |load, at| load.record_dispatch(500, 500, at + Duration::from_millis(1)),
            2,
            0,
            300,
        ),
    ];
    for (name, change, others, age_ms, expected_ms) in cases {
        let mut load = EndpointLoad::new(start);
        change(&mut load, start);
        let wait = load.expected_wait(&rates(), others, start + ms(age_ms));
        let error = wait.abs_diff(ms(expected_ms));
        assert!(error < ms(1), "{name}: {wait:?} for {expected_ms} ms");
    }
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let start = Instant::now();
    let mut load = EndpointLoad::new(start);
    load.apply_report(Some(4), 5, start + Duration::from_secs(2));
    load.apply_report(Some(4), 90, start + Duration::from_secs(1));
    let wait = load.expected_wait(&rates(), 0, start + Duration::from_secs(2));
    assert!(
        wait.abs_diff(Duration::from_millis(500)) < Duration::from_millis(1),
        "{wait:?}"
    );
}

//! Timelines: recording, merging, rendering and reading events from logs.

use std::{
    io,
    sync::{
        Arc,
        Mutex, //
    },
};

#[path = "support/seeds.rs"]
mod seeds;

use quickcheck::Arbitrary;
use slog::Logger;
use wagtaildoor::{
    logging,
    schema::{
        EventKind,
        EventPage,
        LoggingSection,
        LoggingSectionLevel,
        TimelineEvent, //
    },
    timeline::{
        html,
        log_lines,
        merge,
        EventDraft,
        EventFilter,
        EventRecorder, //
    },
};

const HOSTS: [&str; 3] = ["north-1", "north-2", "south-1"];

/// A logger that discards all lines.
fn discard_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Bytes written by a logger.
#[derive(Clone, Default)]
struct LogBytes(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBytes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("bytes").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a logger that writes to `bytes`.
fn logger(bytes: &LogBytes, level: LoggingSectionLevel) -> Logger {
    let section = LoggingSection {
        level,
        timeline_events: 100,
    };
    logging::logger_to(bytes.clone(), &section, "north-1", "entry")
}

impl LogBytes {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().expect("bytes").clone()).expect("text")
    }
}

/// An event of a request on endpoint `drafter-1`.
fn placed_event(request: &str, detail: &str) -> EventDraft {
    EventDraft::new(EventKind::RequestPlaced, detail)
        .request(request)
        .account("school")
        .endpoint("drafter-1")
}

/// Details of the events in their order.
fn details(events: &[TimelineEvent]) -> Vec<&str> {
    events.iter().map(|event| &*event.detail).collect()
}

#[test]
fn the_newest_events_are_kept_and_the_others_counted() {
    let recorder = EventRecorder::new("north-1", "entry", 3, discard_logger());
    for number in 0..5 {
        recorder.record(placed_event("r", &number.to_string()));
    }
    let page = recorder.page(&EventFilter::default());
    assert_eq!(page.dropped, 2);
    assert_eq!(details(&page.events), ["2", "3", "4"]);
}

#[test]
fn a_page_holds_the_newest_events_that_are_asked_for() {
    let recorder = EventRecorder::new("north-1", "entry", 5, discard_logger());
    for number in 0..8 {
        let request = if number % 2 == 0 { "even" } else { "odd" };
        recorder.record(placed_event(request, &number.to_string()));
    }
    let newest = |newest, request: Option<&str>| {
        let filter = EventFilter {
            newest: Some(newest),
            request: request.map(Box::from),
            ..EventFilter::default()
        };
        recorder.page(&filter)
    };
    let cases = [
        (newest(2, None), 6, vec!["6", "7"]),
        (newest(9, None), 3, vec!["3", "4", "5", "6", "7"]),
        (newest(2, Some("odd")), 4, vec!["5", "7"]),
        (newest(0, None), 8, vec![]),
    ];
    for (page, dropped, expected) in cases {
        assert_eq!((page.dropped, details(&page.events)), (dropped, expected));
    }
}

#[test]
fn filters_select_matching_events() {
    let recorder = EventRecorder::new("north-1", "entry", 10, discard_logger());
    recorder.record(placed_event("r", "placed"));
    recorder.record(EventDraft::new(EventKind::ProcessStarted, "started"));
    let wall_ms = recorder.page(&EventFilter::default()).events[0]
        .stamp
        .wall_ms;
    let request = |id: &str| EventFilter {
        request: Some(id.into()),
        ..Default::default()
    };
    let account = |id: &str| EventFilter {
        account: Some(id.into()),
        ..Default::default()
    };
    let endpoint = |id: &str| EventFilter {
        endpoint: Some(id.into()),
        ..Default::default()
    };
    let host = |id: &str| EventFilter {
        host: Some(id.into()),
        ..Default::default()
    };
    let from = |ms| EventFilter {
        from_ms: Some(ms),
        ..Default::default()
    };
    let to = |ms| EventFilter {
        to_ms: Some(ms),
        ..Default::default()
    };
    let cases = [
        ("all", EventFilter::default(), 2),
        ("request", request("r"), 1),
        ("other request", request("s"), 0),
        ("account", account("school"), 1),
        ("endpoint", endpoint("drafter-1"), 1),
        ("host", host("north-1"), 2),
        ("other host", host("north-2"), 0),
        ("from", from(wall_ms), 2),
        ("from later", from(wall_ms + 3_600_000), 0),
        ("to earlier", to(wall_ms - 1), 0),
    ];
    for (name, filter, expected) in cases {
        assert_eq!(recorder.page(&filter).events.len(), expected, "{name}");
    }
}

#[test]
fn events_are_read_back_from_the_log() {
    let bytes = LogBytes::default();
    let log = logger(&bytes, LoggingSectionLevel::Info);
    let recorder = EventRecorder::new("north-1", "entry", 10, log.clone());
    slog::info!(log, "something else"; "wall_ms" => 1);
    recorder.record(placed_event("r", "with \"quotes\"\nand lines"));
    recorder.record(EventDraft::new(EventKind::ProcessLeaving, "leaving"));
    let kept = recorder.page(&EventFilter::default()).events;
    drop((recorder, log));
    let mut text = bytes.text();
    text.push_str("{\"msg\":\"timeline event\",\"event\":\"no_such_kind\"}\n{\"cut\": \n");
    let parsed = log_lines::read_events(&text);
    assert_eq!(parsed.page.events, kept);
    assert_eq!(parsed.malformed, 2);
}

#[test]
fn an_event_from_two_sources_is_shown_once() {
    let recorder = EventRecorder::new("north-1", "entry", 10, discard_logger());
    recorder.record(placed_event("r", "once"));
    let page = recorder.page(&EventFilter::default());
    let merged = merge::merge([page.clone(), page], &EventFilter::default());
    assert_eq!(details(&merged.events), ["once"]);
    assert_eq!(merge::lanes(&merged.events).len(), 1);
}

/// One step of a run: a host records an event, possibly after it received a message.
#[derive(Clone, Debug)]
struct MessageStep {
    /// Host that records an event.
    host: usize,
    /// Host whose newest message was received before.
    from: Option<usize>,
    /// Time by which the clock of the host is ahead, in milliseconds.
    skew_ms: u64,
}

impl Arbitrary for MessageStep {
    fn arbitrary(gen: &mut quickcheck::Gen) -> Self {
        let from = usize::arbitrary(gen) % (2 * HOSTS.len());
        Self {
            host: usize::arbitrary(gen) % HOSTS.len(),
            from: (from < HOSTS.len()).then_some(from),
            skew_ms: u64::arbitrary(gen) % 60_000,
        }
    }
}

/// Runs the steps; returns whether every cause precedes its effect in the merged timeline.
fn is_merged_in_causal_order(steps: Vec<MessageStep>) -> bool {
    let recorders = HOSTS.map(|host| EventRecorder::new(host, "entry", 1000, discard_logger()));
    let mut causes: Vec<(usize, usize)> = Vec::new();
    let mut newest: [Option<usize>; HOSTS.len()] = [None; HOSTS.len()];
    for (number, step) in steps.iter().enumerate() {
        let recorder = &recorders[step.host];
        // Observing a later timestamp has the same effect as a wall clock that runs ahead.
        let clock = recorder.clock();
        let mut ahead = clock.now();
        ahead.wall_ms += step.skew_ms;
        clock.observe(ahead);
        if let Some(from) = step.from {
            clock.observe(recorders[from].clock().now());
            causes.extend(newest[from].map(|cause| (cause, number)));
        }
        causes.extend(newest[step.host].map(|cause| (cause, number)));
        recorder.record(placed_event("r", &number.to_string()));
        newest[step.host] = Some(number);
    }
    let filter = EventFilter::default();
    let pages: Vec<EventPage> = recorders
        .iter()
        .map(|recorder| recorder.page(&filter))
        .collect();
    let merged = merge::merge(pages, &filter);
    let position = |number: usize| {
        let detail = number.to_string();
        let mut events = merged.events.iter();
        events
            .position(|event| *event.detail == *detail)
            .expect("an event")
    };
    merged.events.len() == steps.len()
        && causes
            .iter()
            .all(|&(cause, effect)| position(cause) < position(effect))
}

#[test]
fn merged_time_lines_have_causes_before_effects() {
    let property = is_merged_in_causal_order as fn(Vec<MessageStep>) -> bool;
    seeds::check("timeline", property);
}

#[test]
fn the_page_has_a_lane_for_each_process_and_escapes_everything() {
    let markup = "<script>alert('x')</script>&\"";
    let recorders = [
        EventRecorder::new("north-1", "entry", 10, discard_logger()),
        EventRecorder::new("north-1", "keeper", 10, discard_logger()),
        EventRecorder::new(markup, "entry", 10, discard_logger()),
    ];
    for recorder in &recorders {
        let event = placed_event(markup, markup)
            .account(markup)
            .endpoint(markup);
        recorder.record(event);
    }
    let filter = EventFilter::default();
    let mut merged = merge::merge(
        recorders.iter().map(|recorder| recorder.page(&filter)),
        &filter,
    );
    merged.dropped = 7;
    let page = html::render_page(&merged, &[markup.to_string()]);
    assert_eq!(page.matches("<th>").count(), 1 + recorders.len());
    assert_eq!(page.matches("<div class=\"event").count(), recorders.len());
    assert!(page.contains("7 older events are not in this page"));
    assert!(page.contains("Not in this page: &lt;script&gt;"));
    assert!(!page.contains("<script"), "{page}");
    let external_references = ["http:", "https:", "src=", "href=", "@import", "url("];
    for word in external_references {
        assert!(!page.contains(word), "{word}");
    }
}

#[test]
fn logs_are_json_lines_from_the_level_on() {
    use LoggingSectionLevel as Level;
    let cases = [
        (Level::Error, 1),
        (Level::Warning, 2),
        (Level::Info, 3),
        (Level::Debug, 4),
    ];
    for (level, expected) in cases {
        let bytes = LogBytes::default();
        let log = logger(&bytes, level);
        slog::error!(log, "line");
        slog::warn!(log, "line");
        slog::info!(log, "two\nlines");
        slog::debug!(log, "line");
        drop(log);
        let text = bytes.text();
        assert_eq!(text.lines().count(), expected, "{level}: {text}");
        for line in text.lines() {
            let line: serde_json::Value = serde_json::from_str(line).expect("JSON");
            assert_eq!(
                (&line["host"], &line["process"]),
                (&"north-1".into(), &"entry".into())
            );
        }
    }
}

#[test]
fn long_details_are_cut() {
    let recorder = EventRecorder::new("north-1", "entry", 10, discard_logger());
    recorder.record(placed_event("r", &"é".repeat(100_000)));
    recorder.record(placed_event("r", "short"));
    let events = recorder.page(&EventFilter::default()).events;
    assert!(
        events[0].detail.len() <= 2 * 1024,
        "{}",
        events[0].detail.len()
    );
    assert!(events[0].detail.ends_with('…'));
    assert_eq!(&*events[1].detail, "short");
}

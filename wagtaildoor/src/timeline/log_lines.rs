//! Reads events from the JSON log lines of processes.

use serde::Deserialize;

use crate::{
    schema::{
        ClockStamp,
        EventKind,
        EventPage,
        TimelineEvent, //
    },
    timeline::EVENT_MESSAGE,
};

/// Events found in a log.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedLog {
    /// Events in the order of their lines.
    pub page: EventPage,
    /// Number of lines that are not JSON, or are events with missing fields.
    pub malformed: usize,
}

/// Fields of a log line that contains an event. Other fields are ignored.
#[derive(Deserialize)]
struct EventLine {
    /// Set by the logger.
    host: Box<str>,
    /// Set by the logger.
    process: Box<str>,
    event: EventKind,
    /// Wall time of the event's timestamp.
    wall_ms: u64,
    /// Counter of the event's timestamp.
    counter: u32,
    request: Option<Box<str>>,
    account: Option<Box<str>>,
    endpoint: Option<Box<str>>,
    detail: Box<str>,
}

/// Reads the events in JSON log lines. Lines with other messages are ignored.
pub fn read_events(text: &str) -> ParsedLog {
    let mut parsed = ParsedLog {
        page: EventPage {
            dropped: 0,
            events: Vec::new(),
        },
        malformed: 0,
    };
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match read_line(line) {
            Ok(Some(event)) => parsed.page.events.push(event),
            Ok(None) => {}
            Err(_) => parsed.malformed += 1,
        }
    }
    parsed
}

/// Parses one line; `None` if it does not contain an event.
fn read_line(line: &str) -> serde_json::Result<Option<TimelineEvent>> {
    let value: serde_json::Value = serde_json::from_str(line)?;
    let message = value.get("msg").and_then(serde_json::Value::as_str);
    if message != Some(EVENT_MESSAGE) {
        return Ok(None);
    }
    let line: EventLine = serde_json::from_value(value)?;
    Ok(Some(line.into()))
}

impl From<EventLine> for TimelineEvent {
    fn from(line: EventLine) -> Self {
        Self {
            stamp: ClockStamp {
                wall_ms: line.wall_ms,
                counter: line.counter,
            },
            host: line.host,
            process: line.process,
            kind: line.event,
            request: line.request,
            account: line.account,
            endpoint: line.endpoint,
            detail: line.detail,
        }
    }
}

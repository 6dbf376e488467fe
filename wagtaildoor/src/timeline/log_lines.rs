//! Events read back from the JSON lines that processes log.

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

/// What was found in a log.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedLog {
    /// Events, in the order of their lines.
    pub page: EventPage,
    /// Lines that were no JSON, or an event with fields missing.
    pub malformed: usize,
}

/// Fields of a log line that carries an event; it has others.
#[derive(Deserialize)]
struct EventLine {
    /// Host, from the logger.
    host: Box<str>,
    /// Program, from the logger.
    process: Box<str>,
    /// What happened.
    event: EventKind,
    /// Wall part of the stamp.
    wall_ms: u64,
    /// Counter of the stamp.
    counter: u32,
    /// Request.
    request: Option<Box<str>>,
    /// Client account.
    account: Option<Box<str>>,
    /// Endpoint.
    endpoint: Option<Box<str>>,
    /// The rest, as a sentence.
    detail: Box<str>,
}

/// Reads the events in a text of JSON lines. Other lines of the log are passed over.
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

/// The event of one line; `None` when the line is about something else.
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

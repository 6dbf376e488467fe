//! Splits a stream of server-sent events at event boundaries.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Size of an event from which on the stream counts as broken, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits an endpoint's stream so that only complete events of the stream are forwarded to the caller.
///
/// The ids of a stream's events increase. Once one had an id, what has none or an earlier one is
/// something else, such as the text of an error, and ends the stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Start of an event whose end has not arrived yet.
    partial: BytesMut,
    /// Id of the last complete event.
    last_id: Option<u64>,
    /// Events up to this id are skipped because the caller already received them.
    skip_through: Option<u64>,
    /// Whether something else than an event of the stream has arrived.
    is_foreign: bool,
}

/// What a complete event is to the caller.
enum EventKind {
    /// The caller has it already.
    Known,
    /// It continues the stream.
    Next,
    /// It does not belong to the stream.
    Foreign,
}

impl EventSplitter {
    /// Creates a splitter for a resumed stream; events up to `last_id` are skipped.
    pub fn resumed_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            skip_through: last_id,
            ..Self::default()
        }
    }

    /// Adds received bytes and returns the events that they complete, up to the first one that does not
    /// belong to the stream.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        if self.is_foreign {
            return Bytes::new();
        }
        if self.partial.is_empty() && data.ends_with(b"\n\n") {
            return self.take_events(data);
        }
        self.partial.extend_from_slice(&data);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        self.take_events(complete)
    }

    /// Whether an event is larger than any sound one, so that it may have no end.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() >= MAX_EVENT_BYTES
    }

    /// Whether something that is no event of the stream has arrived.
    pub fn is_foreign(&self) -> bool {
        self.is_foreign
    }

    /// Whether the stream ended within an event so far.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the events that the caller lacks.
    fn take_events(&mut self, complete: Bytes) -> Bytes {
        let (mut start, mut end) = (0, 0);
        while end < complete.len() {
            let event = &complete[end..];
            let event = &event[..first_event_end(event).unwrap_or(event.len())];
            end += event.len();
            match self.judge_event(event) {
                EventKind::Known => start = end,
                EventKind::Next => {}
                EventKind::Foreign => {
                    self.is_foreign = true;
                    end -= event.len();
                    break;
                }
            }
        }
        complete.slice(start..end)
    }

    /// Judges an event by its id, and records it as the last one if it continues the stream.
    fn judge_event(&mut self, event: &[u8]) -> EventKind {
        if is_comment(event) {
            return match self.skip_through {
                Some(_) => EventKind::Known,
                None => EventKind::Next,
            };
        }
        let id = event_id(event);
        if id.is_some() && id <= self.skip_through {
            return EventKind::Known;
        }
        if self.last_id.is_some() && id <= self.last_id {
            return EventKind::Foreign;
        }
        self.skip_through = None;
        self.last_id = id;
        EventKind::Next
    }
}

/// Offset after the last complete event.
fn last_event_end(data: &[u8]) -> Option<usize> {
    let plain = data.windows(2).rposition(|pair| pair == b"\n\n");
    let plain = plain.map(|offset| offset + 2);
    let crlf = data.windows(4).rposition(|four| four == b"\r\n\r\n");
    plain.max(crlf.map(|offset| offset + 4))
}

/// Offset after the first complete event.
fn first_event_end(data: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(offset) = data[from..].iter().position(|&byte| byte == b'\n') {
        from += offset + 1;
        match &data[from..] {
            [b'\n', ..] => return Some(from + 1),
            [b'\r', b'\n', ..] => return Some(from + 2),
            _ => {}
        }
    }
    None
}

/// Whether an event consists of comments, which have no id.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|&byte| byte == b'\n');
    lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
}

/// Id of the last event that has one.
fn event_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

//! Splits a stream of server-sent events at event boundaries.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Size of an event from which on the stream counts as broken, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits an endpoint's stream so that only complete events are forwarded to the caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Start of an event whose end has not arrived yet.
    partial: BytesMut,
    /// Id of the last complete event.
    last_id: Option<u64>,
    /// Events up to this id are skipped because the caller already received them.
    skip_through: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a resumed stream; events up to `last_id` are skipped.
    pub fn resumed_after(last_id: Option<u64>) -> Self {
        Self {
            partial: BytesMut::new(),
            last_id,
            skip_through: last_id,
        }
    }

    /// Adds received bytes and returns the events that they complete.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() && data.ends_with(b"\n\n") && self.skip_through.is_none() {
            self.record_last_id(&data);
            return data;
        }
        self.partial.extend_from_slice(&data);
        let Some(end) = last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        let complete = self.skip_known_events(complete);
        self.record_last_id(&complete);
        complete
    }

    /// Whether an event is larger than any sound one, so that it may have no end.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() >= MAX_EVENT_BYTES
    }

    /// Whether the stream ended within an event so far.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops events that the caller already received.
    fn skip_known_events(&mut self, complete: Bytes) -> Bytes {
        let Some(known) = self.skip_through else {
            return complete;
        };
        let mut start = 0;
        while start < complete.len() {
            let end = first_event_end(&complete[start..]).map_or(complete.len(), |end| start + end);
            let id = event_id(&complete[start..end]);
            if id.is_none_or(|id| id > known) {
                self.skip_through = None;
                break;
            }
            start = end;
        }
        complete.slice(start..)
    }

    fn record_last_id(&mut self, events: &[u8]) {
        if let Some(id) = event_id(events) {
            self.last_id = Some(id);
        }
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
    let plain = data.windows(2).position(|pair| pair == b"\n\n");
    let plain = plain.map(|offset| offset + 2);
    let crlf = data.windows(4).position(|four| four == b"\r\n\r\n");
    let crlf = crlf.map(|offset| offset + 4);
    match (plain, crlf) {
        (Some(plain), Some(crlf)) => Some(plain.min(crlf)),
        (plain, crlf) => plain.or(crlf),
    }
}

/// Id of the last event that has one.
fn event_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|&byte| byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.next()?).ok()?;
    id.trim().parse().ok()
}

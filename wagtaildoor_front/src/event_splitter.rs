//! Cuts a stream of server-sent events into whole events.

use bytes::{
    Bytes,
    BytesMut, //
};

/// Cuts what comes from an endpoint, so that only whole events go on to the caller.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Start of an event whose end has not come yet.
    rest: BytesMut,
    /// Id of the last whole event.
    last_id: Option<u64>,
    /// Events up to this one are left out: the caller has them.
    skip_through: Option<u64>,
}

impl EventSplitter {
    /// A splitter for a stream that goes on after an event that the caller has.
    pub fn resumed_after(last_id: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last_id,
            skip_through: last_id,
        }
    }

    /// Takes bytes, and gives the events that are now whole.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        if self.rest.is_empty() && data.ends_with(b"\n\n") && self.skip_through.is_none() {
            self.record_last_id(&data);
            return data;
        }
        self.rest.extend_from_slice(&data);
        let Some(end) = last_event_end(&self.rest) else {
            return Bytes::new();
        };
        let whole = self.rest.split_to(end).freeze();
        let whole = self.skip_known_events(whole);
        self.record_last_id(&whole);
        whole
    }

    /// Bytes after the last whole event.
    pub fn into_partial_event(self) -> Bytes {
        self.rest.freeze()
    }

    /// Whether bytes of an unfinished event wait.
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Leaves out events that the caller has.
    fn skip_known_events(&mut self, whole: Bytes) -> Bytes {
        let Some(known) = self.skip_through else {
            return whole;
        };
        let mut start = 0;
        while start < whole.len() {
            let end = first_event_end(&whole[start..]).map_or(whole.len(), |end| start + end);
            let id = event_id(&whole[start..end]);
            if id.is_none_or(|id| id > known) {
                self.skip_through = None;
                break;
            }
            start = end;
        }
        whole.slice(start..)
    }

    /// Notes the id of the last event.
    fn record_last_id(&mut self, events: &[u8]) {
        if let Some(id) = event_id(events) {
            self.last_id = Some(id);
        }
    }
}

/// End of the last whole event.
fn last_event_end(data: &[u8]) -> Option<usize> {
    let plain = data.windows(2).rposition(|pair| pair == b"\n\n");
    let plain = plain.map(|at| at + 2);
    let crlf = data.windows(4).rposition(|four| four == b"\r\n\r\n");
    plain.max(crlf.map(|at| at + 4))
}

/// End of the first event.
fn first_event_end(data: &[u8]) -> Option<usize> {
    let plain = data.windows(2).position(|pair| pair == b"\n\n");
    let plain = plain.map(|at| at + 2);
    let crlf = data.windows(4).position(|four| four == b"\r\n\r\n");
    let crlf = crlf.map(|at| at + 4);
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

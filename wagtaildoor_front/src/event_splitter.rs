//! Splits a stream of server-sent events at event boundaries.

use bytes::{
    Bytes,
    BytesMut, //
};

use crate::service_config::RouteKind;

mod event_syntax;

/// Size of an event from which on the stream counts as broken, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits an endpoint's stream so that only complete events of the stream are forwarded to the caller.
///
/// The ids of a stream's events increase. Once one had an id, what has none or an earlier one is
/// something else, such as the text of an error, and ends the stream. The same goes for what does not
/// have the form of an event.
///
/// A stream that may be resumed passes on nothing before its first id, as a run that begins anew would
/// follow what the caller already has. A second event without an id shows that the stream has none; it
/// is passed on and cannot be resumed any more.
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
    /// Whether the events of the stream have ids.
    numbering: EventNumbering,
    /// What came before the first id of a stream that may be resumed.
    early_part: BytesMut,
}

/// What is known of the ids of a stream that has shown none yet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum EventNumbering {
    /// The stream cannot be resumed, so that its events need no ids.
    #[default]
    Optional,
    /// The stream may be resumed, so that its events should have ids.
    Expected,
    /// The stream may be resumed, but its first event has no id.
    Doubtful,
    /// The stream has no ids.
    Absent,
}

/// What a complete event is to the caller.
enum EventKind {
    /// The caller has it already.
    Known,
    /// It waits for the first id.
    Early,
    /// It continues the stream.
    Next,
    /// It does not belong to the stream.
    Foreign,
}

impl EventSplitter {
    /// Creates a splitter for the first source of a stream.
    pub fn for_route(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Stream { resumable: true } => Self::resumed_after(None),
            _ => Self::default(),
        }
    }

    /// Creates a splitter for a source that goes on with a stream; events up to `last_id` are skipped.
    /// `None` if the caller has received nothing.
    pub fn resumed_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            skip_through: last_id,
            numbering: EventNumbering::Expected,
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
        let Some(end) = event_syntax::last_event_end(&self.partial) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        self.take_events(complete)
    }

    /// Whether an event is larger than any sound one, so that it may have no end. What came before the
    /// first id counts as well.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() + self.early_part.len() >= MAX_EVENT_BYTES
    }

    /// Size of what waits for the first id, in bytes.
    pub fn early_bytes(&self) -> usize {
        self.early_part.len()
    }

    /// Takes the comments that wait for the first id, once the stream has ended without one.
    pub fn take_early_comments(&mut self) -> Bytes {
        self.early_part.split().freeze()
    }

    /// Whether an event without an id waits for the first id.
    pub fn is_doubtful(&self) -> bool {
        self.numbering == EventNumbering::Doubtful
    }

    /// Whether events without ids were passed on, behind which nothing can be resumed.
    pub fn has_no_ids(&self) -> bool {
        self.numbering == EventNumbering::Absent
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
            let event_end = event_syntax::first_event_end(event);
            let event = &event[..event_end.unwrap_or(event.len())];
            end += event.len();
            match self.judge_event(event) {
                EventKind::Known => start = end,
                EventKind::Early => {
                    self.early_part.extend_from_slice(event);
                    start = end;
                }
                EventKind::Next => {}
                EventKind::Foreign => {
                    self.is_foreign = true;
                    end -= event.len();
                    break;
                }
            }
        }
        let events = complete.slice(start..end);
        if self.early_part.is_empty() || events.is_empty() {
            return events;
        }
        self.early_part.extend_from_slice(&events);
        self.early_part.split().freeze()
    }

    /// Judges an event by its form and id, and records it as the last one if it continues the stream.
    fn judge_event(&mut self, event: &[u8]) -> EventKind {
        if event_syntax::is_comment(event) {
            return match self.skip_through {
                Some(_) => EventKind::Known,
                None if self.waits_for_id() => EventKind::Early,
                None => EventKind::Next,
            };
        }
        let has_form = match self.numbering {
            EventNumbering::Optional => !event_syntax::is_plain_text(event),
            _ => event_syntax::has_event_form(event),
        };
        if !has_form {
            return EventKind::Foreign;
        }
        let id = event_syntax::event_id(event);
        if id.is_some() && id <= self.skip_through {
            return EventKind::Known;
        }
        if self.last_id.is_some() && id <= self.last_id {
            return EventKind::Foreign;
        }
        if self.waits_for_id() {
            match (self.numbering, id) {
                (EventNumbering::Expected, None) => {
                    self.numbering = EventNumbering::Doubtful;
                    return EventKind::Early;
                }
                (EventNumbering::Doubtful, Some(_)) => return EventKind::Foreign,
                (EventNumbering::Doubtful, None) => self.numbering = EventNumbering::Absent,
                _ => {}
            }
        }
        self.skip_through = None;
        self.last_id = id;
        EventKind::Next
    }

    /// Whether nothing is passed on yet, since the stream may be resumed and has shown no id.
    fn waits_for_id(&self) -> bool {
        let numbering = self.numbering;
        let may_show_id = matches!(
            numbering,
            EventNumbering::Expected | EventNumbering::Doubtful
        );
        may_show_id && self.last_id.is_none()
    }
}

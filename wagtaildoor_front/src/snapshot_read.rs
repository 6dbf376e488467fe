//! Progress through a snapshot that the store gives in parts.

use std::time::Duration;

use wagtaildoor::ids::LogOffset;

use crate::control_store::{
    ControlPage,
    ControlRecord,
    SnapshotPart, //
};

/// Patience after the first part that did not come in time; it doubles from then on.
const EXTRA_TIMEOUT_MIN: Duration = Duration::from_millis(500);
/// Longest patience; a few hundred hosts that start at once have read all they need in that time
/// at the store's rate.
const EXTRA_TIMEOUT_MAX: Duration = Duration::from_secs(2);

/// A snapshot that is being read.
///
/// When many hosts start at once, the store's answers queue up. A part that fails is asked for
/// again with more patience, and parts that came are kept; starting over would make the queue
/// longer each time.
#[derive(Debug, Default)]
pub struct SnapshotReader {
    /// Records so far.
    records: Vec<ControlRecord>,
    /// End of the stream when the first part was read; what changed later is read from there.
    end: Option<LogOffset>,
    /// Key after which the next part begins.
    after: Option<Box<str>>,
    /// Time beyond the usual one that the next part may take.
    extra_timeout: Duration,
}

impl SnapshotReader {
    /// Key after which the next part begins.
    pub fn after_key(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Time beyond the usual one that the next part may take.
    pub fn extra_timeout(&self) -> Duration {
        self.extra_timeout
    }

    /// Notes that the next part did not come.
    pub fn record_failure(&mut self) {
        self.extra_timeout = (self.extra_timeout * 2).clamp(EXTRA_TIMEOUT_MIN, EXTRA_TIMEOUT_MAX);
    }

    /// Takes a part; gives the whole snapshot after the last one.
    pub fn add_part(&mut self, part: SnapshotPart) -> Option<ControlPage> {
        let next = *self.end.get_or_insert(part.end);
        self.records.extend(part.records);
        self.after = part.more_after;
        if self.after.is_some() {
            return None;
        }
        let whole = std::mem::take(self);
        Some(ControlPage {
            records: whole.records,
            next,
            has_more: false,
        })
    }
}

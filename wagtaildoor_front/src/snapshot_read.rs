//! Assembly of a snapshot that the store returns in parts.

use std::time::Duration;

use crate::{
    control_store::{
        ControlPage,
        ControlRecord,
        SnapshotPart, //
    },
    stream_position::StreamPosition,
};

/// Extra timeout after the first part that timed out; it doubles with each further one.
const MIN_EXTRA_TIMEOUT: Duration = Duration::from_millis(500);
/// Highest extra timeout. At the store's rate, a few hundred hosts that start at once have read
/// all they need within that time.
const MAX_EXTRA_TIMEOUT: Duration = Duration::from_secs(2);

/// Progress of reading a snapshot.
///
/// When many hosts start at once, requests queue up at the store. A part that times out is retried
/// with a longer timeout, and earlier parts are kept; starting over would only lengthen the queue.
#[derive(Debug, Default)]
pub struct SnapshotReader {
    records: Vec<ControlRecord>,
    /// End of the stream at the first part, from which later changes are read.
    end: Option<StreamPosition>,
    /// Last key of the previous part; the next part starts after it.
    after: Option<Box<str>>,
    /// Time added to the usual timeout of the next part.
    extra_timeout: Duration,
}

impl SnapshotReader {
    /// Last key read so far, after which the next part starts; `None` for the first part.
    pub fn after_key(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// Time to add to the usual timeout of the next part.
    pub fn extra_timeout(&self) -> Duration {
        self.extra_timeout
    }

    /// Extends the timeout after the next part failed to arrive.
    pub fn record_failure(&mut self) {
        self.extra_timeout = (self.extra_timeout * 2).clamp(MIN_EXTRA_TIMEOUT, MAX_EXTRA_TIMEOUT);
    }

    /// Adds a part; returns the complete snapshot if it was the last one. If the store was restored since
    /// the first part, the snapshot starts over.
    pub fn add_part(&mut self, part: SnapshotPart) -> Option<ControlPage> {
        let next = *self.end.get_or_insert(part.end);
        if next.era != part.end.era {
            *self = Self::default();
            return None;
        }
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

//! The newest records of the streams that a host follows, for itself and for other hosts.

use std::collections::HashMap;

use wagtaildoor::ids::LogOffset;

use crate::control_store::{
    ControlPage,
    ControlRecord,
    ControlStream, //
};

/// Records of one stream.
#[derive(Debug, Default)]
struct StreamMirror {
    /// Newest record of each key; keys that were taken away stay as such.
    records: HashMap<Box<str>, ControlRecord>,
    /// Offset from which to read on; 0 when nothing was read.
    next: LogOffset,
}

/// Records of both streams.
#[derive(Debug, Default)]
pub struct RecordMirror {
    /// What the operator writes.
    operator: StreamMirror,
    /// What endpoints say of themselves.
    endpoints: StreamMirror,
}

impl RecordMirror {
    /// Takes a record; `false` if one at least as new is held for its key.
    pub fn insert_if_newer(&mut self, stream: ControlStream, record: &ControlRecord) -> bool {
        let mirror = self.stream_mut(stream);
        let known = mirror.records.get(&record.key);
        let newer = known.is_none_or(|known| record.offset > known.offset);
        if newer {
            mirror.records.insert(record.key.clone(), record.clone());
        }
        newer
    }

    /// Drops the record of a key that a complete list does not name.
    pub fn remove(&mut self, stream: ControlStream, key: &str) {
        self.stream_mut(stream).records.remove(key);
    }

    /// Notes how far a stream was read.
    pub fn advance(&mut self, stream: ControlStream, next: LogOffset) {
        let mirror = self.stream_mut(stream);
        mirror.next = mirror.next.max(next);
    }

    /// Offset from which to read a stream on; 0 when nothing was read.
    pub fn next_offset(&self, stream: ControlStream) -> LogOffset {
        self.stream(stream).next
    }

    /// Number of keys of a stream of which a record is held.
    pub fn len(&self, stream: ControlStream) -> usize {
        self.stream(stream).records.len()
    }

    /// Offset of the newest record of a key.
    pub fn record_offset(&self, stream: ControlStream, key: &str) -> Option<LogOffset> {
        self.stream(stream)
            .records
            .get(key)
            .map(|record| record.offset)
    }

    /// The newest record of each key from an offset on.
    pub fn page_from(&self, stream: ControlStream, from: LogOffset) -> ControlPage {
        let mirror = self.stream(stream);
        let records = mirror.records.values();
        let mut records: Vec<ControlRecord> = records
            .filter(|record| record.offset >= from)
            .cloned()
            .collect();
        records.sort_by_key(|record| record.offset);
        ControlPage {
            records,
            next: mirror.next,
            has_more: false,
        }
    }

    /// A stream.
    fn stream(&self, stream: ControlStream) -> &StreamMirror {
        match stream {
            ControlStream::Operator => &self.operator,
            ControlStream::Endpoints => &self.endpoints,
        }
    }

    /// A stream, to change.
    fn stream_mut(&mut self, stream: ControlStream) -> &mut StreamMirror {
        match stream {
            ControlStream::Operator => &mut self.operator,
            ControlStream::Endpoints => &mut self.endpoints,
        }
    }
}

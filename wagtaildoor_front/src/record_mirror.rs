//! In-memory copy of the newest stream records, from which other hosts can be served.

use std::collections::HashMap;

use wagtaildoor::ids::LogOffset;

use crate::control_store::{
    ControlPage,
    ControlRecord,
    ControlStream, //
};

/// Copy of one stream.
#[derive(Debug, Default)]
struct StreamMirror {
    /// Newest record of each key. Deleted keys keep a record without a value.
    records: HashMap<Box<str>, ControlRecord>,
    /// Offset up to which the stream was read; 0 if nothing was read.
    next_offset: LogOffset,
}

/// Newest records of all streams.
#[derive(Debug, Default)]
pub struct RecordMirror {
    operator: StreamMirror,
    endpoints: StreamMirror,
    crash_reports: StreamMirror,
}

impl RecordMirror {
    /// Inserts a record; returns `false` if the key already has a record at least as new.
    pub fn insert_if_newer(&mut self, stream: ControlStream, record: &ControlRecord) -> bool {
        let mirror = self.stream_mut(stream);
        let known = mirror.records.get(&record.key);
        let is_newer = known.is_none_or(|known| record.offset > known.offset);
        if is_newer {
            mirror.records.insert(record.key.clone(), record.clone());
        }
        is_newer
    }

    /// Removes the record of a key that a snapshot does not contain.
    pub fn remove(&mut self, stream: ControlStream, key: &str) {
        self.stream_mut(stream).records.remove(key);
    }

    /// Records that a stream was read up to an offset. The offset never goes back.
    pub fn advance(&mut self, stream: ControlStream, next_offset: LogOffset) {
        let mirror = self.stream_mut(stream);
        mirror.next_offset = mirror.next_offset.max(next_offset);
    }

    /// Offset of the next read of a stream; 0 if nothing was read.
    pub fn next_offset(&self, stream: ControlStream) -> LogOffset {
        self.stream(stream).next_offset
    }

    /// Number of keys in a stream, including deleted ones.
    pub fn len(&self, stream: ControlStream) -> usize {
        self.stream(stream).records.len()
    }

    /// Offset of the newest record of a key; `None` for an unknown key.
    pub fn record_offset(&self, stream: ControlStream, key: &str) -> Option<LogOffset> {
        self.stream(stream)
            .records
            .get(key)
            .map(|record| record.offset)
    }

    /// Newest record of each key whose offset is at least `from`, in ascending order of offset.
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
            next: mirror.next_offset,
            has_more: false,
        }
    }

    fn stream(&self, stream: ControlStream) -> &StreamMirror {
        match stream {
            ControlStream::Operator => &self.operator,
            ControlStream::Endpoints => &self.endpoints,
            ControlStream::CrashReports => &self.crash_reports,
        }
    }

    fn stream_mut(&mut self, stream: ControlStream) -> &mut StreamMirror {
        match stream {
            ControlStream::Operator => &mut self.operator,
            ControlStream::Endpoints => &mut self.endpoints,
            ControlStream::CrashReports => &mut self.crash_reports,
        }
    }
}

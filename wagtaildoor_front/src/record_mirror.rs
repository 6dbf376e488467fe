//! In-memory copy of the newest stream records, from which other hosts can be served.

use std::collections::HashMap;

use crate::{
    control_store::{
        ContentRank,
        ControlPage,
        ControlRecord,
        ControlStream, //
    },
    stream_position::{
        StoreEra,
        StreamPosition, //
    },
};

/// What a record changes in the mirror.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MirrorChange {
    /// The record is the newest of its key.
    Inserted,
    /// The known content is newer than that of the record, which a restored store has at a later
    /// position. The known content takes that position.
    CarriedOver,
    /// The record is older than the known one, or the same.
    None,
}

/// Newest record of a key.
#[derive(Debug)]
struct MirrorEntry {
    record: ControlRecord,
    /// Rank of the content; of a deleted key, of the content that it had.
    rank: Option<ContentRank>,
}

/// Copy of one stream.
#[derive(Debug, Default)]
struct StreamMirror {
    /// Newest record of each key. Deleted keys keep a record without a value.
    entries: HashMap<Box<str>, MirrorEntry>,
    /// Position up to which the stream was read.
    next: StreamPosition,
}

/// Newest records of all streams.
#[derive(Debug, Default)]
pub struct RecordMirror {
    operator: StreamMirror,
    endpoints: StreamMirror,
    crash_reports: StreamMirror,
}

impl MirrorEntry {
    /// Whether the known content is newer than a record with the given position and rank.
    ///
    /// Positions tell that only within an era: a store that comes back from a copy has old content at
    /// new positions. An endpoint that is gone stays so until it has written again.
    fn outranks(&self, position: StreamPosition, rank: Option<ContentRank>) -> bool {
        let (Some(known), Some(rank)) = (self.rank, rank) else {
            return false;
        };
        match self.record.value {
            Some(_) => rank < known,
            None => rank <= known && position.era > self.record.position.era,
        }
    }
}

impl RecordMirror {
    /// Inserts a record whose content has the given rank, unless it is older than the known one.
    pub fn insert(
        &mut self,
        stream: ControlStream,
        record: &ControlRecord,
        rank: Option<ContentRank>,
    ) -> MirrorChange {
        let mirror = self.stream_mut(stream);
        let next = mirror.next;
        let Some(known) = mirror.entries.get_mut(&record.key) else {
            let entry = MirrorEntry {
                record: record.clone(),
                rank,
            };
            mirror.entries.insert(record.key.clone(), entry);
            return MirrorChange::Inserted;
        };
        if record.position <= known.record.position {
            // What the operator has confirmed holds, though the store's copy lacks it.
            let is_newer = stream == ControlStream::Operator && known.rank < rank;
            if !is_newer {
                return MirrorChange::None;
            }
        } else if known.outranks(record.position, rank) {
            known.record.position = record.position;
            return MirrorChange::CarriedOver;
        }
        if stream == ControlStream::Operator && rank.is_none() && known.rank.is_some() {
            // What cannot be read does not replace what is in force.
            known.record.position = record.position;
            return MirrorChange::Inserted;
        }
        let position = known.record.position.max(record.position);
        known.record = record.clone();
        known.record.position = match stream {
            // Hosts that have read up to the end of a copy ask only for what comes after it.
            ControlStream::Operator if record.position < position => position.max(next),
            _ => position,
        };
        known.rank = rank.or(known.rank);
        MirrorChange::Inserted
    }

    /// Removes the record of a key.
    pub fn remove(&mut self, stream: ControlStream, key: &str) {
        self.stream_mut(stream).entries.remove(key);
    }

    /// Marks a key as deleted that the stream does not contain any more.
    pub fn mark_deleted(&mut self, stream: ControlStream, key: &str) {
        if let Some(entry) = self.stream_mut(stream).entries.get_mut(key) {
            entry.record.value = None;
        }
    }

    /// Removes the records that were read in an era before `era`.
    pub fn remove_before(&mut self, stream: ControlStream, era: StoreEra) {
        let entries = &mut self.stream_mut(stream).entries;
        entries.retain(|_, entry| entry.record.position.era >= era);
    }

    /// Records that a stream was read up to a position. The position never goes back.
    pub fn advance(&mut self, stream: ControlStream, next: StreamPosition) {
        let mirror = self.stream_mut(stream);
        mirror.next = mirror.next.max(next);
    }

    /// Position of the next read of a stream.
    pub fn next(&self, stream: ControlStream) -> StreamPosition {
        self.stream(stream).next
    }

    /// Number of keys in a stream, including deleted ones.
    pub fn len(&self, stream: ControlStream) -> usize {
        self.stream(stream).entries.len()
    }

    /// Position of the newest record of a key; `None` for an unknown key.
    pub fn record_position(&self, stream: ControlStream, key: &str) -> Option<StreamPosition> {
        let entry = self.stream(stream).entries.get(key);
        entry.map(|entry| entry.record.position)
    }

    /// Whether a key has a value.
    pub fn has_value(&self, stream: ControlStream, key: &str) -> bool {
        let entry = self.stream(stream).entries.get(key);
        entry.is_some_and(|entry| entry.record.value.is_some())
    }

    /// Newest record of each key at or after `from`, in ascending order of position.
    pub fn page_from(&self, stream: ControlStream, from: StreamPosition) -> ControlPage {
        let mirror = self.stream(stream);
        let records = mirror.entries.values().map(|entry| &entry.record);
        let mut records: Vec<ControlRecord> = records
            .filter(|record| record.position >= from)
            .cloned()
            .collect();
        records.sort_by_key(|record| record.position);
        ControlPage {
            records,
            next: mirror.next,
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

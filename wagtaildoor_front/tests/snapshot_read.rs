//! Reading a snapshot in parts while many hosts start at once and requests queue up at the store.

use std::time::Duration;

use wagtaildoor_front::{
    control_store::{
        ControlRecord,
        SnapshotPart, //
    },
    snapshot_read::SnapshotReader,
    stream_position::StreamPosition,
};

/// Creates records whose keys and offsets are these numbers.
fn records(keys: std::ops::Range<u64>) -> Vec<ControlRecord> {
    let record = |offset| ControlRecord {
        position: StreamPosition::new(0, offset),
        key: format!("key-{offset:05}").into(),
        value: None,
    };
    keys.map(record).collect()
}

/// A store that serves requests one after another at a limited rate.
struct QueueingStore {
    /// Number of records in the store.
    records: u64,
    /// Records per part.
    part: u64,
    /// Total rate for all hosts, in records per millisecond.
    records_per_ms: u64,
    /// Time at which all requests so far are served, in milliseconds.
    busy_until: u64,
}

impl QueueingStore {
    /// Serves a request sent at `now`; returns the time of the response, and the part.
    fn serve(&mut self, after: Option<&str>, now: u64) -> (u64, SnapshotPart) {
        let first = after.map_or(0, |key| {
            key["key-".len()..].parse::<u64>().expect("a key") + 1
        });
        let last = (first + self.part).min(self.records);
        let start = self.busy_until.max(now);
        self.busy_until = start + (last - first) / self.records_per_ms;
        let records = records(first..last);
        let more_after = records.last().map(|r| r.key.clone());
        let part = SnapshotPart {
            end: StreamPosition::new(0, self.records),
            more_after: more_after.filter(|_| last < self.records),
            records,
        };
        (self.busy_until, part)
    }
}

/// Starts all hosts at once, and returns the time in milliseconds until all have the snapshot.
/// Returns `None` if that takes longer than a minute.
fn start_hosts(hosts: usize, store: &mut QueueingStore, timeout_ms: u64) -> Option<u64> {
    let mut reads: Vec<(u64, SnapshotReader)> = Vec::new();
    reads.resize_with(hosts, || (0, SnapshotReader::default()));
    let mut last = 0;
    while let Some(index) = (0..reads.len()).min_by_key(|&index| reads[index].0) {
        let (now, read) = &mut reads[index];
        if *now > 60_000 {
            return None;
        }
        let (responded_at, part) = store.serve(read.after_key(), *now);
        let deadline = *now + timeout_ms + read.extra_timeout().as_millis() as u64;
        if responded_at > deadline {
            read.record_failure();
            *now = deadline;
        } else if read.add_part(part).is_some() {
            last = last.max(responded_at);
            reads.swap_remove(index);
        } else {
            *now = responded_at;
        }
    }
    Some(last)
}

#[test]
fn three_hundred_hosts_that_start_at_once_all_read_the_snapshot() {
    let mut store = QueueingStore {
        records: 3_000,
        part: 500,
        records_per_ms: 240,
        busy_until: 0,
    };
    let took_ms = start_hosts(300, &mut store, 700).expect("all finish within a minute");
    // Serving the records alone takes the store 3.75 s.
    assert!(
        took_ms <= 8_000,
        "the last host finished after {took_ms} ms"
    );
}

#[test]
fn the_parts_form_one_page_that_ends_where_the_first_part_ended() {
    let mut read = SnapshotReader::default();
    let part = |keys, end, more: Option<&str>| SnapshotPart {
        records: records(keys),
        end: StreamPosition::new(0, end),
        more_after: more.map(Into::into),
    };
    assert_eq!(read.after_key(), None);
    assert!(read.add_part(part(0..2, 7, Some("key-00001"))).is_none());
    assert_eq!(read.after_key(), Some("key-00001"));
    read.record_failure();
    assert_eq!(
        read.after_key(),
        Some("key-00001"),
        "earlier parts are kept"
    );
    let page = read.add_part(part(2..3, 9, None)).expect("the last part");
    let end = StreamPosition::new(0, 7);
    assert_eq!(
        page.next, end,
        "changes since the first part are read again"
    );
    assert_eq!(page.records, records(0..3));
    assert_eq!(
        read.after_key(),
        None,
        "the next snapshot starts from the first key"
    );
}

#[test]
fn the_extra_timeout_grows_with_failures_and_is_bounded() {
    let mut read = SnapshotReader::default();
    assert_eq!(read.extra_timeout(), Duration::ZERO);
    let mut before = Duration::ZERO;
    for _ in 0..2 {
        read.record_failure();
        assert!(read.extra_timeout() > before);
        before = read.extra_timeout();
    }
    for _ in 0..20 {
        read.record_failure();
    }
    assert!(read.extra_timeout() <= Duration::from_secs(2));
}

/// Guards against a snapshot that is half of the store and half of the copy from which it was restored.
#[test]
fn a_snapshot_starts_over_if_the_store_is_restored_between_its_parts() {
    let mut read = SnapshotReader::default();
    let part = |keys, era, end, more: Option<&str>| SnapshotPart {
        records: records(keys),
        end: StreamPosition::new(era, end),
        more_after: more.map(Into::into),
    };
    assert!(read.add_part(part(0..2, 1, 9, Some("key-00001"))).is_none());
    assert!(read.add_part(part(2..3, 2, 4, None)).is_none());
    assert_eq!(read.after_key(), None, "the first part is read again");
    let page = read
        .add_part(part(0..3, 2, 4, None))
        .expect("the only part");
    assert_eq!(page.next, StreamPosition::new(2, 4));
    assert_eq!(page.records.len(), 3);
}

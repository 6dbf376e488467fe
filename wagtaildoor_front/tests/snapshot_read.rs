//! Reading a snapshot in parts while many hosts start at once: the store's answers queue up.

use std::time::Duration;

use wagtaildoor_front::{
    control_store::{
        ControlRecord,
        SnapshotPart, //
    },
    snapshot_read::SnapshotReader,
};

/// Records with these keys.
fn records(keys: std::ops::Range<u64>) -> Vec<ControlRecord> {
    let record = |offset| ControlRecord {
        offset,
        key: format!("key-{offset:05}").into(),
        value: None,
    };
    keys.map(record).collect()
}

/// A store that gives answers one after another, as it must for all hosts that start.
struct QueueingStore {
    /// Records that it has.
    records: u64,
    /// Records that it gives at a time.
    part: u64,
    /// Records that it gives in a millisecond, to all hosts together.
    records_per_ms: u64,
    /// When it has answered all calls so far, in milliseconds.
    busy_until: u64,
}

impl QueueingStore {
    /// A call at `now`: when its answer is there, and the answer.
    fn call(&mut self, after: Option<&str>, now: u64) -> (u64, SnapshotPart) {
        let first = after.map_or(0, |key| {
            key["key-".len()..].parse::<u64>().expect("a key") + 1
        });
        let last = (first + self.part).min(self.records);
        let start = self.busy_until.max(now);
        self.busy_until = start + (last - first) / self.records_per_ms;
        let records = records(first..last);
        let more_after = records.last().map(|r| r.key.clone());
        let part = SnapshotPart {
            end: self.records,
            more_after: more_after.filter(|_| last < self.records),
            records,
        };
        (self.busy_until, part)
    }
}

/// Time until all hosts that start at once have the whole, in milliseconds, up to a minute.
fn start_all(hosts: usize, store: &mut QueueingStore, usual_ms: u64) -> Option<u64> {
    let mut reads: Vec<(u64, SnapshotReader)> = Vec::new();
    reads.resize_with(hosts, || (0, SnapshotReader::default()));
    let mut last = 0;
    while let Some(index) = (0..reads.len()).min_by_key(|&index| reads[index].0) {
        let (now, read) = &mut reads[index];
        if *now > 60_000 {
            return None;
        }
        let (answered, part) = store.call(read.after_key(), *now);
        let give_up = *now + usual_ms + read.extra_timeout().as_millis() as u64;
        if answered > give_up {
            read.record_failure();
            *now = give_up;
        } else if read.add_part(part).is_some() {
            last = last.max(answered);
            reads.swap_remove(index);
        } else {
            *now = answered;
        }
    }
    Some(last)
}

#[test]
fn three_hundred_hosts_that_start_at_once_all_get_the_list() {
    let mut store = QueueingStore {
        records: 3_000,
        part: 500,
        records_per_ms: 240,
        busy_until: 0,
    };
    let whole = start_all(300, &mut store, 700).expect("all have the list within a minute");
    // The store needs 3.75 s for the records alone.
    assert!(
        whole <= 8_000,
        "the last host had the list after {whole} ms"
    );
}

#[test]
fn the_parts_make_one_page_that_reads_on_from_the_first_end() {
    let mut read = SnapshotReader::default();
    let part = |keys, end, more: Option<&str>| SnapshotPart {
        records: records(keys),
        end,
        more_after: more.map(Into::into),
    };
    assert_eq!(read.after_key(), None);
    assert!(read.add_part(part(0..2, 7, Some("key-00001"))).is_none());
    assert_eq!(read.after_key(), Some("key-00001"));
    read.record_failure();
    assert_eq!(read.after_key(), Some("key-00001"), "what came is kept");
    let whole = read.add_part(part(2..3, 9, None)).expect("the last part");
    assert_eq!(whole.next, 7, "changes after the first part are read again");
    assert_eq!(whole.records, records(0..3));
    assert_eq!(read.after_key(), None, "the next snapshot begins anew");
}

#[test]
fn patience_grows_with_failures_and_stays_bounded() {
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

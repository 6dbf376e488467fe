//! Merging records from the store and from other hosts, also after the store came back from a copy.

use bytes::Bytes;
use wagtaildoor_front::{
    control_store::{
        ContentRank,
        ControlRecord,
        ControlStream, //
    },
    record_mirror::{
        MirrorChange,
        RecordMirror, //
    },
    stream_position::StreamPosition,
};

/// Creates a record with a value, read in an era at an offset.
fn record_of(era: u64, offset: u64, key: &str, value: &'static str) -> ControlRecord {
    ControlRecord {
        position: StreamPosition::new(era, offset),
        key: key.into(),
        value: Some(Bytes::from_static(value.as_bytes())),
    }
}

/// Creates a record with a value, read in the first era.
fn record(offset: u64, key: &str, value: &'static str) -> ControlRecord {
    record_of(0, offset, key, value)
}

/// Deletes the key of a record.
fn deletion(record: ControlRecord) -> ControlRecord {
    ControlRecord {
        value: None,
        ..record
    }
}

/// Inserts a record without a rank; returns whether it was the newest.
fn insert(mirror: &mut RecordMirror, stream: ControlStream, record: &ControlRecord) -> bool {
    mirror.insert(stream, record, None) == MirrorChange::Inserted
}

/// Value of a key; `None` if it has none.
fn value(mirror: &RecordMirror, stream: ControlStream, key: &str) -> Option<Bytes> {
    let page = mirror.page_from(stream, StreamPosition::default());
    let mut records = page.records.into_iter();
    records.find(|record| &*record.key == key)?.value
}

#[test]
fn an_older_record_does_not_replace_a_newer_one() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Operator;
    assert!(insert(&mut mirror, stream, &record(4, "config", "new")));
    assert!(!insert(&mut mirror, stream, &record(3, "config", "old")));
    assert!(
        !insert(&mut mirror, stream, &record(4, "config", "new")),
        "the same record again"
    );
    assert!(insert(
        &mut mirror,
        ControlStream::Endpoints,
        &record(1, "config", "x")
    ));
}

#[test]
fn an_older_record_does_not_restore_a_deleted_key() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Endpoints;
    insert(&mut mirror, stream, &record(1, "a", "ready"));
    let gone = deletion(record(5, "a", ""));
    assert!(insert(&mut mirror, stream, &gone));
    assert!(!insert(&mut mirror, stream, &record(4, "a", "ready")));
    assert!(insert(&mut mirror, stream, &record(6, "a", "ready")));
}

#[test]
fn a_page_holds_the_newest_record_of_each_key_from_an_offset_on() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Operator;
    for (offset, key) in [(2, "config"), (7, "version/m"), (5, "config")] {
        insert(&mut mirror, stream, &record(offset, key, "x"));
    }
    mirror.advance(stream, StreamPosition::new(0, 8));
    mirror.advance(stream, StreamPosition::new(0, 6));
    assert_eq!(mirror.next(stream), StreamPosition::new(0, 8));
    let page = mirror.page_from(stream, StreamPosition::new(0, 5));
    let offsets = page.records.iter().map(|record| record.position.offset);
    assert_eq!(offsets.collect::<Vec<_>>(), [5, 7]);
    assert_eq!(page.next, StreamPosition::new(0, 8));
    let page = mirror.page_from(stream, StreamPosition::new(0, 6));
    assert_eq!(page.records.len(), 1);
}

/// Guards against a configuration that goes back in the copy that other hosts start from, because a
/// restored store has an older one at a later position.
#[test]
fn older_content_of_a_copy_does_not_replace_newer_content() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Operator;
    let mut insert = |era, offset, version, text| {
        let record = record_of(era, offset, "config", text);
        mirror.insert(stream, &record, Some((version, 0)))
    };
    assert_eq!(insert(1, 9, 10, "ten"), MirrorChange::Inserted);
    assert_eq!(insert(2, 1, 4, "four"), MirrorChange::CarriedOver);
    assert_eq!(insert(2, 3, 8, "eight"), MirrorChange::CarriedOver);
    assert_eq!(insert(1, 8, 9, "late answer"), MirrorChange::None);
    let after_copy = mirror.page_from(stream, StreamPosition::new(2, 2));
    assert_eq!(after_copy.records.len(), 1, "for hosts that know the copy");
    let ten = Some(Bytes::from_static(b"ten"));
    assert_eq!(value(&mirror, stream, "config"), ten);
    let newer = record_of(2, 4, "config", "twelve");
    assert_eq!(
        mirror.insert(stream, &newer, Some((12, 0))),
        MirrorChange::Inserted
    );
}

/// Guards against a host that has read only the copy and does not take what a peer of an earlier era
/// knows to be confirmed.
#[test]
fn newer_content_of_the_operator_is_taken_from_an_earlier_era() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Operator;
    let copied = record_of(2, 1, "config", "four");
    mirror.insert(stream, &copied, Some((4, 0)));
    mirror.advance(stream, StreamPosition::new(2, 2));
    let confirmed = record_of(1, 9, "config", "ten");
    let change = mirror.insert(stream, &confirmed, Some((10, 0)));
    assert_eq!(change, MirrorChange::Inserted);
    let page = mirror.page_from(stream, StreamPosition::new(2, 2));
    assert_eq!(page.records.len(), 1, "for hosts that know the copy");
    let stream = ControlStream::Endpoints;
    let listed = record_of(2, 1, "a", "ready");
    mirror.insert(stream, &listed, Some((7, 3)));
    let late = record_of(1, 9, "a", "ready");
    let change = mirror.insert(stream, &late, Some((7, 9)));
    assert_eq!(change, MirrorChange::None, "endpoints write again");
}

/// Guards against endpoints that had left or were leaving and get work again because the copy lists them.
#[test]
fn an_endpoint_stays_gone_until_it_has_written_again() {
    let stream = ControlStream::Endpoints;
    let known: ContentRank = (7, 5);
    for is_gone in [true, false] {
        let mut mirror = RecordMirror::default();
        mirror.insert(stream, &record_of(1, 3, "a", "ready"), Some((7, 4)));
        mirror.insert(stream, &record_of(1, 4, "a", "draining"), Some(known));
        if is_gone {
            mirror.insert(stream, &deletion(record_of(1, 5, "a", "")), None);
        }
        let copied = record_of(2, 3, "a", "ready");
        let change = mirror.insert(stream, &copied, Some((7, 4)));
        assert_eq!(change, MirrorChange::CarriedOver, "gone: {is_gone}");
        let again = record_of(2, 8, "a", "draining");
        let change = mirror.insert(stream, &again, Some((7, 6)));
        assert_eq!(change, MirrorChange::Inserted, "gone: {is_gone}");
    }
    let mut mirror = RecordMirror::default();
    mirror.insert(stream, &record_of(1, 3, "a", "ready"), Some(known));
    mirror.mark_deleted(stream, "a");
    let same = record_of(1, 6, "a", "ready");
    let change = mirror.insert(stream, &same, Some(known));
    assert_eq!(change, MirrorChange::Inserted, "it is back in the same era");
}

/// Guards against hosts that start with an unreadable configuration because it hides the one in force.
#[test]
fn an_unreadable_configuration_hides_no_readable_one() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Operator;
    mirror.insert(stream, &record(1, "config", "four"), Some((4, 0)));
    assert!(insert(&mut mirror, stream, &record(2, "config", "#")));
    assert!(!insert(&mut mirror, stream, &record(2, "config", "#")));
    let four = Some(Bytes::from_static(b"four"));
    assert_eq!(value(&mirror, stream, "config"), four);
}

/// Guards against positions whose order changes in a frame.
#[test]
fn positions_keep_their_order_in_frames() {
    let positions = [(0, 0), (0, 7), (0, 1 << 39), (1, 0), (1, 3), (2, 1), (9, 5)];
    let positions = positions.map(|(era, offset)| StreamPosition::new(era, offset));
    for pair in positions.windows(2) {
        assert!(pair[0] < pair[1]);
        assert!(pair[0].to_frame() < pair[1].to_frame());
    }
    for position in positions {
        assert_eq!(StreamPosition::from_frame(position.to_frame()), position);
    }
    let beyond = StreamPosition::new(3, u64::MAX).to_frame();
    assert!(beyond < StreamPosition::new(4, 0).to_frame());
}

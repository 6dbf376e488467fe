//! Merging records from the store and from other hosts by offset.

use bytes::Bytes;
use wagtaildoor_front::{
    control_store::{
        ControlRecord,
        ControlStream, //
    },
    record_mirror::RecordMirror,
};

/// Creates a record with a value.
fn record(offset: u64, key: &str, value: &'static str) -> ControlRecord {
    ControlRecord {
        offset,
        key: key.into(),
        value: Some(Bytes::from_static(value.as_bytes())),
    }
}

#[test]
fn an_older_record_does_not_replace_a_newer_one() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Operator;
    assert!(mirror.insert_if_newer(stream, &record(4, "config", "new")));
    assert!(!mirror.insert_if_newer(stream, &record(3, "config", "old")));
    assert!(
        !mirror.insert_if_newer(stream, &record(4, "config", "new")),
        "the same record again"
    );
    assert!(mirror.insert_if_newer(ControlStream::Endpoints, &record(1, "config", "x")));
}

#[test]
fn an_older_record_does_not_restore_a_deleted_key() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Endpoints;
    mirror.insert_if_newer(stream, &record(1, "a", "ready"));
    let deletion = ControlRecord {
        value: None,
        ..record(5, "a", "")
    };
    assert!(mirror.insert_if_newer(stream, &deletion));
    assert!(!mirror.insert_if_newer(stream, &record(4, "a", "ready")));
    assert!(mirror.insert_if_newer(stream, &record(6, "a", "ready")));
}

#[test]
fn a_page_holds_the_newest_record_of_each_key_from_an_offset_on() {
    let mut mirror = RecordMirror::default();
    let stream = ControlStream::Operator;
    for (offset, key) in [(2, "config"), (7, "version/m"), (5, "config")] {
        mirror.insert_if_newer(stream, &record(offset, key, "x"));
    }
    mirror.advance(stream, 8);
    mirror.advance(stream, 6);
    assert_eq!(mirror.next_offset(stream), 8);
    let page = mirror.page_from(stream, 5);
    let offsets: Vec<u64> = page.records.iter().map(|record| record.offset).collect();
    assert_eq!((offsets, page.next), (vec![5, 7], 8));
    assert_eq!(mirror.page_from(stream, 6).records.len(), 1);
}

//! Whole events go on, whatever the pieces in which a stream comes.

use bytes::Bytes;
use quickcheck::{
    Gen,
    QuickCheck, //
};
use wagtaildoor_front::event_splitter::EventSplitter;

/// A stream of events with ids from 1 on.
fn stream(events: u64, end: &str) -> String {
    let event = |id| format!("id: {id}\ndata: piece {id}{end}{end}");
    (1..=events).map(event).collect()
}

/// Pushes a text in pieces that end at the given places.
fn push_all(splitter: &mut EventSplitter, text: &str, cuts: &[usize]) -> String {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    let mut passed = String::new();
    let mut start = 0;
    for end in ends {
        let piece = Bytes::copy_from_slice(&text.as_bytes()[start..end]);
        let whole = splitter.push(piece);
        passed.push_str(std::str::from_utf8(&whole).expect("events are text"));
        start = end;
    }
    passed
}

#[test]
fn any_pieces_give_the_same_events() {
    fn same(events: u8, cuts: Vec<usize>, crlf: bool) -> bool {
        let text = stream(u64::from(events % 20), if crlf { "\r\n" } else { "\n" });
        let mut splitter = EventSplitter::default();
        let passed = push_all(&mut splitter, &text, &cuts);
        passed == text && !splitter.has_partial_event()
    }
    let seed = 0x1dea;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(2_000)
        .quickcheck(same as fn(u8, Vec<usize>, bool) -> bool);
}

#[test]
fn an_event_that_breaks_off_is_not_passed_on() {
    let mut splitter = EventSplitter::default();
    let passed = push_all(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda", &[3, 17]);
    assert_eq!(passed, "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.has_partial_event());
}

#[test]
fn a_resumed_stream_does_not_repeat_what_the_caller_has() {
    fn goes_on(events: u8, known: u8, cuts: Vec<usize>) -> bool {
        let (events, known) = (u64::from(events % 20), u64::from(known % 20));
        let text = stream(events, "\n");
        let mut splitter = EventSplitter::resumed_after(Some(known));
        let passed = push_all(&mut splitter, &text, &cuts);
        let rest = text.len() - stream(events.min(known), "\n").len();
        passed == text[text.len() - rest..]
    }
    let seed = 0xcafe;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(2_000)
        .quickcheck(goes_on as fn(u8, u8, Vec<usize>) -> bool);
}

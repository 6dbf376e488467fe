//! Tests that only complete events are forwarded, however the stream is split into chunks.

use bytes::Bytes;
use quickcheck::{
    Gen,
    QuickCheck, //
};
use wagtaildoor_front::event_splitter::EventSplitter;

/// Builds a stream of events with ids from 1 to `events`.
fn stream(events: u64, end: &str) -> String {
    let event = |id| format!("id: {id}\ndata: piece {id}{end}{end}");
    (1..=events).map(event).collect()
}

/// Pushes a text in chunks that end at the given offsets and returns the forwarded events.
fn push_all(splitter: &mut EventSplitter, text: &str, cuts: &[usize]) -> String {
    let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % (text.len() + 1)).collect();
    ends.push(text.len());
    ends.sort_unstable();
    let mut forwarded = String::new();
    let mut start = 0;
    for end in ends {
        let chunk = Bytes::copy_from_slice(&text.as_bytes()[start..end]);
        let complete = splitter.push(chunk);
        forwarded.push_str(std::str::from_utf8(&complete).expect("events are text"));
        start = end;
    }
    forwarded
}

#[test]
fn any_pieces_give_the_same_events() {
    fn forwards_all(events: u8, cuts: Vec<usize>, crlf: bool) -> bool {
        let text = stream(u64::from(events % 20), if crlf { "\r\n" } else { "\n" });
        let mut splitter = EventSplitter::default();
        let forwarded = push_all(&mut splitter, &text, &cuts);
        forwarded == text && !splitter.has_partial_event()
    }
    let seed = 0x1dea;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(2_000)
        .quickcheck(forwards_all as fn(u8, Vec<usize>, bool) -> bool);
}

#[test]
fn an_event_that_breaks_off_is_not_passed_on() {
    let mut splitter = EventSplitter::default();
    let forwarded = push_all(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda", &[3, 17]);
    assert_eq!(forwarded, "id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(splitter.has_partial_event());
}

#[test]
fn a_resumed_stream_does_not_repeat_what_the_caller_has() {
    fn skips_known(events: u8, known: u8, cuts: Vec<usize>) -> bool {
        let (events, known) = (u64::from(events % 20), u64::from(known % 20));
        let text = stream(events, "\n");
        let mut splitter = EventSplitter::resumed_after(Some(known));
        let forwarded = push_all(&mut splitter, &text, &cuts);
        let remaining = text.len() - stream(events.min(known), "\n").len();
        forwarded == text[text.len() - remaining..]
    }
    let seed = 0xcafe;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(2_000)
        .quickcheck(skips_known as fn(u8, u8, Vec<usize>) -> bool);
}

/// Guards against ORDER and MIXED: the head and the text of an error arrive in the middle of a stream,
/// or instead of its rest, and are passed on as events.
#[test]
fn what_is_no_event_of_a_stream_that_has_begun_ends_it() {
    let head = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 8\r\n\r\nnot run\n";
    let cases = [
        ("the head of an answer", head),
        ("a text", "no engine can take the request now\n\n"),
        (
            "an event without an id",
            "data: {\"error\":\"overloaded\"}\n\n",
        ),
        ("an earlier event", "id: 2\ndata: piece 2\n\n"),
        ("the same event again", "id: 3\ndata: piece 3\n\n"),
    ];
    for (name, foreign) in cases {
        for cut in 0..foreign.len() {
            let begun = stream(3, "\n");
            let text = format!("{begun}{foreign}id: 4\ndata: piece 4\n\n");
            let mut splitter = EventSplitter::default();
            let forwarded = push_all(&mut splitter, &text, &[begun.len() + cut]);
            assert_eq!(forwarded, begun, "{name}, cut at {cut}");
            assert!(splitter.is_foreign(), "{name}, cut at {cut}");
            assert_eq!(splitter.last_id(), Some(3), "{name}, cut at {cut}");
        }
    }
    for foreign in ["no engine can take the request now\n\n", "data: error\n\n"] {
        let mut splitter = EventSplitter::resumed_after(Some(3));
        assert_eq!(push_all(&mut splitter, foreign, &[]), "");
        assert!(splitter.is_foreign(), "{foreign}");
    }
}

#[test]
fn comments_are_passed_on_and_streams_without_ids_are_left_alone() {
    let text = ": hello\n\nid: 1\ndata: a\n\n: still here\n\nid: 4\ndata: b\n\n";
    let mut splitter = EventSplitter::default();
    assert_eq!(push_all(&mut splitter, text, &[]), text);
    assert!(!splitter.is_foreign());
    let text = "data: a\n\ndata: b\n\n";
    let mut splitter = EventSplitter::default();
    assert_eq!(push_all(&mut splitter, text, &[9]), text);
    assert!(!splitter.is_foreign());
}

/// Guards against sound streams that are withheld on routes that may be resumed: without ids, with
/// comments, or with a delay for reconnecting.
#[test]
fn a_stream_that_may_be_resumed_needs_no_ids_for_its_comments_nor_for_all_of_its_events() {
    let texts = [
        "data: a\n\ndata: b\n\nevent: end\ndata\n\n",
        ": hello\n\nretry: 2000\n\nid: 1\ndata: a\n\n: still here\n\nid: 4\ndata: b\n\n",
    ];
    for text in texts {
        for cut in 0..text.len() {
            let mut splitter = EventSplitter::resumed_after(None);
            assert_eq!(push_all(&mut splitter, text, &[cut]), text, "cut at {cut}");
            assert!(!splitter.is_foreign(), "{text:?}, cut at {cut}");
        }
    }
}

/// Texts in place of the first event of a stream, none of which has the form of an event with an id.
const SPOILT_STARTS: [&str; 5] = [
    "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nerror\n\n",
    "no engine can take the request now\n\n",
    "data: {\"error\":\"overloaded\"}\n\n",
    "event: error\r\ndata: overloaded\r\n\r\n",
    "error\nid: 1\ndata: piece 1\n\n",
];

/// Guards against MIXED: what is no event of a stream that may be resumed is passed on before its first
/// event, and a run that begins anew follows it.
#[test]
fn a_stream_that_may_be_resumed_passes_on_nothing_before_its_first_id() {
    for spoilt in SPOILT_STARTS {
        for comment in ["", ": queued\n\n"] {
            let text = format!("{comment}{spoilt}{}", stream(3, "\n"));
            for cut in 0..text.len() {
                let mut splitter = EventSplitter::resumed_after(None);
                let forwarded = push_all(&mut splitter, &text, &[cut]);
                assert_eq!(forwarded, "", "{text:?}, cut at {cut}");
                assert!(splitter.is_foreign(), "{text:?}, cut at {cut}");
                assert_eq!(splitter.last_id(), None, "{text:?}, cut at {cut}");
            }
        }
    }
}

/// Guards against a first event that is held up until more of its stream has come.
#[test]
fn a_first_event_is_passed_on_with_its_last_byte() {
    let event = "id: 1\ndata: piece 1\n\n";
    for comment in ["", ": queued\n\n"] {
        for mut splitter in [EventSplitter::default(), EventSplitter::resumed_after(None)] {
            let early = push_all(&mut splitter, &format!("{comment}{}", &event[..20]), &[]);
            let last = push_all(&mut splitter, &event[20..], &[]);
            assert_eq!(format!("{early}{last}"), format!("{comment}{event}"));
            assert!(last.ends_with(event), "{last:?}");
        }
    }
}

/// Guards against memory that fills with comments before a first event that never comes.
#[test]
fn comments_before_the_first_event_are_bounded() {
    let comment = ": queued\n\n".repeat(1 << 10);
    let mut splitter = EventSplitter::resumed_after(None);
    let pushes = (0..200).take_while(|_| {
        !splitter.is_oversized() && {
            push_all(&mut splitter, &comment, &[]);
            true
        }
    });
    assert!(pushes.count() < 200, "the stream counts as oversized");
}

//! Streams: crossed, late, duplicate, missing and truncated chunks.

use wagtaildoor::{
    schema::{
        EngineChunk,
        EngineDone, //
    },
    stream_check::{
        CheckedChunk,
        StreamCheck,
        StreamError, //
    },
};

/// What a test sends to a check.
#[derive(Clone, Copy)]
enum Sent {
    /// A chunk of the right attempt.
    Text(u64),
    /// A chunk of another request.
    OtherRequest(u64),
    /// A chunk of an earlier attempt at the same request.
    OtherAttempt(u64),
    /// The last event, with the chunks it counts.
    End(u64),
    /// The last event of another attempt.
    OtherEnd(u64),
}

/// What a test expects of a check.
#[derive(Debug, PartialEq)]
enum Seen {
    /// A text was passed on.
    Text(u64),
    /// The stream was complete.
    Done,
    /// The chunk was dropped as crossed.
    Crossed,
    /// The chunk was dropped as a duplicate.
    Duplicate,
    /// The stream was given up.
    Fault(StreamError),
}

/// The chunk for what a test sends.
fn chunk(sent: Sent) -> EngineChunk {
    let (request, attempt, sequence, done) = match sent {
        Sent::Text(sequence) => ("r", "a2", sequence, false),
        Sent::OtherRequest(sequence) => ("q", "a2", sequence, false),
        Sent::OtherAttempt(sequence) => ("r", "a1", sequence, false),
        Sent::End(chunks) => ("r", "a2", chunks, true),
        Sent::OtherEnd(chunks) => ("r", "a1", chunks, true),
    };
    let text = match done {
        true => String::new(),
        false => sequence.to_string(),
    };
    EngineChunk {
        request_id: request.into(),
        attempt_id: attempt.into(),
        sequence,
        text: text.into(),
        done: done.then(|| EngineDone {
            boot_id: "b".into(),
            weights_version: 1,
            chunks: sequence,
            prompt_tokens: 1,
            cached_tokens: 0,
            queued: 0,
            level_blocks: Vec::new(),
        }),
    }
}

/// Sends until a fault, and tells what was seen, with the end of the connection last.
fn run(already: u64, sent: &[Sent]) -> Vec<Seen> {
    let mut check = StreamCheck::new("r", "a2", already);
    let mut seen = Vec::new();
    for &one in sent {
        match check.accept(chunk(one)) {
            Ok(CheckedChunk::Chunk(text)) => {
                seen.push(Seen::Text(text.parse().expect("a number")));
            }
            Ok(CheckedChunk::Done(_)) => seen.push(Seen::Done),
            Ok(CheckedChunk::Crossed) => seen.push(Seen::Crossed),
            Ok(CheckedChunk::Duplicate) => seen.push(Seen::Duplicate),
            Err(fault) => {
                seen.push(Seen::Fault(fault));
                return seen;
            }
        }
    }
    if let Err(fault) = check.finish() {
        seen.push(Seen::Fault(fault));
    }
    seen
}

#[test]
fn each_fault_is_seen_or_dropped() {
    use Sent::{
        End,
        OtherAttempt,
        OtherEnd,
        OtherRequest,
        Text, //
    };
    let gap = |expected, found| Seen::Fault(StreamError::Gap { expected, found });
    let truncated = |received| Seen::Fault(StreamError::Truncated { received });
    let miscounted = |stated, received| Seen::Fault(StreamError::Miscounted { stated, received });
    let cases: Vec<(&str, u64, Vec<Sent>, Vec<Seen>)> = vec![
        (
            "whole",
            0,
            vec![Text(0), Text(1), End(2)],
            vec![Seen::Text(0), Seen::Text(1), Seen::Done],
        ),
        ("empty answer", 0, vec![End(0)], vec![Seen::Done]),
        (
            "other request's chunk between",
            0,
            vec![Text(0), OtherRequest(1), Text(1), End(2)],
            vec![Seen::Text(0), Seen::Crossed, Seen::Text(1), Seen::Done],
        ),
        (
            "late chunk of an earlier attempt",
            1,
            vec![OtherAttempt(1), Text(1), End(2)],
            vec![Seen::Crossed, Seen::Text(1), Seen::Done],
        ),
        (
            "other attempt's end does not end this stream",
            0,
            vec![Text(0), OtherEnd(1)],
            vec![Seen::Text(0), Seen::Crossed, truncated(1)],
        ),
        (
            "duplicate",
            0,
            vec![Text(0), Text(0), Text(1), Text(0), End(2)],
            vec![
                Seen::Text(0),
                Seen::Duplicate,
                Seen::Text(1),
                Seen::Duplicate,
                Seen::Done,
            ],
        ),
        (
            "after the end",
            0,
            vec![Text(0), End(1), Text(1), End(1)],
            vec![Seen::Text(0), Seen::Done, Seen::Duplicate, Seen::Duplicate],
        ),
        (
            "gap",
            0,
            vec![Text(0), Text(2)],
            vec![Seen::Text(0), gap(1, 2)],
        ),
        (
            "gap before the end",
            0,
            vec![Text(0), End(2)],
            vec![Seen::Text(0), gap(1, 2)],
        ),
        (
            "truncated",
            0,
            vec![Text(0)],
            vec![Seen::Text(0), truncated(1)],
        ),
        ("nothing came", 3, vec![], vec![truncated(3)]),
        (
            "end counts fewer than came",
            0,
            vec![Text(0), Text(1), End(1)],
            vec![Seen::Text(0), Seen::Text(1), miscounted(1, 2)],
        ),
        (
            "resumed where it was asked to",
            2,
            vec![Text(2), End(3)],
            vec![Seen::Text(2), Seen::Done],
        ),
        (
            "resumed from the start again",
            2,
            vec![Text(0), Text(1), Text(2), End(3)],
            vec![Seen::Duplicate, Seen::Duplicate, Seen::Text(2), Seen::Done],
        ),
        ("resumed too far on", 2, vec![Text(3)], vec![gap(2, 3)]),
    ];
    for (name, already, sent, expected) in cases {
        assert_eq!(run(already, &sent), expected, "{name}");
    }
}

#[test]
fn an_end_whose_count_differs_from_its_place_is_refused() {
    let mut check = StreamCheck::new("r", "a2", 0);
    check.accept(chunk(Sent::Text(0))).expect("a chunk");
    let mut end = chunk(Sent::End(1));
    end.done.as_mut().expect("an end").chunks = 5;
    assert!(check.accept(end).is_err());
    assert!(!check.is_complete());
}

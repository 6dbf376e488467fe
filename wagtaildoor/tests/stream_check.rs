//! Streams with crossed, late, duplicate, missing and truncated chunks.

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

/// Chunk that a test passes to the check.
#[derive(Clone, Copy)]
enum Sent {
    /// Text chunk of the right attempt.
    Text(u64),
    /// Text chunk of another request.
    OtherRequest(u64),
    /// Text chunk of an earlier attempt at the same request.
    OtherAttempt(u64),
    /// Last event with this chunk count.
    End(u64),
    /// Last event of another attempt.
    OtherEnd(u64),
}

/// Result that a test expects of the check.
#[derive(Debug, PartialEq)]
enum Seen {
    /// A text chunk was accepted.
    Text(u64),
    /// The stream is complete.
    Done,
    /// A chunk was dropped as crossed.
    Crossed,
    /// A chunk was dropped as a duplicate.
    Duplicate,
    /// The check returned an error.
    Fault(StreamError),
}

/// Builds the chunk for a test input.
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

/// Passes chunks to a check until it fails, then ends the stream. Returns all results.
fn run(start: u64, sent: &[Sent]) -> Vec<Seen> {
    let mut check = StreamCheck::new("r", "a2", start);
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
            "complete",
            0,
            vec![Text(0), Text(1), End(2)],
            vec![Seen::Text(0), Seen::Text(1), Seen::Done],
        ),
        ("empty answer", 0, vec![End(0)], vec![Seen::Done]),
        (
            "chunk of another request",
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
            "last event of another attempt",
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
            "chunks after the last event",
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
            "gap before the last event",
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
        ("no chunks", 3, vec![], vec![truncated(3)]),
        (
            "last event counts too few chunks",
            0,
            vec![Text(0), Text(1), End(1)],
            vec![Seen::Text(0), Seen::Text(1), miscounted(1, 2)],
        ),
        (
            "resumed at the requested chunk",
            2,
            vec![Text(2), End(3)],
            vec![Seen::Text(2), Seen::Done],
        ),
        (
            "resumed from the first chunk",
            2,
            vec![Text(0), Text(1), Text(2), End(3)],
            vec![Seen::Duplicate, Seen::Duplicate, Seen::Text(2), Seen::Done],
        ),
        (
            "resumed after the requested chunk",
            2,
            vec![Text(3)],
            vec![gap(2, 3)],
        ),
    ];
    for (name, start, sent, expected) in cases {
        assert_eq!(run(start, &sent), expected, "{name}");
    }
}

#[test]
fn a_last_event_with_a_wrong_count_is_rejected() {
    let mut check = StreamCheck::new("r", "a2", 0);
    check.accept(chunk(Sent::Text(0))).expect("a chunk");
    let mut end = chunk(Sent::End(1));
    end.done.as_mut().expect("a last event").chunks = 5;
    assert!(check.accept(end).is_err());
    assert!(!check.is_complete());
}

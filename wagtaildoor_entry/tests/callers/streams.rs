//! Tests that streams are complete and in order, or end with an error, whatever engines do.

use std::time::{
    Duration,
    Instant, //
};

use reqwest::RequestBuilder;
use serde_json::{
    json,
    Value, //
};
use tokio::time;
use uuid::Uuid;
use wagtaildoor_fakes::{
    fake_engine::engine_faults::{
        EngineCounts,
        EngineFaults, //
    },
    fake_service::ServiceFaults,
};

use crate::{
    entry_rig::{
        EntryRig,
        DESK_TOKEN,
        PLAIN_DEADLINE, //
        WAIT_TIMEOUT,
    },
    refusals,
};

/// Stream as received by a caller.
#[derive(Debug, Eq, PartialEq)]
struct CallerStream {
    /// Concatenated text of the chunks.
    text: String,
    end: StreamEnd,
}

/// How a stream ended.
#[derive(Debug, Eq, PartialEq)]
enum StreamEnd {
    /// With a last chunk, which contains the total number of chunks.
    Whole(u64),
    /// With an error event of this kind.
    Error(String),
    /// Without a last chunk or an error event.
    Silent,
}

/// Requests a stream and reads it to its end.
async fn read_stream(rig: &EntryRig) -> CallerStream {
    let body = json!({ "model": "plain", "prompt": "Two coffees.", "stream": true });
    let call = rig.post("/v1/completions", DESK_TOKEN).json(&body);
    let answer = call.send().await.expect("an answer");
    let text = answer.text().await.expect("a body");
    let mut stream = CallerStream {
        text: String::new(),
        end: StreamEnd::Silent,
    };
    let mut chunks = None;
    for event in text.split("\n\n") {
        let data = event.lines().find_map(|line| line.strip_prefix("data:"));
        let Some(data) = data.map(str::trim_start) else {
            continue;
        };
        if data == "[DONE]" {
            stream.end = StreamEnd::Whole(chunks.expect("a last chunk"));
            continue;
        }
        let data: Value = serde_json::from_str(data).expect("JSON");
        if let Some(kind) = data["error"]["kind"].as_str() {
            stream.end = StreamEnd::Error(kind.into());
            continue;
        }
        chunks = data["chunks"].as_u64();
        let chunk = data["choices"][0]["text"].as_str().expect("text");
        stream.text.push_str(chunk);
    }
    stream
}

/// Engines that a fault is set on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FaultyEngines {
    /// The engine that the first attempt goes to.
    First,
    /// All engines.
    All,
}

/// A fault of engines and the expected end of the stream.
struct StreamCase {
    /// Name for assertion messages.
    name: &'static str,
    engines: FaultyEngines,
    faults: EngineFaults,
    /// Whether the caller still gets the complete answer.
    whole: bool,
}

/// Faults of the first engine, and faults of all engines.
fn stream_cases() -> Vec<StreamCase> {
    use FaultyEngines::{
        All,
        First, //
    };
    let none = EngineFaults::default;
    let crossed = EngineFaults {
        crossed_percent: 100,
        ..none()
    };
    let late = EngineFaults {
        late_percent: 100,
        ..none()
    };
    let duplicate = EngineFaults {
        duplicate_percent: 100,
        ..none()
    };
    let gap = EngineFaults {
        gap_percent: 100,
        ..none()
    };
    let truncated = EngineFaults {
        truncated_percent: 100,
        ..none()
    };
    let cut = EngineFaults {
        cut_after_chunks: 7,
        ..none()
    };
    let cut_before_end = EngineFaults {
        cut_after_chunks: 20,
        ..none()
    };
    let refuse = EngineFaults {
        refuse: true,
        ..none()
    };
    let mixed = EngineFaults {
        cut_after_chunks: 7,
        ..crossed.clone()
    };
    let case = |name, engines, faults: &EngineFaults, whole| StreamCase {
        name,
        engines,
        faults: faults.clone(),
        whole,
    };
    vec![
        case("crossed", All, &crossed, true),
        case("late", All, &late, true),
        case("duplicate", All, &duplicate, true),
        case("gap", First, &gap, true),
        case("truncated", First, &truncated, true),
        case("cut", First, &cut, true),
        case("no last event", First, &cut_before_end, true),
        case("refuse", First, &refuse, true),
        case("crossed and cut", First, &mixed, true),
        case("cut everywhere", All, &cut, false),
    ]
}

/// Sets the faults of a case. Sends a request to find out which engine is tried first.
async fn set_faults(rig: &EntryRig, case: &StreamCase) {
    let taken: Vec<u64> = rig.engines.iter().map(|e| e.counts().taken).collect();
    read_stream(rig).await;
    for (engine, before) in rig.engines.iter().zip(taken) {
        let first = engine.counts().taken > before;
        if first || case.engines == FaultyEngines::All {
            engine.set_faults(case.faults.clone());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_whole_or_says_that_it_is_not() {
    for case in stream_cases() {
        let rig = EntryRig::start_with(2).await;
        let expected = read_stream(&rig).await;
        assert_eq!(expected.end, StreamEnd::Whole(20), "{expected:?}");
        set_faults(&rig, &case).await;
        let stream = read_stream(&rig).await;
        if case.whole {
            assert_eq!(stream, expected, "{}", case.name);
            continue;
        }
        let broken = StreamEnd::Error("stream_broken".into());
        assert_eq!(stream.end, broken, "{}: {}", case.name, stream.text);
        assert!(expected.text.starts_with(&stream.text), "{}", case.name);
    }
}

/// Waits until the counters of the first engine satisfy a condition.
async fn wait_for_counts(rig: &EntryRig, matches_counts: impl Fn(&EngineCounts) -> bool) {
    let engine = &rig.engines[0];
    let wait = async {
        while !matches_counts(&engine.counts()) {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = time::timeout(WAIT_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "{:?}", engine.counts());
}

/// Starts an entry with a slow engine and builds a call to it.
async fn slow_call(slow_ms: u64, stream: bool) -> (EntryRig, RequestBuilder) {
    let rig = EntryRig::start().await;
    rig.engines[0].set_faults(EngineFaults {
        slow_ms,
        ..EngineFaults::default()
    });
    let body = json!({ "model": "plain", "prompt": "Two coffees.", "stream": stream });
    let call = rig.post("/v1/completions", DESK_TOKEN).json(&body);
    (rig, call)
}

/// Waits until the engine has cancelled the request, and checks that this was before the deadline,
/// which would cancel it too.
async fn wait_for_cancel(name: &str, rig: &EntryRig, started_at: Instant) {
    wait_for_counts(rig, |counts| counts.cancelled == 1).await;
    assert!(
        started_at.elapsed() < PLAIN_DEADLINE,
        "{name}: cancelled only at the deadline"
    );
    assert_eq!(rig.engines[0].counts().finished, 0, "{name}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_in_a_stream_frees_the_engine() {
    let (rig, call) = slow_call(300, true).await;
    let started_at = Instant::now();
    drop(call.send().await.expect("an answer"));
    wait_for_cancel("stream", &rig, started_at).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_before_its_answer_begins_frees_the_engine() {
    for (name, slow_ms, stream) in [("silent", 60_000, true), ("whole", 300, false)] {
        let (rig, call) = slow_call(slow_ms, stream).await;
        let started_at = Instant::now();
        let call = tokio::spawn(call.send());
        wait_for_counts(&rig, |counts| counts.taken == 1).await;
        call.abort();
        wait_for_cancel(name, &rig, started_at).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_on_when_its_caller_hangs_up() {
    let rig = EntryRig::start().await;
    rig.service.set_faults(ServiceFaults {
        freeze: true,
        ..ServiceFaults::default()
    });
    let call = rig.post("/v1/services/order", DESK_TOKEN).json(&json!({}));
    let call = call.header("idempotency-key", Uuid::now_v7().to_string());
    let call = tokio::spawn(call.send());
    while rig.service.counts().calls == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
    call.abort();
    assert!(call.await.is_err(), "the call was not aborted");
    rig.service.set_faults(ServiceFaults::default());
    let recorded = async {
        while rig.keeper.records() == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = time::timeout(WAIT_TIMEOUT, recorded).await;
    assert!(waited.is_ok(), "the outcome is never recorded");
    let counts = rig.service.counts();
    assert_eq!((counts.calls, counts.effects, counts.cut), (1, 1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_and_streams_say_the_same() {
    let rig = EntryRig::start().await;
    let mut chat = refusals::chat_with("draft");
    chat["parameters"] = json!({ "dialect": "Johor" });
    let whole = rig
        .post("/v1/chat/completions", DESK_TOKEN)
        .json(&chat)
        .send()
        .await;
    let whole = whole.expect("an answer");
    assert_eq!(
        refusals::header(&whole, "x-wagtaildoor-endpoint"),
        Some("drafter-0")
    );
    assert!(
        refusals::header(&whole, "x-wagtaildoor-reason").is_some_and(|reason| !reason.is_empty())
    );
    let whole: Value = whole.json().await.expect("a body");
    assert_eq!(whole["object"], "chat.completion");
    assert_eq!(whole["choices"][0]["finish_reason"], "stop");
    assert_eq!(whole["usage"]["completion_tokens"], 20);
    chat["stream"] = json!(true);
    let stream = rig
        .post("/v1/chat/completions", DESK_TOKEN)
        .json(&chat)
        .send()
        .await;
    let stream = stream.expect("an answer").text().await.expect("a body");
    let mut text = String::new();
    let mut chunks = event_data(&stream);
    assert_eq!(chunks.pop().as_deref(), Some("[DONE]"));
    let last: Value = serde_json::from_str(&chunks.pop().expect("a last chunk")).expect("JSON");
    assert_eq!(last["chunks"], 20);
    for chunk in chunks {
        let chunk: Value = serde_json::from_str(&chunk).expect("JSON");
        assert_eq!(chunk["object"], "chat.completion.chunk");
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .expect("text"),
        );
    }
    assert_eq!(whole["choices"][0]["message"]["content"], text);
}

fn event_data(stream: &str) -> Vec<String> {
    let lines = stream.lines();
    let data = lines.filter_map(|line| line.strip_prefix("data:"));
    data.map(|data| data.trim_start().to_owned()).collect()
}

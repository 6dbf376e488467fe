//! Tests of crashes on a part of a prompt, on the paused clock.

#[path = "support/engine_request.rs"]
mod engine_request;

use std::time::Duration;

use engine_request::{
    block_prompt,
    request_for,
    ANSWER_TOKENS, //
};
use tokio::time;
use wagtaildoor_fakes::fake_engine::{
    engine_faults::EngineFaults,
    engine_stream::EngineStream,
    EngineProfile,
    EngineRefusal,
    FakeEngine, //
};

/// Time for which the engine is down after a crash.
const RESTART_TIME: Duration = Duration::from_millis(1500);

/// Creates an engine that crashes on the prompts that contain `text`.
fn engine_that_crashes_on(text: &str) -> FakeEngine {
    let engine = FakeEngine::new(EngineProfile::default());
    engine.set_faults(EngineFaults {
        crash_on_prompt: text.into(),
        restart_ms: RESTART_TIME.as_millis() as u64,
        ..EngineFaults::default()
    });
    engine
}

/// Sends a request with one block per letter.
fn send_request(engine: &FakeEngine, letters: &str) -> EngineStream {
    let mut request = request_for(&block_prompt(letters));
    request.attempt_id = letters.into();
    let stream = engine.generate(request);
    stream.expect("the engine accepts the request")
}

/// Receives the chunks of a stream. Returns their number and whether the last one came.
async fn collect_chunks(mut stream: EngineStream) -> (usize, bool) {
    let mut count = 0;
    let mut is_done = false;
    while let Some(chunk) = stream.chunks.recv().await {
        count += 1;
        is_done = chunk.done.is_some();
    }
    (count, is_done)
}

#[tokio::test(start_paused = true)]
async fn crash_cuts_all_streams_and_the_engine_is_down_until_it_restarts() {
    let engine = engine_that_crashes_on("ccc");
    let boot_id = engine.boot_id();
    let mut sound = send_request(&engine, "ab");
    sound.chunks.recv().await.expect("a first chunk");
    let crashing = send_request(&engine, "abc");
    assert_eq!(collect_chunks(crashing).await, (0, false));
    assert!(!collect_chunks(sound).await.1);
    let refusal = engine.generate(request_for("a")).expect_err("it is down");
    assert_eq!(refusal, EngineRefusal::NotRun("down"));
    assert_ne!(engine.boot_id(), boot_id);
    assert!(engine.cache_contents().is_empty());
    time::sleep(RESTART_TIME).await;
    let whole = (ANSWER_TOKENS as usize + 1, true);
    assert_eq!(collect_chunks(send_request(&engine, "ab")).await, whole);
    let counts = engine.counts();
    assert_eq!((counts.crashes, counts.crash_prompts), (1, 1));
    assert_eq!((counts.cut, counts.finished), (2, 1));
}

#[tokio::test(start_paused = true)]
async fn two_requests_with_the_part_crash_one_boot_once() {
    let engine = engine_that_crashes_on("ccc");
    let streams = [send_request(&engine, "abc"), send_request(&engine, "c")];
    for stream in streams {
        assert_eq!(collect_chunks(stream).await, (0, false));
    }
    let counts = engine.counts();
    assert_eq!((counts.crashes, counts.crash_prompts), (1, 2));
}

#[tokio::test(start_paused = true)]
async fn empty_text_crashes_nothing() {
    let engine = engine_that_crashes_on("");
    assert!(collect_chunks(send_request(&engine, "abc")).await.1);
    assert_eq!(engine.counts().crashes, 0);
}

//! Crash of an engine on a part of a prompt, as clients see it.

use std::time::Duration;

use reqwest::Client;
use serde_json::{
    json,
    Value, //
};
use wagtaildoor::schema::EngineRequest;
use wagtaildoor_fakes::{
    fake_engine::{
        EngineProfile,
        FakeEngine, //
    },
    http_engine,
    weight_source::WeightSource,
};

use crate::{
    engine_request::{
        block_prompt,
        request_for, //
    },
    gated_server::GatedServer,
    raw_connection::RawConnection, //
};

/// Part of a prompt on which the engine crashes.
const CRASH_PART: &str = "ccc";
/// Time for which the engine is down after a crash, in milliseconds.
const RESTART_MS: u64 = 2000;

/// Starts an engine behind a gate whose responses last until it crashes.
async fn gated_engine() -> (GatedServer, FakeEngine) {
    let engine = FakeEngine::new(EngineProfile {
        decode_per_token: Duration::from_secs(60),
        ..EngineProfile::default()
    });
    let source = WeightSource::new(None, Client::new());
    let mounted = engine.clone();
    let mount = |server| http_engine::mount(server, mounted, source);
    let server = GatedServer::start(engine.connections(), mount).await;
    (server, engine)
}

/// Sends a request and returns its connection.
async fn send_request(server: &GatedServer, request: &EngineRequest) -> RawConnection {
    let mut connection = server.connect().await;
    connection.post("/generate", request).await;
    connection
}

/// Whether a response has a whole head, ends inside an event and lacks the end of its chunks.
fn is_broken_off(text: &str) -> bool {
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body);
    body.is_some_and(|body| {
        let start = body.rfind("data: ").map(|start| &body[start..]);
        start.is_some_and(|event| !event.contains("\n\n")) && !body.ends_with("0\r\n\r\n")
    })
}

#[tokio::test]
async fn crash_breaks_off_all_responses_and_the_engine_restarts_empty() {
    let (server, engine) = gated_engine().await;
    let faults = json!({ "crash_on_prompt": CRASH_PART, "restart_ms": RESTART_MS });
    server.server.post("/faults", &faults).await;
    let boot_id = engine.boot_id();
    let sound = request_for(&block_prompt("ab"));
    let mut response = send_request(&server, &sound).await;
    let begun = response.read_until("\n\n\r\n").await;
    let crashing = EngineRequest {
        attempt_id: "attempt-2".into(),
        ..request_for(&block_prompt("abc"))
    };
    let mut crashed = send_request(&server, &crashing).await;
    let crashed = crashed.read_to_end().await;
    server.wait_until_down().await;
    assert!(is_broken_off(&crashed), "{crashed}");
    let rest = response.read_to_end().await;
    assert!(is_broken_off(&(begun + &rest)), "{rest}");
    server.wait_until_up().await;
    assert_ne!(engine.boot_id(), boot_id);
    assert!(engine.cache_contents().is_empty());
    let ended = |counts: &Value| counts["cut"] == 2;
    let counts = server.wait_for_counts(ended).await;
    assert_eq!(counts["crashes"], 1);
    assert_eq!(counts["crash_prompts"], 1);
    let mut again = send_request(&server, &sound).await;
    let text = again.read_until("\n\n\r\n").await;
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
}

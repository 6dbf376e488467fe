//! Answers that end with their connection, whole and broken off.

use reqwest::Client;
use serde_json::{
    json,
    Value, //
};
use wagtaildoor::schema::EngineChunk;
use wagtaildoor_fakes::{
    fake_engine::{
        EngineProfile,
        FakeEngine, //
    },
    fake_service::FakeService,
    http_engine, http_service,
    weight_source::WeightSource,
};

use crate::{
    engine_request::{
        request_for,
        ANSWER_TOKENS, //
    },
    gated_server::GatedServer,
};

/// Faults of endpoints whose answers end with their connection.
fn close_faults(is_early: bool) -> Value {
    json!({ "close_delimited": true, "close_early": is_early })
}

/// Splits a response, which must have no framing, into its head and its body.
fn split_unframed(text: &str) -> (&str, &str) {
    let (head, body) = text.split_once("\r\n\r\n").expect("a whole head");
    let lowercase = head.to_ascii_lowercase();
    assert!(lowercase.starts_with("http/1.1 200 ok\r\n"), "{head}");
    assert!(lowercase.contains("\r\nconnection: close"), "{head}");
    for name in ["content-length", "transfer-encoding"] {
        assert!(!lowercase.contains(name), "{head}");
    }
    (head, body)
}

/// Streams one answer of an engine with the given faults, and returns the whole response.
async fn engine_response(faults: &Value) -> String {
    let engine = FakeEngine::new(EngineProfile::default());
    let source = WeightSource::new(None, Client::new());
    let connections = engine.connections();
    let mount = |server| http_engine::mount(server, engine, source);
    let server = GatedServer::start(connections, mount).await;
    server.server.post("/faults", faults).await;
    let mut connection = server.connect().await;
    connection.post("/generate", &request_for("a")).await;
    connection.read_to_end().await
}

/// Calls a service with the given faults, and returns the whole response.
async fn service_response(faults: &Value) -> String {
    let service = FakeService::new(false);
    let connections = service.connections();
    let mount = |server| http_service::mount(server, service);
    let server = GatedServer::start(connections, mount).await;
    server.server.post("/faults", faults).await;
    let mut connection = server.connect().await;
    connection
        .post("/print-orders", &json!({ "boxes": 3 }))
        .await;
    connection.read_to_end().await
}

/// Parses the whole events of a stream. Returns them and what follows the last of them.
fn split_events(body: &str) -> (Vec<EngineChunk>, &str) {
    let (events, rest) = body.rsplit_once("\n\n").expect("a whole event");
    let data = events.split("\n\n").map(|event| {
        let data = event.strip_prefix("data: ").expect("an event");
        serde_json::from_str(data).expect("a chunk")
    });
    (data.collect(), rest)
}

#[tokio::test]
async fn stream_without_framing_is_whole() {
    let text = engine_response(&close_faults(false)).await;
    let (head, body) = split_unframed(&text);
    assert!(head.contains("text/event-stream"), "{head}");
    let (chunks, rest) = split_events(body);
    assert_eq!(chunks.len(), ANSWER_TOKENS as usize + 1);
    assert!(chunks.last().is_some_and(|chunk| chunk.done.is_some()));
    assert_eq!(rest, "");
}

#[tokio::test]
async fn stream_without_framing_ends_early_inside_its_last_event() {
    let text = engine_response(&close_faults(true)).await;
    let (_head, body) = split_unframed(&text);
    let (chunks, rest) = split_events(body);
    assert_eq!(chunks.len(), ANSWER_TOKENS as usize);
    assert!(chunks.iter().all(|chunk| chunk.done.is_none()));
    assert!(rest.starts_with("data: "), "{rest}");
}

#[tokio::test]
async fn service_answer_without_framing_is_whole_or_ends_early() {
    let text = service_response(&close_faults(false)).await;
    let (_head, body) = split_unframed(&text);
    let receipt: Value = serde_json::from_str(body).expect("a receipt");
    assert_eq!(receipt["accepted"], json!({ "boxes": 3 }));
    let text = service_response(&close_faults(true)).await;
    let (_head, early) = split_unframed(&text);
    assert!(!early.is_empty() && body.starts_with(early), "{early}");
    assert!(early.len() < body.len(), "{early}");
}

//! Tests of the fakes over HTTP: routes, headers, statuses and faults.

#[path = "support/engine_request.rs"]
mod engine_request;
#[path = "support/fake_server.rs"]
mod fake_server;

use std::time::Duration;

use engine_request::{
    block_prompt,
    request_for,
    ANSWER_TOKENS, //
};
use fake_server::FakeServer;
use reqwest::{
    Client,
    Response,
    StatusCode, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::time;
use wagtaildoor::{
    log_http::HttpLog,
    log_store::{
        LogError,
        LogStore, //
    },
    schema::{
        CacheEventPage,
        EndpointState,
        EngineChunk,
        EngineOrder,
        EngineRequest,
        EngineState,
        LoadReport,
        OrderKind,
        PlatformList, //
    },
};
use wagtaildoor_fakes::{
    fake_engine::{
        engine_faults::{
            EngineCounts,
            EngineFaults, //
        },
        prompt_blocks,
        EngineProfile,
        FakeEngine, //
    },
    fake_kv::FakeKv,
    fake_list::FakeList,
    fake_log::FakeLog,
    fake_service::FakeService,
    fake_weights::FakeWeights,
    http_engine, http_kv, http_list, http_log, http_service,
    registration::{
        self,
        ListRegistration, //
    },
    weight_source::WeightSource,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the server of an engine.
async fn engine_server(platform_url: Option<Box<str>>) -> (FakeServer, FakeEngine) {
    let engine = FakeEngine::new(EngineProfile {
        load_time: Duration::from_millis(20),
        decode_per_token: Duration::from_millis(1),
        ..EngineProfile::default()
    });
    let source = WeightSource::new(platform_url, Client::new());
    let mounted = engine.clone();
    let server = FakeServer::start(|server| http_engine::mount(server, mounted, source)).await;
    (server, engine)
}

/// Starts the server of the platform.
async fn platform_server() -> FakeServer {
    let log = FakeLog::new(Duration::from_secs(3600));
    FakeServer::start(|server| {
        let server = http_list::mount(server, FakeList::new(), FakeWeights::new(1));
        http_log::mount(server, log)
    })
    .await
}

/// Returns a header of a response, or an empty string if it is missing.
fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().expect("plain text"))
}

/// Parses the server-sent events of a streamed response.
async fn collect_chunks(response: Response) -> Vec<EngineChunk> {
    let text = response.text().await.expect("a stream that ends");
    let events = text.split_terminator("\n\n");
    let data = events.map(|event| event.strip_prefix("data: ").expect("an event"));
    let chunk = |data| serde_json::from_str(data).expect("a chunk");
    data.map(chunk).collect()
}

/// Waits until the engine's counts satisfy a predicate.
async fn wait_for_counts(engine: &FakeEngine, is_expected: impl Fn(&EngineCounts) -> bool) {
    let wait = async {
        while !is_expected(&engine.counts()) {
            time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = time::timeout(WAIT_TIMEOUT, wait).await;
    waited.unwrap_or_else(|_| panic!("{:?}", engine.counts()));
}

#[tokio::test]
async fn engine_streams_with_its_headers_and_load() {
    let (server, engine) = engine_server(None).await;
    let request = request_for(&block_prompt("abc"));
    let response = server.post("/generate", &request).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    assert_eq!(header(&response, "x-boot-id"), &*engine.boot_id());
    assert_eq!(header(&response, "x-weights-version"), "1");
    assert_eq!(header(&response, "x-queued"), "0");
    let chunks = collect_chunks(response).await;
    assert_eq!(chunks.len(), ANSWER_TOKENS as usize + 1);
    let done = chunks.last().and_then(|chunk| chunk.done.clone());
    let done = done.expect("a last event");
    let chain = prompt_blocks::chain_of(&request);
    assert_eq!(done.level_blocks, [chain[2]]);
    let load: LoadReport = server.get("/load").await.json().await.expect("a report");
    assert_eq!(load, engine.load_report());
    let page = server.get("/cache-events?from=1").await;
    let page: CacheEventPage = page.json().await.expect("a page");
    assert_eq!(page.events[0].blocks, chain[..]);
    let cached = server.get(&format!("/kv/{}", chain[2])).await;
    assert_eq!(cached.status(), StatusCode::OK);
    assert_eq!(server.get("/kv/7").await.status(), StatusCode::NOT_FOUND);
    let import = server.client.put(server.url("/kv/7")).body("block");
    import.send().await.expect("a response");
    assert_eq!(server.get("/kv/7").await.status(), StatusCode::OK);
    assert_eq!(server.get("/health").await.status(), StatusCode::OK);
}

#[tokio::test]
async fn engine_refusals_have_distinct_statuses() {
    let (server, engine) = engine_server(None).await;
    let other = EngineRequest {
        weights_version: 9,
        ..request_for("a")
    };
    let response = server.post("/generate", &other).await;
    assert_eq!(response.status(), StatusCode::CONFLICT);
    for switch in ["refuse", "leaving"] {
        let set = server.post("/faults", &json!({ switch: true })).await;
        assert_eq!(set.status(), StatusCode::OK);
        let response = server.post("/generate", &request_for("a")).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(header(&response, "x-not-run"), "true");
    }
    let unknown = server.post("/faults", &json!({ "refuze": true })).await;
    assert!(unknown.status().is_client_error());
    assert!(
        engine.faults().leaving,
        "a malformed request changes no faults"
    );
    let counts = server.get("/counts").await;
    let counts: EngineCounts = counts.json().await.expect("counts");
    assert_eq!((counts.taken, counts.refused), (0, 3));
}

#[tokio::test]
async fn cut_stream_ends_without_its_last_event() {
    let (server, _engine) = engine_server(None).await;
    server
        .post("/faults", &json!({ "cut_after_chunks": 3 }))
        .await;
    let response = server.post("/generate", &request_for("a")).await;
    let chunks = collect_chunks(response).await;
    assert_eq!(chunks.len(), 3);
    assert!(chunks.iter().all(|chunk| chunk.done.is_none()));
}

#[tokio::test]
async fn disconnect_and_cancel_reach_the_engine() {
    let (server, engine) = engine_server(None).await;
    engine.set_faults(EngineFaults {
        slow_ms: 50,
        ..EngineFaults::default()
    });
    let response = server.post("/generate", &request_for("a")).await;
    drop(response);
    wait_for_counts(&engine, |counts| counts.cancelled == 1).await;
    let response = server.post("/generate", &request_for("a")).await;
    let cancel = server.post("/cancel/attempt-1", &json!({})).await;
    assert_eq!(cancel.status(), StatusCode::OK);
    let chunks = collect_chunks(response).await;
    assert!(chunks.iter().all(|chunk| chunk.done.is_none()));
    let again = server.post("/cancel/attempt-1", &json!({})).await;
    assert_eq!(again.status(), StatusCode::NOT_FOUND);
    assert_eq!(engine.counts().cancelled, 2);
}

#[tokio::test]
async fn frozen_engine_responds_only_to_fault_requests() {
    let (server, _engine) = engine_server(None).await;
    server.post("/faults", &json!({ "freeze": true })).await;
    let request = server.client.get(server.url("/health")).send();
    let result = time::timeout(Duration::from_millis(200), request).await;
    assert!(result.is_err(), "{result:?}");
    server.post("/faults", &json!({})).await;
    assert_eq!(server.get("/health").await.status(), StatusCode::OK);
}

#[tokio::test]
async fn orders_are_applied_and_old_ones_refused() {
    let platform = platform_server().await;
    let platform_url = platform.url("/").into();
    let (server, engine) = engine_server(Some(platform_url)).await;
    let mut order = EngineOrder {
        fencing: 5,
        kind: OrderKind::LoadWeights,
        limit_ms: 60_000,
        name: "".into(),
        weights_version: 2,
    };
    let state = server.post("/orders", &order).await;
    let state: EngineState = state.json().await.expect("a state");
    assert_eq!((state.fencing, state.loading), (5, 2));
    let wait = async {
        while engine.state().weights_version != 2 {
            time::sleep(Duration::from_millis(2)).await;
        }
    };
    time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the load ends");
    order.fencing = 4;
    let old = server.post("/orders", &order).await;
    assert_eq!(old.status(), StatusCode::CONFLICT);
    let counts: Value = platform.get("/counts").await.json().await.expect("counts");
    assert_eq!(counts["most_loads"], 1);
}

/// Calls a service with the headers that the entry sends.
async fn call_service(server: &FakeServer, key: &str) -> reqwest::Result<Response> {
    let call = server.client.post(server.url("/print-orders"));
    call.header("idempotency-key", key)
        .header("x-request-id", "request-1")
        .header("x-attempt-id", "attempt-1")
        .json(&json!({ "boxes": 3 }))
        .send()
        .await
}

#[tokio::test]
async fn service_echoes_headers_and_looks_up_receipts() {
    let service = FakeService::new(true);
    let mounted = service.clone();
    let server = FakeServer::start(|server| http_service::mount(server, mounted)).await;
    assert_eq!(
        server.get("/lookup/key-1").await.status(),
        StatusCode::NOT_FOUND
    );
    let response = call_service(&server, "key-1").await.expect("a response");
    assert_eq!(header(&response, "x-request-id"), "request-1");
    assert_eq!(header(&response, "x-attempt-id"), "attempt-1");
    assert_eq!(header(&response, "x-boot-id"), &*service.boot_id());
    assert_eq!(header(&response, "x-queued"), "0");
    let body: Value = response.json().await.expect("a receipt");
    assert_eq!(body["accepted"], json!({ "boxes": 3 }));
    let receipt = server.get("/lookup/key-1").await;
    assert_eq!(receipt.json::<Value>().await.expect("a receipt"), body);
    server.post("/faults", &json!({ "refuse": true })).await;
    let refused = call_service(&server, "key-2").await.expect("a response");
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&refused, "x-not-run"), "true");
    server
        .post("/faults", &json!({ "crossed_answers": 1 }))
        .await;
    let crossed = call_service(&server, "key-3").await.expect("a response");
    assert_ne!(header(&crossed, "x-request-id"), "request-1");
}

#[tokio::test]
async fn cut_call_gets_no_response_and_its_effect_is_counted() {
    let cases = [("cut_before_effect", 0), ("cut_after_effect", 1)];
    for (switch, effects) in cases {
        let service = FakeService::new(false);
        let mounted = service.clone();
        let server = FakeServer::start(|server| http_service::mount(server, mounted)).await;
        server.post("/faults", &json!({ switch: 1 })).await;
        let body = match call_service(&server, "key-1").await {
            Ok(response) => response.bytes().await,
            Err(error) => Err(error),
        };
        assert!(body.is_err(), "{switch}: {body:?}");
        assert_eq!(service.counts().effects, effects, "{switch}");
        let counts: Value = server.get("/counts").await.json().await.expect("counts");
        assert_eq!(counts["effects"], effects, "{switch}");
    }
}

#[tokio::test]
async fn log_client_works_over_http() {
    let platform = platform_server().await;
    let log = HttpLog::new(&platform.server.url(), WAIT_TIMEOUT).expect("a client");
    let first = log.append("s", "one".into()).await.expect("appended");
    assert_eq!(first.offset, 1);
    let page = log.read("s", 1, 10, Duration::ZERO).await.expect("a page");
    assert_eq!((&*page.records[0].data, page.next), ("one", 2));
    let reader = log.clone();
    let waiting = tokio::spawn(async move { reader.read("s", 2, 10, WAIT_TIMEOUT).await });
    log.append("s", "two".into()).await.expect("appended");
    let page = waiting.await.expect("the task completes").expect("a page");
    assert_eq!(&*page.records[0].data, "two");
    platform
        .post("/faults", &json!({ "log": { "lost_answers": 1 } }))
        .await;
    let lost = log.append("s", "three".into()).await;
    assert!(matches!(lost, Err(LogError::Uncertain(_))), "{lost:?}");
    platform
        .post("/faults", &json!({ "log": { "outage": true } }))
        .await;
    let refused = log.append("s", "four".into()).await;
    assert!(
        matches!(refused, Err(LogError::Unavailable(_))),
        "{refused:?}"
    );
    platform.post("/faults", &json!({})).await;
    let page = log.read("s", 1, 10, Duration::ZERO).await.expect("a page");
    assert_eq!(page.next, 4);
}

#[tokio::test]
async fn endpoints_register_leave_and_are_removed() {
    let platform = platform_server().await;
    let address = ([127, 0, 0, 1], 9).into();
    let listed = registration::live_endpoint("d1", address, "drafter", "kl-a");
    let platform_url = platform.url("/");
    let entry = ListRegistration::new(&platform_url, listed.clone(), platform.client.clone());
    let read = || async {
        let list = platform.get("/list").await.json().await;
        let list: PlatformList = list.expect("a list");
        list.endpoints
    };
    entry.register().await.expect("the list accepts the entry");
    assert_eq!(read().await, [listed]);
    entry.leave().await.expect("the list accepts the entry");
    assert_eq!(read().await[0].state, EndpointState::Leaving);
    entry.remove().await.expect("the entry is removed");
    assert!(read().await.is_empty());
    platform
        .post("/faults", &json!({ "list": { "outage": true } }))
        .await;
    let outage = platform.get("/list").await;
    assert_eq!(outage.status(), StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn kv_store_drops_the_oldest_block() {
    let server = FakeServer::start(|server| http_kv::mount(server, FakeKv::new(2))).await;
    for block in 1..=3 {
        let request = server.client.put(server.url(&format!("/kv/{block}")));
        request.body("content").send().await.expect("a response");
    }
    assert_eq!(server.get("/kv/1").await.status(), StatusCode::NOT_FOUND);
    let content = server.get("/kv/3").await.text().await;
    assert_eq!(content.expect("a body"), "content");
    let counts: Value = server.get("/counts").await.json().await.expect("counts");
    assert_eq!(counts["blocks"], 2);
}

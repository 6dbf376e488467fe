//! Load generator: only complete responses count as calls, and process samples are plausible.

use std::time::Duration;

use reqwest::Client;
use tokio_util::sync::CancellationToken;
use wagtaildoor::schema::EngineRequest;
use wagtaildoor_bench::{
    load_call::{
        CallFailure,
        CallTarget, //
    },
    process_use::WatchedProcess,
};
use wagtaildoor_fakes::{
    fake_engine::{
        engine_faults::EngineFaults,
        EngineProfile,
        FakeEngine, //
    },
    http_engine,
    http_server::{
        self,
        ServerHandle, //
    },
    weight_source::WeightSource,
};

/// Decode time per token of the fake engine.
const DECODE_PER_TOKEN: Duration = Duration::from_millis(20);

/// Serves an engine over HTTP, and returns the call target for it.
async fn target(engine: &FakeEngine) -> (ServerHandle, CallTarget) {
    let server = http_server::build(([127, 0, 0, 1], 0).into());
    let source = WeightSource::new(None, Client::new());
    let server = http_engine::mount(server, engine.clone(), source);
    let server = http_server::start(server, CancellationToken::new()).await;
    let server = server.expect("a free port");
    let request = EngineRequest {
        adapter: "".into(),
        attempt_id: "".into(),
        cache_salt: "".into(),
        levels: Vec::new(),
        max_tokens: 3,
        model: "bench".into(),
        priority: 0,
        prompt: "a".into(),
        request_id: "".into(),
        resume_from: 0,
        weights_version: 1,
    };
    let target = CallTarget::Direct {
        url: server.url().into(),
        request: Box::new(request),
    };
    (server, target)
}

#[tokio::test]
async fn only_whole_answers_count() {
    let engine = FakeEngine::new(EngineProfile {
        decode_per_token: DECODE_PER_TOKEN,
        ..EngineProfile::default()
    });
    let (_server, target) = target(&engine).await;
    let client = Client::builder().no_proxy().build().expect("a client");
    let times = target.call(&client).await.expect("a whole answer");
    assert!(
        times.whole >= times.first_chunk + DECODE_PER_TOKEN,
        "{times:?}"
    );
    engine.set_faults(EngineFaults {
        cut_after_chunks: 2,
        ..EngineFaults::default()
    });
    let cut = target.call(&client).await;
    assert!(matches!(cut, Err(CallFailure::Incomplete)), "{cut:?}");
    engine.set_faults(EngineFaults {
        refuse: true,
        ..EngineFaults::default()
    });
    let refused = target.call(&client).await;
    assert!(
        matches!(refused, Err(CallFailure::Status { status: 503, .. })),
        "{refused:?}"
    );
}

#[test]
fn a_process_tells_its_memory_and_a_malformed_name_is_refused() {
    let text = format!("own={}", std::process::id());
    let process = WatchedProcess::try_from(text.as_str()).expect("a process");
    let used = process.read().expect("it runs");
    assert!(used.memory_kib > 0 && used.peak_kib >= used.memory_kib);
    for malformed in ["own", "own=", "own=x"] {
        assert!(WatchedProcess::try_from(malformed).is_err(), "{malformed}");
    }
}

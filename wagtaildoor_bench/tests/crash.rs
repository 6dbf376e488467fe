//! Requests that crash engines: the counts of a run against stand-ins without an entry.

use reqwest::Client;
use tokio_util::sync::CancellationToken;
use wagtaildoor::schema::EngineRequest;
use wagtaildoor_bench::{
    crash::{
        self,
        CrashCounts,
        CrashPlan, //
    },
    load_call::CallTarget,
};
use wagtaildoor_fakes::{
    fake_engine::{
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

const REQUESTS: u32 = 40;
/// Requests of which one has the crashing text, in the runs with crashes.
const PART_EVERY: u32 = 10;

/// Starts an engine behind a gate.
async fn gated_engine() -> ServerHandle {
    let engine = FakeEngine::new(EngineProfile::default());
    let address = ([127, 0, 0, 1], 0).into();
    let connections = engine.connections();
    let source = WeightSource::new(None, Client::new());
    let server = http_engine::mount(http_server::build(address), engine, source);
    let token = CancellationToken::new();
    let server = http_server::start_gated(server, address, connections, token).await;
    server.expect("a free port")
}

/// Sends requests to two engines in turn, with a fixed seed.
async fn run(part_every: u32, close_delimited: bool) -> CrashCounts {
    let engines = [gated_engine().await, gated_engine().await];
    let plan = CrashPlan {
        engines: engines.iter().map(|engine| engine.address).collect(),
        requests: REQUESTS,
        per_second: 100,
        part_every,
        restart_ms: 50,
        close_delimited,
        seed: 7,
    };
    let target = |prompt: &str, number: u32| CallTarget::Direct {
        url: engines[number as usize % engines.len()].url().into(),
        request: Box::new(EngineRequest {
            adapter: "".into(),
            attempt_id: "".into(),
            cache_salt: "".into(),
            levels: Vec::new(),
            max_tokens: 3,
            model: "bench".into(),
            priority: 0,
            prompt: prompt.into(),
            request_id: "".into(),
            resume_from: 0,
            weights_version: 1,
        }),
    };
    let counts = crash::send_all(&plan, target).await;
    counts.expect("the engines are up")
}

#[tokio::test]
async fn close_delimited_answers_are_whole() {
    let counts = run(0, true).await;
    let whole = CrashCounts {
        sound: REQUESTS.into(),
        sound_whole: REQUESTS.into(),
        ..CrashCounts::default()
    };
    assert_eq!(counts, whole);
}

#[tokio::test]
async fn every_crash_is_counted() {
    let counts = run(PART_EVERY, false).await;
    assert_eq!(counts.crashing + counts.sound, u64::from(REQUESTS));
    assert_eq!(counts.crashing, 5, "the seed is fixed");
    assert!(
        (1..=counts.crashing).contains(&counts.arrivals),
        "{counts:?}"
    );
    assert!(
        (1..=counts.arrivals).contains(&counts.crashes),
        "{counts:?}"
    );
    assert!(
        (1..=counts.sound).contains(&counts.sound_whole),
        "{counts:?}"
    );
}

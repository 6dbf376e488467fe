//! HTTP routes of the engine.

use futures_util::Stream;
use rocket::{
    get,
    http::{
        ContentType,
        Header,
        Status, //
    },
    post,
    put,
    response::stream::{
        stream,
        ByteStream, //
    },
    routes,
    serde::json::Json,
    Build,
    Responder,
    Rocket,
    State, //
};
use wagtaildoor::schema::{
    CacheEventPage,
    EngineChunk,
    EngineOrder,
    EngineRequest,
    EngineState,
    LoadReport, //
};

use crate::{
    fake_engine::{
        engine_faults::{
            EngineCounts,
            EngineFaults, //
        },
        engine_stream::EngineStream,
        EngineRefusal,
        FakeEngine, //
    },
    http_response::NotRunResponse,
    weight_source::WeightSource,
};

/// First bytes of an event.
const EVENT_START: &[u8] = b"data: {\"attempt_id\":";

/// Streamed response with the engine's headers.
#[derive(Responder)]
struct StreamResponse<S> {
    body: (ContentType, ByteStream<S>),
    /// Boot that runs the request.
    boot_id: Header<'static>,
    /// Version of the weights that run the request.
    weights_version: Header<'static>,
    /// Queue depth when the request was accepted.
    queued: Header<'static>,
}

/// Response to a request that was not accepted.
#[derive(Responder)]
enum RefusalResponse {
    /// The engine serves another version of the weights.
    #[response(status = 409)]
    OtherWeights(String),
    /// The request did not run.
    NotRun(NotRunResponse),
}

/// Adds the routes of an engine to a server.
pub fn mount(server: Rocket<Build>, engine: FakeEngine, weights: WeightSource) -> Rocket<Build> {
    let routes = routes![
        cache_events,
        cancel,
        counts,
        faults,
        generate,
        health,
        kv_get,
        kv_put,
        load,
        order,
        state,
    ];
    server.manage(engine).manage(weights).mount("/", routes)
}

/// Streams the response to a request.
#[post("/generate", data = "<request>")]
async fn generate(
    request: Json<EngineRequest>,
    engine: &State<FakeEngine>,
) -> Result<StreamResponse<impl Stream<Item = Vec<u8>>>, RefusalResponse> {
    engine.wait_until_unfrozen().await;
    let stream = engine.generate(request.into_inner())?;
    Ok(StreamResponse {
        boot_id: Header::new("x-boot-id", stream.boot_id.to_string()),
        weights_version: Header::new("x-weights-version", stream.weights_version.to_string()),
        queued: Header::new("x-queued", stream.queued.to_string()),
        body: (ContentType::EventStream, ByteStream(encode_events(stream))),
    })
}

/// Converts chunks to server-sent events; a crash, or an early end, breaks the stream off inside an
/// event.
fn encode_events(mut stream: EngineStream) -> impl Stream<Item = Vec<u8>> {
    stream! {
        let mut is_done = false;
        while let Some(chunk) = stream.chunks.recv().await {
            is_done = chunk.done.is_some();
            if is_done && stream.closes_early {
                yield EVENT_START.to_vec();
                return;
            }
            yield encode_event(&chunk);
        }
        if !is_done && stream.crashed.is_cancelled() {
            yield EVENT_START.to_vec();
        }
    }
}

/// Encodes a chunk as a server-sent event.
fn encode_event(chunk: &EngineChunk) -> Vec<u8> {
    let text = serde_json::to_string(chunk).expect("a chunk serializes to JSON");
    format!("data: {text}\n\n").into_bytes()
}

impl From<EngineRefusal> for RefusalResponse {
    fn from(refusal: EngineRefusal) -> Self {
        match refusal {
            EngineRefusal::OtherWeights(_) => Self::OtherWeights(refusal.to_string()),
            EngineRefusal::NotRun(_) | EngineRefusal::Cut => Self::NotRun(NotRunResponse),
        }
    }
}

/// Cancels an attempt; 404 if it is not in progress.
#[post("/cancel/<attempt>")]
async fn cancel(attempt: &str, engine: &State<FakeEngine>) -> Status {
    engine.wait_until_unfrozen().await;
    match engine.cancel(attempt) {
        true => Status::Ok,
        false => Status::NotFound,
    }
}

/// Returns the load report.
#[get("/load")]
async fn load(engine: &State<FakeEngine>) -> Json<LoadReport> {
    engine.wait_until_unfrozen().await;
    Json(engine.load_report())
}

/// Returns a page of cache events.
#[get("/cache-events?<from>")]
async fn cache_events(from: Option<u64>, engine: &State<FakeEngine>) -> Json<CacheEventPage> {
    engine.wait_until_unfrozen().await;
    Json(engine.cache_events(from.unwrap_or(1)))
}

/// Returns the state that orders change.
#[get("/state")]
async fn state(engine: &State<FakeEngine>) -> Json<EngineState> {
    engine.wait_until_unfrozen().await;
    Json(engine.state())
}

/// Applies an order; 409 if its fencing token is old.
#[post("/orders", data = "<order>")]
async fn order(
    order: Json<EngineOrder>,
    engine: &State<FakeEngine>,
    weights: &State<WeightSource>,
) -> Result<Json<EngineState>, (Status, String)> {
    engine.wait_until_unfrozen().await;
    let delay = weights.load_delay(engine, &order).await;
    engine
        .order_with_delay(&order, |_| delay)
        .map(Json)
        .map_err(|refusal| (Status::Conflict, refusal.to_string()))
}

/// Health check; blocks while the engine is frozen.
#[get("/health")]
async fn health(engine: &State<FakeEngine>) -> &'static str {
    engine.wait_until_unfrozen().await;
    "good"
}

/// Exports a block; 404 if it is not cached.
#[get("/kv/<block>")]
async fn kv_get(block: u64, engine: &State<FakeEngine>) -> Option<Vec<u8>> {
    engine.wait_until_unfrozen().await;
    let held = engine.exports_block(block);
    held.then(|| block.to_le_bytes().to_vec())
}

/// Imports a block.
#[put("/kv/<block>", data = "<_content>")]
async fn kv_put(block: u64, _content: Vec<u8>, engine: &State<FakeEngine>) -> Status {
    engine.wait_until_unfrozen().await;
    engine.import_block(block);
    Status::Ok
}

/// Replaces the active faults.
#[post("/faults", data = "<faults>")]
fn faults(faults: Json<EngineFaults>, engine: &State<FakeEngine>) -> Status {
    engine.set_faults(faults.into_inner());
    Status::Ok
}

/// Returns the counts of work done.
#[get("/counts")]
fn counts(engine: &State<FakeEngine>) -> Json<EngineCounts> {
    Json(engine.counts())
}

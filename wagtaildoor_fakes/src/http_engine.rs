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
use tokio::sync::mpsc;
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
        EngineRefusal,
        FakeEngine, //
    },
    http_answer::NotRunAnswer,
    weight_source::WeightSource,
};

/// A stream of chunks with what the engine says of itself.
#[derive(Responder)]
struct StreamAnswer<S> {
    /// The chunks.
    body: (ContentType, ByteStream<S>),
    /// Start that runs it.
    boot_id: Header<'static>,
    /// Weights that run it.
    weights_version: Header<'static>,
    /// Requests waiting.
    queued: Header<'static>,
}

/// Why a request was not taken.
#[derive(Responder)]
enum RefusalAnswer {
    /// The engine serves other weights.
    #[response(status = 409)]
    OtherWeights(String),
    /// It did not run.
    NotRun(NotRunAnswer),
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

/// Streams the answer to a request.
#[post("/generate", data = "<request>")]
async fn generate(
    request: Json<EngineRequest>,
    engine: &State<FakeEngine>,
) -> Result<StreamAnswer<impl Stream<Item = Vec<u8>>>, RefusalAnswer> {
    engine.thawed().await;
    let stream = engine.generate(request.into_inner())?;
    Ok(StreamAnswer {
        boot_id: Header::new("x-boot-id", stream.boot_id.into_string()),
        weights_version: Header::new("x-weights-version", stream.weights_version.to_string()),
        queued: Header::new("x-queued", stream.queued.to_string()),
        body: (ContentType::EventStream, ByteStream(events(stream.chunks))),
    })
}

/// Chunks as server-sent events.
fn events(mut chunks: mpsc::Receiver<EngineChunk>) -> impl Stream<Item = Vec<u8>> {
    stream! {
        while let Some(chunk) = chunks.recv().await {
            yield event(&chunk);
        }
    }
}

/// One chunk as a server-sent event.
fn event(chunk: &EngineChunk) -> Vec<u8> {
    let text = serde_json::to_string(chunk).expect("a chunk has a form in JSON");
    format!("data: {text}\n\n").into_bytes()
}

impl From<EngineRefusal> for RefusalAnswer {
    fn from(refusal: EngineRefusal) -> Self {
        match refusal {
            EngineRefusal::OtherWeights(_) => Self::OtherWeights(refusal.to_string()),
            EngineRefusal::NotRun(_) | EngineRefusal::Cut => Self::NotRun(NotRunAnswer),
        }
    }
}

/// Cancels an attempt.
#[post("/cancel/<attempt>")]
async fn cancel(attempt: &str, engine: &State<FakeEngine>) -> Status {
    engine.thawed().await;
    match engine.cancel(attempt) {
        true => Status::Ok,
        false => Status::NotFound,
    }
}

/// What the engine says of itself.
#[get("/load")]
async fn load(engine: &State<FakeEngine>) -> Json<LoadReport> {
    engine.thawed().await;
    Json(engine.load_report())
}

/// What became of its cache.
#[get("/cache-events?<from>")]
async fn cache_events(from: Option<u64>, engine: &State<FakeEngine>) -> Json<CacheEventPage> {
    engine.thawed().await;
    Json(engine.cache_events(from.unwrap_or(1)))
}

/// What the engine is.
#[get("/state")]
async fn state(engine: &State<FakeEngine>) -> Json<EngineState> {
    engine.thawed().await;
    Json(engine.state())
}

/// Takes an order.
#[post("/orders", data = "<order>")]
async fn order(
    order: Json<EngineOrder>,
    engine: &State<FakeEngine>,
    weights: &State<WeightSource>,
) -> Result<Json<EngineState>, (Status, String)> {
    engine.thawed().await;
    let delay = weights.delay(engine, &order).await;
    engine
        .order_with_delay(&order, |_| delay)
        .map(Json)
        .map_err(|refusal| (Status::Conflict, refusal.to_string()))
}

/// Whether the engine answers at all.
#[get("/health")]
async fn health(engine: &State<FakeEngine>) -> &'static str {
    engine.thawed().await;
    "good"
}

/// Exports a block.
#[get("/kv/<block>")]
async fn kv_get(block: u64, engine: &State<FakeEngine>) -> Option<Vec<u8>> {
    engine.thawed().await;
    let held = engine.exports_block(block);
    held.then(|| block.to_le_bytes().to_vec())
}

/// Imports a block.
#[put("/kv/<block>", data = "<_content>")]
async fn kv_put(block: u64, _content: Vec<u8>, engine: &State<FakeEngine>) -> Status {
    engine.thawed().await;
    engine.import_block(block);
    Status::Ok
}

/// Switches faults.
#[post("/faults", data = "<faults>")]
fn faults(faults: Json<EngineFaults>, engine: &State<FakeEngine>) -> Status {
    engine.set_faults(faults.into_inner());
    Status::Ok
}

/// What the engine did.
#[get("/counts")]
fn counts(engine: &State<FakeEngine>) -> Json<EngineCounts> {
    Json(engine.counts())
}

//! HTTP routes of the plain service.

use std::path::PathBuf;

use rocket::{
    get,
    http::{
        Header,
        Status, //
    },
    post,
    request::{
        FromRequest,
        Outcome, //
    },
    routes,
    serde::json::{
        Json,
        Value, //
    },
    Build,
    Request,
    Responder,
    Rocket,
    State, //
};
use wagtaildoor::{
    ids::{
        AttemptId,
        RequestId,
        RequestKey, //
    },
    schema::LoadReport,
};

use crate::{
    fake_service::{
        FakeService,
        ServiceCall,
        ServiceCounts,
        ServiceFailure,
        ServiceFaults,
        ServiceReceipt, //
    },
    http_answer::{
        CutAnswer,
        NotRunAnswer, //
    },
};

/// Headers of a call.
struct CallHead {
    /// Idempotency key.
    key: Option<RequestKey>,
    /// Request it belongs to.
    request: RequestId,
    /// Attempt it belongs to.
    attempt: AttemptId,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallHead {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let header = |name| request.headers().get_one(name);
        Outcome::Success(Self {
            key: header("idempotency-key").map(Box::from),
            request: header("x-request-id").unwrap_or_default().into(),
            attempt: header("x-attempt-id").unwrap_or_default().into(),
        })
    }
}

/// An answer with what the service says of itself.
#[derive(Responder)]
struct CallAnswer {
    /// Its body.
    body: Json<ServiceReceipt>,
    /// Request it answers.
    request: Header<'static>,
    /// Attempt it answers.
    attempt: Header<'static>,
    /// Start that ran it.
    boot_id: Header<'static>,
    /// Calls waiting.
    queued: Header<'static>,
}

/// Why a call got no answer.
#[derive(Responder)]
enum FailureAnswer {
    /// It did not run.
    NotRun(NotRunAnswer),
    /// The connection breaks.
    Cut(CutAnswer),
}

/// Adds the routes of a service to a server.
pub fn mount(server: Rocket<Build>, service: FakeService) -> Rocket<Build> {
    let routes = routes![call, counts, faults, health, load, lookup];
    server.manage(service).mount("/", routes)
}

/// Runs a call at any path.
#[post("/<path..>", data = "<body>", rank = 20)]
async fn call(
    path: PathBuf,
    head: CallHead,
    body: Json<Value>,
    service: &State<FakeService>,
) -> Result<CallAnswer, FailureAnswer> {
    let call = ServiceCall {
        path: format!("/{}", path.display()).into(),
        key: head.key,
        request: head.request,
        attempt: head.attempt,
        body: body.into_inner(),
    };
    let answer = service.call(call).await?;
    Ok(CallAnswer {
        body: Json(answer.body),
        request: Header::new("x-request-id", answer.request.into_string()),
        attempt: Header::new("x-attempt-id", answer.attempt.into_string()),
        boot_id: Header::new("x-boot-id", service.boot_id().into_string()),
        queued: Header::new("x-queued", "0"),
    })
}

impl From<ServiceFailure> for FailureAnswer {
    fn from(failure: ServiceFailure) -> Self {
        match failure {
            ServiceFailure::NotRun => Self::NotRun(NotRunAnswer),
            ServiceFailure::Cut => Self::Cut(CutAnswer),
        }
    }
}

/// The recorded answer of a key.
#[get("/lookup/<key>")]
async fn lookup(
    key: &str,
    service: &State<FakeService>,
) -> Result<Option<Json<ServiceReceipt>>, FailureAnswer> {
    let receipt = service.lookup(key).await?;
    Ok(receipt.map(Json))
}

/// What the service says of itself.
#[get("/load")]
async fn load(service: &State<FakeService>) -> Json<LoadReport> {
    service.thawed().await;
    Json(service.load_report())
}

/// Whether the service answers at all.
#[get("/health")]
async fn health(service: &State<FakeService>) -> &'static str {
    service.thawed().await;
    "good"
}

/// Switches faults.
#[post("/faults", data = "<faults>")]
fn faults(faults: Json<ServiceFaults>, service: &State<FakeService>) -> Status {
    service.set_faults(faults.into_inner());
    Status::Ok
}

/// What really took effect.
#[get("/counts")]
fn counts(service: &State<FakeService>) -> Json<ServiceCounts> {
    Json(service.counts())
}

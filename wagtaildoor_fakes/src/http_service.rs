//! HTTP routes of the plain service.

use std::path::PathBuf;

use rocket::{
    get,
    http::{
        ContentType,
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
    http_response::{
        NotRunResponse, //
        TruncatedResponse,
    },
};

/// Headers that identify a call; the idempotency key is optional.
struct CallHeaders {
    key: Option<RequestKey>,
    /// Request that the call belongs to.
    request: RequestId,
    /// Attempt that the call belongs to.
    attempt: AttemptId,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallHeaders {
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

/// Response to a call with the service's headers.
#[derive(Responder)]
struct CallResponse {
    body: (ContentType, Vec<u8>),
    /// Request that the response belongs to.
    request: Header<'static>,
    /// Attempt that the response belongs to.
    attempt: Header<'static>,
    /// Boot that ran the call.
    boot_id: Header<'static>,
    /// Queue depth, always 0.
    queued: Header<'static>,
}

/// Response to a call that failed.
#[derive(Responder)]
enum FailureResponse {
    /// The call did not run.
    NotRun(NotRunResponse),
    /// The connection is closed; the call may have run.
    Cut(TruncatedResponse),
}

/// Adds the routes of a service to a server.
pub fn mount(server: Rocket<Build>, service: FakeService) -> Rocket<Build> {
    let routes = routes![call, counts, faults, health, load, lookup];
    server.manage(service).mount("/", routes)
}

/// Runs a call to any path.
#[post("/<path..>", data = "<body>", rank = 20)]
async fn call(
    path: PathBuf,
    head: CallHeaders,
    body: Json<Value>,
    service: &State<FakeService>,
) -> Result<CallResponse, FailureResponse> {
    let call = ServiceCall {
        path: format!("/{}", path.display()).into(),
        key: head.key,
        request: head.request,
        attempt: head.attempt,
        body: body.into_inner(),
    };
    let answer = service.call(call).await?;
    let mut body = serde_json::to_vec(&answer.body).expect("a receipt serializes to JSON");
    if service.closes_early() {
        body.truncate(body.len() / 2);
    }
    Ok(CallResponse {
        body: (ContentType::JSON, body),
        request: Header::new("x-request-id", answer.request.into_string()),
        attempt: Header::new("x-attempt-id", answer.attempt.into_string()),
        boot_id: Header::new("x-boot-id", service.boot_id().into_string()),
        queued: Header::new("x-queued", "0"),
    })
}

impl From<ServiceFailure> for FailureResponse {
    fn from(failure: ServiceFailure) -> Self {
        match failure {
            ServiceFailure::NotRun => Self::NotRun(NotRunResponse),
            ServiceFailure::Cut => Self::Cut(TruncatedResponse),
        }
    }
}

/// Returns the first receipt of a key; 404 if the key is unknown.
#[get("/lookup/<key>")]
async fn lookup(
    key: &str,
    service: &State<FakeService>,
) -> Result<Option<Json<ServiceReceipt>>, FailureResponse> {
    let receipt = service.lookup(key).await?;
    Ok(receipt.map(Json))
}

/// Returns the load report.
#[get("/load")]
async fn load(service: &State<FakeService>) -> Json<LoadReport> {
    service.wait_until_unfrozen().await;
    Json(service.load_report())
}

/// Health check; blocks while the service is frozen.
#[get("/health")]
async fn health(service: &State<FakeService>) -> &'static str {
    service.wait_until_unfrozen().await;
    "good"
}

/// Replaces the active faults.
#[post("/faults", data = "<faults>")]
fn faults(faults: Json<ServiceFaults>, service: &State<FakeService>) -> Status {
    service.set_faults(faults.into_inner());
    Status::Ok
}

/// Returns the calls and effects so far.
#[get("/counts")]
fn counts(service: &State<FakeService>) -> Json<ServiceCounts> {
    Json(service.counts())
}

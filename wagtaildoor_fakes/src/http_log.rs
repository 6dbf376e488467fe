//! HTTP routes of the platform's log and fault switches.

use std::time::Duration;

use rocket::{
    get,
    http::Status,
    post,
    routes,
    serde::json::Json,
    Build,
    Responder,
    Rocket,
    State, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use wagtaildoor::{
    log_store::{
        LogError,
        LogStore, //
    },
    schema::{
        LogAppended,
        LogPage, //
    },
};

use crate::{
    fake_list::{
        FakeList,
        ListFaults, //
    },
    fake_log::{
        FakeLog,
        LogCounts,
        LogFaults, //
    },
    fake_weights::FakeWeights,
    http_response::TruncatedResponse,
};

/// Default limit of records per page.
const PAGE_RECORDS: usize = 1000;

/// Active faults of the platform; faults missing from a request are unset.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the log's reads and appends.
    pub log: LogFaults,
    /// Faults of the list of endpoints and hosts.
    pub list: ListFaults,
}

/// Activity of the platform.
#[derive(Clone, Debug, Serialize)]
pub struct PlatformCounts {
    /// Calls that the log handled.
    pub log: LogCounts,
    /// Maximum number of concurrent loads of weights so far.
    pub most_loads: u32,
}

/// Response to a failed call to the log.
#[derive(Responder)]
enum LogErrorResponse {
    /// Nothing was appended.
    #[response(status = 503)]
    Unavailable(String),
    /// The connection is closed; an append may have been stored.
    Cut(TruncatedResponse),
}

/// Adds the routes of the log and of the platform's faults to a server.
///
/// The server must also manage the `FakeList` and the `FakeWeights`.
pub fn mount(server: Rocket<Build>, log: FakeLog) -> Rocket<Build> {
    let routes = routes![append, counts, faults, health, read];
    server.manage(log).mount("/", routes)
}

/// Appends a record.
#[post("/streams/<stream>", data = "<data>")]
async fn append(
    stream: &str,
    data: String,
    log: &State<FakeLog>,
) -> Result<Json<LogAppended>, LogErrorResponse> {
    let appended = log.append(stream, data.into()).await?;
    Ok(Json(appended))
}

/// Reads a page of records; waits up to `wait_ms` for the first one.
#[get("/streams/<stream>?<from>&<limit>&<wait_ms>")]
async fn read(
    stream: &str,
    from: Option<u64>,
    limit: Option<usize>,
    wait_ms: Option<u64>,
    log: &State<FakeLog>,
) -> Result<Json<LogPage>, LogErrorResponse> {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0));
    let limit = limit.unwrap_or(PAGE_RECORDS);
    let page = log.read(stream, from.unwrap_or(1), limit, wait).await?;
    Ok(Json(page))
}

impl From<LogError> for LogErrorResponse {
    fn from(error: LogError) -> Self {
        match error {
            LogError::Unavailable(_) => Self::Unavailable(error.to_string()),
            LogError::Uncertain(_) | LogError::Malformed(_) => Self::Cut(TruncatedResponse),
        }
    }
}

#[get("/health")]
fn health() -> &'static str {
    "good"
}

/// Replaces the active faults of the platform.
#[post("/faults", data = "<faults>")]
fn faults(faults: Json<PlatformFaults>, log: &State<FakeLog>, list: &State<FakeList>) -> Status {
    let faults = faults.into_inner();
    log.set_faults(faults.log);
    list.set_faults(faults.list);
    Status::Ok
}

/// Returns the activity of the platform.
#[get("/counts")]
fn counts(log: &State<FakeLog>, weights: &State<FakeWeights>) -> Json<PlatformCounts> {
    Json(PlatformCounts {
        log: log.counts(),
        most_loads: weights.peak_loads(),
    })
}

//! HTTP routes of the platform's log, and of the platform's faults.

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
    http_answer::CutAnswer,
};

/// Records in a page when the reader names no limit.
const PAGE_RECORDS: usize = 1000;

/// Faults of the platform; what is missing goes off.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the log.
    pub log: LogFaults,
    /// Faults of the list.
    pub list: ListFaults,
}

/// What the platform did.
#[derive(Clone, Debug, Serialize)]
pub struct PlatformCounts {
    /// What the log did.
    pub log: LogCounts,
    /// Most loads of weights there were at a time.
    pub most_loads: u32,
}

/// Why a call to the log got no answer.
#[derive(Responder)]
enum LogRefusal {
    /// Nothing was appended.
    #[response(status = 503)]
    Unavailable(String),
    /// The connection breaks.
    Cut(CutAnswer),
}

/// Adds the routes of the log and of the platform's faults to a server.
///
/// The list and the weight store have to be managed by the same server.
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
) -> Result<Json<LogAppended>, LogRefusal> {
    let appended = log.append(stream, data.into()).await?;
    Ok(Json(appended))
}

/// Reads records.
#[get("/streams/<stream>?<from>&<limit>&<wait_ms>")]
async fn read(
    stream: &str,
    from: Option<u64>,
    limit: Option<usize>,
    wait_ms: Option<u64>,
    log: &State<FakeLog>,
) -> Result<Json<LogPage>, LogRefusal> {
    let wait = Duration::from_millis(wait_ms.unwrap_or(0));
    let limit = limit.unwrap_or(PAGE_RECORDS);
    let page = log.read(stream, from.unwrap_or(1), limit, wait).await?;
    Ok(Json(page))
}

impl From<LogError> for LogRefusal {
    fn from(error: LogError) -> Self {
        match error {
            LogError::Unavailable(_) => Self::Unavailable(error.to_string()),
            LogError::Uncertain(_) | LogError::Malformed(_) => Self::Cut(CutAnswer),
        }
    }
}

/// Whether the platform answers at all.
#[get("/health")]
fn health() -> &'static str {
    "good"
}

/// Switches faults.
#[post("/faults", data = "<faults>")]
fn faults(faults: Json<PlatformFaults>, log: &State<FakeLog>, list: &State<FakeList>) -> Status {
    let faults = faults.into_inner();
    log.set_faults(faults.log);
    list.set_faults(faults.list);
    Status::Ok
}

/// What the platform did.
#[get("/counts")]
fn counts(log: &State<FakeLog>, weights: &State<FakeWeights>) -> Json<PlatformCounts> {
    Json(PlatformCounts {
        log: log.counts(),
        most_loads: weights.most_at_once(),
    })
}

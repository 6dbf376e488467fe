//! HTTP routes of the KV store.

use rocket::{
    get,
    http::Status,
    put,
    routes,
    serde::json::Json,
    Build,
    Rocket,
    State, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::fake_kv::FakeKv;

/// Contents of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvCounts {
    /// Number of stored blocks.
    pub blocks: u64,
}

/// Adds the routes of a KV store to a server.
pub fn mount(server: Rocket<Build>, store: FakeKv) -> Rocket<Build> {
    let routes = routes![counts, get_block, health, put_block];
    server.manage(store).mount("/", routes)
}

/// Returns the content of a block; 404 if it is not stored.
#[get("/kv/<block>")]
fn get_block(block: u64, store: &State<FakeKv>) -> Option<Vec<u8>> {
    store.get(block).map(Vec::from)
}

#[put("/kv/<block>", data = "<content>")]
fn put_block(block: u64, content: Vec<u8>, store: &State<FakeKv>) -> Status {
    store.put(block, content.into());
    Status::Ok
}

/// Health check.
#[get("/health")]
fn health() -> &'static str {
    "good"
}

/// Returns the number of stored blocks.
#[get("/counts")]
fn counts(store: &State<FakeKv>) -> Json<KvCounts> {
    Json(KvCounts {
        blocks: store.len() as u64,
    })
}

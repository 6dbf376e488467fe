//! HTTP routes of the platform's list and weight store.

use std::time::Duration;

use rocket::{
    delete,
    get,
    http::Status,
    post,
    put,
    routes,
    serde::json::Json,
    Build,
    Rocket,
    State, //
};
use wagtaildoor::schema::{
    ListedEndpoint,
    ListedHost,
    PlatformList, //
};

use crate::{
    fake_list::FakeList,
    fake_weights::FakeWeights,
    weight_source::{
        LoadDelay, //
        LoadRequest,
    },
};

/// Adds the routes of the list and of the weight store to a server.
pub fn mount(server: Rocket<Build>, list: FakeList, weights: FakeWeights) -> Rocket<Build> {
    let list_routes = routes![put_endpoint, put_host, read, remove_endpoint, remove_host];
    server
        .manage(list)
        .manage(weights)
        .mount("/list", list_routes)
        .mount("/weights", routes![begin_load])
}

/// Returns the list as it was one configured lag ago, or 503 during an outage.
#[get("/")]
fn read(list: &State<FakeList>) -> Result<Json<PlatformList>, Status> {
    list.read()
        .map(Json)
        .map_err(|_| Status::ServiceUnavailable)
}

/// Adds or replaces an endpoint; 400 if the ids in path and body differ.
#[put("/endpoints/<id>", data = "<endpoint>")]
fn put_endpoint(id: &str, endpoint: Json<ListedEndpoint>, list: &State<FakeList>) -> Status {
    if id != &*endpoint.id {
        return Status::BadRequest;
    }
    list.put_endpoint(endpoint.into_inner());
    Status::Ok
}

#[delete("/endpoints/<id>")]
fn remove_endpoint(id: &str, list: &State<FakeList>) {
    list.remove_endpoint(id);
}

/// Adds or replaces a host; 400 if the ids in path and body differ.
#[put("/hosts/<id>", data = "<host>")]
fn put_host(id: &str, host: Json<ListedHost>, list: &State<FakeList>) -> Status {
    if id != &*host.id {
        return Status::BadRequest;
    }
    list.put_host(host.into_inner());
    Status::Ok
}

#[delete("/hosts/<id>")]
fn remove_host(id: &str, list: &State<FakeList>) {
    list.remove_host(id);
}

/// Starts a load of weights and returns its duration.
#[post("/loads", data = "<load>")]
fn begin_load(load: Json<LoadRequest>, weights: &State<FakeWeights>) -> Json<LoadDelay> {
    let delay = weights.start_load(Duration::from_millis(load.alone_ms));
    let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    Json(LoadDelay { delay_ms })
}

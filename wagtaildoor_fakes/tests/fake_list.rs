//! Tests of the fake list: lag and outage.

use std::time::Duration;

use tokio::time;
use wagtaildoor::schema::EndpointState;
use wagtaildoor_fakes::{
    fake_list::{
        FakeList,
        ListFaults,
        ListOutage, //
    },
    registration,
};

/// Returns the ids and states of the endpoints that a reader sees.
fn visible_endpoints(list: &FakeList) -> Vec<(String, EndpointState)> {
    let read = list.read().expect("no outage");
    let pair =
        |endpoint: &wagtaildoor::schema::ListedEndpoint| (endpoint.id.to_string(), endpoint.state);
    read.endpoints.iter().map(pair).collect()
}

/// Adds or replaces a live endpoint.
fn put_live_endpoint(list: &FakeList, id: &str) {
    let address = ([127, 0, 0, 1], 9).into();
    list.put_endpoint(registration::live_endpoint(id, address, "drafter", "kl-a"));
}

#[tokio::test(start_paused = true)]
async fn readers_see_each_version_after_the_lag() {
    let list = FakeList::new();
    list.set_faults(ListFaults {
        lag_ms: 1_000,
        outage: false,
    });
    put_live_endpoint(&list, "d1");
    time::sleep(Duration::from_millis(600)).await;
    list.set_endpoint_state("d1", EndpointState::Leaving);
    assert_eq!(visible_endpoints(&list), []);
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(
        visible_endpoints(&list),
        [("d1".into(), EndpointState::Live)]
    );
    list.remove_endpoint("d1");
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(
        visible_endpoints(&list),
        [("d1".into(), EndpointState::Leaving)]
    );
    assert!(list.current_list().endpoints.is_empty());
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(visible_endpoints(&list), []);
}

#[tokio::test(start_paused = true)]
async fn outage_returns_an_error_and_keeps_the_list() {
    let list = FakeList::new();
    put_live_endpoint(&list, "d1");
    put_live_endpoint(&list, "d2");
    put_live_endpoint(&list, "d1");
    list.set_faults(ListFaults {
        lag_ms: 0,
        outage: true,
    });
    assert_eq!(list.read(), Err(ListOutage));
    list.set_faults(ListFaults::default());
    let names: Vec<String> = visible_endpoints(&list)
        .into_iter()
        .map(|pair| pair.0)
        .collect();
    assert_eq!(names, ["d2", "d1"]);
}

//! Contract of the stand-in list: it lags, and it can be out of order.

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

/// Names and states that a reader sees.
fn seen(list: &FakeList) -> Vec<(String, EndpointState)> {
    let read = list.read().expect("it answers");
    let pair =
        |endpoint: &wagtaildoor::schema::ListedEndpoint| (endpoint.id.to_string(), endpoint.state);
    read.endpoints.iter().map(pair).collect()
}

/// Puts an endpoint into the list.
fn put(list: &FakeList, id: &str) {
    let address = ([127, 0, 0, 1], 9).into();
    list.put_endpoint(registration::live_endpoint(id, address, "drafter", "kl-a"));
}

#[tokio::test(start_paused = true)]
async fn readers_see_each_version_as_late_as_the_lag() {
    let list = FakeList::new();
    list.set_faults(ListFaults {
        lag_ms: 1_000,
        outage: false,
    });
    put(&list, "d1");
    time::sleep(Duration::from_millis(600)).await;
    list.set_endpoint_state("d1", EndpointState::Leaving);
    assert_eq!(seen(&list), []);
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(seen(&list), [("d1".into(), EndpointState::Live)]);
    list.remove_endpoint("d1");
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(seen(&list), [("d1".into(), EndpointState::Leaving)]);
    assert!(list.current_list().endpoints.is_empty());
    time::sleep(Duration::from_millis(600)).await;
    assert_eq!(seen(&list), []);
}

#[tokio::test(start_paused = true)]
async fn an_outage_gives_an_error_and_loses_nothing() {
    let list = FakeList::new();
    put(&list, "d1");
    put(&list, "d2");
    put(&list, "d1");
    list.set_faults(ListFaults {
        lag_ms: 0,
        outage: true,
    });
    assert_eq!(list.read(), Err(ListOutage));
    list.set_faults(ListFaults::default());
    let names: Vec<String> = seen(&list).into_iter().map(|pair| pair.0).collect();
    assert_eq!(names, ["d2", "d1"]);
}

//! Tests of the fake service: effects, lookups, and the effect of each fault.

use std::time::Duration;

use tokio::time::{
    self,
    Instant, //
};
use wagtaildoor_fakes::fake_service::{
    FakeService,
    ServiceCall,
    ServiceFailure,
    ServiceFaults, //
    ServiceResponse,
};

/// Idempotency key of all calls.
const KEY: &str = "key-1";

/// Returns a call with the idempotency key.
fn call() -> ServiceCall {
    ServiceCall {
        path: "/print-orders".into(),
        key: Some(KEY.into()),
        request: "request-1".into(),
        attempt: "attempt-1".into(),
        body: serde_json::json!({ "boxes": 3 }),
    }
}

/// A fault and its expected effect on one call.
struct FaultCase {
    name: &'static str,
    faults: ServiceFaults,
    /// Expected failure; `None` if the call gets a response.
    failure: Option<ServiceFailure>,
    /// Expected number of effects.
    effects: u64,
    /// Minimum duration of the call, in milliseconds.
    takes_ms: u64,
}

/// Returns a case for every fault of a call.
fn fault_cases() -> Vec<FaultCase> {
    let faults = ServiceFaults::default;
    let case = |name, faults, failure, effects, takes_ms| FaultCase {
        name,
        faults,
        failure,
        effects,
        takes_ms,
    };
    let refuse = ServiceFaults {
        refuse: true,
        ..faults()
    };
    let leaving = ServiceFaults {
        leaving: true,
        ..faults()
    };
    let before = ServiceFaults {
        cut_before_effect: 1,
        ..faults()
    };
    let after = ServiceFaults {
        cut_after_effect: 1,
        ..faults()
    };
    let slow_before = ServiceFaults {
        slow_before_ms: 700,
        ..faults()
    };
    let slow_after = ServiceFaults {
        slow_after_ms: 700,
        ..faults()
    };
    vec![
        case("none", faults(), None, 1, 0),
        case("refuse", refuse, Some(ServiceFailure::NotRun), 0, 0),
        case("leaving", leaving, Some(ServiceFailure::NotRun), 0, 0),
        case("cut before", before, Some(ServiceFailure::Cut), 0, 0),
        case("cut after", after, Some(ServiceFailure::Cut), 1, 0),
        case("slow before", slow_before, None, 1, 700),
        case("slow after", slow_after, None, 1, 700),
    ]
}

#[tokio::test(start_paused = true)]
async fn each_fault_takes_effect_and_lookup_shows_effects() {
    for case in fault_cases() {
        let service = FakeService::new(false);
        service.set_faults(case.faults);
        let started_at = Instant::now();
        let result = service.call(call()).await;
        assert_eq!(result.err(), case.failure, "{}", case.name);
        let takes = Duration::from_millis(case.takes_ms);
        assert!(started_at.elapsed() >= takes, "{}", case.name);
        assert_eq!(service.counts().effects, case.effects, "{}", case.name);
        let receipt = service.lookup(KEY).await.expect("the service responds");
        assert_eq!(receipt.is_some(), case.effects > 0, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn only_a_service_that_checks_keys_runs_each_key_once() {
    for checks_keys in [true, false] {
        let service = FakeService::new(checks_keys);
        let first = service.call(call()).await.expect("the call runs");
        let second = service.call(call()).await.expect("the service responds");
        assert_eq!(first.body.receipt == second.body.receipt, checks_keys);
        let effects = if checks_keys { 1 } else { 2 };
        assert_eq!(service.counts().effects_by_key[KEY], effects);
        let receipt = service.lookup(KEY).await.expect("the service responds");
        assert_eq!(receipt, Some(first.body));
    }
}

#[tokio::test(start_paused = true)]
async fn fault_counters_are_decremented() {
    let service = FakeService::new(false);
    service.set_faults(ServiceFaults {
        crossed_answers: 1,
        lookup_failures: 1,
        ..ServiceFaults::default()
    });
    let belongs_to_request = |response: &ServiceResponse| &*response.request == "request-1";
    let crossed = service.call(call()).await.expect("a response");
    assert!(!belongs_to_request(&crossed), "{crossed:?}");
    assert_ne!(crossed.body.accepted, call().body);
    let second = service.call(call()).await.expect("a response");
    assert!(belongs_to_request(&second), "{second:?}");
    assert_eq!(service.lookup(KEY).await, Err(ServiceFailure::Cut));
    assert!(service.lookup(KEY).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn frozen_service_responds_after_it_is_unfrozen() {
    let service = FakeService::new(false);
    service.set_faults(ServiceFaults {
        freeze: true,
        ..ServiceFaults::default()
    });
    let running = service.clone();
    let response = tokio::spawn(async move { running.call(call()).await });
    time::sleep(Duration::from_secs(60)).await;
    assert!(!response.is_finished());
    assert_eq!(service.load_report().running, 1);
    assert_eq!(service.counts().effects, 0);
    service.set_faults(ServiceFaults::default());
    response
        .await
        .expect("the task completes")
        .expect("a response");
    assert_eq!(service.load_report().running, 0);
}

#[tokio::test(start_paused = true)]
async fn crash_changes_the_boot_id_and_keeps_effects() {
    let service = FakeService::new(true);
    service.call(call()).await.expect("the call runs");
    let before = service.boot_id();
    service.set_faults(ServiceFaults {
        crash: true,
        ..ServiceFaults::default()
    });
    assert_ne!(before, service.boot_id());
    service.call(call()).await.expect("the service responds");
    assert_eq!(service.counts().effects, 1);
}

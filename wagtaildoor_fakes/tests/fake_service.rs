//! Contract of the stand-in service: effects, look-up, and that each fault switch bites.

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

/// Key of the calls.
const KEY: &str = "key-1";

/// A call with the key.
fn call() -> ServiceCall {
    ServiceCall {
        path: "/print-orders".into(),
        key: Some(KEY.into()),
        request: "request-1".into(),
        attempt: "attempt-1".into(),
        body: serde_json::json!({ "boxes": 3 }),
    }
}

/// A fault, and what it does to one call.
struct FaultCase {
    /// Its name.
    name: &'static str,
    /// The switch.
    faults: ServiceFaults,
    /// Why no answer comes.
    failure: Option<ServiceFailure>,
    /// Effects of the call.
    effects: u64,
    /// Least time it takes, in milliseconds.
    takes_ms: u64,
}

/// Every fault of a call.
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
async fn each_fault_bites_and_the_look_up_tells_the_truth() {
    for case in fault_cases() {
        let service = FakeService::new(false);
        service.set_faults(case.faults);
        let begun = Instant::now();
        let result = service.call(call()).await;
        assert_eq!(result.err(), case.failure, "{}", case.name);
        let takes = Duration::from_millis(case.takes_ms);
        assert!(begun.elapsed() >= takes, "{}", case.name);
        assert_eq!(service.counts().effects, case.effects, "{}", case.name);
        let seen = service.lookup(KEY).await.expect("it answers");
        assert_eq!(seen.is_some(), case.effects > 0, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn only_a_service_that_checks_keys_runs_each_once() {
    for checks_keys in [true, false] {
        let service = FakeService::new(checks_keys);
        let first = service.call(call()).await.expect("it runs");
        let second = service.call(call()).await.expect("it answers");
        assert_eq!(first.body.receipt == second.body.receipt, checks_keys);
        let effects = if checks_keys { 1 } else { 2 };
        assert_eq!(service.counts().effects_by_key[KEY], effects);
        let seen = service.lookup(KEY).await.expect("it answers");
        assert_eq!(seen, Some(first.body));
    }
}

#[tokio::test(start_paused = true)]
async fn strikes_are_counted_down() {
    let service = FakeService::new(false);
    service.set_faults(ServiceFaults {
        crossed_answers: 1,
        lookup_failures: 1,
        ..ServiceFaults::default()
    });
    let own = |answer: &ServiceResponse| &*answer.request == "request-1";
    let crossed = service.call(call()).await.expect("an answer");
    assert!(!own(&crossed), "{crossed:?}");
    assert_ne!(crossed.body.accepted, call().body);
    let second = service.call(call()).await.expect("an answer");
    assert!(own(&second), "{second:?}");
    assert_eq!(service.lookup(KEY).await, Err(ServiceFailure::Cut));
    assert!(service.lookup(KEY).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_frozen_service_answers_once_it_thaws() {
    let service = FakeService::new(false);
    service.set_faults(ServiceFaults {
        freeze: true,
        ..ServiceFaults::default()
    });
    let running = service.clone();
    let answer = tokio::spawn(async move { running.call(call()).await });
    time::sleep(Duration::from_secs(60)).await;
    assert!(!answer.is_finished());
    assert_eq!(service.load_report().running, 1);
    assert_eq!(service.counts().effects, 0);
    service.set_faults(ServiceFaults::default());
    answer.await.expect("no panic").expect("an answer");
    assert_eq!(service.load_report().running, 0);
}

#[tokio::test(start_paused = true)]
async fn a_crash_gives_a_new_boot_id_and_keeps_effects() {
    let service = FakeService::new(true);
    service.call(call()).await.expect("it runs");
    let before = service.boot_id();
    service.set_faults(ServiceFaults {
        crash: true,
        ..ServiceFaults::default()
    });
    assert_ne!(before, service.boot_id());
    service.call(call()).await.expect("it answers");
    assert_eq!(service.counts().effects, 1);
}

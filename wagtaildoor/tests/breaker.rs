//! Failing endpoints: circuit breaker, retry budget and retry storms.

use std::time::{
    Duration,
    Instant, //
};

use wagtaildoor::{
    breaker::EndpointBreaker,
    error::ErrorKind,
    ids::EndpointId,
    placement::{
        PlacementPolicy,
        PlacementQuery, //
    },
    retry_budget::AttemptBudget,
    routing_table::RoutingTable,
    schema::{
        EndpointNews,
        EndpointState,
        EndpointView, //
    },
};

#[test]
fn open_time_doubles_and_traffic_returns_gradually() {
    let start = Instant::now();
    let mut breaker = EndpointBreaker::default();
    assert_eq!(breaker.request_limit(start), None);
    breaker.record_failure(start);
    assert_eq!(
        breaker.request_limit(start),
        None,
        "one failure is no pattern"
    );
    breaker.record_failure(start);
    assert_eq!(breaker.request_limit(start), Some(0));
    let first_trial = start + Duration::from_millis(500);
    assert_eq!(breaker.request_limit(first_trial), Some(1));
    breaker.record_failure(first_trial);
    assert_eq!(
        breaker.request_limit(first_trial + Duration::from_millis(900)),
        Some(0)
    );
    let second_trial = first_trial + Duration::from_secs(1);
    let mut limits = Vec::new();
    for _ in 0..7 {
        limits.push(breaker.request_limit(second_trial));
        breaker.record_success();
    }
    let expected = [Some(1), Some(2), Some(4), Some(8), Some(16), Some(32), None];
    assert_eq!(limits, expected);
}

#[test]
fn additional_attempts_stay_within_the_budget() {
    for (percent, first, limit) in [(10, 1_000, 110), (0, 1_000, 10), (100, 50, 60)] {
        let budget = AttemptBudget::new(percent);
        let mut additional = 0;
        for _ in 0..first {
            budget.record_first_attempt();
            while budget.try_acquire() {
                additional += 1;
            }
        }
        assert!(additional <= limit, "{percent}%: {additional} of {limit}");
    }
}

/// View of a live endpoint.
fn drafter(number: usize) -> EndpointView {
    EndpointView {
        id: format!("d{number}").into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        pool: "drafter".into(),
        domain: "kl-a".into(),
        state: EndpointState::Live,
        boot_id: format!("boot{number}").into(),
        weights_version: 1,
        running: 0,
        queued: 0,
        report_age_ms: 0,
    }
}

/// Attempts of a run with failing endpoints.
struct AttemptCounts {
    /// Attempts of all requests, including retries.
    attempts: u32,
    /// Attempts that were sent to failing endpoints.
    wasted: u32,
    /// Requests that got no response within the retry budget.
    unanswered: u32,
}

/// Sends requests at an interval of 10 ms while the first `failing` of 18 endpoints fail.
fn run_with_failing_endpoints(failing: usize, requests: u32) -> AttemptCounts {
    let start = Instant::now();
    let table = RoutingTable::with_seed(PlacementPolicy::default(), 3, start);
    let views: Vec<EndpointView> = (0..18).map(drafter).collect();
    table.replace_endpoints(&views, start);
    let failing: Vec<EndpointId> = (0..failing).map(|number| drafter(number).id).collect();
    let budget = AttemptBudget::new(10);
    let mut counts = AttemptCounts {
        attempts: 0,
        wasted: 0,
        unanswered: 0,
    };
    for number in 0..requests {
        let now = start + Duration::from_millis(10) * number;
        let mut exclude: Vec<EndpointId> = Vec::new();
        budget.record_first_attempt();
        loop {
            counts.attempts += 1;
            let query = PlacementQuery {
                pool: "drafter",
                domain: "kl-a",
                weights_version: 1,
                levels: &[],
                prompt_tokens: 100,
                deadline: now + Duration::from_secs(10),
                exclude: &exclude,
            };
            let choice = table.place(&query, now).expect("an endpoint");
            let ticket = table.record_dispatch(&choice, now);
            if !failing.contains(&choice.endpoint) {
                let status = EndpointNews {
                    endpoint: choice.endpoint.clone(),
                    boot_id: choice.boot_id.clone(),
                    weights_version: 1,
                    queued: 0,
                };
                table.record_service_response(ticket, &status, now);
                break;
            }
            counts.wasted += 1;
            table.record_failure(ticket, ErrorKind::EndpointFailed, now);
            exclude.push(choice.endpoint);
            if !budget.try_acquire() {
                counts.unanswered += 1;
                break;
            }
        }
    }
    counts
}

#[test]
fn failure_of_a_third_of_the_endpoints_causes_no_retry_storm() {
    let requests = 3_000;
    let counts = run_with_failing_endpoints(6, requests);
    println!(
        "{} attempts, {} at dead endpoints, {} unanswered",
        counts.attempts, counts.wasted, counts.unanswered
    );
    assert!(counts.attempts <= requests + requests / 10 + 10);
    assert!(
        counts.wasted <= 100,
        "{} attempts at dead endpoints",
        counts.wasted
    );
    assert!(counts.unanswered <= 10, "{} unanswered", counts.unanswered);
}

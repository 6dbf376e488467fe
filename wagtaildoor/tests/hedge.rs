//! Delay and conditions of hedged requests.

use std::time::{
    Duration,
    Instant, //
};

use wagtaildoor::{
    hedge,
    placement::{
        PlacementChoice,
        PlacementPolicy,
        PlacementQuery, //
    },
    routing_table::RoutingTable,
    schema::{
        EndpointState,
        EndpointView,
        Template,
        Urgency, //
    },
};

/// Template with a first-token target of 50 ms.
fn template(repeatable: bool, urgency: Urgency) -> Template {
    let text = r#"{"id":"short","pool":"assistant","adapter":"","path":"","repeatable":true,
        "urgency":"urgent","deadline_ms":1000,"first_token_ms":50,"max_tokens":2,"accounts":[],
        "levels":[]}"#;
    let mut template: Template = serde_json::from_str(text).expect("a template");
    template.repeatable = repeatable;
    template.urgency = urgency;
    template
}

/// Choice of an endpoint with `queued` waiting requests.
fn choice(queued: u32) -> PlacementChoice {
    let now = Instant::now();
    let table = RoutingTable::with_seed(PlacementPolicy::default(), 1, now);
    let view = EndpointView {
        id: "a1".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        pool: "assistant".into(),
        domain: "savannah".into(),
        state: EndpointState::Live,
        boot_id: "boot".into(),
        weights_version: 1,
        running: 0,
        queued,
        report_age_ms: 0,
    };
    table.replace_endpoints(&[view], now);
    let query = PlacementQuery {
        pool: "assistant",
        domain: "savannah",
        weights_version: 1,
        levels: &[],
        prompt_tokens: 8,
        deadline: now + Duration::from_secs(60),
        exclude: &[],
    };
    table.place(&query, now).expect("an endpoint")
}

#[test]
fn only_urgent_repeatable_requests_are_hedged() {
    let cases = [
        ("urgent", true, Urgency::Urgent, 0, Some(50)),
        ("not repeatable", false, Urgency::Urgent, 0, None),
        ("normal", true, Urgency::Normal, 0, None),
        ("batch", true, Urgency::Batch, 0, None),
        ("busy pool", true, Urgency::Urgent, 16, Some(2_002)),
    ];
    for (name, repeatable, urgency, queued, expected_ms) in cases {
        let delay = hedge::delay(&template(repeatable, urgency), &choice(queued));
        assert_eq!(delay, expected_ms.map(Duration::from_millis), "{name}");
    }
}

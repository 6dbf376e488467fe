//! Tests the lookup of routes, client accounts and target services.

use std::time::Duration;

use wagtaildoor_front::{
    route_table::{
        self,
        KeyVerdict,
        RouteTable, //
    },
    service_config::{
        AccountRule,
        CallerLimits,
        RouteKind,
        RouteRule,
        RouteTarget,
        ServiceConfig, //
    },
};

/// Builds a route for a host and a path prefix.
fn route(id: &str, host: &str, path: &str, targets: &[(&str, u32)]) -> RouteRule {
    let targets = targets.iter().map(|&(service, weight)| RouteTarget {
        service: service.into(),
        weight,
    });
    RouteRule {
        id: id.into(),
        host: host.into(),
        path_prefix: path.into(),
        kind: RouteKind::Idempotent,
        attempts: 2,
        timeout: Some(Duration::from_secs(1)),
        first_answer_target: Duration::from_millis(150),
        caller_patience: Duration::from_secs(2),
        event_gap_target: Duration::from_millis(250),
        urgency: 1,
        targets: targets.collect(),
        allows_anonymous: false,
    }
}

/// Builds a configuration with the given routes and client accounts.
fn table(routes: Vec<RouteRule>, accounts: Option<Vec<AccountRule>>) -> RouteTable {
    RouteTable::from(ServiceConfig {
        version: 7,
        routes,
        services: Vec::new(),
        accounts,
        limits: CallerLimits::default(),
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(
        vec![
            route("short", "a.example", "/x/", &[("s", 1)]),
            route("long", "a.example", "/x/y/", &[("s", 1)]),
            route("other", "b.example", "/x/y/z/", &[("s", 1)]),
        ],
        None,
    );
    let cases = [
        ("a.example", "/x/1", Some("short")),
        ("a.example", "/x/y/1", Some("long")),
        ("a.example", "/x/yy/1", Some("short")),
        ("b.example", "/x/y/1", None),
        ("b.example", "/x/y/z/", Some("other")),
        ("c.example", "/x/", None),
        ("a.example", "/x", None),
    ];
    for (host, path, expected) in cases {
        let found = table.find_route(host, path).map(|route| &*route.id);
        assert_eq!(found, expected, "{host}{path}");
    }
}

#[test]
fn a_key_belongs_to_its_account_only_while_it_is_listed() {
    let account = AccountRule {
        id: "school".into(),
        keys: vec!["k1".into(), "k2".into()],
        urgency: None,
        isolated: false,
        quota: None,
    };
    let table = table(Vec::new(), Some(vec![account]));
    let mut closed = route("r", "h", "/", &[]);
    let name = |verdict| match verdict {
        KeyVerdict::Account(account) => account.id.to_string(),
        KeyVerdict::Anonymous => "anonymous".into(),
        KeyVerdict::Unknown => "unknown".into(),
    };
    assert_eq!(name(table.check_key(&closed, Some("k2"))), "school");
    assert_eq!(name(table.check_key(&closed, Some("k3"))), "unknown");
    assert_eq!(name(table.check_key(&closed, None)), "unknown");
    closed.allows_anonymous = true;
    assert_eq!(name(table.check_key(&closed, None)), "anonymous");
}

#[test]
fn targets_are_drawn_by_weight_and_alike_for_the_same_request() {
    let split = route("r", "h", "/", &[("ninety", 90), ("ten", 10), ("none", 0)]);
    let mut first_is_ninety = 0;
    for number in 0..1_000 {
        let request = format!("request-{number}");
        let order = route_table::ordered_targets(&split, &request);
        assert_eq!(order, route_table::ordered_targets(&split, &request));
        assert_eq!(order.len(), 2, "a target without weight gets nothing");
        first_is_ninety += usize::from(&**order[0] == "ninety");
    }
    assert!((850..950).contains(&first_is_ninety), "{first_is_ninety}");
}

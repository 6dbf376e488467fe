//! Placement: which endpoints are eligible, which one is chosen, and the reported reason.

use std::time::{
    Duration,
    Instant, //
};

use wagtaildoor::{
    error::ErrorKind,
    placement::{
        PlacementChoice,
        PlacementPolicy,
        PlacementQuery, //
    },
    prefix::{
        self,
        LevelPrefix, //
    },
    routing_table::RoutingTable,
    schema::{
        CacheEventKind,
        EndpointState,
        EndpointView,
        EngineDone,
        PrefixNews, //
    },
};

/// Prompt size of each query.
const PROMPT_TOKENS: u64 = 4_000;

/// View of a live endpoint in domain kl-a with weights 7.
fn drafter(id: &str) -> EndpointView {
    EndpointView {
        id: id.into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        pool: "drafter".into(),
        domain: "kl-a".into(),
        state: EndpointState::Live,
        boot_id: format!("{id}-boot").into(),
        weights_version: 7,
        running: 0,
        queued: 0,
        report_age_ms: 0,
    }
}

/// Levels of an account's prompt: a long glossary and a dialect.
fn levels(account: &str) -> Vec<LevelPrefix> {
    let glossary = "phrase ".repeat(2_000);
    prefix::level_prefixes(account, "drafter", "", 7, &[&*glossary, "johor"])
}

/// Table with the given endpoints since `start`.
fn table(endpoints: &[EndpointView], start: Instant) -> RoutingTable {
    let table = RoutingTable::with_seed(PlacementPolicy::default(), 1, start);
    table.replace_endpoints(endpoints, start);
    table
}

/// Query for weights 7 from domain kl-a.
fn query(levels: &[LevelPrefix], now: Instant) -> PlacementQuery<'_> {
    PlacementQuery {
        pool: "drafter",
        domain: "kl-a",
        weights_version: 7,
        levels,
        prompt_tokens: PROMPT_TOKENS,
        deadline: now + Duration::from_secs(60),
        exclude: &[],
    }
}

/// Complete response of the chosen endpoint, with the expected number of cached tokens.
fn done(choice: &PlacementChoice) -> EngineDone {
    EngineDone {
        boot_id: choice.boot_id.clone(),
        weights_version: 7,
        chunks: 1,
        prompt_tokens: PROMPT_TOKENS,
        cached_tokens: choice.expected_cached_tokens,
        queued: 0,
        level_blocks: vec![11, 12],
    }
}

/// Places a request and records its complete response.
fn complete_request(table: &RoutingTable, levels: &[LevelPrefix], now: Instant) -> PlacementChoice {
    let choice = table.place(&query(levels, now), now).expect("an endpoint");
    let ticket = table.record_dispatch(&choice, now);
    table.record_completion(ticket, &done(&choice), levels, now);
    choice
}

#[test]
fn only_live_endpoints_with_the_right_weights_get_work() {
    let start = Instant::now();
    type Change = fn(&mut EndpointView);
    let cases: [(&str, Change, Option<ErrorKind>); 5] = [
        ("live", |_| (), None),
        (
            "leaving",
            |view| view.state = EndpointState::Leaving,
            Some(ErrorKind::NoEndpoint),
        ),
        (
            "older weights",
            |view| view.weights_version = 6,
            Some(ErrorKind::NoEndpoint),
        ),
        (
            "newer weights",
            |view| view.weights_version = 8,
            Some(ErrorKind::NoEndpoint),
        ),
        (
            "other pool",
            |view| view.pool = "app".into(),
            Some(ErrorKind::NoEndpoint),
        ),
    ];
    for (name, change, expected) in cases {
        let mut view = drafter("d1");
        change(&mut view);
        let result = table(&[view], start).place(&query(&[], start), start);
        assert_eq!(result.err(), expected, "{name}");
    }
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let start = Instant::now();
    let table = table(&[drafter("d1"), drafter("d2")], start);
    let shared = levels("acct");
    let first = complete_request(&table, &shared, start);
    let mut leaving = drafter(&first.endpoint);
    leaving.state = EndpointState::Leaving;
    table.update_endpoints_at(&[leaving], start);
    for _ in 0..20 {
        assert_ne!(
            complete_request(&table, &shared, start).endpoint,
            first.endpoint
        );
    }
}

#[test]
fn excluded_endpoints_are_skipped() {
    let start = Instant::now();
    let table = table(&[drafter("d1"), drafter("d2")], start);
    let exclude = ["d1".into()];
    let custom_query = PlacementQuery {
        exclude: &exclude,
        ..query(&[], start)
    };
    let choice = table.place(&custom_query, start).expect("an endpoint");
    assert_eq!(&*choice.endpoint, "d2");
}

#[test]
fn a_shared_prompt_goes_back_to_its_holder() {
    let start = Instant::now();
    let endpoints: Vec<EndpointView> = (0..8).map(|n| drafter(&format!("d{n}"))).collect();
    let table = table(&endpoints, start);
    let shared = levels("acct");
    let first = complete_request(&table, &shared, start);
    assert!(
        first.reason.to_string().contains("usual place"),
        "{}",
        first.reason
    );
    let second = complete_request(&table, &shared, start);
    assert_eq!(second.endpoint, first.endpoint);
    assert_eq!(second.expected_cached_tokens, shared[1].tokens);
    assert!(
        second.reason.to_string().contains("already holds"),
        "{}",
        second.reason
    );
}

#[test]
fn hosts_without_state_agree_on_the_home() {
    let start = Instant::now();
    let mut endpoints: Vec<EndpointView> = (0..8).map(|n| drafter(&format!("d{n}"))).collect();
    let first_table = table(&endpoints, start);
    endpoints.reverse();
    let second_table = table(&endpoints, start);
    for account in ["a", "b", "c", "d"] {
        let shared = levels(account);
        let custom_query = query(&shared, start);
        let one = first_table
            .place(&custom_query, start)
            .expect("an endpoint");
        let other = second_table
            .place(&custom_query, start)
            .expect("an endpoint");
        assert_eq!(one.endpoint, other.endpoint, "{account}");
    }
}

#[test]
fn holdings_are_dropped_on_restart_removal_or_eviction() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let cache_event = |boot_id: &str, kind, gap| PrefixNews {
        endpoint: "d1".into(),
        boot_id: boot_id.into(),
        kind,
        blocks: vec![11, 12],
        gap,
    };
    type Change<'a> = &'a dyn Fn(&RoutingTable);
    let restart = |table: &RoutingTable| {
        let mut view = drafter("d1");
        view.boot_id = "other".into();
        table.update_endpoints_at(&[view], later);
    };
    let remove_and_add = |table: &RoutingTable| {
        table.replace_endpoints(&[], later);
        table.replace_endpoints(&[drafter("d1")], later);
    };
    let removed = |table: &RoutingTable| {
        table.apply_cache_event_at(
            &cache_event("d1-boot", CacheEventKind::Removed, false),
            later,
        );
    };
    let cleared = |table: &RoutingTable| {
        table.apply_cache_event_at(
            &cache_event("d1-boot", CacheEventKind::Cleared, false),
            later,
        );
    };
    let earlier_start = |table: &RoutingTable| {
        table.apply_cache_event_at(&cache_event("older", CacheEventKind::Cleared, false), later);
    };
    let gap = |table: &RoutingTable| {
        table.apply_cache_event_at(&cache_event("d1-boot", CacheEventKind::Stored, true), later);
        table.apply_cache_event_at(
            &PrefixNews {
                blocks: vec![],
                ..cache_event("d1-boot", CacheEventKind::Stored, true)
            },
            later + Duration::from_secs(1),
        );
    };
    let whole = levels("acct")[1].tokens;
    let stale = (whole as f64 * PlacementPolicy::default().initial_stale_accuracy) as u64;
    let home = PlacementPolicy::default().initial_home_accuracy;
    let unknown = (whole as f64 * home) as u64;
    let cases: [(&str, Change, u64); 6] = [
        ("restart", &restart, unknown),
        ("removed and added again", &remove_and_add, unknown),
        ("blocks removed", &removed, unknown),
        ("cache cleared", &cleared, unknown),
        ("event of an earlier start", &earlier_start, whole),
        ("missed events", &gap, stale),
    ];
    for (name, change, expected) in cases {
        let table = table(&[drafter("d1")], start);
        let shared = levels("acct");
        complete_request(&table, &shared, start);
        change(&table);
        let after = later + Duration::from_secs(2);
        let choice = table
            .place(&query(&shared, after), after)
            .expect("an endpoint");
        assert_eq!(choice.expected_cached_tokens, expected, "{name}");
    }
}

#[test]
fn a_late_report_does_not_restore_an_earlier_start() {
    let start = Instant::now();
    let later = start + Duration::from_secs(5);
    let table = table(&[drafter("d1")], start);
    let mut restarted = drafter("d1");
    restarted.boot_id = "second".into();
    table.update_endpoints_at(&[restarted], later);
    let mut late = drafter("d1");
    late.report_age_ms = 3_000;
    table.update_endpoints_at(&[late], later);
    table.update_endpoints_at(&[drafter("d1")], later + Duration::from_secs(1));
    let choice = table.place(&query(&[], later), later).expect("an endpoint");
    assert_eq!(&*choice.boot_id, "second");
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_before_anything_is_sent() {
    let start = Instant::now();
    let table = table(&[drafter("d1")], start);
    let custom_query = PlacementQuery {
        deadline: start + Duration::from_millis(1),
        ..query(&[], start)
    };
    let result = table.place(&custom_query, start);
    assert_eq!(result.err(), Some(ErrorKind::DeadlineUnreachable));
}

#[test]
fn a_dropped_ticket_releases_its_load() {
    let start = Instant::now();
    let policy = PlacementPolicy {
        endpoint_in_flight: 1,
        ..PlacementPolicy::default()
    };
    let table = RoutingTable::with_seed(policy, 1, start);
    table.replace_endpoints(&[drafter("d1")], start);
    let choice = table.place(&query(&[], start), start).expect("an endpoint");
    let ticket = table.record_dispatch(&choice, start);
    let full = table.place(&query(&[], start), start);
    assert_eq!(full.err(), Some(ErrorKind::Overloaded));
    drop(ticket);
    assert!(table.place(&query(&[], start), start).is_ok());
}

#[test]
fn a_busy_holder_is_skipped_when_another_endpoint_is_faster() {
    let start = Instant::now();
    let table = table(&[drafter("d1"), drafter("d2")], start);
    let shared = levels("acct");
    let first = complete_request(&table, &shared, start);
    let mut busy = drafter(&first.endpoint);
    busy.running = 16;
    busy.queued = 60;
    table.update_endpoints_at(&[busy], start);
    let second = table
        .place(&query(&shared, start), start)
        .expect("an endpoint");
    assert_ne!(second.endpoint, first.endpoint);
    assert!(
        second.reason.to_string().contains("answers sooner"),
        "{}",
        second.reason
    );
}

#[test]
fn levels_are_imported_from_a_busy_holder_when_that_is_cheaper_than_prefill() {
    let start = Instant::now();
    let cases = [
        ("engines cannot import", None, false),
        ("import is slower than prefill", Some(1_000.0), false),
        ("import is faster than prefill", Some(1_000_000.0), true),
    ];
    for (name, import_tokens_per_s, expected) in cases {
        let policy = PlacementPolicy {
            import_tokens_per_s,
            ..PlacementPolicy::default()
        };
        let table = RoutingTable::with_seed(policy, 1, start);
        table.replace_endpoints(&[drafter("d1"), drafter("d2")], start);
        let shared = levels("acct");
        let first = complete_request(&table, &shared, start);
        let mut busy = drafter(&first.endpoint);
        busy.running = 16;
        busy.queued = 60;
        table.update_endpoints_at(&[busy], start);
        let second = table
            .place(&query(&shared, start), start)
            .expect("an endpoint");
        assert_ne!(second.endpoint, first.endpoint, "{name}");
        let imports = second.import_from == Some(first.address);
        assert_eq!(imports, expected, "{name}: {}", second.reason);
    }
}

//! Placement: who may get a request, who gets it, and why.

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

/// Tokens of the whole prompt of each query.
const PROMPT_TOKENS: u64 = 4_000;

/// A live drafter of failure domain kl-a with weights 7.
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

/// A table that knows endpoints since `start`.
fn table(endpoints: &[EndpointView], start: Instant) -> RoutingTable {
    let table = RoutingTable::with_seed(PlacementPolicy::default(), 1, start);
    table.replace_endpoints(endpoints, start);
    table
}

/// A request for weights 7 from kl-a.
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

/// The whole answer of an endpoint's present start, which found what was expected.
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

/// Places, sends and answers one request.
fn run_one(table: &RoutingTable, levels: &[LevelPrefix], now: Instant) -> PlacementChoice {
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
fn an_endpoint_that_starts_to_leave_gets_nothing_new() {
    let start = Instant::now();
    let table = table(&[drafter("d1"), drafter("d2")], start);
    let shared = levels("acct");
    let first = run_one(&table, &shared, start);
    let mut leaving = drafter(&first.endpoint);
    leaving.state = EndpointState::Leaving;
    table.update_endpoints_at(&[leaving], start);
    for _ in 0..20 {
        assert_ne!(run_one(&table, &shared, start).endpoint, first.endpoint);
    }
}

#[test]
fn excluded_endpoints_are_passed_over() {
    let start = Instant::now();
    let table = table(&[drafter("d1"), drafter("d2")], start);
    let exclude = ["d1".into()];
    let asked = PlacementQuery {
        exclude: &exclude,
        ..query(&[], start)
    };
    let choice = table.place(&asked, start).expect("an endpoint");
    assert_eq!(&*choice.endpoint, "d2");
}

#[test]
fn a_shared_prompt_goes_back_to_its_holder() {
    let start = Instant::now();
    let endpoints: Vec<EndpointView> = (0..8).map(|n| drafter(&format!("d{n}"))).collect();
    let table = table(&endpoints, start);
    let shared = levels("acct");
    let first = run_one(&table, &shared, start);
    assert!(
        first.reason.to_string().contains("usual place"),
        "{}",
        first.reason
    );
    let second = run_one(&table, &shared, start);
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
    let near = table(&endpoints, start);
    endpoints.reverse();
    let far = table(&endpoints, start);
    for account in ["a", "b", "c", "d"] {
        let shared = levels(account);
        let asked = query(&shared, start);
        let one = near.place(&asked, start).expect("an endpoint");
        let other = far.place(&asked, start).expect("an endpoint");
        assert_eq!(one.endpoint, other.endpoint, "{account}");
    }
}

#[test]
fn what_an_endpoint_held_is_forgotten_with_its_start_weights_or_blocks() {
    let start = Instant::now();
    let later = start + Duration::from_secs(1);
    let news = |boot_id: &str, kind, gap| PrefixNews {
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
    let gone_and_back = |table: &RoutingTable| {
        table.replace_endpoints(&[], later);
        table.replace_endpoints(&[drafter("d1")], later);
    };
    let removed = |table: &RoutingTable| {
        table.apply_cache_event_at(&news("d1-boot", CacheEventKind::Removed, false), later);
    };
    let cleared = |table: &RoutingTable| {
        table.apply_cache_event_at(&news("d1-boot", CacheEventKind::Cleared, false), later);
    };
    let other_start = |table: &RoutingTable| {
        table.apply_cache_event_at(&news("older", CacheEventKind::Cleared, false), later);
    };
    let gap = |table: &RoutingTable| {
        table.apply_cache_event_at(&news("d1-boot", CacheEventKind::Stored, true), later);
        table.apply_cache_event_at(
            &PrefixNews {
                blocks: vec![],
                ..news("d1-boot", CacheEventKind::Stored, true)
            },
            later + Duration::from_secs(1),
        );
    };
    let whole = levels("acct")[1].tokens;
    let doubtful = (whole as f64 * PlacementPolicy::default().initial_stale_accuracy) as u64;
    let home = PlacementPolicy::default().initial_home_accuracy;
    let unknown = (whole as f64 * home) as u64;
    let cases: [(&str, Change, u64); 6] = [
        ("new start", &restart, unknown),
        ("gone and back", &gone_and_back, unknown),
        ("blocks removed", &removed, unknown),
        ("cache cleared", &cleared, unknown),
        ("event of another start", &other_start, whole),
        ("missed events", &gap, doubtful),
    ];
    for (name, change, expected) in cases {
        let table = table(&[drafter("d1")], start);
        let shared = levels("acct");
        run_one(&table, &shared, start);
        change(&table);
        let after = later + Duration::from_secs(2);
        let choice = table
            .place(&query(&shared, after), after)
            .expect("an endpoint");
        assert_eq!(choice.expected_cached_tokens, expected, "{name}");
    }
}

#[test]
fn a_late_word_does_not_bring_an_earlier_start_back() {
    let start = Instant::now();
    let later = start + Duration::from_secs(5);
    let table = table(&[drafter("d1")], start);
    let mut renewed = drafter("d1");
    renewed.boot_id = "second".into();
    table.update_endpoints_at(&[renewed], later);
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
    let asked = PlacementQuery {
        deadline: start + Duration::from_millis(1),
        ..query(&[], start)
    };
    let result = table.place(&asked, start);
    assert_eq!(result.err(), Some(ErrorKind::DeadlineUnreachable));
}

#[test]
fn a_dropped_ticket_gives_its_load_back() {
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
fn a_busy_holder_is_passed_over_when_that_is_faster() {
    let start = Instant::now();
    let table = table(&[drafter("d1"), drafter("d2")], start);
    let shared = levels("acct");
    let first = run_one(&table, &shared, start);
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
        let first = run_one(&table, &shared, start);
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

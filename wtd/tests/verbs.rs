//! Runs subcommands against servers with fixed responses, and checks the sent requests, the output
//! and the exit kind.

use std::{
    fs,
    net::SocketAddr, //
};

use serde_json::json;
use wagtaildoor::{
    config_change,
    schema::{
        ClockStamp,
        ConfigHead,
        Configuration,
        EndpointState,
        EndpointView,
        EventKind,
        EventPage,
        HeldConfiguration,
        KeeperStatus,
        Pool,
        PoolKind,
        PublishAnswer,
        PublishRefusal,
        RolloutAnswer,
        SettleAnswer,
        TimelineEvent,
        UnresolvedOrder,
        UnresolvedPage, //
    },
    template_file,
};
use wtd::{
    cli,
    exit::{
        ExitKind,
        Result, //
    },
    output::CommandOutput,
    run,
};

#[path = "support/canned_server.rs"]
mod canned_server;
#[path = "../../wagtaildoor/tests/support/folder.rs"]
mod folder;

use canned_server::CannedServer;
use folder::TestFolder;

/// Folder of the publisher account's templates.
const PUBLISHER_TEMPLATES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../templates/publisher");

/// Address where nothing listens: port 1 is reserved and not served on loopback.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

/// Runs a subcommand with settings that list these processes.
async fn run_wtd(
    keepers: &[SocketAddr],
    entries: &[SocketAddr],
    arguments: &[&str],
) -> Result<CommandOutput> {
    let folder = TestFolder::new("wtd-verbs");
    let settings = folder.path().join("wtd.ini");
    let list = |addresses: &[SocketAddr]| {
        let all: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        all.join(", ")
    };
    let text = format!(
        "[operator]\nname = Mei\nlog_url = http://{UNUSED_ADDRESS}\nkeepers = {}\nentries = {}\n",
        list(keepers),
        list(entries),
    );
    fs::write(&settings, text).expect("failed to write the file");
    let settings = settings.display().to_string();
    let arguments = [&["wtd", "--settings", &settings], arguments].concat();
    let matches = cli::command()
        .try_get_matches_from(arguments)
        .expect("invalid command line");
    run::execute(&matches).await
}

/// Returns the exit kind of a finished run.
fn exit_kind(output: &Result<CommandOutput>) -> ExitKind {
    match output {
        Ok(output) => output.exit,
        Err(error) => error.exit_kind(),
    }
}

/// Returns an address where nothing listens.
fn unused_address() -> SocketAddr {
    UNUSED_ADDRESS.parse().expect("invalid address")
}

/// Returns the head of the configuration with this sequence number.
fn config_head(sequence: u64) -> ConfigHead {
    ConfigHead {
        sequence,
        hash: "abcdef0123456789".into(),
        offset: sequence,
    }
}

/// Returns a configuration that contains only the pool `drafter` at weights version 2.
fn configuration() -> Configuration {
    let pool = Pool {
        id: "drafter".into(),
        kind: PoolKind::Model,
        weights_version: 2,
        load_slots: 2,
        checks_fencing: false,
        checks_request_keys: false,
        lookup_path: "".into(),
    };
    Configuration {
        accounts: vec![],
        pools: vec![pool],
        templates: vec![],
        texts: vec![],
    }
}

/// Creates a keeper without endpoints that accepts publications and rollouts.
fn accepting_keeper() -> CannedServer {
    accepting_keeper_with_status(keeper_status(vec![]))
}

/// Creates a keeper with this status that accepts publications and rollouts.
fn accepting_keeper_with_status(status: KeeperStatus) -> CannedServer {
    let accepted = PublishAnswer {
        head: config_head(3),
        held: vec!["north-1".into(), "south-1".into()],
        behind: vec!["south-2".into()],
    };
    keeper_with_configuration(&configuration())
        .with_response("GET /status", 200, &status)
        .with_response("POST /publish", 200, &accepted)
        .with_response("POST /rollout", 200, &rollout_answer(true))
}

/// Returns a keeper's response to a rollout call.
fn rollout_answer(started: bool) -> RolloutAnswer {
    RolloutAnswer {
        started,
        reason: "this keeper drives it".into(),
    }
}

/// Returns the status of a keeper that knows these endpoints.
fn keeper_status(endpoints: Vec<EndpointView>) -> KeeperStatus {
    KeeperStatus {
        host: "north-1".into(),
        domain: "north".into(),
        head: config_head(2),
        config_age_ms: 100,
        platform_age_ms: 200,
        endpoints,
        hosts: vec![],
    }
}

/// Creates a keeper that returns this configuration and answers all other requests with 404.
fn keeper_with_configuration(in_force: &Configuration) -> CannedServer {
    let held = HeldConfiguration {
        head: config_head(2),
        configuration: in_force.clone(),
    };
    CannedServer::default().with_response("GET /held-configuration", 200, &held)
}

/// Returns an event of request `r` and account `school` in an entry on this host.
fn event(host: &str, wall_ms: u64, kind: EventKind, detail: &str) -> TimelineEvent {
    TimelineEvent {
        stamp: ClockStamp {
            wall_ms,
            counter: 0,
        },
        host: host.into(),
        process: "entry".into(),
        kind,
        request: Some("r".into()),
        account: Some("school".into()),
        endpoint: None,
        detail: detail.into(),
    }
}

/// Creates a process that returns these events for any filter.
fn server_with_events(events: Vec<TimelineEvent>) -> CannedServer {
    CannedServer::default().with_response("GET /timeline", 200, &EventPage { dropped: 0, events })
}

/// Returns the standard output of a successful run.
fn printed_text(output: Result<CommandOutput>) -> String {
    output.expect("the subcommand failed").text
}

#[tokio::test]
async fn publish_sends_difference_and_lists_hosts_behind() {
    let keeper = accepting_keeper();
    let address = keeper.start().await;
    let arguments = ["publish", PUBLISHER_TEMPLATES, "--note", "first"];
    let output = run_wtd(&[unused_address(), address], &[], &arguments)
        .await
        .expect("publish failed");
    assert!(output
        .text
        .starts_with("Accepted as configuration 3 (abcdef012345):"));
    assert!(output.text.contains("Held by 2 hosts: north-1, south-1."));
    assert!(output.text.contains("Not yet seen to hold it: south-2."));
    assert_eq!(
        output.warnings.len(),
        1,
        "expected one warning about newer weights in force: {:?}",
        output.warnings
    );
    let sent = keeper.requests_to("POST /publish");
    assert_eq!(sent.len(), 1);
    let body: serde_json::Value =
        serde_json::from_str(&sent[0].body).expect("the body is not JSON");
    assert_eq!(
        (&body["operator"], &body["note"]),
        (&json!("Mei"), &json!("first"))
    );
    assert_eq!(body["seen"]["sequence"], 2);
    assert_eq!(
        body["changes"]
            .as_array()
            .expect("changes is not an array")
            .len(),
        18
    );
}

#[tokio::test]
async fn publish_sends_nothing_without_difference_or_on_dry_run() {
    let mut in_force = configuration();
    let changes = template_file::read_folder(PUBLISHER_TEMPLATES.as_ref())
        .expect("the templates are invalid");
    for change in changes {
        use wagtaildoor::schema::ConfigChange;
        match change {
            ConfigChange::PutText(text) => in_force.texts.push(text),
            ConfigChange::PutAccount(account) => in_force.accounts.push(account),
            ConfigChange::PutTemplate(template) => in_force.templates.push(template),
            ConfigChange::PutPool(pool) => {
                in_force.pools.retain(|old| old.id != pool.id);
                in_force.pools.push(pool);
            }
            other => panic!("unexpected change from a folder: {other:?}"),
        }
    }
    let unchanged = keeper_with_configuration(&in_force);
    let text = printed_text(
        run_wtd(
            &[unchanged.start().await],
            &[],
            &["publish", PUBLISHER_TEMPLATES],
        )
        .await,
    );
    assert!(text.contains("Nothing differs"), "{text}");
    let dry = accepting_keeper();
    let arguments = ["publish", PUBLISHER_TEMPLATES, "--dry-run"];
    let text = printed_text(run_wtd(&[dry.start().await], &[], &arguments).await);
    assert!(text.contains("  template print-order\n"), "{text}");
    assert!(dry.requests_to("POST").is_empty() && unchanged.requests_to("POST").is_empty());
}

#[tokio::test]
async fn publish_conflict_names_the_other_operator() {
    let refused = PublishRefusal {
        lost_to: Some("Ravi".into()),
        head: config_head(7),
        reason: "Ravi published configuration 7 first".into(),
    };
    let keeper =
        keeper_with_configuration(&configuration()).with_response("POST /publish", 409, &refused);
    let output = run_wtd(
        &[keeper.start().await],
        &[],
        &["publish", PUBLISHER_TEMPLATES],
    )
    .await;
    assert_eq!(exit_kind(&output), ExitKind::NotAccepted);
    let text = output.expect_err("the call should be rejected").to_string();
    assert!(
        text.contains("Ravi was first, with configuration 7"),
        "{text}"
    );
}

/// A keeper that closes the connection without a response may still accept the change. The tool
/// must report the unknown outcome and not send the change to another keeper.
#[tokio::test]
async fn change_with_lost_response_is_not_retried_at_another_keeper() {
    let closing =
        keeper_with_configuration(&configuration()).with_response("POST /publish", 0, &());
    let other = accepting_keeper();
    let keepers = [closing.start().await, other.start().await];
    let output = run_wtd(&keepers, &[], &["publish", PUBLISHER_TEMPLATES]).await;
    assert_eq!(exit_kind(&output), ExitKind::NoAnswer);
    let text = output
        .expect_err("the outcome should be unknown")
        .to_string();
    assert!(text.contains("it may yet be accepted"), "{text}");
    assert_eq!(closing.requests_to("POST").len(), 1);
    assert!(other.requests_to("POST").is_empty());
}

#[tokio::test]
async fn amend_rejects_older_weights_and_unknown_names() {
    let cases: [(&[&str], ExitKind); 5] = [
        (&["amend", "--raise", "drafter=3"], ExitKind::Done),
        (&["amend", "--raise", "drafter=1"], ExitKind::NotAccepted),
        (&["amend", "--raise", "drafter"], ExitKind::NotAccepted),
        (&["amend", "--raise", "other=3"], ExitKind::NotFound),
        (&["amend", "--remove", "draft"], ExitKind::NotFound),
    ];
    for (arguments, expected) in cases {
        let keeper = accepting_keeper();
        let output = run_wtd(&[keeper.start().await], &[], arguments).await;
        assert_eq!(exit_kind(&output), expected, "{arguments:?}");
        let sent = keeper.requests_to("POST").len();
        assert_eq!(
            sent,
            usize::from(expected == ExitKind::Done),
            "{arguments:?}"
        );
    }
}

#[tokio::test]
async fn explain_merges_all_processes_and_lists_missing_ones() {
    let received = event(
        "north-1",
        5,
        EventKind::RequestReceived,
        "school asked for draft",
    );
    let answered = event("north-1", 9, EventKind::RequestAnswered, "in 3 pieces");
    let keeper = server_with_events(vec![answered]).start().await;
    let entry = server_with_events(vec![received]);
    let entries = [entry.start().await, unused_address()];
    let output = run_wtd(&[keeper], &entries, &["explain", "r"])
        .await
        .expect("explain failed");
    assert_eq!(output.exit, ExitKind::Partial);
    assert!(
        output.warnings[0].contains(UNUSED_ADDRESS),
        "{:?}",
        output.warnings
    );
    let (first, last) = (
        output.text.find("asked for draft"),
        output.text.find("in 3 pieces"),
    );
    assert!(first.is_some() && first < last, "{}", output.text);
    assert!(output.text.contains("In short: it ran"));
    assert_eq!(entry.requests_to("GET /timeline?request=r").len(), 1);

    let unknown = run_wtd(&[keeper], &[], &["explain", "s"]).await;
    assert_eq!(exit_kind(&unknown), ExitKind::NotFound);
}

#[tokio::test]
async fn explain_prints_json() {
    let refused = event(
        "north-1",
        5,
        EventKind::RequestRefused,
        "overloaded: no room",
    );
    let keeper = server_with_events(vec![refused]).start().await;
    let text = printed_text(run_wtd(&[keeper], &[], &["explain", "r", "--json"]).await);
    let value: serde_json::Value = serde_json::from_str(&text).expect("the output is not JSON");
    assert_eq!(value["verdict"], "not_run");
}

#[tokio::test]
async fn timeline_filters_events_and_prints_one_line_each() {
    let events = vec![
        event("north-1", 2, EventKind::RequestReceived, "two\nlines"),
        event("south-1", 1, EventKind::RequestReceived, "first"),
    ];
    let server = server_with_events(events);
    let keeper = server.start().await;
    let text = printed_text(run_wtd(&[keeper], &[], &["timeline"]).await);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].starts_with("1970-01-01 00:00:00.001 UTC +0 south-1/entry request_received"));
    let north = printed_text(run_wtd(&[keeper], &[], &["timeline", "--host", "north-1"]).await);
    assert_eq!(north.lines().count(), 1);
    assert_eq!(server.requests_to("GET /timeline?newest=2000").len(), 2);
    let none = run_wtd(&[unused_address()], &[], &["timeline"]).await;
    assert_eq!(exit_kind(&none), ExitKind::NoAnswer);
}

#[tokio::test]
async fn timeline_renders_collected_logs_as_escaped_html() {
    let folder = TestFolder::new("wtd-logs");
    let log = folder.path().join("entry.log");
    let page = folder.path().join("page.html");
    let log_line = json!({
        "msg": "timeline event", "host": "north-1", "process": "entry", "event": "first_token",
        "wall_ms": 3, "counter": 1, "request": "r", "account": null, "endpoint": null,
        "detail": "<script>",
    });
    fs::write(&log, format!("{log_line}\nnot JSON\n")).expect("failed to write the file");
    let (log, html) = (log.display().to_string(), page.display().to_string());
    let output = run_wtd(
        &[unused_address()],
        &[],
        &["timeline", "--logs", &log, "--html", &html],
    )
    .await;
    let output = output.expect("timeline failed");
    assert_eq!(output.exit, ExitKind::Partial);
    assert!(output.warnings[0].contains("1 malformed line"));
    let page = fs::read_to_string(page).expect("failed to read the page");
    assert!(
        page.contains("&lt;script&gt;") && !page.contains("<script"),
        "{page}"
    );
}

#[tokio::test]
async fn settle_sends_the_attempt_that_holds_the_claim() {
    let order = UnresolvedOrder {
        account: "school".into(),
        key: "k".into(),
        attempt: "a1".into(),
        request: "r".into(),
        template: "print-order".into(),
        host: "north-1".into(),
        age_ms: 90_000,
    };
    let page = UnresolvedPage {
        orders: vec![order],
    };
    let accepted = SettleAnswer {
        settled: true,
        reason: "on record".into(),
    };
    let refused = SettleAnswer {
        settled: false,
        reason: "the claim is too young".into(),
    };
    let listing = CannedServer::default().with_response("GET /unresolved", 200, &page);
    let text = printed_text(run_wtd(&[listing.start().await], &[], &["unresolved"]).await);
    assert!(
        text.contains("print-order") && text.contains("90 s ago"),
        "{text}"
    );

    let settle = [
        "unresolved",
        "--settle",
        "k",
        "--as",
        "not_run",
        "--note",
        "asked the shop",
    ];
    let accepting = listing
        .clone()
        .with_response("POST /settle", 200, &accepted);
    let output = run_wtd(&[accepting.start().await], &[], &settle).await;
    assert_eq!(exit_kind(&output), ExitKind::Done);
    let sent = accepting.requests_to("POST /settle");
    let body: serde_json::Value =
        serde_json::from_str(&sent[0].body).expect("the body is not JSON");
    let expected = json!({
        "account": "school", "key": "k", "attempt": "a1", "settled": "not_run", "by": "Mei",
        "note": "asked the shop",
    });
    assert_eq!(body, expected);

    let refusing = CannedServer::default()
        .with_response("GET /unresolved", 200, &page)
        .with_response("POST /settle", 409, &refused);
    let output = run_wtd(&[refusing.start().await], &[], &settle).await;
    assert_eq!(exit_kind(&output), ExitKind::NotAccepted);
    assert!(output
        .expect_err("the call should be rejected")
        .to_string()
        .contains("too young"));
    let other = [
        "unresolved",
        "--settle",
        "other",
        "--as",
        "ran",
        "--note",
        "n",
    ];
    let output = run_wtd(&[refusing.start().await], &[], &other).await;
    assert_eq!(exit_kind(&output), ExitKind::NotFound);
}

#[tokio::test]
async fn status_and_rollout_show_served_versions() {
    let endpoint = |number: u64, weights_version| EndpointView {
        id: format!("drafter-{number}").into(),
        address: unused_address(),
        pool: "drafter".into(),
        domain: "north".into(),
        state: EndpointState::Live,
        boot_id: "b".into(),
        weights_version,
        running: 1,
        queued: 0,
        report_age_ms: 400,
    };
    let status = keeper_status(vec![endpoint(1, 2), endpoint(2, 1)]);
    let keeper = accepting_keeper_with_status(status).start().await;
    let output = run_wtd(&[keeper, unused_address()], &[], &["status"])
        .await
        .expect("status failed");
    assert_eq!(output.exit, ExitKind::Partial);
    assert!(output.text.contains("drafter-2"), "{}", output.text);
    let text = printed_text(run_wtd(&[keeper], &[], &["rollout"]).await);
    assert!(
        text.contains("1 of 2") && text.contains("1 at 1, 1 at 2"),
        "{text}"
    );
    let text = printed_text(run_wtd(&[keeper], &[], &["rollout", "drafter", "--to", "3"]).await);
    assert!(
        text.contains("pool drafter to weights 3 is under way"),
        "{text}"
    );
    let refusing = keeper_with_configuration(&configuration()).with_response(
        "POST /rollout",
        409,
        &rollout_answer(false),
    );
    let refusing = refusing.start().await;
    let refused = run_wtd(&[refusing], &[], &["rollout", "drafter", "--to", "3"]).await;
    assert_eq!(exit_kind(&refused), ExitKind::NotAccepted);
    let none = run_wtd(&[keeper], &[], &["rollout", "app"]).await;
    assert_eq!(exit_kind(&none), ExitKind::NotFound);
    assert_eq!(
        exit_kind(&run_wtd(&[unused_address()], &[], &["status"]).await),
        ExitKind::NoAnswer
    );
}

#[tokio::test]
async fn status_warns_about_different_configurations_with_same_sequence() {
    let mut other = keeper_status(vec![]);
    other.host = "south-1".into();
    let matching = accepting_keeper_with_status(other.clone()).start().await;
    other.head.hash = "another".into();
    let forked = accepting_keeper_with_status(other).start().await;
    let keeper = accepting_keeper().start().await;
    let cases = [
        (vec![keeper, matching], 0),
        (vec![keeper, matching, forked], 1),
    ];
    for (keepers, expected) in cases {
        let output = run_wtd(&keepers, &[], &["status"])
            .await
            .expect("status failed");
        assert_eq!(output.warnings.len(), expected, "{:?}", output.warnings);
        let named = output.warnings.iter().all(|warning| {
            warning.starts_with("north-1 and south-1 hold different configurations 2")
        });
        assert!(named, "{:?}", output.warnings);
    }
}

#[tokio::test]
async fn templates_shows_levels_and_texts() {
    let changes = template_file::read_folder(PUBLISHER_TEMPLATES.as_ref())
        .expect("the templates are invalid");
    let in_force = config_change::apply(&config_change::empty(), &changes)
        .expect("failed to apply the changes");
    let keeper = keeper_with_configuration(&in_force).start().await;
    let all = printed_text(run_wtd(&[keeper], &[], &["templates"]).await);
    assert!(
        all.contains("glossary > dialect > job") && all.contains("at most once"),
        "{all}"
    );
    let one = printed_text(run_wtd(&[keeper], &[], &["templates", "draft"]).await);
    assert!(one.contains("  | DIALECT SHEET: {dialect}\n"), "{one}");
    let none = run_wtd(&[keeper], &[], &["templates", "other"]).await;
    assert_eq!(exit_kind(&none), ExitKind::NotFound);
}

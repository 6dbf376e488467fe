//! Verbs against prepared keepers: what is sent, what is printed, how the tool ends.

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

/// Folder of the publisher's templates.
const PUBLISHER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../templates/publisher");

/// An address where nothing listens: port 1 is reserved and not served on loopback.
const NOBODY: &str = "127.0.0.1:1";

/// Runs a verb with settings that name these processes.
async fn wtd(
    keepers: &[SocketAddr],
    entries: &[SocketAddr],
    line: &[&str],
) -> Result<CommandOutput> {
    let folder = TestFolder::new("wtd-verbs");
    let settings = folder.path().join("wtd.ini");
    let list = |addresses: &[SocketAddr]| {
        let all: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        all.join(", ")
    };
    let text = format!(
        "[operator]\nname = Mei\nlog_url = http://{NOBODY}\nkeepers = {}\nentries = {}\n",
        list(keepers),
        list(entries),
    );
    fs::write(&settings, text).expect("a file");
    let settings = settings.display().to_string();
    let line = [&["wtd", "--settings", &settings], line].concat();
    let matches = cli::command()
        .try_get_matches_from(line)
        .expect("a command line");
    run::execute(&matches).await
}

/// How a run ends.
fn exit(answer: &Result<CommandOutput>) -> ExitKind {
    match answer {
        Ok(answer) => answer.exit,
        Err(error) => error.exit_kind(),
    }
}

/// Nobody's address.
fn nobody() -> SocketAddr {
    NOBODY.parse().expect("an address")
}

/// A head.
fn head(sequence: u64) -> ConfigHead {
    ConfigHead {
        sequence,
        hash: "abcdef0123456789".into(),
        offset: sequence,
    }
}

/// A configuration with one pool and no more.
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

/// A keeper that accepts publications.
fn accepting() -> CannedServer {
    accepting_with(status(vec![]))
}

/// A keeper with this status that accepts publications.
fn accepting_with(status: KeeperStatus) -> CannedServer {
    let accepted = PublishAnswer {
        head: head(3),
        held: vec!["north-1".into(), "south-1".into()],
        behind: vec!["south-2".into()],
    };
    holding(&configuration())
        .answer("GET /status", 200, &status)
        .answer("POST /publish", 200, &accepted)
        .answer("POST /rollout", 200, &rollout_answer(true))
}

/// A keeper's answer to a roll-out.
fn rollout_answer(started: bool) -> RolloutAnswer {
    RolloutAnswer {
        started,
        reason: "this keeper drives it".into(),
    }
}

/// The status of a keeper that knows these endpoints.
fn status(endpoints: Vec<EndpointView>) -> KeeperStatus {
    KeeperStatus {
        host: "north-1".into(),
        domain: "north".into(),
        head: head(2),
        config_age_ms: 100,
        platform_age_ms: 200,
        endpoints,
        hosts: vec![],
    }
}

/// A keeper that holds this configuration.
fn holding(in_force: &Configuration) -> CannedServer {
    let held = HeldConfiguration {
        head: head(2),
        configuration: in_force.clone(),
    };
    CannedServer::default().answer("GET /held-configuration", 200, &held)
}

/// An event of request `r`.
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

/// A process that keeps these events.
fn keeping(events: Vec<TimelineEvent>) -> CannedServer {
    CannedServer::default().answer("GET /timeline", 200, &EventPage { dropped: 0, events })
}

/// What a verb printed.
fn printed(answer: Result<CommandOutput>) -> String {
    answer.expect("an answer").text
}

#[tokio::test]
async fn publish_sends_what_differs_and_names_hosts_that_are_behind() {
    let keeper = accepting();
    let address = keeper.start().await;
    let line = ["publish", PUBLISHER, "--note", "first"];
    let answer = wtd(&[nobody(), address], &[], &line)
        .await
        .expect("accepted");
    assert!(answer
        .text
        .starts_with("Accepted as configuration 3 (abcdef012345):"));
    assert!(answer.text.contains("Held by 2 hosts: north-1, south-1."));
    assert!(answer.text.contains("Not yet seen to hold it: south-2."));
    assert_eq!(
        answer.warnings.len(),
        1,
        "newer weights are in force: {:?}",
        answer.warnings
    );
    let sent = keeper.seen("POST /publish");
    assert_eq!(sent.len(), 1);
    let body: serde_json::Value = serde_json::from_str(&sent[0].body).expect("a body");
    assert_eq!(
        (&body["operator"], &body["note"]),
        (&json!("Mei"), &json!("first"))
    );
    assert_eq!(body["seen"]["sequence"], 2);
    assert_eq!(body["changes"].as_array().expect("changes").len(), 18);
}

#[tokio::test]
async fn publish_sends_nothing_when_nothing_differs_or_on_a_dry_run() {
    let mut in_force = configuration();
    let changes = template_file::read_folder(PUBLISHER.as_ref()).expect("no faults");
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
            other => panic!("a folder gives no {other:?}"),
        }
    }
    let same = holding(&in_force);
    let text = printed(wtd(&[same.start().await], &[], &["publish", PUBLISHER]).await);
    assert!(text.contains("Nothing differs"), "{text}");
    let dry = accepting();
    let line = ["publish", PUBLISHER, "--dry-run"];
    let text = printed(wtd(&[dry.start().await], &[], &line).await);
    assert!(text.contains("  template print-order\n"), "{text}");
    assert!(dry.seen("POST").is_empty() && same.seen("POST").is_empty());
}

#[tokio::test]
async fn a_lost_race_names_the_winner() {
    let refused = PublishRefusal {
        lost_to: Some("Ravi".into()),
        head: head(7),
        reason: "Ravi published configuration 7 first".into(),
    };
    let keeper = holding(&configuration()).answer("POST /publish", 409, &refused);
    let answer = wtd(&[keeper.start().await], &[], &["publish", PUBLISHER]).await;
    assert_eq!(exit(&answer), ExitKind::NotAccepted);
    let text = answer.expect_err("refused").to_string();
    assert!(
        text.contains("Ravi was first, with configuration 7"),
        "{text}"
    );
}

#[tokio::test]
async fn a_change_whose_answer_is_lost_is_sent_to_no_other_keeper() {
    let cut = holding(&configuration()).answer("POST /publish", 0, &());
    let other = accepting();
    let keepers = [cut.start().await, other.start().await];
    let answer = wtd(&keepers, &[], &["publish", PUBLISHER]).await;
    assert_eq!(exit(&answer), ExitKind::NoAnswer);
    let text = answer.expect_err("open").to_string();
    assert!(text.contains("it may yet be accepted"), "{text}");
    assert_eq!(cut.seen("POST").len(), 1);
    assert!(other.seen("POST").is_empty());
}

#[tokio::test]
async fn amend_refuses_older_weights_and_unknown_names() {
    let cases: [(&[&str], ExitKind); 5] = [
        (&["amend", "--raise", "drafter=3"], ExitKind::Done),
        (&["amend", "--raise", "drafter=1"], ExitKind::NotAccepted),
        (&["amend", "--raise", "drafter"], ExitKind::NotAccepted),
        (&["amend", "--raise", "other=3"], ExitKind::NotFound),
        (&["amend", "--remove", "draft"], ExitKind::NotFound),
    ];
    for (line, expected) in cases {
        let keeper = accepting();
        let answer = wtd(&[keeper.start().await], &[], line).await;
        assert_eq!(exit(&answer), expected, "{line:?}");
        let sent = keeper.seen("POST").len();
        assert_eq!(sent, usize::from(expected == ExitKind::Done), "{line:?}");
    }
}

#[tokio::test]
async fn explain_gathers_from_all_and_says_who_is_missing() {
    let received = event(
        "north-1",
        5,
        EventKind::RequestReceived,
        "school asked for draft",
    );
    let answered = event("north-1", 9, EventKind::RequestAnswered, "in 3 pieces");
    let keeper = keeping(vec![answered]).start().await;
    let entry = keeping(vec![received]);
    let entries = [entry.start().await, nobody()];
    let answer = wtd(&[keeper], &entries, &["explain", "r"])
        .await
        .expect("explained");
    assert_eq!(answer.exit, ExitKind::Partial);
    assert!(answer.warnings[0].contains(NOBODY), "{:?}", answer.warnings);
    let (first, last) = (
        answer.text.find("asked for draft"),
        answer.text.find("in 3 pieces"),
    );
    assert!(first.is_some() && first < last, "{}", answer.text);
    assert!(answer.text.contains("In short: it ran"));
    assert_eq!(entry.seen("GET /timeline?request=r").len(), 1);

    let unknown = wtd(&[keeper], &[], &["explain", "s"]).await;
    assert_eq!(exit(&unknown), ExitKind::NotFound);
}

#[tokio::test]
async fn explain_prints_json() {
    let refused = event(
        "north-1",
        5,
        EventKind::RequestRefused,
        "overloaded: no room",
    );
    let keeper = keeping(vec![refused]).start().await;
    let text = printed(wtd(&[keeper], &[], &["explain", "r", "--json"]).await);
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(value["verdict"], "not_run");
}

#[tokio::test]
async fn timeline_filters_and_keeps_each_event_on_its_line() {
    let events = vec![
        event("north-1", 2, EventKind::RequestReceived, "two\nlines"),
        event("south-1", 1, EventKind::RequestReceived, "first"),
    ];
    let server = keeping(events);
    let keeper = server.start().await;
    let text = printed(wtd(&[keeper], &[], &["timeline"]).await);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(lines[0].starts_with("1970-01-01 00:00:00.001 UTC +0 south-1/entry request_received"));
    let north = printed(wtd(&[keeper], &[], &["timeline", "--host", "north-1"]).await);
    assert_eq!(north.lines().count(), 1);
    assert_eq!(server.seen("GET /timeline?newest=2000").len(), 2);
    let none = wtd(&[nobody()], &[], &["timeline"]).await;
    assert_eq!(exit(&none), ExitKind::NoAnswer);
}

#[tokio::test]
async fn timeline_reads_collected_logs_into_a_page() {
    let folder = TestFolder::new("wtd-logs");
    let log = folder.path().join("entry.log");
    let page = folder.path().join("page.html");
    let line = json!({
        "msg": "timeline event", "host": "north-1", "process": "entry", "event": "first_token",
        "wall_ms": 3, "counter": 1, "request": "r", "account": null, "endpoint": null,
        "detail": "<script>",
    });
    fs::write(&log, format!("{line}\nnot JSON\n")).expect("a file");
    let (log, html) = (log.display().to_string(), page.display().to_string());
    let answer = wtd(
        &[nobody()],
        &[],
        &["timeline", "--logs", &log, "--html", &html],
    )
    .await;
    let answer = answer.expect("a page");
    assert_eq!(answer.exit, ExitKind::Partial);
    assert!(answer.warnings[0].contains("1 malformed line"));
    let page = fs::read_to_string(page).expect("a page");
    assert!(
        page.contains("&lt;script&gt;") && !page.contains("<script"),
        "{page}"
    );
}

#[tokio::test]
async fn settling_names_the_attempt_that_holds_the_claim() {
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
    let yes = SettleAnswer {
        settled: true,
        reason: "on record".into(),
    };
    let no = SettleAnswer {
        settled: false,
        reason: "the claim is too young".into(),
    };
    let listing = CannedServer::default().answer("GET /unresolved", 200, &page);
    let text = printed(wtd(&[listing.start().await], &[], &["unresolved"]).await);
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
    let accepting = listing.clone().answer("POST /settle", 200, &yes);
    let answer = wtd(&[accepting.start().await], &[], &settle).await;
    assert_eq!(exit(&answer), ExitKind::Done);
    let sent = accepting.seen("POST /settle");
    let body: serde_json::Value = serde_json::from_str(&sent[0].body).expect("a body");
    let expected = json!({
        "account": "school", "key": "k", "attempt": "a1", "settled": "not_run", "by": "Mei",
        "note": "asked the shop",
    });
    assert_eq!(body, expected);

    let refusing = CannedServer::default()
        .answer("GET /unresolved", 200, &page)
        .answer("POST /settle", 409, &no);
    let answer = wtd(&[refusing.start().await], &[], &settle).await;
    assert_eq!(exit(&answer), ExitKind::NotAccepted);
    assert!(answer
        .expect_err("refused")
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
    let answer = wtd(&[refusing.start().await], &[], &other).await;
    assert_eq!(exit(&answer), ExitKind::NotFound);
}

#[tokio::test]
async fn status_and_rollout_tell_what_is_served() {
    let endpoint = |number: u64, weights_version| EndpointView {
        id: format!("drafter-{number}").into(),
        address: nobody(),
        pool: "drafter".into(),
        domain: "north".into(),
        state: EndpointState::Live,
        boot_id: "b".into(),
        weights_version,
        running: 1,
        queued: 0,
        report_age_ms: 400,
    };
    let status = status(vec![endpoint(1, 2), endpoint(2, 1)]);
    let keeper = accepting_with(status).start().await;
    let answer = wtd(&[keeper, nobody()], &[], &["status"])
        .await
        .expect("a status");
    assert_eq!(answer.exit, ExitKind::Partial);
    assert!(answer.text.contains("drafter-2"), "{}", answer.text);
    let text = printed(wtd(&[keeper], &[], &["rollout"]).await);
    assert!(
        text.contains("1 of 2") && text.contains("1 at 1, 1 at 2"),
        "{text}"
    );
    let text = printed(wtd(&[keeper], &[], &["rollout", "drafter", "--to", "3"]).await);
    assert!(
        text.contains("pool drafter to weights 3 is under way"),
        "{text}"
    );
    let refusing = holding(&configuration()).answer("POST /rollout", 409, &rollout_answer(false));
    let refusing = refusing.start().await;
    let refused = wtd(&[refusing], &[], &["rollout", "drafter", "--to", "3"]).await;
    assert_eq!(exit(&refused), ExitKind::NotAccepted);
    let none = wtd(&[keeper], &[], &["rollout", "app"]).await;
    assert_eq!(exit(&none), ExitKind::NotFound);
    assert_eq!(
        exit(&wtd(&[nobody()], &[], &["status"]).await),
        ExitKind::NoAnswer
    );
}

#[tokio::test]
async fn status_warns_of_two_configurations_with_one_number() {
    let mut other = status(vec![]);
    other.host = "south-1".into();
    let same = accepting_with(other.clone()).start().await;
    other.head.hash = "another".into();
    let forked = accepting_with(other).start().await;
    let keeper = accepting().start().await;
    let cases = [(vec![keeper, same], 0), (vec![keeper, same, forked], 1)];
    for (keepers, expected) in cases {
        let answer = wtd(&keepers, &[], &["status"]).await.expect("a status");
        assert_eq!(answer.warnings.len(), expected, "{:?}", answer.warnings);
        let named = answer.warnings.iter().all(|warning| {
            warning.starts_with("north-1 and south-1 hold different configurations 2")
        });
        assert!(named, "{:?}", answer.warnings);
    }
}

#[tokio::test]
async fn templates_are_shown_with_their_texts() {
    let changes = template_file::read_folder(PUBLISHER.as_ref()).expect("no faults");
    let in_force = config_change::apply(&config_change::empty(), &changes).expect("they fit");
    let keeper = holding(&in_force).start().await;
    let all = printed(wtd(&[keeper], &[], &["templates"]).await);
    assert!(
        all.contains("glossary > dialect > job") && all.contains("at most once"),
        "{all}"
    );
    let one = printed(wtd(&[keeper], &[], &["templates", "draft"]).await);
    assert!(one.contains("  | DIALECT SHEET: {dialect}\n"), "{one}");
    let none = wtd(&[keeper], &[], &["templates", "other"]).await;
    assert_eq!(exit(&none), ExitKind::NotFound);
}

//! Entries that serve by TLS are asked by TLS, and only those with the right certificate.

use std::{
    fs,
    net::SocketAddr,
    time::Duration, //
};

use rocket::{
    config::TlsConfig,
    fairing::AdHoc,
    get,
    routes,
    Config, //
};
use tokio::{
    sync::watch,
    time, //
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

#[path = "../../wagtaildoor/tests/support/folder.rs"]
mod folder;

use folder::TestFolder;

/// Certificate of the test's entry, for the name `router.test`; it is its own root.
const CERTIFICATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tls/router.pem");
/// Its key, which is used for nothing else.
const KEY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tls/router.key");
/// Longest wait for an event that must come.
const LIMIT: Duration = Duration::from_secs(30);

/// One event of an entry.
#[get("/timeline")]
fn timeline() -> &'static str {
    r#"{"dropped": 0, "events": [{"stamp": {"wall_ms": 1, "counter": 0}, "host": "north-1",
        "process": "entry", "kind": "request_answered", "request": "r", "account": null,
        "endpoint": null, "detail": "by TLS"}]}"#
}

/// Starts an entry that serves by TLS, and gives its port.
async fn start() -> u16 {
    let port = watch::Sender::new(None);
    let mut started = port.subscribe();
    let config = Config {
        port: 0,
        tls: Some(TlsConfig::from_paths(CERTIFICATE, KEY)),
        log_level: rocket::config::LogLevel::Off,
        ..Config::release_default()
    };
    let announce = AdHoc::on_liftoff("port", move |server| {
        port.send_replace(Some(server.config().port));
        Box::pin(async {})
    });
    let server = rocket::custom(config).mount("/", routes![timeline]);
    tokio::spawn(server.attach(announce).launch());
    let port = time::timeout(LIMIT, started.wait_for(Option::is_some)).await;
    let port = *port.expect("a start in time").expect("a running server");
    port.expect("a port")
}

/// Explains the request, with these lines in the settings.
async fn explain(port: u16, lines: &str) -> Result<CommandOutput> {
    let folder = TestFolder::new("wtd-tls");
    let settings = folder.path().join("wtd.ini");
    let entry = SocketAddr::from(([127, 0, 0, 1], port));
    let text = format!(
        "[operator]\nname = Mei\nlog_url = http://127.0.0.1:1\nkeepers = 127.0.0.1:1\n\
         entries = {entry}\n{lines}"
    );
    fs::write(&settings, text).expect("a file");
    let settings = settings.display().to_string();
    let line = ["wtd", "--settings", &settings, "explain", "r"];
    run::execute(&cli::command().try_get_matches_from(line).expect("a line")).await
}

#[tokio::test]
async fn entries_are_asked_by_tls_when_their_name_is_set() {
    let port = start().await;
    let roots = format!("entries_tls_roots = {CERTIFICATE}\n");
    let right = format!("entries_tls_name = router.test\n{roots}");
    let answer = explain(port, &right).await.expect("an explanation");
    assert!(answer.text.contains("by TLS"), "{}", answer.text);
    assert_eq!(answer.exit, ExitKind::Partial, "no keeper runs");

    let wrong = [
        ("plain HTTP", String::new()),
        (
            "another name",
            format!("entries_tls_name = other.test\n{roots}"),
        ),
        (
            "the system's roots",
            "entries_tls_name = router.test\n".to_string(),
        ),
    ];
    for (name, lines) in wrong {
        let error = explain(port, &lines).await.expect_err(name);
        assert_eq!(error.exit_kind(), ExitKind::NotFound, "{name}: {error}");
        assert!(
            error.to_string().contains("no answer from"),
            "{name}: {error}"
        );
    }
}

#[tokio::test]
async fn a_file_without_certificates_is_a_fault() {
    let lines = "entries_tls_name = router.test\nentries_tls_roots = no-such-file.pem\n";
    let error = explain(1, lines).await.expect_err("no file");
    assert_eq!(error.exit_kind(), ExitKind::Faults);
    assert!(error.to_string().contains("no-such-file.pem"), "{error}");
}

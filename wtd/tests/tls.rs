//! Checks that entries are contacted over TLS and that their certificates are verified.

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

/// Self-signed certificate of the test entry for the name `router.test`.
const CERTIFICATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tls/router.pem");
/// Private key of the certificate, used only in tests.
const KEY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/tls/router.key");
/// Timeout for the start of the test server.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a timeline with one event of request `r`.
#[get("/timeline")]
fn timeline() -> &'static str {
    r#"{"dropped": 0, "events": [{"stamp": {"wall_ms": 1, "counter": 0}, "host": "north-1",
        "process": "entry", "kind": "request_answered", "request": "r", "account": null,
        "endpoint": null, "detail": "by TLS"}]}"#
}

/// Starts a TLS server that stands in for an entry, and returns its port.
async fn start_tls_entry() -> u16 {
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
    let port = time::timeout(START_TIMEOUT, started.wait_for(Option::is_some)).await;
    let port = *port
        .expect("the server did not start before the timeout")
        .expect("the server stopped");
    port.expect("the server has no port")
}

/// Runs `wtd explain r` with these additional lines in the settings.
///
/// Nothing listens at the address of the keeper.
async fn run_explain(port: u16, lines: &str) -> Result<CommandOutput> {
    let folder = TestFolder::new("wtd-tls");
    let settings = folder.path().join("wtd.ini");
    let entry = SocketAddr::from(([127, 0, 0, 1], port));
    let text = format!(
        "[operator]\nname = Mei\nlog_url = http://127.0.0.1:1\nkeepers = 127.0.0.1:1\n\
         entries = {entry}\n{lines}"
    );
    fs::write(&settings, text).expect("failed to write the settings");
    let settings = settings.display().to_string();
    let arguments = ["wtd", "--settings", &settings, "explain", "r"];
    run::execute(
        &cli::command()
            .try_get_matches_from(arguments)
            .expect("invalid command line"),
    )
    .await
}

#[tokio::test]
async fn entries_use_tls_if_tls_name_is_set() {
    let port = start_tls_entry().await;
    let roots = format!("entries_tls_roots = {CERTIFICATE}\n");
    let valid_lines = format!("entries_tls_name = router.test\n{roots}");
    let output = run_explain(port, &valid_lines)
        .await
        .expect("explain failed");
    assert!(output.text.contains("by TLS"), "{}", output.text);
    assert_eq!(output.exit, ExitKind::Partial, "no keeper is running");

    let invalid_cases = [
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
    for (name, lines) in invalid_cases {
        let error = run_explain(port, &lines).await.expect_err(name);
        assert_eq!(error.exit_kind(), ExitKind::NotFound, "{name}: {error}");
        assert!(
            error.to_string().contains("no answer from"),
            "{name}: {error}"
        );
    }
}

#[tokio::test]
async fn missing_root_certificate_file_is_an_error() {
    let lines = "entries_tls_name = router.test\nentries_tls_roots = no-such-file.pem\n";
    let error = run_explain(1, lines)
        .await
        .expect_err("a missing file should be an error");
    assert_eq!(error.exit_kind(), ExitKind::Faults);
    assert!(error.to_string().contains("no-such-file.pem"), "{error}");
}

//! Tests of the `wtd-fakes` program: address file, registration, signals and errors.

#[path = "support/engine_request.rs"]
mod engine_request;

use std::{
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Output,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use engine_request::{
    block_prompt,
    request_for, //
};
use reqwest::Client;
use wagtaildoor::schema::PlatformList;
use wagtaildoor_fakes::fake_engine::engine_faults::EngineCounts;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A temporary folder that is deleted after the test.
struct TestFolder {
    path: PathBuf,
}

impl TestFolder {
    fn new(name: &str) -> Self {
        let name = format!("wtd-fakes-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("a folder");
        Self { path }
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

/// A process that is killed after the test.
struct RunningProgram {
    child: Child,
    address: SocketAddr,
}

impl RunningProgram {
    /// Starts the program and waits until it has written its address file.
    fn start(folder: &Path, name: &str, arguments: &[&str]) -> Self {
        let file = folder.join(name);
        let child = program(arguments)
            .arg("--address=127.0.0.1:0")
            .arg("--address-file")
            .arg(&file)
            .spawn()
            .expect("the program starts");
        let address = poll_until_some(|| fs::read_to_string(&file).ok()?.parse().ok());
        Self { child, address }
    }

    /// Sends SIGTERM to the process and returns its exit code.
    fn terminate(&mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.expect("kill runs").success());
        let ended = poll_until_some(|| self.child.try_wait().expect("a child"));
        ended.code()
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a command that runs the program with the given arguments.
fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wtd-fakes"));
    command.args(arguments).stdin(Stdio::null());
    command
}

/// Polls until `poll` returns a value; panics after `WAIT_TIMEOUT`.
fn poll_until_some<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let started_at = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "timed out");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Reads the platform's list.
async fn read_list(platform: SocketAddr) -> PlatformList {
    let client = Client::builder().no_proxy().build().expect("a client");
    let call = client.get(format!("http://{platform}/list"));
    let response = call.send().await.expect("a response");
    response.json().await.expect("a list")
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_is_listed_while_it_runs() {
    let folder = TestFolder::new("listed");
    let mut platform = RunningProgram::start(&folder.path, "platform", &["platform"]);
    let platform_url = format!("http://{}", platform.address);
    let arguments = [
        "engine",
        "--id=d1",
        "--pool=drafter",
        "--domain=kl-a",
        "--register",
        &platform_url,
    ];
    let mut engine = RunningProgram::start(&folder.path, "engine", &arguments);
    let mut listed = read_list(platform.address).await;
    let started_at = Instant::now();
    while listed.endpoints.is_empty() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the engine was not listed in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
        listed = read_list(platform.address).await;
    }
    assert_eq!(listed.endpoints[0].address, engine.address);
    assert_eq!(&*listed.endpoints[0].pool, "drafter");
    assert_eq!(engine.terminate(), Some(0));
    assert!(read_list(platform.address).await.endpoints.is_empty());
    assert_eq!(platform.terminate(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_crashes_on_a_prompt_and_listens_again() {
    let folder = TestFolder::new("crash");
    let arguments = [
        "engine",
        "--id=d1",
        "--pool=drafter",
        "--domain=kl-a",
        "--crash-on-prompt=ccc",
        "--restart-ms=500",
    ];
    let mut engine = RunningProgram::start(&folder.path, "engine", &arguments);
    let client = Client::builder().no_proxy().build().expect("a client");
    let url = |path| format!("http://{}{path}", engine.address);
    let request = request_for(&block_prompt("abccc"));
    let response = client.post(url("/generate")).json(&request).send().await;
    let body = match response {
        Ok(response) => response.text().await,
        Err(error) => Err(error),
    };
    assert!(body.is_err(), "{body:?}");
    let started_at = Instant::now();
    let counts = loop {
        match client.get(url("/counts")).send().await {
            Ok(response) => break response.json::<EngineCounts>().await.expect("counts"),
            Err(error) => assert!(started_at.elapsed() < WAIT_TIMEOUT, "{error}"),
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    assert_eq!((counts.crashes, counts.crash_prompts), (1, 1));
    assert_eq!(engine.terminate(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_close_their_connections_on_request() {
    let folder = TestFolder::new("close");
    let client = Client::builder().no_proxy().build().expect("a client");
    for name in ["engine", "service"] {
        let identity = ["--id=d1", "--pool=drafter", "--domain=kl-a"];
        let arguments = [&[name, "--close-delimited"][..], &identity].concat();
        let mut endpoint = RunningProgram::start(&folder.path, name, &arguments);
        let call = client.get(format!("http://{}/health", endpoint.address));
        let response = call.send().await.expect("a response");
        let headers = response.headers();
        assert_eq!(headers["connection"], "close", "{name}");
        assert!(!headers.contains_key("content-length"), "{name}");
        assert!(!headers.contains_key("transfer-encoding"), "{name}");
        assert_eq!(response.text().await.expect("a body"), "good", "{name}");
        assert_eq!(endpoint.terminate(), Some(0), "{name}");
    }
}

/// An invalid command line and the expected error.
struct FailureCase {
    arguments: &'static [&'static str],
    /// Expected part of the standard error output.
    expected_error: &'static str,
}

#[test]
fn invalid_command_lines_print_errors() {
    let cases = [
        FailureCase {
            arguments: &[],
            expected_error: "Usage: wtd-fakes <COMMAND>",
        },
        FailureCase {
            arguments: &["engine", "--address=127.0.0.1:0"],
            expected_error: "--id <NAME>",
        },
        FailureCase {
            arguments: &["kv", "--address=here"],
            expected_error: "invalid value 'here'",
        },
        FailureCase {
            arguments: &["kv", "--address=192.0.2.1:1"],
            expected_error: "wtd-fakes: server failed",
        },
    ];
    for case in cases {
        let output: Output = program(case.arguments).output().expect("the program runs");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{:?}", case.arguments);
        assert!(
            text.contains(case.expected_error),
            "{:?}: {text}",
            case.arguments
        );
    }
}

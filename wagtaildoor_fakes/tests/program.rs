//! The program `wtd-fakes`: address file, registration, signals, errors.

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

use reqwest::Client;
use wagtaildoor::schema::PlatformList;

/// Longest wait for something that has to come.
const PATIENCE: Duration = Duration::from_secs(20);
/// Wait between two looks.
const PAUSE: Duration = Duration::from_millis(5);

/// A folder that goes with the test.
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

/// A process that ends with the test.
struct RunningProgram {
    child: Child,
    address: SocketAddr,
}

impl RunningProgram {
    /// Starts the program and waits for its address.
    fn start(folder: &Path, name: &str, arguments: &[&str]) -> Self {
        let file = folder.join(name);
        let child = program(arguments)
            .arg("--address=127.0.0.1:0")
            .arg("--address-file")
            .arg(&file)
            .spawn()
            .expect("it starts");
        let address = await_some(|| fs::read_to_string(&file).ok()?.parse().ok());
        Self { child, address }
    }

    /// Asks the program to end, and waits for its exit code.
    fn terminate(&mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status();
        assert!(sent.expect("kill runs").success());
        let ended = await_some(|| self.child.try_wait().expect("a child"));
        ended.code()
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The program with arguments.
fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wtd-fakes"));
    command.args(arguments).stdin(Stdio::null());
    command
}

/// Looks until there is something.
fn await_some<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(begun.elapsed() < PATIENCE, "it never came");
        thread::sleep(PAUSE);
    }
}

/// What the platform lists.
async fn read_list(platform: SocketAddr) -> PlatformList {
    let client = Client::builder().no_proxy().build().expect("a client");
    let call = client.get(format!("http://{platform}/list"));
    let answer = call.send().await.expect("an answer");
    answer.json().await.expect("a list")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_is_listed_while_it_runs() {
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
    let begun = Instant::now();
    while listed.endpoints.is_empty() {
        assert!(begun.elapsed() < PATIENCE, "it is never listed");
        tokio::time::sleep(PAUSE).await;
        listed = read_list(platform.address).await;
    }
    assert_eq!(listed.endpoints[0].address, engine.address);
    assert_eq!(&*listed.endpoints[0].pool, "drafter");
    assert_eq!(engine.terminate(), Some(0));
    assert!(read_list(platform.address).await.endpoints.is_empty());
    assert_eq!(platform.terminate(), Some(0));
}

/// A command line that fails, and what it says.
struct FailureCase {
    /// The command line.
    arguments: &'static [&'static str],
    /// Part of what it writes.
    says: &'static str,
}

#[test]
fn failures_are_told() {
    let cases = [
        FailureCase {
            arguments: &[],
            says: "Usage: wtd-fakes <COMMAND>",
        },
        FailureCase {
            arguments: &["engine", "--address=127.0.0.1:0"],
            says: "--id <NAME>",
        },
        FailureCase {
            arguments: &["kv", "--address=here"],
            says: "invalid value 'here'",
        },
        FailureCase {
            arguments: &["kv", "--address=192.0.2.1:1"],
            says: "wtd-fakes: server failed",
        },
    ];
    for case in cases {
        let output: Output = program(case.arguments).output().expect("it runs");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{:?}", case.arguments);
        assert!(text.contains(case.says), "{:?}: {text}", case.arguments);
    }
}

//! Stand-ins for the store, replicas, clients and the balancer, and the cases that use them.
//!
//! Needs only the standard library. Usage: `standin CASE FOLDER RECORD FRONT-COMMAND...`; the front
//! command is that of the deploy file. `TROUBLE=0` leaves the disruption out.

use std::{
    env, fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::{Duration, Instant},
};

mod client;
mod drain;
mod grace;
mod http;
mod reborn;
mod replica;
mod store;
mod turns;

/// Exit code of a case that could not run.
const NOT_RUN: i32 = 2;

/// Start of the record's clock.
pub fn started() -> Instant {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    *STARTED.get_or_init(Instant::now)
}

/// Seconds since the start.
pub fn at(time: Instant) -> f64 {
    time.saturating_duration_since(started()).as_secs_f64()
}

/// What was sent, answered and run, one line each.
#[derive(Clone)]
pub struct Record(Arc<Mutex<fs::File>>);

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", at(Instant::now()));
    }

    /// A line that also goes to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", at(Instant::now()));
        self.line(text);
    }
}

/// What a case needs.
pub struct Setup {
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub folder: PathBuf,
    pub command: Vec<String>,
    /// Second and third byte of this run's loopback addresses.
    pub subnet: (u8, u8),
}

/// A front as its own process.
pub struct Front {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Starts the process with its settings and its log.
    command: Mutex<Command>,
    child: Mutex<Child>,
}

impl Setup {
    /// Loopback address of this run.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, last)
    }

    /// Starts a front. Its settings are those of the publisher's deployment.
    pub fn start_front(&self, number: u8, zone: &str, store: SocketAddr) -> Arc<Front> {
        let ip = self.ip(number);
        let (callers, ready, peers) = (free_port(ip), free_port(ip), free_port(ip));
        let name = format!("front-{zone}-{number}");
        let settings = format!(
            r#"node = "{name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "{zone}"
region = "my-west"
internal_port_range = [{peers},{peers}]
seeds = []
bootstrap = true
in_failure_budget = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
kl-a = "my-west"
pg-b = "my-west"
[listen_addresses]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.38
cores = 1
memory_mb = 390
file_descriptors = 6150
link_mbps = 1500.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
acknowledge_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_propagation_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
recovery_s = 12
transit_ms = 120
reuse_window_s = 10
require_fencing = false
lease_ms = 3000
thaw_ms = 300
version_ms = 6000
version_all_ms = 8400
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
partition_mb = 200
expiry_min_ms = 1000
"#
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap_or_else(|error| not_run(&error.to_string()));
        let log = fs::File::create(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|error| not_run(&error.to_string()));
        let mut command = Command::new(&self.command[0]);
        command
            .args(&self.command[1..])
            .env("WAGTAILDOOR_CONFIG", &path)
            .stdout(Stdio::from(log));
        let child = command.spawn();
        let child = child.unwrap_or_else(|error| not_run(&error.to_string()));
        note_started(&child);
        self.record
            .say(&format!("{name} started, callers at {ip}:{callers}"));
        Arc::new(Front {
            name,
            callers: (ip, callers).into(),
            ready: (ip, ready).into(),
            command: Mutex::new(command),
            child: Mutex::new(child),
        })
    }

    /// Waits until all fronts answer the readiness check with 200.
    pub fn await_ready(&self, fronts: &[Arc<Front>]) {
        let limit = Instant::now() + Duration::from_secs(20);
        while !fronts.iter().all(|front| client::is_ready(front.ready)) {
            if Instant::now() > limit {
                not_run("a front is not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Front {
    /// Sends a signal by its name.
    pub fn signal(&self, signal: &str) {
        let id = self.child.lock().unwrap().id().to_string();
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{signal} {id}")])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            not_run("a signal could not be sent");
        }
    }

    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        let has_ended = matches!(child.try_wait(), Ok(Some(_)));
        if has_ended {
            kill(&mut child);
        }
        has_ended
    }

    /// Starts the process again after its end.
    pub fn restart(&self) {
        let child = self.command.lock().unwrap().spawn();
        let child = child.unwrap_or_else(|error| not_run(&error.to_string()));
        note_started(&child);
        *self.child.lock().unwrap() = child;
    }

    /// Kills the process if it still runs.
    pub fn end(&self) {
        kill(&mut self.child.lock().unwrap());
    }
}

/// A port that nothing uses at an address.
fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|error| not_run(&error.to_string()));
    listener
        .local_addr()
        .map(|address| address.port())
        .unwrap_or_default()
}

/// Processes that run now and were started by this one.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes that a process was started.
pub fn note_started(child: &Child) {
    CHILDREN.lock().unwrap().push(child.id());
}

/// Kills a process that was started, if it still runs.
pub fn kill(child: &mut Child) {
    CHILDREN.lock().unwrap().retain(|id| *id != child.id());
    let _ = child.kill();
    let _ = child.wait();
}

/// Kills all processes that were started.
fn kill_all() {
    for id in CHILDREN.lock().unwrap().drain(..) {
        let _ = Command::new("sh")
            .args(["-c", &format!("kill -KILL {id}")])
            .status();
    }
}

/// Kills all processes that were started when the case ends in whatever way.
struct Cleanup;

impl Drop for Cleanup {
    fn drop(&mut self) {
        kill_all();
    }
}

/// Ends a case that cannot run.
pub fn not_run(reason: &str) -> ! {
    println!("not run: {reason}");
    kill_all();
    process::exit(NOT_RUN);
}

/// Sleeps until a time.
pub fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn main() {
    started();
    let mut arguments = env::args().skip(1);
    if env::args().nth(1).as_deref() == Some("replica") {
        match (env::args().nth(2), env::args().nth(3)) {
            (Some(id), Some(address)) => reborn::serve_replica(&id, &address),
            _ => not_run("usage: standin replica ID ADDRESS"),
        }
    }
    let (case, folder, record) = (arguments.next(), arguments.next(), arguments.next());
    let (Some(case), Some(folder), Some(record)) = (case, folder, record) else {
        not_run("usage: standin CASE FOLDER RECORD FRONT-COMMAND...");
    };
    let command: Vec<String> = arguments.collect();
    if command.is_empty() {
        not_run("no front command");
    }
    let file = fs::File::create(record).unwrap_or_else(|error| not_run(&error.to_string()));
    let seed = process::id().wrapping_mul(37);
    let setup = Setup {
        record: Record(Arc::new(Mutex::new(file))),
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
        folder: folder.into(),
        command,
        subnet: ((seed >> 8) as u8 | 0x40, seed as u8),
    };
    let _cleanup = Cleanup;
    let is_broken = match &*case {
        "drain" => drain::run(&setup),
        "reborn" => reborn::run(&setup),
        "grace" => grace::run(&setup),
        "turns" => turns::run(&setup),
        _ => not_run("no such case"),
    };
    setup.record.say(match is_broken {
        true => "result: the rule is BROKEN",
        false => "result: the rule holds",
    });
    kill_all();
    process::exit(i32::from(is_broken));
}

//! Real fronts as processes, beside the stand-in of the store, on loopback addresses of their own.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Client, store::Store};

const PROGRAM: &str = "target/release/wagtaildoor-front";
const CALLERS_PORT: u16 = 8_782;
const READY_PORT: u16 = 8_789;
const METRICS_PORT: u16 = 9_464;
/// Time after which the platform sends SIGKILL to a process that it stops.
pub const GRACE_S: u64 = 8;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("a record");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }
}

pub struct Front {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// A small deployment. Dropping it ends the fronts.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub fronts: Vec<Front>,
    folder: PathBuf,
    zones: Vec<&'static str>,
}

/// A sheet's figures that the settings name.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u32,
    pub config_propagation_ms: u32,
    pub contact_ms: u32,
    pub version_ms: u32,
    pub memory_mb: u32,
}

/// Those of the phrasebook deployment.
pub const PHRASEBOOK_BOUNDS: Bounds = Bounds {
    drain_ms: 2_000,
    config_propagation_ms: 2_000,
    contact_ms: 3_000,
    version_ms: 6_000,
    memory_mb: 390,
};
/// Those of the permits desk.
pub const PERMITS_BOUNDS: Bounds = Bounds {
    memory_mb: 165,
    ..PHRASEBOOK_BOUNDS
};

impl Deployment {
    /// Starts the store and the fronts. The store holds nothing yet.
    pub fn start(record: Record, zones: &[&'static str], bounds: Bounds) -> Self {
        let store = Store::start(zones.len());
        let folder = std::env::temp_dir().join(format!("wtd-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut deployment = Self {
            record,
            store,
            fronts: Vec::new(),
            folder,
            zones: zones.to_vec(),
        };
        let net = free_net();
        for (index, zone) in zones.iter().enumerate() {
            let ip = Ipv4Addr::new(127, net.0, net.1, index as u8 + 1);
            let name = format!("front-{zone}-{}", index + 1);
            let settings = deployment.folder.join(format!("{name}.toml"));
            let text = deployment.settings(index, &name, ip, net, bounds);
            fs::write(&settings, text).expect("settings");
            let log = deployment.folder.join(format!("{name}.log"));
            let child = spawn(&settings, &log);
            deployment
                .record
                .line(format!("{name} starts at {ip}, process {}", child.id()));
            deployment.fronts.push(Front {
                name,
                ip,
                settings,
                log,
                child,
            });
        }
        deployment
    }

    fn settings(
        &self,
        index: usize,
        name: &str,
        ip: Ipv4Addr,
        net: (u8, u8),
        bounds: Bounds,
    ) -> String {
        let zone = self.zones[index];
        let store = self.store.addresses[index];
        let seeds: Vec<String> = (0..self.zones.len().min(3))
            .map(|seed| format!("\"127.{}.{}.{}:8783\"", net.0, net.1, seed + 1))
            .collect();
        let mut named = self.zones.clone();
        named.dedup();
        let zones: String = named
            .iter()
            .map(|zone| format!("{zone} = \"my-west\"\n"))
            .collect();
        let Bounds {
            drain_ms,
            config_propagation_ms,
            contact_ms,
            version_ms,
            memory_mb,
        } = bounds;
        format!(
            r#"node = "{name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "{zone}"
region = "my-west"
internal_port_range = [7340,7355]
seeds = [{}]
bootstrap = true
in_failure_budget = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
{zones}[listen_addresses]
front = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
[limits]
cpu_share = 0.5
cores = 1
memory_mb = {memory_mb}
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
contact_ms = {contact_ms}
acknowledge_ms = 4000
catch_up_s = 4
drain_ms = {drain_ms}
grace_s = {GRACE_S}
loss_slack_ms = 200
config_propagation_ms = {config_propagation_ms}
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
version_ms = {version_ms}
version_all_ms = {}
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
"#,
            seeds.join(","),
            version_ms + version_ms * 2 / 5,
        )
    }

    pub fn callers(&self, front: usize) -> SocketAddr {
        SocketAddr::from((self.fronts[front].ip, CALLERS_PORT))
    }

    /// Waits until all fronts say that they are ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        for front in &self.fronts {
            loop {
                let mut client = Client::new(SocketAddr::from((front.ip, READY_PORT)));
                let host = "host: ready\r\nconnection: close\r\n";
                let answer = client.send("GET", "/-/readiness", host, b"", Duration::from_secs(1));
                if answer.status == 200 {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("{} does not become ready", front.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line("all fronts are ready");
        Ok(())
    }

    pub fn process_id(&self, front: usize) -> u32 {
        self.fronts[front].child.id()
    }

    /// Starts a front again that has ended.
    pub fn restart(&mut self, front: usize) {
        let front = &mut self.fronts[front];
        let _ = front.child.kill();
        let _ = front.child.wait();
        front.child = spawn(&front.settings, &front.log);
        self.record.line(format!("{} starts again", front.name));
    }

    /// Whether all fronts still run.
    pub fn are_running(&mut self) -> bool {
        self.fronts
            .iter_mut()
            .all(|front| matches!(front.child.try_wait(), Ok(None)))
    }

    /// Lines of a front's log that hold a text.
    pub fn log_lines(&self, front: usize, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.fronts[front].log).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_string)
            .collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for front in &mut self.fronts {
            let _ = front.child.kill();
            let _ = front.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Remembers a process that has to end with the case.
pub fn track(child: &Child) {
    PROCESSES.lock().unwrap().push(child.id());
}

/// Ends all processes of a case that is given up.
pub fn end_processes() {
    PROCESSES.lock().unwrap().iter().copied().for_each(kill);
}

/// Sends SIGKILL to a process that the case has started.
pub fn kill(id: u32) {
    let _ = Command::new("kill")
        .args(["-KILL", &id.to_string()])
        .status();
}

/// Runs the command of the deploy file.
fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let errors = log.try_clone().expect("a log");
    let child = Command::new(PROGRAM)
        .args(["--settings", "deploy/front.ini"])
        .env("WAGTAILDOOR_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the front's program; build it first");
    track(&child);
    child
}

/// Second and third byte of loopback addresses on which the fixed ports are free.
fn free_net() -> (u8, u8) {
    let seed = std::process::id();
    for round in 0..200_u32 {
        let mixed = (seed + round * 7).wrapping_mul(2_654_435_761);
        let net = ((mixed >> 8) as u8 | 0x40, (mixed >> 16) as u8);
        let ports = [CALLERS_PORT, READY_PORT, METRICS_PORT, 7_340];
        let is_free = |port| TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 1), port)).is_ok();
        if ports.into_iter().all(is_free) {
            return net;
        }
    }
    panic!("no free loopback addresses");
}

/// A route of a configuration.
pub fn route(
    name: &str,
    path: &str,
    kind: &str,
    service: &str,
    timeout_ms: u32,
    attempts: u32,
) -> String {
    let stream = match kind {
        "streaming" => ",\"session_affinity\":true,\"resumable\":true,\"gap_target_ms\":250",
        _ => "",
    };
    let target_ms = if kind == "streaming" { 600 } else { 150 };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"{path}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":1,\"service\":\"{service}\",\
         \"attempts\":{attempts},\"allow_anonymous\":false{stream}}}"
    )
}

/// A tenant of a configuration.
pub fn tenant(name: &str, key: &str, isolated: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"isolated\":{isolated}}}"
    )
}

/// A configuration with the services `desk` and `writers`, which serves the model `m0`.
pub fn config(version: u32, routes: &[String], tenants: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"writers\",\"health_path\":\"/health\",\"connection_limit\":240,\"protocol\":\"h1\",\
         \"transport_security\":false,\"engine\":{{\"slots\":32,\"kv_capacity_tokens\":228641,\
         \"kv_token_bytes\":327680,\"link_mbps\":1500000.0,\"models\":[{{\"name\":\"m0\"}}]}}}},\
         {{\"name\":\"desk\",\"health_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\
         \"transport_security\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(","),
    )
}

/// A replica's entry in the store.
pub struct Entry<'a> {
    pub service: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub slots: u32,
    /// Version of its weights; 0 without a model.
    pub weights: u64,
    pub sequence: u64,
    pub born: u64,
}

impl Entry<'_> {
    pub fn write(&self, store: &Store, id: &str) {
        let models = match self.weights {
            0 => String::new(),
            version => format!(
                ",\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":{version},\"adapters\":[]}}]"
            ),
        };
        let text = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0{models},\"sequence\":{},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.sequence, self.born
        );
        store.put("keyed.servers", id, Some(&text));
    }
}

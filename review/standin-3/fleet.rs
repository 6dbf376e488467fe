//! Fronts as processes, with settings like those of a small deployment.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, record::Record, store::Store};

const CALLERS_PORT: u16 = 8_700;
const READY_PORT: u16 = 8_701;
const PEER_PORT: u16 = 8_702;

pub struct Front {
    address: Ipv4Addr,
    child: Child,
}

pub struct Fleet {
    folder: PathBuf,
    pub fronts: Vec<Front>,
}

impl Fleet {
    /// Starts one front in each zone.
    pub fn start(zones: &[&str], store: &Store, record: &Arc<Record>) -> io::Result<Self> {
        let id = process::id();
        let folder = std::env::temp_dir().join(format!("standin-3-{id}"));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            folder,
            fronts: Vec::new(),
        };
        let net = [(id >> 7) as u8 | 0x80, (id << 1) as u8 | 1];
        let address = |number: usize| Ipv4Addr::new(127, net[0], net[1], number as u8 + 1);
        let seeds: Vec<String> = (0..zones.len().min(3))
            .map(|number| format!("\"{}:8783\"", address(number)))
            .collect();
        for (number, zone) in zones.iter().enumerate() {
            let name = format!("front-{zone}-1");
            let own = address(number);
            let settings = fleet.folder.join(format!("{name}.toml"));
            fs::write(
                &settings,
                settings_text(&name, own, zone, &seeds, store.address),
            )?;
            let log = fleet.folder.join(format!("{name}.log"));
            let child = spawn(&settings, &log)?;
            record.line(&format!("{name}: started, process {}", child.id()));
            fleet.fronts.push(Front {
                address: own,
                child,
            });
        }
        Ok(fleet)
    }

    /// Waits until all fronts are ready. Returns whether they are.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.fronts.iter().all(Front::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for front in &mut self.fronts {
            let _ = front.child.kill();
            let _ = front.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Front {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.address, CALLERS_PORT))
    }

    pub fn ready_address(&self) -> SocketAddr {
        SocketAddr::from((self.address, READY_PORT))
    }

    pub fn is_ready(&self) -> bool {
        is_ready(self.ready_address())
    }
}

/// Asks a front's readiness, as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let asked = Connection::open(address, Duration::from_millis(500))
        .and_then(|mut open| open.exchange("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n", b""));
    asked.is_ok_and(|answer| answer.status() == 200)
}

/// Starts the program of the deploy file.
fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/wagtaildoor-front")
        .args(["--settings", "deploy/front.ini"])
        .env("WAGTAILDOOR_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn settings_text(
    name: &str,
    address: Ipv4Addr,
    zone: &str,
    seeds: &[String],
    store: SocketAddr,
) -> String {
    let seeds = seeds.join(",");
    format!(
        r#"node = "{name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip_address = "{address}"
zone = "{zone}"
region = "my-west"
internal_port_range = [{PEER_PORT}, 8717]
seeds = [{seeds}]
bootstrap = true
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[listen_addresses]
front = "{address}:{CALLERS_PORT}"
ready = "{address}:{READY_PORT}"
[limits]
cpu_share = 0.38
cores = 1
memory_mb = 165
file_descriptors = 6150
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_propagation_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
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
expiry_min_ms = 1000
"#
    )
}

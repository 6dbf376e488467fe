//! An entry with a keeper, an engine and a plain service, on free ports of one process.

use std::{
    fs,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    time::Duration,
};

use reqwest::{
    Client,
    RequestBuilder, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::time;
use tokio_util::sync::CancellationToken;
use wagtaildoor::schema::{
    EntrySettings,
    KeeperView, //
};
use wagtaildoor_entry::server;
use wagtaildoor_fakes::{
    fake_engine::{
        EngineProfile,
        FakeEngine, //
    },
    fake_service::FakeService,
    http_engine,
    http_server::{
        self,
        ServerHandle, //
    },
    http_service,
    weight_source::WeightSource,
};

use super::fake_keeper::FakeKeeper;

/// Longest wait for something that has to come.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Wait between two looks.
const PAUSE: Duration = Duration::from_millis(5);
/// Largest body the entry takes, in bytes.
pub const BODY_LIMIT_BYTES: usize = 4096;
/// Time a caller has for a body, in milliseconds.
pub const BODY_TIMEOUT_MS: u64 = 300;
/// Token of the account that may do everything.
pub const DESK_TOKEN: &str = "desk-token";
/// Token of the account that may not order.
pub const GUIDES_TOKEN: &str = "guides-token";
/// Deadline of the templates, but for `endless`.
pub const PLAIN_DEADLINE: Duration = Duration::from_secs(5);
/// Deadline of the template `endless`, in milliseconds.
pub const ENDLESS_DEADLINE_MS: u64 = 4_000;
/// Number of the next rig in this process.
static NEXT_RIG: AtomicU32 = AtomicU32::new(0);

/// Everything around one entry.
pub struct EntryRig {
    /// Address for callers.
    pub address: SocketAddr,
    /// Its keeper.
    pub keeper: FakeKeeper,
    /// Engines, of which most tests need one.
    pub engines: Vec<FakeEngine>,
    /// The one plain service.
    pub service: FakeService,
    /// A client.
    pub client: Client,
    /// Servers of the stand-ins.
    _servers: Vec<ServerHandle>,
    /// File with the entry's address.
    address_file: PathBuf,
}

impl EntryRig {
    /// Starts an entry without TLS.
    pub async fn start() -> Self {
        Self::start_with(1).await
    }

    /// Starts an entry with a number of engines.
    pub async fn start_with(count: usize) -> Self {
        let engines: Vec<FakeEngine> = (0..count).map(|_| quick_engine()).collect();
        let service = FakeService::new(false);
        let servers = serve(&engines, &service).await;
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let view = view(&addresses[..count], addresses[count]);
        let keeper = FakeKeeper::start(view).await;
        let number = NEXT_RIG.fetch_add(1, Ordering::Relaxed);
        let name = format!("wagtaildoor-entry-{}-{number}", std::process::id());
        let address_file = std::env::temp_dir().join(name);
        let settings = settings(&keeper, &address_file);
        tokio::spawn(server::run(settings));
        let address = read_address(&address_file).await;
        let rig = Self {
            address,
            keeper,
            engines,
            service,
            client: Client::builder().no_proxy().build().expect("a client"),
            _servers: servers,
            address_file,
        };
        rig.until_ready().await;
        rig
    }

    /// URL of a path.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// A call with a token.
    pub fn post(&self, path: &str, token: &str) -> RequestBuilder {
        self.client.post(self.url(path)).bearer_auth(token)
    }

    /// Calls that reached an endpoint.
    pub fn endpoint_calls(&self) -> u64 {
        let engines = self.engines.iter().map(|engine| engine.counts().taken);
        engines.sum::<u64>() + self.service.counts().calls
    }

    /// Waits until the entry holds a view.
    async fn until_ready(&self) {
        let ready = async {
            loop {
                let answer = self.client.get(self.url("/ready")).send().await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    return;
                }
                time::sleep(PAUSE).await;
            }
        };
        let waited = time::timeout(PATIENCE, ready).await;
        waited.expect("the entry gets ready");
    }
}

impl Drop for EntryRig {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.address_file);
    }
}

/// An engine that takes no time.
fn quick_engine() -> FakeEngine {
    FakeEngine::new(EngineProfile {
        prefill_per_token: Duration::ZERO,
        decode_per_token: Duration::ZERO,
        decode_per_running: Duration::ZERO,
        ..EngineProfile::default()
    })
}

/// Servers of the engines, then that of the service.
async fn serve(engines: &[FakeEngine], service: &FakeService) -> Vec<ServerHandle> {
    let free = || http_server::build(([127, 0, 0, 1], 0).into());
    let mut mounted = Vec::new();
    for engine in engines {
        let weights = WeightSource::new(None, Client::new());
        mounted.push(http_engine::mount(free(), engine.clone(), weights));
    }
    mounted.push(http_service::mount(free(), service.clone()));
    let mut servers = Vec::new();
    for server in mounted {
        let server = http_server::start(server, CancellationToken::new()).await;
        servers.push(server.expect("a free port"));
    }
    servers
}

/// Waits for the entry's address.
async fn read_address(file: &Path) -> SocketAddr {
    let read = async {
        loop {
            let text = fs::read_to_string(file).unwrap_or_default();
            match text.parse() {
                Ok(address) => return address,
                Err(_) => time::sleep(PAUSE).await,
            }
        }
    };
    time::timeout(PATIENCE, read).await.expect("it listens")
}

/// Settings of the entry.
fn settings(keeper: &FakeKeeper, address_file: &Path) -> EntrySettings {
    let listen = json!({
        "address": "127.0.0.1:0",
        "address_file": address_file,
        "body_limit_bytes": BODY_LIMIT_BYTES,
        "body_timeout_ms": BODY_TIMEOUT_MS,
    });
    let settings = json!({
        "host": { "name": "kl-a-1", "domain": "kl-a", "region": "my-west" },
        "listen": listen,
        "keepers": { "addresses": [keeper.address] },
        "limits": {},
        "shutdown": {},
        "logging": { "level": "error" },
    });
    serde_json::from_value(settings).expect("settings")
}

/// What the keeper shows.
fn view(engines: &[SocketAddr], service: SocketAddr) -> KeeperView {
    let endpoint = |id: String, pool: &str, address: &SocketAddr, weights_version: u64| {
        json!({
            "id": id, "pool": pool, "address": address, "domain": "kl-a", "state": "live",
            "boot_id": "", "queued": 0, "running": 0, "report_age_ms": 0,
            "weights_version": weights_version,
        })
    };
    let numbered = engines.iter().enumerate();
    let engine = |(place, address)| endpoint(format!("drafter-{place}"), "drafter", address, 1);
    let mut endpoints: Vec<Value> = numbered.map(engine).collect();
    endpoints.push(endpoint("app-0".into(), "app", &service, 0));
    let view = json!({
        "configuration": configuration(),
        "endpoints": endpoints,
        "head": { "sequence": 1, "hash": "00", "offset": 1 },
        "hosts": [],
        "platform_age_ms": 0,
    });
    serde_json::from_value(view).expect("a view")
}

/// What is in force.
fn configuration() -> Value {
    let account = |id: &str, token: &str| {
        json!({
            "id": id, "weight": 1, "requests_per_s": 0, "parameters": [],
            "token_hash": blake3::hash(token.as_bytes()).to_hex().as_str(),
        })
    };
    let pool = |id: &str, kind: &str| {
        json!({
            "id": id, "kind": kind, "weights_version": 1, "load_slots": 2,
            "checks_fencing": true, "checks_request_keys": false, "lookup_path": "/lookup/{key}",
        })
    };
    let text = "Answer for the readers of {dialect}.";
    let hash = blake3::hash(text.as_bytes()).to_hex();
    let template = |id: &str, pool: &str, changes: Value| {
        let mut template = json!({
            "id": id, "pool": pool, "adapter": "", "path": "", "repeatable": true,
            "urgency": "normal", "deadline_ms": PLAIN_DEADLINE.as_millis(), "first_token_ms": 1_000,
            "max_tokens": 20, "accounts": [], "levels": [],
        });
        for (name, value) in changes.as_object().expect("changes") {
            template[name] = value.clone();
        }
        template
    };
    let levels = json!([{ "name": "readers", "text_hash": hash.as_str() }]);
    let endless = json!({ "max_tokens": 1_000_000, "deadline_ms": ENDLESS_DEADLINE_MS });
    let order = json!({ "path": "/orders/print", "repeatable": false, "accounts": ["desk"] });
    json!({
        "accounts": [account("desk", DESK_TOKEN), account("guides", GUIDES_TOKEN)],
        "pools": [pool("drafter", "model"), pool("app", "service"), pool("empty", "model")],
        "templates": [
            template("draft", "drafter", json!({ "levels": levels })),
            template("plain", "drafter", json!({})),
            template("endless", "drafter", endless),
            template("nowhere", "empty", json!({})),
            template("poolless", "unknown", json!({})),
            template("lookup", "app", json!({ "path": "/entries/lookup" })),
            template("order", "app", order),
        ],
        "texts": [{ "hash": hash.as_str(), "text": text }],
    })
}

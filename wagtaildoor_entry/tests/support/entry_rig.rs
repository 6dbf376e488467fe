//! Test setup: an entry with a fake keeper, fake engines and a fake service, on free ports.

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

use super::{
    crash_proxy::{
        CrashProxy,
        CRASH_TEXT, //
    },
    fake_keeper::FakeKeeper,
};

/// Timeout for everything that a test waits for.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of request bodies, in bytes.
pub const BODY_LIMIT_BYTES: usize = 4096;
/// Timeout for reading a body, in milliseconds.
pub const BODY_TIMEOUT_MS: u64 = 300;
/// Token of account `desk`, which may use every template.
pub const DESK_TOKEN: &str = "desk-token";
/// Token of account `guides`, which may not use template `order`.
pub const GUIDES_TOKEN: &str = "guides-token";
/// Deadline of all templates except `endless`.
pub const PLAIN_DEADLINE: Duration = Duration::from_secs(5);
/// Timeout of the entry's whole shutdown, longer than any deadline.
pub const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);
/// Deadline of the template `endless`, in milliseconds.
pub const ENDLESS_DEADLINE_MS: u64 = 4_000;
/// Number of the next setup in this process, which makes address files unique.
static NEXT_RIG: AtomicU32 = AtomicU32::new(0);

/// An entry with its fake keeper, engines and service.
pub struct EntryRig {
    /// Listen address of the entry.
    pub address: SocketAddr,
    /// Keeper that the entry connects to.
    pub keeper: FakeKeeper,
    /// Fake engines. Most tests need only one.
    pub engines: Vec<FakeEngine>,
    /// Proxies before the engines, if they can crash like processes.
    pub proxies: Vec<CrashProxy>,
    /// Fake plain service.
    pub service: FakeService,
    /// HTTP client of the callers.
    pub client: Client,
    /// HTTP servers of the engines and the service, stopped on drop.
    _servers: Vec<ServerHandle>,
    /// File that the entry writes its address to.
    address_file: PathBuf,
}

impl EntryRig {
    /// Starts an entry with one engine and without TLS.
    pub async fn start() -> Self {
        Self::start_with(1).await
    }

    /// Starts an entry with `count` engines and waits until it is ready.
    pub async fn start_with(count: usize) -> Self {
        Self::start_entry(count, false).await
    }

    /// Starts an entry with `count` engines that can crash, and waits until it is ready.
    pub async fn start_with_proxies(count: usize) -> Self {
        Self::start_entry(count, true).await
    }

    async fn start_entry(count: usize, has_proxies: bool) -> Self {
        let engines: Vec<FakeEngine> = (0..count).map(|_| instant_engine()).collect();
        let service = FakeService::new(false);
        let servers = serve(&engines, &service).await;
        let mut addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let mut proxies = Vec::new();
        if has_proxies {
            for (engine, address) in engines.iter().zip(&mut addresses) {
                let proxy = CrashProxy::start(engine.clone(), *address).await;
                *address = proxy.address;
                proxies.push(proxy);
            }
        }
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
            proxies,
            service,
            client: Client::builder().no_proxy().build().expect("a client"),
            _servers: servers,
            address_file,
        };
        rig.wait_until_ready().await;
        rig
    }

    /// Builds the URL of a path at the entry.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Builds a `POST` request with a bearer token.
    pub fn post(&self, path: &str, token: &str) -> RequestBuilder {
        self.client.post(self.url(path)).bearer_auth(token)
    }

    /// Returns the number of calls that reached an engine or the service.
    pub fn endpoint_calls(&self) -> u64 {
        let engines = self.engines.iter().map(|engine| engine.counts().taken);
        engines.sum::<u64>() + self.service.counts().calls
    }

    /// Waits until the entry has received a view and is ready.
    async fn wait_until_ready(&self) {
        let ready = async {
            loop {
                let answer = self.client.get(self.url("/ready")).send().await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    return;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = time::timeout(WAIT_TIMEOUT, ready).await;
        waited.expect("the entry becomes ready");
    }
}

impl Drop for EntryRig {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.address_file);
    }
}

/// Creates an engine that answers without delay.
fn instant_engine() -> FakeEngine {
    FakeEngine::new(EngineProfile {
        prefill_per_token: Duration::ZERO,
        decode_per_token: Duration::ZERO,
        decode_per_running: Duration::ZERO,
        ..EngineProfile::default()
    })
}

/// Starts HTTP servers for the engines, followed by the one for the service.
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

/// Waits for the address file and returns its address.
async fn read_address(file: &Path) -> SocketAddr {
    let read = async {
        loop {
            let text = fs::read_to_string(file).unwrap_or_default();
            match text.parse() {
                Ok(address) => return address,
                Err(_) => time::sleep(POLL_INTERVAL).await,
            }
        }
    };
    time::timeout(WAIT_TIMEOUT, read)
        .await
        .expect("the entry listens")
}

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
        "shutdown": { "limit_ms": SHUTDOWN_LIMIT.as_millis() as u64 },
        "logging": { "level": "error" },
    });
    serde_json::from_value(settings).expect("settings")
}

/// Builds the view that the keeper sends.
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

/// Builds the configuration of the view.
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
    let crash_hash = blake3::hash(CRASH_TEXT.as_bytes()).to_hex();
    let crashing = json!([levels[0], { "name": "layout", "text_hash": crash_hash.as_str() }]);
    let endless = json!({ "max_tokens": 1_000_000, "deadline_ms": ENDLESS_DEADLINE_MS });
    let order = json!({ "path": "/orders/print", "repeatable": false, "accounts": ["desk"] });
    json!({
        "accounts": [account("desk", DESK_TOKEN), account("guides", GUIDES_TOKEN)],
        "pools": [pool("drafter", "model"), pool("app", "service"), pool("empty", "model")],
        "templates": [
            template("draft", "drafter", json!({ "levels": levels })),
            template("crashing", "drafter", json!({ "levels": crashing })),
            template("plain", "drafter", json!({})),
            template("endless", "drafter", endless),
            template("nowhere", "empty", json!({})),
            template("poolless", "unknown", json!({})),
            template("lookup", "app", json!({ "path": "/entries/lookup" })),
            template("order", "app", order),
        ],
        "texts": [
            { "hash": hash.as_str(), "text": text },
            { "hash": crash_hash.as_str(), "text": CRASH_TEXT },
        ],
    })
}

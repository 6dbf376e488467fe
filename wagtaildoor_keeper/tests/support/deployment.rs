//! Runs five hosts as real processes in three failure domains, and fakes of the platform, the
//! engines and the plain service.

use std::{
    fs,
    fs::File,
    net::SocketAddr,
    path::PathBuf,
    process::{
        Child,
        Command,
        ExitStatus, //
    },
    sync::atomic::{
        AtomicU8,
        Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use reqwest::Client;
use serde_json::{
    json,
    Value, //
};
use tokio::{
    io,
    net::{
        TcpListener,
        TcpStream, //
    },
    time,
};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use wagtaildoor::schema::{
    EndpointState,
    KeeperStatus,
    ListedEndpoint, //
    RolloutPage,
};
use wagtaildoor_fakes::{
    fake_engine::{
        EngineProfile,
        FakeEngine, //
    },
    fake_list::{
        FakeList,
        ListFaults, //
    },
    fake_log::{
        FakeLog,
        LogFaults, //
    },
    fake_service::FakeService,
    fake_weights::FakeWeights,
    http_engine, http_list, http_log,
    http_server::{
        self,
        ServerHandle, //
    },
    http_service,
    weight_source::WeightSource,
};

/// Timeout for a condition that has to become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Failure domain of each host.
pub const HOST_DOMAINS: [usize; 5] = [0, 0, 1, 1, 2];
/// Bearer token of the only account.
const ACCOUNT_TOKEN: &str = "desk-token";
/// Number of loopback addresses reserved for each deployment of this process.
const ADDRESSES_PER_DEPLOYMENT: u8 = 20;
/// Index of the next deployment in this process.
static NEXT_DEPLOYMENT: AtomicU8 = AtomicU8::new(0);

/// Host with its two processes.
pub struct RunningHost {
    /// Keeper process; `None` while it is down.
    pub keeper: Option<Child>,
    /// Entry process; `None` while it is down.
    pub entry: Option<Child>,
}

/// Five hosts and all services that they use.
pub struct Deployment {
    /// Address of host 0. The other addresses of the deployment follow it in the last byte.
    base: [u8; 4],
    /// Directory with the settings and logs of the processes.
    directory: PathBuf,
    /// Hosts by index.
    pub hosts: Vec<RunningHost>,
    /// Fake of the platform's log.
    pub log: FakeLog,
    /// Fake of the platform's list.
    pub list: FakeList,
    /// Engines: one in each failure domain, then those that a test adds.
    pub engines: Vec<FakeEngine>,
    /// The only plain service.
    pub service: FakeService,
    /// HTTP client that opens a connection for each request.
    pub client: Client,
    /// Tokens that stop each failure domain's TCP proxy to the platform.
    proxy_tokens: Vec<CancellationToken>,
    /// Servers of the fakes. They stop when they are dropped.
    _servers: Vec<ServerHandle>,
}

impl Deployment {
    /// Starts everything and waits until all entries are ready and all keepers know all hosts.
    pub async fn start() -> Self {
        let mut deployment = Self::start_fakes().await;
        for index in 0..HOST_DOMAINS.len() {
            deployment.start_keeper(index);
            deployment.start_entry(index);
        }
        for index in 0..HOST_DOMAINS.len() {
            deployment.await_keeper(index).await;
        }
        deployment.publish(0, "first", first_changes()).await;
        for index in 0..HOST_DOMAINS.len() {
            deployment.await_ready(index).await;
            deployment.await_all_known(index).await;
        }
        deployment
    }

    /// Starts the fakes and the proxies.
    async fn start_fakes() -> Self {
        let process = std::process::id();
        let block = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed) * ADDRESSES_PER_DEPLOYMENT;
        let [_, high, middle, low] = process.to_be_bytes();
        let base = [127, 100 + (high ^ low) % 100, middle ^ low, block];
        let directory = std::env::temp_dir().join(format!("wagtaildoor-hosts-{process}-{block}"));
        fs::create_dir_all(&directory).expect("the directory can be created");
        fs::write(directory.join("secret"), [7; 32]).expect("the file can be written");
        let log = FakeLog::new(Duration::from_secs(3_600));
        let list = FakeList::new();
        let engines: Vec<FakeEngine> = (0..3).map(|_| fast_engine()).collect();
        let service = FakeService::new(false);
        let mut deployment = Self {
            base,
            directory,
            hosts: Vec::new(),
            log,
            list,
            engines,
            service,
            client: build_client(),
            proxy_tokens: Vec::new(),
            _servers: Vec::new(),
        };
        deployment.start_servers().await;
        for domain in 0..3 {
            deployment.connect_platform(domain).await;
        }
        for _ in HOST_DOMAINS {
            deployment.hosts.push(RunningHost {
                keeper: None,
                entry: None,
            });
        }
        deployment
    }

    /// Starts the servers of the fakes and adds the endpoints to the list.
    async fn start_servers(&mut self) {
        let platform = http_server::build(self.platform_address());
        let platform = http_list::mount(platform, self.list.clone(), FakeWeights::new(2));
        let mut servers = vec![http_log::mount(platform, self.log.clone())];
        for (domain, engine) in self.engines.iter().enumerate() {
            let address = self.address(11 + domain, 9000);
            let weights = WeightSource::new(None, build_client());
            let server = http_server::build(address);
            servers.push(http_engine::mount(server, engine.clone(), weights));
            let endpoint = live_endpoint(&format!("drafter-{domain}"), "drafter", domain, address);
            self.list.put_endpoint(endpoint);
        }
        let address = self.address(14, 9000);
        servers.push(http_service::mount(
            http_server::build(address),
            self.service.clone(),
        ));
        self.list
            .put_endpoint(live_endpoint("app-0", "app", 0, address));
        for server in servers {
            let started = http_server::start(server, CancellationToken::new()).await;
            self._servers.push(started.expect("the address is free"));
        }
    }

    /// Address on which the fake platform listens.
    fn platform_address(&self) -> SocketAddr {
        self.address(10, 9100)
    }

    /// Address of the proxy through which a failure domain reaches the platform.
    fn proxy_address(&self, domain: usize) -> SocketAddr {
        self.address(15 + domain, 9100)
    }

    /// Address number `offset` of this deployment.
    fn address(&self, offset: usize, port: u16) -> SocketAddr {
        let [a, b, c, first] = self.base;
        let offset = u8::try_from(offset).expect("the offset fits into a byte");
        SocketAddr::from(([a, b, c, first + offset], port))
    }

    /// Starts the proxy between a failure domain and the platform.
    pub async fn connect_platform(&mut self, domain: usize) {
        let listener = loop {
            if let Ok(listener) = TcpListener::bind(self.proxy_address(domain)).await {
                break listener;
            }
            time::sleep(POLL_INTERVAL).await;
        };
        let token = CancellationToken::new();
        let platform = self.platform_address();
        let stop_token = token.clone();
        tokio::spawn(token.clone().run_until_cancelled_owned(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let pass = async move {
                    if let Ok(mut far) = TcpStream::connect(platform).await {
                        let _ = io::copy_bidirectional(&mut near, &mut far).await;
                    }
                };
                tokio::spawn(stop_token.clone().run_until_cancelled_owned(pass));
            }
        }));
        match self.proxy_tokens.get_mut(domain) {
            Some(proxy_token) => *proxy_token = token,
            None => self.proxy_tokens.push(token),
        }
    }

    /// Cuts a failure domain off from the platform: stops its proxy and closes its connections.
    pub fn disconnect_platform(&self, domain: usize) {
        self.proxy_tokens[domain].cancel();
    }

    /// Starts or ends an outage of the platform's log and list.
    pub fn set_outage(&self, outage: bool) {
        self.log.set_faults(LogFaults {
            outage,
            ..LogFaults::default()
        });
        self.list.set_faults(ListFaults {
            outage,
            ..ListFaults::default()
        });
    }

    /// Starts the keeper of a host.
    pub fn start_keeper(&mut self, index: usize) {
        let domain = HOST_DOMAINS[index];
        let proxy = self.proxy_address(domain);
        let seeds: Vec<String> = (0..HOST_DOMAINS.len())
            .filter(|other| *other != index)
            .map(|other| self.address(other, 7102).to_string())
            .collect();
        let settings = format!(
            "[host]\nname = host-{index}\ndomain = domain-{domain}\nregion = here\n\
             [serve]\nentries = {}\npeers = {}\noperators = {}\n\
             [platform]\nlog_url = http://{proxy}\nlist_url = http://{proxy}/list\n\
             list_poll_ms = 100\nreport_poll_ms = 200\nlog_timeout_ms = 1000\n\
             [peers]\nsecret_file = {}\nseeds = {}\nprobe_ms = 200\n",
            self.address(index, 7101),
            self.address(index, 7102),
            self.address(index, 7103),
            self.directory.join("secret").display(),
            seeds.join(", "),
        );
        let child = self.spawn_program("wagtaildoor-keeper", index, &settings);
        self.hosts[index].keeper = Some(child);
    }

    /// Starts the entry of a host.
    pub fn start_entry(&mut self, index: usize) {
        let domain = HOST_DOMAINS[index];
        let mut keepers = vec![self.address(index, 7101).to_string()];
        let others = (0..HOST_DOMAINS.len()).filter(|o| *o != index && HOST_DOMAINS[*o] == domain);
        keepers.extend(others.map(|other| self.address(other, 7101).to_string()));
        let settings = format!(
            "[host]\nname = host-{index}\ndomain = domain-{domain}\nregion = here\n\
             [listen]\naddress = {}\n[keepers]\naddresses = {}\nretry_ms = 20\n\
             [shutdown]\nquiet_ms = 1000\nlimit_ms = 30000\n",
            self.address(index, 8080),
            keepers.join(", "),
        );
        let child = self.spawn_program("wagtaildoor-entry", index, &settings);
        self.hosts[index].entry = Some(child);
    }

    /// Starts a program from the build directory of the keeper.
    fn spawn_program(&self, program: &str, index: usize, settings: &str) -> Child {
        let file = self.directory.join(format!("{program}-{index}.ini"));
        fs::write(&file, settings).expect("the file can be written");
        let log = self.directory.join(format!("{program}-{index}.log"));
        let log = File::options().create(true).append(true).open(log);
        let path = PathBuf::from(env!("CARGO_BIN_EXE_wagtaildoor-keeper")).with_file_name(program);
        let child = Command::new(path)
            .arg("--settings")
            .arg(file)
            .stderr(log.expect("the log file can be opened"))
            .spawn();
        child.expect("programs are built: cargo build --workspace")
    }

    /// Publishes configuration changes through a host's keeper.
    pub async fn publish(&self, index: usize, note: &str, changes: Value) {
        let url = format!("http://{}/publish", self.address(index, 7103));
        let body = json!({ "operator": "test", "note": note, "changes": changes });
        let response = self.client.post(url).json(&body).send().await;
        let response = response.expect("the keeper responds");
        assert!(
            response.status().is_success(),
            "{:?}",
            response.text().await
        );
    }

    /// Requests a rollout from a host's keeper and returns its description of the outcome.
    pub async fn roll_out(&self, index: usize, version: u64) -> Box<str> {
        let keeper = format!("http://{}", self.address(index, 7103));
        let call = json!({
            "operator": "test", "pool": "drafter", "version": version, "note": "new weights",
        });
        let request = self.client.post(format!("{keeper}/rollout")).json(&call);
        let response = request.send().await.expect("the keeper responds");
        assert!(
            response.status().is_success(),
            "{:?}",
            response.text().await
        );
        let ended = async {
            loop {
                let response = self.client.get(format!("{keeper}/rollouts")).send().await;
                let page: RolloutPage = response
                    .expect("the keeper responds")
                    .json()
                    .await
                    .expect("the body is a page of rollouts");
                let last = page.rollouts.into_iter().next_back();
                if let Some(ended) = last.and_then(|rollout| rollout.ended) {
                    return ended;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, ended)
            .await
            .expect("the rollout ends")
    }

    /// Adds another engine to a failure domain.
    pub async fn add_engine(&mut self, domain: usize) {
        let address = self.address(11 + domain, 9001);
        let engine = fast_engine();
        let server = http_server::build(address);
        let weights = WeightSource::new(None, build_client());
        let server = http_engine::mount(server, engine.clone(), weights);
        let started = http_server::start(server, CancellationToken::new()).await;
        self._servers.push(started.expect("the address is free"));
        self.engines.push(engine);
        let id = format!("drafter-{domain}-2");
        self.list
            .put_endpoint(live_endpoint(&id, "drafter", domain, address));
    }

    /// Reads the status of a host's keeper; `None` if it does not respond.
    pub async fn status(&self, index: usize) -> Option<KeeperStatus> {
        let url = format!("http://{}/status", self.address(index, 7103));
        let response = self.client.get(url).send().await.ok()?;
        response.json().await.ok()
    }

    /// Waits until the status of a host's keeper matches `wanted`.
    pub async fn await_status(&self, index: usize, wanted: impl Fn(&KeeperStatus) -> bool) {
        let mut last = None;
        let matched = async {
            loop {
                last = self.status(index).await;
                if last.as_ref().is_some_and(&wanted) {
                    return;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let result = time::timeout(WAIT_TIMEOUT, matched).await;
        assert!(result.is_ok(), "host {index}: {last:?}");
    }

    /// Waits until a host's keeper responds.
    pub async fn await_keeper(&self, index: usize) {
        self.await_status(index, |_| true).await;
    }

    /// Waits until a host's keeper sees all hosts alive and all four endpoints.
    pub async fn await_all_known(&self, index: usize) {
        self.await_status(index, |status| {
            let alive = status.hosts.iter().filter(|host| host.alive).count();
            alive == HOST_DOMAINS.len() && status.endpoints.len() == 4
        })
        .await;
    }

    /// Whether an entry reports that it is ready for the load balancer.
    pub async fn is_ready(&self, index: usize) -> bool {
        let url = format!("http://{}/ready", self.address(index, 8080));
        let response = self.client.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Waits until an entry is ready.
    pub async fn await_ready(&self, index: usize) {
        let ready = async {
            while !self.is_ready(index).await {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let ready = time::timeout(WAIT_TIMEOUT, ready).await;
        assert!(ready.is_ok(), "entry {index} is not ready");
    }

    /// Returns the URL of `path` on an entry's HTTP port.
    pub fn entry_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.address(index, 8080))
    }

    /// Sends a draft request to an entry.
    pub async fn send_draft(&self, index: usize) -> ReceivedResponse {
        let url = self.entry_url(index, "/v1/completions");
        send_draft(&self.client, &url).await
    }

    /// Sends an order with a new idempotency key to an entry.
    pub async fn send_order(&self, index: usize) -> ReceivedResponse {
        let url = self.entry_url(index, "/v1/services/order");
        send_order(&self.client, &url).await
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            for child in [&mut host.entry, &mut host.keeper].into_iter().flatten() {
                // Both calls fail if the process has ended already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Status and body of a response. The status is 0 if there was none.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, or the error of the request.
    pub body: String,
}

impl ReceivedResponse {
    /// Whether the request succeeded.
    pub fn is_success(&self) -> bool {
        self.status == 200
    }
}

/// Sends a draft request to a URL.
pub async fn send_draft(client: &Client, url: &str) -> ReceivedResponse {
    let body = json!({ "model": "draft", "prompt": "Two coffees." });
    send_request(client.post(url).bearer_auth(ACCOUNT_TOKEN).json(&body)).await
}

/// Sends an order with a new idempotency key to a URL.
pub async fn send_order(client: &Client, url: &str) -> ReceivedResponse {
    let key = Uuid::now_v7().to_string();
    let call = client
        .post(url)
        .bearer_auth(ACCOUNT_TOKEN)
        .header("idempotency-key", key);
    send_request(call.json(&json!({ "boxes": 1 }))).await
}

/// Sends a request and reads the whole response.
async fn send_request(call: reqwest::RequestBuilder) -> ReceivedResponse {
    let exchange = async {
        let response = call.send().await?;
        let status = response.status().as_u16();
        let body = response.text().await?;
        Ok::<ReceivedResponse, reqwest::Error>(ReceivedResponse { status, body })
    };
    exchange.await.unwrap_or_else(|error| ReceivedResponse {
        status: 0,
        body: format!("{error:?}"),
    })
}

/// Sends a signal such as `STOP` to a child process.
pub fn send_signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args([format!("-{name}"), id]).status();
    assert!(sent.is_ok_and(|status| status.success()), "{name} not sent");
}

/// Sends SIGTERM to a child process and waits until it ends.
pub async fn terminate(child: Option<Child>) -> ExitStatus {
    let mut child = child.expect("the child is running");
    send_signal(&child, "TERM");
    let started = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("the child can be waited for") {
            return status;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "the child does not end");
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Kills a child process as a crash would.
pub fn kill(child: Option<Child>) {
    let mut child = child.expect("the child is running");
    child.kill().expect("the child is running");
    child.wait().expect("the child has ended");
}

/// Builds a client that opens a connection for each request.
fn build_client() -> Client {
    let client = Client::builder().no_proxy().pool_max_idle_per_host(0);
    client
        .timeout(WAIT_TIMEOUT)
        .build()
        .expect("the client can be built")
}

/// Creates an engine with short response times.
fn fast_engine() -> FakeEngine {
    FakeEngine::new(EngineProfile {
        prefill_per_token: Duration::ZERO,
        decode_per_token: Duration::from_millis(1),
        decode_per_running: Duration::ZERO,
        load_time: Duration::from_millis(300),
        ..EngineProfile::default()
    })
}

/// Builds a list item for a live endpoint.
fn live_endpoint(id: &str, pool: &str, domain: usize, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        address,
        domain: format!("domain-{domain}").into(),
        id: id.into(),
        pool: pool.into(),
        state: EndpointState::Live,
    }
}

/// Changes of the first publication: one account, two pools and two templates.
fn first_changes() -> Value {
    let pool = |id: &str, kind: &str| {
        json!({ "put_pool": {
            "id": id, "kind": kind, "weights_version": 1, "load_slots": 2,
            "checks_fencing": true, "checks_request_keys": false, "lookup_path": "",
        }})
    };
    let token_hash = blake3::hash(ACCOUNT_TOKEN.as_bytes()).to_hex();
    json!([
        { "put_account": {
            "id": "desk", "weight": 1, "requests_per_s": 0, "parameters": [],
            "token_hash": token_hash.as_str(),
        }},
        pool("drafter", "model"),
        pool("app", "service"),
        template("draft", "drafter", ""),
        template("order", "app", "/orders/print"),
    ])
}

/// Builds a change that adds a template. A template with a path is not repeatable.
pub fn template(id: &str, pool: &str, path: &str) -> Value {
    json!({ "put_template": {
        "id": id, "pool": pool, "adapter": "", "path": path, "repeatable": path.is_empty(),
        "urgency": "normal", "deadline_ms": 10_000, "first_token_ms": 1_000,
        "max_tokens": 20, "accounts": [], "levels": [],
    }})
}

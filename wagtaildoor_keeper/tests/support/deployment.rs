//! Five hosts of real processes over three failure domains, with stand-ins for everything else.

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

/// Longest wait for something that has to come.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Wait between two looks.
pub const PAUSE: Duration = Duration::from_millis(10);
/// Failure domain of each host.
pub const DOMAINS: [usize; 5] = [0, 0, 1, 1, 2];
/// Token of the one account.
const TOKEN: &str = "desk-token";
/// Addresses each deployment takes of its process's block.
const BLOCK: u8 = 20;
/// Number of the next deployment in this process.
static NEXT: AtomicU8 = AtomicU8::new(0);

/// A host with its two processes.
pub struct RunningHost {
    /// Keeper; `None` while it is down.
    pub keeper: Option<Child>,
    /// Entry; `None` while it is down.
    pub entry: Option<Child>,
}

/// Everything that runs.
pub struct Deployment {
    /// First three numbers and the first host's number of all addresses.
    base: [u8; 4],
    /// Files of the processes.
    folder: PathBuf,
    /// Hosts.
    pub hosts: Vec<RunningHost>,
    /// The platform's log.
    pub log: FakeLog,
    /// The platform's list.
    pub list: FakeList,
    /// One engine in each failure domain.
    pub engines: Vec<FakeEngine>,
    /// The one plain service.
    pub service: FakeService,
    /// A client without idle connections.
    pub client: Client,
    /// The way to the platform of each failure domain.
    doors: Vec<CancellationToken>,
    /// Servers of the stand-ins.
    _servers: Vec<ServerHandle>,
}

impl Deployment {
    /// Starts everything, and waits until all entries are ready.
    pub async fn start() -> Self {
        let mut deployment = Self::start_stand_ins().await;
        for index in 0..DOMAINS.len() {
            deployment.start_keeper(index);
            deployment.start_entry(index);
        }
        for index in 0..DOMAINS.len() {
            deployment.await_health(index).await;
        }
        deployment.publish(0, "first", first_changes()).await;
        for index in 0..DOMAINS.len() {
            deployment.await_ready(index).await;
            deployment.await_whole(index).await;
        }
        deployment
    }

    /// Starts the stand-ins.
    async fn start_stand_ins() -> Self {
        let process = std::process::id();
        let block = NEXT.fetch_add(1, Ordering::Relaxed) * BLOCK;
        let [_, high, middle, low] = process.to_be_bytes();
        let base = [127, 100 + (high ^ low) % 100, middle ^ low, block];
        let folder = std::env::temp_dir().join(format!("wagtaildoor-hosts-{process}-{block}"));
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("secret"), [7; 32]).expect("a file");
        let log = FakeLog::new(Duration::from_secs(3_600));
        let list = FakeList::new();
        let engines: Vec<FakeEngine> = (0..3).map(|_| fast_engine()).collect();
        let service = FakeService::new(false);
        let mut deployment = Self {
            base,
            folder,
            hosts: Vec::new(),
            log,
            list,
            engines,
            service,
            client: client(),
            doors: Vec::new(),
            _servers: Vec::new(),
        };
        deployment.serve().await;
        for domain in 0..3 {
            deployment.open_door(domain).await;
        }
        for _ in DOMAINS {
            deployment.hosts.push(RunningHost {
                keeper: None,
                entry: None,
            });
        }
        deployment
    }

    /// Serves the stand-ins, and lists the endpoints.
    async fn serve(&mut self) {
        let platform = http_server::build(self.platform());
        let platform = http_list::mount(platform, self.list.clone(), FakeWeights::new(2));
        let mut servers = vec![http_log::mount(platform, self.log.clone())];
        for (domain, engine) in self.engines.iter().enumerate() {
            let address = self.address(11 + domain, 9000);
            let weights = WeightSource::new(None, client());
            let server = http_server::build(address);
            servers.push(http_engine::mount(server, engine.clone(), weights));
            let endpoint = listed(&format!("drafter-{domain}"), "drafter", domain, address);
            self.list.put_endpoint(endpoint);
        }
        let address = self.address(14, 9000);
        servers.push(http_service::mount(
            http_server::build(address),
            self.service.clone(),
        ));
        self.list.put_endpoint(listed("app-0", "app", 0, address));
        for server in servers {
            let started = http_server::start(server, CancellationToken::new()).await;
            self._servers.push(started.expect("a free address"));
        }
    }

    /// Address of the platform itself.
    fn platform(&self) -> SocketAddr {
        self.address(10, 9100)
    }

    /// Address of the platform as a failure domain reaches it.
    fn door(&self, domain: usize) -> SocketAddr {
        self.address(15 + domain, 9100)
    }

    /// An address of this deployment.
    fn address(&self, place: usize, port: u16) -> SocketAddr {
        let [a, b, c, first] = self.base;
        let place = u8::try_from(place).expect("a small place");
        SocketAddr::from(([a, b, c, first + place], port))
    }

    /// Opens a failure domain's way to the platform.
    pub async fn open_door(&mut self, domain: usize) {
        let listener = loop {
            if let Ok(listener) = TcpListener::bind(self.door(domain)).await {
                break listener;
            }
            time::sleep(PAUSE).await;
        };
        let token = CancellationToken::new();
        let platform = self.platform();
        let cut = token.clone();
        tokio::spawn(token.clone().run_until_cancelled_owned(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let pass = async move {
                    if let Ok(mut far) = TcpStream::connect(platform).await {
                        let _ = io::copy_bidirectional(&mut near, &mut far).await;
                    }
                };
                tokio::spawn(cut.clone().run_until_cancelled_owned(pass));
            }
        }));
        match self.doors.get_mut(domain) {
            Some(door) => *door = token,
            None => self.doors.push(token),
        }
    }

    /// Cuts a failure domain off from the platform.
    pub fn shut_door(&self, domain: usize) {
        self.doors[domain].cancel();
    }

    /// Takes the whole platform down, or brings it back.
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
        let domain = DOMAINS[index];
        let door = self.door(domain);
        let seeds: Vec<String> = (0..DOMAINS.len())
            .filter(|other| *other != index)
            .map(|other| self.address(other, 7102).to_string())
            .collect();
        let settings = format!(
            "[host]\nname = host-{index}\ndomain = domain-{domain}\nregion = here\n\
             [serve]\nentries = {}\npeers = {}\noperators = {}\n\
             [platform]\nlog_url = http://{door}\nlist_url = http://{door}/list\n\
             list_poll_ms = 100\nreport_poll_ms = 200\nlog_timeout_ms = 1000\n\
             [peers]\nsecret_file = {}\nseeds = {}\nprobe_ms = 200\n",
            self.address(index, 7101),
            self.address(index, 7102),
            self.address(index, 7103),
            self.folder.join("secret").display(),
            seeds.join(", "),
        );
        let child = self.run("wagtaildoor-keeper", index, &settings);
        self.hosts[index].keeper = Some(child);
    }

    /// Starts the entry of a host.
    pub fn start_entry(&mut self, index: usize) {
        let domain = DOMAINS[index];
        let mut keepers = vec![self.address(index, 7101).to_string()];
        let others = (0..DOMAINS.len()).filter(|o| *o != index && DOMAINS[*o] == domain);
        keepers.extend(others.map(|other| self.address(other, 7101).to_string()));
        let settings = format!(
            "[host]\nname = host-{index}\ndomain = domain-{domain}\nregion = here\n\
             [listen]\naddress = {}\n[keepers]\naddresses = {}\nretry_ms = 20\n\
             [shutdown]\nquiet_ms = 1000\nlimit_ms = 30000\n",
            self.address(index, 8080),
            keepers.join(", "),
        );
        let child = self.run("wagtaildoor-entry", index, &settings);
        self.hosts[index].entry = Some(child);
    }

    /// Runs a program that was built beside the keeper.
    fn run(&self, program: &str, index: usize, settings: &str) -> Child {
        let file = self.folder.join(format!("{program}-{index}.ini"));
        fs::write(&file, settings).expect("a file");
        let log = self.folder.join(format!("{program}-{index}.log"));
        let log = File::options().create(true).append(true).open(log);
        let path = PathBuf::from(env!("CARGO_BIN_EXE_wagtaildoor-keeper")).with_file_name(program);
        let child = Command::new(path)
            .arg("--settings")
            .arg(file)
            .stderr(log.expect("a log file"))
            .spawn();
        child.expect("programs are built: cargo build --workspace")
    }

    /// Publishes changes at a host's keeper.
    pub async fn publish(&self, index: usize, note: &str, changes: Value) {
        let url = format!("http://{}/publish", self.address(index, 7103));
        let body = json!({ "operator": "test", "note": note, "changes": changes });
        let answer = self.client.post(url).json(&body).send().await;
        let answer = answer.expect("an answer");
        assert!(answer.status().is_success(), "{:?}", answer.text().await);
    }

    /// Lets a host's keeper roll weights out, and waits until it says how that ended.
    pub async fn roll_out(&self, index: usize, version: u64) -> Box<str> {
        let keeper = format!("http://{}", self.address(index, 7103));
        let call = json!({
            "operator": "test", "pool": "drafter", "version": version, "note": "new weights",
        });
        let asked = self.client.post(format!("{keeper}/rollout")).json(&call);
        let answer = asked.send().await.expect("an answer");
        assert!(answer.status().is_success(), "{:?}", answer.text().await);
        let ended = async {
            loop {
                let asked = self.client.get(format!("{keeper}/rollouts")).send().await;
                let page: RolloutPage = asked.expect("an answer").json().await.expect("a page");
                let last = page.rollouts.into_iter().next_back();
                if let Some(ended) = last.and_then(|story| story.ended) {
                    return ended;
                }
                time::sleep(PAUSE).await;
            }
        };
        time::timeout(PATIENCE, ended).await.expect("an end")
    }

    /// Adds a second engine to a failure domain.
    pub async fn add_engine(&mut self, domain: usize) {
        let address = self.address(11 + domain, 9001);
        let engine = fast_engine();
        let server = http_server::build(address);
        let weights = WeightSource::new(None, client());
        let server = http_engine::mount(server, engine.clone(), weights);
        let started = http_server::start(server, CancellationToken::new()).await;
        self._servers.push(started.expect("a free address"));
        self.engines.push(engine);
        let id = format!("drafter-{domain}-2");
        self.list
            .put_endpoint(listed(&id, "drafter", domain, address));
    }

    /// What a host's keeper sees; `None` when it does not answer.
    pub async fn status(&self, index: usize) -> Option<KeeperStatus> {
        let url = format!("http://{}/status", self.address(index, 7103));
        let answer = self.client.get(url).send().await.ok()?;
        answer.json().await.ok()
    }

    /// Waits until a host's keeper sees what is wanted.
    pub async fn await_status(&self, index: usize, wanted: impl Fn(&KeeperStatus) -> bool) {
        let mut last = None;
        let seen = async {
            loop {
                last = self.status(index).await;
                if last.as_ref().is_some_and(&wanted) {
                    return;
                }
                time::sleep(PAUSE).await;
            }
        };
        let seen = time::timeout(PATIENCE, seen).await;
        assert!(seen.is_ok(), "host {index}: {last:?}");
    }

    /// Waits until a keeper answers.
    pub async fn await_health(&self, index: usize) {
        self.await_status(index, |_| true).await;
    }

    /// Waits until a keeper sees all hosts alive and all endpoints.
    pub async fn await_whole(&self, index: usize) {
        self.await_status(index, |status| {
            let alive = status.hosts.iter().filter(|host| host.alive).count();
            alive == DOMAINS.len() && status.endpoints.len() == 4
        })
        .await;
    }

    /// Whether the balancer may send to an entry.
    pub async fn is_ready(&self, index: usize) -> bool {
        let url = format!("http://{}/ready", self.address(index, 8080));
        let answer = self.client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Waits until an entry is ready.
    pub async fn await_ready(&self, index: usize) {
        let ready = async {
            while !self.is_ready(index).await {
                time::sleep(PAUSE).await;
            }
        };
        let ready = time::timeout(PATIENCE, ready).await;
        assert!(ready.is_ok(), "entry {index} is not ready");
    }

    /// URL of an entry.
    pub fn entry_url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.address(index, 8080))
    }

    /// Asks an entry for a draft; gives status and body.
    pub async fn draft(&self, index: usize) -> Reply {
        let url = self.entry_url(index, "/v1/completions");
        draft(&self.client, &url).await
    }

    /// Places an order at an entry with a new key; gives status and body.
    pub async fn order(&self, index: usize) -> Reply {
        let url = self.entry_url(index, "/v1/services/order");
        order(&self.client, &url).await
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            for child in [&mut host.entry, &mut host.keeper].into_iter().flatten() {
                // It may have ended before.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Status and body of an answer; status 0 when there was none.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Body, or what went wrong.
    pub body: String,
}

impl Reply {
    /// Whether it is a whole answer.
    pub fn is_good(&self) -> bool {
        self.status == 200
    }
}

/// Asks for a draft at a URL.
pub async fn draft(client: &Client, url: &str) -> Reply {
    let body = json!({ "model": "draft", "prompt": "Two coffees." });
    reply(client.post(url).bearer_auth(TOKEN).json(&body)).await
}

/// Places an order at a URL with a new key.
pub async fn order(client: &Client, url: &str) -> Reply {
    let key = Uuid::now_v7().to_string();
    let call = client
        .post(url)
        .bearer_auth(TOKEN)
        .header("idempotency-key", key);
    reply(call.json(&json!({ "boxes": 1 }))).await
}

/// Sends a call.
async fn reply(call: reqwest::RequestBuilder) -> Reply {
    let answered = async {
        let answer = call.send().await?;
        let status = answer.status().as_u16();
        let body = answer.text().await?;
        Ok::<Reply, reqwest::Error>(Reply { status, body })
    };
    answered.await.unwrap_or_else(|error| Reply {
        status: 0,
        body: format!("{error:?}"),
    })
}

/// Sends a signal to a child by its id.
pub fn signal(child: &Child, name: &str) {
    let id = child.id().to_string();
    let sent = Command::new("kill").args([format!("-{name}"), id]).status();
    assert!(sent.is_ok_and(|status| status.success()), "{name} not sent");
}

/// Tells a child to end, and waits for its end.
pub async fn terminate(child: Option<Child>) -> ExitStatus {
    let mut child = child.expect("a running child");
    signal(&child, "TERM");
    let started = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("a child") {
            return status;
        }
        assert!(started.elapsed() < PATIENCE, "it does not end");
        time::sleep(PAUSE).await;
    }
}

/// Ends a child as a crash does.
pub fn crash(child: Option<Child>) {
    let mut child = child.expect("a running child");
    child.kill().expect("a running child");
    child.wait().expect("an ended child");
}

/// A client that opens a connection for each call.
fn client() -> Client {
    let client = Client::builder().no_proxy().pool_max_idle_per_host(0);
    client.timeout(PATIENCE).build().expect("a client")
}

/// An engine without delays worth waiting for.
fn fast_engine() -> FakeEngine {
    FakeEngine::new(EngineProfile {
        prefill_per_token: Duration::ZERO,
        decode_per_token: Duration::from_millis(1),
        decode_per_running: Duration::ZERO,
        load_time: Duration::from_millis(300),
        ..EngineProfile::default()
    })
}

/// An endpoint as the list names it.
fn listed(id: &str, pool: &str, domain: usize, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        address,
        domain: format!("domain-{domain}").into(),
        id: id.into(),
        pool: pool.into(),
        state: EndpointState::Live,
    }
}

/// What is published first.
fn first_changes() -> Value {
    let pool = |id: &str, kind: &str| {
        json!({ "put_pool": {
            "id": id, "kind": kind, "weights_version": 1, "load_slots": 2,
            "checks_fencing": true, "checks_request_keys": false, "lookup_path": "",
        }})
    };
    let token_hash = blake3::hash(TOKEN.as_bytes()).to_hex();
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

/// A template; one with a path is not repeatable.
pub fn template(id: &str, pool: &str, path: &str) -> Value {
    json!({ "put_template": {
        "id": id, "pool": pool, "adapter": "", "path": path, "repeatable": path.is_empty(),
        "urgency": "normal", "deadline_ms": 10_000, "first_token_ms": 1_000,
        "max_tokens": 20, "accounts": [], "levels": [],
    }})
}

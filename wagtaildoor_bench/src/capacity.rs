//! Bench of the control work: what peers, views and polls cost at three sizes each.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
    time::{
        Duration,
        Instant, //
    },
};

use clap::{
    value_parser,
    Arg,
    ArgMatches,
    Command, //
};
use tokio::{
    io,
    net::{
        TcpListener,
        TcpStream, //
    },
    time,
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};
use wagtaildoor::{
    endpoint_probe::{
        EndpointProbe,
        HttpProbe, //
    },
    frame,
    membership::{
        MemberSettings,
        MembershipHandle, //
    },
    schema::{
        Account,
        ConfigHead,
        Configuration,
        EndpointState,
        EndpointView,
        HostView,
        KeeperFrame,
        KeeperView,
        LevelText,
        NamedValue, //
    },
};
use wagtaildoor_fakes::{
    fake_network::FakeNetwork,
    fake_service::FakeService,
    http_server,
    http_service, //
};

use crate::{
    cli::{
        BenchError,
        Result, //
    },
    process_use::{
        ProcessUse,
        WatchedProcess, //
    },
};

/// Name of the subcommand.
pub const NAME: &str = "capacity";
/// Option for one run with peers.
const PEERS: &str = "peers";

/// Hosts of the runs with peers.
const PEER_HOSTS: [usize; 3] = [21, 63, 126];
/// Failure domains they stand in.
const PEER_DOMAINS: usize = 7;
/// Time between two probes in these runs.
const PEER_PERIOD: Duration = Duration::from_millis(100);
/// Longest wait for all peers to know each other.
const JOIN_LIMIT: Duration = Duration::from_secs(60);
/// Periods after which a start is over: news of it has gone round.
const SETTLE_PERIODS: u32 = 400;
/// Periods that are measured.
const PEER_PERIODS: u32 = 100;
/// Endpoints, and client accounts, of the runs with views.
const VIEW_SIZES: [[usize; 2]; 3] = [[75, 70], [300, 280], [1_200, 1_100]];
/// Bytes of level texts for each client account.
const TEXT_BYTES: usize = 2_000;
/// Times a frame is written and read.
const FRAME_RUNS: u32 = 20;
/// Endpoints polled side by side.
const POLLED: [usize; 3] = [2, 4, 8];
/// Polls of each.
const POLLS: u32 = 100;
/// Longest wait for a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Command line.
pub fn command() -> Command {
    let peers = Arg::new(PEERS)
        .long(PEERS)
        .value_name("HOSTS")
        .value_parser(value_parser!(usize))
        .help("Measure only peers, and only so many");
    Command::new(NAME)
        .about("What peers, views and polls cost at three sizes each")
        .arg(peers)
}

/// Runs the bench.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    if let Some(hosts) = matches.get_one::<usize>(PEERS) {
        return measure_peers(*hosts).await;
    }
    println!("views: endpoints, accounts, whole KiB, whole ms, all endpoints KiB, ms");
    for [endpoints, accounts] in VIEW_SIZES {
        measure_views(endpoints, accounts)?;
    }
    println!("polls: endpoints, processor us a poll at both ends, bytes a poll both ways");
    for endpoints in POLLED {
        measure_polls(endpoints).await?;
    }
    println!("peers: hosts, bytes in a period and host, processor us, KiB for each host known");
    for hosts in PEER_HOSTS {
        measure_peers(hosts).await?;
    }
    Ok(())
}

/// Measures members among their peers.
async fn measure_peers(hosts: usize) -> Result<()> {
    let empty = own_use()?;
    let network = FakeNetwork::default();
    let token = CancellationToken::new();
    let _guard = token.clone().drop_guard();
    let mut members = Vec::new();
    for index in 0..hosts {
        members.push(join(&network, index, &token).await?);
    }
    for member in &members {
        let mut known = member.hosts();
        let whole = |known: &Vec<HostView>| known.iter().filter(|host| host.alive).count() == hosts;
        let joined = time::timeout(JOIN_LIMIT, known.wait_for(whole)).await;
        joined
            .map_err(|_| setup("the peers do not find each other"))?
            .map_err(|_| setup("a member ended"))?;
    }
    time::sleep(PEER_PERIOD * SETTLE_PERIODS).await;
    let before = own_use()?;
    let carried = network.counts().arrived_bytes;
    time::sleep(PEER_PERIOD * PEER_PERIODS).await;
    let after = own_use()?;
    let bytes = network.counts().arrived_bytes - carried;
    let periods = hosts as f64 * f64::from(PEER_PERIODS);
    let processor = after.processor - before.processor;
    let grown = after.memory_kib.saturating_sub(empty.memory_kib);
    println!(
        "{hosts} {:.0} {:.1} {:.2}",
        bytes as f64 / periods,
        processor.as_secs_f64() * 1e6 / periods,
        grown as f64 / (hosts * hosts) as f64,
    );
    Ok(())
}

/// Joins one member.
async fn join(
    network: &FakeNetwork,
    index: usize,
    token: &CancellationToken,
) -> Result<MembershipHandle> {
    let domain = index % PEER_DOMAINS;
    let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16));
    let settings = MemberSettings {
        host: format!("entry-host-{index:03}").into(),
        domain: format!("domain-{domain}").into(),
        peer_address: address(index),
        entry_address: address(index),
        operator_address: address(index),
        probe_interval: PEER_PERIOD,
        incarnation: 1,
        seed: index as u64,
    };
    let port = network.open(address(index));
    let member = MembershipHandle::new(settings, &[7; 32], port, None, token.child_token());
    let member = member.map_err(|error| setup(&error.to_string()))?;
    member
        .set_seeds((0..PEER_DOMAINS * 2).map(address).collect())
        .await;
    member.set_head(head()).await;
    Ok(member)
}

/// Measures the frames of a view.
fn measure_views(endpoints: usize, accounts: usize) -> Result<()> {
    let view = view(endpoints, accounts);
    let part = KeeperFrame::Endpoints(view.endpoints.clone());
    let whole = KeeperFrame::View(view);
    let (whole_bytes, whole_time) = measure_frame(&whole)?;
    let (part_bytes, part_time) = measure_frame(&part)?;
    println!(
        "{endpoints} {accounts} {:.1} {:.3} {:.1} {:.3}",
        whole_bytes as f64 / 1024.0,
        whole_time.as_secs_f64() * 1e3,
        part_bytes as f64 / 1024.0,
        part_time.as_secs_f64() * 1e3,
    );
    Ok(())
}

/// Size of a frame, and the time to copy, write and read it once.
fn measure_frame(message: &KeeperFrame) -> Result<(usize, Duration)> {
    let started = Instant::now();
    let mut size = 0;
    for _ in 0..FRAME_RUNS {
        let written = frame::encode(&message.clone()).map_err(|error| setup(&error.to_string()))?;
        let read: KeeperFrame =
            frame::decode(&written).map_err(|error| setup(&error.to_string()))?;
        size = written.len();
        drop(read);
    }
    Ok((size, started.elapsed() / FRAME_RUNS))
}

/// Measures polls of load reports over HTTP.
async fn measure_polls(endpoints: usize) -> Result<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = http_service::mount(http_server::build(any), FakeService::new(false));
    let server = http_server::start(server, CancellationToken::new()).await;
    let server = server.map_err(|error| setup(&error.to_string()))?;
    let before = own_use()?;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..endpoints {
        let probe = HttpProbe::new(POLL_TIMEOUT).map_err(|error| setup(&error.to_string()))?;
        let address = server.address;
        tasks.spawn(async move { poll(&probe, address).await });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.map_err(|error| setup(&error.to_string()))??;
    }
    let processor = own_use()?.processor - before.processor;
    let polls = endpoints as f64 * f64::from(POLLS);
    println!(
        "{endpoints} {:.0} {:.0}",
        processor.as_secs_f64() * 1e6 / polls,
        bytes_of_polls(server.address).await? as f64 / f64::from(POLLS),
    );
    Ok(())
}

/// Polls an endpoint over one connection.
async fn poll(probe: &HttpProbe, address: SocketAddr) -> Result<()> {
    for _ in 0..POLLS {
        let report = probe.load(address).await;
        report.map_err(|error| setup(&error.to_string()))?;
    }
    Ok(())
}

/// Bytes both ways of the polls of one endpoint, counted on the connections between.
async fn bytes_of_polls(server: SocketAddr) -> Result<u64> {
    let failed = |error: io::Error| setup(&error.to_string());
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(failed)?;
    let between = listener.local_addr().map_err(failed)?;
    let bytes = Arc::new(AtomicU64::new(0));
    let connections = TaskTracker::new();
    let accepting = tokio::spawn({
        let (bytes, connections) = (Arc::clone(&bytes), connections.clone());
        async move {
            while let Ok((near, _)) = listener.accept().await {
                connections.spawn(pass(near, server, Arc::clone(&bytes)));
            }
        }
    });
    let probe = HttpProbe::new(POLL_TIMEOUT).map_err(|error| setup(&error.to_string()))?;
    poll(&probe, between).await?;
    drop(probe);
    accepting.abort();
    connections.close();
    connections.wait().await;
    Ok(bytes.load(Ordering::Relaxed))
}

/// Passes a connection on, and counts its bytes.
async fn pass(mut near: TcpStream, server: SocketAddr, bytes: Arc<AtomicU64>) {
    let Ok(mut far) = TcpStream::connect(server).await else {
        return;
    };
    if let Ok((up, down)) = io::copy_bidirectional(&mut near, &mut far).await {
        bytes.fetch_add(up + down, Ordering::Relaxed);
    }
}

/// What this process uses.
fn own_use() -> Result<ProcessUse> {
    let own = WatchedProcess {
        name: "bench".into(),
        id: std::process::id(),
    };
    own.read()
}

/// A view of a size.
fn view(endpoints: usize, accounts: usize) -> KeeperView {
    let text = "x".repeat(TEXT_BYTES);
    let hash = |index: usize| format!("{index:064x}");
    KeeperView {
        configuration: Configuration {
            accounts: (0..accounts).map(account).collect(),
            pools: vec![],
            templates: vec![],
            texts: (0..accounts)
                .map(|index| LevelText {
                    hash: hash(index).into(),
                    text: text.as_str().into(),
                })
                .collect(),
        },
        endpoints: (0..endpoints).map(endpoint).collect(),
        head: head(),
        hosts: vec![],
        platform_age_ms: 0,
    }
}

/// A client account.
fn account(index: usize) -> Account {
    Account {
        id: format!("account-{index:04}").into(),
        parameters: vec![NamedValue {
            name: "dialect".into(),
            value: "northern".into(),
        }],
        requests_per_s: 100,
        token_hash: format!("{index:064x}").into(),
        weight: 1,
    }
}

/// An endpoint.
fn endpoint(index: usize) -> EndpointView {
    EndpointView {
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        boot_id: format!("{index:036x}").into(),
        domain: format!("domain-{}", index % PEER_DOMAINS).into(),
        id: format!("drafter-{index:04}").into(),
        pool: "drafter".into(),
        queued: 3,
        report_age_ms: 200,
        running: 8,
        state: EndpointState::Live,
        weights_version: 4,
    }
}

/// A head as long as real ones.
fn head() -> ConfigHead {
    ConfigHead {
        hash: format!("{:064x}", 7).into(),
        offset: 9_000,
        sequence: 1_700,
    }
}

/// An error of the setting.
fn setup(reason: &str) -> BenchError {
    BenchError::Setup(reason.into())
}

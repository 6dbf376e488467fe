//! Cost of membership, keeper views and load polls, measured at three sizes each.

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
/// Option that measures only membership, with the given number of hosts.
const PEERS: &str = "peers";

/// Cluster sizes of the membership runs.
const CLUSTER_SIZES: [usize; 3] = [21, 63, 126];
/// Number of failure domains that the hosts are spread over.
const DOMAIN_COUNT: usize = 7;
/// Probe interval of each member in the membership runs.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum wait until all members see each other alive.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Probe intervals to wait before measuring, so that gossip about the joins has died down.
const SETTLE_INTERVALS: u32 = 400;
/// Probe intervals over which the cost is measured.
const MEASURED_INTERVALS: u32 = 100;
/// Numbers of endpoints and client accounts in the view runs.
const VIEW_SIZES: [[usize; 2]; 3] = [[75, 70], [300, 280], [1_200, 1_100]];
/// Level text of each client account, in bytes.
const LEVEL_TEXT_BYTES: usize = 2_000;
/// Number of times a frame is encoded and decoded.
const FRAME_REPETITIONS: u32 = 20;
/// Numbers of endpoints polled concurrently.
const POLLED_ENDPOINTS: [usize; 3] = [2, 4, 8];
/// Polls sent to each endpoint.
const POLLS_PER_ENDPOINT: u32 = 100;
const POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Builds the subcommand.
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

/// Runs the benchmark and prints one table for each kind of cost.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    if let Some(hosts) = matches.get_one::<usize>(PEERS) {
        return measure_peers(*hosts).await;
    }
    println!("views: endpoints, accounts, whole KiB, whole ms, all endpoints KiB, ms");
    for [endpoints, accounts] in VIEW_SIZES {
        measure_views(endpoints, accounts)?;
    }
    println!("polls: endpoints, processor us a poll at both ends, bytes a poll both ways");
    for endpoints in POLLED_ENDPOINTS {
        measure_polls(endpoints).await?;
    }
    println!("peers: hosts, bytes in a period and host, processor us, KiB for each host known");
    for hosts in CLUSTER_SIZES {
        measure_peers(hosts).await?;
    }
    Ok(())
}

/// Prints the network, CPU and memory cost of a cluster of members.
async fn measure_peers(hosts: usize) -> Result<()> {
    let initial = sample_own_process()?;
    let network = FakeNetwork::default();
    let token = CancellationToken::new();
    let _guard = token.clone().drop_guard();
    let mut members = Vec::new();
    for index in 0..hosts {
        members.push(start_member(&network, index, &token).await?);
    }
    for member in &members {
        let mut known = member.hosts();
        let all_alive =
            |known: &Vec<HostView>| known.iter().filter(|host| host.alive).count() == hosts;
        let joined = time::timeout(JOIN_TIMEOUT, known.wait_for(all_alive)).await;
        joined
            .map_err(|_| setup_error("the peers do not find each other"))?
            .map_err(|_| setup_error("a member ended"))?;
    }
    time::sleep(PROBE_INTERVAL * SETTLE_INTERVALS).await;
    let before = sample_own_process()?;
    let bytes_before = network.counts().arrived_bytes;
    time::sleep(PROBE_INTERVAL * MEASURED_INTERVALS).await;
    let after = sample_own_process()?;
    let bytes = network.counts().arrived_bytes - bytes_before;
    let host_intervals = hosts as f64 * f64::from(MEASURED_INTERVALS);
    let cpu_time = after.cpu_time - before.cpu_time;
    let grown = after.memory_kib.saturating_sub(initial.memory_kib);
    println!(
        "{hosts} {:.0} {:.1} {:.2}",
        bytes as f64 / host_intervals,
        cpu_time.as_secs_f64() * 1e6 / host_intervals,
        grown as f64 / (hosts * hosts) as f64,
    );
    Ok(())
}

/// Starts one member on the fake network; the first hosts serve as its seeds.
async fn start_member(
    network: &FakeNetwork,
    index: usize,
    token: &CancellationToken,
) -> Result<MembershipHandle> {
    let domain = index % DOMAIN_COUNT;
    let address = |index: usize| SocketAddr::from(([127, 0, 0, 1], 1000 + index as u16));
    let settings = MemberSettings {
        host: format!("entry-host-{index:03}").into(),
        domain: format!("domain-{domain}").into(),
        peer_address: address(index),
        entry_address: address(index),
        operator_address: address(index),
        probe_interval: PROBE_INTERVAL,
        incarnation: 1,
        seed: index as u64,
    };
    let port = network.open(address(index));
    let member = MembershipHandle::new(settings, &[7; 32], port, None, token.child_token());
    let member = member.map_err(|error| setup_error(&error.to_string()))?;
    member
        .set_seeds((0..DOMAIN_COUNT * 2).map(address).collect())
        .await;
    member.set_head(build_head()).await;
    Ok(member)
}

/// Prints the encoded size and encoding time of a whole view and of its endpoints alone.
fn measure_views(endpoints: usize, accounts: usize) -> Result<()> {
    let view = build_view(endpoints, accounts);
    let endpoints_frame = KeeperFrame::Endpoints(view.endpoints.clone());
    let whole = KeeperFrame::View(view);
    let (whole_bytes, whole_time) = measure_frame(&whole)?;
    let (endpoints_bytes, endpoints_time) = measure_frame(&endpoints_frame)?;
    println!(
        "{endpoints} {accounts} {:.1} {:.3} {:.1} {:.3}",
        whole_bytes as f64 / 1024.0,
        whole_time.as_secs_f64() * 1e3,
        endpoints_bytes as f64 / 1024.0,
        endpoints_time.as_secs_f64() * 1e3,
    );
    Ok(())
}

/// Returns the encoded size of a frame, and the mean time to clone, encode and decode it.
fn measure_frame(message: &KeeperFrame) -> Result<(usize, Duration)> {
    let started = Instant::now();
    let mut size = 0;
    for _ in 0..FRAME_REPETITIONS {
        let written =
            frame::encode(&message.clone()).map_err(|error| setup_error(&error.to_string()))?;
        let read: KeeperFrame =
            frame::decode(&written).map_err(|error| setup_error(&error.to_string()))?;
        size = written.len();
        drop(read);
    }
    Ok((size, started.elapsed() / FRAME_REPETITIONS))
}

/// Prints the CPU time and bytes of a load poll over HTTP.
async fn measure_polls(endpoints: usize) -> Result<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = http_service::mount(http_server::build(any), FakeService::new(false));
    let server = http_server::start(server, CancellationToken::new()).await;
    let server = server.map_err(|error| setup_error(&error.to_string()))?;
    let before = sample_own_process()?;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..endpoints {
        let probe =
            HttpProbe::new(POLL_TIMEOUT).map_err(|error| setup_error(&error.to_string()))?;
        let address = server.address;
        tasks.spawn(async move { poll_endpoint(&probe, address).await });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.map_err(|error| setup_error(&error.to_string()))??;
    }
    let cpu_time = sample_own_process()?.cpu_time - before.cpu_time;
    let polls = endpoints as f64 * f64::from(POLLS_PER_ENDPOINT);
    println!(
        "{endpoints} {:.0} {:.0}",
        cpu_time.as_secs_f64() * 1e6 / polls,
        count_poll_bytes(server.address).await? as f64 / f64::from(POLLS_PER_ENDPOINT),
    );
    Ok(())
}

/// Sends all polls to an endpoint, over one connection.
async fn poll_endpoint(probe: &HttpProbe, address: SocketAddr) -> Result<()> {
    for _ in 0..POLLS_PER_ENDPOINT {
        let report = probe.load(address).await;
        report.map_err(|error| setup_error(&error.to_string()))?;
    }
    Ok(())
}

/// Counts the bytes of one endpoint's polls in both directions, with a proxy in between.
async fn count_poll_bytes(server: SocketAddr) -> Result<u64> {
    let failed = |error: io::Error| setup_error(&error.to_string());
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.map_err(failed)?;
    let proxy_address = listener.local_addr().map_err(failed)?;
    let bytes = Arc::new(AtomicU64::new(0));
    let connections = TaskTracker::new();
    let accepting = tokio::spawn({
        let (bytes, connections) = (Arc::clone(&bytes), connections.clone());
        async move {
            while let Ok((downstream, _)) = listener.accept().await {
                connections.spawn(proxy_connection(downstream, server, Arc::clone(&bytes)));
            }
        }
    });
    let probe = HttpProbe::new(POLL_TIMEOUT).map_err(|error| setup_error(&error.to_string()))?;
    poll_endpoint(&probe, proxy_address).await?;
    drop(probe);
    accepting.abort();
    connections.close();
    connections.wait().await;
    Ok(bytes.load(Ordering::Relaxed))
}

/// Forwards a connection to the server and counts its bytes in both directions.
async fn proxy_connection(mut downstream: TcpStream, server: SocketAddr, bytes: Arc<AtomicU64>) {
    let Ok(mut upstream) = TcpStream::connect(server).await else {
        return;
    };
    if let Ok((up, down)) = io::copy_bidirectional(&mut downstream, &mut upstream).await {
        bytes.fetch_add(up + down, Ordering::Relaxed);
    }
}

/// Samples the benchmark's own process.
fn sample_own_process() -> Result<ProcessUse> {
    let own = WatchedProcess {
        name: "bench".into(),
        id: std::process::id(),
    };
    own.read()
}

/// Builds a view with the given numbers of endpoints and accounts.
fn build_view(endpoints: usize, accounts: usize) -> KeeperView {
    let text = "x".repeat(LEVEL_TEXT_BYTES);
    let hash = |index: usize| format!("{index:064x}");
    KeeperView {
        configuration: Configuration {
            accounts: (0..accounts).map(build_account).collect(),
            pools: vec![],
            templates: vec![],
            texts: (0..accounts)
                .map(|index| LevelText {
                    hash: hash(index).into(),
                    text: text.as_str().into(),
                })
                .collect(),
        },
        endpoints: (0..endpoints).map(build_endpoint).collect(),
        head: build_head(),
        hosts: vec![],
        platform_age_ms: 0,
    }
}

fn build_account(index: usize) -> Account {
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

fn build_endpoint(index: usize) -> EndpointView {
    EndpointView {
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        boot_id: format!("{index:036x}").into(),
        domain: format!("domain-{}", index % DOMAIN_COUNT).into(),
        id: format!("drafter-{index:04}").into(),
        pool: "drafter".into(),
        queued: 3,
        report_age_ms: 200,
        running: 8,
        state: EndpointState::Live,
        weights_version: 4,
    }
}

/// Builds a configuration head of realistic length.
fn build_head() -> ConfigHead {
    ConfigHead {
        hash: format!("{:064x}", 7).into(),
        offset: 9_000,
        sequence: 1_700,
    }
}

/// Converts a failure of the benchmark's environment.
fn setup_error(reason: &str) -> BenchError {
    BenchError::Setup(reason.into())
}

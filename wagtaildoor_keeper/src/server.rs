//! Puts a keeper together and runs it until a signal ends it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use reqwest::Client;
use slog::{
    info,
    warn, //
};
use tokio::{
    net::TcpListener,
    signal::unix::{
        self,
        Signal,
        SignalKind, //
    },
    sync::{
        broadcast::error::RecvError,
        watch, //
    },
    time::Instant,
};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use wagtaildoor::{
    claim_policy::ClaimPolicy,
    claim_service::ClaimService,
    config_checkpoint::ConfigCheckpointer,
    config_follower::ConfigFollower,
    drain_gate::{
        DrainGate,
        DrainLimits, //
    },
    endpoint_probe::{
        HttpProbe,
        ProbeError, //
    },
    endpoint_watch::{
        EndpointWatch,
        WatchSettings, //
    },
    log_http::HttpLog,
    log_store::LogError,
    logging,
    peer_datagram::DatagramError,
    schema::{
        EventKind,
        KeeperSettings, //
    },
    timeline::EventRecorder,
    view_publisher::ViewPublisher,
};
use wagtaildoor_daemon::http_server;

use crate::{
    entries,
    metrics::KeeperMetrics,
    operators,
    peers,
    platform_list,
    rollouts::RolloutDesk,
    state::KeeperState,
    view_builder, //
};

/// Name of the program in logs and time lines.
const PROCESS: &str = "wagtaildoor-keeper";
/// Longest wait for an answer of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for an answer of an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a keeper goes on for the calls of its entries, which turn away at its word.
const DRAIN_LIMITS: DrainLimits = DrainLimits {
    quiet_period: Duration::from_millis(200),
    total_timeout: Duration::from_secs(10),
};

/// Result of running a keeper.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Why a keeper could not start or go on.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ServerError {
    /// The HTTP server failed.
    #[display("server: {_0}")]
    Server(Box<rocket::Error>),
    /// The HTTP client could not be built.
    #[display("client: {_0}")]
    Client(reqwest::Error),
    /// The client of the log could not be built.
    #[display("log: {_0}")]
    Log(LogError),
    /// The metrics could not be built.
    #[display("metrics: {_0}")]
    Metrics(opentelemetry_sdk::error::OTelSdkError),
    /// The probe of endpoints could not be built.
    #[display("{_0}")]
    Probe(ProbeError),
    /// The secret shared with the peers could not be read.
    #[display("[peers] secret_file {file}: {error}")]
    #[from(skip)]
    Secret {
        /// File.
        file: Box<str>,
        /// Why not.
        error: std::io::Error,
    },
    /// The secret shared with the peers is of no use.
    #[display("[peers] secret_file: {_0}")]
    Datagram(DatagramError),
    /// A socket or signal could not be had.
    #[display("{_0}")]
    System(std::io::Error),
}

/// Runs a keeper with these settings until it is told to end.
pub async fn run(settings: KeeperSettings) -> Result<()> {
    let terminate = unix::signal(SignalKind::terminate())?;
    let token = CancellationToken::new();
    let client = Client::builder().no_proxy().timeout(LIST_TIMEOUT).build()?;
    let listener = TcpListener::bind(settings.serve.entries).await?;
    let state = build_state(settings, listener.local_addr()?, &token).await?;
    let accepting = token.child_token();
    start_tasks(&state, client, &token);
    tokio::spawn(entries::run(
        Arc::clone(&state),
        listener,
        accepting.clone(),
    ));
    let server = rocket::custom(http_server::rocket_config(state.settings.serve.operators))
        .manage(Arc::clone(&state));
    let server = operators::mount(server).ignite().await.map_err(Box::new)?;
    let stop = server.shutdown();
    tokio::spawn(leave(Arc::clone(&state), terminate, accepting, stop));
    info!(state.log, "listening"; "entries" => %state.settings.serve.entries);
    state.note(EventKind::ProcessStarted, "started");
    server.launch().await.map_err(Box::new)?;
    state.note(EventKind::ProcessStopped, "stopped");
    token.cancel();
    Ok(())
}

/// Waits for the signal, sends entries elsewhere, ends the work in hand, and stops the server.
///
/// A second signal ends the process at once.
async fn leave(
    state: Arc<KeeperState>,
    mut terminate: Signal,
    accepting: CancellationToken,
    stop: rocket::Shutdown,
) {
    terminate.recv().await;
    state.note(EventKind::ProcessLeaving, "told to end");
    accepting.cancel();
    state.board.leave(state.settings.host.name.clone());
    let hurry = async {
        terminate.recv().await;
    };
    let work = state.gate.drain(DRAIN_LIMITS, hurry);
    let (end, ()) = tokio::join!(work, state.member.leave());
    info!(state.log, "left"; "end" => %end);
    stop.notify();
}

/// Puts the state of a keeper together.
async fn build_state(
    settings: KeeperSettings,
    entries: SocketAddr,
    token: &CancellationToken,
) -> Result<Arc<KeeperState>> {
    let log = logging::logger(&settings.logging, &settings.host.name, PROCESS);
    let capacity = settings.logging.timeline_events as usize;
    let recorder = EventRecorder::new(&settings.host.name, PROCESS, capacity, log.clone());
    let member = peers::join(&settings, entries, &recorder, token.child_token()).await?;
    let platform = &settings.platform;
    let store = HttpLog::new(
        &platform.log_url,
        Duration::from_millis(platform.log_timeout_ms),
    )?;
    let retention = Duration::from_millis(platform.retention_ms);
    let policy = ClaimPolicy::new(platform.claim_shards, retention);
    let watch = EndpointWatch::new(
        WatchSettings {
            host: settings.host.name.clone(),
            poll: Duration::from_millis(platform.report_poll_ms),
        },
        HttpProbe::new(PROBE_TIMEOUT)?,
        Some(recorder.clone()),
        token.child_token(),
    );
    Ok(Arc::new(KeeperState {
        config: ConfigFollower::new(store.clone(), token.child_token()),
        claims: ClaimService::new(store.clone(), policy, token.child_token()),
        board: ViewPublisher::new(token.child_token()),
        endpoints: watch.endpoints(),
        watch,
        listed: watch::Sender::new(false),
        hosts: member.hosts(),
        member,
        gate: DrainGate::new(),
        rollouts: RolloutDesk::default(),
        engines: Client::builder().no_proxy().build()?,
        token: token.child_token(),
        metrics: KeeperMetrics::new()?,
        started: Instant::now(),
        store,
        settings,
        log,
        recorder,
    }))
}

/// Starts one task for each thing a keeper follows.
fn start_tasks(state: &Arc<KeeperState>, client: Client, token: &CancellationToken) {
    let shared = || Arc::clone(state);
    tokio::spawn(state.config.clone().run());
    tokio::spawn(state.claims.clone().run());
    tokio::spawn(checkpointer(state).run(token.clone()));
    tokio::spawn(view_builder::run(shared(), token.clone()));
    tokio::spawn(peers::tell_heads(shared(), token.clone()));
    tokio::spawn(peers::tell_hosts(shared(), token.clone()));
    tokio::spawn(peers::catch_up(shared(), client.clone(), token.clone()));
    tokio::spawn(pass_news_on(shared(), token.clone()));
    tokio::spawn(platform_list::run(shared(), client, token.clone()));
}

/// Writes checkpoints of the configuration, when no other host does.
fn checkpointer(state: &KeeperState) -> ConfigCheckpointer<HttpLog> {
    let name = format!("{}/{}", state.settings.host.name, Uuid::new_v4());
    let retention = Duration::from_millis(state.settings.platform.retention_ms);
    ConfigCheckpointer::new(state.store.clone(), state.config.clone(), &name, retention)
}

/// Passes cache news of the endpoints on to the entries, until cancelled.
async fn pass_news_on(state: Arc<KeeperState>, token: CancellationToken) {
    let mut news = state.watch.news();
    loop {
        let item = tokio::select! {
            () = token.cancelled() => return,
            item = news.recv() => item,
        };
        match item {
            Ok(item) => state.board.publish_cache_event(item),
            Err(RecvError::Lagged(missed)) => {
                warn!(state.log, "cache news missed"; "count" => missed);
            }
            Err(RecvError::Closed) => return,
        }
    }
}

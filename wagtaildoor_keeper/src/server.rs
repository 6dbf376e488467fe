//! Builds a keeper and runs it until a signal ends it.

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
    entry_listener,
    metrics::KeeperMetrics,
    operators,
    peers,
    platform_list,
    rollouts::RolloutRegistry,
    state::KeeperState,
    view_builder, //
};

/// Name of the process in logs and in the timeline.
const PROCESS_NAME: &str = "wagtaildoor-keeper";
/// Timeout for a request to the platform's list or to a peer.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a request to an endpoint.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits of the drain at shutdown. Entries switch to another keeper once this one announces that
/// it is leaving; their pending calls are still answered.
const DRAIN_LIMITS: DrainLimits = DrainLimits {
    quiet_period: Duration::from_millis(200),
    total_timeout: Duration::from_secs(10),
};

/// Result of starting or running a keeper.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Error that prevents a keeper from starting or running.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ServerError {
    /// The HTTP server failed.
    #[display("HTTP server failed: {_0}")]
    Server(Box<rocket::Error>),
    /// The HTTP client could not be built.
    #[display("HTTP client could not be built: {_0}")]
    Client(reqwest::Error),
    /// The client of the platform's log could not be built.
    #[display("log client could not be built: {_0}")]
    Log(LogError),
    /// The metric instruments could not be created.
    #[display("metrics could not be created: {_0}")]
    Metrics(opentelemetry_sdk::error::OTelSdkError),
    /// The HTTP client for endpoint probes could not be built.
    #[display("{_0}")]
    Probe(ProbeError),
    /// The file with the secret of the peers could not be read.
    #[display("[peers] secret_file {file}: {error}")]
    #[from(skip)]
    Secret {
        /// Path of the file.
        file: Box<str>,
        /// Why the file could not be read.
        error: std::io::Error,
    },
    /// The secret of the peers is not valid.
    #[display("[peers] secret_file: {_0}")]
    Datagram(DatagramError),
    /// A socket could not be bound, or a signal handler could not be installed.
    #[display("{_0}")]
    System(std::io::Error),
}

/// Runs a keeper until it has drained after a SIGTERM.
pub async fn run(settings: KeeperSettings) -> Result<()> {
    let sigterm = unix::signal(SignalKind::terminate())?;
    let token = CancellationToken::new();
    let client = Client::builder().no_proxy().timeout(LIST_TIMEOUT).build()?;
    let listener = TcpListener::bind(settings.serve.entries).await?;
    let state = build_state(settings, listener.local_addr()?, &token).await?;
    let accept_token = token.child_token();
    start_tasks(&state, client, &token);
    tokio::spawn(entry_listener::accept_entries(
        Arc::clone(&state),
        listener,
        accept_token.clone(),
    ));
    let server = rocket::custom(http_server::rocket_config(state.settings.serve.operators))
        .manage(Arc::clone(&state));
    let server = operators::mount(server).ignite().await.map_err(Box::new)?;
    let stop = server.shutdown();
    tokio::spawn(shut_down(Arc::clone(&state), sigterm, accept_token, stop));
    info!(state.log, "listening"; "entries" => %state.settings.serve.entries);
    state.record_event(EventKind::ProcessStarted, "started");
    server.launch().await.map_err(Box::new)?;
    state.record_event(EventKind::ProcessStopped, "stopped");
    token.cancel();
    Ok(())
}

/// Waits for SIGTERM, then tells entries and peers that this host leaves, drains and stops the
/// server.
///
/// A second SIGTERM ends the drain at once.
async fn shut_down(
    state: Arc<KeeperState>,
    mut sigterm: Signal,
    accept_token: CancellationToken,
    stop: rocket::Shutdown,
) {
    sigterm.recv().await;
    state.record_event(EventKind::ProcessLeaving, "received SIGTERM; draining");
    accept_token.cancel();
    state.view_publisher.leave(state.settings.host.name.clone());
    let second_signal = async {
        sigterm.recv().await;
    };
    let drain = state.drain_gate.drain(DRAIN_LIMITS, second_signal);
    let (outcome, ()) = tokio::join!(drain, state.membership.leave());
    info!(state.log, "drain ended"; "end" => %outcome);
    stop.notify();
}

/// Joins the peers and builds the shared state. `entries` is the address that entries connect to.
async fn build_state(
    settings: KeeperSettings,
    entries: SocketAddr,
    token: &CancellationToken,
) -> Result<Arc<KeeperState>> {
    let log = logging::logger(&settings.logging, &settings.host.name, PROCESS_NAME);
    let capacity = settings.logging.timeline_events as usize;
    let recorder = EventRecorder::new(&settings.host.name, PROCESS_NAME, capacity, log.clone());
    let membership =
        peers::join_membership(&settings, entries, &recorder, token.child_token()).await?;
    let platform = &settings.platform;
    let store = HttpLog::new(
        &platform.log_url,
        Duration::from_millis(platform.log_timeout_ms),
    )?;
    let retention = Duration::from_millis(platform.retention_ms);
    let policy = ClaimPolicy::new(platform.claim_shards, retention);
    let endpoint_watch = EndpointWatch::new(
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
        view_publisher: ViewPublisher::new(token.child_token()),
        endpoints: endpoint_watch.endpoints(),
        endpoint_watch,
        endpoints_loaded: watch::Sender::new(false),
        hosts: membership.hosts(),
        membership,
        drain_gate: DrainGate::new(),
        rollouts: RolloutRegistry::default(),
        engine_client: Client::builder().no_proxy().build()?,
        token: token.child_token(),
        metrics: KeeperMetrics::new()?,
        started: Instant::now(),
        store,
        settings,
        log,
        recorder,
    }))
}

/// Spawns the background tasks.
fn start_tasks(state: &Arc<KeeperState>, client: Client, token: &CancellationToken) {
    let shared = || Arc::clone(state);
    tokio::spawn(state.config.clone().run());
    tokio::spawn(state.claims.clone().run());
    tokio::spawn(build_checkpointer(state).run(token.clone()));
    tokio::spawn(view_builder::publish_views(shared(), token.clone()));
    tokio::spawn(peers::advertise_heads(shared(), token.clone()));
    tokio::spawn(peers::forward_hosts(shared(), token.clone()));
    tokio::spawn(peers::copy_newer_configs(
        shared(),
        client.clone(),
        token.clone(),
    ));
    tokio::spawn(forward_cache_events(shared(), token.clone()));
    tokio::spawn(platform_list::poll_list(shared(), client, token.clone()));
}

/// Creates the task that writes checkpoints of the configuration if no other host does.
fn build_checkpointer(state: &KeeperState) -> ConfigCheckpointer<HttpLog> {
    let name = format!("{}/{}", state.settings.host.name, Uuid::new_v4());
    let retention = Duration::from_millis(state.settings.platform.retention_ms);
    ConfigCheckpointer::new(state.store.clone(), state.config.clone(), &name, retention)
}

/// Forwards cache events of the endpoints to the entries, until cancelled.
async fn forward_cache_events(state: Arc<KeeperState>, token: CancellationToken) {
    let mut events = state.endpoint_watch.subscribe_cache_events();
    loop {
        let event = tokio::select! {
            () = token.cancelled() => return,
            event = events.recv() => event,
        };
        match event {
            Ok(event) => state.view_publisher.publish_cache_event(event),
            Err(RecvError::Lagged(missed)) => {
                warn!(state.log, "cache events missed"; "count" => missed);
            }
            Err(RecvError::Closed) => return,
        }
    }
}

//! Puts a keeper together and runs it until a signal ends it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use reqwest::Client;
use slog::info;
use tokio::{
    net::TcpListener,
    signal::unix::{
        self,
        SignalKind, //
    },
    sync::watch,
    time::Instant,
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    claim_policy::ClaimPolicy,
    claim_service::ClaimService,
    config_follower::ConfigFollower,
    ids::EndpointId,
    log_http::HttpLog,
    log_store::LogError,
    logging,
    schema::{
        EndpointView,
        EventKind,
        KeeperSettings,
        PlatformList, //
    },
    timeline::EventRecorder,
    view_board::ViewBoard,
};
use wagtaildoor_daemon::http_server;

use crate::{
    entries,
    metrics::KeeperMetrics,
    operators,
    platform_list,
    state::KeeperState,
    view_builder, //
};

/// Name of the program in logs and time lines.
const PROCESS: &str = "wagtaildoor-keeper";
/// Longest wait for an answer of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

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
    /// A socket or signal could not be had.
    #[display("{_0}")]
    System(std::io::Error),
}

/// Runs a keeper with these settings until it is told to end.
pub async fn run(settings: KeeperSettings) -> Result<()> {
    let mut terminate = unix::signal(SignalKind::terminate())?;
    let token = CancellationToken::new();
    let client = Client::builder().no_proxy().timeout(LIST_TIMEOUT).build()?;
    let state = build_state(settings, &token)?;
    let listener = TcpListener::bind(state.settings.serve.entries).await?;
    start_tasks(&state, client, listener, &token);
    let server = rocket::custom(http_server::config(state.settings.serve.operators))
        .manage(Arc::clone(&state));
    let server = operators::mount(server).ignite().await.map_err(Box::new)?;
    let stop = server.shutdown();
    let leaving = Arc::clone(&state);
    tokio::spawn(async move {
        terminate.recv().await;
        leaving.note(EventKind::ProcessLeaving, "told to end");
        stop.notify();
    });
    info!(state.log, "listening"; "entries" => %state.settings.serve.entries);
    state.note(EventKind::ProcessStarted, "started");
    server.launch().await.map_err(Box::new)?;
    state.note(EventKind::ProcessStopped, "stopped");
    token.cancel();
    Ok(())
}

/// Puts the state of a keeper together.
fn build_state(settings: KeeperSettings, token: &CancellationToken) -> Result<Arc<KeeperState>> {
    let log = logging::logger(&settings.logging, &settings.host.name, PROCESS);
    let capacity = settings.logging.timeline_events as usize;
    let recorder = EventRecorder::new(&settings.host.name, PROCESS, capacity, log.clone());
    let platform = &settings.platform;
    let store = HttpLog::new(
        &platform.log_url,
        Duration::from_millis(platform.log_timeout_ms),
    )?;
    let retention = Duration::from_millis(platform.retention_ms);
    let policy = ClaimPolicy::new(platform.claim_shards, retention);
    Ok(Arc::new(KeeperState {
        config: ConfigFollower::new(store.clone(), token.child_token()),
        claims: ClaimService::new(store.clone(), policy, token.child_token()),
        board: ViewBoard::new(token.child_token()),
        endpoints: watch::Sender::new(Vec::new()),
        hosts: watch::Sender::new(Vec::new()),
        metrics: KeeperMetrics::new()?,
        started: Instant::now(),
        store,
        settings,
        log,
        recorder,
    }))
}

/// Starts one task for each thing a keeper follows.
fn start_tasks(
    state: &Arc<KeeperState>,
    client: Client,
    listener: TcpListener,
    token: &CancellationToken,
) {
    tokio::spawn(state.config.clone().run());
    tokio::spawn(state.claims.clone().run());
    tokio::spawn(view_builder::run(Arc::clone(state), token.clone()));
    tokio::spawn(entries::run(Arc::clone(state), listener, token.clone()));
    let taker = Arc::clone(state);
    let take = move |list| take_list(&taker, list);
    tokio::spawn(platform_list::run(
        Arc::clone(state),
        client,
        token.clone(),
        take,
    ));
}

/// Takes over what the platform's list says; what endpoints said of themselves stays.
fn take_list(state: &KeeperState, list: PlatformList) {
    let known: HashMap<EndpointId, EndpointView> = state
        .endpoints
        .borrow()
        .iter()
        .map(|endpoint| (endpoint.id.clone(), endpoint.clone()))
        .collect();
    let endpoints: Vec<EndpointView> = list
        .endpoints
        .iter()
        .map(|listed| match known.get(&listed.id) {
            Some(old) if old.address == listed.address => EndpointView {
                state: listed.state,
                ..old.clone()
            },
            _ => view_builder::listed_endpoint(listed),
        })
        .collect();
    state.endpoints.send_if_modified(|held| {
        let changed = *held != endpoints;
        *held = endpoints;
        changed
    });
    let hosts = list.hosts.iter().map(view_builder::listed_host).collect();
    state.hosts.send_if_modified(|held| {
        let changed = *held != hosts;
        *held = hosts;
        changed
    });
}

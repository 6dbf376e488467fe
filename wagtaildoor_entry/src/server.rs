//! Starts the entry and runs it until a signal stops it.

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use crate::{
    caller_server::CallerServer,
    crash_monitor::CrashMonitor,
    http_clients::HttpClients,
    metrics::EntryMetrics,
    state::EntryState, //
};
use slog::{
    info,
    warn, //
};
use tokio::{
    signal::unix::{
        self,
        Signal,
        SignalKind, //
    },
    sync::broadcast::error::RecvError,
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};
use wagtaildoor::{
    admission::{
        AdmissionLimits,
        AdmissionQueue, //
    },
    clock_exchange,
    drain_gate::{
        DrainGate,
        DrainLimits, //
    },
    keeper_link::KeeperLink,
    logging,
    placement::PlacementPolicy,
    retry_budget::AttemptBudget,
    routing_table::RoutingTable,
    schema::{
        EntryHello,
        EntrySettings,
        EventKind,
        KeeperView, //
    },
    timeline::{
        EventDraft,
        EventRecorder, //
    },
};

/// Name of the process in logs and timelines.
const PROCESS_NAME: &str = "wagtaildoor-entry";
/// Number of live hosts assumed before the first view arrives: this host only.
const INITIAL_HOST_COUNT: u32 = 1;

/// Result of running the entry.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Error that prevents the entry from starting.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ServerError {
    /// The listener could not be bound, or its certificate could not be loaded.
    #[display("server: {_0}")]
    #[from(skip)]
    Server(std::io::Error),
    /// The HTTP clients could not be built.
    #[display("clients: {_0}")]
    Clients(reqwest::Error),
    /// The metrics could not be built.
    #[display("metrics: {_0}")]
    Metrics(opentelemetry_sdk::error::OTelSdkError),
    /// The signal handler could not be installed.
    #[display("signals: {_0}")]
    Signals(std::io::Error),
}

/// Runs the entry until it has drained after `SIGTERM`.
pub async fn run(settings: EntrySettings) -> Result<()> {
    let terminate = unix::signal(SignalKind::terminate())?;
    let token = CancellationToken::new();
    let state = build_state(settings, &token)?;
    tokio::spawn(apply_keeper_updates(Arc::clone(&state), token.clone()));
    let (link, recorder) = (state.link.clone(), state.recorder.clone());
    tokio::spawn(clock_exchange::run(link, recorder, token.clone()));
    let server = CallerServer::bind(&state.settings.listen).await;
    let server = server.map_err(ServerError::Server)?;
    let address = server.local_address().map_err(ServerError::Server)?;
    publish_address(&state, address);
    let stop = CancellationToken::new();
    let drain = tokio::spawn(drain_on_signal(Arc::clone(&state), terminate, stop.clone()));
    server.serve(Arc::clone(&state), stop).await;
    drain.abort();
    record_event(&state, EventKind::ProcessStopped, "stopped");
    token.cancel();
    Ok(())
}

/// Builds the shared state and starts the connection to the keeper.
fn build_state(settings: EntrySettings, token: &CancellationToken) -> Result<Arc<EntryState>> {
    let log = logging::logger(&settings.logging, &settings.host.name, PROCESS_NAME);
    let capacity = settings.logging.timeline_events as usize;
    let recorder = EventRecorder::new(&settings.host.name, PROCESS_NAME, capacity, log.clone());
    let hello = EntryHello {
        host: settings.host.name.clone(),
        stamp: recorder.clock().now(),
    };
    let retry = Duration::from_millis(settings.keepers.retry_ms);
    let addresses = settings.keepers.addresses.clone();
    let link = KeeperLink::start(addresses, hello, retry, token.child_token());
    let placement = PlacementPolicy {
        endpoint_in_flight: settings.limits.endpoint_in_flight,
        ..PlacementPolicy::default()
    };
    let limits = AdmissionLimits {
        in_flight: settings.limits.in_flight,
        queued: settings.limits.queued,
    };
    Ok(Arc::new(EntryState {
        admission: AdmissionQueue::new(limits, INITIAL_HOST_COUNT),
        retry_budget: AttemptBudget::new(settings.limits.retry_budget_percent),
        crashes: CrashMonitor::new(log.clone()),
        view: link.subscribe_view(),
        link,
        table: Arc::new(RoutingTable::with_policy(placement)),
        clients: HttpClients::new()?,
        metrics: EntryMetrics::new()?,
        run_tasks: TaskTracker::new(),
        gate: DrainGate::new(),
        settings,
        log,
        recorder,
    }))
}

/// Applies views and cache events from the keeper to the routing table and the admission queue.
async fn apply_keeper_updates(state: Arc<EntryState>, token: CancellationToken) {
    let mut view = state.view.clone();
    let mut cache_events = state.link.subscribe_cache_events();
    let mut last_sequence = 0;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
                let cached_view = view.borrow_and_update().clone();
                if let Some(cached_view) = cached_view {
                    state.table.apply_view(&cached_view.view);
                    state.admission.set_host_count(count_live_hosts(&cached_view.view));
                    record_configuration(&state, &mut last_sequence, cached_view.view.head.sequence);
                }
            }
            event = cache_events.recv() => match event {
                Ok(event) => state.table.apply_cache_event(&event),
                Err(RecvError::Lagged(missed)) => {
                    warn!(state.log, "cache events lost; receiver lagged"; "count" => missed);
                }
                Err(RecvError::Closed) => return,
            },
        }
    }
}

/// Records each new configuration in the timeline once.
fn record_configuration(state: &EntryState, last_sequence: &mut u64, sequence: u64) {
    if sequence <= *last_sequence {
        return;
    }
    *last_sequence = sequence;
    let detail = format!("applied configuration {sequence}");
    record_event(state, EventKind::ViewTaken, detail);
}

/// Counts the live hosts, including this one, that share the rate limits of accounts.
fn count_live_hosts(view: &KeeperView) -> u32 {
    let live_hosts = view.hosts.iter().filter(|host| host.alive).count();
    u32::try_from(live_hosts)
        .unwrap_or(u32::MAX)
        .max(INITIAL_HOST_COUNT)
}

/// Writes the listen address to the log, the timeline and the address file, if any.
fn publish_address(state: &EntryState, address: SocketAddr) {
    info!(state.log, "listening"; "address" => %address);
    record_event(
        state,
        EventKind::ProcessStarted,
        format!("listening on {address}"),
    );
    let Some(file) = &state.settings.listen.address_file else {
        return;
    };
    if let Err(error) = fs::write(&**file, address.to_string()) {
        warn!(state.log, "failed to write the address file"; "error" => %error);
    }
}

/// Waits for a signal, drains requests in flight, and stops the server.
///
/// A second signal ends the drain at once.
async fn drain_on_signal(state: Arc<EntryState>, mut terminate: Signal, stop: CancellationToken) {
    terminate.recv().await;
    record_event(
        &state,
        EventKind::ProcessLeaving,
        "received SIGTERM; reporting not ready, still serving",
    );
    let shutdown = &state.settings.shutdown;
    let limits = DrainLimits {
        quiet_period: Duration::from_millis(shutdown.quiet_ms),
        total_timeout: Duration::from_millis(shutdown.limit_ms),
    };
    let second_signal = async {
        terminate.recv().await;
    };
    let end = state.gate.drain(limits, second_signal).await;
    info!(state.log, "drained"; "end" => %end, "running" => state.gate.running());
    stop.cancel();
}

/// Records a timeline event of this process.
fn record_event(state: &EntryState, kind: EventKind, detail: impl Into<Box<str>>) {
    state.recorder.record(EventDraft::new(kind, detail));
}

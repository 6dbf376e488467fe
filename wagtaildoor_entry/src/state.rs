//! State shared by all requests of an entry.

use std::sync::Arc;

use slog::Logger;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;
use wagtaildoor::{
    admission::AdmissionQueue,
    drain_gate::DrainGate,
    error::{
        ErrorKind,
        RequestError,
        Result, //
    },
    keeper_link::{
        CachedView,
        KeeperLink, //
    },
    retry_budget::AttemptBudget,
    routing_table::RoutingTable,
    schema::EntrySettings,
    timeline::EventRecorder,
};

use crate::{
    crash_monitor::CrashMonitor,
    http_clients::HttpClients,
    metrics::EntryMetrics, //
};

/// Shared state of an entry.
pub struct EntryState {
    /// Settings read at startup.
    pub settings: EntrySettings,
    /// Logger of the process.
    pub log: Logger,
    /// Recorder of timeline events.
    pub recorder: EventRecorder,
    /// Connection to the keeper.
    pub link: KeeperLink,
    /// Latest view from the keeper. `None` until the first one arrives.
    pub view: watch::Receiver<Option<Arc<CachedView>>>,
    /// Endpoints, with their load and cached prefixes.
    pub table: Arc<RoutingTable>,
    /// Queue of requests that wait for admission.
    pub admission: AdmissionQueue,
    /// Budget for retries, shared by all requests.
    pub retry_budget: AttemptBudget,
    /// Prompt parts that crash engines.
    pub crashes: CrashMonitor,
    /// HTTP clients for calls to endpoints.
    pub clients: HttpClients,
    /// Metric instruments.
    pub metrics: EntryMetrics,
    /// Tasks that run requests. They can outlive the connections of their callers.
    pub run_tasks: TaskTracker,
    /// Tracks requests in flight, which a shutdown waits for.
    pub gate: DrainGate,
}

impl EntryState {
    /// Returns the latest view, or a `NotConfigured` error before the first one.
    pub fn held_view(&self) -> Result<Arc<CachedView>> {
        self.view.borrow().clone().ok_or_else(|| {
            RequestError::new(
                ErrorKind::NotConfigured,
                "this host has no configuration yet: no keeper was reached since it started",
            )
        })
    }
}

//! What all requests of one entry share.

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
    http_clients::HttpClients,
    metrics::EntryMetrics, //
};

/// State of one entry.
pub struct EntryState {
    /// Settings.
    pub settings: EntrySettings,
    /// Log.
    pub log: Logger,
    /// Time line.
    pub recorder: EventRecorder,
    /// Link to the keeper.
    pub link: KeeperLink,
    /// Newest view of the keeper.
    pub view: watch::Receiver<Option<Arc<CachedView>>>,
    /// Where requests can go.
    pub table: Arc<RoutingTable>,
    /// Who gets a place in work, and when.
    pub admission: AdmissionQueue,
    /// Retries that may still be made.
    pub retry_budget: AttemptBudget,
    /// Clients towards endpoints.
    pub clients: HttpClients,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Tasks that run requests; they outlive their callers' connections.
    pub run_tasks: TaskTracker,
    /// Work in hand, which a shutdown waits for.
    pub gate: DrainGate,
}

impl EntryState {
    /// The view in force.
    pub fn held_view(&self) -> Result<Arc<CachedView>> {
        self.view.borrow().clone().ok_or_else(|| {
            RequestError::new(
                ErrorKind::NotConfigured,
                "this host has no configuration yet: no keeper was reached since it started",
            )
        })
    }
}

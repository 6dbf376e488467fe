//! State that all tasks of one keeper share.

use reqwest::Client;
use slog::Logger;
use tokio::{
    sync::watch,
    time::Instant, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    claim_service::ClaimService,
    config_follower::ConfigFollower,
    drain_gate::DrainGate,
    endpoint_probe::HttpProbe,
    endpoint_watch::EndpointWatch,
    log_http::HttpLog,
    membership::MembershipHandle,
    schema::{
        EndpointView,
        EventKind,
        HostView,
        KeeperSettings, //
    },
    timeline::{
        EventDraft,
        EventRecorder, //
    },
    view_publisher::ViewPublisher,
};

use crate::{
    metrics::KeeperMetrics,
    rollouts::RolloutRegistry, //
};

/// Shared state of one keeper.
pub struct KeeperState {
    /// Settings as read at the start.
    pub settings: KeeperSettings,
    /// Logger of the process.
    pub log: Logger,
    /// Recorder of timeline events.
    pub recorder: EventRecorder,
    /// Client of the platform's log.
    pub store: HttpLog,
    /// Follows the log and holds the configuration in force.
    pub config: ConfigFollower<HttpLog>,
    /// Decides the claims of entries by the log.
    pub claims: ClaimService<HttpLog>,
    /// Publishes the view of this keeper to the connected entries.
    pub view_publisher: ViewPublisher,
    /// Polls the endpoints for their state.
    pub endpoint_watch: EndpointWatch<HttpProbe>,
    /// Endpoints known so far.
    pub endpoints: watch::Receiver<Vec<EndpointView>>,
    /// Whether the endpoints were read since the start, from the platform's list or from a peer.
    pub endpoints_loaded: watch::Sender<bool>,
    /// Handle on the membership of keepers.
    pub membership: MembershipHandle,
    /// Entry hosts known so far, this one included.
    pub hosts: watch::Receiver<Vec<HostView>>,
    /// Counts open calls, which a shutdown waits for.
    pub drain_gate: DrainGate,
    /// Rollouts of weights that were requested from this keeper.
    pub rollouts: RolloutRegistry,
    /// HTTP client for orders to engines. It has no timeout of its own.
    pub engine_client: Client,
    /// Cancelled when the keeper stops.
    pub token: CancellationToken,
    /// Instruments for `/metrics`.
    pub metrics: KeeperMetrics,
    /// Time at which this process started.
    pub started: Instant,
}

impl KeeperState {
    /// Records an event in the timeline.
    pub fn record_event(&self, kind: EventKind, detail: impl Into<Box<str>>) {
        self.recorder.record(EventDraft::new(kind, detail));
    }

    /// Milliseconds since the last response of the log, or since the start if it never responded.
    pub fn platform_age_ms(&self) -> u64 {
        let answered_at = self.config.watch().borrow().log_answered_at;
        answered_at.unwrap_or(self.started).elapsed().as_millis() as u64
    }
}

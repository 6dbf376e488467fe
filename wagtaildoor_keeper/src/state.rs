//! What all tasks of one keeper share.

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
    rollouts::RolloutDesk, //
};

/// State of one keeper.
pub struct KeeperState {
    /// Settings.
    pub settings: KeeperSettings,
    /// Log lines.
    pub log: Logger,
    /// Time line.
    pub recorder: EventRecorder,
    /// The platform's log.
    pub store: HttpLog,
    /// Configuration in force.
    pub config: ConfigFollower<HttpLog>,
    /// Claims of the entries.
    pub claims: ClaimService<HttpLog>,
    /// What entries see.
    pub board: ViewPublisher,
    /// Watches the endpoints.
    pub watch: EndpointWatch<HttpProbe>,
    /// Endpoints, as far as they are known.
    pub endpoints: watch::Receiver<Vec<EndpointView>>,
    /// Whether the endpoints were learnt since the start, from the list or from a peer.
    pub listed: watch::Sender<bool>,
    /// This keeper among its peers.
    pub member: MembershipHandle,
    /// Entry hosts, as far as they are known.
    pub hosts: watch::Receiver<Vec<HostView>>,
    /// Work in hand, which a shutdown waits for.
    pub gate: DrainGate,
    /// Roll-outs of weights that were asked for here.
    pub rollouts: RolloutDesk,
    /// Client towards engines, for orders.
    pub engines: Client,
    /// Ends the tasks of this keeper.
    pub token: CancellationToken,
    /// Metrics.
    pub metrics: KeeperMetrics,
    /// When this process started.
    pub started: Instant,
}

impl KeeperState {
    /// Notes something in the time line.
    pub fn note(&self, kind: EventKind, detail: impl Into<Box<str>>) {
        self.recorder.record(EventDraft::new(kind, detail));
    }

    /// Time since the log last answered, in milliseconds; since the start when it never did.
    pub fn platform_age_ms(&self) -> u64 {
        let seen = self.config.watch().borrow().log_answered_at;
        seen.unwrap_or(self.started).elapsed().as_millis() as u64
    }
}

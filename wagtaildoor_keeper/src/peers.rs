//! Peers of this keeper: joins them, advertises its configuration and copies newer ones.

use std::{
    fs,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use reqwest::Client;
use slog::warn;
use tokio::time;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use wagtaildoor::{
    datagram_transport::UdpTransport,
    membership::{
        MemberSettings,
        MembershipHandle, //
    },
    schema::{
        HeldConfiguration,
        HostView,
        KeeperSettings, //
    },
    timeline::EventRecorder,
};

use crate::{
    server::{
        Result,
        ServerError, //
    },
    state::KeeperState,
};

/// Delay before the next attempt after a peer's configuration could not be read.
const COPY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Age of the last response of the log up to which the log counts as reachable.
const LOG_REACHABLE_AGE: Duration = Duration::from_secs(2);
/// Time that a reachable log has to deliver a newer configuration before a peer is asked.
const LOG_DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Joins the membership of keepers. `entries` is the address at which entries reach this one.
pub async fn join_membership(
    settings: &KeeperSettings,
    entries: SocketAddr,
    recorder: &EventRecorder,
    token: CancellationToken,
) -> Result<MembershipHandle> {
    let peers = &settings.peers;
    let secret = fs::read(&*peers.secret_file).map_err(|error| {
        let file = peers.secret_file.clone();
        ServerError::Secret { file, error }
    })?;
    let port = UdpTransport::bind(settings.serve.peers).await?;
    let member = MemberSettings {
        host: settings.host.name.clone(),
        domain: settings.host.domain.clone(),
        peer_address: port.local_address()?,
        entry_address: entries,
        operator_address: settings.serve.operators,
        probe_interval: Duration::from_millis(peers.probe_ms),
        incarnation: recorder.clock().now().wall_ms,
        seed: Uuid::new_v4().as_u64_pair().0,
    };
    let recorder = Some(recorder.clone());
    let member = MembershipHandle::new(member, &secret, port, recorder, token)?;
    member.set_seeds(peers.seeds.clone()).await;
    Ok(member)
}

/// Advertises the head of each configuration in force to the peers, until cancelled.
pub async fn advertise_heads(state: Arc<KeeperState>, token: CancellationToken) {
    let mut config = state.config.watch();
    loop {
        let head = config.borrow_and_update().head.clone();
        state.membership.set_head(head).await;
        tokio::select! {
            () = token.cancelled() => return,
            changed = config.changed() => if changed.is_err() { return },
        }
    }
}

/// Forwards changes of the known hosts to the endpoint watch, until cancelled.
pub async fn forward_hosts(state: Arc<KeeperState>, token: CancellationToken) {
    let mut hosts = state.hosts.clone();
    loop {
        let known = hosts.borrow_and_update().clone();
        state.endpoint_watch.update_hosts(&known);
        tokio::select! {
            () = token.cancelled() => return,
            changed = hosts.changed() => if changed.is_err() { return },
        }
    }
}

/// Watches the heads of the peers and applies the newest configuration that is newer than the own
/// one, until cancelled.
///
/// The log delivers new configurations too, but a keeper without access to it has only its peers.
pub async fn copy_newer_configs(state: Arc<KeeperState>, client: Client, token: CancellationToken) {
    let mut hosts = state.hosts.clone();
    loop {
        hosts.mark_unchanged();
        let attempt = async {
            if state.membership.host_with_newest_head().is_some() {
                wait_for_log(&state).await;
            }
            match state.membership.host_with_newest_head() {
                Some(peer) => apply_peer_config(&state, &client, &peer).await,
                None => hosts.changed().await.is_ok(),
            }
        };
        tokio::select! {
            () = token.cancelled() => return,
            applied = attempt => if !applied {
                time::sleep(COPY_RETRY_DELAY).await;
            },
        }
    }
}

/// Waits for the log to deliver the newer configuration if the log has responded recently. The log
/// sends only the changes, while a peer sends the whole configuration.
async fn wait_for_log(state: &KeeperState) {
    let answered_at = state.config.watch().borrow().log_answered_at;
    if answered_at.is_some_and(|time| time.elapsed() < LOG_REACHABLE_AGE) {
        time::sleep(LOG_DELIVERY_TIMEOUT).await;
    }
}

/// Reads and applies the configuration of a peer. Returns false if it was not read or not applied.
async fn apply_peer_config(state: &KeeperState, client: &Client, peer: &HostView) -> bool {
    let held = match fetch_held_config(client, peer).await {
        Ok(held) => held,
        Err(error) => {
            warn!(state.log, "failed to read a peer's configuration";
                "peer" => &*peer.id, "error" => %error);
            return false;
        }
    };
    let is_applied = state
        .config
        .offer_head(&held.head, &Arc::new(held.configuration));
    let head = state.config.watch().borrow().head.clone();
    // Updates the own head before the next comparison, so that this peer no longer counts as newer.
    state.membership.set_head(head).await;
    is_applied
}

/// Reads the configuration that a peer holds, with its head.
async fn fetch_held_config(
    client: &Client,
    peer: &HostView,
) -> std::result::Result<HeldConfiguration, reqwest::Error> {
    let url = format!("http://{}/held-configuration", peer.operators);
    let response = client.get(url).send().await?.error_for_status()?;
    response.json().await
}

//! This keeper among its peers: joins them, tells them its head, catches up with theirs.

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

/// Wait after a peer's configuration could not be read.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(200);

/// Age of the log's last answer up to which it counts as answering.
const LOG_FRESH: Duration = Duration::from_secs(2);
/// How long a keeper waits for the log before it asks a peer.
const LOG_FIRST: Duration = Duration::from_secs(1);

/// Joins the peers.
pub async fn join(
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
    let noted = Some(recorder.clone());
    let member = MembershipHandle::new(member, &secret, port, noted, token)?;
    member.set_seeds(peers.seeds.clone()).await;
    Ok(member)
}

/// Tells peers of each head this keeper comes to hold, until cancelled.
pub async fn tell_heads(state: Arc<KeeperState>, token: CancellationToken) {
    let mut config = state.config.watch();
    loop {
        let head = config.borrow_and_update().head.clone();
        state.member.set_head(head).await;
        tokio::select! {
            () = token.cancelled() => return,
            changed = config.changed() => if changed.is_err() { return },
        }
    }
}

/// Passes on to the endpoint watch which hosts are there, until cancelled.
pub async fn tell_hosts(state: Arc<KeeperState>, token: CancellationToken) {
    let mut hosts = state.hosts.clone();
    loop {
        let known = hosts.borrow_and_update().clone();
        state.watch.update_hosts(&known);
        tokio::select! {
            () = token.cancelled() => return,
            changed = hosts.changed() => if changed.is_err() { return },
        }
    }
}

/// Takes over the configuration of a peer that holds a newer one, until cancelled.
///
/// The log tells of it too; a keeper that is cut off from the log has only its peers.
pub async fn catch_up(state: Arc<KeeperState>, client: Client, token: CancellationToken) {
    let mut hosts = state.hosts.clone();
    loop {
        hosts.mark_unchanged();
        let round = async {
            if state.member.host_with_newest_head().is_some() {
                leave_to_log(&state).await;
            }
            match state.member.host_with_newest_head() {
                Some(peer) => take_over(&state, &client, &peer).await,
                None => hosts.changed().await.is_ok(),
            }
        };
        tokio::select! {
            () = token.cancelled() => return,
            done = round => if !done {
                time::sleep(CATCH_UP_PAUSE).await;
            },
        }
    }
}

/// Gives a log that answers the time to bring the newer configuration itself: it sends only
/// the change, and a peer the whole.
async fn leave_to_log(state: &KeeperState) {
    let seen = state.config.watch().borrow().log_answered_at;
    if seen.is_some_and(|seen| seen.elapsed() < LOG_FRESH) {
        time::sleep(LOG_FIRST).await;
    }
}

/// Takes over the configuration of one peer; false when it could not be had.
async fn take_over(state: &KeeperState, client: &Client, peer: &HostView) -> bool {
    let held = match read(client, peer).await {
        Ok(held) => held,
        Err(error) => {
            warn!(state.log, "peer's configuration"; "peer" => &*peer.id, "error" => %error);
            return false;
        }
    };
    let taken = state
        .config
        .offer_head(&held.head, &Arc::new(held.configuration));
    let head = state.config.watch().borrow().head.clone();
    // Before the next look at the peers, so that this one does not count as newer any more.
    state.member.set_head(head).await;
    taken
}

/// Reads what a peer holds.
async fn read(
    client: &Client,
    peer: &HostView,
) -> std::result::Result<HeldConfiguration, reqwest::Error> {
    let url = format!("http://{}/held-configuration", peer.operators);
    let answer = client.get(url).send().await?.error_for_status()?;
    answer.json().await
}

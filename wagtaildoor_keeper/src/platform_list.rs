//! Reads the platform's list of hosts, which lags.

use std::{
    sync::Arc,
    time::Duration, //
};

use reqwest::Client;
use rocket::serde::DeserializeOwned;
use slog::warn;
use tokio::time::{
    self,
    MissedTickBehavior, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::schema::{
    EndpointState,
    EndpointView,
    EventKind,
    KeeperStatus,
    ListedEndpoint,
    PlatformList, //
};

use crate::state::KeeperState;

/// Result of a read.
pub type Result<T> = std::result::Result<T, reqwest::Error>;

/// Reads the list again and again, and takes each one over.
pub async fn run(state: Arc<KeeperState>, client: Client, token: CancellationToken) {
    let period = Duration::from_millis(state.settings.platform.list_poll_ms);
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reachable = true;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let result = read::<PlatformList>(&client, &state.settings.platform.list_url).await;
        let answered = result.is_ok();
        match result {
            Ok(list) => take(&state, list).await,
            Err(error) => warn!(state.log, "list"; "error" => %error),
        }
        if !answered && !*state.listed.borrow() {
            take_from_peers(&state, &client).await;
        }
        if answered != reachable {
            note_change(&state, answered);
        }
        reachable = answered;
    }
}

/// Takes a list over: its endpoints, and its hosts as addresses where there may be peers.
async fn take(state: &KeeperState, list: PlatformList) {
    state.watch.update_list(&list.endpoints);
    let listed = list.hosts.iter().map(|host| host.peers);
    let seeds = state.settings.peers.seeds.iter().copied();
    state.member.set_seeds(seeds.chain(listed).collect()).await;
    state.listed.send_replace(true);
}

/// Without any list since the start, takes over which endpoints a peer knows.
async fn take_from_peers(state: &KeeperState, client: &Client) {
    let hosts = state.hosts.borrow().clone();
    let own = &state.settings.host.name;
    for peer in hosts.iter().filter(|host| host.alive && host.id != *own) {
        let url = format!("http://{}/status", peer.operators);
        let Ok(status) = read::<KeeperStatus>(client, &url).await else {
            continue;
        };
        if !status.endpoints.is_empty() {
            let listed: Vec<ListedEndpoint> = status.endpoints.iter().map(as_listed).collect();
            state.watch.update_list(&listed);
            state.listed.send_replace(true);
            return;
        }
    }
}

/// An endpoint as a list would name it; whether it leaves, its next poll tells.
fn as_listed(view: &EndpointView) -> ListedEndpoint {
    ListedEndpoint {
        address: view.address,
        domain: view.domain.clone(),
        id: view.id.clone(),
        pool: view.pool.clone(),
        state: EndpointState::Live,
    }
}

/// Reads a body.
async fn read<T: DeserializeOwned>(client: &Client, url: &str) -> Result<T> {
    client
        .get(url)
        .send()
        .await?
        .error_for_status()?
        .json()
        .await
}

/// Notes that the list went away or came back.
fn note_change(state: &KeeperState, answered: bool) {
    if answered {
        state.note(EventKind::PlatformBack, "the platform's list answers again");
    } else {
        state.note(
            EventKind::PlatformLost,
            "the platform's list does not answer; the last one stays in use",
        );
    }
}

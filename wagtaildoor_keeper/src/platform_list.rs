//! Polls the platform's list of hosts and endpoints, which may be out of date.

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

/// Result of an HTTP read.
pub type Result<T> = std::result::Result<T, reqwest::Error>;

/// Polls the list and applies each response, until cancelled.
pub async fn poll_list(state: Arc<KeeperState>, client: Client, token: CancellationToken) {
    let period = Duration::from_millis(state.settings.platform.list_poll_ms);
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_reachable = true;
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let result = fetch_json::<PlatformList>(&client, &state.settings.platform.list_url).await;
        let is_reachable = result.is_ok();
        match result {
            Ok(list) => apply_list(&state, list).await,
            Err(error) => warn!(state.log, "list"; "error" => %error),
        }
        if !is_reachable && !*state.endpoints_loaded.borrow() {
            apply_list_from_peers(&state, &client).await;
        }
        if is_reachable != was_reachable {
            record_reachability(&state, is_reachable);
        }
        was_reachable = is_reachable;
    }
}

/// Applies a list: updates the endpoints, and sets the configured addresses and those of the listed
/// hosts as seeds of the membership.
async fn apply_list(state: &KeeperState, list: PlatformList) {
    state.endpoint_watch.update_list(&list.endpoints);
    let listed = list.hosts.iter().map(|host| host.peers);
    let seeds = state.settings.peers.seeds.iter().copied();
    state
        .membership
        .set_seeds(seeds.chain(listed).collect())
        .await;
    state.endpoints_loaded.send_replace(true);
}

/// Applies the endpoints that a peer knows. Used while no list has been read since the start.
async fn apply_list_from_peers(state: &KeeperState, client: &Client) {
    let hosts = state.hosts.borrow().clone();
    let own = &state.settings.host.name;
    for peer in hosts.iter().filter(|host| host.alive && host.id != *own) {
        let url = format!("http://{}/status", peer.operators);
        let Ok(status) = fetch_json::<KeeperStatus>(client, &url).await else {
            continue;
        };
        if !status.endpoints.is_empty() {
            let endpoints: Vec<ListedEndpoint> =
                status.endpoints.iter().map(to_listed_endpoint).collect();
            state.endpoint_watch.update_list(&endpoints);
            state.endpoints_loaded.send_replace(true);
            return;
        }
    }
}

/// Converts a peer's view of an endpoint into a list item. Its state is set to live; the next poll
/// of the endpoint shows whether it is leaving.
fn to_listed_endpoint(view: &EndpointView) -> ListedEndpoint {
    ListedEndpoint {
        address: view.address,
        domain: view.domain.clone(),
        id: view.id.clone(),
        pool: view.pool.clone(),
        state: EndpointState::Live,
    }
}

/// Sends a GET request and parses the JSON response.
async fn fetch_json<T: DeserializeOwned>(client: &Client, url: &str) -> Result<T> {
    client
        .get(url)
        .send()
        .await?
        .error_for_status()?
        .json()
        .await
}

/// Records in the timeline that the list became reachable or unreachable.
fn record_reachability(state: &KeeperState, is_reachable: bool) {
    if is_reachable {
        state.record_event(
            EventKind::PlatformBack,
            "the platform's list is reachable again",
        );
    } else {
        state.record_event(
            EventKind::PlatformLost,
            "the platform's list is unreachable; the last one stays in use",
        );
    }
}

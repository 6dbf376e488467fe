//! Reads the platform's list of hosts, which lags.

use std::{
    sync::Arc,
    time::Duration, //
};

use reqwest::Client;
use slog::warn;
use tokio::time::{
    self,
    MissedTickBehavior, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::schema::{
    EventKind,
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
        let result = read(&client, &state.settings.platform.list_url).await;
        let answered = result.is_ok();
        match result {
            Ok(list) => take(&state, list).await,
            Err(error) => warn!(state.log, "list"; "error" => %error),
        }
        if answered != reachable {
            note_change(&state, answered);
        }
        reachable = answered;
    }
}

/// Takes a list over: its endpoints, and its hosts as addresses where there may be peers.
async fn take(state: &KeeperState, list: PlatformList) {
    state.watch.take_list(&list.endpoints);
    let listed = list.hosts.iter().map(|host| host.peers);
    let seeds = state.settings.peers.seeds.iter().copied();
    state.member.seed(seeds.chain(listed).collect()).await;
}

/// Reads the list once.
async fn read(client: &Client, url: &str) -> Result<PlatformList> {
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

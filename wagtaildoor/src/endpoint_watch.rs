//! Polls the endpoints assigned to this keeper and publishes the state of all endpoints.
//!
//! In a small system every keeper polls every endpoint. In a larger one an endpoint is polled by
//! the first two live hosts of its failure domain in rendezvous order of both names, so that a
//! host's share falls as hosts are added. The other keepers rely on the platform's list and on the
//! endpoint state in responses.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use tokio::{
    sync::{
        broadcast,
        watch, //
    },
    time::{
        self,
        Instant,
        MissedTickBehavior, //
    },
};
use tokio_util::sync::{
    CancellationToken,
    DropGuard, //
};

use crate::{
    cache_event_cursor::CacheEventCursor,
    endpoint_probe::EndpointProbe,
    endpoint_table::{
        EndpointChange,
        EndpointTable, //
    },
    ids::{
        DomainId,
        EndpointId,
        HostId, //
    },
    schema::{
        EndpointNews,
        EndpointView,
        HostView,
        ListedEndpoint,
        PrefixNews, //
    },
    timeline::{
        EventDraft,
        EventRecorder, //
    },
};

/// Number of live hosts up to which every host polls every endpoint.
pub const SMALL_SYSTEM_HOSTS: usize = 8;
/// Hosts that poll each endpoint in a larger system.
pub const POLLERS_PER_ENDPOINT: usize = 2;
/// Cache events buffered for a slow receiver, in messages.
const CACHE_EVENT_CAPACITY: usize = 4096;

/// Who polls the endpoints, and how often.
#[derive(Clone, Debug)]
pub struct WatchSettings {
    /// Id of this host.
    pub host: HostId,
    /// Interval between two polls of an endpoint.
    pub poll: Duration,
}

/// Polls endpoints and publishes their state; clones share it.
#[derive(Clone)]
pub struct EndpointWatch<P> {
    shared: Arc<WatchShared<P>>,
}

/// State shared by all clones of a watch.
struct WatchShared<P> {
    settings: WatchSettings,
    probe: P,
    /// Timeline of the process; `None` records nothing.
    recorder: Option<EventRecorder>,
    /// Stops all polls when cancelled.
    token: CancellationToken,
    state: Mutex<WatchState>,
    /// Published state of all endpoints.
    views: watch::Sender<Vec<EndpointView>>,
    /// Published cache events.
    cache_events: broadcast::Sender<PrefixNews>,
}

/// State behind the lock.
#[derive(Default)]
struct WatchState {
    table: EndpointTable,
    /// Live hosts, ordered by id.
    hosts: Vec<LiveHost>,
    /// Running polls; removing one stops it.
    polls: HashMap<EndpointId, RunningPoll>,
}

/// A live host, which can poll endpoints.
#[derive(Clone, Eq, PartialEq)]
struct LiveHost {
    id: HostId,
    domain: DomainId,
}

/// Handle of a polling task, which stops when the handle is dropped.
struct RunningPoll {
    address: SocketAddr,
    /// Cancels the task on drop.
    _guard: DropGuard,
}

impl<P: EndpointProbe> EndpointWatch<P> {
    /// Creates a watch without endpoints. It stops polling when `token` is cancelled.
    pub fn new(
        settings: WatchSettings,
        probe: P,
        recorder: Option<EventRecorder>,
        token: CancellationToken,
    ) -> Self {
        let shared = WatchShared {
            settings,
            probe,
            recorder,
            token,
            state: Mutex::default(),
            views: watch::Sender::new(Vec::new()),
            cache_events: broadcast::Sender::new(CACHE_EVENT_CAPACITY),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Subscribes to the state of all endpoints, ordered by id.
    pub fn endpoints(&self) -> watch::Receiver<Vec<EndpointView>> {
        self.shared.views.subscribe()
    }

    /// Subscribes to cache events from now on, with up to `CACHE_EVENT_CAPACITY` buffered.
    pub fn subscribe_cache_events(&self) -> broadcast::Receiver<PrefixNews> {
        self.shared.cache_events.subscribe()
    }

    /// Replaces the platform's list of endpoints and adjusts the running polls.
    pub fn update_list(&self, list: &[ListedEndpoint]) {
        self.update_table(|table, now| table.update_list(list, now));
        self.update_polls();
    }

    /// Replaces the known hosts. The polls are adjusted if the live hosts changed.
    pub fn update_hosts(&self, hosts: &[HostView]) {
        let mut live: Vec<LiveHost> = hosts
            .iter()
            .filter(|host| host.alive)
            .map(|host| LiveHost {
                id: host.id.clone(),
                domain: host.domain.clone(),
            })
            .collect();
        live.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        let changed = {
            let mut state = self.state();
            let changed = state.hosts != live;
            state.hosts = live;
            changed
        };
        if changed {
            self.update_polls();
        }
    }

    /// Applies the endpoint state that came with a response to a request.
    pub fn apply_endpoint_status(&self, status: &EndpointNews) {
        self.update_table(|table, now| table.apply_endpoint_status(status, now));
    }

    /// Returns the endpoints that this host polls, in order of their ids.
    pub fn polled_endpoints(&self) -> Vec<EndpointId> {
        let mut polled_endpoints: Vec<EndpointId> = self.state().polls.keys().cloned().collect();
        polled_endpoints.sort_unstable();
        polled_endpoints
    }

    /// Starts and stops polls to match this host's share of the endpoints.
    fn update_polls(&self) {
        let mut state = self.state();
        let share: HashMap<EndpointId, SocketAddr> = state
            .table
            .listed()
            .filter(|listed| is_poller(&self.shared.settings.host, listed, &state.hosts))
            .map(|listed| (listed.id.clone(), listed.address))
            .collect();
        state
            .polls
            .retain(|endpoint, poll| share.get(endpoint) == Some(&poll.address));
        for (endpoint, address) in share {
            let polled_endpoints = state.polls.entry(endpoint);
            polled_endpoints
                .or_insert_with_key(|endpoint| self.start_poll(endpoint.clone(), address));
        }
    }

    /// Spawns the task that polls one endpoint.
    fn start_poll(&self, endpoint: EndpointId, address: SocketAddr) -> RunningPoll {
        let token = self.shared.token.child_token();
        let guard = token.clone().drop_guard();
        let watch = self.clone();
        tokio::spawn(token.run_until_cancelled_owned(async move {
            watch.poll(endpoint, address).await;
        }));
        RunningPoll {
            address,
            _guard: guard,
        }
    }

    /// Polls one endpoint until the task is cancelled.
    async fn poll(&self, endpoint: EndpointId, address: SocketAddr) {
        let mut cursor = CacheEventCursor::new(endpoint.clone(), address);
        let mut ticks = time::interval(self.shared.settings.poll);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            match self.shared.probe.load(address).await {
                Ok(report) => {
                    self.update_table(|table, now| table.apply_report(&endpoint, &report, now));
                    for event in cursor.read_events(&self.shared.probe, &report).await {
                        // Fails if there is no receiver, in which case the event is not needed.
                        let _ = self.shared.cache_events.send(event);
                    }
                }
                Err(_) => self.update_table(|table, _| table.record_poll_failure(&endpoint)),
            }
        }
    }

    /// Updates the table, publishes the new state and records the changes in the timeline.
    fn update_table<F>(&self, change: F)
    where
        F: FnOnce(&mut EndpointTable, Instant) -> Vec<EndpointChange>,
    {
        let now = Instant::now();
        let mut state = self.state();
        let changes = change(&mut state.table, now);
        // Published under the lock, so that an older state never replaces a newer one.
        self.shared.views.send_replace(state.table.views(now));
        drop(state);
        for change in changes {
            self.record_change(change);
        }
    }

    /// Records a change in the timeline.
    fn record_change(&self, change: EndpointChange) {
        if let Some(recorder) = &self.shared.recorder {
            let draft = EventDraft::new(change.kind, change.detail);
            recorder.record(draft.endpoint(change.endpoint));
        }
    }

    /// Locks the state. A poisoned lock is used as is, since every update is complete in itself.
    fn state(&self) -> MutexGuard<'_, WatchState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Whether a host polls an endpoint.
fn is_poller(own: &HostId, listed: &ListedEndpoint, hosts: &[LiveHost]) -> bool {
    if hosts.len() <= SMALL_SYSTEM_HOSTS {
        return true;
    }
    let in_domain = |host: &&LiveHost| host.domain == listed.domain;
    let any_in_domain = hosts.iter().any(|host| in_domain(&host));
    let eligible = hosts
        .iter()
        .filter(|host| !any_in_domain || in_domain(host));
    let own_weight = rendezvous_weight(own, &listed.id);
    let mut eligible_ids = eligible.map(|host| &host.id);
    let own_eligible = eligible_ids.clone().any(|id| id == own);
    let ranked_before = eligible_ids
        .by_ref()
        .filter(|id| rendezvous_weight(id, &listed.id) > own_weight);
    own_eligible && ranked_before.count() < POLLERS_PER_ENDPOINT
}

/// Returns the rendezvous weight of a host for an endpoint; equal on every host.
fn rendezvous_weight(host: &HostId, endpoint: &EndpointId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(host.as_bytes());
    hasher.update(&[0]);
    hasher.update(endpoint.as_bytes());
    let hash = hasher.finalize();
    let bytes = hash.as_bytes().first_chunk().copied();
    u64::from_le_bytes(bytes.unwrap_or_default())
}

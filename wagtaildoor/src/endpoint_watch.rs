//! Watches endpoints: polls those this keeper is responsible for, and shows what is known of all.
//!
//! In a small system every keeper polls every endpoint. In a larger one an endpoint is polled by
//! the first two live hosts of its failure domain, in an order drawn from both names, so that a
//! host's share falls as hosts are added; what the others need beyond the list, answers carry.

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

/// Live hosts up to which each polls every endpoint.
pub const SMALL_SYSTEM_HOSTS: usize = 8;
/// Hosts that poll an endpoint in a larger system.
pub const POLLERS_PER_ENDPOINT: usize = 2;
/// Cache news held for a slow reader, in messages.
const NEWS_CAPACITY: usize = 4096;

/// Who watches, and how often.
#[derive(Clone, Debug)]
pub struct WatchSettings {
    /// Name of this host.
    pub host: HostId,
    /// Time between two polls of an endpoint.
    pub poll: Duration,
}

/// Watches endpoints; clones share it.
#[derive(Clone)]
pub struct EndpointWatch<P> {
    /// What all clones share.
    shared: Arc<WatchShared<P>>,
}

/// What all clones of a watch share.
struct WatchShared<P> {
    /// Who watches.
    settings: WatchSettings,
    /// Reads endpoints.
    probe: P,
    /// Time line of the process.
    recorder: Option<EventRecorder>,
    /// Ends all polls.
    token: CancellationToken,
    /// What is known, and which polls run.
    state: Mutex<WatchState>,
    /// What entries see.
    views: watch::Sender<Vec<EndpointView>>,
    /// Cache news.
    news: broadcast::Sender<PrefixNews>,
}

/// What is known, and which polls run.
#[derive(Default)]
struct WatchState {
    /// Endpoints.
    table: EndpointTable,
    /// Live hosts, in the order of their names.
    hosts: Vec<LiveHost>,
    /// Polls by endpoint; dropping one ends it.
    polls: HashMap<EndpointId, RunningPoll>,
}

/// A host that can poll endpoints.
#[derive(Clone, Eq, PartialEq)]
struct LiveHost {
    /// Its name.
    id: HostId,
    /// Its failure domain.
    domain: DomainId,
}

/// A poll that runs until it is dropped.
struct RunningPoll {
    /// Address that is polled.
    address: SocketAddr,
    /// Ends it.
    _guard: DropGuard,
}

impl<P: EndpointProbe> EndpointWatch<P> {
    /// A watch without endpoints, which ends with the token.
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
            news: broadcast::Sender::new(NEWS_CAPACITY),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Endpoints as entries are to see them.
    pub fn endpoints(&self) -> watch::Receiver<Vec<EndpointView>> {
        self.shared.views.subscribe()
    }

    /// Cache news from now on.
    pub fn news(&self) -> broadcast::Receiver<PrefixNews> {
        self.shared.news.subscribe()
    }

    /// Takes over the platform's list.
    pub fn update_list(&self, list: &[ListedEndpoint]) {
        self.update_table(|table, now| table.update_list(list, now));
        self.update_polls();
    }

    /// Takes over which hosts are there.
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

    /// Takes what an answer to a request said.
    pub fn apply_endpoint_news(&self, news: &EndpointNews) {
        self.update_table(|table, now| table.apply_endpoint_news(news, now));
    }

    /// Endpoints this host polls.
    pub fn polled_endpoints(&self) -> Vec<EndpointId> {
        let mut polled_endpoints: Vec<EndpointId> = self.state().polls.keys().cloned().collect();
        polled_endpoints.sort_unstable();
        polled_endpoints
    }

    /// Starts and ends polls, so that this host polls its share.
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

    /// Starts the task that polls one endpoint.
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

    /// Polls one endpoint for ever.
    async fn poll(&self, endpoint: EndpointId, address: SocketAddr) {
        let mut cursor = CacheEventCursor::new(endpoint.clone(), address);
        let mut ticks = time::interval(self.shared.settings.poll);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            match self.shared.probe.load(address).await {
                Ok(report) => {
                    self.update_table(|table, now| table.apply_report(&endpoint, &report, now));
                    for news in cursor.read_events(&self.shared.probe, &report).await {
                        // Without a reader the news is of no use.
                        let _ = self.shared.news.send(news);
                    }
                }
                Err(_) => self.update_table(|table, _| table.record_poll_failure(&endpoint)),
            }
        }
    }

    /// Changes what is known, notes what became of endpoints, and shows it.
    fn update_table<F>(&self, change: F)
    where
        F: FnOnce(&mut EndpointTable, Instant) -> Vec<EndpointChange>,
    {
        let now = Instant::now();
        let mut state = self.state();
        let changes = change(&mut state.table, now);
        // Under the lock, so that an older state is never shown after a newer one.
        self.shared.views.send_replace(state.table.views(now));
        drop(state);
        for change in changes {
            self.record_change(change);
        }
    }

    /// Notes in the time line what became of an endpoint.
    fn record_change(&self, change: EndpointChange) {
        if let Some(recorder) = &self.shared.recorder {
            let draft = EventDraft::new(change.kind, change.detail);
            recorder.record(draft.endpoint(change.endpoint));
        }
    }

    /// The state; each change of it is one step, so that a panic leaves it whole.
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

/// Weight of a host for an endpoint; the same wherever it is worked out.
fn rendezvous_weight(host: &HostId, endpoint: &EndpointId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(host.as_bytes());
    hasher.update(&[0]);
    hasher.update(endpoint.as_bytes());
    let hash = hasher.finalize();
    let bytes = hash.as_bytes().first_chunk().copied();
    u64::from_le_bytes(bytes.unwrap_or_default())
}

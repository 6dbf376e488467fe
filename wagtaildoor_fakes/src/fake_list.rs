//! Fake of the platform's list of endpoints and hosts, readable with a lag.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;
use wagtaildoor::schema::{
    EndpointState,
    ListedEndpoint,
    ListedHost,
    PlatformList, //
};

/// Maximum number of list versions kept for readers with a lag.
const VERSIONS_KEPT: usize = 4096;

/// Active faults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Age of the list that readers see, in milliseconds.
    pub lag_ms: u64,
    /// Reads return [`ListOutage`].
    pub outage: bool,
}

/// The list is unavailable.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("the list is unavailable")]
pub struct ListOutage;

/// Result of reading the list, which fails during an outage.
pub type Result<T> = std::result::Result<T, ListOutage>;

/// The list with its recent versions; clones share it.
#[derive(Clone, Debug, Default)]
pub struct FakeList {
    state: Arc<Mutex<ListState>>,
}

/// Mutable state of a list.
#[derive(Debug, Default)]
struct ListState {
    /// Active faults.
    faults: ListFaults,
    /// Recent versions, the oldest first.
    versions: VecDeque<ListVersion>,
}

#[derive(Clone, Debug)]
struct ListVersion {
    /// Time at which this version replaced the previous one.
    since: Instant,
    list: PlatformList,
}

impl FakeList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: ListFaults) {
        self.lock().faults = faults;
    }

    /// Adds or replaces an endpoint.
    pub fn put_endpoint(&self, endpoint: ListedEndpoint) {
        self.update(|list| {
            list.endpoints.retain(|known| known.id != endpoint.id);
            list.endpoints.push(endpoint);
        });
    }

    /// Marks an endpoint as live or leaving; unknown ids are ignored.
    pub fn set_endpoint_state(&self, id: &str, state: EndpointState) {
        self.update(|list| {
            let known = list.endpoints.iter_mut().find(|known| &*known.id == id);
            if let Some(endpoint) = known {
                endpoint.state = state;
            }
        });
    }

    /// Removes an endpoint from the list; does nothing if it is not listed.
    pub fn remove_endpoint(&self, id: &str) {
        self.update(|list| list.endpoints.retain(|known| &*known.id != id));
    }

    /// Adds or replaces a host.
    pub fn put_host(&self, host: ListedHost) {
        self.update(|list| {
            list.hosts.retain(|known| known.id != host.id);
            list.hosts.push(host);
        });
    }

    /// Removes a host from the list; does nothing if it is not listed.
    pub fn remove_host(&self, id: &str) {
        self.update(|list| list.hosts.retain(|known| &*known.id != id));
    }

    /// Reads the newest version that is at least as old as the lag; empty if there is none.
    pub fn read(&self) -> Result<PlatformList> {
        let state = self.lock();
        if state.faults.outage {
            return Err(ListOutage);
        }
        let lag = Duration::from_millis(state.faults.lag_ms);
        let now = Instant::now();
        let visible = state
            .versions
            .iter()
            .rev()
            .find(|version| now.saturating_duration_since(version.since) >= lag);
        Ok(visible.map_or_else(empty_list, |version| version.list.clone()))
    }

    /// Returns the current list, without lag or outage.
    pub fn current_list(&self) -> PlatformList {
        self.lock().newest_list()
    }

    /// Appends an edited copy of the newest version.
    fn update(&self, edit: impl FnOnce(&mut PlatformList)) {
        let mut state = self.lock();
        let mut list = state.newest_list();
        edit(&mut list);
        let since = Instant::now();
        state.versions.push_back(ListVersion { since, list });
        if state.versions.len() > VERSIONS_KEPT {
            state.versions.pop_front();
        }
    }

    /// Locks the state and ignores poisoning.
    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ListState {
    /// Returns the newest version, or an empty list.
    fn newest_list(&self) -> PlatformList {
        self.versions
            .back()
            .map_or_else(empty_list, |version| version.list.clone())
    }
}

fn empty_list() -> PlatformList {
    PlatformList {
        endpoints: Vec::new(),
        hosts: Vec::new(),
    }
}

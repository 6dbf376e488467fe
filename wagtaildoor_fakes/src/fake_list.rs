//! Stand-in for the platform's list of live and leaving hosts, which lags.

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

/// Versions of the list kept for readers who see it late.
const VERSIONS_KEPT: usize = 4096;

/// Faults that are on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Age of what readers see, in milliseconds.
    pub lag_ms: u64,
    /// Readers get an error.
    pub outage: bool,
}

/// The list cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
#[display("the list is out of order")]
pub struct ListOutage;

/// Result of a read of the list.
pub type Result<T> = std::result::Result<T, ListOutage>;

/// A list with its past versions.
#[derive(Clone, Debug, Default)]
pub struct FakeList {
    /// What changes.
    state: Arc<Mutex<ListState>>,
}

/// What changes in a list.
#[derive(Debug, Default)]
struct ListState {
    /// Faults that are on.
    faults: ListFaults,
    /// Versions, the oldest first.
    versions: VecDeque<ListVersion>,
}

/// The list from a moment on.
#[derive(Clone, Debug)]
struct ListVersion {
    /// When it came into being.
    since: Instant,
    /// Its contents.
    list: PlatformList,
}

impl FakeList {
    /// An empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: ListFaults) {
        self.lock().faults = faults;
    }

    /// Adds an endpoint, or replaces what the list says of it.
    pub fn put_endpoint(&self, endpoint: ListedEndpoint) {
        self.change(|list| {
            list.endpoints.retain(|known| known.id != endpoint.id);
            list.endpoints.push(endpoint);
        });
    }

    /// Marks an endpoint as live or leaving.
    pub fn set_endpoint_state(&self, id: &str, state: EndpointState) {
        self.change(|list| {
            let known = list.endpoints.iter_mut().find(|known| &*known.id == id);
            if let Some(endpoint) = known {
                endpoint.state = state;
            }
        });
    }

    /// Takes an endpoint out.
    pub fn remove_endpoint(&self, id: &str) {
        self.change(|list| list.endpoints.retain(|known| &*known.id != id));
    }

    /// Adds a host, or replaces what the list says of it.
    pub fn put_host(&self, host: ListedHost) {
        self.change(|list| {
            list.hosts.retain(|known| known.id != host.id);
            list.hosts.push(host);
        });
    }

    /// Takes a host out.
    pub fn remove_host(&self, id: &str) {
        self.change(|list| list.hosts.retain(|known| &*known.id != id));
    }

    /// What a reader sees now.
    pub fn read(&self) -> Result<PlatformList> {
        let state = self.lock();
        if state.faults.outage {
            return Err(ListOutage);
        }
        let lag = Duration::from_millis(state.faults.lag_ms);
        let now = Instant::now();
        let seen = state
            .versions
            .iter()
            .rev()
            .find(|version| now.saturating_duration_since(version.since) >= lag);
        Ok(seen.map_or_else(empty_list, |version| version.list.clone()))
    }

    /// What is really so now.
    pub fn truth(&self) -> PlatformList {
        self.lock().newest()
    }

    /// Writes a new version.
    fn change(&self, edit: impl FnOnce(&mut PlatformList)) {
        let mut state = self.lock();
        let mut list = state.newest();
        edit(&mut list);
        let since = Instant::now();
        state.versions.push_back(ListVersion { since, list });
        if state.versions.len() > VERSIONS_KEPT {
            state.versions.pop_front();
        }
    }

    /// The state, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ListState {
    /// The newest version.
    fn newest(&self) -> PlatformList {
        self.versions
            .back()
            .map_or_else(empty_list, |version| version.list.clone())
    }
}

/// A list without entries.
fn empty_list() -> PlatformList {
    PlatformList {
        endpoints: Vec::new(),
        hosts: Vec::new(),
    }
}

//! The view a keeper has in force, with the version of each of its parts.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration, //
};

use tokio::time::Instant;

use crate::{
    ids::{
        EndpointId,
        HostId, //
    },
    schema::{
        EndpointView,
        HostView,
        KeeperFrame,
        KeeperView, //
    },
};

/// How far the age of an endpoint's report may drift from what entries reckon before it is sent
/// again.
const REPORT_DRIFT: Duration = Duration::from_secs(2);

/// Number of a state of the view; 0 before the first.
type ViewVersion = u64;

/// The view in force, and when each of its parts last changed.
#[derive(Default)]
pub struct ViewState {
    /// Newest version.
    version: ViewVersion,
    /// Version of the last change that only a whole view can tell.
    whole: ViewVersion,
    /// The view; `None` before the first.
    view: Option<KeeperView>,
    /// Last change of each endpoint.
    endpoints: HashMap<EndpointId, EndpointChange>,
    /// Version of the last change of each host.
    hosts: HashMap<HostId, ViewVersion>,
    /// When the log last answered; `None` before the first view.
    platform_seen: Option<PlatformSeen>,
}

/// How old the log's last answer was, and when that was said.
struct PlatformSeen {
    /// Age at the time it was said, in milliseconds.
    age_ms: u64,
    /// When it was said.
    told: Instant,
}

/// When an endpoint last changed for the entries.
struct EndpointChange {
    /// Version of the change.
    version: ViewVersion,
    /// Age of its report at the change.
    report_age: Duration,
    /// When that age was right.
    told: Instant,
}

impl EndpointChange {
    /// The age of the report that entries reckon with now.
    fn reckoned_age(&self, now: Instant) -> Duration {
        self.report_age + now.saturating_duration_since(self.told)
    }
}

impl ViewState {
    /// Puts a view in force and gives the newest version.
    pub fn put(&mut self, view: KeeperView, now: Instant) -> ViewVersion {
        self.platform_seen = Some(PlatformSeen {
            age_ms: view.platform_age_ms,
            told: now,
        });
        if self.needs_whole(&view) {
            self.put_whole(view, now);
            return self.version;
        }
        self.put_hosts(view.hosts);
        self.put_endpoints(view.endpoints, now)
    }

    /// Takes in new or changed endpoints and gives the newest version.
    pub fn put_endpoints(&mut self, endpoints: Vec<EndpointView>, now: Instant) -> ViewVersion {
        let Some(view) = &mut self.view else {
            return self.version;
        };
        let version = self.version + 1;
        let places = places(&view.endpoints);
        for endpoint in endpoints {
            let place = places.get(&endpoint.id).copied();
            let change = self.endpoints.get(&endpoint.id);
            let held = place.map(|place| &view.endpoints[place]);
            if !is_news(held, &endpoint, change, now) {
                continue;
            }
            self.version = version;
            self.endpoints
                .insert(endpoint.id.clone(), changed(&endpoint, version, now));
            match place {
                Some(place) => view.endpoints[place] = endpoint,
                None => view.endpoints.push(endpoint),
            }
        }
        self.version
    }

    /// Takes in the whole list of hosts and gives the newest version.
    pub fn put_host_list(&mut self, hosts: Vec<HostView>, now: Instant) -> ViewVersion {
        let Some(view) = &self.view else {
            return self.version;
        };
        if lost_host(&view.hosts, &hosts) {
            let mut changed = self.snapshot(view, now);
            changed.hosts = hosts;
            self.put_whole(changed, now);
        } else {
            self.put_hosts(hosts);
        }
        self.version
    }

    /// The frames that lead an entry from a version to the newest one.
    pub fn since(&self, sent: &mut ViewVersion, now: Instant) -> Vec<KeeperFrame> {
        let mut frames = Vec::new();
        let Some(view) = &self.view else {
            return frames;
        };
        if *sent < self.whole {
            frames.push(KeeperFrame::View(self.snapshot(view, now)));
        } else {
            let hosts = self.hosts_since(view, *sent);
            if !hosts.is_empty() {
                frames.push(KeeperFrame::Hosts(hosts));
            }
            let endpoints = self.endpoints_since(view, *sent, now);
            if !endpoints.is_empty() {
                frames.push(KeeperFrame::Endpoints(endpoints));
            }
        }
        *sent = self.version;
        frames
    }

    /// Time since the log last answered, in milliseconds; `None` before the first view.
    pub fn platform_age_ms(&self, now: Instant) -> Option<u64> {
        let seen = self.platform_seen.as_ref()?;
        let since = now.saturating_duration_since(seen.told);
        Some(seen.age_ms.saturating_add(millis(since)))
    }

    /// Whether a view differs from the one in force by more than changed hosts and endpoints.
    fn needs_whole(&self, view: &KeeperView) -> bool {
        let Some(held) = &self.view else {
            return true;
        };
        let endpoints = places(&view.endpoints);
        let lost_endpoint = held
            .endpoints
            .iter()
            .any(|endpoint| !endpoints.contains_key(&endpoint.id));
        held.head != view.head || lost_endpoint || lost_host(&held.hosts, &view.hosts)
    }

    /// Puts a whole view in force.
    fn put_whole(&mut self, view: KeeperView, now: Instant) {
        self.version += 1;
        self.whole = self.version;
        let version = self.version;
        self.endpoints = view
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), changed(endpoint, version, now)))
            .collect();
        self.hosts = view
            .hosts
            .iter()
            .map(|host| (host.id.clone(), version))
            .collect();
        self.view = Some(view);
    }

    /// Takes in new or changed hosts.
    fn put_hosts(&mut self, hosts: Vec<HostView>) {
        let Some(view) = &mut self.view else {
            return;
        };
        let held: HashMap<&HostId, &HostView> =
            view.hosts.iter().map(|host| (&host.id, host)).collect();
        let news: Vec<HostId> = hosts
            .iter()
            .filter(|host| held.get(&host.id) != Some(host))
            .map(|host| host.id.clone())
            .collect();
        if news.is_empty() {
            return;
        }
        self.version += 1;
        for host in news {
            self.hosts.insert(host, self.version);
        }
        view.hosts = hosts;
    }

    /// The whole view as of now.
    fn snapshot(&self, view: &KeeperView, now: Instant) -> KeeperView {
        let mut snapshot = view.clone();
        snapshot.platform_age_ms = self.platform_age_ms(now).unwrap_or(view.platform_age_ms);
        for endpoint in &mut snapshot.endpoints {
            self.refresh_age(endpoint, now);
        }
        snapshot
    }

    /// Hosts that changed after a version.
    fn hosts_since(&self, view: &KeeperView, sent: ViewVersion) -> Vec<HostView> {
        let newer = |host: &&HostView| self.hosts.get(&host.id).is_some_and(|at| *at > sent);
        view.hosts.iter().filter(newer).cloned().collect()
    }

    /// Endpoints that changed after a version.
    fn endpoints_since(
        &self,
        view: &KeeperView,
        sent: ViewVersion,
        now: Instant,
    ) -> Vec<EndpointView> {
        let newer = |endpoint: &&EndpointView| {
            let change = self.endpoints.get(&endpoint.id);
            change.is_some_and(|change| change.version > sent)
        };
        let mut endpoints: Vec<EndpointView> =
            view.endpoints.iter().filter(newer).cloned().collect();
        for endpoint in &mut endpoints {
            self.refresh_age(endpoint, now);
        }
        endpoints
    }

    /// Brings the age of an endpoint's report up to now.
    fn refresh_age(&self, endpoint: &mut EndpointView, now: Instant) {
        if let Some(change) = self.endpoints.get(&endpoint.id) {
            endpoint.report_age_ms = millis(change.reckoned_age(now));
        }
    }
}

/// The place of each endpoint in a list.
fn places(endpoints: &[EndpointView]) -> HashMap<EndpointId, usize> {
    endpoints
        .iter()
        .enumerate()
        .map(|(place, endpoint)| (endpoint.id.clone(), place))
        .collect()
}

/// Whether a host is missing from a new list.
fn lost_host(held: &[HostView], hosts: &[HostView]) -> bool {
    let named: HashSet<&HostId> = hosts.iter().map(|host| &host.id).collect();
    held.iter().any(|host| !named.contains(&host.id))
}

/// The change that puts an endpoint in force.
fn changed(endpoint: &EndpointView, version: ViewVersion, now: Instant) -> EndpointChange {
    EndpointChange {
        version,
        report_age: Duration::from_millis(endpoint.report_age_ms),
        told: now,
    }
}

/// Whether entries need to hear of an endpoint again.
fn is_news(
    held: Option<&EndpointView>,
    endpoint: &EndpointView,
    change: Option<&EndpointChange>,
    now: Instant,
) -> bool {
    let (Some(held), Some(change)) = (held, change) else {
        return true;
    };
    let mut same_age = endpoint.clone();
    same_age.report_age_ms = held.report_age_ms;
    let age = Duration::from_millis(endpoint.report_age_ms);
    *held != same_age || change.reckoned_age(now).abs_diff(age) > REPORT_DRIFT
}

/// A duration in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

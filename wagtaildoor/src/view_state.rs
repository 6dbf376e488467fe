//! The view in force on a keeper, with the version of each of its parts.

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

/// Maximum drift of an endpoint's report age from the entries' estimate before it is sent again.
const MAX_REPORT_AGE_DRIFT: Duration = Duration::from_secs(2);

/// Version of the view; 0 before the first.
type ViewVersion = u64;

/// The view in force, with the version in which each part last changed.
#[derive(Default)]
pub struct ViewState {
    version: ViewVersion,
    /// Version of the last change that can only be sent as a full view.
    full_view_version: ViewVersion,
    /// View in force; `None` before the first.
    view: Option<KeeperView>,
    endpoints: HashMap<EndpointId, EndpointChange>,
    hosts: HashMap<HostId, ViewVersion>,
    /// Last reported platform age; `None` before the first view.
    platform_age_sample: Option<PlatformAgeSample>,
}

/// Age of the log's last response, and the time for which it was calculated.
struct PlatformAgeSample {
    age_ms: u64,
    sampled_at: Instant,
}

/// Last published change of an endpoint.
struct EndpointChange {
    /// Version of the view with this change.
    version: ViewVersion,
    /// Age of the endpoint's report when the change was applied.
    report_age: Duration,
    /// When the change was applied.
    changed_at: Instant,
}

impl EndpointChange {
    /// Returns the report age that entries compute from the last change.
    fn estimated_report_age(&self, now: Instant) -> Duration {
        self.report_age + now.saturating_duration_since(self.changed_at)
    }
}

impl ViewState {
    /// Applies a view and returns the newest version.
    pub fn replace_view(&mut self, view: KeeperView, now: Instant) -> ViewVersion {
        self.platform_age_sample = Some(PlatformAgeSample {
            age_ms: view.platform_age_ms,
            sampled_at: now,
        });
        if self.needs_full_view(&view) {
            self.install_view(view, now);
            return self.version;
        }
        self.update_hosts(view.hosts);
        self.merge_endpoints(view.endpoints, now)
    }

    /// Applies new or changed endpoints and returns the newest version.
    pub fn merge_endpoints(&mut self, endpoints: Vec<EndpointView>, now: Instant) -> ViewVersion {
        let Some(view) = &mut self.view else {
            return self.version;
        };
        let version = self.version + 1;
        let positions = endpoint_positions(&view.endpoints);
        for endpoint in endpoints {
            let position = positions.get(&endpoint.id).copied();
            let change = self.endpoints.get(&endpoint.id);
            let current = position.map(|position| &view.endpoints[position]);
            if !needs_update(current, &endpoint, change, now) {
                continue;
            }
            self.version = version;
            self.endpoints.insert(
                endpoint.id.clone(),
                endpoint_change(&endpoint, version, now),
            );
            match position {
                Some(position) => view.endpoints[position] = endpoint,
                None => view.endpoints.push(endpoint),
            }
        }
        self.version
    }

    /// Replaces the list of hosts and returns the newest version.
    pub fn replace_hosts(&mut self, hosts: Vec<HostView>, now: Instant) -> ViewVersion {
        let Some(view) = &self.view else {
            return self.version;
        };
        if has_lost_host(&view.hosts, &hosts) {
            let mut changed = self.snapshot(view, now);
            changed.hosts = hosts;
            self.install_view(changed, now);
        } else {
            self.update_hosts(hosts);
        }
        self.version
    }

    /// Returns the frames that bring an entry up to date, and advances `sent_version` to the newest
    /// version.
    pub fn frames_since(&self, sent_version: &mut ViewVersion, now: Instant) -> Vec<KeeperFrame> {
        let mut frames = Vec::new();
        let Some(view) = &self.view else {
            return frames;
        };
        if *sent_version < self.full_view_version {
            frames.push(KeeperFrame::View(self.snapshot(view, now)));
        } else {
            let hosts = self.hosts_since(view, *sent_version);
            if !hosts.is_empty() {
                frames.push(KeeperFrame::Hosts(hosts));
            }
            let endpoints = self.endpoints_since(view, *sent_version, now);
            if !endpoints.is_empty() {
                frames.push(KeeperFrame::Endpoints(endpoints));
            }
        }
        *sent_version = self.version;
        frames
    }

    /// Returns the time since the log last responded, in milliseconds; `None` before a view.
    pub fn platform_age_ms(&self, now: Instant) -> Option<u64> {
        let sample = self.platform_age_sample.as_ref()?;
        let elapsed = now.saturating_duration_since(sample.sampled_at);
        Some(sample.age_ms.saturating_add(millis(elapsed)))
    }

    /// Returns whether a view differs by more than new or changed hosts and endpoints.
    fn needs_full_view(&self, view: &KeeperView) -> bool {
        let Some(current) = &self.view else {
            return true;
        };
        let endpoints = endpoint_positions(&view.endpoints);
        let has_lost_endpoint = current
            .endpoints
            .iter()
            .any(|endpoint| !endpoints.contains_key(&endpoint.id));
        current.head != view.head || has_lost_endpoint || has_lost_host(&current.hosts, &view.hosts)
    }

    /// Replaces the view; all entries then receive it in full.
    fn install_view(&mut self, view: KeeperView, now: Instant) {
        self.version += 1;
        self.full_view_version = self.version;
        let version = self.version;
        self.endpoints = view
            .endpoints
            .iter()
            .map(|endpoint| (endpoint.id.clone(), endpoint_change(endpoint, version, now)))
            .collect();
        self.hosts = view
            .hosts
            .iter()
            .map(|host| (host.id.clone(), version))
            .collect();
        self.view = Some(view);
    }

    /// Replaces the list of hosts; the new list must contain all current hosts.
    fn update_hosts(&mut self, hosts: Vec<HostView>) {
        let Some(view) = &mut self.view else {
            return;
        };
        let current: HashMap<&HostId, &HostView> =
            view.hosts.iter().map(|host| (&host.id, host)).collect();
        let changed: Vec<HostId> = hosts
            .iter()
            .filter(|host| current.get(&host.id) != Some(host))
            .map(|host| host.id.clone())
            .collect();
        if changed.is_empty() {
            return;
        }
        self.version += 1;
        for host in changed {
            self.hosts.insert(host, self.version);
        }
        view.hosts = hosts;
    }

    /// Returns the view with the current ages.
    fn snapshot(&self, view: &KeeperView, now: Instant) -> KeeperView {
        let mut snapshot = view.clone();
        snapshot.platform_age_ms = self.platform_age_ms(now).unwrap_or(view.platform_age_ms);
        for endpoint in &mut snapshot.endpoints {
            self.refresh_age(endpoint, now);
        }
        snapshot
    }

    /// Returns the hosts that changed after a version.
    fn hosts_since(&self, view: &KeeperView, sent_version: ViewVersion) -> Vec<HostView> {
        let is_newer = |host: &&HostView| {
            self.hosts
                .get(&host.id)
                .is_some_and(|version| *version > sent_version)
        };
        view.hosts.iter().filter(is_newer).cloned().collect()
    }

    /// Returns the endpoints that changed after a version.
    fn endpoints_since(
        &self,
        view: &KeeperView,
        sent_version: ViewVersion,
        now: Instant,
    ) -> Vec<EndpointView> {
        let is_newer = |endpoint: &&EndpointView| {
            let change = self.endpoints.get(&endpoint.id);
            change.is_some_and(|change| change.version > sent_version)
        };
        let mut endpoints: Vec<EndpointView> =
            view.endpoints.iter().filter(is_newer).cloned().collect();
        for endpoint in &mut endpoints {
            self.refresh_age(endpoint, now);
        }
        endpoints
    }

    /// Updates the age of an endpoint's report to the current time.
    fn refresh_age(&self, endpoint: &mut EndpointView, now: Instant) {
        if let Some(change) = self.endpoints.get(&endpoint.id) {
            endpoint.report_age_ms = millis(change.estimated_report_age(now));
        }
    }
}

/// Returns the index of each endpoint in a list.
fn endpoint_positions(endpoints: &[EndpointView]) -> HashMap<EndpointId, usize> {
    endpoints
        .iter()
        .enumerate()
        .map(|(position, endpoint)| (endpoint.id.clone(), position))
        .collect()
}

/// Returns whether a host is missing from the new list.
fn has_lost_host(current: &[HostView], hosts: &[HostView]) -> bool {
    let listed: HashSet<&HostId> = hosts.iter().map(|host| &host.id).collect();
    current.iter().any(|host| !listed.contains(&host.id))
}

/// Builds the record of an endpoint's change, which is published in `version`.
fn endpoint_change(endpoint: &EndpointView, version: ViewVersion, now: Instant) -> EndpointChange {
    EndpointChange {
        version,
        report_age: Duration::from_millis(endpoint.report_age_ms),
        changed_at: now,
    }
}

/// Returns whether an endpoint has to be sent to the entries again.
fn needs_update(
    current: Option<&EndpointView>,
    endpoint: &EndpointView,
    change: Option<&EndpointChange>,
    now: Instant,
) -> bool {
    let (Some(current), Some(change)) = (current, change) else {
        return true;
    };
    let mut same_age = endpoint.clone();
    same_age.report_age_ms = current.report_age_ms;
    let age = Duration::from_millis(endpoint.report_age_ms);
    *current != same_age || change.estimated_report_age(now).abs_diff(age) > MAX_REPORT_AGE_DRIFT
}

/// Converts to whole milliseconds, saturating.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! A keeper's view of all endpoints, from the platform's list, load reports, responses and polls.

use std::collections::{
    BTreeMap,
    HashSet, //
};

use tokio::time::Instant;

use crate::{
    ids::{
        BootId,
        EndpointId, //
    },
    schema::{
        EndpointNews,
        EndpointState,
        EndpointView,
        EventKind,
        ListedEndpoint,
        LoadReport, //
    },
};

/// Consecutive failed polls after which an endpoint gets no new requests.
pub const MAX_FAILED_POLLS: u32 = 2;
/// Boot ids remembered from earlier starts, so that late responses of those starts are ignored.
const MAX_PAST_BOOT_IDS: usize = 8;

/// A change of an endpoint, to be recorded in the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// Kind of the timeline event.
    pub kind: EventKind,
    /// Endpoint whose listing, health or load is no longer what it was.
    pub endpoint: EndpointId,
    /// Cause of the change, as a sentence.
    pub detail: Box<str>,
}

struct EndpointEntry {
    /// Latest entry in the platform's list.
    listed: ListedEndpoint,
    /// Current start; empty before the first report.
    boot_id: BootId,
    /// Boot ids of earlier starts, oldest first.
    past_boot_ids: Vec<BootId>,
    /// Whether the current start reported that it is leaving.
    reported_leaving: bool,
    /// Consecutive failed polls.
    failed_polls: u32,
    /// Weights in service; 0 if unknown.
    weights_version: u64,
    /// Requests in the engine's batch.
    running: u32,
    /// Queue depth of the endpoint.
    queued: u32,
    /// Time of the last report or response, or when the endpoint was first listed.
    last_contact_at: Instant,
}

/// State of all endpoints that the platform lists.
#[derive(Default)]
pub struct EndpointTable {
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

impl EndpointTable {
    /// Replaces the platform's list and removes endpoints that are not in it.
    pub fn update_list(&mut self, list: &[ListedEndpoint], now: Instant) -> Vec<EndpointChange> {
        let listed_ids: HashSet<&EndpointId> = list.iter().map(|listed| &listed.id).collect();
        let mut changes = Vec::new();
        self.entries.retain(|id, _| {
            let kept = listed_ids.contains(id);
            if !kept {
                changes.push(new_change(
                    EventKind::EndpointGone,
                    id,
                    "the platform no longer lists the endpoint",
                ));
            }
            kept
        });
        for listed in list {
            changes.extend(self.update_listed(listed, now));
        }
        changes
    }

    /// Applies an endpoint's own load report. Reports of unlisted endpoints are ignored.
    pub fn apply_report(
        &mut self,
        endpoint: &str,
        report: &LoadReport,
        now: Instant,
    ) -> Vec<EndpointChange> {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        if entry.failed_polls >= MAX_FAILED_POLLS {
            let detail = "the endpoint responds again";
            changes.push(new_change(
                EventKind::EndpointJoined,
                &entry.listed.id,
                detail,
            ));
        }
        entry.failed_polls = 0;
        if !entry.apply_boot_id(&report.boot_id, &mut changes) {
            return changes;
        }
        if report.leaving && !entry.reported_leaving {
            let detail = "the endpoint reported that it is leaving";
            changes.push(new_change(
                EventKind::EndpointLeaving,
                &entry.listed.id,
                detail,
            ));
        }
        entry.reported_leaving = report.leaving;
        entry.weights_version = report.weights_version;
        entry.running = report.running;
        entry.queued = report.queued;
        entry.last_contact_at = now;
        changes
    }

    /// Applies the endpoint state that came with a response to a request.
    pub fn apply_endpoint_status(
        &mut self,
        status: &EndpointNews,
        now: Instant,
    ) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let Some(entry) = self.entries.get_mut(&status.endpoint) else {
            return changes;
        };
        if entry.apply_boot_id(&status.boot_id, &mut changes) {
            entry.weights_version = status.weights_version;
            entry.queued = status.queued;
            entry.last_contact_at = now;
        }
        changes
    }

    /// Counts a failed poll; after `MAX_FAILED_POLLS` in a row the endpoint gets no new requests.
    pub fn record_poll_failure(&mut self, endpoint: &str) -> Vec<EndpointChange> {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return Vec::new();
        };
        entry.failed_polls = entry.failed_polls.saturating_add(1);
        if entry.failed_polls == MAX_FAILED_POLLS {
            let detail = "the endpoint does not respond";
            return vec![new_change(
                EventKind::EndpointGone,
                &entry.listed.id,
                detail,
            )];
        }
        Vec::new()
    }

    /// Returns the endpoints as entries see them, ordered by id.
    pub fn views(&self, now: Instant) -> Vec<EndpointView> {
        self.entries
            .values()
            .map(|entry| entry.to_view(now))
            .collect()
    }

    /// Returns the endpoints as the platform lists them, ordered by id.
    pub fn listed(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.listed)
    }

    /// Applies one entry of the platform's list. An endpoint with a new address starts afresh.
    fn update_listed(&mut self, listed: &ListedEndpoint, now: Instant) -> Option<EndpointChange> {
        let known = self.entries.get_mut(&listed.id);
        let Some(entry) = known.filter(|entry| entry.listed.address == listed.address) else {
            let entry = EndpointEntry::new(listed.clone(), now);
            self.entries.insert(listed.id.clone(), entry);
            let detail = "the platform lists the endpoint";
            return Some(new_change(EventKind::EndpointJoined, &listed.id, detail));
        };
        let leaves = entry.listed.state == EndpointState::Live
            && listed.state == EndpointState::Leaving
            && !entry.reported_leaving;
        entry.listed = listed.clone();
        let detail = "the platform lists the endpoint as leaving";
        leaves.then(|| new_change(EventKind::EndpointLeaving, &listed.id, detail))
    }
}

impl EndpointEntry {
    fn new(listed: ListedEndpoint, now: Instant) -> Self {
        Self {
            listed,
            boot_id: "".into(),
            past_boot_ids: Vec::new(),
            reported_leaving: false,
            failed_polls: 0,
            weights_version: 0,
            running: 0,
            queued: 0,
            last_contact_at: now,
        }
    }

    /// Applies the boot id of a report or response. Returns false if it is from an earlier start.
    fn apply_boot_id(&mut self, boot_id: &BootId, changes: &mut Vec<EndpointChange>) -> bool {
        if *boot_id == self.boot_id {
            return true;
        }
        if self.past_boot_ids.contains(boot_id) {
            return false;
        }
        let past = std::mem::replace(&mut self.boot_id, boot_id.clone());
        if !past.is_empty() {
            let detail = "the endpoint restarted and lost its cache";
            changes.push(new_change(
                EventKind::EndpointRestarted,
                &self.listed.id,
                detail,
            ));
            self.past_boot_ids.push(past);
        }
        if self.past_boot_ids.len() > MAX_PAST_BOOT_IDS {
            self.past_boot_ids.remove(0);
        }
        self.reported_leaving = false;
        true
    }

    /// Builds the view for entries. Unreachable endpoints are shown as leaving.
    fn to_view(&self, now: Instant) -> EndpointView {
        let silent = self.failed_polls >= MAX_FAILED_POLLS;
        let leaving =
            silent || self.reported_leaving || self.listed.state == EndpointState::Leaving;
        let state = match leaving {
            true => EndpointState::Leaving,
            false => EndpointState::Live,
        };
        let age = now.saturating_duration_since(self.last_contact_at);
        EndpointView {
            address: self.listed.address,
            boot_id: self.boot_id.clone(),
            domain: self.listed.domain.clone(),
            id: self.listed.id.clone(),
            pool: self.listed.pool.clone(),
            queued: self.queued,
            report_age_ms: age.as_millis() as u64,
            running: self.running,
            state,
            weights_version: self.weights_version,
        }
    }
}

fn new_change(kind: EventKind, endpoint: &EndpointId, detail: &str) -> EndpointChange {
    EndpointChange {
        kind,
        endpoint: endpoint.clone(),
        detail: detail.into(),
    }
}

//! What a keeper knows of endpoints: from the list, their own word, answers and silence.

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

/// Polls that must fail in a row before an endpoint gets no new work.
pub const MAX_FAILED_POLLS: u32 = 2;
/// Earlier starts of an endpoint that are remembered, so that late answers change nothing.
const MAX_PAST_BOOT_IDS: usize = 8;

/// Something that became of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// What it was.
    pub kind: EventKind,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// How it was learnt, as a sentence.
    pub detail: Box<str>,
}

/// What is known of one endpoint.
struct EndpointEntry {
    /// What the list last said.
    listed: ListedEndpoint,
    /// Its present start; empty before its first word.
    boot_id: BootId,
    /// Earlier starts.
    past_boot_ids: Vec<BootId>,
    /// Its present start said that it leaves.
    reported_leaving: bool,
    /// Polls that failed in a row.
    failed_polls: u32,
    /// Weights in service; 0 when not known.
    weights_version: u64,
    /// Requests in its batch.
    running: u32,
    /// Requests waiting there.
    queued: u32,
    /// When it was last heard, or first listed.
    last_heard_at: Instant,
}

/// What is known of all endpoints.
#[derive(Default)]
pub struct EndpointTable {
    /// By name.
    entries: BTreeMap<EndpointId, EndpointEntry>,
}

impl EndpointTable {
    /// Takes over the platform's list: endpoints it does not name are gone.
    pub fn update_list(&mut self, list: &[ListedEndpoint], now: Instant) -> Vec<EndpointChange> {
        let named: HashSet<&EndpointId> = list.iter().map(|listed| &listed.id).collect();
        let mut changes = Vec::new();
        self.entries.retain(|id, _| {
            let kept = named.contains(id);
            if !kept {
                changes.push(new_change(
                    EventKind::EndpointGone,
                    id,
                    "the list has dropped it",
                ));
            }
            kept
        });
        for listed in list {
            changes.extend(self.update_listed(listed, now));
        }
        changes
    }

    /// Takes an endpoint's own report.
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
            let detail = "it answers again";
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
            let detail = "it said itself that it leaves";
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
        entry.last_heard_at = now;
        changes
    }

    /// Takes what an answer to a request said.
    pub fn apply_endpoint_news(
        &mut self,
        news: &EndpointNews,
        now: Instant,
    ) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let Some(entry) = self.entries.get_mut(&news.endpoint) else {
            return changes;
        };
        if entry.apply_boot_id(&news.boot_id, &mut changes) {
            entry.weights_version = news.weights_version;
            entry.queued = news.queued;
            entry.last_heard_at = now;
        }
        changes
    }

    /// Notes that a poll failed; an endpoint that is silent gets no new work.
    pub fn record_poll_failure(&mut self, endpoint: &str) -> Vec<EndpointChange> {
        let Some(entry) = self.entries.get_mut(endpoint) else {
            return Vec::new();
        };
        entry.failed_polls = entry.failed_polls.saturating_add(1);
        if entry.failed_polls == MAX_FAILED_POLLS {
            let detail = "it does not answer";
            return vec![new_change(
                EventKind::EndpointGone,
                &entry.listed.id,
                detail,
            )];
        }
        Vec::new()
    }

    /// What entries see, in the order of names.
    pub fn views(&self, now: Instant) -> Vec<EndpointView> {
        self.entries
            .values()
            .map(|entry| entry.to_view(now))
            .collect()
    }

    /// Endpoints as listed, in the order of names.
    pub fn listed(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.listed)
    }

    /// Takes what the list says of one endpoint.
    fn update_listed(&mut self, listed: &ListedEndpoint, now: Instant) -> Option<EndpointChange> {
        let known = self.entries.get_mut(&listed.id);
        let Some(entry) = known.filter(|entry| entry.listed.address == listed.address) else {
            let entry = EndpointEntry::new(listed.clone(), now);
            self.entries.insert(listed.id.clone(), entry);
            let detail = "the list names it";
            return Some(new_change(EventKind::EndpointJoined, &listed.id, detail));
        };
        let leaves = entry.listed.state == EndpointState::Live
            && listed.state == EndpointState::Leaving
            && !entry.reported_leaving;
        entry.listed = listed.clone();
        let detail = "the list says that it leaves";
        leaves.then(|| new_change(EventKind::EndpointLeaving, &listed.id, detail))
    }
}

impl EndpointEntry {
    /// An endpoint that was just listed.
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
            last_heard_at: now,
        }
    }

    /// Takes the start that a word of the endpoint came from; false when it is a past one.
    fn apply_boot_id(&mut self, boot_id: &BootId, changes: &mut Vec<EndpointChange>) -> bool {
        if *boot_id == self.boot_id {
            return true;
        }
        if self.past_boot_ids.contains(boot_id) {
            return false;
        }
        let past = std::mem::replace(&mut self.boot_id, boot_id.clone());
        if !past.is_empty() {
            let detail = "it started anew; whatever it had cached is gone";
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

    /// What entries see of it.
    fn to_view(&self, now: Instant) -> EndpointView {
        let silent = self.failed_polls >= MAX_FAILED_POLLS;
        let leaving =
            silent || self.reported_leaving || self.listed.state == EndpointState::Leaving;
        let state = match leaving {
            true => EndpointState::Leaving,
            false => EndpointState::Live,
        };
        let age = now.saturating_duration_since(self.last_heard_at);
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

/// A change of an endpoint.
fn new_change(kind: EventKind, endpoint: &EndpointId, detail: &str) -> EndpointChange {
    EndpointChange {
        kind,
        endpoint: endpoint.clone(),
        detail: detail.into(),
    }
}

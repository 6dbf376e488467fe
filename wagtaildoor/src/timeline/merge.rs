//! Merges the events of several processes in causal order.

use std::collections::BTreeSet;

use crate::{
    schema::{
        EventPage,
        TimelineEvent, //
    },
    timeline::EventFilter,
};

/// Events of all processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedTimeline {
    /// Number of events that are missing because they were dropped or exceed the requested number.
    pub dropped: u64,
    /// Events in causal order.
    pub events: Vec<TimelineEvent>,
}

/// Merges pages, and keeps the events that the filter selects.
///
/// Duplicates, for example from a process and from its log, are removed.
pub fn merge(pages: impl IntoIterator<Item = EventPage>, filter: &EventFilter) -> MergedTimeline {
    let mut merged = MergedTimeline::default();
    for page in pages {
        merged.dropped += page.dropped;
        let wanted = page
            .events
            .into_iter()
            .filter(|event| filter.matches(event));
        merged.events.extend(wanted);
    }
    merged
        .events
        .sort_by(|left, right| sort_key(left).cmp(&sort_key(right)));
    merged.events.dedup();
    merged
}

/// Sort key of an event: its timestamp, then host and process.
///
/// The timestamp alone ensures causal order. Host and process make the order deterministic.
fn sort_key(event: &TimelineEvent) -> impl Ord + '_ {
    let stamp = &event.stamp;
    (stamp.wall_ms, stamp.counter, &event.host, &event.process)
}

/// Column of one process in a timeline.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessLane {
    /// Host on which the process wrote its events.
    pub host: Box<str>,
    /// Name of the program.
    pub process: Box<str>,
}

/// Processes that have events, sorted by host and process.
pub fn lanes(events: &[TimelineEvent]) -> Vec<ProcessLane> {
    let lanes: BTreeSet<ProcessLane> = events.iter().map(ProcessLane::from_event).collect();
    lanes.into_iter().collect()
}

impl ProcessLane {
    /// Returns the lane that an event belongs to.
    pub fn from_event(event: &TimelineEvent) -> Self {
        Self {
            host: event.host.clone(),
            process: event.process.clone(),
        }
    }
}

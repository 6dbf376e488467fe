//! Events of several processes in one causal order.

use std::collections::BTreeSet;

use crate::{
    schema::{
        EventPage,
        TimelineEvent, //
    },
    timeline::EventFilter,
};

/// Events of all processes, and how many are no longer kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MergedTimeline {
    /// Older events that are not here: no longer kept, or beyond the number asked for.
    pub dropped: u64,
    /// Events, causes before effects.
    pub events: Vec<TimelineEvent>,
}

/// Puts pages together, keeps what the filter lets through, and orders it.
///
/// An event that comes twice, from a process and from its log, say, is kept once.
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

/// What the order goes by: stamp, then host and process.
///
/// Stamps alone put causes before effects; the rest makes the order the same at each reading.
fn sort_key(event: &TimelineEvent) -> impl Ord + '_ {
    let stamp = &event.stamp;
    (stamp.wall_ms, stamp.counter, &event.host, &event.process)
}

/// One process of a time line.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessLane {
    /// Host.
    pub host: Box<str>,
    /// Program.
    pub process: Box<str>,
}

/// The processes that have events, in the order of their names.
pub fn lanes(events: &[TimelineEvent]) -> Vec<ProcessLane> {
    let lanes: BTreeSet<ProcessLane> = events.iter().map(ProcessLane::from_event).collect();
    lanes.into_iter().collect()
}

impl ProcessLane {
    /// The lane an event belongs to.
    pub fn from_event(event: &TimelineEvent) -> Self {
        Self {
            host: event.host.clone(),
            process: event.process.clone(),
        }
    }
}

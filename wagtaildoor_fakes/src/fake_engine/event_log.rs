//! Cache events of one boot of an engine, readable with a lag and with losses.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use tokio::time::Instant;
use wagtaildoor::schema::{
    CacheEvent,
    CacheEventKind, //
};

use super::{
    engine_faults::EngineFaults,
    prompt_blocks::BlockHash,
    prompt_cache::CacheChange, //
};
use crate::seeded;

/// Number of recent events kept for readers.
const EVENTS_KEPT: usize = 8192;
/// Maximum number of events in a page.
const PAGE_EVENTS: usize = 1024;

/// Cache events since boot.
#[derive(Debug, Default)]
pub struct EventLog {
    /// Number of events written since boot.
    written: u64,
    /// Recent events, the oldest first.
    recent_events: VecDeque<TimedEvent>,
}

/// An event with the time it was recorded.
#[derive(Clone, Debug)]
struct TimedEvent {
    recorded_at: Instant,
    event: CacheEvent,
}

/// Some of the events, and where to read on.
#[derive(Clone, Debug, PartialEq)]
pub struct EventPage {
    /// Sequence number at which the next page starts.
    pub next: u64,
    /// Events in sequence; lost ones are missing.
    pub events: Vec<CacheEvent>,
}

impl EventLog {
    /// Returns the sequence number of the next event.
    pub fn next_sequence(&self) -> u64 {
        self.written + 1
    }

    /// Records the blocks that an insertion removed and stored.
    pub fn record(&mut self, change: CacheChange, now: Instant) {
        self.push_nonempty(CacheEventKind::Removed, change.removed, now);
        self.push_nonempty(CacheEventKind::Stored, change.stored, now);
    }

    /// Records that the cache was cleared.
    pub fn record_clear(&mut self, now: Instant) {
        self.push(CacheEventKind::Cleared, Vec::new(), now);
    }

    /// Reads the events from sequence number `from` on that are older than the lag.
    pub fn read(&self, from: u64, faults: &EngineFaults, engine: &str, now: Instant) -> EventPage {
        let lag = Duration::from_millis(faults.event_lag_ms);
        let visible: Vec<&TimedEvent> = self
            .recent_events
            .iter()
            .skip_while(|timed| timed.event.sequence < from)
            .take_while(|timed| now.saturating_duration_since(timed.recorded_at) >= lag)
            .take(PAGE_EVENTS)
            .collect();
        let next = visible
            .last()
            .map_or(from.max(1), |timed| timed.event.sequence + 1);
        let events = visible
            .into_iter()
            .map(|timed| &timed.event)
            .filter(|event| !is_lost(event, faults, engine))
            .cloned()
            .collect();
        EventPage { next, events }
    }

    /// Appends an event unless it has no blocks.
    fn push_nonempty(&mut self, kind: CacheEventKind, blocks: Vec<BlockHash>, now: Instant) {
        if !blocks.is_empty() {
            self.push(kind, blocks, now);
        }
    }

    /// Appends an event and drops the oldest one beyond `EVENTS_KEPT`.
    fn push(&mut self, kind: CacheEventKind, blocks: Vec<BlockHash>, now: Instant) {
        self.written += 1;
        let event = CacheEvent {
            blocks,
            kind,
            sequence: self.written,
        };
        self.recent_events.push_back(TimedEvent {
            recorded_at: now,
            event,
        });
        if self.recent_events.len() > EVENTS_KEPT {
            self.recent_events.pop_front();
        }
    }
}

/// Whether the event loss fault drops this event.
fn is_lost(event: &CacheEvent, faults: &EngineFaults, engine: &str) -> bool {
    let name = format!("{engine}/{}", event.sequence);
    seeded::is_selected(faults.seed, "event_loss", &name, faults.event_loss_percent)
}

//! Cache events of one start of an engine, published late and with gaps.

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

/// Events kept for readers.
const EVENTS_KEPT: usize = 8192;
/// Events in a page.
const PAGE_EVENTS: usize = 1024;

/// Cache events of one start.
#[derive(Debug, Default)]
pub struct EventLog {
    /// Events so far.
    written: u64,
    /// Events that readers can still get.
    kept: VecDeque<TimedEvent>,
}

/// An event with the time it happened.
#[derive(Clone, Debug)]
struct TimedEvent {
    /// When it happened.
    at: Instant,
    /// The event.
    event: CacheEvent,
}

/// Events a reader gets.
#[derive(Clone, Debug, PartialEq)]
pub struct EventSpan {
    /// Sequence number to ask for next.
    pub next: u64,
    /// Events; some may be missing.
    pub events: Vec<CacheEvent>,
}

impl EventLog {
    /// Sequence number of the next event.
    pub fn next_sequence(&self) -> u64 {
        self.written + 1
    }

    /// Writes what an insertion changed.
    pub fn record(&mut self, change: CacheChange, now: Instant) {
        self.write(CacheEventKind::Removed, change.removed, now);
        self.write(CacheEventKind::Stored, change.stored, now);
    }

    /// Writes that all blocks went.
    pub fn record_clear(&mut self, now: Instant) {
        self.push(CacheEventKind::Cleared, Vec::new(), now);
    }

    /// Events from a sequence number on that are old enough to be seen.
    pub fn read(&self, from: u64, faults: &EngineFaults, engine: &str, now: Instant) -> EventSpan {
        let lag = Duration::from_millis(faults.event_lag_ms);
        let visible: Vec<&TimedEvent> = self
            .kept
            .iter()
            .skip_while(|timed| timed.event.sequence < from)
            .take_while(|timed| now.saturating_duration_since(timed.at) >= lag)
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
        EventSpan { next, events }
    }

    /// Writes one event, unless it says nothing.
    fn write(&mut self, kind: CacheEventKind, blocks: Vec<BlockHash>, now: Instant) {
        if !blocks.is_empty() {
            self.push(kind, blocks, now);
        }
    }

    /// Writes one event and forgets the oldest.
    fn push(&mut self, kind: CacheEventKind, blocks: Vec<BlockHash>, now: Instant) {
        self.written += 1;
        let event = CacheEvent {
            blocks,
            kind,
            sequence: self.written,
        };
        self.kept.push_back(TimedEvent { at: now, event });
        if self.kept.len() > EVENTS_KEPT {
            self.kept.pop_front();
        }
    }
}

/// Whether the stream of events loses this one.
fn is_lost(event: &CacheEvent, faults: &EngineFaults, engine: &str) -> bool {
    let name = format!("{engine}/{}", event.sequence);
    seeded::strikes(faults.seed, "event_loss", &name, faults.event_loss_percent)
}

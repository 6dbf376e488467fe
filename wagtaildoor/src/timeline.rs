//! The time line: what a process saw, kept in memory and written to its log.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use slog::Logger;

use crate::{
    clock::HybridClock,
    ids::{
        AccountId,
        EndpointId,
        HostId,
        RequestId, //
    },
    schema::{
        EventKind,
        EventPage,
        TimelineEvent, //
    },
};

pub mod html;
pub mod log_lines;
pub mod merge;
pub mod wall_time;

/// Message of the log lines that carry an event.
pub const EVENT_MESSAGE: &str = "timeline event";

/// Longest detail that is kept, in bytes; it may carry what an endpoint sent.
const MAX_DETAIL_BYTES: usize = 2000;

/// An event before it is stamped.
#[derive(Clone, Debug, PartialEq)]
pub struct EventDraft {
    /// What happened.
    pub kind: EventKind,
    /// Request it belongs to.
    pub request: Option<RequestId>,
    /// Client account it belongs to.
    pub account: Option<AccountId>,
    /// Endpoint it belongs to.
    pub endpoint: Option<EndpointId>,
    /// The rest, as a sentence.
    pub detail: Box<str>,
}

impl EventDraft {
    /// An event with its sentence.
    pub fn new(kind: EventKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            request: None,
            account: None,
            endpoint: None,
            detail: detail.into(),
        }
    }

    /// The event, belonging to a request.
    pub fn request(mut self, request: impl Into<RequestId>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// The event, belonging to a client account.
    pub fn account(mut self, account: impl Into<AccountId>) -> Self {
        self.account = Some(account.into());
        self
    }

    /// The event, belonging to an endpoint.
    pub fn endpoint(mut self, endpoint: impl Into<EndpointId>) -> Self {
        self.endpoint = Some(endpoint.into());
        self
    }
}

/// Which events are asked for; an empty field lets every event through.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventFilter {
    /// Events of this request.
    pub request: Option<RequestId>,
    /// Events of this client account.
    pub account: Option<AccountId>,
    /// Events of this endpoint.
    pub endpoint: Option<EndpointId>,
    /// Events of this host.
    pub host: Option<HostId>,
    /// Events at or after this wall time, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// Events at or before this wall time, in milliseconds since the Unix epoch.
    pub to_ms: Option<u64>,
    /// So many of each process at most, the newest ones.
    pub newest: Option<usize>,
}

impl EventFilter {
    /// Whether an event is asked for.
    pub fn matches(&self, event: &TimelineEvent) -> bool {
        let wall_ms = event.stamp.wall_ms;
        matches_field(&self.request, event.request.as_deref())
            && matches_field(&self.account, event.account.as_deref())
            && matches_field(&self.endpoint, event.endpoint.as_deref())
            && matches_field(&self.host, Some(&event.host))
            && self.from_ms.is_none_or(|from| wall_ms >= from)
            && self.to_ms.is_none_or(|to| wall_ms <= to)
    }
}

/// Whether a field is as wanted, or nothing is wanted.
fn matches_field(wanted: &Option<Box<str>>, found: Option<&str>) -> bool {
    wanted.as_deref().is_none_or(|wanted| Some(wanted) == found)
}

/// Stamps events, keeps the newest ones, and writes each to the log.
#[derive(Clone, Debug)]
pub struct EventRecorder {
    /// State that all clones share.
    shared: Arc<RecorderState>,
}

/// What the clones of a recorder share.
#[derive(Debug)]
struct RecorderState {
    /// Host of the process.
    host: HostId,
    /// Program.
    process: &'static str,
    /// Events kept at most.
    capacity: usize,
    /// Clock of the process.
    clock: HybridClock,
    /// Log of the process.
    log: Logger,
    /// Events kept.
    ring: Mutex<EventRing>,
}

/// The newest events.
#[derive(Debug, Default)]
struct EventRing {
    /// Events no longer kept.
    dropped: u64,
    /// Events, oldest first.
    events: VecDeque<TimelineEvent>,
}

impl EventRecorder {
    /// A recorder for one process that keeps up to `capacity` events.
    ///
    /// The logger is one of `logging::logger`: its lines carry the host and the program.
    pub fn new(host: &str, process: &'static str, capacity: usize, log: Logger) -> Self {
        let state = RecorderState {
            host: host.into(),
            process,
            capacity: capacity.max(1),
            clock: HybridClock::new(),
            log,
            ring: Mutex::default(),
        };
        Self {
            shared: Arc::new(state),
        }
    }

    /// The clock of the process, for the stamps of its messages.
    pub fn clock(&self) -> &HybridClock {
        &self.shared.clock
    }

    /// Stamps an event and keeps it.
    pub fn record(&self, draft: EventDraft) {
        let state = &self.shared;
        // The stamp is drawn under the lock, so that the ring is in the order of stamps.
        let mut ring = self.ring();
        let event = TimelineEvent {
            stamp: state.clock.now(),
            host: state.host.clone(),
            process: state.process.into(),
            kind: draft.kind,
            request: draft.request,
            account: draft.account,
            endpoint: draft.endpoint,
            detail: truncate_detail(draft.detail),
        };
        log_event(&state.log, &event);
        if ring.events.len() >= state.capacity {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        ring.events.push_back(event);
    }

    /// The kept events that a filter lets through, oldest first.
    pub fn page(&self, filter: &EventFilter) -> EventPage {
        let ring = self.ring();
        let matching = || ring.events.iter().filter(|event| filter.matches(event));
        let skipped = match filter.newest {
            Some(newest) => matching().count().saturating_sub(newest),
            None => 0,
        };
        EventPage {
            dropped: ring.dropped + skipped as u64,
            events: matching().skip(skipped).cloned().collect(),
        }
    }

    /// The ring. A panic elsewhere leaves it whole, since each change is one step.
    fn ring(&self) -> MutexGuard<'_, EventRing> {
        let locked = self.shared.ring.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A detail of bounded length.
fn truncate_detail(detail: Box<str>) -> Box<str> {
    if detail.len() <= MAX_DETAIL_BYTES {
        return detail;
    }
    let end = (0..=MAX_DETAIL_BYTES)
        .rev()
        .find(|&at| detail.is_char_boundary(at));
    let kept = &detail[..end.unwrap_or(0)];
    format!("{kept}…").into()
}

/// Writes an event to the log, in the form that `log_lines` reads.
fn log_event(log: &Logger, event: &TimelineEvent) {
    slog::info!(log, "{}", EVENT_MESSAGE;
        "event" => event.kind.to_string(),
        "wall_ms" => event.stamp.wall_ms,
        "counter" => event.stamp.counter,
        "request" => event.request.as_deref().map(str::to_string),
        "account" => event.account.as_deref().map(str::to_string),
        "endpoint" => event.endpoint.as_deref().map(str::to_string),
        "detail" => event.detail.to_string(),
    );
}

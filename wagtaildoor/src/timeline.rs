//! The timeline: events of a process, kept in memory and written to its log.

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

/// Message of the log lines that contain an event.
pub const EVENT_MESSAGE: &str = "timeline event";

/// Maximum size of an event detail, which may contain text from an endpoint.
const MAX_DETAIL_BYTES: usize = 2000;

/// An event without a timestamp.
#[derive(Clone, Debug, PartialEq)]
pub struct EventDraft {
    /// What happened, as a fixed category; `detail` describes the specific case.
    pub kind: EventKind,
    /// Request that the event belongs to.
    pub request: Option<RequestId>,
    /// Client account that the event belongs to.
    pub account: Option<AccountId>,
    /// Endpoint that the event belongs to.
    pub endpoint: Option<EndpointId>,
    /// What happened, as a sentence.
    pub detail: Box<str>,
}

impl EventDraft {
    /// Creates an event that does not belong to a request, account or endpoint.
    pub fn new(kind: EventKind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            request: None,
            account: None,
            endpoint: None,
            detail: detail.into(),
        }
    }

    /// Sets the request that the event belongs to.
    pub fn request(mut self, request: impl Into<RequestId>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the client account that the event belongs to.
    pub fn account(mut self, account: impl Into<AccountId>) -> Self {
        self.account = Some(account.into());
        self
    }

    /// Sets the endpoint that the event belongs to.
    pub fn endpoint(mut self, endpoint: impl Into<EndpointId>) -> Self {
        self.endpoint = Some(endpoint.into());
        self
    }
}

/// Selects events. Fields that are `None` match every event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventFilter {
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events of this client account.
    pub account: Option<AccountId>,
    /// Only events of this endpoint.
    pub endpoint: Option<EndpointId>,
    /// Only events of this host.
    pub host: Option<HostId>,
    /// Only events at or after this wall time, in milliseconds since the Unix epoch.
    pub from_ms: Option<u64>,
    /// Only events at or before this wall time, in milliseconds since the Unix epoch.
    pub to_ms: Option<u64>,
    /// Maximum number of events per process. The newest ones are selected.
    pub newest: Option<usize>,
}

impl EventFilter {
    /// Whether the filter selects an event. `newest` is not considered.
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

/// Whether a field has the wanted value, or any value is wanted.
fn matches_field(wanted: &Option<Box<str>>, found: Option<&str>) -> bool {
    wanted.as_deref().is_none_or(|wanted| Some(wanted) == found)
}

/// Timestamps events, keeps the newest ones and writes each to the log.
#[derive(Clone, Debug)]
pub struct EventRecorder {
    shared: Arc<RecorderState>,
}

/// State that the clones of a recorder share.
#[derive(Debug)]
struct RecorderState {
    host: HostId,
    /// Name of the program.
    process: &'static str,
    /// Maximum number of events kept.
    capacity: usize,
    clock: HybridClock,
    /// Logger that each event is written to.
    log: Logger,
    ring: Mutex<EventRing>,
}

/// The newest events.
#[derive(Debug, Default)]
struct EventRing {
    /// Number of events that were dropped.
    dropped: u64,
    /// Events, oldest first.
    events: VecDeque<TimelineEvent>,
}

impl EventRecorder {
    /// Creates a recorder that keeps up to `capacity` events of one process, at least 1.
    ///
    /// The logger must come from `logging::logger`, whose lines contain the host and the program.
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

    /// Clock of the process, which also timestamps its messages.
    pub fn clock(&self) -> &HybridClock {
        &self.shared.clock
    }

    /// Timestamps an event, writes it to the log and keeps it.
    pub fn record(&self, draft: EventDraft) {
        let state = &self.shared;
        // Taken under the lock, so that the ring is ordered by timestamp.
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

    /// The kept events that a filter selects, oldest first.
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

    /// Locks the ring. A panic elsewhere leaves it consistent, since each change is a single step.
    fn ring(&self) -> MutexGuard<'_, EventRing> {
        let locked = self.shared.ring.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Truncates a detail to `MAX_DETAIL_BYTES` at a character boundary and marks the cut with "…".
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

/// Writes an event to the log in the format that `log_lines` reads.
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

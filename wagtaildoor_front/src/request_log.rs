//! Log line of a request, including the decisions made for it.

use std::{
    fmt::Write,
    rc::Rc,
    time::Duration, //
};

use tokio::time::Instant;
use wagtaildoor::ids::{
    AccountId,
    AttemptId,
    EndpointId,
    RouteId, //
};

use crate::front::Front;

/// Size of the decisions text in bytes above which no more decisions are added, to keep the log
/// line short.
const MAX_DECISIONS_BYTES: usize = 800;

/// Outcome of a request that was dropped before another outcome was set.
const CALLER_LEFT: &str = "caller_left";
/// Outcome of a request that was in progress when the process ended.
const CUT_BY_EXIT: &str = "cut_by_exit";

/// Collects the fields of a request's log line, which is written when this is dropped.
#[derive(Debug)]
pub struct RequestLog {
    /// Shared state of this host.
    front: Rc<Front>,
    /// Id of the caller's attempt, or `none`.
    attempt: AttemptId,
    /// Time when the request arrived.
    arrived: Instant,
    route: Option<RouteId>,
    /// Client account of the caller, if it authenticated.
    account: Option<AccountId>,
    /// Version of the configuration that admitted the request; 0 if none did.
    config_version: u64,
    /// Decisions in order, separated by semicolons.
    decisions: String,
    /// Endpoint whose response goes to the caller.
    endpoint: Option<EndpointId>,
    /// Time from the request's arrival to the first part of the response.
    first_part_latency: Option<Duration>,
    /// Outcome of the request. If the caller disconnects or the process ends, the request is dropped
    /// before another outcome is set.
    outcome: &'static str,
}

impl RequestLog {
    /// Creates the log line of a request and counts the request as in flight.
    pub fn new(front: Rc<Front>, attempt: Option<&AttemptId>) -> Self {
        front.in_flight.set(front.in_flight.get() + 1);
        Self {
            front,
            attempt: attempt.cloned().unwrap_or_else(|| "none".into()),
            arrived: Instant::now(),
            route: None,
            account: None,
            config_version: 0,
            decisions: String::new(),
            endpoint: None,
            first_part_latency: None,
            outcome: CALLER_LEFT,
        }
    }

    /// Time when the request arrived.
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Sets the route, the client account and the configuration version that determined them.
    pub fn set_route(&mut self, route: &RouteId, account: Option<&AccountId>, config_version: u64) {
        self.route = Some(route.clone());
        self.account = account.cloned();
        self.config_version = config_version;
    }

    /// Appends a decision to the log line, unless the limit is reached.
    pub fn add_decision(&mut self, decision: std::fmt::Arguments<'_>) {
        if self.decisions.len() < MAX_DECISIONS_BYTES {
            let separator = if self.decisions.is_empty() { "" } else { "; " };
            // Writing to a `String` does not fail.
            let _ = write!(self.decisions, "{separator}{decision}");
        }
    }

    /// Sets the endpoint whose response goes to the caller.
    pub fn set_answering_endpoint(&mut self, endpoint: &EndpointId) {
        self.endpoint = Some(endpoint.clone());
    }

    /// Records the latency of the first part of the response; later calls have no effect.
    pub fn record_first_part(&mut self) {
        if self.first_part_latency.is_none() {
            self.first_part_latency = Some(self.arrived.elapsed());
        }
    }

    /// Sets the outcome; a later one replaces it.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let front = &self.front;
        front.in_flight.set(front.in_flight.get().saturating_sub(1));
        let total_latency = self.arrived.elapsed();
        if front.has_drained.get() && self.outcome == CALLER_LEFT {
            self.outcome = CUT_BY_EXIT;
        }
        front
            .metrics
            .record_request(self.outcome, self.first_part_latency, total_latency);
        let list_age = front
            .list_read_at
            .get()
            .map(|read_at| read_at.elapsed().as_millis() as u64);
        slog::info!(front.log, "request";
            "attempt" => &*self.attempt,
            "route" => self.route.as_deref(),
            "account" => self.account.as_deref(),
            "outcome" => self.outcome,
            "endpoint" => self.endpoint.as_deref(),
            "first_ms" => self.first_part_latency.map(|latency| latency.as_millis() as u64),
            "whole_ms" => total_latency.as_millis() as u64,
            "config" => self.config_version,
            "list_age_ms" => list_age,
            "decisions" => &self.decisions);
    }
}

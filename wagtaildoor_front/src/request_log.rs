//! The log line of one request, with the decisions made for it.

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

/// Bytes of decisions kept for one request; a line stays short whatever happens.
const MAX_DECISIONS_BYTES: usize = 800;

/// What is noted of a request until its line is written, when this is dropped.
#[derive(Debug)]
pub struct RequestLog {
    /// Host.
    front: Rc<Front>,
    /// Id of the caller's attempt.
    attempt: AttemptId,
    /// When it came.
    arrived: Instant,
    /// Route.
    route: Option<RouteId>,
    /// Client account.
    account: Option<AccountId>,
    /// Version of the configuration that decided.
    config: u64,
    /// Decisions, in order.
    decisions: String,
    /// Endpoint that answered.
    endpoint: Option<EndpointId>,
    /// Time to the first part of the answer.
    first: Option<Duration>,
    /// How it ended; a caller that leaves drops the request before any other end is noted.
    outcome: &'static str,
}

impl RequestLog {
    /// Begins the line of a request.
    pub fn new(front: Rc<Front>, attempt: Option<&AttemptId>) -> Self {
        front.in_flight.set(front.in_flight.get() + 1);
        Self {
            front,
            attempt: attempt.cloned().unwrap_or_else(|| "none".into()),
            arrived: Instant::now(),
            route: None,
            account: None,
            config: 0,
            decisions: String::new(),
            endpoint: None,
            first: None,
            outcome: "caller_left",
        }
    }

    /// When the request came.
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Notes what the request is, and the version of the configuration that says so.
    pub fn set_route(&mut self, route: &RouteId, account: Option<&AccountId>, config: u64) {
        self.route = Some(route.clone());
        self.account = account.cloned();
        self.config = config;
    }

    /// Notes a decision with what decided it.
    pub fn add_decision(&mut self, decision: std::fmt::Arguments<'_>) {
        if self.decisions.len() < MAX_DECISIONS_BYTES {
            let separator = if self.decisions.is_empty() { "" } else { "; " };
            // Writing to a string does not fail.
            let _ = write!(self.decisions, "{separator}{decision}");
        }
    }

    /// Notes the endpoint whose answer goes to the caller.
    pub fn set_answering_endpoint(&mut self, endpoint: &EndpointId) {
        self.endpoint = Some(endpoint.clone());
    }

    /// Notes the first part of the answer.
    pub fn record_first_part(&mut self) {
        if self.first.is_none() {
            self.first = Some(self.arrived.elapsed());
        }
    }

    /// Notes how the request ended.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        let front = &self.front;
        front.in_flight.set(front.in_flight.get().saturating_sub(1));
        let whole = self.arrived.elapsed();
        front
            .metrics
            .record_request(self.outcome, self.first, whole);
        let list_age = front
            .list_read_at
            .get()
            .map(|at| at.elapsed().as_millis() as u64);
        slog::info!(front.log, "request";
            "attempt" => &*self.attempt,
            "route" => self.route.as_deref(),
            "account" => self.account.as_deref(),
            "outcome" => self.outcome,
            "endpoint" => self.endpoint.as_deref(),
            "first_ms" => self.first.map(|first| first.as_millis() as u64),
            "whole_ms" => whole.as_millis() as u64,
            "config" => self.config,
            "list_age_ms" => list_age,
            "decisions" => &self.decisions);
    }
}

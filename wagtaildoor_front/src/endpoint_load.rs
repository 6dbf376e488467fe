//! Load of one endpoint: exact counts of this host's requests, and estimates for other hosts.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::wire_codec::LoadReading;

/// Half-life of the reported load of other hosts without a new report. Requests at engines last
/// about as long.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Age at which a peer's prefill report expires; by then, the engine has processed those tokens.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Time for which an endpoint counts as full after it rejected a request for lack of capacity.
const FULL_DURATION: Duration = Duration::from_millis(300);

/// Requests and prefill work at an endpoint: exact for this host, estimated for the others.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    /// Requests that the endpoint processes concurrently, at least 1.
    slots: u32,
    /// Requests of this host whose response has not started.
    own_waiting: u32,
    /// Requests of this host whose response has started.
    own_running: u32,
    /// Prompt tokens still to be prefilled for this host's waiting requests.
    own_prefill_tokens: u64,
    /// Requests of other hosts at the time of the last report.
    other_requests: f64,
    /// Waiting requests of all hosts at the time of the last report.
    reported_waiting: f64,
    /// Prefill tokens reported by peers: address, tokens, and when the report arrived.
    peer_prefill: Vec<(SocketAddr, u64, BootInstant)>,
    reported_at: Option<BootInstant>,
    /// When the endpoint last rejected a request for lack of capacity.
    full_at: Option<BootInstant>,
}

impl EndpointLoad {
    /// Creates the load of an idle endpoint with this many slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            own_waiting: 0,
            own_running: 0,
            own_prefill_tokens: 0,
            other_requests: 0.0,
            reported_waiting: 0.0,
            peer_prefill: Vec::new(),
            reported_at: None,
            full_at: None,
        }
    }

    /// Adds a request that waits for its response.
    pub fn add_request(&mut self, prefill_tokens: u64) {
        self.own_waiting += 1;
        self.own_prefill_tokens += prefill_tokens;
    }

    /// Moves a request from waiting to running.
    pub fn start_response(&mut self, prefill_tokens: u64) {
        self.remove_request(prefill_tokens);
        self.own_running += 1;
    }

    /// Removes a waiting request. `prefill_tokens` must be the count that it was added with.
    pub fn remove_request(&mut self, prefill_tokens: u64) {
        self.own_waiting = self.own_waiting.saturating_sub(1);
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Removes a running request.
    pub fn finish_response(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
    }

    /// Applies a load report of the endpoint, which covers the requests of all hosts.
    pub fn apply_report(&mut self, reading: LoadReading, now: BootInstant) {
        self.slots = reading.slots.max(1);
        let own = self.own_waiting + self.own_running;
        let all = reading.running + reading.waiting;
        self.other_requests = f64::from(all.saturating_sub(own));
        self.reported_waiting = f64::from(reading.waiting);
        self.reported_at = Some(now);
    }

    /// Records that the endpoint rejected a request for lack of capacity.
    pub fn mark_full(&mut self, now: BootInstant) {
        self.full_at = Some(now);
    }

    /// Whether the endpoint recently rejected a request for lack of capacity.
    pub fn is_full(&self, now: BootInstant) -> bool {
        self.full_at.is_some_and(|at| now.since(at) < FULL_DURATION)
    }

    /// Requests that the endpoint processes concurrently.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Number of this host's requests at the endpoint.
    pub fn own_requests(&self) -> u32 {
        self.own_waiting + self.own_running
    }

    /// Estimated requests of all hosts. The share of other hosts decays with the report's age.
    pub fn estimated_requests(&self, now: BootInstant) -> f64 {
        f64::from(self.own_requests()) + self.other_requests * self.report_weight(now)
    }

    /// Estimated waiting requests of other hosts, decayed with the report's age.
    pub fn others_waiting(&self, now: BootInstant) -> f64 {
        let waiting = (self.reported_waiting - f64::from(self.own_waiting)).max(0.0);
        waiting * self.report_weight(now)
    }

    /// Prompt tokens still to be prefilled for this host's requests.
    pub fn own_prefill_tokens(&self) -> u64 {
        self.own_prefill_tokens
    }

    /// Replaces a peer's report of the prefill tokens of its requests; 0 removes the report.
    pub fn set_peer_prefill(&mut self, peer: SocketAddr, tokens: u64, now: BootInstant) {
        self.peer_prefill
            .retain(|(known, _, at)| *known != peer && now.since(*at) < PEER_REPORT_TTL);
        if tokens > 0 {
            self.peer_prefill.push((peer, tokens, now));
        }
    }

    /// Prompt tokens still to be prefilled for this host's and its peers' requests.
    pub fn total_prefill_tokens(&self, now: BootInstant) -> f64 {
        let peers = self.peer_prefill.iter();
        let peers = peers.filter(|(_, _, at)| now.since(*at) < PEER_REPORT_TTL);
        let peer_tokens: u64 = peers.map(|(_, tokens, _)| tokens).sum();
        (self.own_prefill_tokens + peer_tokens) as f64
    }

    /// Weight of the last report from 0 to 1, which halves every [`REPORT_HALF_LIFE`].
    fn report_weight(&self, now: BootInstant) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(age)
    }
}

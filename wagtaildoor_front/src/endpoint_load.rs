//! Load of one endpoint: what this host has there, and what others are believed to have.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::wire_codec::LoadReading;

/// Time in which the belief about other hosts' load halves without a new report; work at engines
/// lasts about as long.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Time after which another host's word on its requests is out of date; they are read by then.
const PEER_TIME: Duration = Duration::from_millis(1_500);
/// Time that a refusal for lack of room is remembered.
const FULL_TIME: Duration = Duration::from_millis(300);

/// Load of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointLoad {
    /// Requests that it works on at a time.
    slots: u32,
    /// Requests of this host without an answer so far.
    own_waiting: u32,
    /// Requests of this host whose answer has begun.
    own_running: u32,
    /// Prompt tokens that requests of this host without an answer still need read.
    own_prefill_tokens: u64,
    /// Requests of other hosts at the last report.
    others: f64,
    /// Requests of all hosts that waited at the last report.
    reported_waiting: f64,
    /// Prompt tokens that requests of other hosts still need read: host, tokens, and when it said.
    peer_prefill: Vec<(SocketAddr, u64, BootInstant)>,
    /// Time of the last report.
    reported_at: Option<BootInstant>,
    /// Time of the last refusal for lack of room.
    full_at: Option<BootInstant>,
}

impl EndpointLoad {
    /// No load.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            own_waiting: 0,
            own_running: 0,
            own_prefill_tokens: 0,
            others: 0.0,
            reported_waiting: 0.0,
            peer_prefill: Vec::new(),
            reported_at: None,
            full_at: None,
        }
    }

    /// Counts a request that is sent.
    pub fn add_request(&mut self, prefill_tokens: u64) {
        self.own_waiting += 1;
        self.own_prefill_tokens += prefill_tokens;
    }

    /// Counts a request whose answer begins.
    pub fn start_response(&mut self, prefill_tokens: u64) {
        self.remove_request(prefill_tokens);
        self.own_running += 1;
    }

    /// Counts a request that ends without an answer.
    pub fn remove_request(&mut self, prefill_tokens: u64) {
        self.own_waiting = self.own_waiting.saturating_sub(1);
        self.own_prefill_tokens = self.own_prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Counts a request whose answer ends.
    pub fn finish_response(&mut self) {
        self.own_running = self.own_running.saturating_sub(1);
    }

    /// Takes a report of the endpoint.
    pub fn apply_report(&mut self, reading: LoadReading, now: BootInstant) {
        self.slots = reading.slots.max(1);
        let own = self.own_waiting + self.own_running;
        let all = reading.running + reading.waiting;
        self.others = f64::from(all.saturating_sub(own));
        self.reported_waiting = f64::from(reading.waiting);
        self.reported_at = Some(now);
    }

    /// Takes a refusal for lack of room.
    pub fn mark_full(&mut self, now: BootInstant) {
        self.full_at = Some(now);
    }

    /// Whether it refused for lack of room a moment ago.
    pub fn is_full(&self, now: BootInstant) -> bool {
        self.full_at.is_some_and(|at| now.since(at) < FULL_TIME)
    }

    /// Requests that it works on at a time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Requests of this host.
    pub fn own_requests(&self) -> u32 {
        self.own_waiting + self.own_running
    }

    /// Requests of all hosts, as far as is known.
    pub fn estimated_requests(&self, now: BootInstant) -> f64 {
        f64::from(self.own_requests()) + self.others * self.trust(now)
    }

    /// Requests of other hosts that wait, as far as is known.
    pub fn others_waiting(&self, now: BootInstant) -> f64 {
        let waiting = (self.reported_waiting - f64::from(self.own_waiting)).max(0.0);
        waiting * self.trust(now)
    }

    /// Prompt tokens that requests of this host still need read.
    pub fn own_prefill_tokens(&self) -> u64 {
        self.own_prefill_tokens
    }

    /// Takes another host's word on the tokens that its requests still need read.
    pub fn set_peer_prefill(&mut self, peer: SocketAddr, tokens: u64, now: BootInstant) {
        self.peer_prefill
            .retain(|(known, _, at)| *known != peer && now.since(*at) < PEER_TIME);
        if tokens > 0 {
            self.peer_prefill.push((peer, tokens, now));
        }
    }

    /// Prompt tokens that requests of all hosts still need read, as far as they have said.
    pub fn total_prefill_tokens(&self, now: BootInstant) -> f64 {
        let peers = self.peer_prefill.iter();
        let peers = peers.filter(|(_, _, at)| now.since(*at) < PEER_TIME);
        let others: u64 = peers.map(|(_, tokens, _)| tokens).sum();
        (self.own_prefill_tokens + others) as f64
    }

    /// How far the last report still counts, from 0 to 1.
    fn trust(&self, now: BootInstant) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(age)
    }
}

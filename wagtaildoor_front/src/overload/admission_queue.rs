//! Line of requests that wait until an engine has room, bounded by the time it would take them.

use std::{
    cell::RefCell,
    collections::{
        BTreeSet,
        HashMap,
        VecDeque, //
    },
    rc::Rc,
    time::Duration,
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::ServiceId, //
};

use crate::overload::request_ranking::{
    RankedRequest,
    RequestRanking, //
};

/// Requests at the head of the line that look for an engine. More than one, since the engine that
/// the first one needs may be busy while others are not.
const HEAD_LENGTH: usize = 4;
/// Maximum number of requests that wait for a service.
const MAX_WAITING: usize = 1_024;
/// Window over which the speed of the line is measured.
const RATE_WINDOW: Duration = Duration::from_millis(1_500);
/// Weight of one request in the moving average of their work.
const MEAN_TOKENS_WEIGHT: f64 = 0.05;
/// Lowest rate at which requests are expected to leave the line, per second.
const MIN_RATE_PER_S: f64 = 1.0;
/// Number of levels of urgency that engines know.
const URGENCY_LEVELS: usize = 10;
/// Share of its target time for the first part that a request may wait while it is on time.
const ON_TIME_WAIT_SHARE: f64 = 0.5;
/// Share of the time until its caller leaves that a late request may wait.
const LATE_WAIT_SHARE: f64 = 0.5;

/// Place in the line: time of arrival with head starts and penalties, then a number.
type LinePlace = (BootInstant, u64);

/// How long a request may wait, and how it stands in the line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitTerms {
    /// What its place depends on.
    pub request: RankedRequest,
    /// By what it is ranked.
    pub ranking: RequestRanking,
    /// Time left until the caller leaves without a first part.
    pub left: Duration,
}

impl WaitTerms {
    /// Whether the request can still be answered on time.
    pub fn is_on_time(&self) -> bool {
        self.ranking.is_on_time(&self.request)
    }

    /// Longest expected wait with which the request is let into the line.
    pub fn longest_wait(&self) -> Duration {
        match self.is_on_time() {
            true => self.request.target.mul_f64(ON_TIME_WAIT_SHARE),
            false => self.left.mul_f64(LATE_WAIT_SHARE),
        }
    }
}

/// Waiting requests of one service.
#[derive(Debug, Default)]
struct ServiceLine {
    places: BTreeSet<LinePlace>,
    /// Times at which requests were sent to an engine.
    admitted: VecDeque<BootInstant>,
    /// Moving average of the work of a sent request, in tokens.
    mean_tokens: f64,
    /// Work of the last sent requests by urgency, in tokens; older ones count less.
    sent_tokens: [f64; URGENCY_LEVELS],
    /// This host's part of what the engines can work off, in tokens per millisecond.
    tokens_per_ms: f64,
}

/// Waiting requests of all services.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    lines: HashMap<ServiceId, ServiceLine>,
    next_number: u64,
}

/// A place in the line, given up when dropped.
#[derive(Debug)]
pub struct WaitTicket {
    queue: Rc<RefCell<AdmissionQueue>>,
    service: ServiceId,
    place: LinePlace,
}

impl AdmissionQueue {
    /// Whether no request waits for a service.
    pub fn is_empty(&self, service: &str) -> bool {
        self.waiting(service) == 0
    }

    /// Number of requests that wait for a service.
    pub fn waiting(&self, service: &str) -> usize {
        self.lines.get(service).map_or(0, |line| line.places.len())
    }

    /// Counts a request that is sent to an engine, which has to read `tokens` for it.
    pub fn record_admission(
        &mut self,
        service: &ServiceId,
        urgency: u8,
        tokens: f64,
        now: BootInstant,
    ) {
        let line = self.lines.entry(service.clone()).or_default();
        line.admitted.push_back(now);
        line.forget_before(now);
        if line.mean_tokens == 0.0 {
            line.mean_tokens = tokens;
        }
        line.mean_tokens += (tokens - line.mean_tokens) * MEAN_TOKENS_WEIGHT;
        for sent in &mut line.sent_tokens {
            *sent *= 1.0 - MEAN_TOKENS_WEIGHT;
        }
        line.sent_tokens[urgency_level(urgency)] += tokens;
    }

    /// Share of the engines' work that is at least as urgent as a request. Engines do the rest
    /// after it.
    pub fn urgent_share(&self, service: &str, urgency: u8) -> f64 {
        let Some(line) = self.lines.get(service) else {
            return 1.0;
        };
        let total: f64 = line.sent_tokens.iter().sum();
        let urgent: f64 = line.sent_tokens[..=urgency_level(urgency)].iter().sum();
        match total > 0.0 {
            true => urgent / total,
            false => 1.0,
        }
    }

    /// Sets this host's part of what the engines of a service can work off, in tokens per
    /// millisecond.
    pub fn set_capacity(&mut self, service: &ServiceId, tokens_per_ms: f64) {
        let line = self.lines.entry(service.clone()).or_default();
        line.tokens_per_ms = tokens_per_ms;
    }

    /// Expected wait of a request that would join the line now.
    pub fn expected_wait(&self, service: &str, terms: &WaitTerms, now: BootInstant) -> Duration {
        let Some(line) = self.lines.get(service) else {
            return Duration::ZERO;
        };
        let ahead = line.places.range(..(terms.place_time(now), u64::MAX));
        line.time_for(ahead.count(), now)
    }

    /// Expected time until the whole line is worked off.
    pub fn time_to_clear(&self, service: &str, now: BootInstant) -> Duration {
        let line = self.lines.get(service);
        line.map_or(Duration::ZERO, |line| line.time_for(line.places.len(), now))
    }
}

/// Index of an urgency among the levels.
fn urgency_level(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCY_LEVELS - 1)
}

impl WaitTerms {
    /// Time by which the request is sorted into the line.
    fn place_time(&self, now: BootInstant) -> BootInstant {
        now + self.ranking.handicap(&self.request)
    }
}

impl ServiceLine {
    /// Drops admissions that are too old to count.
    fn forget_before(&mut self, now: BootInstant) {
        while self
            .admitted
            .front()
            .is_some_and(|&at| now.since(at) > RATE_WINDOW)
        {
            self.admitted.pop_front();
        }
    }

    /// Time in which as many requests as are ahead are sent: at the recent rate, or at the rate that
    /// the engines are capable of if that is higher, since few may have come lately.
    fn time_for(&self, ahead: usize, now: BootInstant) -> Duration {
        let recent = self.admitted.iter();
        let recent = recent.filter(|&&at| now.since(at) <= RATE_WINDOW).count();
        let recent_rate = recent as f64 / RATE_WINDOW.as_secs_f64();
        let possible_rate = self.tokens_per_ms * 1000.0 / self.mean_tokens.max(1.0);
        let rate = recent_rate.max(possible_rate).max(MIN_RATE_PER_S);
        Duration::from_secs_f64(ahead as f64 / rate)
    }
}

/// Joins the line of a service. `None` if the line is full, or if the request would wait longer than
/// its terms allow.
pub fn join(
    queue: &Rc<RefCell<AdmissionQueue>>,
    service: &ServiceId,
    terms: &WaitTerms,
    now: BootInstant,
) -> Option<WaitTicket> {
    let mut lines = queue.borrow_mut();
    let is_too_long = lines.expected_wait(service, terms, now) > terms.longest_wait();
    if lines.waiting(service) >= MAX_WAITING || is_too_long {
        return None;
    }
    lines.next_number += 1;
    let place = (terms.place_time(now), lines.next_number);
    let line = lines.lines.entry(service.clone()).or_default();
    line.places.insert(place);
    Some(WaitTicket {
        queue: queue.clone(),
        service: service.clone(),
        place,
    })
}

impl WaitTicket {
    /// Expected time until the request is sent, by those that stand before it now.
    pub fn expected_wait(&self, now: BootInstant) -> Duration {
        let queue = self.queue.borrow();
        let line = queue.lines.get(&self.service);
        line.map_or(Duration::ZERO, |line| {
            line.time_for(line.places.range(..self.place).count(), now)
        })
    }

    /// Whether the request is so far ahead that it may look for an engine.
    pub fn is_at_head(&self) -> bool {
        let queue = self.queue.borrow();
        let line = queue.lines.get(&self.service);
        line.is_some_and(|line| {
            let mut head = line.places.iter().take(HEAD_LENGTH);
            head.any(|place| *place == self.place)
        })
    }
}

impl Drop for WaitTicket {
    fn drop(&mut self) {
        let mut queue = self.queue.borrow_mut();
        if let Some(line) = queue.lines.get_mut(&self.service) {
            line.places.remove(&self.place);
        }
    }
}

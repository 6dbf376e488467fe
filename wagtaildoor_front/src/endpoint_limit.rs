//! Limit on the requests that an endpoint takes from all hosts together, and this host's part of it.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::endpoint_limit::sender_share::SenderShare;

pub mod limit_news;
pub mod sender_share;

/// Time over which endpoints judge the requests that they get.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that this host may have saved up, at least one, as the time in which they accrue.
const MAX_SAVED_TIME: Duration = Duration::from_millis(500);
/// Interval at which other hosts are told of a limit, and how often they are told that it has ended.
const NEWS_INTERVAL: Duration = Duration::from_secs(1);
const END_NEWS_TIME: Duration = Duration::from_secs(3);
/// Time without word of the endpoint after which a request is sent to learn whether the limit still holds.
const PROBE_DELAY: Duration = Duration::from_secs(10);
/// Part of the limit that these requests of all hosts may take.
const PROBE_PART: f64 = 0.25;
/// Longest time over which hosts spread them.
const MAX_PROBE_SPREAD: Duration = Duration::from_secs(300);
/// Time after which this host's part is computed again.
const SHARE_LIFETIME: Duration = Duration::from_millis(500);

/// What an endpoint has said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Requests a second that it takes from all hosts together; `None` if it names no limit.
    pub per_s: Option<f64>,
    /// When it said so.
    pub said_at: BootInstant,
}

/// Limit of one endpoint, as far as this host knows it.
#[derive(Debug, Default)]
pub struct EndpointLimit {
    /// Newest statement, from an answer to this host or by word of another one.
    stated: Option<LimitStatement>,
    share: SenderShare,
    /// When `share` was computed.
    share_at: Option<BootInstant>,
    /// Requests that may be sent now.
    level: f64,
    updated_at: Option<BootInstant>,
    /// When requests were sent within the last [`WINDOW`], while the endpoint named a limit.
    sent_at: VecDeque<BootInstant>,
    /// When one request may be sent beyond this host's part.
    probe_at: Option<BootInstant>,
    /// When other hosts were last told.
    told_at: Option<BootInstant>,
    /// When a limit was last named.
    limited_at: Option<BootInstant>,
}

impl EndpointLimit {
    /// Limit in requests a second; `None` while there is none.
    pub fn per_s(&self) -> Option<f64> {
        self.stated.and_then(|stated| stated.per_s)
    }

    /// Takes over a statement unless a newer one is known. Returns whether the limit has changed.
    ///
    /// What a host has saved up under one limit holds under the next one; nothing is granted in retrospect.
    pub fn record(&mut self, statement: LimitStatement, now: BootInstant) -> bool {
        let is_old = |known: LimitStatement| known.said_at > statement.said_at;
        if self.stated.is_some_and(is_old) {
            return false;
        }
        self.refill(now);
        let before = self.per_s();
        if before.is_none() {
            self.level = 0.0;
        }
        if statement.per_s.is_some() {
            self.limited_at = Some(statement.said_at);
        }
        self.stated = Some(statement);
        self.probe_at = Some(self.next_probe(statement.said_at));
        before != statement.per_s
    }

    /// Whether this host's part has to be computed again before [`Self::has_room`].
    pub fn needs_share(&self, now: BootInstant) -> bool {
        let is_old = |at| now.since(at) >= SHARE_LIFETIME;
        self.per_s().is_some() && self.share_at.is_none_or(is_old)
    }

    /// Puts this host's part in force from now on.
    pub fn set_share(&mut self, share: SenderShare, now: BootInstant) {
        self.refill(now);
        self.share = share;
        self.share_at = Some(now);
    }

    /// Whether this host may send a request now.
    pub fn has_room(&mut self, now: BootInstant) -> bool {
        self.refill(now);
        self.per_s().is_none()
            || (self.has_room_in_window(now) && self.level >= 1.0)
            || self.probe_at.is_some_and(|probe_at| now >= probe_at)
    }

    /// Counts a request that is about to be sent.
    pub fn take(&mut self, now: BootInstant) {
        self.refill(now);
        if self.per_s().is_none() {
            return;
        }
        if self.has_room_in_window(now) && self.level >= 1.0 {
            self.level -= 1.0;
        } else {
            self.probe_at = Some(self.next_probe(now));
        }
        self.sent_at.push_back(now);
    }

    /// Takes back a request that did not reach the endpoint.
    pub fn give_back(&mut self) {
        if self.per_s().is_some() {
            self.level = (self.level + 1.0).min(self.max_level());
            self.sent_at.pop_back();
        }
    }

    /// Whether other hosts should hear what the endpoint has just said to this one: each second while it
    /// is limited and for a while after that, since datagrams get lost.
    pub fn is_news_due(&self, now: BootInstant) -> bool {
        let is_recent = |at| now.since(at) < END_NEWS_TIME;
        let matters = self.per_s().is_some() || self.limited_at.is_some_and(is_recent);
        let was_told = |at| now.since(at) < NEWS_INTERVAL;
        matters && !self.told_at.is_some_and(was_told)
    }

    /// Records that other hosts are told. Returns the newest statement.
    pub fn take_news(&mut self, now: BootInstant) -> Option<LimitStatement> {
        self.told_at = Some(now);
        self.stated
    }

    /// Time of the next request beyond this host's part. The hosts spread theirs so that all together
    /// stay within the limit.
    fn next_probe(&self, since: BootInstant) -> BootInstant {
        let limit = self.per_s().unwrap_or(0.0);
        let spread = self.share.hosts() as f64 / (limit * PROBE_PART);
        let spread = Duration::try_from_secs_f64(spread).unwrap_or(MAX_PROBE_SPREAD);
        since + PROBE_DELAY + spread.min(MAX_PROBE_SPREAD).mul_f64(self.share.position())
    }

    /// Adds what this host may send for the time since the last call.
    fn refill(&mut self, now: BootInstant) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        self.level = (self.level + self.own_rate() * elapsed.as_secs_f64()).min(self.max_level());
    }

    /// Whether the requests of the last [`WINDOW`] leave room for another one. They may have been sent under a
    /// higher limit, or when this host's part was larger.
    fn has_room_in_window(&mut self, now: BootInstant) -> bool {
        while self
            .sent_at
            .front()
            .is_some_and(|&at| now.since(at) >= WINDOW)
        {
            self.sent_at.pop_front();
        }
        let most = self.own_rate() * WINDOW.as_secs_f64() + self.max_level();
        self.sent_at.len() as f64 + 1.0 <= most
    }

    /// This host's part of the limit, in requests a second.
    fn own_rate(&self) -> f64 {
        self.per_s().unwrap_or(0.0) * self.share.part()
    }

    fn max_level(&self) -> f64 {
        (self.own_rate() * MAX_SAVED_TIME.as_secs_f64()).max(1.0)
    }
}

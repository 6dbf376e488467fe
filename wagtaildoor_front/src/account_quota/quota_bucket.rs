//! Copy of one account's token bucket: own grants at once, other hosts' as they report them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::service_config::QuotaRule;

/// What another host has granted to the account.
#[derive(Clone, Copy, Debug, Default)]
struct HostUsage {
    /// Sum in its last report.
    granted: u64,
    /// What was reserved for it while it was silent, in units.
    reserved: f64,
}

/// A token bucket of which each host has a copy.
///
/// The level falls with own grants at once and with those of other hosts when they report them, so
/// it may go below zero; such a debt is paid back before anything more is granted.
#[derive(Debug)]
pub struct QuotaBucket {
    rule: QuotaRule,
    /// Time over which the quota is judged; it bounds the debt.
    window: Duration,
    /// Units that may be granted now; negative while there is a debt.
    level: f64,
    updated_at: BootInstant,
    /// Units granted by this host, less those that were returned.
    granted: u64,
    /// The same at the last report to other hosts.
    reported: u64,
    /// When `granted` last changed.
    changed_at: Option<BootInstant>,
    /// When the sum was last reported.
    reported_at: BootInstant,
    others: HashMap<SocketAddr, HostUsage>,
    recent: RecentGrants,
}

/// Units that all hosts have granted lately.
#[derive(Debug)]
struct RecentGrants {
    /// Start of the present interval.
    since: BootInstant,
    /// Units of the present interval and of the one before.
    units: [f64; 2],
}

impl RecentGrants {
    /// Adds units, and begins a new interval if the present one is over.
    fn add(&mut self, units: f64, interval: Duration, now: BootInstant) {
        let elapsed = now.since(self.since);
        if elapsed >= interval {
            let before = if elapsed < interval * 2 {
                self.units[0]
            } else {
                0.0
            };
            self.units = [0.0, before];
            self.since = now;
        }
        self.units[0] += units;
    }

    /// Units of the last interval, or more.
    fn sum(&mut self, interval: Duration, now: BootInstant) -> f64 {
        self.add(0.0, interval, now);
        self.units.iter().sum()
    }
}

/// State of the group that decides how much of the inflow this host may grant from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView {
    /// Part of each quota that is not reserved for silent hosts, from 0 to 1.
    pub share: f64,
    /// Time without a datagram after which a host counts as silent.
    pub silence_limit: Duration,
}

impl QuotaBucket {
    /// Creates a bucket that was empty at `since` and that nobody has used from then on.
    pub fn new(
        rule: QuotaRule,
        window: Duration,
        since: BootInstant,
        share: f64,
        now: BootInstant,
    ) -> Self {
        let mut bucket = Self {
            rule,
            window,
            level: 0.0,
            updated_at: since,
            granted: 0,
            reported: 0,
            changed_at: None,
            reported_at: since,
            others: HashMap::new(),
            recent: RecentGrants {
                since,
                units: [0.0; 2],
            },
        };
        bucket.refill(share, now);
        bucket
    }

    /// Rule in force.
    pub fn rule(&self) -> &QuotaRule {
        &self.rule
    }

    /// Units that may be granted now; negative while there is a debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Puts another rule in force. A lower limit binds at once; a higher one grants nothing in
    /// retrospect.
    pub fn set_rule(&mut self, rule: QuotaRule, share: f64, now: BootInstant) {
        self.refill(share, now);
        self.rule = rule;
        self.level = self.level.min(rule.burst * share);
    }

    /// Adds what has flowed in since the last call. `share` is the part of the quota that is not
    /// reserved for silent hosts.
    pub fn refill(&mut self, share: f64, now: BootInstant) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let inflow = self.rule.rate_per_s * share * elapsed;
        self.level = (self.level + inflow).min(self.rule.burst * share);
    }

    /// Grants `cost` units, or returns the time until there are enough if nobody takes any meanwhile.
    ///
    /// A cost above the burst needs a full bucket and leaves a debt.
    ///
    /// # Errors
    ///
    /// Fails with that time if there are too few units.
    pub fn try_acquire(
        &mut self,
        cost: u64,
        view: QuotaView,
        now: BootInstant,
    ) -> std::result::Result<(), Duration> {
        let share = view.share;
        self.refill(share, now);
        let needed = (cost as f64).min(self.rule.burst * share);
        if self.level < needed {
            let rate = (self.rule.rate_per_s * share).max(f64::MIN_POSITIVE);
            let wait = (needed - self.level) / rate;
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX));
        }
        self.level -= cost as f64;
        self.granted += cost;
        self.recent.add(cost as f64, view.silence_limit, now);
        self.changed_at = Some(now);
        Ok(())
    }

    /// Takes back units that were granted to a request that did not run.
    pub fn give_back(&mut self, cost: u64, share: f64, now: BootInstant) {
        self.refill(share, now);
        self.granted = self.granted.saturating_sub(cost);
        self.level = (self.level + cost as f64).min(self.rule.burst * share);
        self.changed_at = Some(now);
    }

    /// Empties the bucket after this host stood still: what others granted meanwhile is not known,
    /// and was granted from the inflow of that time.
    pub fn restart(&mut self, now: BootInstant) {
        self.level = self.level.min(0.0);
        self.updated_at = now;
        self.others.clear();
    }

    /// Forgets the sums of a host whose process has ended.
    pub fn forget_host(&mut self, host: SocketAddr) {
        self.others.remove(&host);
    }

    /// Reserves a part of what there was to grant when a host was last heard, since it may have granted
    /// that meanwhile.
    pub fn begin_reservation(
        &mut self,
        host: SocketAddr,
        known_hosts: usize,
        view: QuotaView,
        now: BootInstant,
    ) {
        self.refill(view.share, now);
        let there_was = self.level + self.recent.sum(view.silence_limit, now);
        let part = there_was.max(0.0) / known_hosts as f64;
        self.level -= part;
        if let Some(usage) = self.others.get_mut(&host) {
            usage.reserved += part;
        }
    }

    /// Notes that a part of the inflow was reserved for a host that is heard again.
    pub fn end_reservation(&mut self, host: SocketAddr, reserved: Duration, known_hosts: usize) {
        if let Some(usage) = self.others.get_mut(&host) {
            let part = self.rule.rate_per_s / known_hosts as f64;
            usage.reserved += part * reserved.as_secs_f64();
        }
    }

    /// Applies a report of another host. `granted` is the sum of its grants since its start, `before`
    /// the same sum in its previous report, which counts where that report was not received.
    pub fn apply_report(
        &mut self,
        host: SocketAddr,
        before: u64,
        granted: u64,
        view: QuotaView,
        now: BootInstant,
    ) {
        let share = view.share;
        self.refill(share, now);
        let usage = self.others.entry(host).or_insert(HostUsage {
            granted: before,
            reserved: 0.0,
        });
        let used = granted as f64 - usage.granted as f64;
        let excess = used - std::mem::take(&mut usage.reserved);
        usage.granted = granted;
        self.recent.add(used.max(0.0), view.silence_limit, now);
        self.level = (self.level - excess).min(self.rule.burst * share);
        // A wrong report must not close the account for long.
        let largest_debt = self.rule.largest_cost(self.window);
        self.level = self.level.max(-largest_debt);
    }

    /// Whether other hosts should be told the sum: it has changed by `step` units, or they may have
    /// missed the last report.
    pub fn is_report_due(&self, step: f64, repeat: Duration, now: BootInstant) -> bool {
        let Some(changed_at) = self.changed_at else {
            return false;
        };
        let unreported = (self.granted as f64 - self.reported as f64).abs();
        let is_due_again = now.since(self.reported_at) >= repeat;
        // The last change is reported twice.
        unreported >= step || (is_due_again && now.since(changed_at) < repeat * 3)
    }

    /// Returns the sums before and now for a report.
    pub fn take_report(&mut self, now: BootInstant) -> (u64, u64) {
        let before = std::mem::replace(&mut self.reported, self.granted);
        self.reported_at = now;
        (before, self.granted)
    }
}

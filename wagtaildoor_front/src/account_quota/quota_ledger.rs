//! Decides on this host whether an account's request is within its quota over all hosts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::AccountId,
    schema::AccountUsage, //
};

use crate::{
    account_quota::{
        quota_bucket::{
            QuotaBucket,
            QuotaView, //
        },
        quota_hosts::{
            ProcessNumber,
            QuotaHosts, //
        },
    },
    prefix_hash,
    service_config::QuotaRule,
};

/// Result of asking for units.
pub type Result<T> = std::result::Result<T, QuotaRefusal>;

/// Gap between two calls from which on this host counts as having stood still. It ticks every 25 ms.
const MIN_PAUSE: Duration = Duration::from_millis(1_000);
/// Time after which the sum of an account in use is reported again, since datagrams get lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Part of the burst that all hosts together may have granted without having reported it, as a
/// divisor.
const UNREPORTED_DIVISOR: f64 = 20.0;

/// Why a request is not within its account's quota.
#[derive(Clone, Copy, Debug, PartialEq, derive_more::Display)]
pub enum QuotaRefusal {
    /// There will be enough units after a time.
    #[display(
        "beyond the account's quota: {cost} needed, {level:.0} left of {} and {}/s, {heard} of {known} hosts heard",
        rule.burst, rule.rate_per_s
    )]
    TooSoon {
        /// Units that the request costs.
        cost: u64,
        /// Units that are left; negative while there is a debt.
        level: f64,
        /// Rule in force.
        rule: QuotaRule,
        /// Hosts that are heard from, including this one.
        heard: usize,
        /// Hosts that grant from the quota, including this one.
        known: usize,
        /// Time until there are enough if no other request takes any.
        wait: Duration,
    },
    /// The quota can never hold the request.
    #[display("the request costs {cost}, more than the account's quota can ever grant at once ({largest:.0})")]
    TooLarge {
        /// Units that the request costs.
        cost: u64,
        /// Highest cost that the quota can hold.
        largest: f64,
    },
}

/// Copies of all accounts' buckets on this host.
#[derive(Debug)]
pub struct QuotaLedger {
    /// Accounts with a quota, by the hash of their id.
    rules: HashMap<u64, QuotaRule>,
    buckets: HashMap<u64, QuotaBucket>,
    hosts: QuotaHosts,
    /// Time over which quotas are judged.
    window: Duration,
    /// Time from which on this host knows what was granted.
    knows_since: BootInstant,
    last_call: BootInstant,
    /// When the last datagram was sent.
    reported_at: BootInstant,
    /// Units returned and not yet counted in the metrics.
    returned: u64,
}

impl QuotaLedger {
    /// Creates a ledger without quotas; `window` is the time over which they are judged.
    pub fn new(window: Duration, now: BootInstant) -> Self {
        Self {
            rules: HashMap::new(),
            buckets: HashMap::new(),
            hosts: QuotaHosts::default(),
            window,
            knows_since: now,
            last_call: now,
            reported_at: now,
            returned: 0,
        }
    }

    /// Whether any account has a quota.
    pub fn is_in_use(&self) -> bool {
        !self.rules.is_empty()
    }

    /// Other hosts that share the quotas, and which of them are heard from.
    pub fn hosts(&self) -> &QuotaHosts {
        &self.hosts
    }

    /// Puts the quotas of a configuration in force.
    pub fn set_rules<'a>(
        &mut self,
        rules: impl Iterator<Item = (&'a AccountId, QuotaRule)>,
        now: BootInstant,
    ) {
        self.notice_pause(now);
        if self.rules.is_empty() {
            self.knows_since = now;
        }
        self.rules = rules
            .map(|(id, rule)| (prefix_hash::text_hash(id), rule))
            .collect();
        let share = self.hosts.share();
        let rules = &self.rules;
        self.buckets
            .retain(|account, _| rules.contains_key(account));
        for (account, bucket) in &mut self.buckets {
            if *bucket.rule() != rules[account] {
                bucket.set_rule(rules[account], share, now);
            }
        }
    }

    /// Grants what a request costs. Returns the units granted; 0 for an account without a quota.
    ///
    /// # Errors
    ///
    /// Fails if the request is beyond the quota; it must not run then.
    pub fn try_acquire(
        &mut self,
        account: &AccountId,
        tokens: Option<u64>,
        now: BootInstant,
    ) -> Result<u64> {
        self.notice_pause(now);
        let key = prefix_hash::text_hash(account);
        let Some(rule) = self.rules.get(&key).copied() else {
            return Ok(0);
        };
        let cost = rule.cost(tokens);
        let largest = rule.largest_cost(self.window);
        if cost as f64 > largest {
            return Err(QuotaRefusal::TooLarge { cost, largest });
        }
        let view = self.view();
        let (heard, known) = (self.hosts.heard(), self.hosts.known());
        let bucket = self.bucket(key, rule, now);
        match bucket.try_acquire(cost, view, now) {
            Ok(()) => Ok(cost),
            Err(wait) => Err(QuotaRefusal::TooSoon {
                cost,
                level: bucket.level(),
                rule,
                heard,
                known,
                wait,
            }),
        }
    }

    /// Takes back units of a request that did not run.
    pub fn give_back(&mut self, account: &AccountId, cost: u64, now: BootInstant) {
        self.notice_pause(now);
        let share = self.hosts.share();
        if let Some(bucket) = self.buckets.get_mut(&prefix_hash::text_hash(account)) {
            bucket.give_back(cost, share, now);
            self.returned += cost;
        }
    }

    /// Keeps time and looks for silent hosts; to be called every 25 ms. Returns whether hosts that
    /// share quotas have become silent.
    pub fn tick(&mut self, now: BootInstant) -> bool {
        self.notice_pause(now);
        // What flowed in until now did so under the share before.
        let view = self.view();
        let silenced = self.hosts.update_silence(now);
        let known = self.hosts.known();
        for &host in &silenced {
            for bucket in self.buckets.values_mut() {
                bucket.begin_reservation(host, known, view, now);
            }
        }
        !silenced.is_empty() && self.is_in_use()
    }

    /// Takes over the other known hosts.
    pub fn set_members(&mut self, members: impl Iterator<Item = SocketAddr>, now: BootInstant) {
        self.hosts.set_members(members, now);
    }

    /// Applies a datagram of another host.
    pub fn record_contact(
        &mut self,
        host: SocketAddr,
        process: ProcessNumber,
        usage: &[AccountUsage],
        now: BootInstant,
    ) {
        self.notice_pause(now);
        let share_before = self.hosts.share();
        let seen = self.hosts.record_contact(host, process, now);
        let known = self.hosts.known();
        if seen.is_new_process || !seen.reserved_for.is_zero() {
            for bucket in self.buckets.values_mut() {
                bucket.refill(share_before, now);
                if seen.is_new_process {
                    bucket.forget_host(host);
                } else {
                    bucket.end_reservation(host, seen.reserved_for, known);
                }
            }
        }
        let view = self.view();
        for report in usage {
            if let Some(rule) = self.rules.get(&report.account).copied() {
                let bucket = self.bucket(report.account, rule, now);
                bucket.apply_report(host, report.before, report.granted, view, now);
            }
        }
    }

    /// Whether other hosts should get a datagram: to be told of grants, or to hear that this host is
    /// alive.
    pub fn is_datagram_due(&self, now: BootInstant) -> bool {
        let mut buckets = self.buckets.values();
        let is_heartbeat_due = now.since(self.reported_at) >= self.hosts.heartbeat_interval();
        self.is_in_use()
            && (is_heartbeat_due || buckets.any(|bucket| self.is_report_due(bucket, now)))
    }

    /// Removes and returns the units that requests returned since the last call.
    pub fn take_returned(&mut self) -> u64 {
        std::mem::take(&mut self.returned)
    }

    /// Removes and returns up to `limit` reports for the other hosts.
    pub fn take_reports(&mut self, limit: usize, now: BootInstant) -> Vec<AccountUsage> {
        self.reported_at = now;
        let buckets = self.buckets.iter();
        let due = buckets.filter(|(_, bucket)| self.is_report_due(bucket, now));
        let due: Vec<u64> = due.map(|(&account, _)| account).take(limit).collect();
        let reports = due.into_iter().filter_map(|account| {
            let (before, granted) = self.buckets.get_mut(&account)?.take_report(now);
            Some(AccountUsage {
                account,
                before,
                granted,
            })
        });
        reports.collect()
    }

    fn view(&self) -> QuotaView {
        QuotaView {
            share: self.hosts.share(),
            silence_limit: self.hosts.silence_limit(),
        }
    }

    fn is_report_due(&self, bucket: &QuotaBucket, now: BootInstant) -> bool {
        let step = bucket.rule().burst / (UNREPORTED_DIVISOR * self.hosts.known() as f64);
        bucket.is_report_due(step.max(1.0), REPEAT_INTERVAL, now)
    }

    /// Bucket of an account; a new one fills from the time on from which this host knows what was
    /// granted.
    fn bucket(&mut self, account: u64, rule: QuotaRule, now: BootInstant) -> &mut QuotaBucket {
        let (window, since, share) = (self.window, self.knows_since, self.hosts.share());
        let buckets = self.buckets.entry(account);
        buckets.or_insert_with(|| QuotaBucket::new(rule, window, since, share, now))
    }

    /// Empties all buckets if this host has just stood still.
    fn notice_pause(&mut self, now: BootInstant) {
        let last_call = std::mem::replace(&mut self.last_call, now);
        if now.since(last_call) < MIN_PAUSE {
            return;
        }
        self.knows_since = now;
        self.hosts.restart_silence(now);
        for bucket in self.buckets.values_mut() {
            bucket.restart(now);
        }
    }
}

//! Hosts as values that share the quota of one account, with links between them that fail.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::{
    boot_clock::BootInstant,
    ids::AccountId,
    schema::AccountUsage, //
};
use wagtaildoor_front::{
    account_quota::quota_ledger::QuotaLedger,
    service_config::QuotaRule, //
};

/// Step of the clock; hosts collect reports for as long.
const STEP_MS: u64 = 25;
/// Interval at which hosts take over the list of hosts.
const LIST_MS: u64 = 1_000;
/// Longest way of a datagram, in steps; some take the whole of it.
const LONGEST_DELAY: u64 = 4;
/// Time that a host needs to restart.
const RESTART_MS: u64 = 1_500;
/// Time until a started host is asked for anything.
const READY_MS: u64 = 1_500;
/// Window over which quotas are judged.
const WINDOW: Duration = Duration::from_secs(8);
/// Costs of requests, in units.
const COSTS: [u64; 4] = [700, 1_800, 6_600, 24_000];

/// A datagram on its way.
struct Datagram {
    to: usize,
    from: usize,
    process: u64,
    usage: Vec<AccountUsage>,
    arrives_ms: u64,
}

struct FleetHost {
    ledger: QuotaLedger,
    process: u64,
    /// Units that its callers ask for and that have not made up a request yet.
    due: f64,
    /// Time from which on callers reach it.
    ready_ms: u64,
    /// Time until which it is down.
    down_until_ms: u64,
}

/// Hosts that share a quota.
pub struct QuotaFleet {
    account: AccountId,
    rule: QuotaRule,
    hosts: Vec<FleetHost>,
    datagrams: Vec<Datagram>,
    now_ms: u64,
    random: u64,
    group: Vec<usize>,
    frozen: Vec<bool>,
    loss: f64,
    grants: Vec<(u64, u64)>,
    asked: f64,
}

impl QuotaFleet {
    /// Starts hosts that have heard of each other.
    pub fn new(count: usize, rule: QuotaRule, seed: u64) -> Self {
        let mut fleet = Self {
            account: "account".into(),
            rule,
            hosts: Vec::new(),
            datagrams: Vec::new(),
            now_ms: 1_000,
            random: seed.wrapping_mul(2).wrapping_add(1),
            group: vec![0; count],
            frozen: vec![false; count],
            loss: 0.0,
            grants: Vec::new(),
            asked: 0.0,
        };
        for process in 0..count {
            let host = fleet.start_host(process as u64);
            fleet.hosts.push(host);
        }
        fleet.run(4_000, |_, _| 0.0);
        fleet
    }

    /// Lets time pass; `demand` gives the units a second that a host is asked for.
    pub fn run(&mut self, length_ms: u64, demand: impl Fn(usize, u64) -> f64) {
        let end_ms = self.now_ms + length_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            for host in 0..self.hosts.len() {
                self.step_host(host, demand(host, self.now_ms));
            }
        }
    }

    /// Cuts the links between groups of hosts.
    pub fn cut(&mut self, group: impl Fn(usize) -> usize) {
        self.group = (0..self.hosts.len()).map(group).collect();
    }

    /// Suspends hosts, and wakes all others.
    pub fn freeze(&mut self, is_frozen: impl Fn(usize) -> bool) {
        self.frozen = (0..self.hosts.len()).map(is_frozen).collect();
    }

    /// Kills processes; they start again.
    pub fn restart(&mut self, is_killed: impl Fn(usize) -> bool) {
        for host in (0..self.hosts.len()).filter(|&host| is_killed(host)) {
            let process = self.hosts[host].process + 1_000;
            let mut started = self.start_host(process);
            started.down_until_ms = self.now_ms + RESTART_MS;
            started.ready_ms = started.down_until_ms + READY_MS;
            self.hosts[host] = started;
        }
    }

    /// Loses this share of the datagrams.
    pub fn lose(&mut self, share: f64) {
        self.loss = share;
    }

    /// Puts another quota in force everywhere.
    pub fn set_rule(&mut self, rule: QuotaRule) {
        self.rule = rule;
        let now = self.now();
        for host in &mut self.hosts {
            let rules = [(&self.account, rule)];
            host.ledger.set_rules(rules.into_iter(), now);
        }
    }

    /// Forgets what was granted so far.
    pub fn forget_grants(&mut self) {
        self.grants.clear();
    }

    /// Units granted so far.
    pub fn granted(&self) -> f64 {
        self.grants.iter().map(|&(_, units)| units as f64).sum()
    }

    /// Units asked for so far.
    pub fn asked(&self) -> f64 {
        self.asked
    }

    /// Most units that were granted within any window of this length.
    pub fn largest_window(&self, window: Duration) -> f64 {
        let window_ms = window.as_millis() as u64;
        let (mut first, mut sum, mut largest) = (0, 0, 0);
        for &(at_ms, units) in &self.grants {
            sum += units;
            while self.grants[first].0 + window_ms <= at_ms {
                sum -= self.grants[first].1;
                first += 1;
            }
            largest = largest.max(sum);
        }
        largest as f64
    }

    fn start_host(&self, process: u64) -> FleetHost {
        let now = self.now();
        let mut ledger = QuotaLedger::new(WINDOW, now);
        ledger.set_rules([(&self.account, self.rule)].into_iter(), now);
        FleetHost {
            ledger,
            process,
            due: 0.0,
            ready_ms: 0,
            down_until_ms: 0,
        }
    }

    fn step_host(&mut self, index: usize, demand: f64) {
        let now = self.now();
        let now_ms = self.now_ms;
        let host = &self.hosts[index];
        if self.frozen[index] || now_ms < host.down_until_ms {
            return;
        }
        let count = self.hosts.len();
        let others = (0..count).filter(|&other| other != index).map(address);
        let ledger = &mut self.hosts[index].ledger;
        ledger.tick(now);
        if now_ms % LIST_MS < STEP_MS {
            ledger.set_members(others, now);
        }
        if now_ms >= self.hosts[index].ready_ms {
            self.ask(index, demand);
        }
        let host = &mut self.hosts[index];
        if host.ledger.is_datagram_due(now) {
            let usage = host.ledger.take_reports(40, now);
            let process = host.process;
            for to in (0..count).filter(|&to| to != index) {
                let delay = self.draw() % LONGEST_DELAY + 1;
                let is_lost = (self.draw() % 1_000) as f64 / 1_000.0 < self.loss;
                if !is_lost && self.group[to] == self.group[index] {
                    self.datagrams.push(Datagram {
                        to,
                        from: index,
                        process,
                        usage: usage.clone(),
                        arrives_ms: now_ms + delay * STEP_MS,
                    });
                }
            }
        }
    }

    /// Asks a host for the requests of one step.
    fn ask(&mut self, index: usize, demand: f64) {
        let now = self.now();
        self.hosts[index].due += demand * STEP_MS as f64 / 1_000.0;
        loop {
            let cost = COSTS[(self.draw() % COSTS.len() as u64) as usize];
            let host = &mut self.hosts[index];
            if host.due < cost as f64 {
                return;
            }
            host.due -= cost as f64;
            self.asked += cost as f64;
            let granted = host.ledger.try_acquire(&self.account, Some(cost), now);
            if granted.is_ok() {
                self.grants.push((self.now_ms, cost));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        let (due, later) = std::mem::take(&mut self.datagrams)
            .into_iter()
            .partition(|datagram| datagram.arrives_ms <= self.now_ms);
        self.datagrams = later;
        let due: Vec<Datagram> = due;
        for datagram in due {
            let host = &mut self.hosts[datagram.to];
            if !self.frozen[datagram.to] && self.now_ms >= host.down_until_ms {
                let (from, usage) = (address(datagram.from), &datagram.usage);
                let ledger = &mut host.ledger;
                ledger.record_contact(from, datagram.process, usage, now);
            }
        }
    }

    fn now(&self) -> BootInstant {
        BootInstant::ZERO + Duration::from_millis(self.now_ms)
    }

    /// Next number of a xorshift generator.
    fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 11
    }
}

/// Address of a host.
fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8 + 1], 7_000))
}

//! Whom a member probes next.

use std::net::SocketAddr;

use rand::{
    rngs::StdRng,
    seq::{
        IndexedRandom,
        SliceRandom, //
    },
};

use crate::{
    ids::{
        DomainId,
        HostId, //
    },
    peer_table::{
        PeerRecord,
        PeerTable, //
    },
    schema::PeerState,
};

/// Hosts of each failure domain that exchange summaries with the others.
const DELEGATES: usize = 2;
/// Other hosts in a failure domain from which on it watches itself; a smaller one is watched by
/// all.
const OWN_WATCH_HOSTS: usize = 3;
/// Hosts asked to probe in place of this one.
const HELPERS: usize = 3;

/// Chooses whom to probe.
#[derive(Default)]
pub struct ProbeOrder {
    /// Hosts left in this round.
    round: Vec<HostId>,
    /// Failure domains left in this round.
    domains: Vec<DomainId>,
    /// Place in the list of seeds.
    seed: usize,
}

impl ProbeOrder {
    /// The next host to probe; each is probed once a round.
    pub fn next(&mut self, table: &PeerTable, random: &mut StdRng) -> Option<HostId> {
        if self.round.is_empty() {
            self.round = watched(table);
            self.round.sort_unstable();
            self.round.shuffle(random);
        }
        while let Some(host) = self.round.pop() {
            if table.get(&host).is_some_and(is_here) {
                return Some(host);
            }
        }
        None
    }

    /// A host of the next other failure domain, when this host is one of those that ask there.
    pub fn next_remote(&mut self, table: &PeerTable, random: &mut StdRng) -> Option<HostId> {
        if !is_delegate(table) {
            return None;
        }
        let own = &table.own().domain;
        if self.domains.is_empty() {
            let others = table.peers().map(|record| &record.rumour.domain);
            self.domains = others.filter(|domain| *domain != own).cloned().collect();
            self.domains.sort_unstable();
            self.domains.dedup();
            self.domains.shuffle(random);
        }
        let domain = self.domains.pop()?;
        let there = |record: &&PeerRecord| record.rumour.domain == domain;
        let known = |record: &&PeerRecord| there(record) && is_here(record);
        // A failure domain that was cut off may be back.
        pick(table, random, known).or_else(|| pick(table, random, there))
    }

    /// The next seed at which no live host is known.
    pub fn next_seed(&mut self, seeds: &[SocketAddr], table: &PeerTable) -> Option<SocketAddr> {
        for _ in 0..seeds.len() {
            self.seed = (self.seed + 1) % seeds.len();
            let seed = seeds[self.seed];
            let known = |record: &PeerRecord| record.rumour.address == seed && is_here(record);
            if seed != table.own().address && !table.peers().any(known) {
                return Some(seed);
            }
        }
        None
    }
}

/// Hosts that can probe in place of this one, near ones first.
pub fn helpers(table: &PeerTable, target: &str, random: &mut StdRng) -> Vec<SocketAddr> {
    let able = |record: &&PeerRecord| {
        record.rumour.state == PeerState::Alive && *record.rumour.host != *target
    };
    let mut records: Vec<&PeerRecord> = table.peers().filter(able).collect();
    records.sort_unstable_by(|left, right| left.rumour.host.cmp(&right.rumour.host));
    records.shuffle(random);
    let domain = &table.own().domain;
    records.sort_by_key(|record| record.rumour.domain != *domain);
    let chosen = records.into_iter().take(HELPERS);
    chosen.map(|record| record.rumour.address).collect()
}

/// Some hosts to tell something at once: near ones, and one elsewhere if this host asks there.
pub fn listeners(table: &PeerTable, count: usize, random: &mut StdRng) -> Vec<HostId> {
    let own = &table.own().domain;
    let here = table.peers().filter(|record| is_here(record));
    let (near, far): (Vec<_>, Vec<_>) = here.partition(|record| record.rumour.domain == *own);
    let far_count = if is_delegate(table) { count } else { 0 };
    let near = near.choose_multiple(random, count).copied();
    let near: Vec<&PeerRecord> = near.collect();
    let far = far.choose_multiple(random, far_count).copied();
    let chosen = near.into_iter().chain(far);
    chosen.map(|record| record.rumour.host.clone()).collect()
}

/// A host that is gone, in case it is back.
pub fn gone_host(table: &PeerTable, random: &mut StdRng) -> Option<HostId> {
    pick(table, random, |record| {
        record.rumour.state == PeerState::Gone
    })
}

/// Hosts that this host watches: those of its failure domain, or all when these are few.
fn watched(table: &PeerTable) -> Vec<HostId> {
    let own = &table.own().domain;
    let here = || table.peers().filter(|record| is_here(record));
    let near = here().filter(|record| record.rumour.domain == *own).count();
    let chosen = here().filter(|record| near < OWN_WATCH_HOSTS || record.rumour.domain == *own);
    chosen.map(|record| record.rumour.host.clone()).collect()
}

/// Whether this host is one of those of its failure domain that exchange summaries.
fn is_delegate(table: &PeerTable) -> bool {
    let own = table.own();
    let before = |record: &&PeerRecord| {
        let rumour = &record.rumour;
        rumour.domain == own.domain && rumour.state == PeerState::Alive && rumour.host < own.host
    };
    table.peers().filter(before).count() < DELEGATES
}

/// Whether a host is not gone.
fn is_here(record: &PeerRecord) -> bool {
    record.rumour.state != PeerState::Gone
}

/// A random host among some.
fn pick(
    table: &PeerTable,
    random: &mut StdRng,
    among: impl Fn(&&PeerRecord) -> bool,
) -> Option<HostId> {
    let mut hosts: Vec<&HostId> = table
        .peers()
        .filter(|record| among(record))
        .map(|record| &record.rumour.host)
        .collect();
    hosts.sort_unstable();
    hosts.choose(random).map(|host| (*host).clone())
}

//! Selection of the hosts to probe and to inform.

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

/// Hosts of each failure domain that exchange summaries with the other failure domains.
const DELEGATES_PER_DOMAIN: usize = 2;
/// Minimum number of other present hosts in a failure domain for it to probe only its own hosts.
///
/// The hosts of a smaller failure domain probe all hosts.
const MIN_DOMAIN_PEERS: usize = 3;
/// Hosts that are asked to probe a host in place of this one.
const INDIRECT_PROBE_HOSTS: usize = 3;

/// Order in which hosts, failure domains and seeds are probed.
#[derive(Default)]
pub struct ProbeSchedule {
    /// Hosts still to be probed in this round.
    remaining_hosts: Vec<HostId>,
    /// Failure domains still to be probed in this round.
    remaining_domains: Vec<DomainId>,
    /// Index of the last probed seed.
    seed_index: usize,
}

impl ProbeSchedule {
    /// Returns the next host to probe; each host is probed once per round, in random order.
    pub fn next_host(&mut self, table: &PeerTable, rng: &mut StdRng) -> Option<HostId> {
        if self.remaining_hosts.is_empty() {
            self.remaining_hosts = probed_hosts(table);
            self.remaining_hosts.sort_unstable();
            self.remaining_hosts.shuffle(rng);
        }
        while let Some(host) = self.remaining_hosts.pop() {
            if table.get(&host).is_some_and(is_present) {
                return Some(host);
            }
        }
        None
    }

    /// Returns a host of the next other failure domain, or `None` if this host isn't a delegate.
    pub fn next_remote(&mut self, table: &PeerTable, rng: &mut StdRng) -> Option<HostId> {
        if !is_delegate(table) {
            return None;
        }
        let own = &table.own().domain;
        if self.remaining_domains.is_empty() {
            let others = table.peers().map(|record| &record.rumour.domain);
            self.remaining_domains = others.filter(|domain| *domain != own).cloned().collect();
            self.remaining_domains.sort_unstable();
            self.remaining_domains.dedup();
            self.remaining_domains.shuffle(rng);
        }
        let domain = self.remaining_domains.pop()?;
        let is_in_domain = |record: &&PeerRecord| record.rumour.domain == domain;
        let known = |record: &&PeerRecord| is_in_domain(record) && is_present(record);
        // If all hosts of the failure domain count as gone, probe one anyway: it may have only
        // been unreachable.
        choose_host(table, rng, known).or_else(|| choose_host(table, rng, is_in_domain))
    }

    /// Returns the next seed at which no live host is known.
    pub fn next_seed(&mut self, seeds: &[SocketAddr], table: &PeerTable) -> Option<SocketAddr> {
        for _ in 0..seeds.len() {
            self.seed_index = (self.seed_index + 1) % seeds.len();
            let seed = seeds[self.seed_index];
            let known = |record: &PeerRecord| record.rumour.address == seed && is_present(record);
            if seed != table.own().address && !table.peers().any(known) {
                return Some(seed);
            }
        }
        None
    }
}

/// Selects hosts to probe `target` in place of this one, preferring the own failure domain.
pub fn select_indirect_probers(
    table: &PeerTable,
    target: &str,
    rng: &mut StdRng,
) -> Vec<SocketAddr> {
    let can_probe = |record: &&PeerRecord| {
        record.rumour.state == PeerState::Alive && *record.rumour.host != *target
    };
    let mut records: Vec<&PeerRecord> = table.peers().filter(can_probe).collect();
    records.sort_unstable_by(|left, right| left.rumour.host.cmp(&right.rumour.host));
    records.shuffle(rng);
    let domain = &table.own().domain;
    records.sort_by_key(|record| record.rumour.domain != *domain);
    let chosen = records.into_iter().take(INDIRECT_PROBE_HOSTS);
    chosen.map(|record| record.rumour.address).collect()
}

/// Selects hosts to inform at once: up to `count` in the own failure domain and, if this host is a
/// delegate, up to `count` in the others.
pub fn select_gossip_targets(table: &PeerTable, count: usize, rng: &mut StdRng) -> Vec<HostId> {
    let own = &table.own().domain;
    let present = table.peers().filter(|record| is_present(record));
    let (local, remote): (Vec<_>, Vec<_>) =
        present.partition(|record| record.rumour.domain == *own);
    let remote_count = if is_delegate(table) { count } else { 0 };
    let local = local.choose_multiple(rng, count).copied();
    let local: Vec<&PeerRecord> = local.collect();
    let remote = remote.choose_multiple(rng, remote_count).copied();
    let chosen = local.into_iter().chain(remote);
    chosen.map(|record| record.rumour.host.clone()).collect()
}

/// Selects a host that is gone, to find out whether it has returned.
pub fn select_gone_host(table: &PeerTable, rng: &mut StdRng) -> Option<HostId> {
    choose_host(table, rng, |record| record.rumour.state == PeerState::Gone)
}

/// Returns the hosts to probe: those of the own failure domain, or all if these are too few.
fn probed_hosts(table: &PeerTable) -> Vec<HostId> {
    let own = &table.own().domain;
    let present = || table.peers().filter(|record| is_present(record));
    let local = present()
        .filter(|record| record.rumour.domain == *own)
        .count();
    let chosen =
        present().filter(|record| local < MIN_DOMAIN_PEERS || record.rumour.domain == *own);
    chosen.map(|record| record.rumour.host.clone()).collect()
}

/// Returns whether this host exchanges summaries with other failure domains.
///
/// The delegates of a failure domain are its first live hosts in the order of names.
fn is_delegate(table: &PeerTable) -> bool {
    let own = table.own();
    let precedes_own = |record: &&PeerRecord| {
        let rumour = &record.rumour;
        rumour.domain == own.domain && rumour.state == PeerState::Alive && rumour.host < own.host
    };
    table.peers().filter(precedes_own).count() < DELEGATES_PER_DOMAIN
}

fn is_present(record: &PeerRecord) -> bool {
    record.rumour.state != PeerState::Gone
}

/// Chooses a random host among the candidates.
fn choose_host(
    table: &PeerTable,
    rng: &mut StdRng,
    is_candidate: impl Fn(&&PeerRecord) -> bool,
) -> Option<HostId> {
    let mut hosts: Vec<&HostId> = table
        .peers()
        .filter(|record| is_candidate(record))
        .map(|record| &record.rumour.host)
        .collect();
    hosts.sort_unstable();
    hosts.choose(rng).map(|host| (*host).clone())
}

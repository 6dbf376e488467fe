//! Hosts known to this one, from the group's list and from datagrams of other hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::control_store::GroupMember;

/// Time after which a host is removed that is neither listed nor sends datagrams; as long as three
/// datagrams take in the largest groups.
const FORGET_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after its last datagram for which a host counts as alive in a small group. Hosts send one
/// each second there, and two may be lost.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of hosts for which each host sends a datagram every second. In larger groups, hosts send
/// them less often, so that the number that each receives stays bounded.
const HOSTS_PER_SIZE_FACTOR: usize = 100;
/// Largest factor by which that interval grows.
const MAX_SIZE_FACTOR: u32 = 4;

/// A known host.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PeerHost {
    member: GroupMember,
    /// Whether the host was in the last list of the group.
    is_listed: bool,
    /// When the host was last listed or sent a datagram, or was first named by another host.
    last_seen_at: BootInstant,
    /// When the host itself last sent a datagram.
    last_datagram_at: Option<BootInstant>,
}

/// Destination of a hint datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HintTarget {
    /// Address to send the datagram to.
    pub address: SocketAddr,
    /// Whether the receiver forwards the hint to the other hosts of its failure domain.
    pub is_forwarder: bool,
}

/// Known hosts of the group, including this one.
#[derive(Debug, Default)]
pub struct PeerHosts {
    hosts: Vec<PeerHost>,
    /// Whether a list of the group's hosts was applied.
    has_list: bool,
}

impl PeerHosts {
    /// Applies a complete list of the group's hosts. Unlisted hosts that were seen less than
    /// [`FORGET_TIMEOUT`] ago are kept.
    pub fn apply_group_list(&mut self, members: Vec<GroupMember>, now: BootInstant) {
        self.has_list = true;
        for host in &mut self.hosts {
            host.is_listed = false;
        }
        for member in members {
            self.upsert_host(member, true, now);
        }
        self.remove_expired(now);
    }

    /// Records a datagram from a host; returns whether the host was unknown.
    pub fn record_contact(&mut self, member: &GroupMember, now: BootInstant) -> bool {
        let is_new = self.upsert_host(member.clone(), false, now);
        if let Some(host) = self.hosts.iter_mut().find(|host| host.member == *member) {
            host.last_datagram_at = Some(now);
        }
        self.remove_expired(now);
        is_new
    }

    /// Adds a host named by another one. A known host is not refreshed; otherwise the hosts would
    /// keep a stopped one alive by naming it to each other.
    pub fn add_gossiped(&mut self, member: GroupMember, now: BootInstant) {
        if !self.members().any(|known| *known == member) {
            self.upsert_host(member, false, now);
        }
    }

    /// Hosts that may be named to others: those that are listed or sent a datagram recently.
    pub fn confirmed_members(&self, now: BootInstant) -> impl Iterator<Item = &GroupMember> {
        let timeout = CONFIRMATION_TIMEOUT * self.size_factor();
        let hosts = self.hosts.iter();
        let hosts = hosts.filter(move |host| host.is_confirmed(now, timeout));
        hosts.map(|host| &host.member)
    }

    /// Destinations of this host's next hint: all hosts of its failure domain, and one host of each
    /// other domain, which forwards it there. A link between domains thus carries each hint once,
    /// whatever the number of hosts. The forwarder changes with each `round`, so that a failed one
    /// loses only a share of the hints.
    pub fn hint_targets(
        &self,
        own: &GroupMember,
        round: usize,
        now: BootInstant,
    ) -> Vec<HintTarget> {
        let mut others: BTreeMap<&str, Vec<&PeerHost>> = BTreeMap::new();
        let mut targets = Vec::new();
        for host in self.hosts.iter().filter(|host| host.member != *own) {
            if host.member.domain == own.domain {
                targets.push(HintTarget {
                    address: host.member.address,
                    is_forwarder: false,
                });
            } else {
                others.entry(&host.member.domain).or_default().push(host);
            }
        }
        let timeout = CONFIRMATION_TIMEOUT * self.size_factor();
        for hosts in others.values_mut() {
            if hosts.iter().any(|host| host.is_confirmed(now, timeout)) {
                hosts.retain(|host| host.is_confirmed(now, timeout));
            }
            targets.push(HintTarget {
                address: hosts[round % hosts.len()].member.address,
                is_forwarder: true,
            });
        }
        targets
    }

    /// Factor by which intervals between datagrams are longer than in a small group.
    pub fn size_factor(&self) -> u32 {
        let factor = 1 + self.hosts.len() / HOSTS_PER_SIZE_FACTOR;
        u32::try_from(factor)
            .unwrap_or(MAX_SIZE_FACTOR)
            .min(MAX_SIZE_FACTOR)
    }

    /// All known hosts, including this one if it is listed.
    pub fn members(&self) -> impl Iterator<Item = &GroupMember> {
        self.hosts.iter().map(|host| &host.member)
    }

    /// Addresses of all known hosts.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members().map(|member| member.address)
    }

    /// Whether a list of the group's hosts was applied, so that more than those heard so far are known.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Number of known hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Adds or refreshes a host; returns whether it was added. A host that shares its name or its
    /// address with an older entry replaces that entry.
    fn upsert_host(&mut self, member: GroupMember, is_listed: bool, now: BootInstant) -> bool {
        let known = self.hosts.iter_mut().find(|host| host.member == member);
        if let Some(host) = known {
            host.is_listed |= is_listed;
            host.last_seen_at = now;
            return false;
        }
        self.hosts.retain(|host| {
            host.member.host != member.host && host.member.address != member.address
        });
        self.hosts.push(PeerHost {
            member,
            is_listed,
            last_seen_at: now,
            last_datagram_at: None,
        });
        true
    }

    /// Removes hosts that are not listed and were not seen for [`FORGET_TIMEOUT`].
    fn remove_expired(&mut self, now: BootInstant) {
        let is_kept =
            |host: &PeerHost| host.is_listed || now.since(host.last_seen_at) < FORGET_TIMEOUT;
        self.hosts.retain(is_kept);
    }
}

impl PeerHost {
    /// Whether the host is listed or sent a datagram recently.
    fn is_confirmed(&self, now: BootInstant, timeout: Duration) -> bool {
        let is_active = self
            .last_datagram_at
            .is_some_and(|at| now.since(at) < timeout);
        self.is_listed || is_active
    }
}

//! Other hosts of the front, as the group lists them and as their hints show them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::control_store::GroupMember;

/// Time after which a host is forgotten that is neither listed nor heard.
const FORGET_TIME: Duration = Duration::from_secs(12);
/// Time after its last own word for which a host is vouched for; hosts send one each second, and
/// two may be lost.
const VOUCH_TIME: Duration = Duration::from_secs(3);

/// A host.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PeerHost {
    /// Name and address.
    member: GroupMember,
    /// Whether the group listed it last time.
    is_listed: bool,
    /// When it was last listed or heard, or first named by another.
    seen_at: BootInstant,
    /// When it last spoke itself.
    spoke_at: Option<BootInstant>,
}

/// Where a hint goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HintTarget {
    /// Address.
    pub address: SocketAddr,
    /// Whether it passes the hint on to the hosts of its failure domain.
    pub is_forwarder: bool,
}

/// Hosts of the group, this one included.
#[derive(Debug, Default)]
pub struct PeerHosts {
    /// Hosts.
    hosts: Vec<PeerHost>,
}

impl PeerHosts {
    /// Takes over the group's list.
    pub fn apply_group_list(&mut self, members: Vec<GroupMember>, now: BootInstant) {
        for host in &mut self.hosts {
            host.is_listed = false;
        }
        for member in members {
            self.see(member, true, now);
        }
        self.forget(now);
    }

    /// Takes a host's own word; tells whether it was not known.
    pub fn record_contact(&mut self, member: &GroupMember, now: BootInstant) -> bool {
        let is_new = self.see(member.clone(), false, now);
        if let Some(host) = self.hosts.iter_mut().find(|host| host.member == *member) {
            host.spoke_at = Some(now);
        }
        self.forget(now);
        is_new
    }

    /// Takes another host's word that there is this one. It does not keep a host that is known,
    /// or hosts would keep one that is gone by naming it to each other.
    pub fn add_gossiped(&mut self, member: GroupMember, now: BootInstant) {
        if !self.members().any(|known| *known == member) {
            self.see(member, false, now);
        }
    }

    /// Hosts that this one may name to others: they are listed, or spoke of late.
    pub fn confirmed_members(&self, now: BootInstant) -> impl Iterator<Item = &GroupMember> {
        let hosts = self.hosts.iter().filter(move |host| host.is_confirmed(now));
        hosts.map(|host| &host.member)
    }

    /// Where this host's next hint goes: to all hosts of its failure domain, and to one of each
    /// other, which passes it on. So a link between domains carries each hint once, whatever the
    /// number of hosts; the one that passes it on changes with each `round`, so that one that
    /// fails costs a share of the hints only.
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
        for hosts in others.values_mut() {
            if hosts.iter().any(|host| host.is_confirmed(now)) {
                hosts.retain(|host| host.is_confirmed(now));
            }
            targets.push(HintTarget {
                address: hosts[round % hosts.len()].member.address,
                is_forwarder: true,
            });
        }
        targets
    }

    /// All hosts.
    pub fn members(&self) -> impl Iterator<Item = &GroupMember> {
        self.hosts.iter().map(|host| &host.member)
    }

    /// Addresses of all hosts.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members().map(|member| member.address)
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Notes a host; one that comes back under its name at another address replaces the old one.
    fn see(&mut self, member: GroupMember, is_listed: bool, now: BootInstant) -> bool {
        let known = self.hosts.iter_mut().find(|host| host.member == member);
        if let Some(host) = known {
            host.is_listed |= is_listed;
            host.seen_at = now;
            return false;
        }
        self.hosts.retain(|host| {
            host.member.host != member.host && host.member.address != member.address
        });
        self.hosts.push(PeerHost {
            member,
            is_listed,
            seen_at: now,
            spoke_at: None,
        });
        true
    }

    /// Forgets hosts that are neither listed nor heard.
    fn forget(&mut self, now: BootInstant) {
        let is_kept = |host: &PeerHost| host.is_listed || now.since(host.seen_at) < FORGET_TIME;
        self.hosts.retain(is_kept);
    }
}

impl PeerHost {
    /// Whether it is listed, or spoke of late.
    fn is_confirmed(&self, now: BootInstant) -> bool {
        let spoke = self.spoke_at.is_some_and(|at| now.since(at) < VOUCH_TIME);
        self.is_listed || spoke
    }
}

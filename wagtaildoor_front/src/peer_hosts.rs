//! Other hosts of the front, as the group lists them and as their hints show them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::control_store::GroupMember;

/// Time after which a host is forgotten that is neither listed nor heard.
const FORGET_TIME: Duration = Duration::from_secs(12);

/// A host.
#[derive(Clone, Debug, Eq, PartialEq)]
struct PeerHost {
    /// Name and address.
    member: GroupMember,
    /// Whether the group listed it last time.
    is_listed: bool,
    /// When it was last listed or heard.
    seen_at: BootInstant,
}

/// Hosts of the group, this one included.
#[derive(Debug, Default)]
pub struct PeerHosts {
    /// Hosts.
    hosts: Vec<PeerHost>,
}

impl PeerHosts {
    /// Takes over the group's list.
    pub fn listed(&mut self, members: Vec<GroupMember>, now: BootInstant) {
        for host in &mut self.hosts {
            host.is_listed = false;
        }
        for member in members {
            self.see(member, true, now);
        }
        self.forget(now);
    }

    /// Takes a sign of a host; tells whether it was not known.
    pub fn heard(&mut self, member: GroupMember, now: BootInstant) -> bool {
        let is_new = self.see(member, false, now);
        self.forget(now);
        is_new
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
        });
        true
    }

    /// Forgets hosts that are neither listed nor heard.
    fn forget(&mut self, now: BootInstant) {
        let is_kept = |host: &PeerHost| host.is_listed || now.since(host.seen_at) < FORGET_TIME;
        self.hosts.retain(is_kept);
    }
}

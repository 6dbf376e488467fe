//! Which hosts are heard from, and the share of a quota that this host may grant from.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

/// Time after which a host sends a datagram without any reports, in a small group.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Number of heartbeat intervals without a datagram of a host after which a part of each quota is
/// reserved for it. Until then, hosts that cannot hear each other may grant the same inflow.
const SILENT_INTERVALS: u32 = 3;
/// Number of hosts by which the heartbeat interval grows by its length in a small group, so that the
/// number of datagrams that each host receives stays bounded.
const HOSTS_PER_INTERVAL: usize = 30;
/// Time for which that part stays reserved for a host that is neither heard from nor listed. A cut
/// of links does not last longer; a host that is gone for good holds back its part as long.
const RESERVATION_TIME: Duration = Duration::from_secs(30);

/// Number of a process, which differs between the starts of a host.
pub type ProcessNumber = u64;

/// What is known of another host.
#[derive(Clone, Copy, Debug)]
struct HostContact {
    /// Process that sent the last datagram; `None` before the first.
    process: Option<ProcessNumber>,
    /// When the last datagram came, or when the host was first named.
    heard_at: BootInstant,
    /// When the host was last listed, or last sent a datagram.
    known_at: BootInstant,
    /// Whether a part of each quota is reserved for it.
    is_silent: bool,
}

impl HostContact {
    /// A host of which nothing was heard yet.
    fn new(now: BootInstant) -> Self {
        Self {
            process: None,
            heard_at: now,
            known_at: now,
            is_silent: false,
        }
    }
}

/// What the first datagram after a while shows of its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostReturn {
    /// Whether it is another process than the one heard before, so that its counts began anew.
    pub is_new_process: bool,
    /// Time for which a part of each quota was reserved for it.
    pub reserved_for: Duration,
}

/// The other hosts that grant from the same quotas.
#[derive(Debug, Default)]
pub struct QuotaHosts {
    others: HashMap<SocketAddr, HostContact>,
}

impl QuotaHosts {
    /// Takes over the other known hosts.
    pub fn set_members(&mut self, members: impl Iterator<Item = SocketAddr>, now: BootInstant) {
        for address in members {
            let contact = self.others.entry(address);
            contact.or_insert_with(|| HostContact::new(now)).known_at = now;
        }
        self.others
            .retain(|_, contact| now.since(contact.known_at) < RESERVATION_TIME);
    }

    /// Records a datagram of a host.
    pub fn record_contact(
        &mut self,
        host: SocketAddr,
        process: ProcessNumber,
        now: BootInstant,
    ) -> HostReturn {
        let limit = self.silence_limit();
        let contact = self.others.entry(host);
        let contact = contact.or_insert_with(|| HostContact::new(now));
        let silence = now.since(contact.heard_at);
        let seen = HostReturn {
            is_new_process: contact.process.is_some_and(|known| known != process),
            reserved_for: match contact.is_silent {
                true => silence.saturating_sub(limit),
                false => Duration::ZERO,
            },
        };
        *contact = HostContact {
            process: Some(process),
            ..HostContact::new(now)
        };
        seen
    }

    /// Returns the hosts that have become silent.
    pub fn update_silence(&mut self, now: BootInstant) -> Vec<SocketAddr> {
        let limit = self.silence_limit();
        let others = self.others.iter_mut();
        let silenced = others
            .filter(|(_, contact)| !contact.is_silent && now.since(contact.heard_at) >= limit);
        let silenced = silenced.map(|(&address, contact)| {
            contact.is_silent = true;
            address
        });
        silenced.collect()
    }

    /// Starts all hosts' silence anew, after this host itself stood still.
    pub fn restart_silence(&mut self, now: BootInstant) {
        for contact in self.others.values_mut() {
            contact.heard_at = now;
            contact.is_silent = false;
        }
    }

    /// Number of hosts that grant from the quotas, including this one.
    pub fn known(&self) -> usize {
        self.others.len() + 1
    }

    /// Number of hosts that are heard from, including this one.
    pub fn heard(&self) -> usize {
        let others = self.others.values();
        1 + others.filter(|contact| !contact.is_silent).count()
    }

    /// Share of each quota for which no silent host has a part, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.heard() as f64 / self.known() as f64
    }

    /// Time after which this host should send a datagram, whether or not it has reports.
    pub fn heartbeat_interval(&self) -> Duration {
        let factor = 1 + self.others.len() / HOSTS_PER_INTERVAL;
        HEARTBEAT_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX)
    }

    /// Time without a datagram after which a host counts as silent.
    pub fn silence_limit(&self) -> Duration {
        self.heartbeat_interval() * SILENT_INTERVALS
    }
}

//! Publication of the known hosts.

use tokio::time::Instant;

use super::{
    MemberTask,
    DOMAIN_TIMEOUT_PERIODS, //
};
use crate::{
    datagram_transport::DatagramTransport,
    peer_table::PeerRecord,
    schema::{
        HostView,
        PeerRumour,
        PeerState, //
    },
};

impl<P: DatagramTransport> MemberTask<P> {
    /// Returns the newest configuration sequence that any known host holds.
    pub(super) fn newest_sequence(&self) -> u64 {
        let others = self.table.peers().map(|peer| peer.rumour.head.sequence);
        let newest = others.max().unwrap_or(0);
        newest.max(self.table.own().head.sequence)
    }

    /// Publishes the known hosts if they have changed.
    pub(super) fn publish_hosts(&mut self) {
        let now = Instant::now();
        let is_isolated = self.is_isolated(now);
        let others = self.table.peers();
        let mut hosts: Vec<HostView> = others
            .map(|peer| host_view(&peer.rumour, !is_isolated && self.is_alive(peer, now)))
            .collect();
        hosts.push(host_view(self.table.own(), true));
        hosts.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        self.hosts.send_if_modified(|held| {
            let changed = *held != hosts;
            *held = hosts;
            changed
        });
    }

    /// Returns whether a host is not gone and its failure domain is reachable.
    pub(super) fn is_alive(&self, peer: &PeerRecord, now: Instant) -> bool {
        let domain = &peer.rumour.domain;
        let timeout = self.context.settings.probe_interval * DOMAIN_TIMEOUT_PERIODS;
        let last_contact = self.domain_contacts.get(domain);
        let is_recent =
            last_contact.is_some_and(|contact| now.saturating_duration_since(*contact) < timeout);
        let is_reachable = *domain == self.table.own().domain || is_recent;
        is_reachable && peer.rumour.state != PeerState::Gone
    }
}

/// Converts a rumour into the view of a host.
fn host_view(rumour: &PeerRumour, alive: bool) -> HostView {
    HostView {
        alive,
        domain: rumour.domain.clone(),
        entries: rumour.entries,
        head: rumour.head.clone(),
        id: rumour.host.clone(),
        operators: rumour.operators,
    }
}

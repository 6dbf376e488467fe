//! What a member shows of the hosts it knows.

use tokio::time::Instant;

use super::{
    MemberTask,
    REACH_PERIODS, //
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
    /// Newest configuration that any host is known to hold.
    pub(super) fn newest_sequence(&self) -> u64 {
        let others = self.table.peers().map(|peer| peer.rumour.head.sequence);
        let newest = others.max().unwrap_or(0);
        newest.max(self.table.own().head.sequence)
    }

    /// Shows the hosts as they are now known.
    pub(super) fn show(&mut self) {
        let now = Instant::now();
        let isolated = self.is_isolated(now);
        let others = self.table.peers();
        let mut hosts: Vec<HostView> = others
            .map(|peer| host_view(&peer.rumour, !isolated && self.is_alive(peer, now)))
            .collect();
        hosts.push(host_view(self.table.own(), true));
        hosts.sort_unstable_by(|left, right| left.id.cmp(&right.id));
        self.hosts.send_if_modified(|held| {
            let changed = *held != hosts;
            *held = hosts;
            changed
        });
    }

    /// Whether a host is there, as far as its failure domain can be heard.
    pub(super) fn is_alive(&self, peer: &PeerRecord, now: Instant) -> bool {
        let domain = &peer.rumour.domain;
        let limit = self.parts.settings.probe_interval * REACH_PERIODS;
        let heard = self.reach.get(domain);
        let heard = heard.is_some_and(|heard| now.saturating_duration_since(*heard) < limit);
        let reached = *domain == self.table.own().domain || heard;
        reached && peer.rumour.state != PeerState::Gone
    }
}

/// What others see of a host.
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

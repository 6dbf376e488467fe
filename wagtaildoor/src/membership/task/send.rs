//! Sending of probes and other frames.

use std::net::SocketAddr;

use tokio::time::Instant;

use super::{
    MemberTask,
    PendingProbe,
    INDIRECT_PROBE_DIVISOR,
    JOIN_PERIODS, //
    JOIN_SEED_PROBES,
};
use crate::{
    datagram_transport::DatagramTransport,
    ids::HostId,
    membership::{
        payload::{
            PayloadBuilder,
            PayloadKind, //
        },
        probe_targets,
    },
    schema::{
        DomainReach,
        PeerFrame,
        PeerProbe, //
    },
};

impl<P: DatagramTransport> MemberTask<P> {
    /// Sends the probe of this period.
    pub(super) async fn start_probe(&mut self, host: HostId, now: Instant) {
        let Some(number) = self.send_ping(&host, PayloadKind::Regular).await else {
            return;
        };
        let delay = self.context.settings.probe_interval / INDIRECT_PROBE_DIVISOR;
        self.pending_probe = Some(PendingProbe {
            number,
            host,
            indirect_probe_at: Some(now + delay),
        });
    }

    /// Asks other hosts to probe the host that has not acknowledged yet.
    pub(super) async fn probe_indirectly(&mut self) {
        let Some(probe) = &mut self.pending_probe else {
            return;
        };
        probe.indirect_probe_at = None;
        let number = probe.number;
        let host = probe.host.clone();
        for address in probe_targets::select_indirect_probers(&self.table, &host, &mut self.rng) {
            let probe = self.make_probe(number, &host, "", PayloadKind::Regular);
            self.send_frame(PeerFrame::PingRequest(probe), address)
                .await;
        }
    }

    /// Pings a known host; returns the probe number, or `None` if the host is unknown.
    pub(super) async fn send_ping(&mut self, host: &HostId, kind: PayloadKind) -> Option<u64> {
        let address = self.table.get(host)?.rumour.address;
        self.last_probe_number += 1;
        let number = self.last_probe_number;
        let probe = self.make_probe(number, host, host, kind);
        self.send_frame(PeerFrame::Ping(probe), address).await;
        Some(number)
    }

    /// Pings seeds at which no live host is known.
    ///
    /// A new member also requests a summary from one known host.
    pub(super) async fn ping_seeds(&mut self) {
        let has_no_peers = self.table.peers().next().is_none();
        let count = if has_no_peers { JOIN_SEED_PROBES } else { 1 };
        for _ in 0..count.min(self.seeds.len()) {
            if let Some(seed) = self.schedule.next_seed(&self.seeds, &self.table) {
                self.ping_address(seed).await;
            }
        }
        if self.period_count <= JOIN_PERIODS {
            let known = probe_targets::select_gossip_targets(&self.table, 1, &mut self.rng);
            let known = known.first().and_then(|host| self.table.get(host));
            if let Some(address) = known.map(|record| record.rumour.address) {
                self.ping_address(address).await;
            }
        }
    }

    /// Pings the host at an address, which replies with a summary.
    pub(super) async fn ping_address(&mut self, address: SocketAddr) {
        self.last_probe_number += 1;
        let probe = self.make_probe(self.last_probe_number, "", "", PayloadKind::Regular);
        self.send_frame(PeerFrame::Ping(probe), address).await;
    }

    /// Pings some peers at once, which carries this host's new state to them.
    ///
    /// `count` applies to each group that `select_gossip_targets` draws from.
    pub(super) async fn gossip_to_peers(&mut self, count: usize) {
        for host in probe_targets::select_gossip_targets(&self.table, count, &mut self.rng) {
            self.send_ping(&host, PayloadKind::Regular).await;
        }
    }

    /// Builds a probe or acknowledgement with its payload.
    pub(super) fn make_probe(
        &mut self,
        number: u64,
        target: &str,
        receiver: &str,
        kind: PayloadKind,
    ) -> PeerProbe {
        let reach = self.domain_reach();
        let stamp = self.clock().now();
        let builder = PayloadBuilder {
            table: &self.table,
            queue: &mut self.queue,
            rng: &mut self.rng,
        };
        let payload = builder.build(receiver, kind, reach);
        PeerProbe {
            from: self.table.own().host.clone(),
            number,
            reach: payload.reach,
            rumours: payload.rumours,
            stamp,
            target: target.into(),
        }
    }

    /// Returns the time since the last contact with each other failure domain.
    pub(super) fn domain_reach(&self) -> Vec<DomainReach> {
        let now = Instant::now();
        let ages = self
            .domain_contacts
            .iter()
            .map(|(domain, last_contact)| DomainReach {
                age_ms: now.saturating_duration_since(*last_contact).as_millis() as u64,
                domain: domain.clone(),
            });
        ages.collect()
    }

    /// Sends a frame. Errors are ignored, like the loss of a datagram in the network.
    pub(super) async fn send_frame(&self, frame: PeerFrame, to: SocketAddr) {
        let Ok(datagram) = self.context.codec.encode(&frame) else {
            return;
        };
        self.context.counts.add_sent(datagram.len());
        let _ = self.context.transport.send(datagram, to).await;
    }
}

//! What a member sends.

use std::net::SocketAddr;

use tokio::time::Instant;

use super::{
    MemberTask,
    OpenProbe,
    FIRST_SEEDS,
    INDIRECT_SHARE,
    JOIN_PERIODS, //
};
use crate::{
    datagram_transport::DatagramTransport,
    ids::HostId,
    membership::{
        payload::{
            PayloadBuilder,
            PayloadKind, //
        },
        prober,
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
        let Some(number) = self.ping(&host, PayloadKind::Usual).await else {
            return;
        };
        let wait = self.parts.settings.probe_interval / INDIRECT_SHARE;
        self.probe = Some(OpenProbe {
            number,
            host,
            indirect_at: Some(now + wait),
        });
    }

    /// Asks others to probe the host that has not answered yet.
    pub(super) async fn probe_indirectly(&mut self) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        probe.indirect_at = None;
        let number = probe.number;
        let host = probe.host.clone();
        for address in prober::helpers(&self.table, &host, &mut self.random) {
            let probe = self.make_probe(number, &host, "", PayloadKind::Usual);
            self.send(PeerFrame::PingRequest(probe), address).await;
        }
    }

    /// Probes a known host; gives the number of the probe.
    pub(super) async fn ping(&mut self, host: &HostId, kind: PayloadKind) -> Option<u64> {
        let address = self.table.get(host)?.rumour.address;
        self.number += 1;
        let number = self.number;
        let probe = self.make_probe(number, host, host, kind);
        self.send(PeerFrame::Ping(probe), address).await;
        Some(number)
    }

    /// Probes seeds at which no live host is known; a new member also asks one it knows.
    pub(super) async fn ping_seeds(&mut self) {
        let alone = self.table.peers().next().is_none();
        let count = if alone { FIRST_SEEDS } else { 1 };
        for _ in 0..count.min(self.seeds.len()) {
            if let Some(seed) = self.order.next_seed(&self.seeds, &self.table) {
                self.ping_address(seed).await;
            }
        }
        if self.period <= JOIN_PERIODS {
            let known = prober::listeners(&self.table, 1, &mut self.random);
            let known = known.first().and_then(|host| self.table.get(host));
            if let Some(address) = known.map(|record| record.rumour.address) {
                self.ping_address(address).await;
            }
        }
    }

    /// Probes whichever host has an address; it answers with a summary.
    pub(super) async fn ping_address(&mut self, address: SocketAddr) {
        self.number += 1;
        let probe = self.make_probe(self.number, "", "", PayloadKind::Usual);
        self.send(PeerFrame::Ping(probe), address).await;
    }

    /// Tells some peers at once what is new of this host.
    pub(super) async fn tell(&mut self, count: usize) {
        for host in prober::listeners(&self.table, count, &mut self.random) {
            self.ping(&host, PayloadKind::Usual).await;
        }
    }

    /// A probe or answer with its payload.
    pub(super) fn make_probe(
        &mut self,
        number: u64,
        target: &str,
        receiver: &str,
        kind: PayloadKind,
    ) -> PeerProbe {
        let reach = self.reach_now();
        let stamp = self.clock().now();
        let builder = PayloadBuilder {
            table: &self.table,
            queue: &mut self.queue,
            random: &mut self.random,
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

    /// When each other failure domain was last heard.
    pub(super) fn reach_now(&self) -> Vec<DomainReach> {
        let now = Instant::now();
        let ages = self.reach.iter().map(|(domain, heard)| DomainReach {
            age_ms: now.saturating_duration_since(*heard).as_millis() as u64,
            domain: domain.clone(),
        });
        ages.collect()
    }

    /// Sends a frame; a datagram that is lost here is like one lost on the way.
    pub(super) async fn send(&self, frame: PeerFrame, to: SocketAddr) {
        let Ok(datagram) = self.parts.seal.seal(&frame) else {
            return;
        };
        self.parts.counts.add_sent(datagram.len());
        let _ = self.parts.port.send(datagram, to).await;
    }
}

//! Handling of received datagrams.

use std::net::SocketAddr;

use tokio::time::{
    Duration,
    Instant, //
};

use super::{
    MemberTask,
    RelayedProbe,
    MAX_RELAYED_PROBES, //
};
use crate::{
    datagram_transport::{
        DatagramTransport,
        ReceivedDatagram, //
    },
    ids::DomainId,
    membership::payload::PayloadKind,
    peer_datagram::StampFreshness,
    peer_table::RumourEffect,
    schema::{
        EventKind,
        PeerFrame,
        PeerProbe,
        PeerRumour,
        PeerState, //
    },
};

impl<P: DatagramTransport> MemberTask<P> {
    /// Validates a datagram, applies its payload and handles its frame.
    ///
    /// A stale ping is acknowledged too, so that its sender learns the current time.
    pub(super) async fn handle_datagram(&mut self, datagram: ReceivedDatagram) {
        self.context.counts.add_received(datagram.bytes.len());
        let Ok(frame) = self.context.codec.decode(&datagram.bytes) else {
            self.context.counts.add_dropped();
            return;
        };
        let (PeerFrame::Ping(probe) | PeerFrame::Ack(probe) | PeerFrame::PingRequest(probe)) =
            &frame;
        if probe.from == self.table.own().host {
            self.context.counts.add_dropped();
            return;
        }
        let is_fresh = self.check_replay(probe) == StampFreshness::Fresh;
        if is_fresh {
            self.apply_probe(probe);
        } else {
            self.context.counts.add_stale();
        }
        match frame {
            PeerFrame::Ping(probe) => self.handle_ping(probe, datagram.from).await,
            PeerFrame::Ack(probe) if is_fresh => self.handle_ack(probe).await,
            PeerFrame::PingRequest(probe) if is_fresh => {
                self.handle_ping_request(probe, datagram.from).await
            }
            PeerFrame::Ack(_) | PeerFrame::PingRequest(_) => {}
        }
    }

    /// Checks the stamp of a probe for freshness and merges it into the local clock.
    pub(super) fn check_replay(&mut self, probe: &PeerProbe) -> StampFreshness {
        let now = self.clock().now();
        let verdict = self.replay_filter.check(&probe.from, &probe.stamp, &now);
        self.clock().observe(probe.stamp.clone());
        verdict
    }

    /// Applies the payload of a fresh datagram.
    pub(super) fn apply_probe(&mut self, probe: &PeerProbe) {
        let now = Instant::now();
        if self.is_isolated(now) {
            self.table.reset_suspicions(now);
        }
        self.last_contact = now;
        let newest = self.newest_sequence();
        let mut hosts_changed = false;
        for rumour in &probe.rumours {
            hosts_changed |= self.apply_rumour(rumour, now);
        }
        for reach in &probe.reach {
            let age = Duration::from_millis(reach.age_ms);
            if let Some(last_contact) = now.checked_sub(age) {
                self.record_domain_contact(&reach.domain, last_contact);
            }
        }
        let domain = self
            .table
            .get(&probe.from)
            .map(|peer| peer.rumour.domain.clone());
        if let Some(domain) = domain {
            self.record_domain_contact(&domain, now);
        }
        hosts_changed |= self.table.clear_suspicion(&probe.from, now);
        if hosts_changed || self.newest_sequence() > newest {
            self.publish_hosts();
        }
    }

    /// Records a contact with another failure domain.
    pub(super) fn record_domain_contact(&mut self, domain: &DomainId, last_contact: Instant) {
        if *domain == self.table.own().domain {
            return;
        }
        let newest = self
            .domain_contacts
            .entry(domain.clone())
            .or_insert(last_contact);
        *newest = last_contact.max(*newest);
    }

    /// Applies a rumour; returns true if it changed the state of a host.
    pub(super) fn apply_rumour(&mut self, rumour: &PeerRumour, now: Instant) -> bool {
        let before = self.table.get(&rumour.host).map(|peer| peer.rumour.state);
        let effect = self.table.apply(rumour.clone(), now);
        match effect {
            RumourEffect::Known | RumourEffect::NewHead => return false,
            RumourEffect::NewState => {
                self.record_state_change(before, rumour);
                self.queue.push(rumour.host.clone());
            }
            RumourEffect::Refuted => self.queue.push(rumour.host.clone()),
        }
        true
    }

    /// Acknowledges a ping that is addressed to this host or to any host.
    pub(super) async fn handle_ping(&mut self, probe: PeerProbe, from: SocketAddr) {
        let own = self.table.own();
        let is_untargeted = probe.target.is_empty();
        if !is_untargeted && probe.target != own.host {
            self.context.counts.add_dropped();
            return;
        }
        let sender = self.table.get(&probe.from);
        let is_remote = sender.is_some_and(|peer| peer.rumour.domain != own.domain);
        let kind = match is_untargeted || is_remote {
            true => PayloadKind::Summary,
            false => PayloadKind::Regular,
        };
        let target = own.host.clone();
        let ack = self.make_probe(probe.number, &target, &probe.from, kind);
        self.send_frame(PeerFrame::Ack(ack), from).await;
    }

    /// Handles the acknowledgement of a probe from this host, including relayed ones.
    pub(super) async fn handle_ack(&mut self, ack: PeerProbe) {
        let pending = self.pending_probe.as_ref();
        if pending.is_some_and(|pending| pending.number == ack.number && pending.host == ack.target)
        {
            self.pending_probe = None;
            self.table.clear_suspicion(&ack.target, Instant::now());
        }
        self.finish_leave();
        if let Some(relay) = self.relayed_probes.remove(&ack.number) {
            let forwarded = self.make_probe(relay.number, &ack.target, "", PayloadKind::Regular);
            self.send_frame(PeerFrame::Ack(forwarded), relay.requester)
                .await;
        }
    }

    /// Probes a host on behalf of another host.
    pub(super) async fn handle_ping_request(&mut self, request: PeerProbe, requester: SocketAddr) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let Some(number) = self.send_ping(&request.target, PayloadKind::Regular).await else {
            return;
        };
        let relay = RelayedProbe {
            requester,
            number: request.number,
            requested_at: Instant::now(),
        };
        self.relayed_probes.insert(number, relay);
    }

    /// Records the state change of a host in the event timeline.
    pub(super) fn record_state_change(&self, before: Option<PeerState>, rumour: &PeerRumour) {
        let host = &rumour.host;
        let is_present = |state| state != PeerState::Gone;
        match (before, rumour.state) {
            (Some(before), PeerState::Gone) if is_present(before) => {
                self.record_event(EventKind::PeerGone, host, "is gone according to peers");
            }
            (Some(PeerState::Alive), PeerState::Suspect) => {
                self.record_event(EventKind::PeerSuspected, host, "is suspected by peers");
            }
            (None | Some(PeerState::Gone), state) if is_present(state) => {
                self.record_event(EventKind::PeerJoined, host, "joined");
            }
            _ => {}
        }
    }
}

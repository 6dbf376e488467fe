//! What a member does with the datagrams that come in.

use std::net::SocketAddr;

use tokio::time::{
    Duration,
    Instant, //
};

use super::{
    MemberTask,
    RelayedProbe,
    RELAY_LIMIT, //
};
use crate::{
    datagram_transport::{
        DatagramTransport,
        ReceivedDatagram, //
    },
    ids::DomainId,
    membership::payload::PayloadKind,
    peer_datagram::StampVerdict,
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
    /// Takes a datagram in.
    pub(super) async fn take(&mut self, datagram: ReceivedDatagram) {
        self.parts.counts.add_received(datagram.bytes.len());
        let Ok(frame) = self.parts.seal.open(&datagram.bytes) else {
            self.parts.counts.add_dropped();
            return;
        };
        let (PeerFrame::Ping(probe) | PeerFrame::Ack(probe) | PeerFrame::PingRequest(probe)) =
            &frame;
        if probe.from == self.table.own().host {
            self.parts.counts.add_dropped();
            return;
        }
        let fresh = self.judge(probe) == StampVerdict::Fresh;
        if fresh {
            self.learn(probe);
        } else {
            self.parts.counts.add_stale();
        }
        match frame {
            PeerFrame::Ping(probe) => self.answer(probe, datagram.from).await,
            PeerFrame::Ack(probe) if fresh => self.take_answer(probe).await,
            PeerFrame::PingRequest(probe) if fresh => self.relay(probe, datagram.from).await,
            PeerFrame::Ack(_) | PeerFrame::PingRequest(_) => {}
        }
    }

    /// Judges the stamp of a probe, and takes over its time.
    pub(super) fn judge(&mut self, probe: &PeerProbe) -> StampVerdict {
        let now = self.clock().now();
        let verdict = self.stamps.judge(&probe.from, &probe.stamp, &now);
        self.clock().observe(probe.stamp.clone());
        verdict
    }

    /// Takes in what a fresh datagram says.
    pub(super) fn learn(&mut self, probe: &PeerProbe) {
        let now = Instant::now();
        if self.is_isolated(now) {
            self.table.acquit_all(now);
        }
        self.heard = now;
        let newest = self.newest_sequence();
        let mut news = false;
        for rumour in &probe.rumours {
            news |= self.take_rumour(rumour, now);
        }
        for reach in &probe.reach {
            let age = Duration::from_millis(reach.age_ms);
            if let Some(heard) = now.checked_sub(age) {
                self.hear(&reach.domain, heard);
            }
        }
        let domain = self
            .table
            .get(&probe.from)
            .map(|peer| peer.rumour.domain.clone());
        if let Some(domain) = domain {
            self.hear(&domain, now);
        }
        news |= self.table.acquit(&probe.from, now);
        if news || self.newest_sequence() > newest {
            self.show();
        }
    }

    /// Notes that a failure domain was heard.
    pub(super) fn hear(&mut self, domain: &DomainId, heard: Instant) {
        if *domain == self.table.own().domain {
            return;
        }
        let newest = self.reach.entry(domain.clone()).or_insert(heard);
        *newest = heard.max(*newest);
    }

    /// Takes a rumour in; true when a state changed.
    pub(super) fn take_rumour(&mut self, rumour: &PeerRumour, now: Instant) -> bool {
        let before = self.table.get(&rumour.host).map(|peer| peer.rumour.state);
        let effect = self.table.take(rumour.clone(), now);
        match effect {
            RumourEffect::Known | RumourEffect::NewHead => return false,
            RumourEffect::NewState => {
                self.note_change(before, rumour);
                self.queue.push(rumour.host.clone());
            }
            RumourEffect::Refuted => self.queue.push(rumour.host.clone()),
        }
        true
    }

    /// Answers a probe that is meant for this host.
    pub(super) async fn answer(&mut self, probe: PeerProbe, from: SocketAddr) {
        let own = self.table.own();
        let to_anyone = probe.target.is_empty();
        if !to_anyone && probe.target != own.host {
            self.parts.counts.add_dropped();
            return;
        }
        let sender = self.table.get(&probe.from);
        let elsewhere = sender.is_some_and(|peer| peer.rumour.domain != own.domain);
        let kind = match to_anyone || elsewhere {
            true => PayloadKind::Summary,
            false => PayloadKind::Usual,
        };
        let target = own.host.clone();
        let answer = self.make_probe(probe.number, &target, &probe.from, kind);
        self.send(PeerFrame::Ack(answer), from).await;
    }

    /// Takes the answer to a probe of this host, or to one it sent for another.
    pub(super) async fn take_answer(&mut self, answer: PeerProbe) {
        let open = self.probe.as_ref();
        if open.is_some_and(|open| open.number == answer.number && open.host == answer.target) {
            self.probe = None;
            self.table.acquit(&answer.target, Instant::now());
        }
        self.end_leaving();
        if let Some(relay) = self.relays.remove(&answer.number) {
            let passed = self.make_probe(relay.number, &answer.target, "", PayloadKind::Usual);
            self.send(PeerFrame::Ack(passed), relay.requester).await;
        }
    }

    /// Probes a host for another one.
    pub(super) async fn relay(&mut self, request: PeerProbe, requester: SocketAddr) {
        if self.relays.len() >= RELAY_LIMIT {
            return;
        }
        let Some(number) = self.ping(&request.target, PayloadKind::Usual).await else {
            return;
        };
        let relay = RelayedProbe {
            requester,
            number: request.number,
            since: Instant::now(),
        };
        self.relays.insert(number, relay);
    }

    /// Notes in the time line what a rumour changed.
    pub(super) fn note_change(&self, before: Option<PeerState>, rumour: &PeerRumour) {
        let host = &rumour.host;
        let here = |state| state != PeerState::Gone;
        match (before, rumour.state) {
            (Some(before), PeerState::Gone) if here(before) => {
                self.note(EventKind::PeerGone, host, "is gone, peers say");
            }
            (Some(PeerState::Alive), PeerState::Suspect) => {
                self.note(EventKind::PeerSuspected, host, "is suspected by peers");
            }
            (None | Some(PeerState::Gone), state) if here(state) => {
                self.note(EventKind::PeerJoined, host, "is there");
            }
            _ => {}
        }
    }
}

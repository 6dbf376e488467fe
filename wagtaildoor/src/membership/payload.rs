//! Payload of a probe or its acknowledgement: new rumours first, then samples of the known hosts.

use rand::{
    rngs::StdRng,
    seq::{
        IndexedRandom,
        SliceRandom, //
    },
};

use crate::{
    frame,
    peer_datagram::{
        MAC_BYTES, //
        MAX_DATAGRAM_BYTES,
    },
    peer_table::{
        PeerRecord,
        PeerTable, //
    },
    rumour_queue::RumourQueue,
    schema::{
        DomainReach,
        PeerRumour,
        PeerState, //
    },
};

/// Bytes reserved for everything but rumours and reach: two names of up to 64 bytes each, version,
/// variant, number, stamp and lengths.
const PROBE_HEADER_BYTES: usize = 200;
/// Maximum encoded size of the failure domains' contact times.
const MAX_REACH_BYTES: usize = 300;
/// Known hosts included in each datagram besides the queued rumours, to make up for lost datagrams.
const SAMPLED_HOSTS: usize = 1;

/// How many known hosts a datagram describes besides the queued rumours.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PayloadKind {
    /// `SAMPLED_HOSTS` hosts.
    Regular,
    /// As many as fit, for a receiver that is new or in another failure domain.
    Summary,
}

/// Rumours and failure domain contacts of one datagram.
pub struct ProbePayload {
    /// Rumours; the first describes the sender itself.
    pub rumours: Vec<PeerRumour>,
    /// Time since the last contact with each failure domain.
    pub reach: Vec<DomainReach>,
}

/// Collects rumours up to the size limit of a datagram.
pub struct PayloadBuilder<'a> {
    /// Known hosts.
    pub table: &'a PeerTable,
    /// Rumours to be passed on.
    pub queue: &'a mut RumourQueue,
    /// Selects the sampled hosts.
    pub rng: &'a mut StdRng,
}

impl PayloadBuilder<'_> {
    /// Builds the payload for `receiver`, whose name is empty if it isn't known.
    pub fn build(self, receiver: &str, kind: PayloadKind, reach: Vec<DomainReach>) -> ProbePayload {
        let reach = truncate_reach(reach);
        let used = PROBE_HEADER_BYTES + MAC_BYTES + encoded_size(&reach);
        let mut buffer = RumourBuffer {
            free_bytes: MAX_DATAGRAM_BYTES.saturating_sub(used),
            rumours: Vec::new(),
        };
        buffer.try_push(self.table.own());
        // If the receiver isn't considered alive, it must learn so, to refute the rumour.
        let held = self.table.get(receiver);
        let held = held.filter(|record| record.rumour.state != PeerState::Alive);
        if let Some(record) = held {
            buffer.try_push(&record.rumour);
        }
        let host_count = self.table.peers().count() + 1;
        for host in self.queue.hosts_by_send_count() {
            if let Some(rumour) = self.table.latest_rumour(&host) {
                if buffer.try_push(rumour) {
                    self.queue.record_send(&host, host_count);
                }
            }
        }
        for record in sample_hosts(self.table, kind, self.rng) {
            if !buffer.try_push(&record.rumour) {
                break;
            }
        }
        ProbePayload {
            rumours: buffer.rumours,
            reach,
        }
    }
}

/// Rumours collected for a datagram.
struct RumourBuffer {
    /// Bytes left in the datagram.
    free_bytes: usize,
    rumours: Vec<PeerRumour>,
}

impl RumourBuffer {
    /// Adds a rumour; returns false if it does not fit. A second rumour about a host is skipped.
    fn try_push(&mut self, rumour: &PeerRumour) -> bool {
        if self.rumours.iter().any(|other| other.host == rumour.host) {
            return true;
        }
        let size = encoded_size(rumour);
        if size > self.free_bytes {
            return false;
        }
        self.free_bytes -= size;
        self.rumours.push(rumour.clone());
        true
    }
}

/// Returns known hosts in random order: a few, or all with the own failure domain first.
fn sample_hosts<'a>(
    table: &'a PeerTable,
    kind: PayloadKind,
    rng: &mut StdRng,
) -> Vec<&'a PeerRecord> {
    let is_present = |record: &&PeerRecord| record.rumour.state != PeerState::Gone;
    let mut known: Vec<&PeerRecord> = table.peers().filter(is_present).collect();
    known.sort_unstable_by(|left, right| left.rumour.host.cmp(&right.rumour.host));
    match kind {
        PayloadKind::Regular => {
            let chosen = known.choose_multiple(rng, SAMPLED_HOSTS);
            chosen.copied().collect()
        }
        PayloadKind::Summary => {
            let domain = &table.own().domain;
            known.shuffle(rng);
            known.sort_by_key(|record| record.rumour.domain != *domain);
            known
        }
    }
}

/// Drops failure domains from the end until the rest fits its share of a datagram.
fn truncate_reach(mut reach: Vec<DomainReach>) -> Vec<DomainReach> {
    while encoded_size(&reach) > MAX_REACH_BYTES {
        reach.pop();
    }
    reach
}

/// Returns the encoded size in bytes, or `usize::MAX` if the message can't be encoded.
fn encoded_size<M: serde::Serialize>(message: &M) -> usize {
    frame::encode(message).map_or(usize::MAX, |frame| frame.len())
}

//! What a probe or its answer carries: news first, then samples of what is known.

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
        DATAGRAM_LIMIT_BYTES,
        SEAL_BYTES, //
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

/// Bytes of a datagram that are kept for everything but rumours and reach: two names of up to 64
/// bytes, version, variant, number, stamp and lengths.
const HEAD_BYTES: usize = 200;
/// Bytes of a datagram that may tell of failure domains.
const REACH_BYTES: usize = 300;
/// Known hosts told of in each datagram beside the news, so that what was lost is made up for.
const SAMPLE_HOSTS: usize = 1;

/// How much a datagram tells beside the news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PayloadKind {
    /// A sample of one host.
    Usual,
    /// As much as fits: the receiver is new, or stands in another failure domain.
    Summary,
}

/// Rumours and reach of one datagram.
pub struct ProbePayload {
    /// Rumours, the own one first.
    pub rumours: Vec<PeerRumour>,
    /// When each failure domain was last heard.
    pub reach: Vec<DomainReach>,
}

/// Puts rumours together up to the size of a datagram.
pub struct PayloadBuilder<'a> {
    /// What is known.
    pub table: &'a PeerTable,
    /// News.
    pub queue: &'a mut RumourQueue,
    /// Source of samples.
    pub random: &'a mut StdRng,
}

impl PayloadBuilder<'_> {
    /// The payload for a host.
    pub fn build(self, receiver: &str, kind: PayloadKind, reach: Vec<DomainReach>) -> ProbePayload {
        let reach = cut_reach(reach);
        let used = HEAD_BYTES + SEAL_BYTES + size(&reach);
        let mut space = RumourSpace {
            free: DATAGRAM_LIMIT_BYTES.saturating_sub(used),
            rumours: Vec::new(),
        };
        space.put(self.table.own());
        // What is wrongly held of the receiver it must hear, so that it can refute it.
        let held = self.table.get(receiver);
        let held = held.filter(|record| record.rumour.state != PeerState::Alive);
        if let Some(record) = held {
            space.put(&record.rumour);
        }
        let hosts = self.table.peers().count() + 1;
        for host in self.queue.next() {
            if let Some(rumour) = self.table.rumour(&host) {
                if space.put(rumour) {
                    self.queue.count(&host, hosts);
                }
            }
        }
        for record in sample(self.table, kind, self.random) {
            if !space.put(&record.rumour) {
                break;
            }
        }
        ProbePayload {
            rumours: space.rumours,
            reach,
        }
    }
}

/// Room for rumours in a datagram.
struct RumourSpace {
    /// Bytes left.
    free: usize,
    /// Rumours put in.
    rumours: Vec<PeerRumour>,
}

impl RumourSpace {
    /// Puts a rumour in; false when it does not fit.
    fn put(&mut self, rumour: &PeerRumour) -> bool {
        if self.rumours.iter().any(|other| other.host == rumour.host) {
            return true;
        }
        let size = size(rumour);
        if size > self.free {
            return false;
        }
        self.free -= size;
        self.rumours.push(rumour.clone());
        true
    }
}

/// Known hosts in random order: a few of all, or those of the own failure domain first.
fn sample<'a>(table: &'a PeerTable, kind: PayloadKind, random: &mut StdRng) -> Vec<&'a PeerRecord> {
    let here = |record: &&PeerRecord| record.rumour.state != PeerState::Gone;
    let mut known: Vec<&PeerRecord> = table.peers().filter(here).collect();
    known.sort_unstable_by(|left, right| left.rumour.host.cmp(&right.rumour.host));
    match kind {
        PayloadKind::Usual => {
            let chosen = known.choose_multiple(random, SAMPLE_HOSTS);
            chosen.copied().collect()
        }
        PayloadKind::Summary => {
            let domain = &table.own().domain;
            known.shuffle(random);
            known.sort_by_key(|record| record.rumour.domain != *domain);
            known
        }
    }
}

/// As many failure domains as their share of a datagram holds.
fn cut_reach(mut reach: Vec<DomainReach>) -> Vec<DomainReach> {
    while size(&reach) > REACH_BYTES {
        reach.pop();
    }
    reach
}

/// Size of a message in a frame, in bytes; beyond any limit when it has none.
fn size<M: serde::Serialize>(message: &M) -> usize {
    frame::encode(message).map_or(usize::MAX, |frame| frame.len())
}

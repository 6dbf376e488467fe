//! What a keeper holds of the other keepers: a fold of the rumours it heard.

use std::collections::HashMap;

use tokio::time::{
    Duration,
    Instant, //
};

use crate::{
    ids::HostId,
    schema::{
        ConfigHead,
        PeerRumour,
        PeerState, //
    },
};

/// What a rumour changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RumourEffect {
    /// Nothing: it is old, or known.
    Known,
    /// Only the configuration head of the host.
    NewHead,
    /// The state or the start of the host.
    NewState,
    /// It was about this host and wrong; this host now says so with a higher incarnation.
    Refuted,
}

/// What is held of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// Newest rumour.
    pub rumour: PeerRumour,
    /// When the host came into this state.
    pub state_since: Instant,
    /// The state is a suspicion that this host raised itself.
    pub is_local_suspicion: bool,
}

/// The fold of all rumours.
///
/// Of two rumours about a host, the one with the higher incarnation holds, and within one
/// incarnation the worse one. Only the host itself raises its incarnation, so that all who heard
/// the same rumours hold the same, in whatever order they came.
pub struct PeerTable {
    /// What this host says of itself.
    own: PeerRumour,
    /// What is held of the others.
    peers: HashMap<HostId, PeerRecord>,
}

impl PeerTable {
    /// A table that knows only this host.
    pub fn new(own: PeerRumour) -> Self {
        Self {
            own,
            peers: HashMap::new(),
        }
    }

    /// What this host says of itself.
    pub fn own(&self) -> &PeerRumour {
        &self.own
    }

    /// What is held of another host.
    pub fn get(&self, host: &str) -> Option<&PeerRecord> {
        self.peers.get(host)
    }

    /// What is held of all others, in no order.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// The newest rumour about any host, this one too.
    pub fn latest_rumour(&self, host: &str) -> Option<&PeerRumour> {
        if *host == *self.own.host {
            return Some(&self.own);
        }
        self.peers.get(host).map(|record| &record.rumour)
    }

    /// Takes over this host's own head; an older one is passed over.
    pub fn set_head(&mut self, head: ConfigHead) -> bool {
        let newer = head.sequence > self.own.head.sequence;
        if newer {
            self.own.head = head;
        }
        newer
    }

    /// Says that this host is leaving.
    pub fn mark_leaving(&mut self) {
        self.own.incarnation += 1;
        self.own.state = PeerState::Leaving;
    }

    /// Takes a rumour in.
    pub fn apply(&mut self, rumour: PeerRumour, now: Instant) -> RumourEffect {
        if rumour.host == self.own.host {
            return self.refute(&rumour);
        }
        let Some(record) = self.peers.get_mut(&rumour.host) else {
            let record = PeerRecord {
                state_since: now,
                is_local_suspicion: false,
                rumour,
            };
            self.peers.insert(record.rumour.host.clone(), record);
            return RumourEffect::NewState;
        };
        let held = &mut record.rumour;
        if precedence(&rumour) > precedence(held) {
            let same_incarnation = rumour.incarnation == held.incarnation;
            let older_head = rumour.head.sequence < held.head.sequence;
            let head = held.head.clone();
            *held = rumour;
            if same_incarnation && older_head {
                held.head = head;
            }
            record.state_since = now;
            record.is_local_suspicion = false;
            return RumourEffect::NewState;
        }
        let same_incarnation = rumour.incarnation == held.incarnation;
        if same_incarnation && rumour.head.sequence > held.head.sequence {
            held.head = rumour.head;
            return RumourEffect::NewHead;
        }
        RumourEffect::Known
    }

    /// Notes that a host does not answer. A leaving one is gone; one held alive is suspected.
    pub fn mark_unresponsive(&mut self, host: &str, now: Instant) -> Option<PeerState> {
        let record = self.peers.get_mut(host)?;
        let state = match record.rumour.state {
            PeerState::Alive => PeerState::Suspect,
            PeerState::Leaving => PeerState::Gone,
            PeerState::Suspect | PeerState::Gone => return None,
        };
        record.rumour.state = state;
        record.state_since = now;
        record.is_local_suspicion = true;
        Some(state)
    }

    /// Hosts that were suspected for too long; they are gone from now on.
    pub fn expire_suspicions(&mut self, timeout: Duration, now: Instant) -> Vec<HostId> {
        let mut gone = Vec::new();
        for record in self.peers.values_mut() {
            let is_suspect = record.rumour.state == PeerState::Suspect;
            if is_suspect && now.duration_since(record.state_since) >= timeout {
                record.rumour.state = PeerState::Gone;
                record.state_since = now;
                gone.push(record.rumour.host.clone());
            }
        }
        gone
    }

    /// Takes this host's own suspicion of a host back.
    pub fn clear_suspicion(&mut self, host: &str, now: Instant) -> bool {
        match self.peers.get_mut(host) {
            Some(record) => clear_own_suspicion(record, now),
            None => false,
        }
    }

    /// Takes all own suspicions back, and gives all others their whole time again.
    ///
    /// For a host that was paused or cut off itself: what it missed says nothing of the others.
    pub fn reset_suspicions(&mut self, now: Instant) {
        for record in self.peers.values_mut() {
            clear_own_suspicion(record, now);
            if record.rumour.state == PeerState::Suspect {
                record.state_since = now;
            }
        }
    }

    /// Forgets hosts that have been gone for a time.
    pub fn remove_gone(&mut self, retention: Duration, now: Instant) -> Vec<HostId> {
        let is_expired = |record: &PeerRecord| {
            record.rumour.state == PeerState::Gone
                && now.duration_since(record.state_since) >= retention
        };
        let removed = self.peers.values().filter(|record| is_expired(record));
        let removed: Vec<HostId> = removed.map(|record| record.rumour.host.clone()).collect();
        for host in &removed {
            self.peers.remove(host);
        }
        removed
    }

    /// Answers a rumour about this host.
    fn refute(&mut self, rumour: &PeerRumour) -> RumourEffect {
        if precedence(rumour) <= precedence(&self.own) {
            return RumourEffect::Known;
        }
        self.own.incarnation = rumour.incarnation.saturating_add(1);
        RumourEffect::Refuted
    }
}

/// Takes an own suspicion back.
fn clear_own_suspicion(record: &mut PeerRecord, now: Instant) -> bool {
    let is_own = record.is_local_suspicion && record.rumour.state == PeerState::Suspect;
    if is_own {
        record.rumour.state = PeerState::Alive;
        record.is_local_suspicion = false;
        record.state_since = now;
    }
    is_own
}

/// Which of two rumours about a host holds: the greater one.
///
/// States are in the schema's order: alive, suspect, leaving, gone.
fn precedence(rumour: &PeerRumour) -> (u64, PeerState) {
    (rumour.incarnation, rumour.state)
}

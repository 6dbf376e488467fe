//! Known keepers and their states, built from gossip about them (rumours).

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

/// Effect of applying a rumour.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RumourEffect {
    /// Nothing changed: the rumour is outdated or already known.
    Known,
    /// Only the configuration head of the host changed.
    NewHead,
    /// The state or the incarnation of the host changed, or the host is new.
    NewState,
    /// The rumour wrongly described this host, which refutes it with a higher incarnation.
    Refuted,
}

/// What is known about one peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// Rumour in force.
    pub rumour: PeerRumour,
    /// When the host entered its current state.
    pub state_since: Instant,
    /// Whether this host itself suspected the peer, rather than learning it from a rumour.
    pub is_local_suspicion: bool,
}

/// Known hosts, with the rumour in force about each.
///
/// Of two rumours about a host, the one with the higher incarnation wins, and within one
/// incarnation the one with the worse state. Only the host itself raises its incarnation, so all
/// tables that received the same rumours agree, in whatever order they arrived.
pub struct PeerTable {
    /// Rumour about this host, which only this host changes.
    own: PeerRumour,
    /// Other hosts by name.
    peers: HashMap<HostId, PeerRecord>,
}

impl PeerTable {
    /// Creates a table that contains only this host.
    pub fn new(own: PeerRumour) -> Self {
        Self {
            own,
            peers: HashMap::new(),
        }
    }

    /// Returns the rumour about this host.
    pub fn own(&self) -> &PeerRumour {
        &self.own
    }

    /// Returns what is known about another host.
    pub fn get(&self, host: &str) -> Option<&PeerRecord> {
        self.peers.get(host)
    }

    /// Iterates over all other hosts, in no particular order.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.peers.values()
    }

    /// Returns the rumour in force about any host, including this one.
    pub fn latest_rumour(&self, host: &str) -> Option<&PeerRumour> {
        if *host == *self.own.host {
            return Some(&self.own);
        }
        self.peers.get(host).map(|record| &record.rumour)
    }

    /// Sets this host's configuration head; returns false and ignores it if it isn't newer.
    pub fn set_head(&mut self, head: ConfigHead) -> bool {
        let is_newer = head.sequence > self.own.head.sequence;
        if is_newer {
            self.own.head = head;
        }
        is_newer
    }

    /// Marks this host as leaving, in a new incarnation.
    pub fn mark_leaving(&mut self) {
        self.own.incarnation += 1;
        self.own.state = PeerState::Leaving;
    }

    /// Applies a received rumour.
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
        let current = &mut record.rumour;
        if precedence(&rumour) > precedence(current) {
            let is_same_incarnation = rumour.incarnation == current.incarnation;
            let has_older_head = rumour.head.sequence < current.head.sequence;
            let head = current.head.clone();
            *current = rumour;
            if is_same_incarnation && has_older_head {
                current.head = head;
            }
            record.state_since = now;
            record.is_local_suspicion = false;
            return RumourEffect::NewState;
        }
        let is_same_incarnation = rumour.incarnation == current.incarnation;
        if is_same_incarnation && rumour.head.sequence > current.head.sequence {
            current.head = rumour.head;
            return RumourEffect::NewHead;
        }
        RumourEffect::Known
    }

    /// Marks a host that did not acknowledge a probe; returns its new state if it changed.
    ///
    /// A leaving host is then gone, and a host that was alive is suspected.
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

    /// Marks hosts as gone that have been suspected for `timeout`, and returns them.
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

    /// Clears a suspicion that this host raised; returns whether there was one.
    pub fn clear_suspicion(&mut self, host: &str, now: Instant) -> bool {
        match self.peers.get_mut(host) {
            Some(record) => clear_own_suspicion(record, now),
            None => false,
        }
    }

    /// Clears all suspicions that this host raised and restarts the timeout of all others.
    ///
    /// For a host that was paused or isolated itself: the acknowledgements that it missed say
    /// nothing about the others.
    pub fn reset_suspicions(&mut self, now: Instant) {
        for record in self.peers.values_mut() {
            clear_own_suspicion(record, now);
            if record.rumour.state == PeerState::Suspect {
                record.state_since = now;
            }
        }
    }

    /// Removes hosts that have been gone for `retention`, and returns them.
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

    /// Raises this host's incarnation if a rumour about it would take precedence.
    fn refute(&mut self, rumour: &PeerRumour) -> RumourEffect {
        if precedence(rumour) <= precedence(&self.own) {
            return RumourEffect::Known;
        }
        self.own.incarnation = rumour.incarnation.saturating_add(1);
        RumourEffect::Refuted
    }
}

/// Clears a suspicion that this host raised.
fn clear_own_suspicion(record: &mut PeerRecord, now: Instant) -> bool {
    let is_cleared = record.is_local_suspicion && record.rumour.state == PeerState::Suspect;
    if is_cleared {
        record.rumour.state = PeerState::Alive;
        record.is_local_suspicion = false;
        record.state_since = now;
    }
    is_cleared
}

/// Returns a key by which rumours about a host are ordered; the greater one wins.
///
/// States compare in the order of the schema: alive, suspect, leaving, gone.
fn precedence(rumour: &PeerRumour) -> (u64, PeerState) {
    (rumour.incarnation, rumour.state)
}

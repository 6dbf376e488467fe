//! What a member sent, took and dropped.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Counters of a member.
#[derive(Debug, Default)]
pub struct MemberCounters {
    /// Datagrams sent.
    sent: AtomicU64,
    /// Bytes of datagrams sent.
    sent_bytes: AtomicU64,
    /// Datagrams received.
    received: AtomicU64,
    /// Bytes of datagrams received.
    received_bytes: AtomicU64,
    /// Datagrams dropped: damaged, forged, of an unknown version, or for another host.
    dropped: AtomicU64,
    /// Datagrams that were too old to be taken in.
    stale: AtomicU64,
}

/// The counters at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CounterSnapshot {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes of datagrams received.
    pub received_bytes: u64,
    /// Datagrams dropped: damaged, forged, of an unknown version, or for another host.
    pub dropped: u64,
    /// Datagrams that were too old to be taken in.
    pub stale: u64,
}

impl MemberCounters {
    /// Counts a datagram sent.
    pub(super) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a datagram received.
    pub(super) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a datagram dropped.
    pub(super) fn add_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a datagram that was too old.
    pub(super) fn add_stale(&self) {
        self.stale.fetch_add(1, Ordering::Relaxed);
    }

    /// The counters now.
    pub fn snapshot(&self) -> CounterSnapshot {
        CounterSnapshot {
            sent: self.sent.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
            stale: self.stale.load(Ordering::Relaxed),
        }
    }
}

//! Datagram counters of a member.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Live counters, updated by the membership task.
#[derive(Debug, Default)]
pub struct MemberCounters {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    /// Datagrams dropped because they were damaged, forged, of an unknown version, addressed to
    /// another host or sent under this host's own name.
    dropped: AtomicU64,
    /// Datagrams whose payload was ignored because the stamp wasn't fresh.
    stale: AtomicU64,
}

/// Values of the counters at one time.
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
    /// Datagrams dropped because they were damaged, forged, of an unknown version, addressed to
    /// another host or sent under this host's own name.
    pub dropped: u64,
    /// Datagrams whose payload was ignored because the stamp wasn't fresh.
    pub stale: u64,
}

impl MemberCounters {
    pub(super) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn add_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_stale(&self) {
        self.stale.fetch_add(1, Ordering::Relaxed);
    }

    /// Reads all counters, one by one; a concurrent update may show in only some of them.
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

//! Rumours still to be passed on, each a limited number of times.

use std::collections::HashMap;

use crate::ids::HostId;

/// Number of sends per rumour for each doubling of the number of hosts.
const SENDS_PER_DOUBLING: u32 = 3;

/// Hosts with a rumour to pass on, with the number of times it was sent.
///
/// Only host names are queued; each send uses the rumour in force at that time. The queue is
/// therefore never longer than the list of hosts.
#[derive(Default)]
pub struct RumourQueue {
    /// Number of sends of each host's rumour.
    send_counts: HashMap<HostId, u32>,
}

impl RumourQueue {
    /// Queues the rumour about a host; a newer rumour restarts the count.
    pub fn push(&mut self, host: HostId) {
        self.send_counts.insert(host, 0);
    }

    /// Stops passing on what is queued about a host.
    pub fn remove(&mut self, host: &str) {
        self.send_counts.remove(host);
    }

    /// Returns the queued hosts, the least sent first.
    pub fn hosts_by_send_count(&self) -> Vec<HostId> {
        let mut hosts: Vec<(u32, &HostId)> = self
            .send_counts
            .iter()
            .map(|(host, sent)| (*sent, host))
            .collect();
        hosts.sort_unstable();
        hosts.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Counts a send; removes the host once its rumour was sent `max_sends` times.
    pub fn record_send(&mut self, host: &str, host_count: usize) {
        let Some(sent) = self.send_counts.get_mut(host) else {
            return;
        };
        *sent += 1;
        if *sent >= max_sends(host_count) {
            self.send_counts.remove(host);
        }
    }

    /// Returns the number of queued hosts.
    pub fn len(&self) -> usize {
        self.send_counts.len()
    }

    /// Returns whether no host is queued.
    pub fn is_empty(&self) -> bool {
        self.send_counts.is_empty()
    }
}

/// Returns how often one host sends a rumour, given the number of hosts.
pub fn max_sends(host_count: usize) -> u32 {
    SENDS_PER_DOUBLING * ceil_log2(host_count)
}

/// Returns the binary logarithm of the number of hosts, rounded up, but at least 1.
pub fn ceil_log2(host_count: usize) -> u32 {
    host_count.max(2).next_power_of_two().ilog2()
}

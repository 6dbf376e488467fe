//! Rumours that are still to be passed on, each a bounded number of times.

use std::collections::HashMap;

use crate::ids::HostId;

/// Times a rumour is sent, for each doubling of the number of hosts.
const SENDS_PER_DOUBLING: u32 = 3;

/// Hosts of which there is news, and how often it was sent.
///
/// Only the name is queued: what is sent is what the table holds at that time, so that the queue
/// is never longer than the list of hosts.
#[derive(Default)]
pub struct RumourQueue {
    /// Times the news of each host was sent.
    send_counts: HashMap<HostId, u32>,
}

impl RumourQueue {
    /// Queues news of a host, or starts over with newer news.
    pub fn push(&mut self, host: HostId) {
        self.send_counts.insert(host, 0);
    }

    /// Drops what was queued of a host.
    pub fn remove(&mut self, host: &str) {
        self.send_counts.remove(host);
    }

    /// Hosts with news, the least sent first.
    pub fn hosts_by_send_count(&self) -> Vec<HostId> {
        let mut hosts: Vec<(u32, &HostId)> = self
            .send_counts
            .iter()
            .map(|(host, sent)| (*sent, host))
            .collect();
        hosts.sort_unstable();
        hosts.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Counts a send; news sent often enough among so many hosts is dropped.
    pub fn record_send(&mut self, host: &str, host_count: usize) {
        let Some(sent) = self.send_counts.get_mut(host) else {
            return;
        };
        *sent += 1;
        if *sent >= max_sends(host_count) {
            self.send_counts.remove(host);
        }
    }

    /// Hosts with news.
    pub fn len(&self) -> usize {
        self.send_counts.len()
    }

    /// Whether there is no news.
    pub fn is_empty(&self) -> bool {
        self.send_counts.is_empty()
    }
}

/// Times one host sends a rumour among so many hosts.
pub fn max_sends(host_count: usize) -> u32 {
    SENDS_PER_DOUBLING * ceil_log2(host_count)
}

/// Doublings from one host to so many, at least one.
pub fn ceil_log2(host_count: usize) -> u32 {
    host_count.max(2).next_power_of_two().ilog2()
}

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
    sent: HashMap<HostId, u32>,
}

impl RumourQueue {
    /// Queues news of a host, or starts over with newer news.
    pub fn push(&mut self, host: HostId) {
        self.sent.insert(host, 0);
    }

    /// Drops what was queued of a host.
    pub fn remove(&mut self, host: &str) {
        self.sent.remove(host);
    }

    /// Hosts with news, the least sent first.
    pub fn next(&self) -> Vec<HostId> {
        let mut hosts: Vec<(u32, &HostId)> =
            self.sent.iter().map(|(host, sent)| (*sent, host)).collect();
        hosts.sort_unstable();
        hosts.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Counts a send; news sent often enough among so many hosts is dropped.
    pub fn count(&mut self, host: &str, hosts: usize) {
        let Some(sent) = self.sent.get_mut(host) else {
            return;
        };
        *sent += 1;
        if *sent >= send_limit(hosts) {
            self.sent.remove(host);
        }
    }

    /// Hosts with news.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Whether there is no news.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}

/// Times one host sends a rumour among so many hosts.
pub fn send_limit(hosts: usize) -> u32 {
    SENDS_PER_DOUBLING * doublings(hosts)
}

/// Doublings from one host to so many, at least one.
pub fn doublings(hosts: usize) -> u32 {
    hosts.max(2).next_power_of_two().ilog2()
}

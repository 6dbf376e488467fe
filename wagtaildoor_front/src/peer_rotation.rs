//! Decides which host is asked next, so that one that does not answer is not asked twice in a row.

use std::net::SocketAddr;

use crate::prefix_hash;

/// Addresses that were asked before, the most recent one last.
#[derive(Debug, Default)]
pub struct PeerRotation {
    asked: Vec<SocketAddr>,
}

impl PeerRotation {
    /// Picks an address that was not asked yet, at random, or else the one that was asked longest
    /// ago. `None` if there is no address.
    pub fn next_address(
        &mut self,
        addresses: &[SocketAddr],
        random_value: u64,
    ) -> Option<SocketAddr> {
        self.asked.retain(|address| addresses.contains(address));
        let fresh = addresses.iter().filter(|a| !self.asked.contains(a));
        let fresh: Vec<SocketAddr> = fresh.copied().collect();
        let address = match fresh.len() as u64 {
            0 => *self.asked.first()?,
            count => fresh[(prefix_hash::combine_hashes(random_value, count) % count) as usize],
        };
        self.asked.retain(|known| *known != address);
        self.asked.push(address);
        Some(address)
    }
}

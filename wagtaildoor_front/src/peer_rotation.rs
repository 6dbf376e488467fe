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
    /// ago. Addresses in `near` come before those in `far`. `None` if there is no address.
    pub fn next_address(
        &mut self,
        near: &[SocketAddr],
        far: &[SocketAddr],
        random_value: u64,
    ) -> Option<SocketAddr> {
        self.asked
            .retain(|address| near.contains(address) || far.contains(address));
        let fresh = self.draw_fresh(near, random_value);
        let fresh = fresh.or_else(|| self.draw_fresh(far, random_value));
        let address = fresh.or_else(|| self.asked.first().copied())?;
        self.asked.retain(|known| *known != address);
        self.asked.push(address);
        Some(address)
    }

    /// Draws an address that was not asked yet.
    fn draw_fresh(&self, addresses: &[SocketAddr], random_value: u64) -> Option<SocketAddr> {
        let fresh = addresses.iter().filter(|a| !self.asked.contains(a));
        let fresh: Vec<SocketAddr> = fresh.copied().collect();
        let count = fresh.len() as u64;
        let index = prefix_hash::combine_hashes(random_value, count).checked_rem(count)?;
        Some(fresh[index as usize])
    }
}

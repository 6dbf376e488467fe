//! Homes of a prefix: the same on every host that knows the same endpoints.

use crate::residency::SlotIndex;

/// An endpoint that can be a home.
#[derive(Clone, Copy, Debug)]
pub struct HomeMember {
    /// Endpoint.
    pub slot: SlotIndex,
    /// Hash of its name.
    pub hash: u64,
}

/// Most homes that are looked for.
pub const HOMES_LIMIT: usize = 8;

/// Homes of a prefix, the first first.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeList {
    /// Weights and endpoints, the highest weight first.
    ranked: [(u64, SlotIndex); HOMES_LIMIT],
    /// Places in use.
    len: usize,
    /// Places wanted.
    limit: usize,
}

impl HomeList {
    /// The first `limit` homes of a prefix among members.
    pub fn of(prefix: u64, members: &[HomeMember], limit: usize) -> Self {
        let mut homes = Self {
            limit: limit.min(HOMES_LIMIT),
            ..Self::default()
        };
        for member in members {
            homes.offer(weight(prefix, member.hash), member.slot);
        }
        homes
    }

    /// Homes, the first first.
    pub fn slots(&self) -> impl Iterator<Item = SlotIndex> + '_ {
        self.ranked[..self.len].iter().map(|&(_, slot)| slot)
    }

    /// Takes a member in when it ranks high enough.
    fn offer(&mut self, weight: u64, slot: SlotIndex) {
        let full = self.len == self.limit;
        if full && (self.limit == 0 || weight <= self.ranked[self.len - 1].0) {
            return;
        }
        if !full {
            self.len += 1;
        }
        let mut place = self.len - 1;
        while place > 0 && self.ranked[place - 1].0 < weight {
            self.ranked[place] = self.ranked[place - 1];
            place -= 1;
        }
        self.ranked[place] = (weight, slot);
    }
}

/// Weight of a member for a prefix.
fn weight(prefix: u64, member: u64) -> u64 {
    let mut mixed = prefix ^ member;
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

//! Rendezvous hashing: the homes of a prefix are equal on every host that knows the same endpoints.

use crate::{
    generation_map::GenerationMap,
    ids::PrefixId,
    residency::SlotIndex, //
};

/// Number of prefixes whose homes are cached per pool.
const MAX_CACHED_PREFIXES: usize = 32_768;

/// An endpoint that can be the home of a prefix.
#[derive(Clone, Copy, Debug)]
pub struct HomeMember {
    /// Slot of the endpoint.
    pub slot: SlotIndex,
    /// Hash of the endpoint's id.
    pub hash: u64,
}

/// Maximum number of homes of a prefix.
pub const MAX_HOMES: usize = 8;

/// Members of a pool, with a cache of the homes of recent prefixes.
#[derive(Debug)]
pub struct HomeTable {
    members: Vec<HomeMember>,
    /// Cached homes; `None` until they are ranked.
    cached_homes: GenerationMap<PrefixId, Option<HomeList>>,
}

/// Homes of a prefix, highest weight first.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeList {
    /// Weights and slots, highest weight first.
    ranked: [(u64, SlotIndex); MAX_HOMES],
    /// Number of entries in use.
    len: usize,
}

impl Default for HomeTable {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl HomeTable {
    /// Creates a table of these members, with an empty cache.
    pub fn new(members: Vec<HomeMember>) -> Self {
        Self {
            members,
            cached_homes: GenerationMap::new(MAX_CACHED_PREFIXES),
        }
    }

    /// Returns all members of the pool.
    pub fn members(&self) -> &[HomeMember] {
        &self.members
    }

    /// Returns the homes of a prefix. Only a cache miss has to rank all members.
    pub fn homes(&mut self, prefix: PrefixId) -> HomeList {
        let members = &self.members;
        let cached_homes = self.cached_homes.touch(prefix);
        *cached_homes.get_or_insert_with(|| HomeList::rank_members(prefix, members))
    }
}

impl HomeList {
    /// Ranks members by their weight for a prefix and keeps the first `MAX_HOMES`.
    pub fn rank_members(prefix: PrefixId, members: &[HomeMember]) -> Self {
        let mut homes = Self::default();
        for member in members {
            homes.insert(weight(prefix, member.hash), member.slot);
        }
        homes
    }

    /// Returns the slots, highest weight first.
    pub fn slots(&self) -> impl Iterator<Item = SlotIndex> + '_ {
        self.ranked[..self.len].iter().map(|&(_, slot)| slot)
    }

    /// Inserts a member if its weight is high enough.
    fn insert(&mut self, weight: u64, slot: SlotIndex) {
        let full = self.len == MAX_HOMES;
        if full && weight <= self.ranked[self.len - 1].0 {
            return;
        }
        if !full {
            self.len += 1;
        }
        let mut index = self.len - 1;
        while index > 0 && self.ranked[index - 1].0 < weight {
            self.ranked[index] = self.ranked[index - 1];
            index -= 1;
        }
        self.ranked[index] = (weight, slot);
    }
}

/// Returns the home of a prefix among a few members; `None` if there are none.
pub fn first_home(
    prefix: PrefixId,
    members: impl Iterator<Item = HomeMember>,
) -> Option<SlotIndex> {
    let first = members.max_by_key(|member| weight(prefix, member.hash));
    first.map(|member| member.slot)
}

/// Mixes prefix and member hash into a rendezvous weight.
fn weight(prefix: PrefixId, member: u64) -> u64 {
    let mut mixed = prefix ^ member;
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

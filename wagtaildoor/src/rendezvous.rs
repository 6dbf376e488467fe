//! Homes of a prefix: the same on every host that knows the same endpoints.

use crate::{
    generation_map::GenerationMap,
    ids::PrefixId,
    residency::SlotIndex, //
};

/// Prefixes whose homes a pool remembers.
const MAX_CACHED_PREFIXES: usize = 32_768;

/// An endpoint that can be a home.
#[derive(Clone, Copy, Debug)]
pub struct HomeMember {
    /// Endpoint.
    pub slot: SlotIndex,
    /// Hash of its name.
    pub hash: u64,
}

/// Most homes that are looked for.
pub const MAX_HOMES: usize = 8;

/// The members of a pool, with the homes that were looked for since they changed.
#[derive(Debug)]
pub struct HomeTable {
    /// Members.
    members: Vec<HomeMember>,
    /// Homes by prefix.
    cached_homes: GenerationMap<PrefixId, Option<HomeList>>,
}

/// Homes of a prefix, the first first.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeList {
    /// Weights and endpoints, the highest weight first.
    ranked: [(u64, SlotIndex); MAX_HOMES],
    /// Places in use.
    len: usize,
}

impl Default for HomeTable {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl HomeTable {
    /// A pool of members.
    pub fn new(members: Vec<HomeMember>) -> Self {
        Self {
            members,
            cached_homes: GenerationMap::new(MAX_CACHED_PREFIXES),
        }
    }

    /// Members.
    pub fn members(&self) -> &[HomeMember] {
        &self.members
    }

    /// Homes of a prefix; only the first look-up since the members changed takes them all.
    pub fn homes(&mut self, prefix: PrefixId) -> HomeList {
        let members = &self.members;
        let cached_homes = self.cached_homes.touch(prefix);
        *cached_homes.get_or_insert_with(|| HomeList::rank_members(prefix, members))
    }
}

impl HomeList {
    /// The homes of a prefix among members.
    pub fn rank_members(prefix: PrefixId, members: &[HomeMember]) -> Self {
        let mut homes = Self::default();
        for member in members {
            homes.insert(weight(prefix, member.hash), member.slot);
        }
        homes
    }

    /// Homes, the first first.
    pub fn slots(&self) -> impl Iterator<Item = SlotIndex> + '_ {
        self.ranked[..self.len].iter().map(|&(_, slot)| slot)
    }

    /// Takes a member in when it ranks high enough.
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

/// The first home of a prefix among few members.
pub fn first_home(
    prefix: PrefixId,
    members: impl Iterator<Item = HomeMember>,
) -> Option<SlotIndex> {
    let first = members.max_by_key(|member| weight(prefix, member.hash));
    first.map(|member| member.slot)
}

/// Weight of a member for a prefix.
fn weight(prefix: PrefixId, member: u64) -> u64 {
    let mut mixed = prefix ^ member;
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^= mixed >> 32;
    mixed = mixed.wrapping_mul(0xd6e8_feb8_6659_fd93);
    mixed ^ (mixed >> 32)
}

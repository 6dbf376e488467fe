//! Homes of a prefix: the same on every host that knows the same endpoints.

use crate::{
    generation_map::GenerationMap,
    ids::PrefixId,
    residency::SlotIndex, //
};

/// Prefixes whose homes a pool remembers.
const REMEMBERED_LIMIT: usize = 32_768;

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

/// The members of a pool, with the homes that were looked for since they changed.
#[derive(Debug)]
pub struct HomeMembers {
    /// Members.
    members: Vec<HomeMember>,
    /// Homes by prefix.
    remembered: GenerationMap<PrefixId, Option<HomeList>>,
}

/// Homes of a prefix, the first first.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeList {
    /// Weights and endpoints, the highest weight first.
    ranked: [(u64, SlotIndex); HOMES_LIMIT],
    /// Places in use.
    len: usize,
}

impl Default for HomeMembers {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl HomeMembers {
    /// A pool of members.
    pub fn new(members: Vec<HomeMember>) -> Self {
        Self {
            members,
            remembered: GenerationMap::new(REMEMBERED_LIMIT),
        }
    }

    /// Members.
    pub fn members(&self) -> &[HomeMember] {
        &self.members
    }

    /// Homes of a prefix; only the first look-up since the members changed takes them all.
    pub fn homes(&mut self, prefix: PrefixId) -> HomeList {
        let members = &self.members;
        let remembered = self.remembered.touch(prefix);
        *remembered.get_or_insert_with(|| HomeList::of(prefix, members))
    }
}

impl HomeList {
    /// The homes of a prefix among members.
    pub fn of(prefix: PrefixId, members: &[HomeMember]) -> Self {
        let mut homes = Self::default();
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
        let full = self.len == HOMES_LIMIT;
        if full && weight <= self.ranked[self.len - 1].0 {
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

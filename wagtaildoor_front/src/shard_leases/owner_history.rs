//! Who owned each shard before the group's last reassignment, as far as this host has seen it.

use std::collections::HashMap;

use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        GroupMember,
        ShardId,
        ShardOwners, //
    },
    shard_leases::PreviousOwner,
};

/// Owners of all shards as last read by this host.
#[derive(Debug, Default)]
pub struct OwnerHistory {
    /// Owner of each shard, and when the owner was first seen.
    owners: HashMap<ShardId, (GroupMember, BootInstant)>,
    /// Generation of the group before the owners were read.
    generation: u64,
}

impl OwnerHistory {
    /// Records owners that were read after the group reached a generation. If a generation was
    /// missed in between, the earlier owners are dropped, since they may not be the previous ones.
    pub fn record_owners(
        &mut self,
        current_owners: &ShardOwners,
        generation: u64,
        now: BootInstant,
    ) {
        let mut before = std::mem::take(&mut self.owners);
        if generation > self.generation + 1 || generation < self.generation {
            before.clear();
        }
        self.generation = generation;
        for (shard, member) in &current_owners.owners {
            let known_owner = before.get(shard).filter(|(owner, _)| owner == member);
            let since = known_owner.map_or(now, |&(_, since)| since);
            self.owners.insert(*shard, (member.clone(), since));
        }
    }

    /// Drops the owners unless they were read in this generation or the one before it.
    pub fn discard_stale(&mut self, generation: u64) {
        if generation > self.generation + 1 || generation < self.generation {
            self.owners.clear();
        }
    }

    /// Owner of a shard before the group's last reassignment, whose result is `after`.
    pub fn previous_owner(
        &self,
        shard: ShardId,
        own: &GroupMember,
        after: &ShardOwners,
        now: BootInstant,
    ) -> PreviousOwner {
        let Some((owner, since)) = self.owners.get(&shard) else {
            return PreviousOwner::LiveHost;
        };
        if owner == own {
            // The group may have reassigned the shard twice since.
            return PreviousOwner::LiveHost;
        }
        // With as many hosts as shards, a host that is still in the group may own none.
        let has_all_members = after.members().len() < after.owners.len();
        let is_gone = has_all_members && after.owners.iter().all(|(_, member)| member != owner);
        if is_gone {
            let owned_for = now.since(*since);
            PreviousOwner::ExpiredHost { owned_for }
        } else {
            PreviousOwner::LiveHost
        }
    }
}

//! Leases of shards. Each engine belongs to one shard, and only its owner sends orders to it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    time::Duration, //
};

use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        GroupMember,
        LeaseRecord,
        ShardAssignment,
        ShardId, //
    },
    endpoint::EndpointKey,
    stream_position::StoreEra,
};

pub mod lease_records;
pub mod lease_renewal;
pub mod owner_history;

/// Wait for a shard that this host owned before its process restarted. The previous process may
/// have sent its last order this shortly before the restart.
const RESTART_WAIT: Duration = Duration::from_millis(1_000);

/// Number of bits of a fencing token for the group's generation; the store's era takes the others.
const GENERATION_BITS: u32 = 32;

/// Durations that govern the leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Time after its last renewal at which the group reassigns a host's shards.
    pub expiry: Duration,
    /// Time after sending its last renewal for which a host uses its shards.
    pub validity: Duration,
    /// Minimum time between orders of two hosts to the same engine.
    pub handover: Duration,
}

/// Owner of a shard before this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreviousOwner {
    /// This host, without a break since before its process restarted.
    OwnHost,
    /// A host that has left the group, so that its last renewal is older than the expiry.
    ExpiredHost {
        /// Time for which it was seen as the owner.
        owned_for: Duration,
    },
    /// A host that may not have learned yet that it lost the shard.
    LiveHost,
}

/// A shard that a host has just got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TakenShard {
    /// The shard.
    pub shard: ShardId,
    /// Who could have ordered before.
    pub previous_owner: PreviousOwner,
    /// Time until this host may use the shard.
    pub wait: Duration,
}

/// Leases of this host's shards.
#[derive(Debug)]
pub struct ShardLeases {
    /// Number of shards in the group.
    shards: ShardId,
    /// Era of the store that answered the last renewal.
    era: Cell<StoreEra>,
    /// Generation of the group in that answer.
    generation: Cell<u64>,
    /// Time from which each shard of this host may be used.
    usable_from: RefCell<HashMap<ShardId, BootInstant>>,
    /// When the last successful renewal was sent.
    last_renewal_at: Cell<Option<BootInstant>>,
    /// When the leases end unless they are renewed.
    valid_until: Cell<BootInstant>,
    /// Fencing token sent with orders, which increases with each owner of a shard, also when the store
    /// is restored and its generations go back.
    fencing_token: Cell<u64>,
}

impl ShardLeases {
    /// Creates an empty set of leases for a group with this many shards.
    pub fn new(shards: ShardId) -> Self {
        Self {
            shards,
            era: Cell::new(0),
            generation: Cell::new(0),
            usable_from: RefCell::new(HashMap::new()),
            last_renewal_at: Cell::new(None),
            valid_until: Cell::new(BootInstant::ZERO),
            fencing_token: Cell::new(0),
        }
    }

    /// Shards that this host may send orders to now.
    pub fn usable_shards(&self, now: BootInstant) -> impl Iterator<Item = ShardId> {
        let is_valid = now < self.valid_until.get();
        let usable_from = self.usable_from.borrow();
        let usable = usable_from
            .iter()
            .filter(|(_, &from)| is_valid && now >= from);
        let usable: Vec<ShardId> = usable.map(|(&shard, _)| shard).collect();
        usable.into_iter()
    }

    /// Fencing token for an order to an engine; `None` if this host may not send it one. Must be
    /// called right before each order.
    pub fn fencing_token_for(&self, engine: EndpointKey, now: BootInstant) -> Option<u64> {
        let shard = (engine % u64::from(self.shards)) as ShardId;
        let from = self.usable_from.borrow().get(&shard).copied();
        let may_order = now < self.valid_until.get() && from.is_some_and(|from| now >= from);
        may_order.then(|| self.fencing_token.get())
    }

    /// Whether this process has renewed the membership before.
    pub fn has_joined(&self) -> bool {
        self.last_renewal_at.get().is_some()
    }

    /// Records of the shards whose wait is over, sorted by shard.
    pub fn lease_records(&self, own: &GroupMember, now: BootInstant) -> Vec<LeaseRecord> {
        let usable_from = self.usable_from.borrow();
        let usable = usable_from.iter().filter(|(_, &from)| now >= from);
        let mut records: Vec<LeaseRecord> = usable
            .map(|(&shard, _)| LeaseRecord {
                shard,
                owner: own.clone(),
                era: self.era.get(),
                generation: self.generation.get(),
            })
            .collect();
        records.sort_by_key(|record| record.shard);
        records
    }

    /// Whether the group has assigned a shard that this host does not hold yet.
    pub fn has_new_shard(&self, assignment: &ShardAssignment) -> bool {
        let usable_from = self.usable_from.borrow();
        assignment
            .shards
            .iter()
            .any(|shard| !usable_from.contains_key(shard))
    }

    /// Applies the group's response to a renewal that was sent at `sent_at`.
    ///
    /// The group may reassign shards at any time without asking their owners. A new owner waits
    /// until the lease of the previous one must have ended, and then for the handover. Returns the
    /// shards that are new to this host.
    pub fn apply_assignment(
        &self,
        assignment: &ShardAssignment,
        previous_owner: impl Fn(ShardId) -> PreviousOwner,
        sent_at: BootInstant,
        now: BootInstant,
        times: &LeaseTimes,
    ) -> Vec<TakenShard> {
        let mut usable_from = self.usable_from.borrow_mut();
        let last_renewal_at = self.last_renewal_at.get();
        let has_lapsed = last_renewal_at.is_some_and(|at| sent_at.since(at) >= times.expiry);
        if has_lapsed {
            usable_from.clear();
        }
        if self.era.replace(assignment.era) != assignment.era {
            // The owner that this host waited for may have got the shard back from the copy.
            usable_from.retain(|_, &mut from| from <= now);
        }
        self.generation.set(assignment.generation);
        usable_from.retain(|shard, _| assignment.shards.contains(shard));
        let mut taken = Vec::new();
        for &shard in &assignment.shards {
            if usable_from.contains_key(&shard) {
                continue;
            }
            let previous_owner = match previous_owner(shard) {
                // Another host may have owned the shard while this host's lease had lapsed.
                _ if has_lapsed => PreviousOwner::LiveHost,
                PreviousOwner::OwnHost if last_renewal_at.is_some() => PreviousOwner::LiveHost,
                previous_owner => previous_owner,
            };
            let wait = handover_wait(previous_owner, times);
            usable_from.insert(shard, now + wait);
            taken.push(TakenShard {
                shard,
                previous_owner,
                wait,
            });
        }
        self.last_renewal_at.set(Some(sent_at));
        self.valid_until.set(sent_at + times.validity);
        let token = assignment.era << GENERATION_BITS | assignment.generation;
        self.fencing_token.set(self.fencing_token.get().max(token));
        taken
    }
}

/// Time that a new owner waits before it uses a shard.
fn handover_wait(previous_owner: PreviousOwner, times: &LeaseTimes) -> Duration {
    match previous_owner {
        PreviousOwner::OwnHost => RESTART_WAIT.min(times.handover),
        PreviousOwner::ExpiredHost { owned_for } => {
            let unused_for = times.expiry.saturating_sub(times.validity);
            let wait_after_owner = times.handover.saturating_sub(unused_for);
            let wait_after_earlier_owner =
                (times.handover + times.validity).saturating_sub(owned_for);
            wait_after_owner.max(wait_after_earlier_owner)
        }
        PreviousOwner::LiveHost => times.handover + times.validity,
    }
}

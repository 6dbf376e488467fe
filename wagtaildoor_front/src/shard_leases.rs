//! Leases of shards. Each engine belongs to one shard, and only its owner sends orders to it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use tokio::time;
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        ControlStore,
        GroupMember,
        LeaseRecord,
        ShardAssignment,
        ShardId, //
        ShardOwners,
    },
    endpoint::EndpointKey,
    era_watch,
    front::Front,
    stream_position::StoreEra,
};

pub mod lease_records;

/// Wait for a shard that this host owned before its process restarted. The previous process may
/// have sent its last order this shortly before the restart.
const RESTART_WAIT: Duration = Duration::from_millis(1_000);

/// Divisor of the renewal interval after a failed renewal. The first renewal that succeeds also shows
/// the other readers that the store is back.
const RETRY_DIVISOR: u32 = 2;

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

/// Renews this host's group membership until the process ends.
pub async fn renew_leases<S: ControlStore>(front: Rc<Front>, store: S, leases: Rc<ShardLeases>) {
    let policy = &front.settings.rollout;
    let times = LeaseTimes {
        expiry: policy.lease_expiry,
        validity: policy.lease_validity,
        handover: policy.handover,
    };
    let own = front.own_member();
    let mut known_generation = None;
    let mut generation = 0;
    let mut history = OwnerHistory::default();
    era_watch::read_settled(&front, &store).await;
    let mut era = front.store_era();
    loop {
        let mut interval = policy.lease_renewal_interval;
        let sent_at = BootInstant::now();
        match store.join_group(&own, generation, times.expiry).await {
            Ok(assignment) => {
                front.store_answered.notify_waiters();
                front.enter_era(assignment.era);
                if assignment.era != era {
                    // Owners from a copy of the store are not the last ones, and who was may be live.
                    history = OwnerHistory::default();
                    known_generation = None;
                    era = assignment.era;
                }
                let changed = known_generation != Some(assignment.generation);
                let mut after = None;
                if changed || leases.has_new_shard(&assignment) {
                    after = read_owners(&front, &store).await;
                }
                let no_owners = ShardOwners::default();
                let listed = after.as_ref().unwrap_or(&no_owners);
                // Of the time before its start, a host knows only what was recorded.
                let records = match leases.has_joined() {
                    true => Vec::new(),
                    false => read_lease_records(&front, &store).await,
                };
                let now = BootInstant::now();
                history.discard_stale(assignment.generation);
                let previous_owner = |shard| match lease_records::is_kept_shard(
                    &records,
                    &own,
                    shard,
                    &assignment,
                ) {
                    true => PreviousOwner::OwnHost,
                    false => history.previous_owner(shard, &own, listed, now),
                };
                let taken =
                    leases.apply_assignment(&assignment, previous_owner, sent_at, now, &times);
                if changed || !taken.is_empty() {
                    log_assignment(&front, &assignment, listed, &taken);
                }
                generation = assignment.generation;
                known_generation = Some(generation);
                if let Some(after) = &after {
                    history.record_owners(after, assignment.generation, now);
                }
            }
            Err(error) => {
                slog::debug!(front.log, "failed to renew group membership"; "error" => %error);
                // The group may have lost its generations in an outage.
                generation = 0;
                interval /= RETRY_DIVISOR;
            }
        }
        time::sleep(interval).await;
    }
}

/// Logs an assignment, and by which previous owners the waits for new shards were chosen.
fn log_assignment(
    front: &Front,
    assignment: &ShardAssignment,
    listed: &ShardOwners,
    taken: &[TakenShard],
) {
    let count = |is_counted: fn(&PreviousOwner) -> bool| {
        let owners = taken.iter().map(|shard| shard.previous_owner);
        owners.filter(is_counted).count()
    };
    let longest_wait = taken.iter().map(|shard| shard.wait).max();
    slog::info!(front.log, "shards dealt"; "generation" => assignment.generation,
        "era" => assignment.era, "own" => assignment.shards.len(),
        "hosts" => listed.members().len(),
        "from_self" => count(|owner| *owner == PreviousOwner::OwnHost),
        "from_expired" => count(|owner| matches!(owner, PreviousOwner::ExpiredHost { .. })),
        "from_live" => count(|owner| *owner == PreviousOwner::LiveHost),
        "longest_wait_ms" => longest_wait.map(|wait| wait.as_millis() as u64));
}

/// Reads the owners of all shards, and updates the known hosts from them.
async fn read_owners<S: ControlStore>(front: &Front, store: &S) -> Option<ShardOwners> {
    match store.read_owners().await {
        Ok(owners) => {
            front
                .peers
                .borrow_mut()
                .apply_group_list(owners.members(), BootInstant::now());
            Some(owners)
        }
        Err(error) => {
            slog::info!(front.log, "failed to read shard owners"; "error" => %error);
            None
        }
    }
}

/// Reads the leases that were recorded before this host's start.
async fn read_lease_records<S: ControlStore>(front: &Front, store: &S) -> Vec<LeaseRecord> {
    match store.read_lease_records().await {
        Ok(records) => records,
        Err(error) => {
            slog::info!(front.log, "failed to read lease records"; "error" => %error);
            Vec::new()
        }
    }
}

//! Leases of shards: each engine belongs to one, and only the shard's owner gives it orders.

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
        ShardAssignment,
        ShardId, //
        ShardOwners,
    },
    endpoint::EndpointKey,
    front::Front,
};

/// Wait of a process for a shard that its host owned before it started: an owner before that
/// could have given its last order this shortly before.
const RETURN_WAIT: Duration = Duration::from_millis(1_000);

/// Times of the leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTimes {
    /// Time for which a host keeps its shards without a word.
    pub expiry: Duration,
    /// Time after its last word for which a host uses its shards.
    pub validity: Duration,
    /// Time that must lie between the orders of two hosts.
    pub handover: Duration,
}

/// Who owned a shard before this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreviousOwner {
    /// This host, before its process started.
    OwnHost,
    /// A host that has left the group, and so was silent for the whole expiry.
    ExpiredHost {
        /// Time for which it was seen as the owner.
        owned_for: Duration,
    },
    /// A host that may not know yet that it lost the shard.
    LiveHost,
}

/// Leases of this host's shards.
#[derive(Debug)]
pub struct ShardLeases {
    /// Number of shards.
    shards: ShardId,
    /// When each shard of this host may be used.
    usable_from: RefCell<HashMap<ShardId, BootInstant>>,
    /// When the last word that was answered was sent.
    last_word: Cell<Option<BootInstant>>,
    /// Until when the shards may be used.
    valid_until: Cell<BootInstant>,
    /// Number that goes with orders; a later owner of the same shard has a higher one.
    fencing: Cell<u64>,
}

impl ShardLeases {
    /// No leases.
    pub fn new(shards: ShardId) -> Self {
        Self {
            shards,
            usable_from: RefCell::new(HashMap::new()),
            last_word: Cell::new(None),
            valid_until: Cell::new(BootInstant::ZERO),
            fencing: Cell::new(0),
        }
    }

    /// Shards that may be used now.
    pub fn usable_shards(&self, now: BootInstant) -> impl Iterator<Item = ShardId> {
        let is_valid = now < self.valid_until.get();
        let usable_from = self.usable_from.borrow();
        let usable = usable_from
            .iter()
            .filter(|(_, &from)| is_valid && now >= from);
        let usable: Vec<ShardId> = usable.map(|(&shard, _)| shard).collect();
        usable.into_iter()
    }

    /// The fencing number, if this host may give an engine an order; asked right before each one.
    pub fn fencing_token_for(&self, engine: EndpointKey, now: BootInstant) -> Option<u64> {
        let shard = (engine % u64::from(self.shards)) as ShardId;
        let from = self.usable_from.borrow().get(&shard).copied();
        let may = now < self.valid_until.get() && from.is_some_and(|from| now >= from);
        may.then(|| self.fencing.get())
    }

    /// Whether a shard of an answer is new to this host.
    pub fn has_new_shard(&self, share: &ShardAssignment) -> bool {
        let usable_from = self.usable_from.borrow();
        share
            .shards
            .iter()
            .any(|shard| !usable_from.contains_key(shard))
    }

    /// Takes the group's answer to a word that was sent at `asked`.
    ///
    /// The group may deal shards anew at any time without asking their owners. A new owner waits
    /// until the one before can no longer think that it owns the shard, and for the handover.
    pub fn apply_assignment(
        &self,
        share: &ShardAssignment,
        past: impl Fn(ShardId) -> PreviousOwner,
        asked: BootInstant,
        now: BootInstant,
        times: &LeaseTimes,
    ) {
        let mut usable_from = self.usable_from.borrow_mut();
        let last_word = self.last_word.get();
        let lapsed = last_word.is_some_and(|at| asked.since(at) >= times.expiry);
        if lapsed {
            usable_from.clear();
        }
        usable_from.retain(|shard, _| share.shards.contains(shard));
        for &shard in &share.shards {
            let past = match past(shard) {
                // Others may have owned it while this host did not.
                _ if lapsed => PreviousOwner::LiveHost,
                PreviousOwner::OwnHost if last_word.is_some() => PreviousOwner::LiveHost,
                past => past,
            };
            let wait = || now + wait_for(past, times);
            usable_from.entry(shard).or_insert_with(wait);
        }
        self.last_word.set(Some(asked));
        self.valid_until.set(asked + times.validity);
        self.fencing.set(self.fencing.get().max(share.generation));
    }
}

/// How long a new owner of a shard waits.
fn wait_for(past: PreviousOwner, times: &LeaseTimes) -> Duration {
    match past {
        PreviousOwner::OwnHost => RETURN_WAIT.min(times.handover),
        PreviousOwner::ExpiredHost { owned_for } => {
            let silent = times.expiry.saturating_sub(times.validity);
            let after_it = times.handover.saturating_sub(silent);
            let after_one_before = (times.handover + times.validity).saturating_sub(owned_for);
            after_it.max(after_one_before)
        }
        PreviousOwner::LiveHost => times.handover + times.validity,
    }
}

/// Owners of all shards as this host has read them, and since when.
#[derive(Debug, Default)]
pub struct OwnerHistory {
    /// Owner of each shard, and when it was first read as such.
    owners: HashMap<ShardId, (GroupMember, BootInstant)>,
    /// Number of the group's last change before the read.
    generation: u64,
}

impl OwnerHistory {
    /// Takes the owners as they were read after a change of the group; what was read before a
    /// change that was missed tells nothing.
    pub fn record_owners(&mut self, read: &ShardOwners, generation: u64, now: BootInstant) {
        let mut before = std::mem::take(&mut self.owners);
        if generation > self.generation + 1 || generation < self.generation {
            before.clear();
        }
        self.generation = generation;
        for (shard, member) in &read.owners {
            let known = before.get(shard).filter(|(owner, _)| owner == member);
            let since = known.map_or(now, |&(_, since)| since);
            self.owners.insert(*shard, (member.clone(), since));
        }
    }

    /// Drops what was read, unless it was read before the last change of the group.
    pub fn discard_stale(&mut self, generation: u64) {
        if generation > self.generation + 1 || generation < self.generation {
            self.owners.clear();
        }
    }

    /// Who owned a shard until the group's change, after which these are the owners.
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
            return PreviousOwner::OwnHost;
        }
        // With as many hosts as shards, one that is still there may own none.
        let all_show = after.members().len() < after.owners.len();
        let is_gone = all_show && after.owners.iter().all(|(_, member)| member != owner);
        if is_gone {
            let owned_for = now.since(*since);
            PreviousOwner::ExpiredHost { owned_for }
        } else {
            PreviousOwner::LiveHost
        }
    }
}

/// Keeps this host in the group until the process ends.
pub async fn renew_leases<S: ControlStore>(front: Rc<Front>, store: S, leases: Rc<ShardLeases>) {
    let policy = &front.settings.rollout;
    let times = LeaseTimes {
        expiry: policy.lease_expiry,
        validity: policy.lease_validity,
        handover: policy.handover,
    };
    let own = front.own_member();
    let mut known = None;
    let mut generation = 0;
    let mut history = OwnerHistory::default();
    if let Some(owners) = read_owners(&front, &store).await {
        history.record_owners(&owners, 0, BootInstant::now());
    }
    loop {
        let asked = BootInstant::now();
        match store.join_group(&own, generation, times.expiry).await {
            Ok(share) => {
                let changed = known != Some(share.generation);
                let mut after = None;
                if changed || leases.has_new_shard(&share) {
                    after = read_owners(&front, &store).await;
                }
                let unread = ShardOwners::default();
                let shown = after.as_ref().unwrap_or(&unread);
                let now = BootInstant::now();
                if known.is_some() {
                    history.discard_stale(share.generation);
                }
                let past = |shard| history.previous_owner(shard, &own, shown, now);
                leases.apply_assignment(&share, past, asked, now, &times);
                if changed {
                    slog::info!(front.log, "shards dealt"; "generation" => share.generation,
                        "own" => share.shards.len(), "hosts" => shown.members().len());
                }
                generation = share.generation;
                known = Some(generation);
                if let Some(after) = &after {
                    history.record_owners(after, share.generation, now);
                }
            }
            Err(error) => {
                slog::debug!(front.log, "no word to the group"; "error" => %error);
                // After an outage the group may have forgotten its generations.
                generation = 0;
            }
        }
        time::sleep(policy.lease_renewal_interval).await;
    }
}

/// Reads the owners of all shards, and takes them over as the hosts of the group.
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
            slog::info!(front.log, "owners not read"; "error" => %error);
            None
        }
    }
}

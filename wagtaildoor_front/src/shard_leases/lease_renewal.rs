//! Renews the membership in the group that assigns the shards.

use std::rc::Rc;

use tokio::time;
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        ControlStore,
        LeaseRecord,
        ShardAssignment,
        ShardOwners, //
    },
    era_watch,
    front::Front,
    shard_leases::{
        lease_records,
        owner_history::OwnerHistory,
        LeaseTimes,
        PreviousOwner,
        ShardLeases,
        TakenShard, //
    },
    stream_position::StoreEra,
};

/// Divisor of the renewal interval after a failed renewal. The first renewal that succeeds also shows
/// the other readers that the store is back.
const RETRY_DIVISOR: u32 = 2;

/// Renews this host's group membership until the process ends.
pub async fn renew_leases<S: ControlStore>(front: Rc<Front>, store: S, leases: Rc<ShardLeases>) {
    let policy = &front.settings.rollout;
    let times = LeaseTimes {
        expiry: policy.lease_expiry,
        validity: policy.lease_validity,
        handover: policy.handover,
    };
    let own = front.own_member();
    era_watch::read_settled(&front, &store).await;
    let mut group = KnownGroup::new(front.store_era());
    loop {
        let mut interval = policy.lease_renewal_interval;
        let sent_at = BootInstant::now();
        match store.join_group(&own, group.generation, times.expiry).await {
            Ok(assignment) => {
                front.store_answered.notify_waiters();
                front.enter_era(assignment.era);
                let renewal = LeaseRenewal {
                    assignment,
                    sent_at,
                };
                renewal
                    .apply(&front, &store, &leases, &mut group, &times)
                    .await;
            }
            Err(error) => {
                slog::debug!(front.log, "failed to renew group membership"; "error" => %error);
                // The group may have lost its generations in an outage.
                group.generation = 0;
                interval /= RETRY_DIVISOR;
            }
        }
        time::sleep(interval).await;
    }
}

/// What this host knows of the group.
struct KnownGroup {
    era: StoreEra,
    /// Generation of the last answer, as the next renewal names it.
    generation: u64,
    /// Generation of the last assignment that was applied in this era.
    applied: Option<u64>,
    history: OwnerHistory,
}

impl KnownGroup {
    fn new(era: StoreEra) -> Self {
        Self {
            era,
            generation: 0,
            applied: None,
            history: OwnerHistory::default(),
        }
    }
}

/// The group's answer to a renewal.
struct LeaseRenewal {
    assignment: ShardAssignment,
    sent_at: BootInstant,
}

impl LeaseRenewal {
    /// Applies the assignment to the leases, with waits by what is known of the owners before.
    async fn apply<S: ControlStore>(
        &self,
        front: &Front,
        store: &S,
        leases: &ShardLeases,
        group: &mut KnownGroup,
        times: &LeaseTimes,
    ) {
        let assignment = &self.assignment;
        let own = front.own_member();
        if assignment.era != group.era {
            // Owners from a copy of the store are not the last ones, and who was may be live.
            *group = KnownGroup::new(assignment.era);
        }
        let has_changed = group.applied != Some(assignment.generation);
        let mut owners = None;
        if has_changed || leases.has_new_shard(assignment) {
            owners = read_owners(front, store).await;
        }
        // Of the time before its start, a host knows only what was recorded.
        let records = match leases.has_joined() {
            true => Vec::new(),
            false => read_lease_records(front, store).await,
        };
        let no_owners = ShardOwners::default();
        let listed = owners.as_ref().unwrap_or(&no_owners);
        let now = BootInstant::now();
        group.history.discard_stale(assignment.generation);
        let previous_owner =
            |shard| match lease_records::is_kept_shard(&records, &own, shard, assignment) {
                true => PreviousOwner::OwnHost,
                false => group.history.previous_owner(shard, &own, listed, now),
            };
        let taken = leases.apply_assignment(assignment, previous_owner, self.sent_at, now, times);
        if has_changed || !taken.is_empty() {
            log_assignment(front, assignment, listed, &taken);
        }
        group.generation = assignment.generation;
        group.applied = Some(assignment.generation);
        if let Some(owners) = &owners {
            group
                .history
                .record_owners(owners, assignment.generation, now);
        }
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

//! Leases recorded in the store, by which a host that restarts knows the shards that stayed its own.

use std::rc::Rc;

use tokio::time;
use wagtaildoor::boot_clock::BootInstant;

use crate::{
    control_store::{
        ControlStore,
        GroupMember,
        LeaseRecord,
        ShardAssignment,
        ShardId, //
    },
    front::Front,
    shard_leases::ShardLeases,
};

/// Whether a host that starts with an assignment has owned a shard without a break since it could use
/// it before its restart.
///
/// The group reassigns shards only with a new generation. The record therefore holds for its own
/// generation, and for the next one if the shard is assigned to the host in that as well. Generations of
/// another era of the store say nothing.
pub fn is_kept_shard(
    records: &[LeaseRecord],
    own: &GroupMember,
    shard: ShardId,
    assignment: &ShardAssignment,
) -> bool {
    records
        .iter()
        .filter(|record| record.shard == shard && record.owner == *own)
        .filter(|record| record.era == assignment.era)
        .filter_map(|record| assignment.generation.checked_sub(record.generation))
        .any(|generations| generations <= 1)
}

/// Records the shards that this host may use in each generation, until the process ends.
pub async fn record_leases<S: ControlStore>(front: Rc<Front>, store: S, leases: Rc<ShardLeases>) {
    let own = front.own_member();
    let mut recorded = Vec::new();
    loop {
        time::sleep(front.settings.rollout.lease_renewal_interval).await;
        let records = leases.lease_records(&own, BootInstant::now());
        if records == recorded {
            continue;
        }
        if !records.is_empty() {
            if let Err(error) = store.write_lease_records(&records).await {
                slog::info!(front.log, "failed to record leases"; "error" => %error);
                continue;
            }
        }
        recorded = records;
    }
}

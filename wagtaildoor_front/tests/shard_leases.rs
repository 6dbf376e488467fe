//! Orders of two hosts to the same engine are never closer together than the handover time.

use std::time::Duration;

use quickcheck::{
    Gen,
    QuickCheck,
    TestResult, //
};
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    control_store::{
        GroupMember,
        ShardAssignment,
        ShardId, //
        ShardOwners,
    },
    shard_leases::{
        LeaseTimes,
        OwnerHistory,
        PreviousOwner, //
        ShardLeases,
    },
};

/// The durations that the deployments use.
const TIMES: LeaseTimes = LeaseTimes {
    expiry: Duration::from_millis(3_000),
    validity: Duration::from_millis(800),
    handover: Duration::from_millis(3_000),
};
/// A host that owned the shard for 5 seconds and has left the group.
const EXPIRED: PreviousOwner = PreviousOwner::ExpiredHost {
    owned_for: Duration::from_millis(5_000),
};
/// A host that owned the shard for a second and has left the group.
const SHORT_LIVED: PreviousOwner = PreviousOwner::ExpiredHost {
    owned_for: Duration::from_millis(1_000),
};
/// Number of shards in these tests.
const SHARDS: ShardId = 4;

/// Time in milliseconds after boot.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Creates a host with a number.
fn member(number: usize) -> GroupMember {
    GroupMember {
        host: format!("host-{number}").into(),
        domain: "north".into(),
        address: format!("10.0.0.{}:7000", number + 1)
            .parse()
            .expect("an address"),
    }
}

/// Creates an assignment of shards.
fn assignment(generation: u64, shards: &[ShardId]) -> ShardAssignment {
    ShardAssignment {
        generation,
        shards: shards.to_vec(),
    }
}

/// Creates the owners of shards 0, 1, 2 and so on, by host number.
fn owners(members: &[usize]) -> ShardOwners {
    let owners = members.iter().enumerate();
    ShardOwners {
        owners: owners
            .map(|(shard, &host)| (shard as ShardId, member(host)))
            .collect(),
    }
}

#[test]
fn the_previous_owner_is_found_from_the_owners_before_and_after() {
    let own = member(0);
    let cases = [
        (
            "unknown",
            owners(&[]),
            owners(&[0, 0, 2]),
            PreviousOwner::LiveHost,
        ),
        (
            "own host",
            owners(&[0, 1]),
            owners(&[0, 1, 1]),
            PreviousOwner::OwnHost,
        ),
        (
            "still there",
            owners(&[1, 1]),
            owners(&[0, 1, 0]),
            PreviousOwner::LiveHost,
        ),
        ("gone", owners(&[1, 2]), owners(&[0, 2, 2]), EXPIRED),
        (
            "as many hosts as shards",
            owners(&[1, 2]),
            owners(&[0, 2]),
            PreviousOwner::LiveHost,
        ),
    ];
    for (name, before, after, expected) in cases {
        let mut history = OwnerHistory::default();
        history.record_owners(&before, 1, at(0));
        let previous_owner = history.previous_owner(0, &own, &after, at(5_000));
        assert_eq!(previous_owner, expected, "{name}");
    }
}

#[test]
fn a_new_owner_waits_for_the_previous_lease_and_the_handover() {
    let cases = [
        (PreviousOwner::LiveHost, 3_800),
        (EXPIRED, 800),
        (SHORT_LIVED, 2_800),
        (PreviousOwner::OwnHost, 1_000),
    ];
    for (previous_owner, wait_ms) in cases {
        let leases = ShardLeases::new(SHARDS);
        for ms in (0..wait_ms).step_by(200) {
            leases.apply_assignment(
                &assignment(5, &[1]),
                |_| previous_owner,
                at(ms),
                at(ms),
                &TIMES,
            );
            assert_eq!(
                leases.fencing_token_for(1, at(ms)),
                None,
                "{previous_owner:?} at {ms}"
            );
        }
        leases.apply_assignment(
            &assignment(5, &[1]),
            |_| previous_owner,
            at(wait_ms),
            at(wait_ms),
            &TIMES,
        );
        assert_eq!(
            leases.fencing_token_for(1, at(wait_ms)),
            Some(5),
            "{previous_owner:?}"
        );
        assert_eq!(
            leases.fencing_token_for(2, at(wait_ms)),
            None,
            "another shard"
        );
    }
}

#[test]
fn a_host_without_responses_stops_before_its_shards_are_reassigned() {
    let leases = ShardLeases::new(SHARDS);
    leases.apply_assignment(
        &assignment(5, &[1]),
        |_| PreviousOwner::OwnHost,
        at(0),
        at(0),
        &TIMES,
    );
    leases.apply_assignment(
        &assignment(5, &[1]),
        |_| PreviousOwner::OwnHost,
        at(1_000),
        at(1_050),
        &TIMES,
    );
    assert!(leases.fencing_token_for(1, at(1_799)).is_some());
    assert!(
        leases.fencing_token_for(1, at(1_800)).is_none(),
        "counted from the renewal, not from its response"
    );
}

#[test]
fn after_a_gap_longer_than_the_expiry_a_shard_counts_as_new() {
    let leases = ShardLeases::new(SHARDS);
    leases.apply_assignment(
        &assignment(5, &[1]),
        |_| PreviousOwner::OwnHost,
        at(0),
        at(0),
        &TIMES,
    );
    let gap = at(4_000);
    leases.apply_assignment(
        &assignment(5, &[1]),
        |_| PreviousOwner::LiveHost,
        gap,
        gap,
        &TIMES,
    );
    assert!(leases.fencing_token_for(1, at(4_100)).is_none());
}

#[test]
fn the_fencing_token_does_not_decrease_when_the_group_loses_its_generations() {
    let leases = ShardLeases::new(SHARDS);
    for (ms, generation) in [(0, 9), (600, 9), (1_200, 2)] {
        let assignment = assignment(generation, &[1]);
        leases.apply_assignment(
            &assignment,
            |_| PreviousOwner::OwnHost,
            at(ms),
            at(ms),
            &TIMES,
        );
    }
    assert_eq!(leases.fencing_token_for(1, at(1_300)), Some(9));
}

/// Model of a group that assigns shards to hosts, which freeze, expire and return.
struct GroupModel {
    /// Index of the host that owns each shard.
    owner: [usize; SHARDS as usize],
    /// Generation of the last assignment.
    generation: u64,
    /// When each host last renewed its membership; `None` if it is not in the group.
    renewed_at: [Option<u64>; 3],
    /// Leases of each host.
    leases: [ShardLeases; 3],
    /// Owners as each host last read them.
    histories: [OwnerHistory; 3],
    /// Until when each host is frozen.
    frozen_until: [u64; 3],
    /// Last order to each shard: host, and time in milliseconds.
    last_order: [Option<(usize, u64)>; SHARDS as usize],
}

impl GroupModel {
    /// Creates a group without members, and three hosts.
    fn new() -> Self {
        Self {
            owner: [usize::MAX; SHARDS as usize],
            generation: 0,
            renewed_at: [None; 3],
            leases: std::array::from_fn(|_| ShardLeases::new(SHARDS)),
            histories: std::array::from_fn(|_| OwnerHistory::default()),
            frozen_until: [0; 3],
            last_order: [None; SHARDS as usize],
        }
    }

    /// Assigns all shards to the members in turn, starting from an offset.
    fn assign_shards(&mut self, offset: usize) {
        let live: Vec<usize> = (0..3)
            .filter(|&host| self.renewed_at[host].is_some())
            .collect();
        self.generation += 1;
        for (shard, owner) in self.owner.iter_mut().enumerate() {
            *owner = match live.len() {
                0 => usize::MAX,
                count => live[(shard + offset) % count],
            };
        }
    }

    /// Current owners of all shards.
    fn owners(&self) -> ShardOwners {
        let owners = self.owner.iter().enumerate();
        let owners = owners.filter(|(_, &host)| host != usize::MAX);
        ShardOwners {
            owners: owners
                .map(|(shard, &host)| (shard as ShardId, member(host)))
                .collect(),
        }
    }

    /// Renews a host's membership, and applies the response to its leases.
    fn renew(&mut self, host: usize, now: u64) {
        if self.renewed_at[host].is_none() {
            self.renewed_at[host] = Some(now);
            self.assign_shards(host);
        }
        self.renewed_at[host] = Some(now);
        let shards = (0..SHARDS).filter(|&shard| self.owner[shard as usize] == host);
        let assignment = assignment(self.generation, &shards.collect::<Vec<_>>());
        let after = self.owners();
        let own = member(host);
        self.histories[host].discard_stale(self.generation);
        let history = &self.histories[host];
        let previous_owner = |shard| history.previous_owner(shard, &own, &after, at(now));
        self.leases[host].apply_assignment(&assignment, previous_owner, at(now), at(now), &TIMES);
        self.histories[host].record_owners(&after, self.generation, at(now));
    }

    /// Removes the hosts that did not renew their membership within the expiry.
    fn remove_expired(&mut self, now: u64) {
        let expiry = TIMES.expiry.as_millis() as u64;
        let is_expired = |renewed_at: Option<u64>| renewed_at.is_some_and(|at| now - at >= expiry);
        if self
            .renewed_at
            .iter()
            .any(|&renewed_at| is_expired(renewed_at))
        {
            for renewed_at in &mut self.renewed_at {
                *renewed_at = renewed_at.filter(|&at| !is_expired(Some(at)));
            }
            self.assign_shards(0);
        }
    }

    /// Lets each host send an order to each shard that it may use. Fails if two hosts do so within
    /// the handover time.
    fn send_orders(&mut self, now: u64) -> Result<(), String> {
        for shard in 0..SHARDS {
            for host in 0..3 {
                if now < self.frozen_until[host] {
                    continue;
                }
                if self.leases[host]
                    .fencing_token_for(u64::from(shard), at(now))
                    .is_none()
                {
                    continue;
                }
                let last = self.last_order[shard as usize].replace((host, now));
                let handover = TIMES.handover.as_millis() as u64;
                if let Some((other, before)) = last {
                    if other != host && now - before < handover {
                        return Err(format!(
                            "shard {shard}: {other} at {before}, {host} at {now}"
                        ));
                    }
                }
            }
        }
        Ok(())
    }
}

#[test]
fn two_hosts_never_send_orders_within_the_handover() {
    // Each step is an event (a host freezes, or all shards are reassigned) and the time before it.
    fn holds(steps: Vec<(u8, u16)>) -> TestResult {
        let mut model = GroupModel::new();
        let mut now = 0;
        for (event, delay_ms) in steps {
            let until = now + u64::from(delay_ms % 4_000) + 10;
            while now < until {
                model.remove_expired(now);
                for host in 0..3 {
                    let due = (now / 10 + host as u64) % 35 == 0;
                    if due && now >= model.frozen_until[host] {
                        model.renew(host, now);
                    }
                }
                if let Err(fault) = model.send_orders(now) {
                    return TestResult::error(fault);
                }
                now += 10;
            }
            match event % 5 {
                4 => model.assign_shards(usize::from(event)),
                host if host < 3 => {
                    model.frozen_until[usize::from(host)] = now + 200 + u64::from(event) * 40;
                }
                _ => {}
            }
        }
        TestResult::passed()
    }
    let seed = 0x0dea1;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, seed))
        .tests(400)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> TestResult);
}

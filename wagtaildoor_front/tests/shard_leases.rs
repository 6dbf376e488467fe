//! Orders of two hosts to one engine never come within the handover time of each other.

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

/// The times of the deployments.
const TIMES: LeaseTimes = LeaseTimes {
    expiry: Duration::from_millis(3_000),
    validity: Duration::from_millis(800),
    handover: Duration::from_millis(3_000),
};
/// A host that owned the shard for long, and has left the group.
const GONE: PreviousOwner = PreviousOwner::ExpiredHost {
    owned_for: Duration::from_millis(5_000),
};
/// A host that owned the shard for a second, and has left the group.
const GONE_SOON: PreviousOwner = PreviousOwner::ExpiredHost {
    owned_for: Duration::from_millis(1_000),
};
/// Shards in these tests.
const SHARDS: ShardId = 4;

/// A time after the start.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// A host.
fn member(number: usize) -> GroupMember {
    GroupMember {
        host: format!("host-{number}").into(),
        domain: "north".into(),
        address: format!("10.0.0.{}:7000", number + 1)
            .parse()
            .expect("an address"),
    }
}

/// A share of shards.
fn share(generation: u64, shards: &[ShardId]) -> ShardAssignment {
    ShardAssignment {
        generation,
        shards: shards.to_vec(),
    }
}

/// Owners of shards 0, 1, 2 and so on.
fn owners(members: &[usize]) -> ShardOwners {
    let owners = members.iter().enumerate();
    ShardOwners {
        owners: owners
            .map(|(shard, &host)| (shard as ShardId, member(host)))
            .collect(),
    }
}

#[test]
fn what_is_known_of_the_owner_before_decides_the_wait() {
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
        ("gone", owners(&[1, 2]), owners(&[0, 2, 2]), GONE),
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
        let past = history.previous_owner(0, &own, &after, at(5_000));
        assert_eq!(past, expected, "{name}");
    }
}

#[test]
fn a_new_owner_waits_for_the_handover() {
    let cases = [
        (PreviousOwner::LiveHost, 3_800),
        (GONE, 800),
        (GONE_SOON, 2_800),
        (PreviousOwner::OwnHost, 1_000),
    ];
    for (past, wait_ms) in cases {
        let leases = ShardLeases::new(SHARDS);
        for ms in (0..wait_ms).step_by(200) {
            leases.apply_assignment(&share(5, &[1]), |_| past, at(ms), at(ms), &TIMES);
            assert_eq!(
                leases.fencing_token_for(1, at(ms)),
                None,
                "{past:?} at {ms}"
            );
        }
        leases.apply_assignment(&share(5, &[1]), |_| past, at(wait_ms), at(wait_ms), &TIMES);
        assert_eq!(
            leases.fencing_token_for(1, at(wait_ms)),
            Some(5),
            "{past:?}"
        );
        assert_eq!(
            leases.fencing_token_for(2, at(wait_ms)),
            None,
            "another shard"
        );
    }
}

#[test]
fn a_host_that_hears_nothing_stops_before_its_shards_are_dealt_anew() {
    let leases = ShardLeases::new(SHARDS);
    leases.apply_assignment(
        &share(5, &[1]),
        |_| PreviousOwner::OwnHost,
        at(0),
        at(0),
        &TIMES,
    );
    leases.apply_assignment(
        &share(5, &[1]),
        |_| PreviousOwner::OwnHost,
        at(1_000),
        at(1_050),
        &TIMES,
    );
    assert!(leases.fencing_token_for(1, at(1_799)).is_some());
    assert!(
        leases.fencing_token_for(1, at(1_800)).is_none(),
        "counted from its word, not the answer"
    );
}

#[test]
fn after_a_gap_longer_than_the_expiry_a_shard_is_a_new_one() {
    let leases = ShardLeases::new(SHARDS);
    leases.apply_assignment(
        &share(5, &[1]),
        |_| PreviousOwner::OwnHost,
        at(0),
        at(0),
        &TIMES,
    );
    let gap = at(4_000);
    leases.apply_assignment(
        &share(5, &[1]),
        |_| PreviousOwner::LiveHost,
        gap,
        gap,
        &TIMES,
    );
    assert!(leases.fencing_token_for(1, at(4_100)).is_none());
}

#[test]
fn the_fencing_number_does_not_fall_when_the_group_forgets_its_generations() {
    let leases = ShardLeases::new(SHARDS);
    for (ms, generation) in [(0, 9), (600, 9), (1_200, 2)] {
        let share = share(generation, &[1]);
        leases.apply_assignment(&share, |_| PreviousOwner::OwnHost, at(ms), at(ms), &TIMES);
    }
    assert_eq!(leases.fencing_token_for(1, at(1_300)), Some(9));
}

/// A group that deals out shards, with hosts that die, freeze and return.
struct GroupModel {
    /// Owner of each shard.
    owner: [usize; SHARDS as usize],
    /// Number of the last change.
    generation: u64,
    /// When each host was last heard; `None` when it is not in the group.
    heard: [Option<u64>; 3],
    /// Leases of each host.
    leases: [ShardLeases; 3],
    /// Owners as each host last read them.
    read: [OwnerHistory; 3],
    /// Until when each host does nothing.
    quiet_until: [u64; 3],
    /// Last order to each shard: host and time.
    last_order: [Option<(usize, u64)>; SHARDS as usize],
}

impl GroupModel {
    /// Three hosts, none in the group.
    fn new() -> Self {
        Self {
            owner: [usize::MAX; SHARDS as usize],
            generation: 0,
            heard: [None; 3],
            leases: std::array::from_fn(|_| ShardLeases::new(SHARDS)),
            read: std::array::from_fn(|_| OwnerHistory::default()),
            quiet_until: [0; 3],
            last_order: [None; SHARDS as usize],
        }
    }

    /// Deals all shards to the hosts that are in the group.
    fn deal(&mut self, turn: usize) {
        let live: Vec<usize> = (0..3).filter(|&host| self.heard[host].is_some()).collect();
        self.generation += 1;
        for (shard, owner) in self.owner.iter_mut().enumerate() {
            *owner = match live.len() {
                0 => usize::MAX,
                count => live[(shard + turn) % count],
            };
        }
    }

    /// All owners.
    fn owners(&self) -> ShardOwners {
        let owners = self.owner.iter().enumerate();
        let owners = owners.filter(|(_, &host)| host != usize::MAX);
        ShardOwners {
            owners: owners
                .map(|(shard, &host)| (shard as ShardId, member(host)))
                .collect(),
        }
    }

    /// A host's word to the group.
    fn join(&mut self, host: usize, now: u64) {
        if self.heard[host].is_none() {
            self.heard[host] = Some(now);
            self.deal(host);
        }
        self.heard[host] = Some(now);
        let shards = (0..SHARDS).filter(|&shard| self.owner[shard as usize] == host);
        let share = share(self.generation, &shards.collect::<Vec<_>>());
        let after = self.owners();
        let own = member(host);
        self.read[host].discard_stale(self.generation);
        let history = &self.read[host];
        let past = |shard| history.previous_owner(shard, &own, &after, at(now));
        self.leases[host].apply_assignment(&share, past, at(now), at(now), &TIMES);
        self.read[host].record_owners(&after, self.generation, at(now));
    }

    /// Takes hosts out that were silent for the expiry.
    fn expire(&mut self, now: u64) {
        let expiry = TIMES.expiry.as_millis() as u64;
        let gone = |heard: Option<u64>| heard.is_some_and(|at| now - at >= expiry);
        if self.heard.iter().any(|&heard| gone(heard)) {
            for heard in &mut self.heard {
                *heard = heard.filter(|&at| !gone(Some(at)));
            }
            self.deal(0);
        }
    }

    /// Each host that may gives an order to each shard; a turn within the handover is a fault.
    fn order(&mut self, now: u64) -> Result<(), String> {
        for shard in 0..SHARDS {
            for host in 0..3 {
                if now < self.quiet_until[host] {
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
fn two_hosts_never_order_within_the_handover() {
    // Each step: what happens (a host falls quiet, or all shards are dealt anew), and when.
    fn holds(steps: Vec<(u8, u16)>) -> TestResult {
        let mut model = GroupModel::new();
        let mut now = 0;
        for (what, pause) in steps {
            let until = now + u64::from(pause % 4_000) + 10;
            while now < until {
                model.expire(now);
                for host in 0..3 {
                    let due = (now / 10 + host as u64) % 35 == 0;
                    if due && now >= model.quiet_until[host] {
                        model.join(host, now);
                    }
                }
                if let Err(fault) = model.order(now) {
                    return TestResult::error(fault);
                }
                now += 10;
            }
            match what % 5 {
                4 => model.deal(usize::from(what)),
                host if host < 3 => {
                    model.quiet_until[usize::from(host)] = now + 200 + u64::from(what) * 40;
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

//! Membership: joining, crashes, partitions, leaving, heads, invalid datagrams, constant load.

use std::time::Duration;

use bytes::Bytes;
use tokio::time;
use wagtaildoor::{
    datagram_transport::DatagramTransport,
    peer_datagram::DatagramCodec,
    schema::{
        ClockStamp,
        EventKind,
        PeerFrame,
        PeerProbe, //
    },
    timeline::EventFilter,
};

use crate::members::{
    address,
    alive,
    head,
    host,
    MemberGroup,
    PERIOD,
    SECRET, //
};

#[path = "support/members.rs"]
mod members;

/// Timeout for the members to agree.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(240);

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

fn all_except(count: usize, left_out: &[usize]) -> Vec<usize> {
    let kept = (0..count).filter(|index| !left_out.contains(index));
    kept.collect()
}

#[tokio::test(start_paused = true)]
async fn members_discover_each_other_from_two_seeds() {
    for (count, domains) in [(2, 1), (5, 4), (5, 3), (12, 3), (40, 7)] {
        let group = MemberGroup::start(count, domains).await;
        group
            .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_crash_and_a_restart_are_detected() {
    for (count, domains) in [(3, 1), (5, 3), (12, 3)] {
        let mut group = MemberGroup::start(count, domains).await;
        group
            .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
            .await;
        let last = count - 1;
        group.kill(last);
        let left = all_except(count, &[last]);
        group.await_alive(&left, &left, CONVERGENCE_TIMEOUT).await;
        group.restart(last).await;
        group
            .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
            .await;
    }
}

#[tokio::test(start_paused = true)]
async fn all_members_are_alive_after_a_restart_of_all() {
    let mut group = MemberGroup::start(12, 3).await;
    group
        .await_alive(&all(12), &all(12), CONVERGENCE_TIMEOUT)
        .await;
    for index in 0..12 {
        group.restart(index).await;
    }
    group
        .await_alive(&all(12), &all(12), CONVERGENCE_TIMEOUT)
        .await;
}

#[tokio::test(start_paused = true)]
async fn lost_and_duplicated_datagrams_mark_no_host_as_gone() {
    let group = MemberGroup::start(9, 3).await;
    group
        .await_alive(&all(9), &all(9), CONVERGENCE_TIMEOUT)
        .await;
    group.network.drop_every(7);
    group.network.duplicate_every(5);
    for _ in 0..600 {
        time::sleep(PERIOD).await;
        for member in &group.members {
            let hosts = member.member.hosts().borrow().clone();
            assert_eq!(alive(&hosts).len(), 9, "seen by {}", host(member.index));
        }
    }
    let stale: u64 = group.members.iter().map(|m| m.member.counts().stale).sum();
    assert!(stale > 0, "no duplicated datagram was counted as stale");
}

#[tokio::test(start_paused = true)]
async fn a_partition_is_detected_on_both_sides_and_heals() {
    let count = 12;
    let group = MemberGroup::start(count, 3).await;
    group
        .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
        .await;
    let minority: Vec<usize> = (0..count).filter(|index| index % 3 == 0).collect();
    for index in &minority {
        group.network.set_partition(address(*index), 1);
    }
    let majority = all_except(count, &minority);
    group
        .await_alive(&minority, &minority, CONVERGENCE_TIMEOUT)
        .await;
    group
        .await_alive(&majority, &majority, CONVERGENCE_TIMEOUT)
        .await;
    // A configuration known to one side only reaches the other after the partition heals.
    group.members[1].member.set_head(head(9)).await;
    group.network.heal();
    group
        .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
        .await;
    for index in &minority {
        let mut hosts = group.members[*index].member.hosts();
        let member = &group.members[*index].member;
        let seen = async {
            while member.host_with_newest_head().is_none() {
                hosts.changed().await.expect("a member");
            }
        };
        time::timeout(CONVERGENCE_TIMEOUT, seen)
            .await
            .expect("the newest head");
        let newest = member.host_with_newest_head().expect("a newer head");
        assert_eq!(newest.head.sequence, 9);
    }
}

#[tokio::test(start_paused = true)]
async fn partitioned_halves_rejoin_without_seeds() {
    let group = MemberGroup::start(8, 1).await;
    group
        .await_alive(&all(8), &all(8), CONVERGENCE_TIMEOUT)
        .await;
    for member in &group.members {
        member.member.set_seeds(vec![]).await;
    }
    let half = [0, 1, 2, 3];
    for index in half {
        group.network.set_partition(address(index), 1);
    }
    group.await_alive(&half, &half, CONVERGENCE_TIMEOUT).await;
    let other_half = all_except(8, &half);
    group
        .await_alive(&other_half, &other_half, CONVERGENCE_TIMEOUT)
        .await;
    group.network.heal();
    group
        .await_alive(&all(8), &all(8), CONVERGENCE_TIMEOUT)
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_single_isolated_host_does_not_make_the_others_flap() {
    let count = 8;
    let group = MemberGroup::start(count, 1).await;
    group
        .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
        .await;
    let others = all_except(count, &[7]);
    group.network.set_partition(address(7), 1);
    group.await_alive(&[7], &[7], CONVERGENCE_TIMEOUT).await;
    group
        .await_alive(&others, &others, CONVERGENCE_TIMEOUT)
        .await;
    group.network.heal();
    for _ in 0..120 {
        time::sleep(PERIOD).await;
        for index in &others {
            let hosts = group.members[*index].member.hosts().borrow().clone();
            let names = alive(&hosts);
            let lost = others.iter().find(|other| !names.contains(&host(**other)));
            assert_eq!(lost, None, "{} lost a host", host(*index));
        }
    }
    group
        .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
        .await;
}

#[tokio::test(start_paused = true)]
async fn indirect_probes_prevent_suspicion_when_one_pair_is_disconnected() {
    let group = MemberGroup::start(5, 1).await;
    group
        .await_alive(&all(5), &all(5), CONVERGENCE_TIMEOUT)
        .await;
    group.network.block_pair(address(0), address(1));
    time::sleep(PERIOD * 200).await;
    for member in &group.members {
        let recorded = member.recorder.page(&EventFilter::default()).events;
        let suspicions = recorded
            .iter()
            .filter(|e| e.kind == EventKind::PeerSuspected);
        assert_eq!(suspicions.count(), 0, "recorded by {}", host(member.index));
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_member_is_gone_without_a_suspicion_timeout() {
    let group = MemberGroup::start(6, 1).await;
    group
        .await_alive(&all(6), &all(6), CONVERGENCE_TIMEOUT)
        .await;
    group.members[5].member.leave().await;
    group.kill(5);
    let left = all_except(6, &[5]);
    // No suspicion timeout is involved, only one round of probes and gossip about the result.
    group.await_alive(&left, &left, PERIOD * 8).await;
}

#[tokio::test(start_paused = true)]
async fn a_new_head_reaches_all_members_within_six_seconds() {
    let count = 40;
    let group = MemberGroup::start(count, 7).await;
    group
        .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
        .await;
    // Each host adopts a newer head that it learns of, as a keeper does by fetching it.
    for member in &group.members {
        let member = member.member.clone();
        tokio::spawn(async move {
            let mut hosts = member.hosts();
            while hosts.changed().await.is_ok() {
                if let Some(newest) = member.host_with_newest_head() {
                    member.set_head(newest.head).await;
                }
            }
        });
    }
    for sequence in 1..=20 {
        let started = time::Instant::now();
        group.members[3].member.set_head(head(sequence)).await;
        for member in &group.members {
            let mut hosts = member.member.hosts();
            let name = host(member.index);
            let held = |hosts: &Vec<wagtaildoor::schema::HostView>| {
                let own = hosts.iter().find(|view| *view.id == *name);
                own.is_some_and(|own| own.head.sequence >= sequence)
            };
            let held = time::timeout(CONVERGENCE_TIMEOUT, hosts.wait_for(held)).await;
            assert!(held.is_ok(), "{name} never held {sequence}");
        }
        let took = started.elapsed();
        assert!(took < Duration::from_secs(6), "{sequence} took {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn invalid_and_unauthenticated_datagrams_are_dropped() {
    let group = MemberGroup::start(3, 1).await;
    group
        .await_alive(&all(3), &all(3), CONVERGENCE_TIMEOUT)
        .await;
    let before = group.members[0].member.counts().dropped;
    let sender = group.network.open(address(50));
    let probe = PeerProbe {
        from: host(1).into(),
        number: 1,
        reach: vec![],
        rumours: vec![],
        stamp: ClockStamp {
            counter: 0,
            wall_ms: 1,
        },
        target: host(0).into(),
    };
    let forged = DatagramCodec::new(&[8; 32]).expect("a codec");
    let forged = forged.encode(&PeerFrame::Ping(probe.clone()));
    let codec = DatagramCodec::new(&SECRET).expect("a codec");
    let misdirected = PeerProbe {
        target: host(2).into(),
        ..probe
    };
    let misdirected = codec.encode(&PeerFrame::Ping(misdirected));
    let datagrams = [
        Bytes::new(),
        Bytes::from_static(&[1, 2, 3]),
        Bytes::from(vec![0; 2_000]),
        forged.expect("a datagram"),
        misdirected.expect("a datagram"),
    ];
    let count = datagrams.len() as u64;
    for bytes in datagrams {
        sender.send(bytes, address(0)).await.expect("sent");
    }
    time::sleep(PERIOD * 20).await;
    assert_eq!(group.members[0].member.counts().dropped, before + count);
    group
        .await_alive(&all(3), &all(3), CONVERGENCE_TIMEOUT)
        .await;
}

#[tokio::test(start_paused = true)]
async fn the_load_of_a_host_does_not_grow_with_the_number_of_hosts() {
    let mut loads = Vec::new();
    for count in [8, 24, 72] {
        let group = MemberGroup::start(count, 2).await;
        group
            .await_alive(&all(count), &all(count), CONVERGENCE_TIMEOUT)
            .await;
        time::sleep(PERIOD * 30).await;
        let before = group.network.counts();
        time::sleep(PERIOD * 100).await;
        let after = group.network.counts();
        let bytes = after.arrived_bytes - before.arrived_bytes;
        loads.push(bytes / 100 / count as u64);
    }
    println!("bytes per second and host with 8, 24, 72 hosts: {loads:?}");
    let (lowest, highest) = (loads.iter().min(), loads.iter().max());
    let (lowest, highest) = (lowest.expect("sizes"), highest.expect("sizes"));
    assert!(
        highest * 2 < lowest * 3,
        "load grows with the number of hosts: {loads:?}"
    );
    assert!(
        *highest < 3_000,
        "more than half of the traffic allowance: {loads:?}"
    );
}

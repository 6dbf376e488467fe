//! Members among their peers: joining, crashes, cuts, leaving, heads, garbage, constant cost.

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

/// Longest wait for what must come to pass.
const LIMIT: Duration = Duration::from_secs(240);

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

fn but(count: usize, left_out: &[usize]) -> Vec<usize> {
    let kept = (0..count).filter(|index| !left_out.contains(index));
    kept.collect()
}

#[tokio::test(start_paused = true)]
async fn members_find_each_other_from_two_seeds() {
    for (count, domains) in [(2, 1), (5, 4), (5, 3), (12, 3), (40, 7)] {
        let group = MemberGroup::start(count, domains).await;
        group.await_alive(&all(count), &all(count), LIMIT).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_crashed_member_is_missed_and_its_return_seen() {
    for (count, domains) in [(3, 1), (5, 3), (12, 3)] {
        let mut group = MemberGroup::start(count, domains).await;
        group.await_alive(&all(count), &all(count), LIMIT).await;
        let last = count - 1;
        group.kill(last);
        let left = but(count, &[last]);
        group.await_alive(&left, &left, LIMIT).await;
        group.restart(last).await;
        group.await_alive(&all(count), &all(count), LIMIT).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_herd_restart_of_all_ends_with_all_alive() {
    let mut group = MemberGroup::start(12, 3).await;
    group.await_alive(&all(12), &all(12), LIMIT).await;
    for index in 0..12 {
        group.restart(index).await;
    }
    group.await_alive(&all(12), &all(12), LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn lost_and_doubled_datagrams_make_nobody_gone() {
    let group = MemberGroup::start(9, 3).await;
    group.await_alive(&all(9), &all(9), LIMIT).await;
    group.network.lose_every(7);
    group.network.double_every(5);
    for _ in 0..600 {
        time::sleep(PERIOD).await;
        for member in &group.members {
            let hosts = member.member.hosts().borrow().clone();
            assert_eq!(alive(&hosts).len(), 9, "seen by {}", host(member.index));
        }
    }
    let stale: u64 = group.members.iter().map(|m| m.member.counts().stale).sum();
    assert!(stale > 0, "no doubled datagram was passed over");
}

#[tokio::test(start_paused = true)]
async fn a_cut_is_seen_on_both_sides_and_heals_without_new_hosts_lost() {
    let count = 12;
    let group = MemberGroup::start(count, 3).await;
    group.await_alive(&all(count), &all(count), LIMIT).await;
    let inside: Vec<usize> = (0..count).filter(|index| index % 3 == 0).collect();
    for index in &inside {
        group.network.put_on_side(address(*index), 1);
    }
    let outside = but(count, &inside);
    group.await_alive(&inside, &inside, LIMIT).await;
    group.await_alive(&outside, &outside, LIMIT).await;
    // A configuration that only one side can get reaches the other once the cut heals.
    group.members[1].member.set_head(head(9)).await;
    group.network.heal();
    group.await_alive(&all(count), &all(count), LIMIT).await;
    for index in &inside {
        let mut hosts = group.members[*index].member.hosts();
        let member = &group.members[*index].member;
        let seen = async {
            while member.host_with_newest_head().is_none() {
                hosts.changed().await.expect("a member");
            }
        };
        time::timeout(LIMIT, seen).await.expect("the newest head");
        let newest = member.host_with_newest_head().expect("a newer head");
        assert_eq!(newest.head.sequence, 9);
    }
}

#[tokio::test(start_paused = true)]
async fn halves_that_gave_each_other_up_find_together_without_any_seed() {
    let group = MemberGroup::start(8, 1).await;
    group.await_alive(&all(8), &all(8), LIMIT).await;
    for member in &group.members {
        member.member.set_seeds(vec![]).await;
    }
    let half = [0, 1, 2, 3];
    for index in half {
        group.network.put_on_side(address(index), 1);
    }
    group.await_alive(&half, &half, LIMIT).await;
    let rest = but(8, &half);
    group.await_alive(&rest, &rest, LIMIT).await;
    group.network.heal();
    group.await_alive(&all(8), &all(8), LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn a_single_cut_off_host_does_not_make_the_others_flap() {
    let count = 8;
    let group = MemberGroup::start(count, 1).await;
    group.await_alive(&all(count), &all(count), LIMIT).await;
    let others = but(count, &[7]);
    group.network.put_on_side(address(7), 1);
    group.await_alive(&[7], &[7], LIMIT).await;
    group.await_alive(&others, &others, LIMIT).await;
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
    group.await_alive(&all(count), &all(count), LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn two_hosts_that_only_miss_each_other_are_vouched_for_by_others() {
    let group = MemberGroup::start(5, 1).await;
    group.await_alive(&all(5), &all(5), LIMIT).await;
    group.network.cut_pair(address(0), address(1));
    time::sleep(PERIOD * 200).await;
    for member in &group.members {
        let noted = member.recorder.page(&EventFilter::default()).events;
        let suspicions = noted.iter().filter(|e| e.kind == EventKind::PeerSuspected);
        assert_eq!(suspicions.count(), 0, "noted by {}", host(member.index));
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_member_is_gone_soon_after_its_end() {
    let group = MemberGroup::start(6, 1).await;
    group.await_alive(&all(6), &all(6), LIMIT).await;
    group.members[5].member.leave().await;
    group.kill(5);
    let left = but(6, &[5]);
    // Without a suspicion: one round of probes, and the news of it.
    group.await_alive(&left, &left, PERIOD * 8).await;
}

#[tokio::test(start_paused = true)]
async fn a_new_head_reaches_all_within_six_seconds() {
    let count = 40;
    let group = MemberGroup::start(count, 7).await;
    group.await_alive(&all(count), &all(count), LIMIT).await;
    // Each host that hears of a newer head takes it over, as a keeper does by fetching it.
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
            let held = time::timeout(LIMIT, hosts.wait_for(held)).await;
            assert!(held.is_ok(), "{name} never held {sequence}");
        }
        let took = started.elapsed();
        assert!(took < Duration::from_secs(6), "{sequence} took {took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn garbage_and_strangers_change_nothing() {
    let group = MemberGroup::start(3, 1).await;
    group.await_alive(&all(3), &all(3), LIMIT).await;
    let before = group.members[0].member.counts().dropped;
    let stranger = group.network.open(address(50));
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
    let forged = DatagramCodec::new(&[8; 32]).expect("a seal");
    let forged = forged.encode(&PeerFrame::Ping(probe.clone()));
    let own = DatagramCodec::new(&SECRET).expect("a seal");
    let misdirected = PeerProbe {
        target: host(2).into(),
        ..probe
    };
    let misdirected = own.encode(&PeerFrame::Ping(misdirected));
    let garbage = [
        Bytes::new(),
        Bytes::from_static(&[1, 2, 3]),
        Bytes::from(vec![0; 2_000]),
        forged.expect("a datagram"),
        misdirected.expect("a datagram"),
    ];
    let count = garbage.len() as u64;
    for bytes in garbage {
        stranger.send(bytes, address(0)).await.expect("sent");
    }
    time::sleep(PERIOD * 20).await;
    assert_eq!(group.members[0].member.counts().dropped, before + count);
    group.await_alive(&all(3), &all(3), LIMIT).await;
}

#[tokio::test(start_paused = true)]
async fn what_a_host_spends_does_not_grow_with_the_number_of_hosts() {
    let mut spent = Vec::new();
    for count in [8, 24, 72] {
        let group = MemberGroup::start(count, 2).await;
        group.await_alive(&all(count), &all(count), LIMIT).await;
        time::sleep(PERIOD * 30).await;
        let before = group.network.counts();
        time::sleep(PERIOD * 100).await;
        let after = group.network.counts();
        let bytes = after.arrived_bytes - before.arrived_bytes;
        spent.push(bytes / 100 / count as u64);
    }
    println!("bytes a second and host at 8, 24, 72 hosts: {spent:?}");
    let (least, most) = (spent.iter().min(), spent.iter().max());
    let (least, most) = (least.expect("sizes"), most.expect("sizes"));
    assert!(most * 2 < least * 3, "it grows: {spent:?}");
    assert!(*most < 3_000, "more than half of the allowance: {spent:?}");
}

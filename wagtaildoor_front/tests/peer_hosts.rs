//! Other hosts, as the group lists them and as they are heard.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    control_store::GroupMember,
    peer_hosts::{
        HintTarget,
        PeerHosts, //
    },
};

/// A host with an address.
fn host(name: &str, last: u8) -> GroupMember {
    host_in("north", name, last)
}

/// A host of a failure domain.
fn host_in(domain: &str, name: &str, last: u8) -> GroupMember {
    GroupMember {
        host: name.into(),
        domain: domain.into(),
        address: format!("10.0.0.{last}:7000").parse().expect("an address"),
    }
}

/// A time after the start.
fn at(s: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_secs(s)
}

#[test]
fn a_host_that_is_heard_stays_though_the_list_lacks_it() {
    let mut peers = PeerHosts::default();
    peers.apply_group_list(vec![host("a", 1)], at(0));
    assert!(peers.record_contact(&host("b", 2), at(1)));
    assert!(!peers.record_contact(&host("b", 2), at(5)));
    peers.apply_group_list(vec![host("a", 1)], at(9));
    assert_eq!(peers.len(), 2);
    peers.apply_group_list(vec![host("a", 1)], at(17));
    assert_eq!(peers.len(), 1, "it was silent for too long");
}

#[test]
fn a_listed_host_stays_though_it_is_silent() {
    let mut peers = PeerHosts::default();
    peers.apply_group_list(vec![host("a", 1)], at(0));
    peers.record_contact(&host("b", 2), at(100));
    assert_eq!(peers.len(), 2);
}

#[test]
fn a_host_that_moved_replaces_itself() {
    let mut peers = PeerHosts::default();
    peers.apply_group_list(vec![host("a", 1)], at(0));
    peers.record_contact(&host("a", 9), at(1));
    let members: Vec<GroupMember> = peers.members().cloned().collect();
    assert_eq!(members, [host("a", 9)]);
}

/// Targets of a hint of `own` in one round: last byte of the address, and whether it passes on.
fn targets(
    peers: &PeerHosts,
    own: &GroupMember,
    round: usize,
    now: BootInstant,
) -> Vec<(u8, bool)> {
    let last = |target: &HintTarget| match target.address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => panic!("the test has no such address"),
    };
    let targets = peers.hint_targets(own, round, now);
    targets.iter().map(|t| (last(t), t.is_forwarder)).collect()
}

#[test]
fn a_hint_crosses_to_each_other_domain_once() {
    let own = host_in("north", "n1", 1);
    let mut peers = PeerHosts::default();
    let north = (1..=3).map(|n| host_in("north", &format!("n{n}"), n));
    let south = (11..=13).map(|n| host_in("south", &format!("s{n}"), n));
    let east = (21..=22).map(|n| host_in("east", &format!("e{n}"), n));
    peers.apply_group_list(north.chain(south).chain(east).collect(), at(0));
    let mut passers = Vec::new();
    for round in 0..6 {
        let sent = targets(&peers, &own, round, at(1));
        let near: Vec<u8> = sent.iter().filter(|t| !t.1).map(|t| t.0).collect();
        assert_eq!(near, [2, 3], "hosts of the own domain get it directly");
        let far: Vec<u8> = sent.iter().filter(|t| t.1).map(|t| t.0).collect();
        assert_eq!(far.len(), 2, "one host of each other domain passes it on");
        passers.extend(far);
    }
    passers.sort_unstable();
    passers.dedup();
    assert_eq!(
        passers,
        [11, 12, 13, 21, 22],
        "all take turns to pass hints on"
    );
}

#[test]
fn a_silent_host_does_not_pass_hints_on() {
    let own = host_in("north", "n1", 1);
    let mut peers = PeerHosts::default();
    peers.record_contact(&host_in("south", "s1", 11), at(0));
    peers.record_contact(&host_in("south", "s2", 12), at(0));
    peers.record_contact(&host_in("south", "s2", 12), at(4));
    for round in 0..4 {
        assert_eq!(targets(&peers, &own, round, at(4)), [(12, true)]);
    }
    // With nobody better, the silent one is tried all the same.
    for round in 0..4 {
        assert_eq!(targets(&peers, &own, round, at(11)).len(), 1);
    }
}

#[test]
fn hosts_do_not_keep_one_that_is_gone_by_naming_it() {
    let mut first = PeerHosts::default();
    let mut second = PeerHosts::default();
    let gone = host("gone", 9);
    first.record_contact(&gone, at(0));
    for s in 0..60 {
        for named in first.confirmed_members(at(s)).cloned().collect::<Vec<_>>() {
            second.add_gossiped(named, at(s));
        }
        for named in second.confirmed_members(at(s)).cloned().collect::<Vec<_>>() {
            first.add_gossiped(named, at(s));
        }
        first.record_contact(&host("b", 2), at(s));
        second.record_contact(&host("a", 1), at(s));
    }
    assert!(first.members().all(|member| *member != gone));
    assert!(second.members().all(|member| *member != gone));
}

#[test]
fn a_host_that_is_only_named_is_told_of_news() {
    let own = host_in("north", "n1", 1);
    let mut peers = PeerHosts::default();
    peers.add_gossiped(host_in("north", "n2", 2), at(0));
    assert_eq!(targets(&peers, &own, 0, at(1)), [(2, false)]);
    assert_eq!(peers.confirmed_members(at(1)).count(), 0);
}

//! Hosts known from the group's list and from datagrams, and the destinations of hints.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    control_store::GroupMember,
    peer_hosts::{
        HintTarget,
        PeerHosts, //
    },
};

/// Creates a host in the failure domain `north`; `last` is the last byte of its address.
fn host(name: &str, last: u8) -> GroupMember {
    host_in("north", name, last)
}

/// Creates a host in a failure domain.
fn host_in(domain: &str, name: &str, last: u8) -> GroupMember {
    GroupMember {
        host: name.into(),
        domain: domain.into(),
        address: format!("10.0.0.{last}:7000").parse().expect("an address"),
    }
}

/// Time in seconds after boot.
fn at(s: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_secs(s)
}

#[test]
fn an_unlisted_host_that_sends_datagrams_is_kept() {
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
fn a_silent_host_that_is_listed_is_kept() {
    let mut peers = PeerHosts::default();
    peers.apply_group_list(vec![host("a", 1)], at(0));
    peers.record_contact(&host("b", 2), at(100));
    assert_eq!(peers.len(), 2);
}

#[test]
fn a_host_with_a_new_address_replaces_its_old_entry() {
    let mut peers = PeerHosts::default();
    peers.apply_group_list(vec![host("a", 1)], at(0));
    peers.record_contact(&host("a", 9), at(1));
    let members: Vec<GroupMember> = peers.members().cloned().collect();
    assert_eq!(members, [host("a", 9)]);
}

/// Targets of a hint from `own` in one round: last byte of the address, and whether it forwards.
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
fn a_hint_is_sent_to_each_other_domain_once() {
    let own = host_in("north", "n1", 1);
    let mut peers = PeerHosts::default();
    let north = (1..=3).map(|n| host_in("north", &format!("n{n}"), n));
    let south = (11..=13).map(|n| host_in("south", &format!("s{n}"), n));
    let east = (21..=22).map(|n| host_in("east", &format!("e{n}"), n));
    peers.apply_group_list(north.chain(south).chain(east).collect(), at(0));
    let mut forwarders = Vec::new();
    for round in 0..6 {
        let sent = targets(&peers, &own, round, at(1));
        let near: Vec<u8> = sent.iter().filter(|t| !t.1).map(|t| t.0).collect();
        assert_eq!(near, [2, 3], "hosts of the same domain receive it directly");
        let far: Vec<u8> = sent.iter().filter(|t| t.1).map(|t| t.0).collect();
        assert_eq!(far.len(), 2, "one host of each other domain forwards it");
        forwarders.extend(far);
    }
    forwarders.sort_unstable();
    forwarders.dedup();
    assert_eq!(
        forwarders,
        [11, 12, 13, 21, 22],
        "all hosts take turns to forward hints"
    );
}

#[test]
fn a_silent_host_is_not_chosen_to_forward_hints() {
    let own = host_in("north", "n1", 1);
    let mut peers = PeerHosts::default();
    peers.record_contact(&host_in("south", "s1", 11), at(0));
    peers.record_contact(&host_in("south", "s2", 12), at(0));
    peers.record_contact(&host_in("south", "s2", 12), at(4));
    for round in 0..4 {
        assert_eq!(targets(&peers, &own, round, at(4)), [(12, true)]);
    }
    // If all hosts of the domain are silent, one of them is chosen anyway.
    for round in 0..4 {
        assert_eq!(targets(&peers, &own, round, at(11)).len(), 1);
    }
}

#[test]
fn a_stopped_host_expires_although_others_name_it() {
    let mut first = PeerHosts::default();
    let mut second = PeerHosts::default();
    let stopped = host("gone", 9);
    first.record_contact(&stopped, at(0));
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
    assert!(first.members().all(|member| *member != stopped));
    assert!(second.members().all(|member| *member != stopped));
}

#[test]
fn a_host_that_was_only_named_receives_hints() {
    let own = host_in("north", "n1", 1);
    let mut peers = PeerHosts::default();
    peers.add_gossiped(host_in("north", "n2", 2), at(0));
    assert_eq!(targets(&peers, &own, 0, at(1)), [(2, false)]);
    assert_eq!(peers.confirmed_members(at(1)).count(), 0);
}

#[test]
fn hosts_of_a_large_group_send_and_expect_datagrams_less_often() {
    let mut peers = PeerHosts::default();
    let members = (0..=255).map(|last| host(&format!("h{last}"), last));
    for member in members {
        peers.record_contact(&member, at(0));
    }
    assert_eq!(peers.size_factor(), 3);
    assert_eq!(peers.confirmed_members(at(8)).count(), 256);
    assert_eq!(peers.confirmed_members(at(9)).count(), 0);
}

//! Other hosts, as the group lists them and as they are heard.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::{
    control_store::GroupMember,
    peer_hosts::PeerHosts, //
};

/// A host with an address.
fn host(name: &str, last: u8) -> GroupMember {
    GroupMember {
        host: name.into(),
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
    peers.listed(vec![host("a", 1)], at(0));
    assert!(peers.heard(host("b", 2), at(1)));
    assert!(!peers.heard(host("b", 2), at(5)));
    peers.listed(vec![host("a", 1)], at(9));
    assert_eq!(peers.len(), 2);
    peers.listed(vec![host("a", 1)], at(17));
    assert_eq!(peers.len(), 1, "it was silent for too long");
}

#[test]
fn a_listed_host_stays_though_it_is_silent() {
    let mut peers = PeerHosts::default();
    peers.listed(vec![host("a", 1)], at(0));
    peers.heard(host("b", 2), at(100));
    assert_eq!(peers.len(), 2);
}

#[test]
fn a_host_that_moved_replaces_itself() {
    let mut peers = PeerHosts::default();
    peers.listed(vec![host("a", 1)], at(0));
    peers.heard(host("a", 9), at(1));
    let members: Vec<GroupMember> = peers.members().cloned().collect();
    assert_eq!(members, [host("a", 9)]);
}

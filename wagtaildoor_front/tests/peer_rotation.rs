//! Order in which hosts are asked for records while the store is away.

use std::net::SocketAddr;

use wagtaildoor_front::peer_rotation::PeerRotation;

/// Address of a host; `last` is its last byte.
fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7000))
}

#[test]
fn a_seed_that_is_nobody_costs_one_ask_at_most() {
    let seeds = [address(1), address(2)];
    for random_value in 0..500 {
        let mut rotation = PeerRotation::default();
        let first = rotation.next_address(&seeds, &[], random_value);
        let second = rotation.next_address(&seeds, &[], random_value);
        assert_ne!(first, second, "random value {random_value}");
    }
}

#[test]
fn the_host_that_was_asked_longest_ago_follows_when_all_were_asked() {
    let hosts = [address(1), address(2), address(3)];
    let mut rotation = PeerRotation::default();
    let first_round: Vec<_> = (0..3)
        .map(|draw| rotation.next_address(&hosts, &[], draw))
        .collect();
    let second_round: Vec<_> = (7..10)
        .map(|draw| rotation.next_address(&hosts, &[], draw))
        .collect();
    assert_eq!(first_round, second_round);
}

#[test]
fn a_new_host_is_asked_before_those_that_did_not_answer() {
    let mut rotation = PeerRotation::default();
    rotation.next_address(&[address(1)], &[], 0);
    let hosts = [address(1), address(2)];
    assert_eq!(rotation.next_address(&hosts, &[], 0), Some(address(2)));
    assert_eq!(rotation.next_address(&[], &[], 0), None);
}

/// A whole list crosses between domains only if no host of the own one answered.
#[test]
fn hosts_of_other_domains_are_asked_after_those_of_the_own_one() {
    let (near, far) = ([address(1), address(2)], [address(3), address(4)]);
    let mut rotation = PeerRotation::default();
    for random_value in 0..2 {
        let asked = rotation.next_address(&near, &far, random_value);
        assert!(near.contains(&asked.expect("a host")));
    }
    let third = rotation.next_address(&near, &far, 0);
    assert!(far.contains(&third.expect("a host")));
}

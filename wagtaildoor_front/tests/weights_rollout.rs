//! Which engines are given orders next.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::weights_rollout::{
    OrderState,
    OrderTracker,
    RolloutEngine, //
};

/// A time after the start.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Engines with weights, and whether they are this host's, keys from 0 on.
fn engines(states: &[(u64, bool)]) -> Vec<RolloutEngine> {
    let engines = states.iter().enumerate();
    engines
        .map(|(key, &(weights, is_own))| RolloutEngine {
            key: key as u64,
            weights,
            described: weights,
            is_own,
        })
        .collect()
}

/// An engine that loads for 300 ms from a time on.
fn loading(version: u64, from_ms: u64) -> OrderState {
    OrderState::Loading {
        version,
        done: at(from_ms + 300),
        confirm_by: at(from_ms + 2_900),
    }
}

/// Gives the orders of several hosts that share 18 engines, and loads them in 300 ms; gives the
/// most that loaded at a time, and the time until all had loaded.
fn roll_out(hosts: u64, silent: Option<u64>) -> (usize, u64) {
    let mut trackers: Vec<OrderTracker> = (0..hosts).map(|_| OrderTracker::default()).collect();
    let mut done_at: [Option<u64>; 18] = [None; 18];
    let mut most = 0;
    for ms in (0..60_000).step_by(40) {
        let before = done_at;
        let has = |key: u64| before[key as usize].is_some_and(|at| ms >= at);
        let owns = |host: u64, key: u64| key % hosts == host;
        for host in 0..hosts {
            let states: Vec<(u64, bool)> = (0..18)
                .map(|key| (1 + u64::from(has(key)), owns(host, key)))
                .collect();
            for key in trackers[host as usize].next_orders(&engines(&states), 2, 3, at(ms)) {
                if Some(host) != silent {
                    trackers[host as usize].set_state(key, loading(2, ms));
                    done_at[key as usize].get_or_insert(ms + 300);
                }
            }
        }
        let loading = |at: &Option<u64>| at.is_some_and(|at| ms < at);
        most = most.max(done_at.iter().filter(|at| loading(at)).count());
        let all = (0..18).all(|key| has(key) || Some(key % hosts) == silent);
        if all {
            return (most, ms);
        }
    }
    panic!("not all engines were loaded: {done_at:?}");
}

#[test]
fn no_more_engines_load_at_a_time_however_many_hosts_give_orders() {
    for hosts in [1, 2, 5, 18] {
        let (most, took_ms) = roll_out(hosts, None);
        assert!(most <= 3, "{hosts} hosts: {most} at a time");
        assert!(took_ms <= 2_200, "{hosts} hosts: {took_ms} ms");
    }
}

#[test]
fn a_host_that_gives_no_orders_does_not_hold_up_the_others() {
    let (_, took_ms) = roll_out(5, Some(1));
    assert!(took_ms <= 5_000, "{took_ms} ms");
}

#[test]
fn an_engine_is_not_ordered_twice_while_it_loads() {
    let mut tracker = OrderTracker::default();
    let engines = engines(&[(1, true)]);
    tracker.set_state(0, OrderState::Calling);
    assert!(tracker.next_orders(&engines, 2, 4, at(0)).is_empty());
    tracker.set_state(0, loading(2, 0));
    assert!(
        tracker.next_orders(&engines, 2, 4, at(400)).is_empty(),
        "it is not confirmed yet"
    );
}

#[test]
fn versions_in_quick_succession_go_straight_to_the_newest() {
    let mut tracker = OrderTracker::default();
    let engines = engines(&[(1, true), (1, true)]);
    tracker.set_state(0, loading(2, 0));
    assert_eq!(
        tracker.next_orders(&engines, 4, 4, at(100)),
        [1],
        "the first still loads"
    );
    let mut both = tracker.next_orders(&engines, 4, 4, at(300));
    both.sort_unstable();
    assert_eq!(both, [0, 1]);
}

#[test]
fn an_order_without_effect_is_given_again() {
    let mut tracker = OrderTracker::default();
    let mut engines = engines(&[(2, true), (2, true)]);
    engines[0].described = 1;
    tracker.set_state(0, loading(2, 0));
    tracker.set_state(1, loading(2, 0));
    assert!(tracker.take_unconfirmed(&engines, at(2_899)).is_empty());
    assert_eq!(tracker.take_unconfirmed(&engines, at(2_900)), [0]);
    engines[0].weights = 1;
    assert_eq!(tracker.next_orders(&engines, 2, 4, at(2_900)), [0]);
}

#[test]
fn an_engine_that_did_not_answer_is_asked_again_later() {
    let mut tracker = OrderTracker::default();
    let engines = engines(&[(1, true)]);
    tracker.set_state(0, OrderState::Waiting(at(200)));
    assert!(tracker.next_orders(&engines, 2, 4, at(199)).is_empty());
    assert_eq!(tracker.next_orders(&engines, 2, 4, at(200)), [0]);
}

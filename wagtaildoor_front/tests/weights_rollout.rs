//! Which engines are given orders next.

use std::time::Duration;

use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_front::weights_rollout::{
    OrderBook,
    OrderState,
    RolloutEngine, //
};

/// A time after the start.
fn at(ms: u64) -> BootInstant {
    BootInstant::ZERO + Duration::from_millis(ms)
}

/// Engines with weights and a number of requests, keys from 0 on.
fn engines(states: &[(u64, f64)]) -> Vec<RolloutEngine> {
    let engines = states.iter().enumerate();
    engines
        .map(|(key, &(weights, requests))| RolloutEngine {
            key: key as u64,
            weights,
            described: weights,
            requests,
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

#[test]
fn the_least_busy_engines_that_are_behind_come_first() {
    let mut book = OrderBook::default();
    let engines = engines(&[(1, 5.0), (2, 0.0), (1, 1.0), (1, 3.0)]);
    assert_eq!(book.next(&engines, 2, 2, at(0)), [2, 3]);
    assert!(book.next(&engines, 2, 0, at(0)).is_empty());
}

#[test]
fn an_engine_is_not_ordered_twice_while_it_loads() {
    let mut book = OrderBook::default();
    let engines = engines(&[(1, 0.0)]);
    book.note(0, OrderState::Calling);
    assert!(book.next(&engines, 2, 4, at(0)).is_empty());
    book.note(0, loading(2, 0));
    assert!(
        book.next(&engines, 2, 4, at(400)).is_empty(),
        "it is not confirmed yet"
    );
    assert_eq!(book.busy(at(299)).count(), 1);
    assert_eq!(book.busy(at(300)).count(), 0);
}

#[test]
fn versions_in_quick_succession_go_straight_to_the_newest() {
    let mut book = OrderBook::default();
    let engines = engines(&[(1, 0.0), (1, 0.0)]);
    book.note(0, loading(2, 0));
    assert_eq!(
        book.next(&engines, 4, 4, at(100)),
        [1],
        "the first still loads"
    );
    assert_eq!(book.next(&engines, 4, 4, at(300)), [0, 1]);
}

#[test]
fn an_order_without_effect_is_given_again() {
    let mut book = OrderBook::default();
    let mut engines = engines(&[(2, 0.0), (2, 0.0)]);
    engines[0].described = 1;
    book.note(0, loading(2, 0));
    book.note(1, loading(2, 0));
    assert!(book.unconfirmed(&engines, at(2_899)).is_empty());
    assert_eq!(book.unconfirmed(&engines, at(2_900)), [0]);
    engines[0].weights = 1;
    assert_eq!(book.next(&engines, 2, 4, at(2_900)), [0]);
}

#[test]
fn an_engine_that_did_not_answer_is_asked_again_later() {
    let mut book = OrderBook::default();
    let engines = engines(&[(1, 0.0)]);
    book.note(0, OrderState::Waiting(at(200)));
    assert!(book.next(&engines, 2, 4, at(199)).is_empty());
    assert_eq!(book.next(&engines, 2, 4, at(200)), [0]);
}

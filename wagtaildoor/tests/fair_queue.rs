//! Fairness between accounts, order within them, and room for newcomers.

#[path = "support/seeds.rs"]
mod seeds;

use std::{
    collections::HashMap,
    time::Duration, //
};

use tokio::time::Instant;
use wagtaildoor::{
    fair_queue::{
        FairQueue,
        SchedulingParams, //
    },
    schema::Urgency,
};

/// Terms of a waiter with a deadline so many seconds after `start`.
fn terms(
    start: Instant,
    account: &str,
    weight: u32,
    urgency: Urgency,
    seconds: u64,
) -> SchedulingParams {
    SchedulingParams {
        account: account.into(),
        weight,
        urgency,
        deadline: start + Duration::from_secs(seconds),
        cost: 1,
    }
}

/// Accounts with full queues are served by their weights, within one request each.
fn served_by_weight(weights: Vec<u8>, costs: Vec<u8>) -> Result<(), String> {
    let start = Instant::now();
    let weights: Vec<u32> = weights
        .iter()
        .take(6)
        .map(|weight| u32::from(weight % 8) + 1)
        .collect();
    let costs: Vec<u64> = costs.iter().map(|cost| u64::from(cost % 50) + 1).collect();
    if weights.len() < 2 || costs.is_empty() {
        return Ok(());
    }
    let mut queue = FairQueue::default();
    for (account, &weight) in weights.iter().enumerate() {
        for number in 0..200 {
            let cost = costs[(account + number) % costs.len()];
            let own = SchedulingParams {
                cost,
                ..terms(
                    start,
                    &account.to_string(),
                    weight,
                    Urgency::Normal,
                    number as u64,
                )
            };
            queue.push(&own, (account, cost));
        }
    }
    let most = *costs.iter().max().expect("a cost") as f64;
    let mut served = vec![0.0; weights.len()];
    for _ in 0..150 {
        let (account, cost) = queue.pop().expect("a waiter");
        served[account] += cost as f64 / f64::from(weights[account]);
        for (near, near_weight) in weights.iter().enumerate() {
            for (far, far_weight) in weights.iter().enumerate() {
                let bound = most / f64::from(*near_weight) + most / f64::from(*far_weight);
                if (served[near] - served[far]).abs() > bound + 1e-6 {
                    return Err(format!("{near} and {far} of {weights:?}: {served:?}"));
                }
            }
        }
    }
    Ok(())
}

/// Whatever is pushed, popped and removed, each waiter comes out once, and by deadline.
fn each_comes_out_once(steps: Vec<(u8, u8, u8)>) -> Result<(), String> {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    let mut waiting = HashMap::new();
    for (number, (kind, account, seconds)) in steps.into_iter().enumerate() {
        let urgency = [Urgency::Urgent, Urgency::Normal, Urgency::Batch][usize::from(kind % 3)];
        let account = (account % 4).to_string();
        match kind / 64 {
            0 | 1 => {
                let own = terms(start, &account, 1, urgency, seconds.into());
                let place = queue.push(&own, number);
                waiting.insert(number, (place, account, urgency, seconds));
            }
            2 => match queue.pop() {
                None if waiting.is_empty() => (),
                None => return Err("lost a waiter".into()),
                Some(out) => {
                    let (_, account, urgency, seconds) =
                        waiting.remove(&out).ok_or("came out twice")?;
                    let earlier = waiting.values().find(|(_, other, class, before)| {
                        *other == account && *class == urgency && *before < seconds
                    });
                    if earlier.is_some() {
                        return Err("a later deadline went first".into());
                    }
                }
            },
            _ => {
                let Some(&out) = waiting.keys().min() else {
                    continue;
                };
                let (place, ..) = waiting.remove(&out).expect("a waiter");
                if queue.remove(&place) != Some(out) {
                    return Err("removed another waiter".into());
                }
            }
        }
        if queue.len() != waiting.len() {
            return Err(format!("counts {} of {}", queue.len(), waiting.len()));
        }
    }
    Ok(())
}

#[test]
fn accounts_are_served_by_weight() {
    seeds::check("weights", served_by_weight as fn(Vec<u8>, Vec<u8>) -> _);
}

#[test]
fn each_waiter_comes_out_once_and_by_deadline() {
    seeds::check("once", each_comes_out_once as fn(Vec<(u8, u8, u8)>) -> _);
}

#[test]
fn urgent_work_goes_first_and_batch_work_does_not_starve() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(
            &terms(start, "a", 1, Urgency::Urgent, number),
            Urgency::Urgent,
        );
        queue.push(
            &terms(start, "a", 1, Urgency::Batch, number),
            Urgency::Batch,
        );
    }
    let order: Vec<Urgency> = (0..64).filter_map(|_| queue.pop()).collect();
    let batch = order
        .iter()
        .filter(|class| **class == Urgency::Batch)
        .count();
    assert_eq!(batch, 4, "one turn of 16");
    assert_eq!(order[0], Urgency::Urgent);
}

#[test]
fn an_idle_account_saves_up_nothing() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(&terms(start, "busy", 1, Urgency::Normal, number), "busy");
    }
    for _ in 0..50 {
        queue.pop();
    }
    for number in 0..50 {
        queue.push(&terms(start, "late", 1, Urgency::Normal, number), "late");
    }
    let next: Vec<&str> = (0..20).filter_map(|_| queue.pop()).collect();
    let late = next.iter().filter(|name| **name == "late").count();
    assert!((9..=11).contains(&late), "{next:?}");
}

#[test]
fn room_is_made_by_the_account_that_waits_with_most() {
    let start = Instant::now();
    let cases = [
        ("small account", "small", Urgency::Normal, Some("flood")),
        ("the flood itself", "flood", Urgency::Normal, None),
        ("more urgent", "flood", Urgency::Urgent, Some("flood")),
        ("less urgent", "small", Urgency::Batch, None),
    ];
    for (name, account, urgency, expected) in cases {
        let mut queue = FairQueue::default();
        for number in 0..10 {
            queue.push(&terms(start, "flood", 1, Urgency::Normal, number), "flood");
        }
        queue.push(&terms(start, "small", 1, Urgency::Normal, 1), "small");
        let made = queue.evict_for(&terms(start, account, 1, urgency, 1));
        assert_eq!(made, expected, "{name}");
    }
}

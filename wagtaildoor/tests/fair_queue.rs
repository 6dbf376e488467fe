//! Fairness between accounts, order within an account, and eviction.

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

/// Parameters of an item of cost 1 whose deadline is `seconds` after `start`.
fn params(
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

/// Property: backlogged accounts are served by weight, up to one item of maximum cost each.
fn check_weighted_service(weights: Vec<u8>, costs: Vec<u8>) -> Result<(), String> {
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
            let params = SchedulingParams {
                cost,
                ..params(
                    start,
                    &account.to_string(),
                    weight,
                    Urgency::Normal,
                    number as u64,
                )
            };
            queue.push(&params, (account, cost));
        }
    }
    let max_cost = *costs.iter().max().expect("a cost") as f64;
    let mut served = vec![0.0; weights.len()];
    for _ in 0..150 {
        let (account, cost) = queue.pop().expect("a queued item");
        served[account] += cost as f64 / f64::from(weights[account]);
        for (left, left_weight) in weights.iter().enumerate() {
            for (right, right_weight) in weights.iter().enumerate() {
                let bound =
                    max_cost / f64::from(*left_weight) + max_cost / f64::from(*right_weight);
                if (served[left] - served[right]).abs() > bound + 1e-6 {
                    return Err(format!("{left} and {right} of {weights:?}: {served:?}"));
                }
            }
        }
    }
    Ok(())
}

/// Property: each item leaves the queue exactly once, and each account by deadline.
fn check_pop_order(steps: Vec<(u8, u8, u8)>) -> Result<(), String> {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    let mut queued = HashMap::new();
    for (number, (kind, account, seconds)) in steps.into_iter().enumerate() {
        let urgency = [Urgency::Urgent, Urgency::Normal, Urgency::Batch][usize::from(kind % 3)];
        let account = (account % 4).to_string();
        match kind / 64 {
            0 | 1 => {
                let params = params(start, &account, 1, urgency, seconds.into());
                let handle = queue.push(&params, number);
                queued.insert(number, (handle, account, urgency, seconds));
            }
            2 => match queue.pop() {
                None if queued.is_empty() => (),
                None => return Err("lost an item".into()),
                Some(out) => {
                    let (_, account, urgency, seconds) =
                        queued.remove(&out).ok_or("popped an item twice")?;
                    let earlier = queued.values().find(|(_, other, class, before)| {
                        *other == account && *class == urgency && *before < seconds
                    });
                    if earlier.is_some() {
                        return Err("popped a later deadline first".into());
                    }
                }
            },
            _ => {
                let Some(&out) = queued.keys().min() else {
                    continue;
                };
                let (handle, ..) = queued.remove(&out).expect("a queued item");
                if queue.remove(&handle) != Some(out) {
                    return Err("removed another item".into());
                }
            }
        }
        if queue.len() != queued.len() {
            return Err(format!(
                "length {} instead of {}",
                queue.len(),
                queued.len()
            ));
        }
    }
    Ok(())
}

#[test]
fn accounts_are_served_by_weight() {
    seeds::check(
        "weights",
        check_weighted_service as fn(Vec<u8>, Vec<u8>) -> _,
    );
}

#[test]
fn each_item_is_popped_once_and_by_deadline() {
    seeds::check("once", check_pop_order as fn(Vec<(u8, u8, u8)>) -> _);
}

#[test]
fn urgent_work_goes_first_and_batch_work_does_not_starve() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(
            &params(start, "a", 1, Urgency::Urgent, number),
            Urgency::Urgent,
        );
        queue.push(
            &params(start, "a", 1, Urgency::Batch, number),
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
fn an_idle_account_earns_no_credit() {
    let start = Instant::now();
    let mut queue = FairQueue::default();
    for number in 0..100 {
        queue.push(&params(start, "busy", 1, Urgency::Normal, number), "busy");
    }
    for _ in 0..50 {
        queue.pop();
    }
    for number in 0..50 {
        queue.push(&params(start, "late", 1, Urgency::Normal, number), "late");
    }
    let next: Vec<&str> = (0..20).filter_map(|_| queue.pop()).collect();
    let late = next.iter().filter(|name| **name == "late").count();
    assert!((9..=11).contains(&late), "{next:?}");
}

#[test]
fn the_most_backlogged_account_is_evicted() {
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
            queue.push(&params(start, "flood", 1, Urgency::Normal, number), "flood");
        }
        queue.push(&params(start, "small", 1, Urgency::Normal, 1), "small");
        let made = queue.evict_for(&params(start, account, 1, urgency, 1));
        assert_eq!(made, expected, "{name}");
    }
}

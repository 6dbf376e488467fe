//! Two of a zone's three hosts are stopped, of five in all; requests come until the end. Rule: LOST.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    at,
    client::{self, Balancer, Seen, Traffic},
    replica::Replica,
    store::Store,
    Setup,
};

/// Bounds of the deployment.
const GRACE: Duration = Duration::from_secs(8);
/// Requests sent later than this after SIGTERM count though their replica is still at work.
const EARLY: Duration = Duration::from_secs(3);
/// Time between the two hosts; that of the site file.
const GAP: Duration = Duration::from_millis(1_300);
/// Deadline of a client's first attempt.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// What is left of it at a second attempt.
const TIME_LEFT: Duration = Duration::from_millis(450);
/// Time that a request takes; the sheet's most is 220 ms.
const WORK: Duration = Duration::from_millis(150);

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let (store, store_address) = Store::start(setup.ip(200));
    store.put("keyed.op", "config", Some(client::config()));
    let replicas: Vec<_> = (1..=3)
        .map(|n| {
            Replica::start(
                &format!("i-{n}"),
                "counter",
                setup.ip(100 + n),
                WORK,
                &store,
                record,
            )
        })
        .collect();
    let fronts: Vec<_> = (1..=3)
        .map(|n| setup.start_front(n, "kl-a", store_address))
        .collect();
    // Hosts of another zone, whose clients send nothing.
    let others: Vec<_> = (4..=5)
        .map(|n| setup.start_front(n, "pg-b", store_address))
        .collect();
    setup.await_ready(&fronts);
    setup.await_ready(&others);
    let balancer = Balancer::start(&fronts, record);
    let traffic = Traffic::start(&balancer, 100, [DEADLINE, TIME_LEFT], record);
    thread::sleep(Duration::from_secs(5));
    let mut stopped = Vec::new();
    for front in &fronts[..2] {
        if setup.trouble {
            record.say(&format!("SIGTERM  {}", front.name));
            front.signal("TERM");
        }
        stopped.push(Instant::now());
        thread::sleep(GAP);
    }
    crate::sleep_until(stopped[1] + GRACE + Duration::from_millis(200));
    for front in &fronts[..2] {
        if setup.trouble && !front.has_ended() {
            front.signal("KILL");
        }
    }
    let attempts = traffic.finish(DEADLINE);
    balancer.stop();
    for front in fronts.iter().chain(&others) {
        front.end();
    }
    let arrivals: Vec<_> = replicas
        .iter()
        .flat_map(|replica| replica.arrivals())
        .collect();
    let mut lost = 0;
    for attempt in attempts
        .iter()
        .filter(|attempt| attempt.seen == Seen::Closed)
    {
        let index = fronts[..2]
            .iter()
            .position(|front| front.name == attempt.front);
        let since = index.map(|index| attempt.sent.saturating_duration_since(stopped[index]));
        let arrival = arrivals
            .iter()
            .find(|arrival| arrival.attempt == attempt.id);
        let has_time = attempt.ended < attempt.sent + attempt.deadline - Duration::from_millis(20);
        let counts = arrival.is_some() && has_time && since.is_some_and(|since| since > EARLY);
        record.say(&format!(
            "closed   {} with {} ms left, sent at {:.3} to {}, {} ms after its SIGTERM, passed on: {}, closed after {} ms, counts: {counts}",
            attempt.id,
            attempt.deadline.as_millis(),
            at(attempt.sent),
            attempt.front,
            since.unwrap_or_default().as_millis(),
            arrival.is_some(),
            (attempt.ended - attempt.sent).as_millis(),
        ));
        lost += u32::from(counts);
    }
    let served = attempts
        .iter()
        .filter(|attempt| attempt.seen == Seen::Status(200))
        .count();
    record.say(&format!(
        "attempts {}, served {served}, lost {lost}",
        attempts.len()
    ));
    if served * 10 < attempts.len() * 6 {
        crate::not_run("too few requests were served");
    }
    lost > 0
}

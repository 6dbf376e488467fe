//! A host is frozen for a while; soon after, a replica's entry is removed. Rule: DRAIN.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    at,
    client::{self, Attempt, Balancer, Seen, Traffic},
    replica::Replica,
    store::Store,
    Record, Setup,
};

/// Bounds of the deployment.
pub const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Length of the freeze; the largest in the site file.
const FREEZE: Duration = Duration::from_millis(3_500);
/// Time from the host's wake-up to the removal of the entry.
const REMOVAL_AFTER: Duration = Duration::from_millis(1_300);
/// Time for which the replica serves on, beyond the bound.
const SERVES_ON: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1_000);
const WORK: Duration = Duration::from_millis(100);

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
    let fronts: Vec<_> = (1..=2)
        .map(|n| setup.start_front(n, "kl-a", store_address))
        .collect();
    setup.await_ready(&fronts);
    let balancer = Balancer::start(&fronts, record);
    let traffic = Traffic::start(&balancer, 150, [DEADLINE; 2], record);
    thread::sleep(Duration::from_secs(6));
    let frozen = &fronts[0];
    if setup.trouble {
        record.say(&format!("freeze   {}", frozen.name));
        frozen.signal("STOP");
    }
    thread::sleep(FREEZE);
    if setup.trouble {
        frozen.signal("CONT");
    }
    let thawed = Instant::now();
    record.say(&format!("thaw     {}", frozen.name));
    crate::sleep_until(thawed + REMOVAL_AFTER);
    let leaving = &replicas[2];
    let removed = leaving.leave(&store);
    record.say(&format!("store    removed the entry of {}", leaving.id));
    crate::sleep_until(removed + DRAIN + SERVES_ON);
    record.say(&format!("exit     {}", leaving.id));
    leaving.exit();
    thread::sleep(Duration::from_secs(2));
    let attempts = traffic.finish(DEADLINE);
    balancer.stop();
    for front in &fronts {
        front.end();
    }
    let in_touch_from = setup.trouble.then(|| (&*frozen.name, thawed + CONTACT));
    judge(record, leaving, removed, &attempts, in_touch_from)
}

/// Whether requests reached a replica later than the bound after its removal. One host counts only from
/// a time on.
pub fn judge(
    record: &Record,
    leaving: &Replica,
    removed: Instant,
    attempts: &[Attempt],
    in_touch_from: Option<(&str, Instant)>,
) -> bool {
    let front_of = |id: &str| {
        let attempt = attempts.iter().find(|attempt| attempt.id == id);
        attempt.map_or_else(String::new, |attempt| attempt.front.clone())
    };
    let mut broken = 0;
    for arrival in leaving.arrivals() {
        let after = arrival.arrived.saturating_duration_since(removed);
        if after <= DRAIN {
            continue;
        }
        let host = front_of(&arrival.attempt);
        let in_touch =
            in_touch_from.is_none_or(|(name, from)| host != name || arrival.arrived > from);
        record.line(&format!(
            "late     {} reached {} at {:.3}, {} ms after its removal, from {host}, in touch: {in_touch}",
            arrival.attempt,
            arrival.replica,
            at(arrival.arrived),
            after.as_millis()
        ));
        broken += u32::from(in_touch);
    }
    let served = attempts
        .iter()
        .filter(|attempt| attempt.seen == Seen::Status(200))
        .count();
    let cut = leaving
        .arrivals()
        .into_iter()
        .filter(|arrival| !arrival.is_done);
    let cut: Vec<_> = cut.map(|arrival| arrival.attempt).collect();
    record.say(&format!(
        "attempts {}, served {served}; requests at {} later than the bound, from hosts in touch: {broken}",
        attempts.len(),
        leaving.id
    ));
    for attempt in attempts.iter().filter(|attempt| cut.contains(&attempt.id)) {
        record.say(&format!(
            "cut      {} ended with {}: {:?}",
            attempt.id, leaving.id, attempt.seen
        ));
    }
    if served * 10 < attempts.len() * 8 {
        crate::not_run("too few requests were served");
    }
    broken > 0
}

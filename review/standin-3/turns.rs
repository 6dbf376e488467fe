//! The store is down for a moment, and the times of the group's members expire meanwhile.

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    fleet::Fleet,
    record::Record,
    replica::{Kind, Replica, MODEL},
    store::Store,
};

const ENGINES: usize = 12;
const LEASE: Duration = Duration::from_millis(3_000);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_millis(600);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start(record.clone())?;
    store.put(
        "keyed.op",
        "config",
        &config(1, r#"{"name":"sese880","api_keys":["key-1"]}"#),
    );
    name_weights(&store, record, 1);
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let kind = Kind {
            id: &format!("i-engine-{number}"),
            service: "drafters",
            zone: ["kl-a", "pg-b"][number % 2],
            work: Duration::from_millis(500),
        };
        engines.push(Replica::start(&kind, &store, record)?);
    }
    let fleet = Fleet::start(&["kl-a", "pg-b"], &store, record)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the fronts are not ready"));
    }
    wait_until("both hold partitions", || store.holders().len() == 2)?;
    // New holders wait before they order.
    thread::sleep(Duration::from_secs(8));
    name_weights(&store, record, 2);
    wait_until("all engines have version 2", || are_at(&engines, 2))?;
    thread::sleep(Duration::from_secs(4));

    name_weights(&store, record, 3);
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        store.go_down();
    }
    thread::sleep(OUTAGE);
    if has_trouble {
        store.come_back();
    }
    thread::sleep(Duration::from_millis(300));
    name_weights(&store, record, 4);
    wait_until("all engines have version 4", || are_at(&engines, 4))?;
    thread::sleep(Duration::from_secs(1));

    let mut held = true;
    for engine in &engines {
        for pair in engine.orders().windows(2) {
            let gap = pair[1].at.duration_since(pair[0].at);
            if pair[0].holder != pair[1].holder && gap < LEASE {
                held = false;
                record.line(&format!(
                    "ONE: {} got an order of {} {} ms after one of {}",
                    engine.id,
                    pair[1].holder,
                    gap.as_millis(),
                    pair[0].holder
                ));
            }
            if pair[0].holder != pair[1].holder && pair[1].token <= pair[0].token {
                held = false;
                record.line(&format!("ONE: {}: the token did not rise", engine.id));
            }
        }
    }
    Ok(held)
}

fn name_weights(store: &Store, record: &Record, version: u64) {
    record.line(&format!("operator: names version {version}"));
    let value = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
    store.put("keyed.op", &format!("version/{MODEL}"), &value);
}

fn are_at(engines: &[Arc<Replica>], version: u64) -> bool {
    engines.iter().all(|engine| engine.version() >= version)
}

fn wait_until(what: &str, is_met: impl Fn() -> bool) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(25);
    while !is_met() {
        if Instant::now() > until {
            return Err(io::Error::other(format!("not met: {what}")));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

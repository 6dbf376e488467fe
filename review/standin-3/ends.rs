//! A configuration moves a route to a service with fewer replicas, and the next one moves it back. The replicas
//! are sound, and answer without a length: each answer is whole, and ends with its connection.

use std::{
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{config, desk::Desk, fleet::Fleet, http::Connection, record::Record, store::Store};

/// Replicas of the service that has the route at first, and of the one that gets it for a while.
const COUNTERS: usize = 4;
const ANNEXES: usize = 2;
/// Work of a request. Each replica has 6 slots.
const WORK: Duration = Duration::from_millis(150);
const CLIENTS: u32 = 80;
/// Requests a second of all clients: 64 in 100 of what the first service can do.
const RATE: f64 = 102.0;
/// Longest time that the route gives a request.
const TIMEOUT: Duration = Duration::from_millis(1_200);
/// `config_propagation_ms`.
const PROPAGATION: Duration = Duration::from_millis(2_000);
const CALM_TIME: Duration = Duration::from_secs(8);
/// Time for which the second service has the route.
const MOVED_TIME: Duration = Duration::from_millis(2_800);

/// A request whose connection ended without a complete answer.
struct Cut {
    attempt: String,
    sent_at: Instant,
    at: Instant,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start(record.clone())?;
    store.put("keyed.op", "config", &config(1, "counter"));
    let mut desks = Vec::new();
    for number in 0..COUNTERS {
        desks.push(Desk::start("counter", number, WORK, &store, record)?);
    }
    for number in 0..ANNEXES {
        desks.push(Desk::start("annex", number, WORK, &store, record)?);
    }
    let fleet = Fleet::start(&["kl-a"], &store, record)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the front is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let front = fleet.fronts[0].callers();
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let begun = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, cuts, is_over) = (record.clone(), cuts.clone(), is_over.clone());
            thread::spawn(move || run_client(client, front, &record, &cuts, &is_over))
        })
        .collect();
    thread::sleep(CALM_TIME);
    // Times at which a configuration was sent; the store acknowledges it at once.
    let mut changes = Vec::new();
    for (version, service) in [(3, "annex"), (5, "counter")] {
        if has_trouble {
            record.line(&format!(
                "operator: version {version} moves the route to {service}"
            ));
            changes.push(Instant::now());
            store.put("keyed.op", "config", &config(version, service));
        }
        thread::sleep(MOVED_TIME);
    }
    thread::sleep(CALM_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let played = begun.elapsed();

    // LOST, around a configuration: a request was read and passed on to a replica, which has answered it in full,
    // and its connection ends without a complete answer.
    let window = PROPAGATION + Duration::from_secs(1);
    let is_beside = |at: Instant| {
        let mut ages = changes
            .iter()
            .filter_map(|sent| at.checked_duration_since(*sent));
        ages.any(|age| age <= window)
    };
    let (mut beside, mut apart) = (0, 0);
    for cut in cuts.lock().unwrap().iter() {
        let answered = desks.iter().find_map(|desk| {
            let answered = desk.answered.lock().unwrap();
            answered.get(&cut.attempt).copied()
        });
        let is_in_time = cut.at.duration_since(cut.sent_at) < TIMEOUT;
        let Some(answered) = answered.filter(|at| is_in_time && *at < cut.at) else {
            continue;
        };
        match is_beside(cut.sent_at) && is_beside(cut.at) {
            true => beside += 1,
            false => apart += 1,
        }
        record.line(&format!(
            "{} was answered in full {} ms before its client was cut off",
            cut.attempt,
            cut.at.duration_since(answered).as_millis()
        ));
    }
    // The windows of two changes overlap.
    let span = match changes.len() {
        0 => Duration::ZERO,
        _ => changes[changes.len() - 1] - changes[0] + window,
    };
    let rate_apart = f64::from(apart) / (played - span).as_secs_f64();
    let rate_beside = f64::from(beside) / span.as_secs_f64().max(0.001);
    record.line(&format!(
        "LOST: {beside} beside the configurations ({rate_beside:.1} a second), {apart} at other times \
         ({rate_apart:.1} a second)"
    ));
    Ok(beside == 0 || rate_beside <= 3.0 * rate_apart)
}

/// Sends a request in each period, on a kept connection.
fn run_client(
    client: u32,
    front: SocketAddr,
    record: &Record,
    cuts: &Mutex<Vec<Cut>>,
    is_over: &AtomicBool,
) {
    let period = Duration::from_secs_f64(f64::from(CLIENTS) / RATE);
    thread::sleep(period * client / CLIENTS);
    let mut open: Option<Connection> = None;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let begun = Instant::now();
        let attempt = format!("c{client}-{number}");
        let head = format!(
            "POST /order/a HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Milliseconds: 2500\r\nAuthorization: Bearer key-1\r\n\
             Content-Length: 5\r\n\r\n"
        );
        if open.is_none() {
            open = Connection::open(front, Duration::from_secs(3)).ok();
        }
        if let Some(connection) = &mut open {
            match connection.exchange(&head, b"order") {
                Ok(answer) => {
                    if answer.status() != 200 {
                        record.line(&format!("client: {attempt} answered {}", answer.status()));
                    }
                    if answer
                        .header("connection")
                        .is_some_and(|word| word == "close")
                    {
                        open = None;
                    }
                }
                Err(error) => {
                    record.line(&format!("client: {attempt} not answered in full: {error}"));
                    let at = Instant::now();
                    let sent_at = begun;
                    cuts.lock().unwrap().push(Cut {
                        attempt,
                        sent_at,
                        at,
                    });
                    open = None;
                }
            }
        }
        thread::sleep(period.saturating_sub(begun.elapsed()));
    }
}

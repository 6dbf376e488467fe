//! Many users come at once, while the replicas of a plain service answer without a length. The replicas are
//! sound: each answer is whole, and ends with its connection.

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

const REPLICAS: usize = 2;
/// Work of a request.
const WORK: Duration = Duration::from_millis(150);
const CLIENTS: u32 = 80;
/// Requests a second of all clients: three quarters of what the replicas can do.
const RATE: f64 = 60.0;
/// Longest time that the route gives a request.
const TIMEOUT: Duration = Duration::from_millis(1_200);
/// Factor of the burst, and its time.
const BURST: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(3);
const CALM_TIME: Duration = Duration::from_secs(6);

/// A request whose connection ended without a complete answer.
struct Cut {
    attempt: String,
    was_kept: bool,
    sent_at: Instant,
    at: Instant,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start(record.clone())?;
    let tenant = r#"{"name":"sese880","api_keys":["key-1"]}"#;
    let config = config(1, tenant).replace("\"timeout_ms\":10000", "\"timeout_ms\":1200");
    store.put("keyed.op", "config", &config);
    let mut desks = Vec::new();
    for number in 0..REPLICAS {
        desks.push(Desk::start(number, WORK, false, &store, record)?);
    }
    let fleet = Fleet::start(&["kl-a"], &store, record)?;
    if !fleet.wait_until_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the front is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let front = fleet.fronts[0].callers();
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let is_burst = Arc::new(AtomicBool::new(false));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, cuts) = (record.clone(), cuts.clone());
            let (is_burst, is_over) = (is_burst.clone(), is_over.clone());
            thread::spawn(move || run_client(client, front, &record, &cuts, &is_burst, &is_over))
        })
        .collect();
    thread::sleep(CALM_TIME);
    if has_trouble {
        record.line("trouble: many users come at once");
        is_burst.store(true, Ordering::Relaxed);
    }
    thread::sleep(BURST_TIME);
    is_burst.store(false, Ordering::Relaxed);
    record.line("calm again");
    thread::sleep(CALM_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    // LOST: a request from a kept connection was passed on to a sound replica, which has answered it in full in
    // the route's time, and the connection was closed without a complete answer.
    let mut lost = 0;
    for cut in cuts.lock().unwrap().iter() {
        let answered = desks.iter().find_map(|desk| {
            let answered = desk.answered.lock().unwrap();
            answered.get(&cut.attempt).copied()
        });
        let is_in_time = cut.at.duration_since(cut.sent_at) < TIMEOUT;
        if let Some(answered) = answered.filter(|at| cut.was_kept && is_in_time && *at < cut.at) {
            lost += 1;
            record.line(&format!(
                "LOST: {} was answered in full {} ms before its client was cut off",
                cut.attempt,
                cut.at.duration_since(answered).as_millis()
            ));
        }
    }
    record.line(&format!("LOST: {lost} in all (bound 3)"));
    Ok(lost <= 3)
}

/// Sends a request in each period, on a kept connection.
fn run_client(
    client: u32,
    front: SocketAddr,
    record: &Record,
    cuts: &Mutex<Vec<Cut>>,
    is_burst: &AtomicBool,
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
            let was_kept = connection.requests > 0;
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
                        was_kept,
                        sent_at,
                        at,
                    });
                    open = None;
                }
            }
        }
        let factor = if is_burst.load(Ordering::Relaxed) {
            BURST
        } else {
            1.0
        };
        let period = period.div_f64(factor);
        thread::sleep(period.saturating_sub(begun.elapsed()));
    }
}

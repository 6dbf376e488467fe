//! A replica fails some of the orders that it has run with a 503 that does not say that it has not run them. Clients
//! take a 503 for the promise that it is.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{self, Deployment, Entry, Record, PHRASEBOOK_BOUNDS},
    http::{self, Client, Next},
    unix_ms, Outcome, Result,
};

const DESKS: usize = 3;
const CLIENTS: u32 = 10;
/// Orders that each client sends, and the pause between them: 28 a second in all.
const ORDERS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(320);
const WORK: Duration = Duration::from_millis(30);
/// Every so many orders fail at the replica in trouble: two in five.
const FAILS: [bool; 5] = [true, false, true, false, false];
/// When the trouble begins, and how long it lasts.
const TROUBLE_AT: Duration = Duration::from_secs(3);
const TROUBLE_TIME: Duration = Duration::from_millis(6_500);
const DEADLINE: Duration = Duration::from_millis(1_000);

/// Runs of each attempt, and the attempts that ran for each order.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

pub fn run(record: Record) -> Result {
    let mut deployment = Deployment::start(record.clone(), &["kl-a"], PHRASEBOOK_BOUNDS);
    let runs: Runs = Arc::default();
    let in_trouble = Arc::new(AtomicBool::new(false));
    for number in 0..DESKS {
        start_desk(number, &deployment, &runs, &in_trouble);
    }
    let routes = [deployment::route(
        "order", "/order/", "unsafe", "desk", 1_000, 1,
    )];
    let tenants = [deployment::tenant("one", "key-one", false)];
    deployment.store.put(
        "keyed.op",
        "config",
        Some(&deployment::config(3, &routes, &tenants)),
    );
    deployment.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    let broken = Arc::new(Mutex::new(Vec::new()));
    let address = deployment.callers(0);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, runs, broken) = (record.clone(), runs.clone(), broken.clone());
            thread::spawn(move || {
                let mut connection = Client::new(address);
                for order in 0..ORDERS {
                    let started = Instant::now();
                    place_order(
                        &mut connection,
                        &format!("c{client}o{order}"),
                        &runs,
                        &broken,
                        &record,
                    );
                    thread::sleep(PAUSE.saturating_sub(started.elapsed()));
                }
            })
        })
        .collect();
    if crate::has_trouble() {
        thread::sleep(TROUBLE_AT);
        record.line("i-desk-0 fails two in five of the orders that it runs; its health is good");
        in_trouble.store(true, Ordering::SeqCst);
        thread::sleep(TROUBLE_TIME);
        in_trouble.store(false, Ordering::SeqCst);
        record.line("i-desk-0 is sound again");
    }
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    if !deployment.are_running() {
        return Err("the front has ended".into());
    }
    let broken = broken.lock().unwrap();
    let runs = runs.lock().unwrap();
    let twice = runs.values().filter(|attempts| attempts.len() > 1).count();
    Ok(match broken.first() {
        None => Outcome::Held(format!("{} orders ran; none that was refused has", runs.len())),
        Some(first) => Outcome::Broken(format!(
            "REFUSED: {} attempts that had run were answered 503, first {first}; {twice} orders ran twice, as their \
             clients sent them again",
            broken.len()
        )),
    })
}

/// Sends an order, and sends it once more, as another attempt, after the promise that it has not run.
fn place_order(
    connection: &mut Client,
    order: &str,
    runs: &Runs,
    broken: &Mutex<Vec<String>>,
    record: &Record,
) {
    let started = Instant::now();
    for number in 1..=2 {
        let attempt = format!("{order}-{number}");
        let left = DEADLINE.saturating_sub(started.elapsed());
        let headers = format!(
            "host: shop.example\r\nx-attempt-id: {attempt}\r\nx-deadline-milliseconds: {}\r\n\
             authorization: Bearer key-one\r\nx-order: {order}\r\n",
            left.as_millis()
        );
        let answer = connection.send(
            "POST",
            "/order/1",
            &headers,
            order.as_bytes(),
            left + DEADLINE,
        );
        let has_run = runs
            .lock()
            .unwrap()
            .get(order)
            .is_some_and(|attempts| attempts.contains(&attempt));
        if answer.status != 200 {
            record.line(format!(
                "{attempt} gets status {}, signature '{}', has run: {has_run}",
                answer.status,
                answer.header("x-server-signature")
            ));
        }
        let is_promise = matches!(answer.status, 503 | 429 | 408 | 421);
        if is_promise && has_run {
            broken.lock().unwrap().push(attempt);
        }
        if !is_promise {
            return;
        }
        let after: f64 = answer.header("retry-after").parse().unwrap_or(0.0);
        thread::sleep(Duration::from_secs_f64(after.min(left.as_secs_f64() / 3.0)));
        *connection = Client::new(connection.address());
    }
}

fn start_desk(number: usize, deployment: &Deployment, runs: &Runs, in_trouble: &Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let id = format!("i-desk-{number}");
    let entry = Entry {
        service: "desk",
        address,
        zone: "kl-a",
        slots: 6,
        weights: 0,
        sequence: 1,
        born: unix_ms(),
    };
    entry.write(&deployment.store, &id);
    let (runs, in_trouble, record) = (runs.clone(), in_trouble.clone(), deployment.record.clone());
    let count = AtomicU32::new(0);
    http::serve(listener, move |request, stream| {
        let identity =
            format!("x-instance-id: {id}\r\nx-server-load: 1,0,6\r\nkeep-alive: timeout=5\r\n");
        if request.path == "/health" {
            http::respond(stream, 200, &identity, b"")?;
            return Ok(Next::Keep);
        }
        let attempt = request.header("x-attempt-id").to_string();
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != id {
            http::respond(
                stream,
                421,
                &format!("{identity}x-attempt-id: {attempt}\r\n"),
                b"",
            )?;
            return Ok(Next::Keep);
        }
        let order = String::from_utf8_lossy(&request.body).into_owned();
        runs.lock()
            .unwrap()
            .entry(order)
            .or_default()
            .push(attempt.clone());
        thread::sleep(WORK);
        let signed = format!("{identity}x-attempt-id: {attempt}\r\nx-server-signature: s.{id}\r\n");
        let fails = number == 0
            && in_trouble.load(Ordering::SeqCst)
            && FAILS[count.fetch_add(1, Ordering::SeqCst) as usize % FAILS.len()];
        if fails {
            record.line(format!("{id} runs {attempt} and answers 503"));
            http::respond(
                stream,
                503,
                &signed,
                b"the order is placed, its receipt is not printed\n",
            )?;
        } else {
            record.line(format!("{id} runs {attempt} and answers 200"));
            http::respond(stream, 200, &signed, b"placed\n")?;
        }
        Ok(Next::Keep)
    });
}

//! Replicas spoil the beginning of some streams, and the front goes on with a whole stream of another replica behind
//! what it has passed on.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
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

const ENGINES: usize = 12;
/// Engines in trouble: a third.
const SPOILING: usize = 4;
/// One in so many of their answers is spoilt.
const SPOILT_EVERY: u32 = 50;
/// Trouble of 5.5 s each, and the time between.
const TROUBLES: u32 = 11;
const TROUBLE_TIME: Duration = Duration::from_millis(5_500);
const TROUBLE_GAP: Duration = Duration::from_millis(500);
/// 20 callers with a stream a second each.
const CALLERS: u32 = 20;
const PAUSE: Duration = Duration::from_millis(1_000);
/// Number of parts that prompts share, one each.
const SHARED_PARTS: u32 = 73;
const EVENTS: u32 = 12;
const EVENT_TIME: Duration = Duration::from_millis(15);
/// What a replica in trouble writes in place of its events: the head and text of an error.
const SPOILT: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nerror\n\n";

/// What is known of all streams.
#[derive(Default)]
struct Tally {
    sent: u32,
    whole: u32,
    spoilt: Vec<String>,
    wrong: Vec<String>,
}

pub fn run(record: Record) -> Result {
    let mut deployment = Deployment::start(record.clone(), &["kl-a"], PHRASEBOOK_BOUNDS);
    let is_spoiling = Arc::new(AtomicBool::new(false));
    let tally: Arc<Mutex<Tally>> = Arc::default();
    for number in 0..ENGINES {
        start_engine(number, &deployment, &is_spoiling, &tally);
    }
    let routes = [deployment::route(
        "draft",
        "/draft/",
        "streaming",
        "writers",
        12_000,
        2,
    )];
    let tenants = [deployment::tenant("one", "key-one", false)];
    let config = deployment::config(3, &routes, &tenants);
    deployment.store.put("keyed.op", "config", Some(&config));
    let weights = "{\"model\":\"m0\",\"version\":1}";
    deployment
        .store
        .put("keyed.op", "version/m0", Some(weights));
    deployment.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    let has_ended = Arc::new(AtomicBool::new(false));
    let address = deployment.callers(0);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, tally, has_ended) = (record.clone(), tally.clone(), has_ended.clone());
            thread::spawn(move || {
                thread::sleep(PAUSE / CALLERS * caller);
                let mut number = 0;
                while !has_ended.load(Ordering::SeqCst) {
                    let started = Instant::now();
                    number += 1;
                    ask(address, &format!("c{caller}n{number}"), &tally, &record);
                    thread::sleep(PAUSE.saturating_sub(started.elapsed()));
                }
            })
        })
        .collect();
    for _ in 0..TROUBLES {
        if crate::has_trouble() {
            record.line("a third of the engines spoil one in fifty of their answers");
            is_spoiling.store(true, Ordering::SeqCst);
        }
        thread::sleep(TROUBLE_TIME);
        is_spoiling.store(false, Ordering::SeqCst);
        thread::sleep(TROUBLE_GAP);
    }
    has_ended.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    if !deployment.are_running() {
        return Err("the front has ended".into());
    }
    let tally = tally.lock().unwrap();
    for line in deployment.log_lines(0, "resumed after") {
        record.line(format!("log: {line}"));
    }
    Ok(match tally.wrong.first() {
        None => Outcome::Held(format!(
            "{} of {} streams whole, {} spoilt ones",
            tally.whole,
            tally.sent,
            tally.spoilt.len()
        )),
        Some(first) => Outcome::Broken(format!(
            "MIXED: {} of {} streams with status 200 and a whole end hold the text of an error of one replica and then \
             all events of another, first {first}; {} were spoilt",
            tally.wrong.len(),
            tally.sent,
            tally.spoilt.len()
        )),
    })
}

/// All events of a stream.
fn stream_of(attempt: &str) -> String {
    (1..=EVENTS)
        .map(|number| event_of(attempt, number))
        .collect()
}

fn event_of(attempt: &str, number: u32) -> String {
    format!("id: {number}\ndata: piece {number} of {attempt}\n\n")
}

/// Sends a request and checks its stream.
fn ask(address: SocketAddr, attempt: &str, tally: &Mutex<Tally>, record: &Record) {
    let hash = attempt
        .bytes()
        .fold(7_u32, |hash, byte| hash.wrapping_mul(31) ^ u32::from(byte));
    let headers = format!(
        "host: shop.example\r\nx-attempt-id: {attempt}\r\nx-deadline-milliseconds: 12000\r\n\
         authorization: Bearer key-one\r\nx-model: m0\r\nx-token-counts: 7000,55\r\n\
         x-prompt-prefix: 5c1e{:04x}:5382,{hash:08x}:1618\r\n",
        hash % SHARED_PARTS
    );
    let wait = Duration::from_secs(13);
    let answer = Client::new(address).send("POST", "/draft/1", &headers, b"a prompt", wait);
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let is_whole = answer.status == 200 && answer.whole;
    let is_wrong = is_whole && body != stream_of(attempt);
    let mut tally = tally.lock().unwrap();
    tally.sent += 1;
    tally.whole += u32::from(is_whole && !is_wrong);
    if is_wrong {
        tally.wrong.push(attempt.to_string());
    }
    drop(tally);
    let signature = answer.header("x-server-signature");
    record.line(format!(
        "{attempt} gets status {}, signature '{signature}', {} bytes, whole: {}",
        answer.status,
        answer.body.len(),
        answer.whole
    ));
    if is_wrong {
        record.line(format!("{attempt} NOT THE REPLICA'S STREAM: {body:?}"));
    }
}

fn start_engine(
    number: usize,
    deployment: &Deployment,
    is_spoiling: &Arc<AtomicBool>,
    tally: &Arc<Mutex<Tally>>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let id = format!("i-{number:02}");
    let born = unix_ms();
    let entry = Entry {
        service: "writers",
        address,
        zone: "kl-a",
        slots: 32,
        weights: 1,
        sequence: 1,
        born,
    };
    entry.write(&deployment.store, &id);
    let (is_spoiling, tally, record) = (
        is_spoiling.clone(),
        tally.clone(),
        deployment.record.clone(),
    );
    // The first spoilt answer comes after half of the usual number.
    let answers = AtomicU32::new(SPOILT_EVERY / 2);
    http::serve(listener, move |request, stream| {
        let identity = format!("x-instance-id: {id}\r\nx-server-load: 1,0,32\r\n");
        if request.path == "/-/report" {
            let text = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                 \"sequence\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":228641,\"handles\":0,\
                 \"born\":{born}}}"
            );
            http::respond(
                stream,
                200,
                "content-type: application/json\r\n",
                text.as_bytes(),
            )?;
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
        let from: u32 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{identity}x-attempt-id: {attempt}\r\nx-server-signature: s.{id}\r\n\
             x-weight-versions: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        thread::sleep(EVENT_TIME);
        let is_spoilt = number < SPOILING
            && is_spoiling.load(Ordering::SeqCst)
            && (answers.fetch_add(1, Ordering::SeqCst) + 1) % SPOILT_EVERY == 0;
        if is_spoilt {
            record.line(format!(
                "{id} runs {attempt} from event {from}, writes an error into it and breaks off"
            ));
            tally.lock().unwrap().spoilt.push(attempt);
            stream.write_all(format!("{:x}\r\n{SPOILT}\r\n", SPOILT.len()).as_bytes())?;
            return Ok(Next::Close);
        }
        for event in from + 1..=EVENTS {
            thread::sleep(EVENT_TIME);
            let text = event_of(&attempt, event);
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        record.line(format!("{id} runs {attempt} from event {from} to its end"));
        Ok(Next::Keep)
    });
}

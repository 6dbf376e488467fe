//! A configuration moves a route to a service whose replicas are short of memory, and the next one moves it back.
//! The replicas are sound: they preempt streams, which pause for less than clients bear, and go on.

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

use crate::{
    engine::{Engine, EVENTS, MODEL},
    fleet::Fleet,
    http::Connection,
    record::Record,
    store::Store,
};

const ENGINES: usize = 2;
/// Pause of a preempted stream. Clients abandon a stream after a gap of 2,400 ms, four times the objective.
const PAUSE: Duration = Duration::from_millis(2_100);
const CLIENTS: u64 = 30;
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
    error: String,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start(record.clone())?;
    store.put("keyed.op", "config", &config(1, "drafters"));
    let weights = format!("{{\"model\":\"{MODEL}\",\"version\":1}}");
    store.put("keyed.op", &format!("version/{MODEL}"), &weights);
    for number in 0..ENGINES {
        Engine::start("drafters", number, None, &store, record)?;
        Engine::start("reserve", number, Some(PAUSE), &store, record)?;
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
    for (version, service) in [(3, "reserve"), (5, "drafters")] {
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

    // LOST, around a configuration: a request was read and passed on, its replica did not break off, and the
    // connection ends without a complete answer, before the deadline and the route's timeout.
    let window = PROPAGATION + Duration::from_secs(1);
    let is_beside = |at: Instant| {
        let mut ages = changes
            .iter()
            .filter_map(|sent| at.checked_duration_since(*sent));
        ages.any(|age| age <= window)
    };
    let (mut beside, mut apart) = (0, 0);
    for cut in cuts.lock().unwrap().iter() {
        let took = cut.at.duration_since(cut.sent_at).as_millis();
        let is_beside = is_beside(cut.sent_at) && is_beside(cut.at);
        match is_beside {
            true => beside += 1,
            false => apart += 1,
        }
        record.line(&format!(
            "{} was cut off after {took} ms, beside a configuration: {is_beside}; {}",
            cut.attempt, cut.error
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

/// Configuration with a route for streams that may be resumed, which goes to one of two services of engines.
fn config(version: u64, service: &str) -> String {
    let engines = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","connection_limit":240,"engine":{{"slots":32,"kv_capacity_tokens":228641,"kv_token_bytes":327680,"link_mbps":1500000.0,"models":[{{"name":"{MODEL}"}}]}}}}"#
        )
    };
    let (first, second) = (engines("drafters"), engines("reserve"));
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-draft","host":"jepu9.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":12000,"target_latency_ms":600,"priority":1,"service":"{service}","attempts":2,"allow_anonymous":false,"session_affinity":true,"resumable":true,"gap_target_ms":250}}],
"services":[{first},{second}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"sese880","api_keys":["key-1"]}}]}}"#
    )
}

/// Sends one stream request after the other on a kept connection.
fn run_client(
    client: u64,
    front: SocketAddr,
    record: &Record,
    cuts: &Mutex<Vec<Cut>>,
    is_over: &AtomicBool,
) {
    thread::sleep(Duration::from_millis(client * 50));
    let mut open: Option<Connection> = None;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("s{client}-{number}");
        let head = format!(
            "POST /draft/a HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Model: {MODEL}\r\nX-Token-Counts: 1460,80\r\n\
             X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{client:x}{number:x}:250\r\n\
             X-Deadline-Milliseconds: 12000\r\nAuthorization: Bearer key-1\r\n\
             Content-Length: 5\r\n\r\n"
        );
        if open.is_none() {
            // Each read may take as long as a client bears a gap.
            open = Connection::open(front, Duration::from_millis(2_400)).ok();
        }
        let Some(connection) = &mut open else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let sent_at = Instant::now();
        match connection.exchange(&head, b"hello") {
            Ok(answer) if answer.status() == 200 => {
                let last = format!("id: {EVENTS}\n");
                if !String::from_utf8_lossy(&answer.body).contains(&last) {
                    record.line(&format!("client: {attempt} ended before its last event"));
                }
            }
            Ok(answer) => {
                record.line(&format!("client: {attempt} answered {}", answer.status()));
            }
            Err(error) => {
                let error = error.to_string();
                record.line(&format!("client: {attempt} not answered in full: {error}"));
                let at = Instant::now();
                cuts.lock().unwrap().push(Cut {
                    attempt,
                    sent_at,
                    at,
                    error,
                });
                open = None;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

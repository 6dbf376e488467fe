//! Stand-ins for clients and for the balancer before the fronts.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, Front, Record};

/// Time in which a readiness check must be answered.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// What a client saw of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Seen {
    /// A complete answer.
    Status(u16),
    /// The connection could not be opened.
    NoConnection,
    /// The connection ended without a complete answer.
    Closed,
    /// The client's deadline passed.
    Deadline,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub front: String,
    /// When its last byte was sent.
    pub sent: Instant,
    pub ended: Instant,
    pub deadline: Duration,
    pub seen: Seen,
}

/// Whether a front answers the readiness check with 200.
pub fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, READY_TIMEOUT) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(READY_TIMEOUT));
    let request = "GET /-/readiness HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let answer = http::read(&mut BufReader::new(stream));
    matches!(answer, Ok(Some(answer)) if answer.status() == Some(200))
}

/// Sends a request on a new connection and waits for the answer until the deadline.
pub fn send(front: &Front, method: &str, path: &str, id: &str, deadline: Duration) -> Attempt {
    let begun = Instant::now();
    let attempt = |sent, seen| Attempt {
        id: id.into(),
        front: front.name.clone(),
        sent,
        ended: Instant::now(),
        deadline,
        seen,
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&front.callers, Duration::from_secs(1)) else {
        return attempt(begun, Seen::NoConnection);
    };
    let _ = stream.set_nodelay(true);
    let body = if method == "POST" {
        "order".repeat(100)
    } else {
        String::new()
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return attempt(Instant::now(), Seen::Closed);
    }
    let sent = Instant::now();
    let left = deadline
        .saturating_sub(begun.elapsed())
        .max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    let answer = http::read(&mut BufReader::new(stream));
    let is_late = begun.elapsed() >= deadline;
    attempt(
        sent,
        match answer {
            Ok(Some(answer)) => Seen::Status(answer.status().unwrap_or(0)),
            _ if is_late => Seen::Deadline,
            _ => Seen::Closed,
        },
    )
}

/// Keeps fronts of one zone in rotation by their readiness, as the platform does.
pub struct Balancer {
    fronts: Vec<Arc<Front>>,
    misses: Vec<AtomicU32>,
    is_stopped: AtomicBool,
    record: Record,
}

impl Balancer {
    /// Checks each front once a second.
    pub fn start(fronts: &[Arc<Front>], record: &Record) -> Arc<Self> {
        let balancer = Arc::new(Self {
            fronts: fronts.to_vec(),
            misses: fronts.iter().map(|_| AtomicU32::new(0)).collect(),
            is_stopped: AtomicBool::new(false),
            record: record.clone(),
        });
        for index in 0..fronts.len() {
            let balancer = balancer.clone();
            thread::spawn(move || balancer.check(index));
        }
        balancer
    }

    fn check(&self, index: usize) {
        while !self.is_stopped.load(Ordering::SeqCst) {
            let begun = Instant::now();
            let before = self.misses[index].load(Ordering::SeqCst);
            let misses = if is_ready(self.fronts[index].ready) {
                0
            } else {
                before + 1
            };
            self.misses[index].store(misses, Ordering::SeqCst);
            let change = match (before >= 2, misses >= 2) {
                (false, true) => Some("leaves"),
                (true, false) => Some("is back in"),
                _ => None,
            };
            if let Some(change) = change {
                let name = &self.fronts[index].name;
                self.record
                    .say(&format!("balancer {name} {change} the rotation"));
            }
            thread::sleep(Duration::from_secs(1).saturating_sub(begun.elapsed()));
        }
    }

    /// The front for a new connection. If fewer than half are in rotation, all are used.
    pub fn pick(&self, client: u64) -> Arc<Front> {
        let indices = 0..self.fronts.len();
        let is_in = |index: &usize| self.misses[*index].load(Ordering::SeqCst) < 2;
        let mut used: Vec<usize> = indices.clone().filter(is_in).collect();
        if used.len() * 2 < self.fronts.len() {
            used = indices.collect();
        }
        self.fronts[used[(client % used.len() as u64) as usize]].clone()
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }
}

/// Steady traffic of unsafe and safe requests.
pub struct Traffic {
    attempts: Mutex<Vec<Attempt>>,
    next: AtomicU64,
    is_stopped: AtomicBool,
}

impl Traffic {
    /// Sends `per_s` requests a second, two unsafe ones for each safe one. Every other one has the second
    /// deadline.
    pub fn start(
        balancer: &Arc<Balancer>,
        per_s: u64,
        deadlines: [Duration; 2],
        record: &Record,
    ) -> Arc<Self> {
        let traffic = Arc::new(Self {
            attempts: Mutex::default(),
            next: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
        });
        let (sending, balancer, record) = (traffic.clone(), balancer.clone(), record.clone());
        thread::spawn(move || {
            let begun = Instant::now();
            while !sending.is_stopped.load(Ordering::SeqCst) {
                let number = sending.next.fetch_add(1, Ordering::SeqCst);
                crate::sleep_until(begun + Duration::from_micros(number * 1_000_000 / per_s));
                let (sending, balancer, record) =
                    (sending.clone(), balancer.clone(), record.clone());
                let deadline = deadlines[(number % 2) as usize];
                thread::spawn(move || sending.send(number, &balancer, deadline, &record));
            }
        });
        traffic
    }

    fn send(&self, number: u64, balancer: &Balancer, deadline: Duration, record: &Record) {
        let (method, path, kind) = match number % 3 {
            0 => ("GET", "/lookup/1", "safe"),
            _ => ("POST", "/order/1", "unsafe"),
        };
        let id = format!("{kind}-{number}");
        let front = balancer.pick(number / 3 + number);
        let ms = deadline.as_millis();
        record.line(&format!("sent     {id} to {}, {ms} ms left", front.name));
        let attempt = send(&front, method, path, &id, deadline);
        record.line(&format!(
            "seen     {id} from {}: {:?}",
            front.name, attempt.seen
        ));
        self.attempts.lock().unwrap().push(attempt);
    }

    /// Stops, waits for the last answers and returns all attempts.
    pub fn finish(&self, deadline: Duration) -> Vec<Attempt> {
        self.is_stopped.store(true, Ordering::SeqCst);
        thread::sleep(deadline + Duration::from_millis(500));
        self.attempts.lock().unwrap().clone()
    }
}

/// Configuration with an unsafe and a safe route to one plain service.
pub fn config() -> String {
    let route = |name: &str, path: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"{path}\",\
             \"kind\":\"{kind}\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\
             \"service\":\"counter\",\"attempts\":{attempts},\"allow_anonymous\":true}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"counter\",\
         \"health_path\":\"/health\",\"connection_limit\":110}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        route("order", "/order/", "unsafe", 1),
        route("lookup", "/lookup/", "safe", 2)
    )
}

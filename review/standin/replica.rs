//! Stand-in for replicas of a plain service.

use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    http::{self, Message},
    not_run,
    store::Store,
    Record,
};

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which a replica looks for connections, and whether it has ended.
const POLL: Duration = Duration::from_millis(1);
/// Requests at once.
const SLOTS: u32 = 6;

/// A request that reached a replica.
#[derive(Clone)]
pub struct Arrival {
    pub attempt: String,
    pub replica: String,
    pub arrived: Instant,
    /// Whether it has run to its end.
    pub is_done: bool,
}

pub struct Replica {
    pub id: String,
    address: SocketAddr,
    service: &'static str,
    born: u128,
    revision: AtomicU64,
    /// Time that a request to a plain service takes.
    work: Duration,
    running: AtomicU32,
    /// Set when the process has ended.
    is_ended: AtomicBool,
    /// Set when no more entries are written.
    is_quiet: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
    record: Record,
}

impl Replica {
    /// Starts a replica on a free port and keeps its entry in the store.
    pub fn start(
        id: &str,
        service: &'static str,
        ip: Ipv4Addr,
        work: Duration,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| not_run(&e.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|e| not_run(&e.to_string()));
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let replica = Arc::new(Self {
            id: id.into(),
            address,
            service,
            born: born.as_millis(),
            revision: AtomicU64::new(0),
            work,
            running: AtomicU32::new(0),
            is_ended: AtomicBool::new(false),
            is_quiet: AtomicBool::new(false),
            connections: Mutex::default(),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let serving = replica.clone();
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || serving.accept(&listener));
        let (writing, store) = (replica.clone(), store.clone());
        writing.write_entry(&store);
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if writing.is_quiet.load(Ordering::SeqCst) {
                return;
            }
            writing.write_entry(&store);
        });
        replica
    }

    fn write_entry(&self, store: &Store) {
        let sequence = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"kl-a\",\"version\":\"1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.born
        );
        store.put("keyed.servers", &self.id, Some(entry));
    }

    /// Removes the replica's entry without a report of `draining` before. It serves on. Returns the time
    /// of the acknowledgement.
    pub fn leave(&self, store: &Store) -> Instant {
        self.is_quiet.store(true, Ordering::SeqCst);
        // An entry that is just being written comes before its removal.
        thread::sleep(Duration::from_millis(5));
        store.put("keyed.servers", &self.id, None);
        Instant::now()
    }

    /// Ends the process: its requests end with it.
    pub fn exit(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(POLL);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(kept) = stream.try_clone() {
                self.connections.lock().unwrap().push(kept);
            }
            let replica = self.clone();
            thread::spawn(move || replica.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let Some(answer) = self.answer(&request) else {
                return;
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Notes that a request has arrived. Returns its index.
    fn note_arrival(&self, attempt: &str) -> usize {
        self.record
            .line(&format!("run      {attempt} reaches {}", self.id));
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push(Arrival {
            attempt: attempt.into(),
            replica: self.id.clone(),
            arrived: Instant::now(),
            is_done: false,
        });
        arrivals.len() - 1
    }

    /// Runs a request. `None` if the process ends meanwhile.
    fn answer(&self, request: &Message) -> Option<Vec<u8>> {
        let attempt = request
            .header("x-attempt-id")
            .unwrap_or_default()
            .to_string();
        let echo = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n", self.id);
        if request
            .header("x-expected-instance")
            .is_some_and(|id| id != self.id)
        {
            let headers = format!("{echo}X-Not-Executed: 1\r\n");
            return Some(http::response("421 Misdirected Request", &headers, b""));
        }
        if request.target().starts_with("/health") {
            return Some(http::response("200 OK", &echo, b""));
        }
        let index = self.note_arrival(&attempt);
        self.running.fetch_add(1, Ordering::SeqCst);
        let until = Instant::now() + self.work;
        while Instant::now() < until && !self.is_ended.load(Ordering::SeqCst) {
            thread::sleep(POLL);
        }
        let running = self.running.fetch_sub(1, Ordering::SeqCst);
        if self.is_ended.load(Ordering::SeqCst) {
            self.record
                .line(&format!("run      {attempt} ends with {}", self.id));
            return None;
        }
        self.arrivals.lock().unwrap()[index].is_done = true;
        let headers = format!(
            "{echo}X-Server-Signature: s.{}.{attempt}\r\nX-Server-Load: {running},0,{SLOTS}\r\n",
            self.id
        );
        Some(http::response("200 OK", &headers, &[b'x'; 800]))
    }
}

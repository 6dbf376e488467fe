//! Stand-in for a model replica that streams.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    store::{self, Store},
};

pub const MODEL: &str = "daka510000";
/// Time in which an engine loads weights.
const LOAD_TIME: Duration = Duration::from_millis(210);
/// Events of a stream.
const EVENTS: u32 = 20;

/// An order that reached an engine.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Orders accepted.
    sequence: u64,
    /// Order in progress: the version, and when it is loaded.
    loading: Option<(u64, Instant)>,
    orders: Vec<Order>,
    /// Attempts that were run.
    runs: Vec<String>,
    /// Number of the record in the store.
    revision: u64,
}

pub struct Replica {
    pub id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    born: u64,
    work: Duration,
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
}

/// What a replica is.
pub struct Kind<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    /// Time that a request takes.
    pub work: Duration,
}

impl Replica {
    pub fn start(kind: &Kind, store: &Arc<Store>, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Arc::new(Self {
            id: kind.id.to_string(),
            service: kind.service.to_string(),
            address: listener.local_addr()?,
            zone: kind.zone.to_string(),
            born: 1_790_000_000_000,
            work: kind.work,
            state: Mutex::new(State {
                version: 1,
                ..State::default()
            }),
            store: store.clone(),
            record: record.clone(),
        });
        replica.register();
        let served = replica.clone();
        http::serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        Ok(replica)
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn runs(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.clone()
    }

    pub fn version(&self) -> u64 {
        self.finish_load();
        self.state.lock().unwrap().version
    }

    fn models(&self, version: u64) -> String {
        format!("[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}]")
    }

    /// Writes the replica's record to the store.
    fn register(&self) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let models = self.models(state.version);
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":32,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{},\
             \"stage\":\"both\",\"models\":{models}}}",
            self.service, self.address, self.zone, state.revision, self.born
        );
        drop(state);
        self.store.put("keyed.servers", &self.id, &value);
    }

    /// Ends a load whose time has come.
    fn finish_load(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some((version, done)) = state.loading {
            if Instant::now() >= done {
                state.loading = None;
                state.version = version;
                drop(state);
                self.register();
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        self.finish_load();
        let expected = request.header("x-expected-instance");
        let own = [("X-Instance-Id", &*self.id)];
        if expected.is_some_and(|expected| expected != self.id) {
            return http::respond(stream, 421, &own, b"");
        }
        match request.path() {
            "/-/report" => http::respond(stream, 200, &own, self.report().as_bytes()),
            "/-/order" => {
                let status = self.order(request);
                http::respond(stream, status, &own, b"")
            }
            "/health" => {
                let body = format!("{{\"born\":{}}}", self.born);
                http::respond(stream, 200, &own, body.as_bytes())
            }
            path if path.starts_with("/-/") => http::respond(stream, 404, &own, b""),
            _ => self.run(request, stream),
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{},\"queued\":0,\
             \"running\":0,\"kv_used\":0,\"kv_total\":228641,\"handles\":0,\"born\":{}}}",
            self.models(state.version),
            state.loading.is_some(),
            state.sequence,
            self.born
        )
    }

    fn order(self: &Arc<Self>, request: &Message) -> u16 {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let order = Order {
            at: Instant::now(),
            holder: store::json_text(&body, "holder"),
            token: store::json_number(&body, "fencing_token"),
        };
        let version = store::json_number(&body, "version");
        let mut state = self.state.lock().unwrap();
        state.orders.push(order.clone());
        let expected = store::json_number(&body, "if_revision");
        let status = match () {
            () if state.loading.is_some() || expected != state.sequence => 409,
            () if state.version == version => 200,
            () => 202,
        };
        if status == 202 {
            state.sequence += 1;
            state.loading = Some((version, order.at + LOAD_TIME));
            let loaded = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME + Duration::from_millis(2));
                loaded.finish_load();
            });
        }
        self.record.line(&format!(
            "{}: order of {} with token {}: version {version} -> {status}",
            self.id, order.holder, order.token
        ));
        status
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let wanted = request.header("x-expected-version");
        let mut state = self.state.lock().unwrap();
        if state.loading.is_some() {
            drop(state);
            let refusal = [("X-Not-Executed", "1"), ("X-Attempt-Id", &*attempt)];
            return http::respond(stream, 503, &refusal, b"");
        }
        if wanted.is_some_and(|wanted| wanted != state.version.to_string()) {
            let version = state.version.to_string();
            drop(state);
            let refusal = [
                ("X-Weight-Versions", &*version),
                ("X-Attempt-Id", &*attempt),
            ];
            return http::respond(stream, 421, &refusal, b"");
        }
        self.record.line(&format!("{}: runs {attempt}", self.id));
        state.runs.push(attempt.clone());
        let version = state.version.to_string();
        drop(state);
        let head = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
             X-Attempt-Id: {attempt}\r\nX-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             X-Weight-Versions: {version}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(self.work / EVENTS);
            let text = format!("id: {event}\ndata: word {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

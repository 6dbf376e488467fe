//! Stand-in for a model replica that streams. One that is short of memory preempts each stream once and reads it
//! in again, so that the stream pauses.

use std::{
    io::{self, Write},
    net::{TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};

pub const MODEL: &str = "daka510000";
/// Events of a stream, and the time between two of them.
pub const EVENTS: u64 = 20;
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Events that a run makes before it is preempted.
const EVENTS_BEFORE_PAUSE: u64 = 2;

pub struct Engine {
    id: String,
    /// How long a stream pauses when it is preempted; `None` with enough memory.
    pause: Option<Duration>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(
        service: &str,
        number: usize,
        pause: Option<Duration>,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let engine = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            pause,
            record: record.clone(),
        });
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"kl-a\",\"version\":1,\
             \"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"born\":1790000000000,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}]}}"
        );
        store.put("keyed.servers", &engine.id, &value);
        let served = engine.clone();
        http::serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        Ok(engine)
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let own = [("X-Instance-Id", &*self.id)];
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::respond(stream, 421, &own, b"");
        }
        match request.path() {
            "/-/report" => {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\
                     \"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\
                     \"kv_used\":0,\"kv_total\":228641,\"handles\":0,\"born\":1790000000000}}"
                );
                http::respond(stream, 200, &own, body.as_bytes())
            }
            "/health" => http::respond(stream, 200, &own, b"{\"born\":1790000000000}"),
            path if path.starts_with("/-/") => http::respond(stream, 404, &own, b""),
            _ => self.run(request, stream),
        }
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        let after = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok());
        let after: u64 = after.unwrap_or(0);
        self.record
            .line(&format!("{}: runs {attempt} after event {after}", self.id));
        let streamed = self.stream_events(&attempt, after, stream);
        if streamed.is_err() {
            self.record
                .line(&format!("{}: {attempt} was cut off", self.id));
        }
        streamed
    }

    fn stream_events(&self, attempt: &str, after: u64, stream: &mut TcpStream) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
             X-Attempt-Id: {attempt}\r\nX-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
             X-Weight-Versions: 1\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            if let Some(pause) = self
                .pause
                .filter(|_| event == after + 1 + EVENTS_BEFORE_PAUSE)
            {
                thread::sleep(pause);
            }
            let text = format!("id: {event}\ndata: word {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

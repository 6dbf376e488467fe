//! Stand-in for a replica of a plain service, with slots and a queue.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};

const SLOTS: usize = 6;
/// Requests that wait at a replica at most.
const QUEUE: usize = 24;
const HEALTH_WORK: Duration = Duration::from_millis(1);
const BODY: &[u8] = b"the whole answer of the replica\n";

/// Slots of a replica, taken in the order of arrival.
#[derive(Default)]
struct Queue {
    next: u64,
    served: u64,
    busy: usize,
}

pub struct Desk {
    id: String,
    /// Time that a request takes.
    work: Duration,
    queue: Mutex<Queue>,
    changed: Condvar,
    /// Attempts whose whole answer was written, and when.
    pub answered: Mutex<HashMap<String, Instant>>,
    record: Arc<Record>,
}

impl Desk {
    pub fn start(
        service: &str,
        number: usize,
        work: Duration,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let desk = Arc::new(Self {
            id: format!("i-{service}-{number}"),
            work,
            queue: Mutex::default(),
            changed: Condvar::new(),
            answered: Mutex::default(),
            record: record.clone(),
        });
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"kl-a\",\"version\":1,\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
             \"born\":1790000000000}}"
        );
        store.put("keyed.servers", &desk.id, &value);
        let served = desk.clone();
        http::serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        Ok(desk)
    }

    /// Waits for a slot. Returns whether there was room in the queue.
    fn take_slot(&self) -> bool {
        let mut queue = self.queue.lock().unwrap();
        let waiting = queue.next - queue.served;
        if queue.busy == SLOTS && waiting >= QUEUE as u64 {
            return false;
        }
        let own = queue.next;
        queue.next += 1;
        while queue.served != own || queue.busy == SLOTS {
            queue = self.changed.wait(queue).unwrap();
        }
        queue.served += 1;
        queue.busy += 1;
        self.changed.notify_all();
        true
    }

    fn release_slot(&self) {
        self.queue.lock().unwrap().busy -= 1;
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let own = [("X-Instance-Id", &*self.id)];
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return http::respond(stream, 421, &own, b"");
        }
        let attempt = request.header("x-attempt-id").unwrap_or_default();
        // Health checks wait for a slot, or are rejected, in the same way as any other request.
        if !self.take_slot() {
            let refusal = [("X-Not-Executed", "1"), ("X-Attempt-Id", &*attempt)];
            return http::respond(stream, 503, &refusal, b"");
        }
        if request.path() == "/health" {
            thread::sleep(HEALTH_WORK);
            self.release_slot();
            let body = b"{\"born\":1790000000000}";
            return http::respond(stream, 200, &own, body);
        }
        self.record.line(&format!("{}: runs {attempt}", self.id));
        thread::sleep(self.work);
        self.release_slot();
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n\
             X-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nConnection: close\r\n\r\n"
        );
        let mut answer = head.into_bytes();
        answer.extend_from_slice(BODY);
        stream.write_all(&answer)?;
        stream.shutdown(Shutdown::Write)?;
        self.answered
            .lock()
            .unwrap()
            .insert(attempt, Instant::now());
        // The answer ends with its connection.
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

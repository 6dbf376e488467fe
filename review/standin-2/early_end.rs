//! A replica crashes behind a cut in the middle of answers that end with their connections, and starts again under
//! the id that it had. What it had sent arrives when the cut is healed.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Receiver, Sender},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{self, Deployment, Entry, Record, PERMITS_BOUNDS},
    http::{self, Client, Next},
    unix_ms, Outcome, Result,
};

const DESKS: usize = 4;
/// Orders that are sent at once. Each replica has six slots.
const ORDERS: usize = 16;
/// Work of an order: before the first part of its answer, and until the rest.
const FIRST_WORK: Duration = Duration::from_millis(60);
const LAST_WORK: Duration = Duration::from_millis(100);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(1_200);
/// Time that the clients have.
const DEADLINE_MS: u64 = 2_500;

/// The answer to an order: 800 bytes.
fn body_of(attempt: &str) -> Vec<u8> {
    let mut text = format!("order {attempt} is placed;").into_bytes();
    text.resize(795, b'.');
    text.extend_from_slice(b"end.\n");
    text
}

/// A replica of the plain service, as a process: `desk PORT ID`.
pub fn run_replica(arguments: &[String]) {
    let port: u16 = arguments[0].parse().expect("a port");
    let id = arguments[1].clone();
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("its address");
    http::serve(listener, move |request, stream| {
        let identity = format!("x-instance-id: {id}\r\nx-server-load: 1,0,6\r\n");
        if request.path == "/health" {
            http::respond(stream, 200, &identity, b"")?;
            return Ok(Next::Keep);
        }
        let expected = request.header("x-expected-instance");
        if !expected.is_empty() && expected != id {
            http::respond(stream, 421, &identity, b"")?;
            return Ok(Next::Keep);
        }
        let attempt = request.header("x-attempt-id");
        println!("runs {attempt}");
        thread::sleep(FIRST_WORK);
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: s.{id}\r\nx-server-load: 1,0,6\r\n\
             content-type: text/plain\r\nconnection: close\r\n\r\n"
        );
        let body = body_of(attempt);
        stream.write_all(head.as_bytes())?;
        stream.write_all(&body[..400])?;
        println!("half {attempt}");
        thread::sleep(LAST_WORK);
        stream.write_all(&body[400..])?;
        println!("done {attempt}");
        Ok(Next::Close)
    });
    println!("listens");
    loop {
        thread::park();
    }
}

/// A replica's process behind a link that can be cut.
struct Desk {
    id: String,
    port: u16,
    link: SocketAddr,
    is_cut: Arc<AtomicBool>,
    child: Child,
    lines: Receiver<String>,
    sender: Sender<String>,
}

impl Desk {
    fn start(number: usize) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = free.local_addr().expect("an address").port();
        drop(free);
        let id = format!("i-desk-{number}");
        let is_cut = Arc::new(AtomicBool::new(false));
        let link = start_link(port, is_cut.clone());
        let (sender, lines) = mpsc::channel();
        let child = spawn(port, &id, &sender);
        Self {
            id,
            port,
            link,
            is_cut,
            child,
            lines,
            sender,
        }
    }

    fn register(&self, deployment: &Deployment) {
        let entry = Entry {
            service: "desk",
            address: self.link,
            zone: "savannah",
            slots: 6,
            weights: 0,
            sequence: 1,
            born: unix_ms(),
        };
        entry.write(&deployment.store, &self.id);
    }

    /// Waits for a line of the process that begins with a word.
    fn wait_for(&self, word: &str, limit: Duration) -> Option<String> {
        let deadline = Instant::now() + limit;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).ok()?;
            if line.starts_with(word) {
                return Some(line);
            }
        }
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(port: u16, id: &str, sender: &Sender<String>) -> Child {
    let program = std::env::current_exe().expect("this program");
    let mut child = Command::new(program)
        .args(["desk", &port.to_string(), id])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .expect("a replica's process");
    deployment::track(&child);
    let output = child.stdout.take().expect("its output");
    let sender = sender.clone();
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(io::Result::ok) {
            let _ = sender.send(line);
        }
    });
    child
}

/// A link to a replica. While it is cut, nothing passes; what is on its way arrives afterwards.
fn start_link(port: u16, is_cut: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let is_cut = is_cut.clone();
            thread::spawn(move || {
                wait_while(&is_cut);
                let Ok(far) = TcpStream::connect(("127.0.0.1", port)) else {
                    return;
                };
                let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let cut = is_cut.clone();
                thread::spawn(move || pump(near_copy, far_copy, &cut));
                pump(far, near, &is_cut);
            });
        }
    });
    address
}

fn wait_while(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(1));
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = from.read(&mut buffer);
        wait_while(is_cut);
        match read {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                if to.write_all(&buffer[..count]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

pub fn run(record: Record) -> Result {
    let mut deployment = Deployment::start(record.clone(), &["savannah"], PERMITS_BOUNDS);
    let mut desks: Vec<Desk> = (0..DESKS).map(Desk::start).collect();
    for desk in &desks {
        desk.wait_for("listens", Duration::from_secs(5))
            .ok_or("a replica does not start")?;
        desk.register(&deployment);
    }
    let routes = [deployment::route(
        "allocate",
        "/allocate/",
        "unsafe",
        "desk",
        2_500,
        1,
    )];
    let tenants = [deployment::tenant("one", "key-one", false)];
    deployment.store.put(
        "keyed.op",
        "config",
        Some(&deployment::config(3, &routes, &tenants)),
    );
    deployment.wait_until_ready()?;
    thread::sleep(Duration::from_secs(5));
    let address = deployment.callers(0);
    let clients: Vec<_> = (0..ORDERS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || send_order(address, &format!("a{number:02}"), &record))
        })
        .collect();
    if crate::has_trouble() {
        cut_and_crash(&mut desks, &deployment, &record)?;
    }
    let answers = clients
        .into_iter()
        .map(|client| client.join().map_err(|_| "a client panicked".to_string()));
    let answers = answers.collect::<std::result::Result<Vec<_>, _>>()?;
    for desk in &desks {
        for line in desk.lines.try_iter() {
            record.line(format!("{}: {line}", desk.id));
        }
    }
    for line in deployment.log_lines(0, "ended with its connection") {
        record.line(format!("log: {line}"));
    }
    if !deployment.are_running() {
        return Err("the front has ended".into());
    }
    let short: Vec<&String> = answers
        .iter()
        .filter(|(_, is_short)| *is_short)
        .map(|(attempt, _)| attempt)
        .collect();
    Ok(match short.first() {
        None => Outcome::Held("no answer that ended early looked complete".into()),
        Some(first) => Outcome::Broken(format!(
            "MIXED: {} clients got half of a replica's body as a whole answer with status 200, first {first}",
            short.len()
        )),
    })
}

/// Cuts a replica off that has orders in progress, kills its process in its answers, starts it again, and heals the cut.
fn cut_and_crash(
    desks: &mut [Desk],
    deployment: &Deployment,
    record: &Record,
) -> std::result::Result<(), String> {
    let desk = &mut desks[0];
    let line = desk
        .wait_for("runs", Duration::from_secs(2))
        .ok_or("the replica gets no order")?;
    desk.is_cut.store(true, Ordering::SeqCst);
    let cut_at = Instant::now();
    record.line(format!(
        "{}: {line}; it is cut off from the machine",
        desk.id
    ));
    let line = desk
        .wait_for("half", Duration::from_secs(2))
        .ok_or("the replica answers nothing")?;
    thread::sleep(Duration::from_millis(20));
    let _ = desk.child.kill();
    let _ = desk.child.wait();
    record.line(format!("{}: {line}; its process is killed", desk.id));
    thread::sleep(Duration::from_millis(400));
    desk.child = spawn(desk.port, &desk.id, &desk.sender);
    desk.wait_for("listens", Duration::from_secs(5))
        .ok_or("the replica does not start again")?;
    desk.register(deployment);
    record.line(format!("{} has started again under its id", desk.id));
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    desk.is_cut.store(false, Ordering::SeqCst);
    record.line(format!(
        "the cut is healed after {} ms",
        cut_at.elapsed().as_millis()
    ));
    Ok(())
}

/// Sends an order. Returns its attempt, and whether half of the answer came as a whole one.
fn send_order(address: SocketAddr, attempt: &str, record: &Record) -> (String, bool) {
    let headers = format!(
        "host: shop.example\r\nx-attempt-id: {attempt}\r\nx-deadline-milliseconds: {DEADLINE_MS}\r\n\
         authorization: Bearer key-one\r\ncontent-type: text/plain\r\n"
    );
    record.line(format!("{attempt} is sent"));
    let wait = Duration::from_millis(DEADLINE_MS + 1_000);
    let answer = Client::new(address).send("POST", "/allocate/1", &headers, b"one pitch", wait);
    let is_success = (200..300).contains(&answer.status);
    let is_short = is_success && answer.whole && answer.body != body_of(attempt);
    record.line(format!(
        "{attempt} gets status {}, signature '{}', {} bytes, whole: {}{}",
        answer.status,
        answer.header("x-server-signature"),
        answer.body.len(),
        answer.whole,
        if is_short {
            ": NOT THE REPLICA'S WHOLE BODY"
        } else {
            ""
        }
    ));
    (attempt.to_string(), is_short)
}

//! A replica is cut off from all hosts, crashes behind the cut in its answers, and starts again.
//! Rule: MIXED.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    client::{self, Balancer},
    http::{self, Message},
    not_run,
    store::Store,
    Front, Record, Setup,
};

/// Deadline of the requests, and their route's timeout.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Time from a request's arrival to the first half of its answer, and from there to the second. The
/// sheet's most is 220 ms in all.
const HALF_WORK: Duration = Duration::from_millis(110);
/// Time from the beginning of the cut to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(110);
/// Time from the crash to the start of the new process.
const DOWN: Duration = Duration::from_millis(300);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(600);
/// Number of cuts, and the time from one to the next.
const ROUNDS: u32 = 8;
const ROUND: Duration = Duration::from_secs(5);
/// Interval at which a cut link looks whether it is whole again.
const POLL: Duration = Duration::from_millis(1);
/// Requests a second.
const RATE: u64 = 70;
const SLOTS: u32 = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a client saw.
struct Seen {
    id: String,
    front: String,
    /// Status and body of an answer that looks complete.
    answer: Option<(u16, Vec<u8>)>,
}

/// A replica as its own process, which keeps its identifier and address when it starts again.
struct Replica {
    id: String,
    /// Address at which the hosts reach the replica, over its link.
    address: SocketAddr,
    /// Address at which the process listens.
    own_address: SocketAddr,
    /// Whether the link carries nothing. It keeps what it got, also the end of a connection.
    is_cut: Arc<AtomicBool>,
    child: Mutex<Child>,
    born: AtomicU64,
    sequence: AtomicU64,
    is_ended: AtomicBool,
}

impl Replica {
    fn start(id: &str, ip: Ipv4Addr, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let own_address = (ip, crate::free_port(ip)).into();
        let child = spawn(id, own_address, record);
        let link = TcpListener::bind((ip, 0)).unwrap_or_else(|e| not_run(&e.to_string()));
        let is_cut = Arc::new(AtomicBool::new(false));
        let replica = Arc::new(Self {
            id: id.into(),
            address: link
                .local_addr()
                .unwrap_or_else(|e| not_run(&e.to_string())),
            own_address,
            is_cut: is_cut.clone(),
            child: Mutex::new(child),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            is_ended: AtomicBool::new(false),
        });
        thread::spawn(move || carry_connections(&link, own_address, &is_cut));
        replica.write_entry(store);
        let (writing, store) = (replica.clone(), store.clone());
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            if !writing.is_ended.load(Ordering::SeqCst) {
                writing.write_entry(&store);
            }
        });
        replica
    }

    /// Kills the process.
    fn crash(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        crate::kill(&mut self.child.lock().unwrap());
    }

    /// Starts the process again.
    fn restart(&self, store: &Store, record: &Record) {
        *self.child.lock().unwrap() = spawn(&self.id, self.own_address, record);
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_ended.store(false, Ordering::SeqCst);
        self.write_entry(store);
    }

    fn write_entry(&self, store: &Store) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"counter\",\"address\":\"{}\",\"zone\":\"kl-a\",\"version\":\"1\",\
             \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.address,
            self.born.load(Ordering::SeqCst)
        );
        store.put("keyed.servers", &self.id, Some(entry));
    }
}

/// Carries connections from the hosts to a replica's process. No new ones while the link is cut.
fn carry_connections(link: &TcpListener, process: SocketAddr, is_cut: &Arc<AtomicBool>) {
    for near in link.incoming().flatten() {
        await_whole(is_cut);
        let Ok(far) = TcpStream::connect(process) else {
            continue;
        };
        let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
            continue;
        };
        let (there, back) = (is_cut.clone(), is_cut.clone());
        thread::spawn(move || carry(near, far, &there));
        thread::spawn(move || carry(far_too, near_too, &back));
    }
}

/// Carries bytes one way, and then the end of the connection.
fn carry(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let _ = to.set_nodelay(true);
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).unwrap_or(0);
        await_whole(is_cut);
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}

fn await_whole(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::SeqCst) {
        thread::sleep(POLL);
    }
}

/// Starts a replica's process and copies what it writes into the record. Returns when it listens.
fn spawn(id: &str, address: SocketAddr, record: &Record) -> Child {
    let program = std::env::current_exe().unwrap_or_else(|e| not_run(&e.to_string()));
    let child = Command::new(program)
        .args(["replica", id, &address.to_string()])
        .stdout(Stdio::piped())
        .spawn();
    let mut child = child.unwrap_or_else(|e| not_run(&e.to_string()));
    crate::note_started(&child);
    let Some(output) = child.stdout.take() else {
        not_run("a replica has no output");
    };
    let mut lines = BufReader::new(output).lines();
    let (record, id) = (record.clone(), id.to_string());
    if !matches!(lines.next(), Some(Ok(line)) if line == "listening") {
        not_run("a replica does not listen");
    }
    record.say(&format!("replica {id} started, process {}", child.id()));
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            record.line(&format!("{id}      {line}"));
        }
    });
    child
}

/// Body of the answer to an attempt.
fn body(attempt: &str) -> Vec<u8> {
    let mut body = format!("answer to {attempt}\n").into_bytes();
    while body.len() < 800 {
        body.extend(b"a line of the answer\n");
    }
    body.extend(format!("end of the answer to {attempt}\n").bytes());
    body
}

/// Runs a replica: `standin replica ID ADDRESS`. Its answers have no length and end with their
/// connection.
pub fn serve_replica(id: &str, address: &str) -> ! {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| not_run(&e.to_string()));
    println!("listening");
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        thread::spawn(move || serve(&id, stream));
    }
    not_run("a replica's listener ended");
}

/// Writes a line for the record. The process ends if nobody reads it.
fn say(line: &str) {
    if writeln!(std::io::stdout(), "{line}").is_err() {
        std::process::exit(0);
    }
}

fn serve(id: &str, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = http::read(&mut reader) {
        match answer(id, &request, &mut writer) {
            Ok(true) => {}
            _ => return,
        }
    }
}

/// Answers a request. Returns whether the connection stays open.
fn answer(id: &str, request: &Message, writer: &mut TcpStream) -> std::io::Result<bool> {
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    let mut echo = format!("X-Instance-Id: {id}\r\n");
    if !attempt.is_empty() {
        echo.push_str(&format!("X-Attempt-Id: {attempt}\r\n"));
    }
    if request
        .header("x-expected-instance")
        .is_some_and(|expected| expected != id)
    {
        let headers = format!("{echo}X-Not-Executed: 1\r\n");
        writer.write_all(&http::response("421 Misdirected Request", &headers, b""))?;
        return Ok(true);
    }
    if request.target().starts_with("/health") {
        writer.write_all(&http::response("200 OK", &echo, b""))?;
        return Ok(true);
    }
    say(&format!("runs     {attempt}"));
    thread::sleep(HALF_WORK);
    let whole = body(attempt);
    let (first, second) = whole.split_at(whole.len() / 2);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}X-Server-Signature: s.{id}.{attempt}\r\nConnection: close\r\n\r\n"
    );
    writer.write_all(&[head.as_bytes(), first].concat())?;
    say(&format!(
        "has sent {attempt}, {} of {} bytes",
        first.len(),
        whole.len()
    ));
    thread::sleep(HALF_WORK);
    writer.write_all(second)?;
    say(&format!("has sent {attempt}, all"));
    Ok(false)
}

/// Sends a request on a new connection and waits for its answer.
fn send(number: u64, front: &Front, record: &Record) -> Seen {
    let (method, path, kind) = match number % 3 {
        0 => ("GET", "/lookup/1", "safe"),
        _ => ("POST", "/order/1", "unsafe"),
    };
    let id = format!("{kind}-{number}");
    record.line(&format!("sent     {id} to {}", front.name));
    let answer = exchange(method, path, &id, front).ok().flatten();
    let answer = answer.map(|answer| (answer.status().unwrap_or(0), answer.body));
    let seen = match &answer {
        Some((status, body)) => format!("status {status}, {} bytes, complete", body.len()),
        None => "no complete answer".into(),
    };
    record.line(&format!("seen     {id} from {}: {seen}", front.name));
    Seen {
        id,
        front: front.name.clone(),
        answer,
    }
}

fn exchange(method: &str, path: &str, id: &str, front: &Front) -> std::io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&front.callers, DEADLINE)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(DEADLINE))?;
    let order = if method == "POST" {
        "order".repeat(100)
    } else {
        String::new()
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\n\r\n{order}",
        DEADLINE.as_millis(),
        order.len()
    );
    stream.write_all(request.as_bytes())?;
    http::read(&mut BufReader::new(stream))
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let (store, store_address) = Store::start(setup.ip(200));
    store.put("keyed.op", "config", Some(client::config()));
    let replicas: Vec<_> = (1..=3)
        .map(|n| Replica::start(&format!("i-{n}"), setup.ip(100 + n), &store, record))
        .collect();
    let fronts: Vec<_> = (1..=2)
        .map(|n| setup.start_front(n, "kl-a", store_address))
        .collect();
    setup.await_ready(&fronts);
    let balancer = Balancer::start(&fronts, record);
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let is_stopped = Arc::new(AtomicBool::new(false));
    let sender = {
        let (seen, is_stopped) = (seen.clone(), is_stopped.clone());
        let (balancer, record) = (balancer.clone(), record.clone());
        thread::spawn(move || {
            let begun = Instant::now();
            for number in 0.. {
                crate::sleep_until(begun + Duration::from_micros(number * 1_000_000 / RATE));
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let (seen, record) = (seen.clone(), record.clone());
                let front = balancer.pick(number / 3 + number);
                thread::spawn(move || {
                    let one = send(number, &front, &record);
                    seen.lock().unwrap().push(one);
                });
            }
        })
    };
    let first_round = Instant::now() + Duration::from_secs(5);
    for round in 0..ROUNDS {
        let crashing = &replicas[round as usize % replicas.len()];
        crate::sleep_until(first_round + ROUND * round);
        if !setup.trouble {
            continue;
        }
        record.say(&format!("cut      {} from all hosts", crashing.id));
        crashing.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(CRASH_AFTER);
        record.say(&format!("crash    {}", crashing.id));
        crashing.crash();
        thread::sleep(DOWN);
        crashing.restart(&store, record);
        crate::sleep_until(first_round + ROUND * round + CUT);
        crashing.is_cut.store(false, Ordering::SeqCst);
        record.say(&format!("healed   {}", crashing.id));
    }
    crate::sleep_until(first_round + ROUND * ROUNDS);
    is_stopped.store(true, Ordering::SeqCst);
    let _ = sender.join();
    thread::sleep(DEADLINE * 2);
    balancer.stop();
    for front in &fronts {
        front.end();
    }
    for replica in &replicas {
        replica.crash();
    }
    let seen = seen.lock().unwrap();
    let mut whole = 0;
    let mut broken = 0;
    for one in seen.iter() {
        let Some((200, got)) = &one.answer else {
            continue;
        };
        let want = body(&one.id);
        if *got == want {
            whole += 1;
            continue;
        }
        // A host that finds the replica unreachable may repeat safe requests elsewhere, and on
        // loopback a cut link still accepts connections. Only what is sent once is judged.
        if !one.id.starts_with("unsafe") {
            continue;
        }
        broken += 1;
        record.say(&format!(
            "wrong    {} from {}: 200 and complete, {} of the {} bytes of its replica's body",
            one.id,
            one.front,
            got.len(),
            want.len()
        ));
    }
    record.say(&format!(
        "attempts {}, whole answers {whole}, unsafe successes with a part of the body {broken}",
        seen.len()
    ));
    if whole * 10 < seen.len() * 8 {
        not_run("too few requests were served");
    }
    broken > 0
}

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as u64
}

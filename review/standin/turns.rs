//! Two hosts are killed, one after the other; while each is down, the group deals all shards anew.
//! Rule: ONE.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

use crate::{
    at,
    http::{self, Message},
    not_run,
    store::Store,
    Front, Record, Setup,
};

/// Model of the engines.
const MODEL: &str = "m0";
/// Bound of the deployment, `lease_ms`.
const LEASE: Duration = Duration::from_millis(3_000);
/// Time that an engine takes for new weights; the sheet's.
const LOAD: Duration = Duration::from_millis(210);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Number of engines at the start, and of those that stay for the rounds. These belong to the same host's
/// shards, so that each of them gets orders from it all the time.
const ENGINES: u8 = 8;
const KEPT_ENGINES: usize = 2;
/// Time between two versions of the weights.
const VERSION_GAP: Duration = Duration::from_millis(600);
/// Time from a kill to the deal, and to the start of the new process.
const DEAL_AFTER: Duration = Duration::from_millis(450);
const DOWN: Duration = Duration::from_millis(500);
/// Longest wait for an order of the first host before the second deal.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Time from the kill of one host to that of the other.
const SECOND_KILL_AFTER: Duration = Duration::from_millis(1_250);
/// Time in which each engine gets orders before some leave.
const WARM_UP: Duration = Duration::from_secs(6);
/// Number of rounds with two kills, and the time from one to the next.
const ROUNDS: u32 = 3;
const ROUND: Duration = Duration::from_secs(12);

/// An order as it reached an engine.
#[derive(Clone)]
struct Order {
    arrived: Instant,
    holder: String,
    fencing: u64,
    version: u64,
    status: u16,
}

/// What an engine holds, and until when it is busy with an order.
struct Weights {
    version: u64,
    next: u64,
    ready_at: Option<Instant>,
    orders: Vec<Order>,
    sequence: u64,
    /// Whether the engine has left.
    is_gone: bool,
}

struct Engine {
    id: String,
    address: SocketAddr,
    born: u128,
    revision: AtomicU64,
    weights: Mutex<Weights>,
    store: Arc<Store>,
    record: Record,
}

impl Engine {
    fn start(id: &str, ip: Ipv4Addr, store: &Arc<Store>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| not_run(&e.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|e| not_run(&e.to_string()));
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let engine = Arc::new(Self {
            id: id.into(),
            address,
            born: born.as_millis(),
            revision: AtomicU64::new(0),
            weights: Mutex::new(Weights {
                version: 1,
                next: 1,
                ready_at: None,
                orders: Vec::new(),
                sequence: 0,
                is_gone: false,
            }),
            store: store.clone(),
            record: record.clone(),
        });
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine.write_entry();
        let writing = engine.clone();
        thread::spawn(move || {
            let mut written = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(10));
                if writing.weights.lock().unwrap().is_gone {
                    return;
                }
                if writing.finish_load() || written.elapsed() > HEARTBEAT {
                    writing.write_entry();
                    written = Instant::now();
                }
            }
        });
        engine
    }

    /// Ends a load whose time is over.
    fn finish_load(&self) -> bool {
        let mut weights = self.weights.lock().unwrap();
        if weights.ready_at.is_none_or(|at| Instant::now() < at) {
            return false;
        }
        weights.ready_at = None;
        weights.version = weights.next;
        true
    }

    fn models(&self) -> String {
        let version = self.weights.lock().unwrap().version;
        format!("[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}]")
    }

    fn write_entry(&self) {
        let sequence = self.revision.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"drafters\",\"address\":\"{}\",\"zone\":\"kl-a\",\"version\":\"1\",\
             \"slots\":32,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{},\"stage\":\"both\",\"models\":{}}}",
            self.address,
            self.born,
            self.models()
        );
        self.store.put("keyed.servers", &self.id, Some(entry));
    }

    /// Holder of the last order.
    fn last_holder(&self) -> Option<String> {
        let weights = self.weights.lock().unwrap();
        weights.orders.last().map(|order| order.holder.clone())
    }

    /// Whether a host has given an order that was accepted since a time.
    fn has_order(&self, holder: &str, since: Instant) -> bool {
        let weights = self.weights.lock().unwrap();
        let mut orders = weights.orders.iter();
        orders.any(|order| order.holder == holder && order.status == 202 && order.arrived > since)
    }

    /// Removes the entry.
    fn leave(&self) {
        self.weights.lock().unwrap().is_gone = true;
        thread::sleep(Duration::from_millis(50));
        self.store.put("keyed.servers", &self.id, None);
        self.record
            .line(&format!("store    removed the entry of {}", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if writer.write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let echo = format!("X-Instance-Id: {}\r\n", self.id);
        if request
            .header("x-expected-instance")
            .is_some_and(|id| id != self.id)
        {
            let headers = format!("{echo}X-Not-Executed: 1\r\n");
            return http::response("421 Misdirected Request", &headers, b"");
        }
        if request.target() == "/-/order" {
            let status = match self.order(&String::from_utf8_lossy(&request.body)) {
                202 => "202 Accepted",
                200 => "200 OK",
                409 => "409 Conflict",
                _ => "400 Bad Request",
            };
            return http::response(status, &echo, b"");
        }
        let models = self.models();
        let weights = self.weights.lock().unwrap();
        let report = format!(
            "{{\"stage\":\"both\",\"models\":{models},\"busy\":{},\"sequence\":{},\"queued\":0,\
             \"running\":0,\"kv_used\":0,\"kv_total\":228641,\"handles\":0,\"born\":{}}}",
            weights.ready_at.is_some(),
            weights.sequence,
            self.born
        );
        http::response(
            "200 OK",
            &format!("{echo}Content-Type: application/json\r\n"),
            report.as_bytes(),
        )
    }

    /// Takes an order. Returns the status of the answer.
    fn order(&self, body: &str) -> u16 {
        let number = |name: &str| {
            let rest = body.split(&format!("\"{name}\":")).nth(1)?;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse()
                .ok()
        };
        let text = |name: &str| {
            let rest = body.split(&format!("\"{name}\":\"")).nth(1)?;
            Some(rest.split('"').next()?.to_string())
        };
        let (Some(version), Some(fencing)) = (number("version"), number("fencing_token")) else {
            return 400;
        };
        let Some(holder) = text("holder") else {
            return 400;
        };
        let mut weights = self.weights.lock().unwrap();
        let sequence = weights.sequence;
        let status = if version <= weights.version {
            200
        } else if weights.ready_at.is_some() || number("if_revision").is_some_and(|n| n != sequence)
        {
            409
        } else {
            weights.sequence += 1;
            weights.next = version;
            weights.ready_at = Some(Instant::now() + LOAD);
            202
        };
        self.record.line(&format!(
            "order    {} from {holder}, token {fencing}, version {version}: {status}",
            self.id
        ));
        weights.orders.push(Order {
            arrived: Instant::now(),
            holder,
            fencing,
            version,
            status,
        });
        status
    }
}

pub fn run(setup: &Setup) -> bool {
    let record = &setup.record;
    let (store, store_address) = Store::start(setup.ip(200));
    store.put("keyed.op", "config", Some(config()));
    let name_version = |version: u64| {
        let value = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        store.put("keyed.op", &format!("version/{MODEL}"), Some(value));
        record.line(&format!("operator names version {version}"));
    };
    name_version(1);
    let engines: Vec<_> = (1..=ENGINES)
        .map(|n| Engine::start(&format!("i-{n}"), setup.ip(100 + n), &store, record))
        .collect();
    let fronts: Vec<_> = (1..=2)
        .map(|n| setup.start_front(n, "kl-a", store_address))
        .collect();
    setup.await_ready(&fronts);
    // The first owners wait for others that may have been there before them.
    thread::sleep(Duration::from_secs(8));
    let is_stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            for version in 2.. {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                name_version(version);
                thread::sleep(VERSION_GAP);
            }
        });
        thread::sleep(WARM_UP);
        let of = |front: &Front| {
            let own = engines
                .iter()
                .filter(|e| e.last_holder().as_ref() == Some(&front.name));
            own.count()
        };
        let owner = usize::from(of(&fronts[1]) > of(&fronts[0]));
        let (own, rest): (Vec<_>, Vec<_>) = engines
            .iter()
            .partition(|engine| engine.last_holder().as_ref() == Some(&fronts[owner].name));
        let kept = own.len().min(KEPT_ENGINES);
        rest.iter()
            .chain(&own[kept..])
            .for_each(|engine| engine.leave());
        record.say(&format!(
            "engines  {kept} left, orders from {}",
            fronts[owner].name
        ));
        let first_round = Instant::now() + Duration::from_secs(2);
        for round in 0..ROUNDS {
            let begun = first_round + ROUND * round;
            let (first, second) = (&fronts[1 - owner], &fronts[owner]);
            crate::sleep_until(begun);
            if setup.trouble {
                record.say(&format!("kill     {}", first.name));
                first.end();
            }
            crate::sleep_until(begun + DEAL_AFTER);
            deal(&store, record);
            crate::sleep_until(begun + DOWN);
            let restarted = Instant::now();
            if setup.trouble {
                first.restart();
                record.say(&format!("start    {}", first.name));
            }
            crate::sleep_until(begun + SECOND_KILL_AFTER);
            if setup.trouble {
                record.say(&format!("kill     {}", second.name));
                second.end();
            }
            crate::sleep_until(begun + SECOND_KILL_AFTER + DEAL_AFTER);
            // A slow machine gets a little more time for the first host's orders.
            let limit = Instant::now() + MAX_WAIT;
            while !engines.iter().any(|e| e.has_order(&first.name, restarted))
                && Instant::now() < limit
            {
                thread::sleep(Duration::from_millis(10));
            }
            deal(&store, record);
            thread::sleep(DOWN - DEAL_AFTER);
            if setup.trouble {
                second.restart();
                record.say(&format!("start    {}", second.name));
            }
        }
        crate::sleep_until(first_round + ROUND * ROUNDS);
        is_stopped.store(true, Ordering::SeqCst);
    });
    for front in &fronts {
        front.end();
    }
    let mut turns = 0;
    let mut handovers = 0;
    let mut orders = 0;
    let mut holders: BTreeMap<String, u32> = BTreeMap::new();
    for engine in &engines {
        let mut taken = engine.weights.lock().unwrap().orders.clone();
        taken.retain(|order| order.status == 202);
        orders += taken.len();
        for order in &taken {
            *holders.entry(order.holder.clone()).or_default() += 1;
        }
        // Orders of one holder in succession: the first and the last.
        let mut spans: Vec<(&Order, &Order)> = Vec::new();
        for order in &taken {
            match spans.last_mut() {
                Some((_, last)) if last.holder == order.holder => *last = order,
                _ => spans.push((order, order)),
            }
        }
        for pair in spans.windows(2) {
            handovers += u32::from(pair[1].0.arrived - pair[0].1.arrived < LEASE);
        }
        for three in spans.windows(3) {
            let (before, between, after) = (three[0].1, three[1].0, three[2].0);
            if before.holder != after.holder || after.arrived - before.arrived >= LEASE {
                continue;
            }
            turns += 1;
            let shown = [before, between, after].map(|order| {
                format!(
                    "{:.3} {} (token {}, version {})",
                    at(order.arrived),
                    order.holder,
                    order.fencing,
                    order.version
                )
            });
            let apart = (after.arrived - before.arrived).as_millis();
            record.say(&format!(
                "turns    {}: {}; {apart} ms in all",
                engine.id,
                shown.join(", ")
            ));
        }
    }
    record.say(&format!(
        "accepted orders of another host less than {} ms apart: {handovers}",
        LEASE.as_millis()
    ));
    record.say(&format!(
        "accepted orders {orders} by {holders:?}; turns of A, B and A again within {} ms: {turns}",
        LEASE.as_millis()
    ));
    if holders.len() < 2 {
        not_run("orders came from fewer than two hosts");
    }
    turns > 0
}

/// Has the store deal all shards anew.
fn deal(store: &Store, record: &Record) {
    let generation = store.swap_owners();
    record.say(&format!(
        "store    deals all shards anew, generation {generation}"
    ));
}

/// Configuration with a route to the engines.
fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"draft\",\"host\":\"shop.example\",\
         \"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\"timeout_ms\":12000,\
         \"target_latency_ms\":600,\"gap_target_ms\":250,\"priority\":1,\"service\":\"drafters\",\
         \"attempts\":2,\"resumable\":true,\"allow_anonymous\":true}}],\"services\":[{{\
         \"name\":\"drafters\",\"health_path\":\"/health\",\"connection_limit\":240,\"engine\":{{\
         \"slots\":32,\"kv_capacity_tokens\":228641,\"kv_token_bytes\":327680,\"link_mbps\":1500000,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

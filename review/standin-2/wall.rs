//! A tenant becomes isolated, and other tenants' requests go on using the KV cache that its requests have made.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    deployment::{self, Deployment, Entry, Record, PHRASEBOOK_BOUNDS},
    http::{self, Client, Next},
    unix_ms, Outcome, Result,
};

const ENGINES: usize = 2;

/// A cached part: salt, model and the ids of all parts up to it.
type PartKey = (String, String, String);

/// Which tenant's request has made a part.
type Cache = BTreeMap<PartKey, String>;

/// A cached part that a request has used.
#[derive(Clone)]
struct Use {
    attempt: String,
    tenant: String,
    maker: String,
    part: String,
}

pub fn run(record: Record) -> Result {
    let mut deployment = Deployment::start(record.clone(), &["kl-a"], PHRASEBOOK_BOUNDS);
    let uses = Arc::new(Mutex::new(Vec::new()));
    for number in 0..ENGINES {
        start_engine(number, &deployment, &uses);
    }
    let routes = [deployment::route(
        "draft",
        "/draft/",
        "streaming",
        "writers",
        12_000,
        2,
    )];
    let tenants = |is_isolated| {
        [
            deployment::tenant("hotel", "key-hotel", is_isolated),
            deployment::tenant("school", "key-school", false),
        ]
    };
    let store = &deployment.store;
    // Without the disruption, the tenant is isolated from the beginning.
    let is_isolated = !crate::has_trouble();
    store.put(
        "keyed.op",
        "config",
        Some(&deployment::config(3, &routes, &tenants(is_isolated))),
    );
    store.put(
        "keyed.op",
        "version/m0",
        Some("{\"model\":\"m0\",\"version\":1}"),
    );
    deployment.wait_until_ready()?;
    thread::sleep(Duration::from_secs(4));
    let mut client = Client::new(deployment.callers(0));
    for number in 0..6 {
        ask(&mut client, "hotel", number, &record)?;
    }
    store.put(
        "keyed.op",
        "config",
        Some(&deployment::config(8, &routes, &tenants(true))),
    );
    record.line(format!("the store has accepted version 8 of the configuration; hotel was isolated before: {is_isolated}"));
    // Twice the time in which a configuration must be in force.
    thread::sleep(Duration::from_secs(4));
    let before = uses.lock().unwrap().len();
    for number in 10..16 {
        ask(&mut client, "hotel", number, &record)?;
        ask(&mut client, "school", number, &record)?;
    }
    if !deployment.are_running() {
        return Err("the front has ended".into());
    }
    let uses = uses.lock().unwrap();
    let crossed: Vec<&Use> = uses[before..]
        .iter()
        .filter(|used| used.tenant != used.maker)
        .collect();
    Ok(match crossed.first() {
        None => Outcome::Held(format!("{} uses of cached parts, none of another tenant's", uses.len())),
        Some(first) => Outcome::Broken(format!(
            "WALL: {} times a request used KV cache of another tenant while hotel was isolated; {} of {} used part {} \
             that {} had made",
            crossed.len(),
            first.attempt,
            first.tenant,
            first.part,
            first.maker
        )),
    })
}

/// Sends a prompt whose first part all tenants share, and reads the stream.
fn ask(
    client: &mut Client,
    tenant: &str,
    number: u32,
    record: &Record,
) -> std::result::Result<(), String> {
    let attempt = format!("{tenant}-{number}");
    let headers = format!(
        "host: shop.example\r\nx-attempt-id: {attempt}\r\nx-deadline-milliseconds: 12000\r\n\
         authorization: Bearer key-{tenant}\r\nx-model: m0\r\nx-token-counts: 7000,20\r\n\
         x-prompt-prefix: 5c1e07a2:5382,{number:02x}aa{:02x}:1618\r\n",
        tenant.len()
    );
    let answer = client.send(
        "POST",
        "/draft/1",
        &headers,
        b"a prompt",
        Duration::from_secs(5),
    );
    record.line(format!(
        "{attempt} gets status {}, {} bytes, whole: {}",
        answer.status,
        answer.body.len(),
        answer.whole
    ));
    match answer.status == 200 && answer.whole {
        true => Ok(()),
        false => Err(format!("{attempt} was not served")),
    }
}

fn start_engine(number: usize, deployment: &Deployment, uses: &Arc<Mutex<Vec<Use>>>) {
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
    let cache: Arc<Mutex<Cache>> = Arc::default();
    let (uses, record) = (uses.clone(), deployment.record.clone());
    http::serve(listener, move |request, stream| {
        use std::io::Write;
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
        let salt = request.header("x-cache-salt").to_string();
        let (model, tenant) = (
            request.header("x-model").to_string(),
            request.header("x-tenant").to_string(),
        );
        let mut parts = String::new();
        for part in request.header("x-prompt-prefix").split(',') {
            parts.push_str(part);
            parts.push(',');
            let key = (salt.clone(), model.clone(), parts.clone());
            let maker = cache
                .lock()
                .unwrap()
                .entry(key)
                .or_insert_with(|| tenant.clone())
                .clone();
            record.line(format!(
                "{id} runs {attempt} of {tenant}, salt '{salt}': part {part} made by {maker}"
            ));
            uses.lock().unwrap().push(Use {
                attempt: attempt.clone(),
                tenant: tenant.clone(),
                maker,
                part: part.to_string(),
            });
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{identity}x-attempt-id: {attempt}\r\nx-server-signature: s.{id}\r\n\
             x-weight-versions: 1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in 1..=4 {
            thread::sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: word\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(Next::Keep)
    });
}

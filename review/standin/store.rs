//! Stand-in for the platform's store: keyed topics and one group.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    not_run,
};

/// Partitions of each topic of the group.
const PARTS: usize = 12;

/// Records of a topic, by offset; a record without a value drops its key.
type Topic = Vec<(String, Option<Vec<u8>>)>;

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
    group_topics: Vec<String>,
    owners: Vec<String>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    appended: Condvar,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start(ip: std::net::Ipv4Addr) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind((ip, 0)).unwrap_or_else(|e| not_run(&e.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|e| not_run(&e.to_string()));
        let store = Arc::new(Self::default());
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes a record as the operator or a replica does. The time of the return is that of the
    /// acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.into()).or_default();
        records.push((key.into(), value.map(String::into_bytes)));
        self.appended.notify_all();
    }

    /// Deals all partitions at once, without a request: two members of the group swap theirs.
    pub fn swap_owners(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        let members: Vec<String> = state.members.keys().cloned().collect();
        let [first, second] = &members[..] else {
            not_run("the group has not two members");
        };
        for owner in &mut state.owners {
            *owner = if owner == first {
                second.clone()
            } else {
                first.clone()
            };
        }
        state.generation += 1;
        state.generation
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            // The sheet's time of an answer.
            thread::sleep(Duration::from_millis(4));
            if writer.write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let path = request.target().split('?').next().unwrap_or_default();
        let topic = request.query("topic").unwrap_or_default();
        match path {
            "/-/log-newest" => {
                json(&self.newest(topic, request.query("after").unwrap_or_default()))
            }
            "/-/log-read" => {
                let number = |name| {
                    request
                        .query(name)
                        .and_then(|n| n.parse().ok())
                        .unwrap_or(0)
                };
                let body = self.read(topic, number("from") as usize, number("wait_ms"));
                http::response("200 OK", "", &body)
            }
            "/-/log-join" => json(&self.join(&String::from_utf8_lossy(&request.body))),
            "/-/log-owners" => json(&self.list_owners()),
            "/-/log-append" => json("{\"offset\":0,\"end_offset\":0}"),
            _ => http::response("404 Not Found", "", b""),
        }
    }

    fn newest(&self, topic: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let empty = Topic::new();
        let records = state.topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .into_iter()
            .filter(|(key, _)| key.as_str() > after)
            .filter_map(|(key, (offset, value))| {
                let value = base64(value.as_ref()?);
                Some(format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
                ))
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"more\":false,\"end_offset\":{end}}}")
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = self.appended.wait_timeout(state, left).unwrap().0;
        }
        let empty = Topic::new();
        let records = state.topics.get(topic).unwrap_or(&empty);
        let mut body = Vec::new();
        body.extend((records.len() as u64).to_be_bytes());
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            let value = value.as_deref().unwrap_or_default();
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        body
    }

    fn join(&self, body: &str) -> String {
        let mut state = self.state.lock().unwrap();
        let member = text_field(body, "member");
        let expiry = body.split("\"expiry_ms\":").nth(1).unwrap_or("3000");
        let expiry = expiry
            .split(|c: char| !c.is_ascii_digit())
            .next()
            .unwrap_or("3000");
        let expiry = Duration::from_millis(expiry.parse().unwrap_or(3_000));
        let topics = body
            .split("\"topics\":[")
            .nth(1)
            .and_then(|rest| rest.split(']').next());
        let topics = topics.unwrap_or_default().split(',');
        state.group_topics = topics.map(|topic| topic.trim_matches('"').into()).collect();
        state.expire();
        let is_new = !state.members.contains_key(&member);
        state
            .members
            .insert(member.clone(), (Instant::now(), expiry));
        if is_new {
            state.deal();
        }
        let own: Vec<String> = state
            .rows()
            .filter(|(_, _, owner)| **owner == member)
            .map(|(topic, part, _)| format!("[\"{topic}\",{part},0]"))
            .collect();
        format!(
            "{{\"generation\":{},\"parts\":[{}]}}",
            state.generation,
            own.join(",")
        )
    }

    fn list_owners(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let rows: Vec<String> = state
            .rows()
            .map(|(topic, part, owner)| format!("[\"{topic}\",{part},\"{owner}\",0]"))
            .collect();
        format!("[{}]", rows.join(","))
    }
}

impl State {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members
            .retain(|_, (joined, expiry)| joined.elapsed() < *expiry);
        if self.members.len() < before {
            self.deal();
        }
    }

    /// Deals the partitions evenly.
    fn deal(&mut self) {
        self.generation += 1;
        let members: Vec<&String> = self.members.keys().collect();
        let parts = if members.is_empty() {
            0
        } else {
            self.group_topics.len() * PARTS
        };
        self.owners = (0..parts)
            .map(|part| members[part % members.len()].clone())
            .collect();
    }

    /// Topic, partition and owner.
    fn rows(&self) -> impl Iterator<Item = (&String, usize, &String)> {
        let owners = self.owners.iter().enumerate();
        owners.map(|(index, owner)| (&self.group_topics[index / PARTS], index % PARTS, owner))
    }
}

fn json(body: &str) -> Vec<u8> {
    http::response(
        "200 OK",
        "Content-Type: application/json\r\n",
        body.as_bytes(),
    )
}

/// Value of a text field in a flat JSON object.
fn text_field(body: &str, name: &str) -> String {
    let rest = body
        .split(&format!("\"{name}\":\""))
        .nth(1)
        .unwrap_or_default();
    rest.split('"').next().unwrap_or_default().into()
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in data.chunks(3) {
        let bits = group
            .iter()
            .enumerate()
            .map(|(i, &b)| u32::from(b) << (16 - 8 * i))
            .sum::<u32>();
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

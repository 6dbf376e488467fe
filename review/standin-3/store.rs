//! Stand-in for the platform's store: keyed topics and one group.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    record::Record,
};

/// Topics of the group, and partitions of each.
const PARTS: usize = 12;

#[derive(Default)]
struct Member {
    joined_at: Option<Instant>,
    expiry: Duration,
}

impl Member {
    fn is_expired(&self) -> bool {
        self.joined_at.is_some_and(|at| at.elapsed() >= self.expiry)
    }
}

/// A partition: who holds it, and who is to hold it once the holder has let go of it.
#[derive(Clone, Default)]
struct Partition {
    holder: String,
    target: String,
    /// Generation with which the target was chosen.
    since: u64,
}

#[derive(Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    topics: Vec<String>,
    partitions: Vec<Partition>,
}

impl Group {
    /// Deals the partitions evenly. Members keep what they hold as far as that is even; which of them, is
    /// drawn by a hash.
    fn deal(&mut self) {
        self.generation += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            return;
        }
        let count = self.partitions.len();
        let mut order: Vec<usize> = (0..count).collect();
        let generation = self.generation;
        order.sort_by_key(|&part| {
            let mixed = (part as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ generation;
            mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(31)
        });
        let quota = |place: usize| count / names.len() + usize::from(place < count % names.len());
        let mut left: BTreeMap<&str, usize> = BTreeMap::new();
        for (place, name) in names.iter().enumerate() {
            left.insert(name, quota(place));
        }
        let mut open = Vec::new();
        for &part in &order {
            let partition = &mut self.partitions[part];
            match left.get_mut(&*partition.holder) {
                Some(room) if *room > 0 => {
                    *room -= 1;
                    partition.target = partition.holder.clone();
                }
                _ => open.push(part),
            }
        }
        for part in open {
            let (name, room) = left
                .iter_mut()
                .find(|(_, room)| **room > 0)
                .expect("room for each partition");
            *room -= 1;
            let name = name.to_string();
            let partition = &mut self.partitions[part];
            partition.target = name.clone();
            partition.since = generation;
            if !self.members.contains_key(&partition.holder) {
                partition.holder = name;
            }
        }
    }

    fn join(&mut self, name: &str, generation: u64, expiry: Duration, topics: Vec<String>) {
        if self.partitions.is_empty() {
            self.partitions = vec![Partition::default(); topics.len() * PARTS];
            self.topics = topics;
        }
        let is_new = !self.members.contains_key(name);
        let member = self.members.entry(name.to_string()).or_default();
        member.joined_at = Some(Instant::now());
        member.expiry = expiry;
        let before = self.members.len();
        self.members.retain(|_, member| !member.is_expired());
        if is_new || self.members.len() != before {
            self.deal();
        }
        let mut has_let_go = false;
        for partition in &mut self.partitions {
            let is_moving = partition.holder == name && partition.target != name;
            if is_moving && generation >= partition.since {
                partition.holder = partition.target.clone();
                has_let_go = true;
            }
        }
        if has_let_go {
            self.generation += 1;
        }
    }

    fn topic_part(&self, index: usize) -> (&str, usize) {
        (&self.topics[index / PARTS], index % PARTS)
    }

    fn parts_of(&self, name: &str) -> String {
        let own = self.partitions.iter().enumerate();
        let own = own.filter(|(_, part)| part.holder == name && part.target == name);
        let rows: Vec<String> = own
            .map(|(index, _)| {
                let (topic, part) = self.topic_part(index);
                format!("[\"{topic}\",{part},0]")
            })
            .collect();
        rows.join(",")
    }

    fn owners(&self) -> String {
        let rows: Vec<String> = self
            .partitions
            .iter()
            .enumerate()
            .filter(|(_, part)| !part.holder.is_empty())
            .map(|(index, partition)| {
                let (topic, part) = self.topic_part(index);
                format!("[\"{topic}\",{part},\"{}\",0]", partition.holder)
            })
            .collect();
        rows.join(",")
    }
}

#[derive(Default)]
struct State {
    /// Records of each topic: key and value; an empty value drops the key.
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    group: Group,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    pub fn start(record: Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
        });
        let served = store.clone();
        http::serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        Ok(store)
    }

    /// Writes a record, as the operator or a replica does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let records = state.topics.entry(topic.to_string()).or_default();
        records.push((key.to_string(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let (status, body) = self.handle(request);
        let json = [("Content-Type", "application/json")];
        http::respond(stream, status, &json, &body)
    }

    fn handle(&self, request: &Message) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let topic = request.query("topic").unwrap_or("").to_string();
        match request.path() {
            "/-/log-newest" => (200, newest(&state, &topic).into_bytes()),
            "/-/log-read" => {
                let number = |name| {
                    request
                        .query(name)
                        .and_then(|text| text.parse::<u64>().ok())
                };
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                    let left = until.saturating_duration_since(Instant::now());
                    if records.len() > from || left.is_zero() {
                        return (200, page(records, from));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/-/log-append" => {
                let records = state.topics.entry(topic).or_default();
                let offset = records.len();
                append(records, &request.body);
                let end = records.len();
                self.changed.notify_all();
                let answer = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
                (200, answer.into_bytes())
            }
            "/-/log-join" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let member = json_text(&text, "member");
                let expiry = Duration::from_millis(json_number(&text, "expiry_ms"));
                let topics = json_list(&text, "topics");
                let known = json_number(&text, "generation");
                let before = state.group.generation;
                state.group.join(&member, known, expiry, topics);
                let generation = state.group.generation;
                if generation != before {
                    self.record.line(&format!(
                        "store: {member} joined, generation {before} -> {generation}"
                    ));
                }
                let parts = state.group.parts_of(&member);
                let answer = format!("{{\"generation\":{generation},\"parts\":[{parts}]}}");
                (200, answer.into_bytes())
            }
            "/-/log-owners" => (200, format!("[{}]", state.group.owners()).into_bytes()),
            _ => (404, Vec::new()),
        }
    }
}

/// Newest record of each key, in one page.
fn newest(state: &State, topic: &str) -> String {
    let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
    let mut by_key: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        by_key.insert(key, (offset, value));
    }
    by_key.retain(|_, (_, value)| !value.is_empty());
    let items: Vec<String> = by_key
        .iter()
        .map(|(key, (offset, value))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        })
        .collect();
    let (items, end) = (items.join(","), records.len());
    format!("{{\"items\":[{items}],\"more\":false,\"end_offset\":{end}}}")
}

/// Page of records: end, first offset, then the records.
fn page(records: &[(String, Vec<u8>)], from: usize) -> Vec<u8> {
    let mut page = (records.len() as u64).to_be_bytes().to_vec();
    page.extend_from_slice(&0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        let length = (1 + key.len() + value.len()) as u32;
        page.extend_from_slice(&length.to_be_bytes());
        page.push(key.len() as u8);
        page.extend_from_slice(key.as_bytes());
        page.extend_from_slice(value);
    }
    page
}

fn append(records: &mut Vec<(String, Vec<u8>)>, mut body: &[u8]) {
    while body.len() > 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let record = &body[4..4 + length];
        let key_end = 1 + record[0] as usize;
        let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
        records.push((key, record[key_end..].to_vec()));
        body = &body[4 + length..];
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

/// Value of a text field of a flat JSON object without escapes.
pub fn json_text(json: &str, name: &str) -> String {
    let rest = json
        .split_once(&format!("\"{name}\":\""))
        .map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or("").to_string()
}

pub fn json_number(json: &str, name: &str) -> u64 {
    let rest = json
        .split_once(&format!("\"{name}\":"))
        .map_or("", |(_, rest)| rest);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn json_list(json: &str, name: &str) -> Vec<String> {
    let rest = json
        .split_once(&format!("\"{name}\":["))
        .map_or("", |(_, rest)| rest);
    let list = rest.split(']').next().unwrap_or("");
    let items = list
        .split(',')
        .map(|item| item.trim_matches('"').to_string());
    items.collect()
}

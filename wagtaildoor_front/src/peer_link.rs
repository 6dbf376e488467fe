//! Exchange between hosts: hints by datagrams, and records of the store for hosts cut off from it.

use std::{
    collections::HashSet,
    io,
    mem,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use tokio::{
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    task,
    time, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    frame::{
        self,
        FrameReader,
        FrameWriter, //
    },
    schema::{
        EngineWork,
        FrontAsk,
        FrontHint,
        FrontHost,
        FrontRecord,
        FrontRecords,
        FrontStream, //
    },
};

use crate::{
    control_follower::{
        self,
        PageSource, //
    },
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStream,
        GroupMember, //
    },
    endpoint::EndpointKey,
    endpoint_connection,
    front::Front,
    peer_hosts::HintTarget,
    prefix_hash,
    wire_codec::WireCodec, //
};

/// Pause in which hints are gathered into one datagram.
const HINT_INTERVAL: Duration = Duration::from_millis(25);
/// Pauses after which a datagram names some hosts, and goes out though there is no news.
const HOST_LIST_INTERVALS: u32 = 40;
/// Hosts that such a datagram names.
const HOSTS_PER_HINT: usize = 3;
/// Prefixes in one datagram, which keeps it below the size that networks cut.
const MAX_PREFIXES_PER_HINT: usize = 60;
/// Engines in one datagram.
const MAX_ENGINES_PER_HINT: usize = 40;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Time for one exchange of records with another host.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(600);
/// Records of an answer that takes a host's link for long; a usual one has a few.
const LONG_RESPONSE_RECORDS: usize = 500;
/// Such answers that a host gives at a time.
const MAX_LONG_RESPONSES: usize = 1;
/// Time that the own read of the store has before a peer is asked for what it has seen.
const STORE_READ_DELAY: Duration = Duration::from_millis(120);

/// Opens the port for datagrams.
pub async fn bind_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Sends news to all other hosts as it comes.
pub async fn send_hints(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let own = front.own_member();
    let mut pauses = 0;
    let mut round = 0;
    loop {
        time::sleep(HINT_INTERVAL).await;
        pauses += 1;
        let names_hosts = pauses >= HOST_LIST_INTERVALS;
        if front.hints.borrow().is_empty() && !names_hosts {
            continue;
        }
        let mut hint = build_hint(&front, &own);
        if names_hosts {
            pauses = 0;
            hint.hosts = sample_hosts(&front);
        }
        round += 1;
        for target in hint_targets(&front, &own, round) {
            hint.pass_on = target.is_forwarder;
            send_hint(&front, &socket, &hint, target.address);
        }
    }
}

/// What there is to tell the other hosts now.
fn build_hint(front: &Front, own: &GroupMember) -> FrontHint {
    let work = front.hints.borrow_mut().take_changed_engines();
    let (placed, weights) = front.hints.borrow_mut().take_batch(MAX_PREFIXES_PER_HINT);
    FrontHint {
        sender: encode_host(own),
        pass_on: false,
        operator_next: front.mirror.borrow().next_offset(ControlStream::Operator),
        placed,
        weights,
        work: engine_work(front, work),
        hosts: Vec::new(),
    }
}

/// Sends one datagram; a hint that is lost is not sent again.
fn send_hint(front: &Front, socket: &UdpSocket, hint: &FrontHint, peer: SocketAddr) {
    let datagram = match frame::encode(hint) {
        Ok(datagram) => datagram,
        Err(error) => {
            slog::error!(front.log, "hint not encoded"; "error" => %error);
            return;
        }
    };
    if let Err(error) = socket.try_send_to(&datagram, peer) {
        slog::debug!(front.log, "hint not sent"; "peer" => %peer, "error" => %error);
    }
}

/// Where hints go: to hosts of the group, or to the seeds until it is known.
fn hint_targets(front: &Front, own: &GroupMember, round: usize) -> Vec<HintTarget> {
    let known = front.peers.borrow();
    let targets = known.hint_targets(own, round, BootInstant::now());
    if !targets.is_empty() {
        return targets;
    }
    let seeds = front.settings.seeds.iter().copied();
    let others = seeds.filter(|&address| address != own.address);
    others
        .map(|address| HintTarget {
            address,
            is_forwarder: false,
        })
        .collect()
}

/// What this host still wants read at engines.
fn engine_work(front: &Front, engines: HashSet<EndpointKey>) -> Vec<EngineWork> {
    let directory = front.endpoints.borrow();
    let work = engines
        .into_iter()
        .take(MAX_ENGINES_PER_HINT)
        .filter_map(|key| {
            let endpoint = directory.get_by_key(key)?;
            let tokens = endpoint.load.borrow().own_prefill_tokens();
            Some(EngineWork {
                endpoint: key,
                tokens,
            })
        });
    work.collect()
}

/// Some hosts of the group, for others that may not know them.
fn sample_hosts(front: &Front) -> Vec<FrontHost> {
    let now = BootInstant::now();
    let peers = front.peers.borrow();
    let known: Vec<&GroupMember> = peers.confirmed_members(now).collect();
    let drawn = now.since(BootInstant::ZERO).as_millis() as usize;
    let some = (0..HOSTS_PER_HINT.min(known.len())).map(|i| known[(drawn + i) % known.len()]);
    some.map(encode_host).collect()
}

/// A host in frames.
fn encode_host(member: &GroupMember) -> FrontHost {
    FrontHost {
        host: member.host.clone(),
        domain: member.domain.clone(),
        address: member.address.to_string().into(),
    }
}

/// A host by what a frame says; `None` if its address cannot be read.
fn decode_host(host: &FrontHost) -> Option<GroupMember> {
    Some(GroupMember {
        host: host.host.clone(),
        domain: host.domain.clone(),
        address: host.address.parse().ok()?,
    })
}

/// Takes news of other hosts.
pub async fn receive_hints<C: WireCodec>(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                slog::debug!(front.log, "datagram not received"; "error" => %error);
                time::sleep(HINT_INTERVAL).await;
                continue;
            }
        };
        let mut hint = match frame::decode::<FrontHint>(&buffer[..length]) {
            Ok(hint) => hint,
            Err(error) => {
                slog::debug!(front.log, "datagram dropped"; "from" => %from, "error" => %error);
                continue;
            }
        };
        let Some(sender) = decode_host(&hint.sender) else {
            slog::debug!(front.log, "datagram dropped"; "from" => %from,
                "error" => "the sender's address cannot be read");
            continue;
        };
        if mem::take(&mut hint.pass_on) {
            pass_on(&front, &socket, &hint, &sender);
        }
        apply_hint::<C>(&front, hint, &sender);
    }
}

/// Sends a hint of another failure domain to all other hosts of this one.
fn pass_on(front: &Front, socket: &UdpSocket, hint: &FrontHint, sender: &GroupMember) {
    let own = front.own_member();
    if sender.domain == own.domain {
        return;
    }
    let peers = front.peers.borrow();
    let here = peers.members().filter(|host| host.domain == own.domain);
    for host in here.filter(|host| **host != own) {
        send_hint(front, socket, hint, host.address);
    }
}

/// Takes one hint.
fn apply_hint<C: WireCodec>(front: &Rc<Front>, hint: FrontHint, sender: &GroupMember) {
    let now = BootInstant::now();
    record_peers(front, &hint, sender);
    let mut homes = front.homes.borrow_mut();
    for placed in &hint.placed {
        homes.record_holder(placed.prefix, placed.endpoint, placed.is_read, now);
    }
    let endpoints = front.endpoints.borrow();
    for work in &hint.work {
        if let Some(endpoint) = endpoints.get_by_key(work.endpoint) {
            let mut load = endpoint.load.borrow_mut();
            load.set_peer_prefill(sender.address, work.tokens, now);
        }
    }
    for seen in &hint.weights {
        if let Some(endpoint) = endpoints.get_by_key(seen.endpoint) {
            if seen.is_loading {
                endpoint.load.borrow_mut().mark_full(now);
            } else {
                endpoint.record_weights(&seen.model, seen.version);
            }
        }
    }
    if hint.operator_next > front.mirror.borrow().next_offset(ControlStream::Operator) {
        if let Ok(permit) = front.peer_fetch_permits.clone().try_acquire_owned() {
            let ahead =
                fetch_if_behind::<C>(front.clone(), hint.operator_next, sender.address, permit);
            task::spawn_local(ahead);
        }
    }
}

/// Notes the host that sent a hint, and those that it names.
fn record_peers(front: &Front, hint: &FrontHint, sender: &GroupMember) {
    let now = BootInstant::now();
    let mut peers = front.peers.borrow_mut();
    if peers.record_contact(sender, now) {
        slog::info!(front.log, "host met"; "host" => &*sender.host, "address" => %sender.address);
    }
    for other in hint.hosts.iter().filter_map(decode_host) {
        peers.add_gossiped(other, now);
    }
}

/// Asks a host for the operator's records, if the store does not give them in time. One at a time:
/// while a host is behind, each hint says so, and an ask for each would fill its link.
async fn fetch_if_behind<C: WireCodec>(
    front: Rc<Front>,
    head: u64,
    peer: SocketAddr,
    _permit: OwnedSemaphorePermit,
) {
    time::sleep(STORE_READ_DELAY).await;
    if front.mirror.borrow().next_offset(ControlStream::Operator) < head {
        fetch_records_from::<C>(&front, ControlStream::Operator, peer).await;
    }
}

/// Asks another host for the records of a stream.
pub async fn fetch_records<C: WireCodec>(front: &Front, stream: ControlStream) {
    let peers = peer_addresses(front);
    if peers.is_empty() {
        return;
    }
    let drawn = BootInstant::now().since(BootInstant::ZERO).as_nanos() as u64;
    let index = prefix_hash::combine_hashes(drawn, peers.len() as u64) as usize % peers.len();
    fetch_records_from::<C>(front, stream, peers[index]).await;
}

/// Asks one host for the records of a stream.
async fn fetch_records_from<C: WireCodec>(front: &Front, stream: ControlStream, peer: SocketAddr) {
    let ask = FrontAsk {
        stream: encode_stream(stream),
        from: front.mirror.borrow().next_offset(stream),
    };
    match time::timeout(RECORDS_TIMEOUT, request_records(peer, &ask)).await {
        Ok(Ok(records)) => {
            let page = decode_page(records);
            if page.next > ask.from {
                slog::info!(front.log, "records from a peer"; "stream" => ?stream,
                    "peer" => %peer, "from" => ask.from, "next" => page.next);
                control_follower::apply_page::<C>(front, stream, &page, PageSource::Peer, true);
            }
        }
        Ok(Err(error)) => {
            slog::debug!(front.log, "no records"; "peer" => %peer, "error" => %error);
        }
        Err(_) => slog::debug!(front.log, "no records in time"; "peer" => %peer),
    }
}

/// One exchange of records.
async fn request_records(peer: SocketAddr, ask: &FrontAsk) -> io::Result<FrontRecords> {
    let stream = endpoint_connection::connect(peer).await?;
    let (reader, writer) = stream.into_split();
    FrameWriter::new(writer)
        .send(ask)
        .await
        .map_err(io::Error::other)?;
    let answer = FrameReader::new(reader).next().await;
    answer
        .map_err(io::Error::other)?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Gives other hosts the records that they ask for.
pub async fn serve_records(front: Rc<Front>, listener: TcpListener) {
    let long_responses = Rc::new(Semaphore::new(MAX_LONG_RESPONSES));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                slog::warn!(front.log, "accept failed"; "error" => %error);
                time::sleep(HINT_INTERVAL).await;
                continue;
            }
        };
        let front = front.clone();
        let long_responses = long_responses.clone();
        task::spawn_local(async move {
            let answer = serve_record_request(&front, stream, &long_responses);
            if let Ok(Err(error)) = time::timeout(RECORDS_TIMEOUT, answer).await {
                slog::debug!(front.log, "records not given"; "error" => %error);
            }
        });
    }
}

/// Answers one host. While one long answer is on its way, others that want one get none: several
/// at a time would share this host's link, and none would be there in time.
async fn serve_record_request(
    front: &Front,
    stream: TcpStream,
    long_responses: &Semaphore,
) -> frame::Result<()> {
    let (reader, writer) = stream.into_split();
    let Some(ask) = FrameReader::new(reader).next::<FrontAsk>().await? else {
        return Ok(());
    };
    let mut records = find_records(front, &ask);
    let is_long = records.records.len() > LONG_RESPONSE_RECORDS;
    let permit = long_responses.try_acquire();
    if is_long && permit.is_err() {
        records = FrontRecords {
            next: 0,
            records: Vec::new(),
        };
    }
    FrameWriter::new(writer).send(&records).await
}

/// Records that another host asks for.
fn find_records(front: &Front, ask: &FrontAsk) -> FrontRecords {
    let stream = match ask.stream {
        FrontStream::Operator => ControlStream::Operator,
        FrontStream::Endpoints => ControlStream::Endpoints,
    };
    let page = front.mirror.borrow().page_from(stream, ask.from);
    let records = page.records.into_iter().map(|record| FrontRecord {
        offset: record.offset,
        key: record.key,
        value: record.value.map(|value| value.to_vec()),
    });
    FrontRecords {
        next: page.next,
        records: records.collect(),
    }
}

/// Another host's records as a page.
fn decode_page(records: FrontRecords) -> ControlPage {
    let page = records.records.into_iter().map(|record| ControlRecord {
        offset: record.offset,
        key: record.key,
        value: record.value.map(Bytes::from),
    });
    ControlPage {
        records: page.collect(),
        next: records.next,
        has_more: false,
    }
}

/// Name of a stream in frames.
fn encode_stream(stream: ControlStream) -> FrontStream {
    match stream {
        ControlStream::Operator => FrontStream::Operator,
        ControlStream::Endpoints => FrontStream::Endpoints,
    }
}

/// Addresses of other hosts: those of the group, or the seeds until it is known.
fn peer_addresses(front: &Front) -> Vec<SocketAddr> {
    let own = front.settings.peers;
    let known = front.peers.borrow();
    let mut peers: Vec<SocketAddr> = known
        .addresses()
        .filter(|&address| address != own)
        .collect();
    if peers.is_empty() {
        let seeds = front.settings.seeds.iter().copied();
        peers = seeds.filter(|&address| address != own).collect();
    }
    peers
}

//! Exchanges gossip updates (hints) with other hosts.

use std::{
    collections::HashSet,
    io,
    mem,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::UdpSocket,
    sync::OwnedSemaphorePermit,
    task,
    time, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    frame,
    schema::{
        EngineWork,
        FrontHint,
        FrontHost, //
    },
};

use crate::{
    control_store::{
        ControlStream,
        GroupMember, //
    },
    endpoint::EndpointKey,
    endpoint_limit::limit_news,
    engine_loads::{
        self,
        LoadEvidence, //
    },
    front::Front,
    peer_hosts::HintTarget,
    peer_records,
    stream_position::StreamPosition,
    wire_codec::WireCodec, //
};

/// Interval over which hints are collected into one datagram.
const HINT_INTERVAL: Duration = Duration::from_millis(25);
/// Number of hint intervals after which a datagram lists some hosts and is sent even without hints,
/// in a small group of hosts.
const HOST_LIST_INTERVALS: u32 = 40;
/// Number of hosts listed in such a datagram.
const HOSTS_PER_HINT: usize = 3;
/// Maximum number of prefixes per datagram, which keeps it small enough to avoid fragmentation.
const MAX_PREFIXES_PER_HINT: usize = 60;
/// Maximum number of engines per datagram.
const MAX_ENGINES_PER_HINT: usize = 40;
/// Maximum number of accounts per datagram.
const MAX_ACCOUNTS_PER_HINT: usize = 40;
/// Maximum number of endpoints' limits per datagram.
const MAX_LIMITS_PER_HINT: usize = 40;
/// Size of the receive buffer for datagrams, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Time for this host's own read of the store to complete before it asks a peer for the records.
const STORE_READ_DELAY: Duration = Duration::from_millis(120);

/// Binds the UDP socket for hints.
pub async fn bind_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Periodically sends collected hints to the other hosts.
pub async fn send_hints(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let own = front.own_member();
    let mut intervals = 0;
    let mut round = 0;
    loop {
        time::sleep(HINT_INTERVAL).await;
        intervals += 1;
        let is_report_due = update_quotas(&front);
        let lists_hosts = intervals >= HOST_LIST_INTERVALS * front.peers.borrow().size_factor();
        if front.hints.borrow().is_empty() && !is_report_due && !lists_hosts {
            continue;
        }
        let mut hint = build_hint(&front, &own);
        if lists_hosts {
            intervals = 0;
            hint.hosts = sample_hosts(&front);
            update_quota_hosts(&front, &own);
        }
        round += 1;
        for target in hint_targets(&front, &own, round) {
            hint.pass_on = target.is_forwarder;
            send_hint(&front, &socket, &hint, target.address);
        }
    }
}

/// Keeps the quotas' time. Returns whether other hosts should be told of grants.
fn update_quotas(front: &Front) -> bool {
    let now = BootInstant::now();
    let mut quotas = front.quotas.borrow_mut();
    if quotas.tick(now) {
        let hosts = quotas.hosts();
        slog::info!(front.log, "share of quotas";
            "heard" => hosts.heard(), "known" => hosts.known());
    }
    let returned = quotas.take_returned();
    if returned > 0 {
        front.metrics.record_quota("returned", returned);
    }
    quotas.is_datagram_due(now)
}

/// Makes the known hosts those that share the quotas.
fn update_quota_hosts(front: &Front, own: &GroupMember) {
    let peers = front.peers.borrow();
    let others = peers.addresses().filter(|&address| address != own.address);
    let mut quotas = front.quotas.borrow_mut();
    quotas.set_members(others, BootInstant::now());
}

/// Builds a hint from the updates that are waiting to be sent.
fn build_hint(front: &Front, own: &GroupMember) -> FrontHint {
    let work = front.hints.borrow_mut().take_changed_engines();
    let (placed, weights) = front.hints.borrow_mut().take_batch(MAX_PREFIXES_PER_HINT);
    FrontHint {
        sender: encode_host(own),
        pass_on: false,
        operator_next: operator_next(front).to_frame(),
        placed,
        weights,
        work: engine_work(front, work),
        hosts: Vec::new(),
        process: front.process,
        usage: {
            let mut quotas = front.quotas.borrow_mut();
            quotas.take_reports(MAX_ACCOUNTS_PER_HINT, BootInstant::now())
        },
        limits: front.hints.borrow_mut().take_limits(MAX_LIMITS_PER_HINT),
    }
}

/// Sends a hint in one datagram; lost hints are not sent again.
fn send_hint(front: &Front, socket: &UdpSocket, hint: &FrontHint, peer: SocketAddr) {
    let datagram = match frame::encode(hint) {
        Ok(datagram) => datagram,
        Err(error) => {
            slog::error!(front.log, "failed to encode hint"; "error" => %error);
            return;
        }
    };
    if let Err(error) = socket.try_send_to(&datagram, peer) {
        slog::debug!(front.log, "failed to send hint"; "peer" => %peer, "error" => %error);
    }
}

/// Hosts that receive the next hint: those of the group, or the seeds while no host is known.
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

/// Number of prompt tokens that the given engines still have to prefill for this host.
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

/// Picks some hosts of the group to list in a hint, for peers that may not know them.
fn sample_hosts(front: &Front) -> Vec<FrontHost> {
    let now = BootInstant::now();
    let peers = front.peers.borrow();
    let known: Vec<&GroupMember> = peers.confirmed_members(now).collect();
    let start = now.since(BootInstant::ZERO).as_millis() as usize;
    let sample = (0..HOSTS_PER_HINT.min(known.len())).map(|i| known[(start + i) % known.len()]);
    sample.map(encode_host).collect()
}

/// Converts a host to its form in frames.
fn encode_host(member: &GroupMember) -> FrontHost {
    FrontHost {
        host: member.host.clone(),
        domain: member.domain.clone(),
        address: member.address.to_string().into(),
    }
}

/// Converts a host from its form in frames; `None` if the address is invalid.
fn decode_host(host: &FrontHost) -> Option<GroupMember> {
    Some(GroupMember {
        host: host.host.clone(),
        domain: host.domain.clone(),
        address: host.address.parse().ok()?,
    })
}

/// Receives hints from other hosts and applies them.
pub async fn receive_hints<C: WireCodec>(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                slog::debug!(front.log, "failed to receive datagram"; "error" => %error);
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
                "error" => "the sender's address is invalid");
            continue;
        };
        if mem::take(&mut hint.pass_on) {
            pass_on(&front, &socket, &hint, &sender);
        }
        apply_hint::<C>(&front, hint, &sender);
    }
}

/// Forwards a hint from another failure domain to the other hosts of this domain.
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

/// Applies the updates in a hint.
fn apply_hint<C: WireCodec>(front: &Rc<Front>, hint: FrontHint, sender: &GroupMember) {
    let now = BootInstant::now();
    record_peers(front, &hint, sender);
    let mut quotas = front.quotas.borrow_mut();
    quotas.record_contact(sender.address, hint.process, &hint.usage, now);
    drop(quotas);
    let mut homes = front.homes.borrow_mut();
    for placed in &hint.placed {
        homes.record_hint(placed.prefix, placed.endpoint, placed.is_read, now);
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
            let (model, version) = (&seen.model, seen.version);
            if seen.is_loading {
                engine_loads::note_load(front, endpoint, model, version, now);
            } else if version >= endpoint.weights(model) {
                engine_loads::record_weights(front, endpoint, model, version, LoadEvidence::Hint);
            }
        }
    }
    for news in &hint.limits {
        if let Some(endpoint) = endpoints.get_by_key(news.endpoint) {
            limit_news::apply_hint(front, endpoint, news, now);
        }
    }
    let head = StreamPosition::from_frame(hint.operator_next);
    if head > operator_next(front) {
        if let Ok(permit) = front.peer_fetch_permits.clone().try_acquire_owned() {
            let fetch_task = fetch_if_behind::<C>(front.clone(), head, sender.address, permit);
            task::spawn_local(fetch_task);
        }
    }
}

/// Records the sender of a hint and the hosts that it lists.
fn record_peers(front: &Front, hint: &FrontHint, sender: &GroupMember) {
    let now = BootInstant::now();
    let mut peers = front.peers.borrow_mut();
    let own_domain = &front.settings.domain;
    // The hosts of a domain that is cut off still hear each other.
    if sender.domain != *own_domain || peers.members().all(|peer| peer.domain == *own_domain) {
        front.pauses.record_contact(now);
    }
    if peers.record_contact(sender, now) {
        slog::info!(front.log, "new host discovered"; "host" => &*sender.host,
            "address" => %sender.address);
    }
    for other in hint.hosts.iter().filter_map(decode_host) {
        peers.add_gossiped(other, now);
    }
}

/// Fetches operator records from a peer if the store has not delivered them in time.
///
/// Only one fetch runs at a time: while this host is behind, every hint indicates it, and a fetch
/// for each would saturate the host's link.
async fn fetch_if_behind<C: WireCodec>(
    front: Rc<Front>,
    head: StreamPosition,
    peer: SocketAddr,
    _permit: OwnedSemaphorePermit,
) {
    time::sleep(STORE_READ_DELAY).await;
    // A large answer of the store that is arriving would only share the link with that of the peer.
    while operator_next(&front) < head && front.operator_read.is_arriving(BootInstant::now()) {
        time::sleep(STORE_READ_DELAY).await;
    }
    if operator_next(&front) < head {
        peer_records::fetch_records_from::<C>(&front, ControlStream::Operator, peer).await;
    }
}

/// Position up to which this host has read the operator's stream.
fn operator_next(front: &Front) -> StreamPosition {
    front.mirror.borrow().next(ControlStream::Operator)
}

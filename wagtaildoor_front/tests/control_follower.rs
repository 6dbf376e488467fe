//! Applying stream records from the store's snapshots, its changes and other hosts.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    task,
    time, //
};
use wagtaildoor::{
    boot_clock::BootInstant,
    frame,
    schema::{
        FrontHint,
        FrontHost, //
    },
};
use wagtaildoor_front::{
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStream, //
    },
    front::Front,
    peer_link,
    record_updates::{
        self,
        PageSource, //
    },
    stream_position::StreamPosition,
};

#[path = "support/test_host.rs"]
mod test_host;

use test_host::{
    new_host,
    TextCodec,
    AGE_AT_START, //
};

/// Creates a record that holds a number; `None` deletes the key.
fn record(offset: u64, key: &str, number: Option<u64>) -> ControlRecord {
    ControlRecord {
        position: StreamPosition::new(0, offset),
        key: key.into(),
        value: number.map(|number| Bytes::from(number.to_string())),
    }
}

/// Applies a page of records to a host.
fn apply(front: &Front, stream: ControlStream, records: Vec<ControlRecord>, source: PageSource) {
    let last = records.iter().map(|record| record.position).max();
    let next = last.map_or_else(StreamPosition::default, |last| {
        StreamPosition::new(last.era, last.offset + 1)
    });
    let page = ControlPage {
        records,
        next,
        has_more: false,
    };
    record_updates::apply_page::<TextCodec>(front, stream, &page, source, None);
}

#[test]
fn a_host_is_ready_once_it_has_a_configuration_and_the_endpoint_list() {
    let front = new_host();
    assert!(!front.is_ready());
    let config = vec![record(0, "config", Some(3))];
    apply(
        &front,
        ControlStream::Operator,
        config,
        PageSource::Snapshot,
    );
    assert!(!front.is_ready());
    apply(
        &front,
        ControlStream::Endpoints,
        Vec::new(),
        PageSource::Peer,
    );
    assert!(front.is_ready());
    front.begin_shutdown(BootInstant::now());
    assert!(!front.is_ready());
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let front = new_host();
    let version = || front.routes().expect("a configuration").version();
    let newer = vec![record(9, "config", Some(7))];
    apply(&front, ControlStream::Operator, newer, PageSource::Changes);
    for (offset, number) in [(5, 5), (10, 6)] {
        let stale = vec![record(offset, "config", Some(number))];
        apply(&front, ControlStream::Operator, stale, PageSource::Peer);
        assert_eq!(version(), 7);
    }
}

#[test]
fn weights_read_at_startup_are_backdated_and_later_ones_are_not() {
    let front = new_host();
    let age = || front.wanted_weights("m").expect("wanted").since.elapsed();
    let found = vec![record(1, "weights", Some(2))];
    apply(&front, ControlStream::Operator, found, PageSource::Snapshot);
    assert!(age() >= AGE_AT_START);
    let named = vec![record(2, "weights", Some(3))];
    apply(&front, ControlStream::Operator, named, PageSource::Changes);
    assert!(age() < Duration::from_secs(1));
    let again = vec![record(3, "weights", Some(2))];
    apply(&front, ControlStream::Operator, again, PageSource::Changes);
    assert_eq!(front.wanted_weights("m").expect("wanted").version, 3);
}

/// Guards against VERSION: a host that starts takes an old copy of the stream from a peer that had
/// stood still, reads newer weights in its first own read, and takes them for just named.
#[test]
fn weights_missing_from_a_peers_copy_are_as_old_as_the_start() {
    let front = new_host();
    let age = || front.wanted_weights("m").expect("wanted").since.elapsed();
    let copied = vec![record(1, "weights", Some(2))];
    apply(&front, ControlStream::Operator, copied, PageSource::Peer);
    let missed = vec![record(2, "weights", Some(3))];
    apply(&front, ControlStream::Operator, missed, PageSource::Changes);
    assert!(age() >= AGE_AT_START);
    let named = vec![record(3, "weights", Some(4))];
    apply(&front, ControlStream::Operator, named, PageSource::Peer);
    assert!(
        age() < Duration::from_secs(1),
        "the host had read up to the end"
    );
}

#[test]
fn a_snapshot_does_not_remove_endpoints_with_newer_records() {
    let front = new_host();
    let listed = || front.endpoints.borrow().len();
    let stream = ControlStream::Endpoints;
    let first = vec![record(1, "a", Some(1)), record(2, "b", Some(1))];
    apply(&front, stream, first, PageSource::Snapshot);
    apply(
        &front,
        stream,
        vec![record(8, "c", Some(1))],
        PageSource::Changes,
    );
    assert_eq!(listed(), 3);
    let older = ControlPage {
        records: vec![record(1, "a", Some(1))],
        next: StreamPosition::new(0, 5),
        has_more: false,
    };
    record_updates::apply_page::<TextCodec>(&front, stream, &older, PageSource::Snapshot, None);
    let endpoints = front.endpoints.borrow();
    assert!(
        endpoints.get("b").is_none(),
        "the snapshot does not contain it"
    );
    assert!(
        endpoints.get("c").is_some(),
        "its record is newer than the snapshot"
    );
}

#[test]
fn an_older_record_does_not_restore_a_deleted_endpoint() {
    let front = new_host();
    let stream = ControlStream::Endpoints;
    apply(
        &front,
        stream,
        vec![record(1, "a", Some(1))],
        PageSource::Changes,
    );
    apply(
        &front,
        stream,
        vec![record(4, "a", None)],
        PageSource::Changes,
    );
    apply(
        &front,
        stream,
        vec![record(3, "a", Some(2))],
        PageSource::Peer,
    );
    assert!(front.endpoints.borrow().is_empty());
}

/// Guards against endpoints that a host has learned from others, and drops since the copy of a restored
/// store lacks them.
#[test]
fn a_snapshot_of_a_new_era_removes_no_endpoints_at_once() {
    let front = new_host();
    let stream = ControlStream::Endpoints;
    let known = vec![record(1, "a", Some(1)), record(2, "b", Some(1))];
    apply(&front, stream, known, PageSource::Peer);
    front.enter_era(2);
    let mut copied = record(1, "a", Some(1));
    copied.position.era = 2;
    apply(&front, stream, vec![copied], PageSource::Snapshot);
    assert_eq!(front.endpoints.borrow().len(), 2);
    let after_grace = BootInstant::now() + Duration::from_secs(3);
    let expired = front.endpoints.borrow_mut().expire_missing(after_grace);
    assert_eq!(expired, ["b".into()]);
}

#[test]
fn a_host_that_is_behind_sends_one_peer_request_at_a_time() {
    // A host that is cut off from the store and has a slow link receives a thousand hints a second
    // from hosts that are ahead. A request for each hint would saturate its link.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let requests = local.block_on(&runtime, count_peer_requests(300, false));
    assert!(
        (1..=4).contains(&requests),
        "{requests} requests within a second"
    );
}

/// Guards against CONFIG: a host asks others for a large version that the store is sending to it, and both
/// answers share its link.
#[test]
fn a_host_whose_own_answer_is_arriving_asks_no_other_host() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let requests = local.block_on(&runtime, count_peer_requests(30, true));
    assert_eq!(requests, 0);
}

/// Sends hints of a newer stream offset to a host over half a second, and counts the requests for
/// records that the sender receives within a second. The sender responds to none of them. With
/// `is_arriving`, data of the store's own answer comes all the while.
async fn count_peer_requests(hints: u64, is_arriving: bool) -> usize {
    let front = new_host();
    if is_arriving {
        let front = front.clone();
        task::spawn_local(async move {
            loop {
                front.operator_read.record_data(BootInstant::now());
                time::sleep(Duration::from_millis(50)).await;
            }
        });
    }
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let peer = TcpListener::bind(any).await.expect("a port");
    let own = Rc::new(UdpSocket::bind(any).await.expect("a port"));
    let own_address = own.local_addr().expect("an address");
    task::spawn_local(peer_link::receive_hints::<TextCodec>(front.clone(), own));
    let hint = FrontHint {
        sender: FrontHost {
            host: "peer".into(),
            domain: "a".into(),
            address: peer.local_addr().expect("an address").to_string().into(),
        },
        pass_on: false,
        operator_next: 9,
        placed: Vec::new(),
        weights: Vec::new(),
        work: Vec::new(),
        hosts: Vec::new(),
        process: 1,
        usage: Vec::new(),
        limits: Vec::new(),
    };
    let datagram = frame::encode(&hint).expect("a frame");
    task::spawn_local(async move {
        let sender = UdpSocket::bind(any).await.expect("a port");
        for _ in 0..hints {
            sender.send_to(&datagram, own_address).await.expect("sent");
            time::sleep(Duration::from_millis(500) / hints as u32).await;
        }
    });
    let end = time::Instant::now() + Duration::from_secs(1);
    let mut requests = Vec::new();
    while let Ok(accepted) = time::timeout_at(end, peer.accept()).await {
        requests.push(accepted.expect("a connection"));
    }
    requests.len()
}

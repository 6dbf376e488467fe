//! Applying stream records from the store's snapshots, its changes and other hosts.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};
use slog::Logger;
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
    ids::EndpointId,
    schema::{
        FrontHint,
        FrontHost, //
    },
};
use wagtaildoor_front::{
    control_follower::{
        self,
        PageSource, //
    },
    control_store::{
        ControlPage,
        ControlRecord,
        ControlStream, //
        ControlUpdate,
    },
    endpoint::{
        EndpointRecord,
        EndpointState, //
    },
    engine_placement::EnginePolicy,
    front::Front,
    front_metrics::FrontMetrics,
    front_settings::{
        FrontSettings,
        FrontTimes,
        RolloutPolicy, //
    },
    peer_link,
    plain_placement::PlainPolicy,
    retry_allowance::RetryLimit,
    service_config::{
        CallerLimits,
        ServiceConfig, //
    },
    wire_codec::{
        AnswerHead,
        CallerHead,
        DispatchHead,
        EndpointCall,
        EndpointIdentity,
        EngineReport,
        OrderVerdict,
        WeightsOrder,
        WireCodec, //
    },
};

/// Assumed age of weights that are read at startup.
const AGE_AT_START: Duration = Duration::from_millis(2_600);

/// A codec whose records hold one number: the version of the configuration or the weights, or the
/// revision of an endpoint.
struct TextCodec;

impl WireCodec for TextCodec {
    const READY_PATH: &'static str = "/ready";

    fn parse_caller_head(_: &HeaderMap) -> CallerHead {
        CallerHead::default()
    }

    fn strip_caller_headers(_: &mut HeaderMap) {}

    fn write_dispatch(_: &mut HeaderMap, _: &DispatchHead<'_>) {}

    fn parse_answer_head(_: StatusCode, _: &HeaderMap) -> AnswerHead {
        AnswerHead::default()
    }

    fn parse_event_weights(_: &[u8]) -> Option<u64> {
        None
    }

    fn parse_control_record(_: ControlStream, record: &ControlRecord) -> ControlUpdate {
        let Some(value) = &record.value else {
            return ControlUpdate::EndpointGone {
                id: record.key.clone(),
                fault: None,
            };
        };
        let text = std::str::from_utf8(value).expect("text");
        let number = text.parse().expect("a number");
        match &*record.key {
            "config" => ControlUpdate::Config(Box::new(ServiceConfig {
                version: number,
                routes: Vec::new(),
                services: Vec::new(),
                accounts: None,
                limits: CallerLimits::default(),
            })),
            "weights" => ControlUpdate::WantedWeights {
                model: "m".into(),
                version: number,
            },
            id => ControlUpdate::Endpoint(EndpointRecord {
                id: id.into(),
                service: "s".into(),
                address: "10.0.0.1:80".parse().expect("an address"),
                domain: "a".into(),
                state: EndpointState::Ready,
                slots: 8,
                warm_up: Duration::ZERO,
                weights: Vec::new(),
                started_ms: 1,
                revision: number,
            }),
        }
    }

    fn build_order_call(_: &EndpointId, _: &WeightsOrder<'_>) -> EndpointCall {
        unreachable!("the test sends no orders")
    }

    fn parse_order_verdict(_: StatusCode) -> OrderVerdict {
        OrderVerdict::Refused
    }

    fn build_report_call(_: &EndpointId) -> EndpointCall {
        unreachable!("the test requests no reports")
    }

    fn build_health_call(_: &EndpointId, _: &str) -> EndpointCall {
        unreachable!("the test checks no health")
    }

    fn parse_identity(_: &HeaderMap, _: &[u8]) -> EndpointIdentity {
        EndpointIdentity::default()
    }

    fn parse_report(_: &[u8]) -> Option<EngineReport> {
        None
    }
}

/// Creates a host that has read no records.
fn new_host() -> Rc<Front> {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let settings = FrontSettings {
        host: "host".into(),
        domain: "a".into(),
        callers: any,
        readiness: any,
        peers: any,
        metrics: any,
        seeds: Vec::new(),
        times: FrontTimes {
            grace: Duration::from_secs(8),
            list_poll_interval: Duration::from_millis(840),
            operator_poll_timeout: Duration::from_secs(12),
            initial_weights_age: AGE_AT_START,
            default_deadline: Duration::from_secs(30),
        },
        retries: RetryLimit {
            ratio: 0.2,
            slack: 56.0,
            window: Duration::from_secs(10),
        },
        engines: EnginePolicy {
            prefill_tokens_per_ms: 90.0,
            pair_tokens_per_million: 20.0,
            queued_request_tokens: 2_000.0,
            running_ms: 0.7,
            over_slots_ms: 40.0,
            fetch_ms_per_1000: 2.0,
            new_copy_ms: 10.0,
            copy_own_share: 1.0,
            away_from_home_ms: 40.0,
            other_domain_ms: 15.0,
            failure_ms: 600.0,
            full_ms: 500.0,
            next_load_ms: 120.0,
            old_weights_free: Duration::from_millis(1_200),
            old_weights_ms: 150.0,
            old_weights_limit: Duration::from_millis(5_100),
        },
        plain: PlainPolicy {
            work_ms: 30.0,
            other_domain_ms: 4.0,
            failure_ms: 600.0,
            full_ms: 500.0,
        },
        rollout: RolloutPolicy {
            max_loading_share: 0.17,
            load_time: Duration::from_millis(300),
            confirm_timeout: Duration::from_millis(2_600),
            lease_expiry: Duration::from_millis(3_000),
            lease_validity: Duration::from_millis(1_200),
            lease_renewal_interval: Duration::from_millis(500),
            handover: Duration::from_millis(3_000),
        },
    };
    let metrics = FrontMetrics::new("test").expect("instruments");
    Front::new(settings, Logger::root(slog::Discard, slog::o!()), metrics)
}

/// Creates a record that holds a number; `None` deletes the key.
fn record(offset: u64, key: &str, number: Option<u64>) -> ControlRecord {
    ControlRecord {
        offset,
        key: key.into(),
        value: number.map(|number| Bytes::from(number.to_string())),
    }
}

/// Applies a page of records to a host.
fn apply(front: &Front, stream: ControlStream, records: Vec<ControlRecord>, source: PageSource) {
    let next = records
        .iter()
        .map(|record| record.offset + 1)
        .max()
        .unwrap_or(0);
    let page = ControlPage {
        records,
        next,
        has_more: false,
    };
    control_follower::apply_page::<TextCodec>(front, stream, &page, source, false);
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
        next: 5,
        has_more: false,
    };
    control_follower::apply_page::<TextCodec>(&front, stream, &older, PageSource::Snapshot, false);
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

#[test]
fn a_host_that_is_behind_sends_one_peer_request_at_a_time() {
    // A host that is cut off from the store and has a slow link receives a thousand hints a second
    // from hosts that are ahead. A request for each hint would saturate its link.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let requests = local.block_on(&runtime, count_peer_requests(300));
    assert!(
        (1..=4).contains(&requests),
        "{requests} requests within a second"
    );
}

/// Sends hints of a newer stream offset to a host over half a second, and counts the requests for
/// records that the sender receives within a second. The sender responds to none of them.
async fn count_peer_requests(hints: u64) -> usize {
    let front = new_host();
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

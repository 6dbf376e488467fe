//! View publisher: snapshots, changes, slow entries, calls, invalid entries.

use std::time::Duration;

use tokio::{
    io::DuplexStream,
    sync::watch,
    time, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    frame::{
        FrameReader,
        FrameWriter, //
    },
    schema::{
        CacheEventKind,
        ClaimCall,
        ClaimRecord,
        ClaimRelease,
        ClaimStart,
        ClaimVerdict,
        ClockStamp,
        ConfigHead,
        Configuration,
        EndpointNews,
        EndpointState,
        EndpointView,
        EntryFrame,
        EntryHello,
        HostView,
        KeeperFrame,
        KeeperView,
        PrefixNews,
        RecordCall, //
    },
    view_publisher::{
        EntryCallHandler,
        ViewPublisher, //
    },
};

/// Handles calls; claims with a timeout block while the gate is closed.
#[derive(Clone)]
struct GatedHandler {
    /// Whether the gate is open.
    gate: watch::Receiver<bool>,
    /// Number of completed claims.
    ended: watch::Sender<u32>,
}

impl EntryCallHandler for GatedHandler {
    async fn claim(&self, call: ClaimCall) -> ClaimVerdict {
        let mut gate = self.gate.clone();
        if call.wait_ms > 0 {
            let _ = gate.wait_for(|open| *open).await;
        }
        self.ended.send_modify(|ended| *ended += 1);
        ClaimVerdict::Won(call.call)
    }

    async fn record(&self, _call: RecordCall) -> bool {
        true
    }

    async fn apply_endpoint_status(&self, _status: EndpointNews) {}
}

/// Returns a handler whose gate is open.
fn open_handler() -> GatedHandler {
    GatedHandler {
        gate: watch::Sender::new(true).subscribe(),
        ended: watch::Sender::new(0),
    }
}

fn head(sequence: u64) -> ConfigHead {
    ConfigHead {
        hash: format!("hash-{sequence}").into(),
        offset: sequence,
        sequence,
    }
}

fn endpoint(id: &str, queued: u32) -> EndpointView {
    EndpointView {
        address: "127.0.0.1:9".parse().expect("an address"),
        boot_id: "boot-1".into(),
        domain: "savannah".into(),
        id: id.into(),
        pool: "assistant".into(),
        queued,
        report_age_ms: 0,
        running: 0,
        state: EndpointState::Live,
        weights_version: 1,
    }
}

fn host(id: &str, sequence: u64) -> HostView {
    HostView {
        alive: true,
        domain: "savannah".into(),
        entries: "127.0.0.1:9".parse().expect("an address"),
        head: head(sequence),
        id: id.into(),
        operators: "127.0.0.1:9".parse().expect("an address"),
    }
}

fn view(sequence: u64, endpoints: Vec<EndpointView>) -> KeeperView {
    KeeperView {
        configuration: Configuration {
            accounts: vec![],
            pools: vec![],
            templates: vec![],
            texts: vec![],
        },
        endpoints,
        head: head(sequence),
        hosts: vec![host("h1", sequence)],
        platform_age_ms: 7,
    }
}

fn claim(call: u64, wait_ms: u64) -> EntryFrame {
    EntryFrame::Claim(ClaimCall {
        call,
        start: ClaimStart {
            account: "a".into(),
            attempt: "t".into(),
            body_hash: "b".into(),
            host: "h".into(),
            key: "k".into(),
            request: "r".into(),
            template: "p".into(),
        },
        wait_ms,
    })
}

/// The entry side of a connection.
struct EntryClient {
    reader: FrameReader<tokio::io::ReadHalf<DuplexStream>>,
    writer: FrameWriter<tokio::io::WriteHalf<DuplexStream>>,
}

impl EntryClient {
    async fn connect(publisher: &ViewPublisher, handler: GatedHandler, buffer: usize) -> Self {
        let (client_stream, server_stream) = tokio::io::duplex(buffer);
        let publisher = publisher.clone();
        tokio::spawn(async move { publisher.serve(server_stream, handler).await });
        let (reads, writes) = tokio::io::split(client_stream);
        let mut client = Self {
            reader: FrameReader::new(reads),
            writer: FrameWriter::new(writes),
        };
        let stamp = ClockStamp {
            counter: 0,
            wall_ms: 0,
        };
        let hello = EntryHello {
            host: "h1".into(),
            stamp,
        };
        client.send(EntryFrame::Hello(hello)).await;
        client
    }

    async fn send(&mut self, frame: EntryFrame) {
        self.writer.send(&frame).await.expect("a written frame");
    }

    /// Returns the next frame other than platform ages, with report ages set to 0.
    async fn next(&mut self) -> KeeperFrame {
        loop {
            let frame = self.reader.next().await.expect("a frame");
            match frame.expect("a frame") {
                KeeperFrame::PlatformAgeMs(_) => {}
                KeeperFrame::Endpoints(mut endpoints) => {
                    endpoints.iter_mut().for_each(|end| end.report_age_ms = 0);
                    return KeeperFrame::Endpoints(endpoints);
                }
                other => return other,
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_entry_receives_a_snapshot_and_then_only_changes() {
    let publisher = ViewPublisher::new(CancellationToken::new());
    publisher.publish(view(1, vec![endpoint("e1", 0), endpoint("e2", 0)]));
    let mut entry = EntryClient::connect(&publisher, open_handler(), 1 << 16).await;
    let KeeperFrame::View(first) = entry.next().await else {
        panic!("the first frame is not a view");
    };
    assert_eq!(first.endpoints.len(), 2);
    // Unchanged endpoints are not sent again.
    publisher.publish(view(1, vec![endpoint("e1", 0), endpoint("e2", 5)]));
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Endpoints(vec![endpoint("e2", 5)]));
    publisher.publish_endpoints(vec![endpoint("e3", 1), endpoint("e1", 0)]);
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Endpoints(vec![endpoint("e3", 1)]));
    // A change of hosts alone does not send the configuration again.
    let mut changed = view(
        1,
        vec![endpoint("e1", 0), endpoint("e2", 5), endpoint("e3", 1)],
    );
    changed.hosts.push(host("h2", 1));
    publisher.publish(changed.clone());
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Hosts(vec![host("h2", 1)]));
    publisher.publish_hosts(vec![host("h1", 2), host("h2", 1)]);
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Hosts(vec![host("h1", 2)]));
    changed.hosts = vec![host("h1", 2)];
    publisher.publish_hosts(changed.hosts.clone());
    let KeeperFrame::View(shrunk) = entry.next().await else {
        panic!("no view after a host was removed");
    };
    assert_eq!(shrunk.hosts, changed.hosts);
    // A removed endpoint or a new head requires the full view.
    changed.endpoints.truncate(2);
    publisher.publish(changed.clone());
    let KeeperFrame::View(second) = entry.next().await else {
        panic!("no view after an endpoint was removed");
    };
    assert_eq!(second.endpoints.len(), 2);
    changed.head = head(2);
    publisher.publish(changed);
    let KeeperFrame::View(third) = entry.next().await else {
        panic!("no view after a new head");
    };
    assert_eq!(third.head.sequence, 2);
}

#[tokio::test(start_paused = true)]
async fn a_slow_entry_receives_the_current_state_without_a_backlog() {
    let publisher = ViewPublisher::new(CancellationToken::new());
    publisher.publish(view(1, vec![endpoint("e1", 0)]));
    let mut entry = EntryClient::connect(&publisher, open_handler(), 64).await;
    assert!(matches!(entry.next().await, KeeperFrame::View(_)));
    for queued in 1..=10_000 {
        publisher.publish_endpoints(vec![endpoint("e1", queued)]);
        tokio::task::yield_now().await;
    }
    let mut frames = 0;
    loop {
        frames += 1;
        let KeeperFrame::Endpoints(endpoints) = entry.next().await else {
            panic!("unexpected frame instead of endpoints");
        };
        if endpoints[0].queued == 10_000 {
            break;
        }
    }
    assert!(frames <= 4, "{frames} frames for a slow entry");
}

#[tokio::test(start_paused = true)]
async fn the_platform_age_advances_between_views() {
    let publisher = ViewPublisher::new(CancellationToken::new());
    publisher.publish(view(1, vec![]));
    let mut entry = EntryClient::connect(&publisher, open_handler(), 1 << 16).await;
    let mut ages = Vec::new();
    while ages.len() < 3 {
        let frame = entry.reader.next().await.expect("a frame");
        if let Some(KeeperFrame::PlatformAgeMs(age)) = frame {
            ages.push(age);
        }
    }
    assert_eq!(ages, [7, 1007, 2007]);
}

#[tokio::test(start_paused = true)]
async fn a_refreshed_report_age_is_sent_after_it_drifts() {
    let publisher = ViewPublisher::new(CancellationToken::new());
    publisher.publish(view(1, vec![endpoint("e1", 0)]));
    let mut entry = EntryClient::connect(&publisher, open_handler(), 1 << 16).await;
    assert!(matches!(entry.next().await, KeeperFrame::View(_)));
    let mut updates = 0;
    for _ in 0..10 {
        time::sleep(Duration::from_millis(900)).await;
        publisher.publish(view(1, vec![endpoint("e1", 0)]));
    }
    publisher.publish(view(2, vec![endpoint("e1", 0)]));
    while let KeeperFrame::Endpoints(_) = entry.next().await {
        updates += 1;
    }
    // Nine seconds pass, and a report age is sent again after drifting by more than two.
    assert_eq!(updates, 3);
}

#[tokio::test(start_paused = true)]
async fn claims_run_concurrently_and_complete_after_a_disconnect() {
    let publisher = ViewPublisher::new(CancellationToken::new());
    let gate = watch::Sender::new(false);
    let handler = GatedHandler {
        gate: gate.subscribe(),
        ended: watch::Sender::new(0),
    };
    let mut ended = handler.ended.subscribe();
    let mut entry = EntryClient::connect(&publisher, handler, 1 << 16).await;
    entry.send(claim(1, 1000)).await;
    entry.send(claim(2, 0)).await;
    // The first claim does not block the second.
    let KeeperFrame::ClaimReply(reply) = entry.next().await else {
        panic!("no reply");
    };
    assert_eq!(reply.call, 2);
    assert_eq!(reply.verdict, ClaimVerdict::Won(2));
    let record = ClaimRecord::Release(ClaimRelease {
        account: "a".into(),
        attempt: "t".into(),
        key: "k".into(),
    });
    let call = RecordCall {
        call: 3,
        record,
        wait_ms: 0,
    };
    entry.send(EntryFrame::Record(call)).await;
    assert!(matches!(entry.next().await, KeeperFrame::RecordReply(reply) if reply.recorded));
    drop(entry);
    gate.send_replace(true);
    ended
        .wait_for(|ended| *ended == 2)
        .await
        .expect("both ended");
}

#[tokio::test(start_paused = true)]
async fn dropped_cache_events_are_marked_as_a_gap() {
    let publisher = ViewPublisher::new(CancellationToken::new());
    publisher.publish(view(1, vec![]));
    let mut entry = EntryClient::connect(&publisher, open_handler(), 64).await;
    assert!(matches!(entry.next().await, KeeperFrame::View(_)));
    let cache_event = |block| PrefixNews {
        blocks: vec![block],
        boot_id: "boot-1".into(),
        endpoint: "e1".into(),
        gap: false,
        kind: CacheEventKind::Stored,
    };
    for block in 0..5_000 {
        publisher.publish_cache_event(cache_event(block));
    }
    let mut last = None;
    let mut gaps = 0;
    while last != Some(4_999) {
        let KeeperFrame::PrefixNews(event) = entry.next().await else {
            panic!("unexpected frame instead of a cache event");
        };
        let has_skipped = event.blocks[0] != last.map_or(0, |last| last + 1);
        assert!(
            !has_skipped || event.gap,
            "skipped events without a gap mark"
        );
        gaps += u32::from(event.gap);
        last = Some(event.blocks[0]);
    }
    assert_eq!(gaps, 1);
}

#[tokio::test(start_paused = true)]
async fn malformed_and_silent_entries_are_disconnected() {
    let cases: [(&str, &[u8]); 3] = [
        ("unknown version", &[0, 0, 0, 2, 9, 9]),
        ("garbage", &[0, 0, 0, 3, 1, 255, 255]),
        ("nothing", &[]),
    ];
    for (name, bytes) in cases {
        let publisher = ViewPublisher::new(CancellationToken::new());
        let (mut client_stream, server_stream) = tokio::io::duplex(1 << 16);
        let serving =
            tokio::spawn(async move { publisher.serve(server_stream, open_handler()).await });
        tokio::io::AsyncWriteExt::write_all(&mut client_stream, bytes)
            .await
            .expect("written");
        let limit = Duration::from_secs(60);
        let ended = tokio::time::timeout(limit, serving).await;
        assert!(ended.is_ok(), "{name}: still served");
    }
}

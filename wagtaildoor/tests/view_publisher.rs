//! Views on their way to entries: snapshot, changes, slow readers, calls.

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

/// Calls that wait for a gate and count how many ended.
#[derive(Clone)]
struct GatedCalls {
    /// Claims wait until it is true.
    gate: watch::Receiver<bool>,
    /// Claims that ran to their end.
    ended: watch::Sender<u32>,
}

impl EntryCallHandler for GatedCalls {
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

    async fn apply_endpoint_news(&self, _news: EndpointNews) {}
}

/// Calls whose gate is open.
fn open_calls() -> GatedCalls {
    GatedCalls {
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

/// An entry's side of a connection.
struct EntryEnd {
    reader: FrameReader<tokio::io::ReadHalf<DuplexStream>>,
    writer: FrameWriter<tokio::io::WriteHalf<DuplexStream>>,
}

impl EntryEnd {
    async fn connect(board: &ViewPublisher, calls: GatedCalls, buffer: usize) -> Self {
        let (near, far) = tokio::io::duplex(buffer);
        let board = board.clone();
        tokio::spawn(async move { board.serve(far, calls).await });
        let (reads, writes) = tokio::io::split(near);
        let mut end = Self {
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
        end.send(EntryFrame::Hello(hello)).await;
        end
    }

    async fn send(&mut self, frame: EntryFrame) {
        self.writer.send(&frame).await.expect("a written frame");
    }

    /// The next frame other than the periodic age, with the ages of reports left out.
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
async fn an_entry_gets_a_snapshot_and_then_only_changes() {
    let board = ViewPublisher::new(CancellationToken::new());
    board.publish(view(1, vec![endpoint("e1", 0), endpoint("e2", 0)]));
    let mut entry = EntryEnd::connect(&board, open_calls(), 1 << 16).await;
    let KeeperFrame::View(first) = entry.next().await else {
        panic!("the first frame is no view");
    };
    assert_eq!(first.endpoints.len(), 2);
    // The same again is no news; only the endpoint that changed goes out.
    board.publish(view(1, vec![endpoint("e1", 0), endpoint("e2", 5)]));
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Endpoints(vec![endpoint("e2", 5)]));
    board.publish_endpoints(vec![endpoint("e3", 1), endpoint("e1", 0)]);
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Endpoints(vec![endpoint("e3", 1)]));
    // Hosts alone do not send the configuration again.
    let mut changed = view(
        1,
        vec![endpoint("e1", 0), endpoint("e2", 5), endpoint("e3", 1)],
    );
    changed.hosts.push(host("h2", 1));
    board.publish(changed.clone());
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Hosts(vec![host("h2", 1)]));
    board.publish_hosts(vec![host("h1", 2), host("h2", 1)]);
    let frame = entry.next().await;
    assert_eq!(frame, KeeperFrame::Hosts(vec![host("h1", 2)]));
    changed.hosts = vec![host("h1", 2)];
    board.publish_hosts(changed.hosts.clone());
    let KeeperFrame::View(shrunk) = entry.next().await else {
        panic!("no view after a host went");
    };
    assert_eq!(shrunk.hosts, changed.hosts);
    // A lost endpoint or a new head needs the whole view.
    changed.endpoints.truncate(2);
    board.publish(changed.clone());
    let KeeperFrame::View(second) = entry.next().await else {
        panic!("no view after an endpoint went");
    };
    assert_eq!(second.endpoints.len(), 2);
    changed.head = head(2);
    board.publish(changed);
    let KeeperFrame::View(third) = entry.next().await else {
        panic!("no view after a new head");
    };
    assert_eq!(third.head.sequence, 2);
}

#[tokio::test(start_paused = true)]
async fn a_slow_entry_gets_the_present_state_and_no_backlog() {
    let board = ViewPublisher::new(CancellationToken::new());
    board.publish(view(1, vec![endpoint("e1", 0)]));
    let mut entry = EntryEnd::connect(&board, open_calls(), 64).await;
    assert!(matches!(entry.next().await, KeeperFrame::View(_)));
    for queued in 1..=10_000 {
        board.publish_endpoints(vec![endpoint("e1", queued)]);
        tokio::task::yield_now().await;
    }
    let mut frames = 0;
    loop {
        frames += 1;
        let KeeperFrame::Endpoints(endpoints) = entry.next().await else {
            panic!("something else than endpoints");
        };
        if endpoints[0].queued == 10_000 {
            break;
        }
    }
    assert!(frames <= 4, "{frames} frames for a slow entry");
}

#[tokio::test(start_paused = true)]
async fn the_age_of_the_log_goes_on_between_views() {
    let board = ViewPublisher::new(CancellationToken::new());
    board.publish(view(1, vec![]));
    let mut entry = EntryEnd::connect(&board, open_calls(), 1 << 16).await;
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
async fn a_report_read_again_is_told_before_entries_take_it_for_old() {
    let board = ViewPublisher::new(CancellationToken::new());
    board.publish(view(1, vec![endpoint("e1", 0)]));
    let mut entry = EntryEnd::connect(&board, open_calls(), 1 << 16).await;
    assert!(matches!(entry.next().await, KeeperFrame::View(_)));
    let mut told = 0;
    for _ in 0..10 {
        time::sleep(Duration::from_millis(900)).await;
        board.publish(view(1, vec![endpoint("e1", 0)]));
    }
    board.publish(view(2, vec![endpoint("e1", 0)]));
    while let KeeperFrame::Endpoints(_) = entry.next().await {
        told += 1;
    }
    // Nine seconds, and a report counts as drifted after more than two.
    assert_eq!(told, 3);
}

#[tokio::test(start_paused = true)]
async fn claims_run_side_by_side_and_end_without_their_entry() {
    let board = ViewPublisher::new(CancellationToken::new());
    let gate = watch::Sender::new(false);
    let calls = GatedCalls {
        gate: gate.subscribe(),
        ended: watch::Sender::new(0),
    };
    let mut ended = calls.ended.subscribe();
    let mut entry = EntryEnd::connect(&board, calls, 1 << 16).await;
    entry.send(claim(1, 1000)).await;
    entry.send(claim(2, 0)).await;
    // The second is not held up by the first.
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
async fn dropped_cache_news_are_marked_as_a_gap() {
    let board = ViewPublisher::new(CancellationToken::new());
    board.publish(view(1, vec![]));
    let mut entry = EntryEnd::connect(&board, open_calls(), 64).await;
    assert!(matches!(entry.next().await, KeeperFrame::View(_)));
    let news = |block| PrefixNews {
        blocks: vec![block],
        boot_id: "boot-1".into(),
        endpoint: "e1".into(),
        gap: false,
        kind: CacheEventKind::Stored,
    };
    for block in 0..5_000 {
        board.publish_cache_event(news(block));
    }
    let mut last = None;
    let mut gaps = 0;
    while last != Some(4_999) {
        let KeeperFrame::PrefixNews(news) = entry.next().await else {
            panic!("something else than news");
        };
        let jumped = news.blocks[0] != last.map_or(0, |last| last + 1);
        assert!(!jumped || news.gap, "a jump without a gap mark");
        gaps += u32::from(news.gap);
        last = Some(news.blocks[0]);
    }
    assert_eq!(gaps, 1);
}

#[tokio::test(start_paused = true)]
async fn malformed_and_silent_entries_are_let_go() {
    let cases: [(&str, &[u8]); 3] = [
        ("unknown version", &[0, 0, 0, 2, 9, 9]),
        ("garbage", &[0, 0, 0, 3, 1, 255, 255]),
        ("nothing", &[]),
    ];
    for (name, bytes) in cases {
        let board = ViewPublisher::new(CancellationToken::new());
        let (mut near, far) = tokio::io::duplex(1 << 16);
        let serving = tokio::spawn(async move { board.serve(far, open_calls()).await });
        tokio::io::AsyncWriteExt::write_all(&mut near, bytes)
            .await
            .expect("written");
        let limit = Duration::from_secs(60);
        let ended = tokio::time::timeout(limit, serving).await;
        assert!(ended.is_ok(), "{name}: still served");
    }
}

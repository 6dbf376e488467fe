//! Clock exchange over a connection: the clock that is behind catches up with the other.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use slog::Logger;
use tokio::{
    net::TcpListener,
    task,
    time, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    clock_exchange, config_change,
    keeper_link::KeeperLink,
    schema::{
        ClaimCall,
        ClaimVerdict,
        ClockStamp,
        ConfigHead,
        EndpointNews,
        EntryHello,
        KeeperView,
        RecordCall, //
    },
    timeline::EventRecorder,
    view_publisher::{
        EntryCallHandler,
        ViewPublisher, //
    },
};

/// Timeout for every expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Offset between the two clocks, in milliseconds.
const CLOCK_OFFSET_MS: u64 = 600_000;

/// Handler of a keeper that serves only clock exchanges.
#[derive(Clone)]
struct ClockHandler(EventRecorder);

impl EntryCallHandler for ClockHandler {
    async fn claim(&self, _call: ClaimCall) -> ClaimVerdict {
        ClaimVerdict::Refused("not supported".into())
    }

    async fn record(&self, _call: RecordCall) -> bool {
        false
    }

    async fn apply_endpoint_status(&self, _status: EndpointNews) {}

    fn observe(&self, seen: ClockStamp) -> ClockStamp {
        self.0.clock().observe(seen)
    }
}

/// Returns a recorder that discards its log output.
fn recorder(host: &str) -> EventRecorder {
    let silent = Logger::root(slog::Discard, slog::o!());
    EventRecorder::new(host, "test", 10, silent)
}

/// Advances a clock by ten minutes and returns its stamp.
fn advance_clock(recorder: &EventRecorder) -> ClockStamp {
    let mut stamp = recorder.clock().now();
    stamp.wall_ms += CLOCK_OFFSET_MS;
    recorder.clock().observe(stamp)
}

/// Serves entries until the token is cancelled.
async fn serve(recorder: EventRecorder, token: CancellationToken) -> SocketAddr {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(address).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let publisher = ViewPublisher::new(token.clone());
    publisher.publish(KeeperView {
        configuration: config_change::empty(),
        endpoints: vec![],
        head: ConfigHead {
            hash: "hash".into(),
            offset: 1,
            sequence: 1,
        },
        hosts: vec![],
        platform_age_ms: 0,
    });
    tokio::spawn(token.run_until_cancelled_owned(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (publisher, handler) = (publisher.clone(), ClockHandler(recorder.clone()));
            tokio::spawn(async move { publisher.serve(stream, handler).await });
        }
    }));
    address
}

/// Starts exchanging stamps between an entry and a keeper.
async fn start_exchange(entry: &EventRecorder, keeper: &EventRecorder, token: &CancellationToken) {
    let address = serve(keeper.clone(), token.clone()).await;
    let hello = EntryHello {
        host: "north-1".into(),
        stamp: ClockStamp {
            wall_ms: 0,
            counter: 0,
        },
    };
    let retry = Duration::from_millis(10);
    let link = KeeperLink::start(vec![address], hello, retry, token.clone());
    tokio::spawn(clock_exchange::run(link, entry.clone(), token.clone()));
}

/// Waits until a clock reaches a stamp.
async fn await_stamp(recorder: &EventRecorder, stamp: &ClockStamp) {
    let reached = async {
        while recorder.clock().now().wall_ms < stamp.wall_ms {
            task::yield_now().await;
        }
    };
    time::timeout(TEST_TIMEOUT, reached)
        .await
        .expect("the clock catches up in time");
}

#[tokio::test]
async fn an_entry_clock_catches_up_with_its_keeper() {
    let (entry, keeper) = (recorder("entry"), recorder("keeper"));
    let token = CancellationToken::new();
    let ahead = advance_clock(&keeper);
    start_exchange(&entry, &keeper, &token).await;
    await_stamp(&entry, &ahead).await;
    token.cancel();
}

#[tokio::test]
async fn a_keeper_clock_catches_up_with_its_entry() {
    let (entry, keeper) = (recorder("entry"), recorder("keeper"));
    let token = CancellationToken::new();
    let ahead = advance_clock(&entry);
    start_exchange(&entry, &keeper, &token).await;
    await_stamp(&keeper, &ahead).await;
    token.cancel();
}

//! Clocks of an entry and its keeper, over a connection: the one behind follows the other.

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

/// Longest wait for an event that must come.
const LIMIT: Duration = Duration::from_secs(30);
/// How far one clock is ahead of the other, in milliseconds.
const AHEAD_MS: u64 = 600_000;

/// Calls of a keeper that has a clock and no more.
#[derive(Clone)]
struct ClockCalls(EventRecorder);

impl EntryCallHandler for ClockCalls {
    async fn claim(&self, _call: ClaimCall) -> ClaimVerdict {
        ClaimVerdict::Refused("not asked here".into())
    }

    async fn record(&self, _call: RecordCall) -> bool {
        false
    }

    async fn apply_endpoint_news(&self, _news: EndpointNews) {}

    fn observe(&self, seen: ClockStamp) -> ClockStamp {
        self.0.clock().observe(seen)
    }
}

/// A recorder that writes nowhere.
fn recorder(host: &str) -> EventRecorder {
    let silent = Logger::root(slog::Discard, slog::o!());
    EventRecorder::new(host, "test", 10, silent)
}

/// A stamp that a clock ten minutes ahead gives.
fn set_ahead(recorder: &EventRecorder) -> ClockStamp {
    let mut stamp = recorder.clock().now();
    stamp.wall_ms += AHEAD_MS;
    recorder.clock().observe(stamp)
}

/// Serves entries until the token is cancelled.
async fn serve(recorder: EventRecorder, token: CancellationToken) -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any_port).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let board = ViewPublisher::new(token.clone());
    board.publish(KeeperView {
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
            let (board, calls) = (board.clone(), ClockCalls(recorder.clone()));
            tokio::spawn(async move { board.serve(stream, calls).await });
        }
    }));
    address
}

/// Connects an entry's clock to a keeper's.
async fn connect(entry: &EventRecorder, keeper: &EventRecorder, token: &CancellationToken) {
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

/// Waits until a clock has reached a stamp.
async fn reaches(recorder: &EventRecorder, stamp: &ClockStamp) {
    let reached = async {
        while recorder.clock().now().wall_ms < stamp.wall_ms {
            task::yield_now().await;
        }
    };
    time::timeout(LIMIT, reached)
        .await
        .expect("the clock follows");
}

#[tokio::test]
async fn an_entry_follows_its_keeper() {
    let (entry, keeper) = (recorder("entry"), recorder("keeper"));
    let token = CancellationToken::new();
    let ahead = set_ahead(&keeper);
    connect(&entry, &keeper, &token).await;
    reaches(&entry, &ahead).await;
    token.cancel();
}

#[tokio::test]
async fn a_keeper_follows_its_entry() {
    let (entry, keeper) = (recorder("entry"), recorder("keeper"));
    let token = CancellationToken::new();
    let ahead = set_ahead(&entry);
    connect(&entry, &keeper, &token).await;
    reaches(&keeper, &ahead).await;
    token.cancel();
}

//! Keeper link: failover and failback, calls without a connection, outdated views.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use tokio::{
    net::TcpListener,
    sync::watch,
    time, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    keeper_link::{
        CachedView,
        KeeperLink, //
    },
    schema::{
        ClaimCall,
        ClaimStart,
        ClaimVerdict,
        ClockStamp,
        ConfigHead,
        Configuration,
        EndpointNews,
        EntryHello,
        KeeperView,
        RecordCall, //
    },
    view_publisher::{
        EntryCallHandler,
        ViewPublisher, //
    },
};

/// Timeout for every expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between two passes over the keepers.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Handles calls; claims block while the gate is closed.
#[derive(Clone)]
struct GatedHandler {
    /// Whether the gate is open.
    gate: watch::Receiver<bool>,
    /// Number of claims received.
    arrived: watch::Sender<u32>,
}

impl EntryCallHandler for GatedHandler {
    async fn claim(&self, call: ClaimCall) -> ClaimVerdict {
        self.arrived.send_modify(|arrived| *arrived += 1);
        let mut gate = self.gate.clone();
        let _ = gate.wait_for(|open| *open).await;
        ClaimVerdict::Won(call.call)
    }

    async fn record(&self, _call: RecordCall) -> bool {
        true
    }

    async fn apply_endpoint_status(&self, _status: EndpointNews) {}
}

/// A keeper that serves entries and nothing else.
struct TestKeeper {
    address: SocketAddr,
    publisher: ViewPublisher,
    token: CancellationToken,
    gate: watch::Sender<bool>,
    arrived: watch::Receiver<u32>,
}

impl TestKeeper {
    async fn start(address: SocketAddr, sequence: u64) -> Self {
        let listener = time::timeout(TEST_TIMEOUT, bind(address)).await;
        let listener = listener.expect("the port of a stopped keeper");
        let address = listener.local_addr().expect("an address");
        let token = CancellationToken::new();
        let publisher = ViewPublisher::new(token.clone());
        publisher.publish(view(sequence));
        let gate = watch::Sender::new(true);
        let handler = GatedHandler {
            gate: gate.subscribe(),
            arrived: watch::Sender::new(0),
        };
        let arrived = handler.arrived.subscribe();
        let serving_publisher = publisher.clone();
        let ended = token.clone();
        tokio::spawn(ended.run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let publisher = serving_publisher.clone();
                let handler = handler.clone();
                tokio::spawn(async move { publisher.serve(stream, handler).await });
            }
        }));
        Self {
            address,
            publisher,
            token,
            gate,
            arrived,
        }
    }
}

/// Binds an address, retrying until its previous listener is closed.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::task::yield_now().await;
    }
}

fn unspecified_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn view(sequence: u64) -> KeeperView {
    KeeperView {
        configuration: Configuration {
            accounts: vec![],
            pools: vec![],
            templates: vec![],
            texts: vec![],
        },
        endpoints: vec![],
        head: ConfigHead {
            hash: "hash".into(),
            offset: sequence,
            sequence,
        },
        hosts: vec![],
        platform_age_ms: 0,
    }
}

fn link(addresses: Vec<SocketAddr>) -> KeeperLink {
    let stamp = ClockStamp {
        counter: 0,
        wall_ms: 0,
    };
    let hello = EntryHello {
        host: "h1".into(),
        stamp,
    };
    KeeperLink::start(addresses, hello, RETRY_INTERVAL, CancellationToken::new())
}

fn start() -> ClaimStart {
    ClaimStart {
        account: "a".into(),
        attempt: "t".into(),
        body_hash: "b".into(),
        host: "h".into(),
        key: "k".into(),
        request: "r".into(),
        template: "p".into(),
    }
}

/// Waits for a view whose head has the given sequence number.
async fn await_sequence(link: &KeeperLink, sequence: u64) -> Arc<CachedView> {
    let mut views = link.subscribe_view();
    let wanted = |cached: &Option<Arc<CachedView>>| {
        let cached = cached.as_ref();
        cached.is_some_and(|cached| cached.view.head.sequence == sequence)
    };
    let cached = time::timeout(TEST_TIMEOUT, views.wait_for(wanted)).await;
    let cached = cached.expect("a view in time").expect("a link");
    cached.clone().expect("a view")
}

#[tokio::test]
async fn failover_keeps_the_newest_view_and_failback_restores_the_first_keeper() {
    let first = TestKeeper::start(unspecified_port(), 3).await;
    let second = TestKeeper::start(unspecified_port(), 2).await;
    let link = link(vec![first.address, second.address]);
    await_sequence(&link, 3).await;
    // The second keeper has an older configuration, which must not be adopted.
    first.token.cancel();
    let arrived = second.arrived.clone();
    loop {
        let verdict = link.claim(start(), TEST_TIMEOUT).await;
        if *arrived.borrow() > 0 {
            assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
            break;
        }
        tokio::task::yield_now().await;
    }
    let cached = link.subscribe_view().borrow().clone().expect("a view");
    assert_eq!(cached.view.head.sequence, 3);
    second.publisher.publish(view(4));
    await_sequence(&link, 4).await;
    // The first keeper returns and is used again.
    let mut returned_keeper = TestKeeper::start(first.address, 5).await;
    await_sequence(&link, 5).await;
    let verdict = link.claim(start(), TEST_TIMEOUT).await;
    assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
    let arrived = time::timeout(
        TEST_TIMEOUT,
        returned_keeper.arrived.wait_for(|count| *count == 1),
    )
    .await;
    assert!(arrived.is_ok(), "the claim went elsewhere");
}

#[tokio::test]
async fn a_call_is_uncertain_after_a_lost_connection_and_refused_without_one() {
    let mut keeper = TestKeeper::start(unspecified_port(), 1).await;
    let link = link(vec![keeper.address]);
    await_sequence(&link, 1).await;
    keeper.gate.send_replace(false);
    let pending_claim = {
        let link = link.clone();
        tokio::spawn(async move { link.claim(start(), TEST_TIMEOUT * 10).await })
    };
    let arrived = time::timeout(TEST_TIMEOUT, keeper.arrived.wait_for(|count| *count == 1)).await;
    arrived.expect("in time").expect("a keeper");
    keeper.token.cancel();
    let finished = time::timeout(TEST_TIMEOUT, pending_claim).await;
    let verdict = finished.expect("an end with the link").expect("a task");
    assert!(matches!(verdict, ClaimVerdict::Uncertain(_)), "{verdict:?}");
    while link.is_connected() {
        tokio::task::yield_now().await;
    }
    // No keeper returns before the timeout, so nothing was sent.
    let verdict = link.claim(start(), Duration::from_millis(50)).await;
    assert!(matches!(verdict, ClaimVerdict::Refused(_)), "{verdict:?}");
    assert!(
        link.subscribe_view().borrow().is_some(),
        "the last view is lost"
    );
    assert!(link.contact_age().is_some());
}

#[tokio::test]
async fn a_call_without_a_reply_is_uncertain() {
    let keeper = TestKeeper::start(unspecified_port(), 1).await;
    let link = link(vec![keeper.address]);
    await_sequence(&link, 1).await;
    keeper.gate.send_replace(false);
    let verdict = link.claim(start(), Duration::from_millis(50)).await;
    assert!(matches!(verdict, ClaimVerdict::Uncertain(_)), "{verdict:?}");
    // The late reply to the first call must not be used for the second.
    keeper.gate.send_replace(true);
    let verdict = link.claim(start(), TEST_TIMEOUT).await;
    assert_eq!(verdict, ClaimVerdict::Won(2));
}

#[tokio::test]
async fn a_keeper_that_sends_no_view_is_skipped() {
    let silent = TcpListener::bind(unspecified_port()).await.expect("a port");
    let address = silent.local_addr().expect("an address");
    let second = TestKeeper::start(unspecified_port(), 2).await;
    let link = link(vec![address, second.address]);
    await_sequence(&link, 2).await;
}

#[tokio::test]
async fn a_keeper_restart_loses_no_claim() {
    let mut keeper = TestKeeper::start(unspecified_port(), 1).await;
    let address = keeper.address;
    let link = link(vec![address]);
    await_sequence(&link, 1).await;
    for sequence in 2..6 {
        keeper.gate.send_replace(false);
        let spawn_claim =
            |link: KeeperLink| tokio::spawn(async move { link.claim(start(), TEST_TIMEOUT).await });
        let before = spawn_claim(link.clone());
        let arrived =
            time::timeout(TEST_TIMEOUT, keeper.arrived.wait_for(|count| *count == 1)).await;
        arrived.expect("in time").expect("a keeper");
        keeper.publisher.leave("h1".into());
        let left = async {
            while link.is_connected() {
                tokio::task::yield_now().await;
            }
        };
        let left = time::timeout(TEST_TIMEOUT, left).await;
        left.expect("the entry disconnects");
        let after = spawn_claim(link.clone());
        // The keeper finishes the call in progress and stops.
        keeper.gate.send_replace(true);
        let verdict = time::timeout(TEST_TIMEOUT, before).await.expect("in time");
        let verdict = verdict.expect("a task");
        assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
        keeper.token.cancel();
        keeper = TestKeeper::start(address, sequence).await;
        let verdict = time::timeout(TEST_TIMEOUT, after).await.expect("in time");
        let verdict = verdict.expect("a task");
        assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
    }
}

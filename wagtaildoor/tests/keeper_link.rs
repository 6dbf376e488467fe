//! The entry's link: keepers lost, frozen, returning; calls on a lost link; older views.

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

/// Longest wait for an event that must come.
const LIMIT: Duration = Duration::from_secs(30);
/// Wait between two rounds over the keepers.
const RETRY: Duration = Duration::from_millis(10);

/// Calls that never end while the gate is shut.
#[derive(Clone)]
struct GatedCalls {
    /// Claims wait until it is true.
    gate: watch::Receiver<bool>,
    /// Claims that arrived.
    arrived: watch::Sender<u32>,
}

impl EntryCallHandler for GatedCalls {
    async fn claim(&self, call: ClaimCall) -> ClaimVerdict {
        self.arrived.send_modify(|arrived| *arrived += 1);
        let mut gate = self.gate.clone();
        let _ = gate.wait_for(|open| *open).await;
        ClaimVerdict::Won(call.call)
    }

    async fn record(&self, _call: RecordCall) -> bool {
        true
    }

    async fn apply_endpoint_news(&self, _news: EndpointNews) {}
}

/// A keeper that only serves entries.
struct SmallKeeper {
    address: SocketAddr,
    board: ViewPublisher,
    token: CancellationToken,
    gate: watch::Sender<bool>,
    arrived: watch::Receiver<u32>,
}

impl SmallKeeper {
    async fn start(address: SocketAddr, sequence: u64) -> Self {
        let listener = time::timeout(LIMIT, bind(address)).await;
        let listener = listener.expect("the port of an ended keeper");
        let address = listener.local_addr().expect("an address");
        let token = CancellationToken::new();
        let board = ViewPublisher::new(token.clone());
        board.publish(view(sequence));
        let gate = watch::Sender::new(true);
        let calls = GatedCalls {
            gate: gate.subscribe(),
            arrived: watch::Sender::new(0),
        };
        let arrived = calls.arrived.subscribe();
        let served = board.clone();
        let ended = token.clone();
        tokio::spawn(ended.run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let board = served.clone();
                let calls = calls.clone();
                tokio::spawn(async move { board.serve(stream, calls).await });
            }
        }));
        Self {
            address,
            board,
            token,
            gate,
            arrived,
        }
    }
}

/// Binds an address as soon as its last owner has let it go.
async fn bind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::task::yield_now().await;
    }
}

fn any_port() -> SocketAddr {
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
    KeeperLink::start(addresses, hello, RETRY, CancellationToken::new())
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

/// Waits for a view with a sequence number.
async fn await_sequence(link: &KeeperLink, sequence: u64) -> Arc<CachedView> {
    let mut views = link.subscribe_view();
    let wanted = |held: &Option<Arc<CachedView>>| {
        let held = held.as_ref();
        held.is_some_and(|held| held.view.head.sequence == sequence)
    };
    let held = time::timeout(LIMIT, views.wait_for(wanted)).await;
    let held = held.expect("a view in time").expect("a link");
    held.clone().expect("a view")
}

#[tokio::test]
async fn a_lost_keeper_leaves_its_view_and_the_next_takes_over_without_going_back() {
    let first = SmallKeeper::start(any_port(), 3).await;
    let second = SmallKeeper::start(any_port(), 2).await;
    let link = link(vec![first.address, second.address]);
    await_sequence(&link, 3).await;
    // The second keeper is behind: its configuration is not taken.
    first.token.cancel();
    let arrived = second.arrived.clone();
    loop {
        let verdict = link.claim(start(), LIMIT).await;
        if *arrived.borrow() > 0 {
            assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
            break;
        }
        tokio::task::yield_now().await;
    }
    let held = link.subscribe_view().borrow().clone().expect("a view");
    assert_eq!(held.view.head.sequence, 3);
    second.board.publish(view(4));
    await_sequence(&link, 4).await;
    // The first comes back and is preferred again.
    let mut back = SmallKeeper::start(first.address, 5).await;
    await_sequence(&link, 5).await;
    let verdict = link.claim(start(), LIMIT).await;
    assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
    let arrived = time::timeout(LIMIT, back.arrived.wait_for(|count| *count == 1)).await;
    assert!(arrived.is_ok(), "the claim went elsewhere");
}

#[tokio::test]
async fn calls_on_a_lost_link_are_uncertain_and_without_a_link_refused() {
    let mut keeper = SmallKeeper::start(any_port(), 1).await;
    let link = link(vec![keeper.address]);
    await_sequence(&link, 1).await;
    keeper.gate.send_replace(false);
    let asking = {
        let link = link.clone();
        tokio::spawn(async move { link.claim(start(), LIMIT * 10).await })
    };
    let arrived = time::timeout(LIMIT, keeper.arrived.wait_for(|count| *count == 1)).await;
    arrived.expect("in time").expect("a keeper");
    keeper.token.cancel();
    let asked = time::timeout(LIMIT, asking).await;
    let verdict = asked.expect("an end with the link").expect("a task");
    assert!(matches!(verdict, ClaimVerdict::Uncertain(_)), "{verdict:?}");
    while link.is_connected() {
        tokio::task::yield_now().await;
    }
    // No keeper comes back within the wait: nothing was sent.
    let verdict = link.claim(start(), Duration::from_millis(50)).await;
    assert!(matches!(verdict, ClaimVerdict::Refused(_)), "{verdict:?}");
    assert!(
        link.subscribe_view().borrow().is_some(),
        "the last view is lost"
    );
    assert!(link.contact_age().is_some());
}

#[tokio::test]
async fn a_call_without_an_answer_ends_uncertain() {
    let keeper = SmallKeeper::start(any_port(), 1).await;
    let link = link(vec![keeper.address]);
    await_sequence(&link, 1).await;
    keeper.gate.send_replace(false);
    let verdict = link.claim(start(), Duration::from_millis(50)).await;
    assert!(matches!(verdict, ClaimVerdict::Uncertain(_)), "{verdict:?}");
    // The late answer to the first call is not taken for the second.
    keeper.gate.send_replace(true);
    let verdict = link.claim(start(), LIMIT).await;
    assert_eq!(verdict, ClaimVerdict::Won(2));
}

#[tokio::test]
async fn a_keeper_that_accepts_and_says_nothing_is_passed_over() {
    let silent = TcpListener::bind(any_port()).await.expect("a port");
    let address = silent.local_addr().expect("an address");
    let second = SmallKeeper::start(any_port(), 2).await;
    let link = link(vec![address, second.address]);
    await_sequence(&link, 2).await;
}

#[tokio::test]
async fn a_keeper_that_restarts_costs_no_claim() {
    let mut keeper = SmallKeeper::start(any_port(), 1).await;
    let address = keeper.address;
    let link = link(vec![address]);
    await_sequence(&link, 1).await;
    for sequence in 2..6 {
        keeper.gate.send_replace(false);
        let ask = |link: KeeperLink| tokio::spawn(async move { link.claim(start(), LIMIT).await });
        let before = ask(link.clone());
        let arrived = time::timeout(LIMIT, keeper.arrived.wait_for(|count| *count == 1)).await;
        arrived.expect("in time").expect("a keeper");
        keeper.board.leave("h1".into());
        let left = async {
            while link.is_connected() {
                tokio::task::yield_now().await;
            }
        };
        let left = time::timeout(LIMIT, left).await;
        left.expect("the entry turns away");
        let after = ask(link.clone());
        // The keeper ends the work in hand, and goes.
        keeper.gate.send_replace(true);
        let verdict = time::timeout(LIMIT, before).await.expect("in time");
        let verdict = verdict.expect("a task");
        assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
        keeper.token.cancel();
        keeper = SmallKeeper::start(address, sequence).await;
        let verdict = time::timeout(LIMIT, after).await.expect("in time");
        let verdict = verdict.expect("a task");
        assert!(matches!(verdict, ClaimVerdict::Won(_)), "{verdict:?}");
    }
}

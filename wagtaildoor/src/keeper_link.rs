//! An entry's link to the keepers of its failure domain.

use std::{
    collections::HashMap,
    hash::Hash,
    net::SocketAddr,
    pin::pin,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
    time::{
        Duration,
        Instant, //
    },
};

use tokio::{
    sync::{
        broadcast,
        watch, //
    },
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    keeper_connection::{
        self,
        CallAnswer,
        CallNumber,
        CallResult,
        KeeperConnection,
        KeeperFeed,
        OpenedConnection, //
    },
    schema::{
        ClaimCall,
        ClaimRecord,
        ClaimStart,
        ClaimVerdict,
        ClockStamp,
        EndpointNews,
        EntryFrame,
        EntryHello,
        KeeperFrame,
        KeeperView,
        PrefixNews,
        RecordCall, //
    },
};

/// Cache news held for a slow reader, in messages.
const NEWS_CAPACITY: usize = 4096;
/// Part of a call's wait that is kept for the way back.
const REPLY_SHARE: u32 = 20;
/// Waits between two tries to get back to a keeper earlier in the list, in retry waits.
const RETURN_RETRIES: u32 = 10;

/// The last view an entry took, and when.
#[derive(Clone, Debug)]
pub struct CachedView {
    /// The view, with all changes since.
    pub view: KeeperView,
    /// When it last changed.
    pub taken: Instant,
}

/// A link to the first keeper in a list that answers.
///
/// The last view is kept when all keepers are lost. A configuration older than the one held is
/// never taken, whatever keeper sends it.
#[derive(Clone)]
pub struct KeeperLink {
    /// What all clones share.
    shared: Arc<LinkShared>,
}

/// What all clones of a link share.
struct LinkShared {
    /// Keepers in order of preference.
    addresses: Vec<SocketAddr>,
    /// First frame on each connection.
    hello: EntryHello,
    /// Wait between two rounds over the keepers.
    retry: Duration,
    /// Number of the next call.
    next_call: AtomicU64,
    /// Connection in use; `None` when no keeper is in reach.
    current: watch::Sender<Option<Arc<KeeperConnection>>>,
    /// Last view.
    view: watch::Sender<Option<Arc<CachedView>>>,
    /// Last word of any keeper.
    word: watch::Sender<Option<KeeperWord>>,
    /// Cache news.
    news: broadcast::Sender<PrefixNews>,
    /// Last clock reading of a keeper.
    stamp: watch::Sender<Option<ClockStamp>>,
}

/// What a keeper last said of the platform, and when.
#[derive(Clone, Copy)]
struct KeeperWord {
    /// When it was said.
    heard: Instant,
    /// Age of the log's last answer at that time.
    platform_age: Duration,
}

impl KeeperLink {
    /// Starts a link to the first of the keepers that shows a view, until the token is cancelled.
    pub fn start(
        addresses: Vec<SocketAddr>,
        hello: EntryHello,
        retry: Duration,
        token: CancellationToken,
    ) -> Self {
        let shared = Arc::new(LinkShared {
            addresses,
            hello,
            retry,
            next_call: AtomicU64::new(1),
            current: watch::Sender::new(None),
            view: watch::Sender::new(None),
            word: watch::Sender::new(None),
            news: broadcast::Sender::new(NEWS_CAPACITY),
            stamp: watch::Sender::new(None),
        });
        let runner = Arc::clone(&shared);
        tokio::spawn(async move {
            token.run_until_cancelled(runner.run()).await;
            runner.current.send_replace(None);
        });
        Self { shared }
    }

    /// The last view, as it changes; `None` before the first.
    pub fn subscribe_view(&self) -> watch::Receiver<Option<Arc<CachedView>>> {
        self.shared.view.subscribe()
    }

    /// Cache news from now on.
    pub fn subscribe_cache_events(&self) -> broadcast::Receiver<PrefixNews> {
        self.shared.news.subscribe()
    }

    /// Clock readings of the keeper, as they come in answer to pings.
    pub fn subscribe_stamps(&self) -> watch::Receiver<Option<ClockStamp>> {
        self.shared.stamp.subscribe()
    }

    /// Whether a keeper is in reach.
    pub fn is_connected(&self) -> bool {
        self.shared.current.borrow().is_some()
    }

    /// Time since a keeper was last heard; `None` before the first word.
    pub fn contact_age(&self) -> Option<Duration> {
        let word = *self.shared.word.borrow();
        word.map(|word| word.heard.elapsed())
    }

    /// Time since the log last answered, as far as this entry knows.
    pub fn platform_age(&self) -> Option<Duration> {
        let word = *self.shared.word.borrow();
        word.map(|word| word.platform_age + word.heard.elapsed())
    }

    /// Asks for a claim. `Refused` is only given when the call was never sent.
    pub async fn claim(&self, start: ClaimStart, wait: Duration) -> ClaimVerdict {
        let call = self.next_call();
        let frame = EntryFrame::Claim(ClaimCall {
            call,
            start,
            wait_ms: keeper_wait_ms(wait),
        });
        match self.call(call, frame, wait).await {
            CallResult::Answered(CallAnswer::Verdict(verdict)) => verdict,
            CallResult::NotSent => ClaimVerdict::Refused("no keeper is in reach".into()),
            CallResult::Answered(_) | CallResult::Lost => {
                ClaimVerdict::Uncertain("the keeper did not answer in time".into())
            }
        }
    }

    /// Puts a record into the log; false when it is not known to be there.
    pub async fn record(&self, record: ClaimRecord, wait: Duration) -> bool {
        let call = self.next_call();
        let frame = EntryFrame::Record(RecordCall {
            call,
            record,
            wait_ms: keeper_wait_ms(wait),
        });
        let result = self.call(call, frame, wait).await;
        matches!(result, CallResult::Answered(CallAnswer::Recorded(true)))
    }

    /// Tells the keeper what an answer said of its endpoint.
    pub fn send_endpoint_news(&self, news: EndpointNews) {
        self.send(EntryFrame::News(news));
    }

    /// Sends this entry's clock reading, which the keeper answers with its own.
    pub fn ping(&self, stamp: ClockStamp) {
        self.send(EntryFrame::Ping(stamp));
    }

    /// Sends a frame without an answer, when a keeper is in reach.
    fn send(&self, frame: EntryFrame) {
        if let Some(connection) = self.shared.current.borrow().as_ref() {
            connection.tell(frame);
        }
    }

    /// A number no other call of this link has.
    fn next_call(&self) -> CallNumber {
        self.shared.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a call over the connection in use, or over the next one when there is none.
    ///
    /// A keeper that restarts is back within moments, so that the call waits for it.
    async fn call(&self, number: CallNumber, frame: EntryFrame, wait: Duration) -> CallResult {
        let started = Instant::now();
        let connection = time::timeout(wait, self.connection()).await;
        let left = wait.saturating_sub(started.elapsed());
        match connection {
            Ok(Some(connection)) => connection.call(number, frame, left).await,
            Ok(None) | Err(_) => CallResult::NotSent,
        }
    }

    /// The connection in use, or the next one; `None` when the link has ended.
    async fn connection(&self) -> Option<Arc<KeeperConnection>> {
        let mut current = self.shared.current.subscribe();
        let connection = current.wait_for(Option::is_some).await.ok()?;
        connection.clone()
    }
}

impl LinkShared {
    /// Follows one keeper after the other.
    async fn run(&self) {
        loop {
            if let Some(found) = self.find(self.addresses.len()).await {
                self.follow(found).await;
                self.current.send_replace(None);
            }
            time::sleep(self.retry).await;
        }
    }

    /// The first of the leading `count` keepers that shows a view.
    async fn find(&self, count: usize) -> Option<FoundKeeper> {
        for (rank, address) in self.addresses.iter().take(count).enumerate() {
            let opened = keeper_connection::open(*address, &self.hello).await;
            if let Some(opened) = opened {
                return Some(FoundKeeper { rank, opened });
            }
        }
        None
    }

    /// Follows a keeper, and any preferred one that comes back, until none is left.
    async fn follow(&self, found: FoundKeeper) {
        let mut rank = found.rank;
        let mut feed = self.adopt(found.opened);
        loop {
            match self.read_until_end(rank, &mut feed).await {
                FeedEnd::Lost => return,
                FeedEnd::Leaving => {
                    // Calls from now on wait for the next keeper, or for this one to be back.
                    self.current.send_replace(None);
                    tokio::spawn(feed.finish());
                    return;
                }
                FeedEnd::Better(better) => {
                    rank = better.rank;
                    let left = std::mem::replace(&mut feed, self.adopt(better.opened));
                    // Calls on the keeper left behind still get their answers.
                    tokio::spawn(left.finish());
                }
            }
        }
    }

    /// Reads from a keeper until it is lost or leaves, or one before its rank shows a view.
    async fn read_until_end(&self, rank: usize, feed: &mut KeeperFeed) -> FeedEnd {
        let mut better = pin!(self.find_better(rank));
        loop {
            tokio::select! {
                frame = feed.next() => match frame {
                    Some(KeeperFrame::Leaving(_)) => return FeedEnd::Leaving,
                    Some(frame) => self.take(frame),
                    None => return FeedEnd::Lost,
                },
                found = &mut better, if rank > 0 => return FeedEnd::Better(Box::new(found)),
            }
        }
    }

    /// Waits until a keeper before this rank shows a view.
    async fn find_better(&self, rank: usize) -> FoundKeeper {
        loop {
            time::sleep(self.retry * RETURN_RETRIES).await;
            if let Some(found) = self.find(rank).await {
                return found;
            }
        }
    }

    /// Puts a connection in use and takes its view.
    fn adopt(&self, opened: OpenedConnection) -> KeeperFeed {
        self.take(KeeperFrame::View(opened.view));
        self.current.send_replace(Some(opened.connection));
        opened.feed
    }

    /// Takes a frame in.
    fn take(&self, frame: KeeperFrame) {
        match frame {
            KeeperFrame::View(view) => self.take_view(view),
            KeeperFrame::Endpoints(endpoints) => {
                self.change(|view| {
                    merge(&mut view.endpoints, endpoints, |endpoint| {
                        endpoint.id.clone()
                    })
                });
            }
            KeeperFrame::Hosts(hosts) => {
                self.change(|view| merge(&mut view.hosts, hosts, |host| host.id.clone()));
            }
            KeeperFrame::PrefixNews(news) => {
                // Without a reader the news is of no use.
                let _ = self.news.send(news);
            }
            KeeperFrame::PlatformAgeMs(age_ms) => self.take_age(age_ms),
            KeeperFrame::Pong(stamp) => {
                self.stamp.send_replace(Some(stamp));
            }
            KeeperFrame::ClaimReply(_) | KeeperFrame::RecordReply(_) | KeeperFrame::Leaving(_) => {}
        }
    }

    /// Takes a whole view, but never an older configuration than the one held.
    fn take_view(&self, mut view: KeeperView) {
        self.take_age(view.platform_age_ms);
        self.view.send_modify(|held| {
            if let Some(held) = held {
                if view.head.sequence < held.view.head.sequence {
                    view.head = held.view.head.clone();
                    view.configuration = held.view.configuration.clone();
                }
            }
            let taken = Instant::now();
            *held = Some(Arc::new(CachedView { view, taken }));
        });
    }

    /// Changes parts of the view.
    fn change(&self, change: impl FnOnce(&mut KeeperView)) {
        self.view.send_modify(|held| {
            if let Some(held) = held {
                let held = Arc::make_mut(held);
                change(&mut held.view);
                held.taken = Instant::now();
            }
        });
    }

    /// Notes what a keeper said of the platform.
    fn take_age(&self, age_ms: u64) {
        let word = KeeperWord {
            heard: Instant::now(),
            platform_age: Duration::from_millis(age_ms),
        };
        self.word.send_replace(Some(word));
    }
}

/// Why a keeper is no longer followed.
enum FeedEnd {
    /// The connection is lost, or silent.
    Lost,
    /// The keeper is leaving.
    Leaving,
    /// A preferred keeper is back.
    Better(Box<FoundKeeper>),
}

/// A keeper that shows a view.
struct FoundKeeper {
    /// Its place in the list.
    rank: usize,
    /// Connection to it.
    opened: OpenedConnection,
}

/// The wait a keeper is told, which leaves its answer time to come back.
fn keeper_wait_ms(wait: Duration) -> u64 {
    let wait = wait.saturating_sub(wait / REPLY_SHARE);
    u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)
}

/// Puts changed items in place of those held, and new ones at the end.
fn merge<T, K: Eq + Hash>(held: &mut Vec<T>, changed: Vec<T>, id: fn(&T) -> K) {
    let places = held.iter().enumerate();
    let places: HashMap<K, usize> = places.map(|(place, item)| (id(item), place)).collect();
    for item in changed {
        match places.get(&id(&item)) {
            Some(place) => held[*place] = item,
            None => held.push(item),
        }
    }
}

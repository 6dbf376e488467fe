//! An entry's client for the keepers of its failure domain, with failover between them.

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
        CallId,
        CallReply,
        CallResult,
        KeeperConnection,
        KeeperReceiver,
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

/// Cache events buffered for a slow subscriber.
const CACHE_EVENT_CAPACITY: usize = 4096;
/// 1/20 of a call's timeout is reserved for the reply to travel back.
const REPLY_TIME_DIVISOR: u32 = 20;
/// Delay between two attempts to return to a preferred keeper, in retry intervals.
const FAILBACK_RETRY_MULTIPLIER: u32 = 10;

/// The last view that an entry received.
#[derive(Clone, Debug)]
pub struct CachedView {
    /// The view, with all later changes applied.
    pub view: KeeperView,
    /// When the view was received or last changed.
    pub updated_at: Instant,
}

/// A client connected to the first keeper of a list that responds.
///
/// The last view is kept while no keeper is connected. A configuration older than the cached one
/// is never adopted, whichever keeper sends it.
#[derive(Clone)]
pub struct KeeperLink {
    /// State shared by all clones.
    shared: Arc<LinkShared>,
}

/// State shared by all clones of a link.
struct LinkShared {
    /// Keepers in order of preference.
    addresses: Vec<SocketAddr>,
    /// First frame sent on each connection.
    hello: EntryHello,
    /// Delay between two passes over the keepers.
    retry_interval: Duration,
    next_call_id: AtomicU64,
    /// Connection in use; `None` while no keeper is connected.
    current_connection: watch::Sender<Option<Arc<KeeperConnection>>>,
    view: watch::Sender<Option<Arc<CachedView>>>,
    /// Last platform age that any keeper reported.
    platform_status: watch::Sender<Option<PlatformStatus>>,
    cache_events: broadcast::Sender<PrefixNews>,
    /// Last clock stamp received from a keeper.
    keeper_stamp: watch::Sender<Option<ClockStamp>>,
}

/// The platform age that a keeper last reported.
#[derive(Clone, Copy)]
struct PlatformStatus {
    received_at: Instant,
    /// Time since the log's last response, as of `received_at`.
    platform_age: Duration,
}

impl KeeperLink {
    /// Starts connecting to the keepers, in order of preference, until the token is cancelled.
    pub fn start(
        addresses: Vec<SocketAddr>,
        hello: EntryHello,
        retry_interval: Duration,
        token: CancellationToken,
    ) -> Self {
        let shared = Arc::new(LinkShared {
            addresses,
            hello,
            retry_interval,
            next_call_id: AtomicU64::new(1),
            current_connection: watch::Sender::new(None),
            view: watch::Sender::new(None),
            platform_status: watch::Sender::new(None),
            cache_events: broadcast::Sender::new(CACHE_EVENT_CAPACITY),
            keeper_stamp: watch::Sender::new(None),
        });
        let runner = Arc::clone(&shared);
        tokio::spawn(async move {
            token.run_until_cancelled(runner.run()).await;
            runner.current_connection.send_replace(None);
        });
        Self { shared }
    }

    /// Subscribes to the last received view; `None` until the first one arrives.
    pub fn subscribe_view(&self) -> watch::Receiver<Option<Arc<CachedView>>> {
        self.shared.view.subscribe()
    }

    /// Subscribes to cache events from now on.
    pub fn subscribe_cache_events(&self) -> broadcast::Receiver<PrefixNews> {
        self.shared.cache_events.subscribe()
    }

    /// Subscribes to the clock stamps that the keeper returns in response to pings.
    pub fn subscribe_stamps(&self) -> watch::Receiver<Option<ClockStamp>> {
        self.shared.keeper_stamp.subscribe()
    }

    /// Returns whether a keeper is connected.
    pub fn is_connected(&self) -> bool {
        self.shared.current_connection.borrow().is_some()
    }

    /// Returns the time since a keeper last reported; `None` before the first report.
    pub fn contact_age(&self) -> Option<Duration> {
        let status = *self.shared.platform_status.borrow();
        status.map(|status| status.received_at.elapsed())
    }

    /// Returns the time since the log last responded, as far as this entry knows.
    pub fn platform_age(&self) -> Option<Duration> {
        let status = *self.shared.platform_status.borrow();
        status.map(|status| status.platform_age + status.received_at.elapsed())
    }

    /// Requests a claim. `Refused` is returned locally only if the call was never sent.
    pub async fn claim(&self, start: ClaimStart, timeout: Duration) -> ClaimVerdict {
        let call = self.next_call_id();
        let frame = EntryFrame::Claim(ClaimCall {
            call,
            start,
            wait_ms: keeper_timeout_ms(timeout),
        });
        match self.call(call, frame, timeout).await {
            CallResult::Answered(CallReply::Verdict(verdict)) => verdict,
            CallResult::NotSent => ClaimVerdict::Refused("no keeper is in reach".into()),
            CallResult::Answered(_) | CallResult::Lost => {
                ClaimVerdict::Uncertain("the keeper did not answer in time".into())
            }
        }
    }

    /// Appends a record to the log; false if the record is not known to be in the log.
    pub async fn record(&self, record: ClaimRecord, timeout: Duration) -> bool {
        let call = self.next_call_id();
        let frame = EntryFrame::Record(RecordCall {
            call,
            record,
            wait_ms: keeper_timeout_ms(timeout),
        });
        let result = self.call(call, frame, timeout).await;
        matches!(result, CallResult::Answered(CallReply::Recorded(true)))
    }

    /// Sends the endpoint status that came with a response to the keeper.
    pub fn send_endpoint_status(&self, status: EndpointNews) {
        self.send(EntryFrame::News(status));
    }

    /// Sends this entry's clock stamp, to which the keeper responds with its own.
    pub fn send_ping(&self, stamp: ClockStamp) {
        self.send(EntryFrame::Ping(stamp));
    }

    /// Sends a frame that has no reply; drops it if no keeper is connected.
    fn send(&self, frame: EntryFrame) {
        if let Some(connection) = self.shared.current_connection.borrow().as_ref() {
            connection.try_send(frame);
        }
    }

    /// Returns an identifier that no other call of this link has.
    fn next_call_id(&self) -> CallId {
        self.shared.next_call_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Sends a call over the connection in use, or waits for the next one.
    ///
    /// Waiting covers a keeper's restart, which takes only moments.
    async fn call(&self, call_id: CallId, frame: EntryFrame, timeout: Duration) -> CallResult {
        let started = Instant::now();
        let connection = time::timeout(timeout, self.wait_for_connection()).await;
        let left = timeout.saturating_sub(started.elapsed());
        match connection {
            Ok(Some(connection)) => connection.call(call_id, frame, left).await,
            Ok(None) | Err(_) => CallResult::NotSent,
        }
    }

    /// Returns the connection in use or waits for the next; `None` once the link has ended.
    async fn wait_for_connection(&self) -> Option<Arc<KeeperConnection>> {
        let mut current = self.shared.current_connection.subscribe();
        let connection = current.wait_for(Option::is_some).await.ok()?;
        connection.clone()
    }
}

impl LinkShared {
    /// Connects to one keeper after another.
    async fn run(&self) {
        loop {
            if let Some(found) = self.find_keeper(self.addresses.len()).await {
                self.follow_keeper(found).await;
                self.current_connection.send_replace(None);
            }
            time::sleep(self.retry_interval).await;
        }
    }

    /// Returns the first of the leading `count` keepers that sends a view.
    async fn find_keeper(&self, count: usize) -> Option<FoundKeeper> {
        for (rank, address) in self.addresses.iter().take(count).enumerate() {
            let opened = keeper_connection::open_connection(*address, &self.hello).await;
            if let Some(opened) = opened {
                return Some(FoundKeeper { rank, opened });
            }
        }
        None
    }

    /// Reads from a keeper, switching to preferred ones that return, until none is left.
    async fn follow_keeper(&self, found: FoundKeeper) {
        let mut rank = found.rank;
        let mut receiver = self.activate_connection(found.opened);
        loop {
            match self.read_until_end(rank, &mut receiver).await {
                ReadEnd::Lost => return,
                ReadEnd::Leaving => {
                    // New calls wait for the next keeper or for this one to restart.
                    self.current_connection.send_replace(None);
                    tokio::spawn(receiver.drain_replies());
                    return;
                }
                ReadEnd::Preferred(better) => {
                    rank = better.rank;
                    let left =
                        std::mem::replace(&mut receiver, self.activate_connection(better.opened));
                    // Pending calls on the previous keeper still receive their replies.
                    tokio::spawn(left.drain_replies());
                }
            }
        }
    }

    /// Reads until the keeper is lost or leaves, or a keeper with a lower rank sends a view.
    async fn read_until_end(&self, rank: usize, receiver: &mut KeeperReceiver) -> ReadEnd {
        let mut better = pin!(self.find_preferred(rank));
        loop {
            tokio::select! {
                frame = receiver.next_frame() => match frame {
                    Some(KeeperFrame::Leaving(_)) => return ReadEnd::Leaving,
                    Some(frame) => self.apply_frame(frame),
                    None => return ReadEnd::Lost,
                },
                found = &mut better, if rank > 0 => return ReadEnd::Preferred(Box::new(found)),
            }
        }
    }

    /// Waits until a keeper with a lower rank sends a view.
    async fn find_preferred(&self, rank: usize) -> FoundKeeper {
        loop {
            time::sleep(self.retry_interval * FAILBACK_RETRY_MULTIPLIER).await;
            if let Some(found) = self.find_keeper(rank).await {
                return found;
            }
        }
    }

    /// Applies the first view of a connection and uses the connection for new calls.
    fn activate_connection(&self, opened: OpenedConnection) -> KeeperReceiver {
        self.apply_frame(KeeperFrame::View(opened.view));
        self.current_connection
            .send_replace(Some(opened.connection));
        opened.receiver
    }

    fn apply_frame(&self, frame: KeeperFrame) {
        match frame {
            KeeperFrame::View(view) => self.apply_view(view),
            KeeperFrame::Endpoints(endpoints) => {
                self.update_view(|view| {
                    merge_by_id(&mut view.endpoints, endpoints, |endpoint| {
                        endpoint.id.clone()
                    })
                });
            }
            KeeperFrame::Hosts(hosts) => {
                self.update_view(|view| {
                    merge_by_id(&mut view.hosts, hosts, |host| host.id.clone())
                });
            }
            KeeperFrame::PrefixNews(event) => {
                // Fails only without subscribers, in which case nobody needs the event.
                let _ = self.cache_events.send(event);
            }
            KeeperFrame::PlatformAgeMs(age_ms) => self.record_platform_age(age_ms),
            KeeperFrame::Pong(stamp) => {
                self.keeper_stamp.send_replace(Some(stamp));
            }
            KeeperFrame::ClaimReply(_) | KeeperFrame::RecordReply(_) | KeeperFrame::Leaving(_) => {}
        }
    }

    /// Replaces the view, but keeps the cached configuration if the received one is older.
    fn apply_view(&self, mut view: KeeperView) {
        self.record_platform_age(view.platform_age_ms);
        self.view.send_modify(|held| {
            if let Some(held) = held {
                if view.head.sequence < held.view.head.sequence {
                    view.head = held.view.head.clone();
                    view.configuration = held.view.configuration.clone();
                }
            }
            let updated_at = Instant::now();
            *held = Some(Arc::new(CachedView { view, updated_at }));
        });
    }

    /// Changes the cached view, if there is one.
    fn update_view(&self, change: impl FnOnce(&mut KeeperView)) {
        self.view.send_modify(|held| {
            if let Some(held) = held {
                let held = Arc::make_mut(held);
                change(&mut held.view);
                held.updated_at = Instant::now();
            }
        });
    }

    fn record_platform_age(&self, age_ms: u64) {
        let status = PlatformStatus {
            received_at: Instant::now(),
            platform_age: Duration::from_millis(age_ms),
        };
        self.platform_status.send_replace(Some(status));
    }
}

/// Why reading from a keeper ended.
enum ReadEnd {
    /// The connection was lost or silent for too long.
    Lost,
    /// The keeper announced that it is leaving.
    Leaving,
    /// A keeper earlier in the list sent a view.
    Preferred(Box<FoundKeeper>),
}

/// A keeper that has sent its view.
struct FoundKeeper {
    /// Index in the list of keepers; 0 is the most preferred.
    rank: usize,
    opened: OpenedConnection,
}

/// Returns the timeout sent to a keeper, which leaves time for the reply to arrive.
fn keeper_timeout_ms(timeout: Duration) -> u64 {
    let timeout = timeout.saturating_sub(timeout / REPLY_TIME_DIVISOR);
    u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX)
}

/// Replaces items that have the same id and appends the others.
fn merge_by_id<T, K: Eq + Hash>(held: &mut Vec<T>, changed: Vec<T>, id: fn(&T) -> K) {
    let positions = held.iter().enumerate();
    let positions: HashMap<K, usize> = positions
        .map(|(position, item)| (id(item), position))
        .collect();
    for item in changed {
        match positions.get(&id(&item)) {
            Some(position) => held[*position] = item,
            None => held.push(item),
        }
    }
}

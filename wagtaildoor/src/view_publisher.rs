//! What a keeper publishes to the entries connected to it.

use std::{
    collections::HashSet,
    future::Future,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadHalf,
        WriteHalf, //
    },
    sync::{
        broadcast,
        mpsc,
        watch,
        Semaphore, //
    },
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    frame::{
        self,
        FrameReader,
        FrameWriter, //
    },
    ids::{
        EndpointId,
        HostId, //
    },
    schema::{
        ClaimCall,
        ClaimReply,
        ClaimVerdict,
        ClockStamp,
        EndpointNews,
        EndpointView,
        EntryFrame,
        HostView,
        KeeperFrame,
        KeeperView,
        PrefixNews,
        RecordCall,
        RecordReply, //
    },
    view_state::ViewState,
};

/// Time between two words on the age of the log, which also tell the entry that the keeper lives.
pub const PLATFORM_AGE_PERIOD: Duration = Duration::from_secs(1);
/// Shortest time between two updates to one entry; changes in between go out together.
const UPDATE_PACE: Duration = Duration::from_millis(20);
/// Longest time an entry may take to read one frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time to the first frame of an entry.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Cache news held for a slow entry, in messages; it is told of a gap beyond.
const NEWS_CAPACITY: usize = 1024;
/// Calls of one entry in work at a time.
const CALL_LIMIT: usize = 4096;

/// What a keeper does with the frames of an entry.
pub trait EntryCallHandler: Clone + Send + Sync + 'static {
    /// Asks the log for a claim.
    fn claim(&self, call: ClaimCall) -> impl Future<Output = ClaimVerdict> + Send;

    /// Puts an outcome or a release on record; true when it was read back.
    fn record(&self, call: RecordCall) -> impl Future<Output = bool> + Send;

    /// Takes in what an answer said of its endpoint.
    fn apply_endpoint_news(&self, news: EndpointNews) -> impl Future<Output = ()> + Send;

    /// Merges the entry's clock into the keeper's, and gives the latter.
    fn observe(&self, seen: ClockStamp) -> ClockStamp {
        seen
    }
}

/// The view that is in force on this host, and its changes.
///
/// An entry receives a snapshot and then only what changed since. Nothing is queued for it: a
/// slow entry receives the present state of whatever changed while it was busy.
#[derive(Clone)]
pub struct ViewPublisher {
    /// What all connections share.
    shared: Arc<BoardShared>,
}

/// What all connections of a board share.
struct BoardShared {
    /// View and the version of each of its parts.
    state: Mutex<ViewState>,
    /// Newest version.
    version: watch::Sender<u64>,
    /// Cache news on the way to the entries.
    news: broadcast::Sender<Arc<PrefixNews>>,
    /// Host that is leaving; `None` while it is not.
    leaving: watch::Sender<Option<HostId>>,
    /// Ends all connections.
    token: CancellationToken,
}

impl ViewPublisher {
    /// A board without a view, whose connections end with the token.
    pub fn new(token: CancellationToken) -> Self {
        let shared = BoardShared {
            state: Mutex::new(ViewState::default()),
            version: watch::Sender::new(0),
            news: broadcast::Sender::new(NEWS_CAPACITY),
            leaving: watch::Sender::new(None),
            token,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Puts a whole view in force; entries receive no more than what it changes.
    pub fn publish(&self, view: KeeperView) {
        let version = self.state().put(view, Instant::now());
        self.announce(version);
    }

    /// Takes in new or changed endpoints.
    pub fn publish_endpoints(&self, endpoints: Vec<EndpointView>) {
        let version = self.state().put_endpoints(endpoints, Instant::now());
        self.announce(version);
    }

    /// Takes in the entry hosts as they are now known.
    pub fn publish_hosts(&self, hosts: Vec<HostView>) {
        let version = self.state().put_host_list(hosts, Instant::now());
        self.announce(version);
    }

    /// Passes cache news on.
    pub fn publish_cache_event(&self, news: PrefixNews) {
        // Without an entry there is nobody to tell.
        let _ = self.shared.news.send(Arc::new(news));
    }

    /// Tells entries to go elsewhere; calls that are on their way are still answered.
    pub fn leave(&self, host: HostId) {
        self.shared.leaving.send_replace(Some(host));
    }

    /// Serves one entry until it goes, falls silent within a frame, or the token is cancelled.
    pub async fn serve<S, H>(&self, stream: S, calls: H) -> frame::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send,
        H: EntryCallHandler,
    {
        let (reads, writes) = tokio::io::split(stream);
        let (replies, outbox) = mpsc::channel(CALL_LIMIT);
        let token = self.shared.token.child_token();
        let _guard = token.clone().drop_guard();
        let server = CallServer {
            calls,
            replies,
            limit: Arc::new(Semaphore::new(CALL_LIMIT)),
        };
        tokio::select! {
            () = token.cancelled() => Ok(()),
            result = server.read(reads) => result,
            result = self.write(writes, outbox) => result,
        }
    }

    /// Sends the view, its changes, cache news and replies.
    async fn write<S>(
        &self,
        stream: WriteHalf<S>,
        mut outbox: mpsc::Receiver<KeeperFrame>,
    ) -> frame::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send,
    {
        let mut writer = FrameWriter::new(stream);
        let mut version = self.shared.version.subscribe();
        let mut feed = NewsFeed::new(self.shared.news.subscribe());
        let mut ages = time::interval(PLATFORM_AGE_PERIOD);
        let mut leaving = self.shared.leaving.subscribe();
        let mut told = false;
        let mut sent = 0;
        let mut due = Instant::now();
        version.mark_changed();
        loop {
            let update = async {
                time::sleep_until(due).await;
                version.changed().await
            };
            tokio::select! {
                reply = outbox.recv() => match reply {
                    Some(reply) => send(&mut writer, &reply).await?,
                    None => return Ok(()),
                },
                _ = ages.tick() => {
                    let age = self.state().platform_age_ms(Instant::now());
                    if let Some(age) = age {
                        send(&mut writer, &KeeperFrame::PlatformAgeMs(age)).await?;
                    }
                }
                changed = update => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let frames = self.state().since(&mut sent, Instant::now());
                    for frame in frames {
                        send(&mut writer, &frame).await?;
                    }
                    due = Instant::now() + UPDATE_PACE;
                }
                host = left(&mut leaving), if !told => {
                    told = true;
                    send(&mut writer, &KeeperFrame::Leaving(host)).await?;
                }
                news = feed.next() => match news {
                    Some(news) => send(&mut writer, &KeeperFrame::PrefixNews(news)).await?,
                    None => return Ok(()),
                },
            }
        }
    }

    /// The state; a holder that panicked leaves it whole, since each change is one assignment.
    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Wakes the connections for a new version.
    fn announce(&self, version: u64) {
        self.shared.version.send_if_modified(|held| {
            let newer = version > *held;
            *held = version.max(*held);
            newer
        });
    }
}

/// Cache news for one entry, with a mark where some were dropped.
struct NewsFeed {
    /// Source of the news.
    source: broadcast::Receiver<Arc<PrefixNews>>,
    /// Endpoints told of since news were dropped; `None` when none were.
    told: Option<HashSet<EndpointId>>,
}

impl NewsFeed {
    /// A feed from a source.
    fn new(source: broadcast::Receiver<Arc<PrefixNews>>) -> Self {
        Self { source, told: None }
    }

    /// The next news; `None` when the board is gone.
    async fn next(&mut self) -> Option<PrefixNews> {
        loop {
            match self.source.recv().await {
                Ok(news) => return Some(self.marked(&news)),
                Err(broadcast::error::RecvError::Lagged(_)) => {
                    self.told = Some(HashSet::new());
                }
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }

    /// The news, with a gap where this entry may have missed earlier ones of the endpoint.
    fn marked(&mut self, news: &PrefixNews) -> PrefixNews {
        let mut marked = news.clone();
        if let Some(told) = &mut self.told {
            marked.gap |= told.insert(marked.endpoint.clone());
        }
        marked
    }
}

/// Runs the calls of one entry.
struct CallServer<H> {
    /// What is done with them.
    calls: H,
    /// Where replies go.
    replies: mpsc::Sender<KeeperFrame>,
    /// Bounds the calls in work.
    limit: Arc<Semaphore>,
}

impl<H: EntryCallHandler> CallServer<H> {
    /// Reads frames until the entry goes.
    async fn read<S>(self, stream: ReadHalf<S>) -> frame::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send,
    {
        let mut reader = FrameReader::new(stream);
        let hello = time::timeout(HELLO_TIMEOUT, reader.next()).await;
        let Ok(Some(EntryFrame::Hello(hello))) = hello.unwrap_or(Ok(None)) else {
            return Ok(());
        };
        self.calls.observe(hello.stamp);
        while let Some(entry_frame) = reader.next().await? {
            self.take(entry_frame).await;
        }
        Ok(())
    }

    /// Takes one frame; waits when too many calls are in work.
    async fn take(&self, entry_frame: EntryFrame) {
        match entry_frame {
            EntryFrame::Hello(hello) => {
                self.calls.observe(hello.stamp);
            }
            EntryFrame::Claim(call) => self.claim(call).await,
            EntryFrame::Record(call) => self.record(call).await,
            EntryFrame::News(news) => self.calls.apply_endpoint_news(news).await,
            EntryFrame::Ping(stamp) => {
                let stamp = self.calls.observe(stamp);
                let _ = self.replies.send(KeeperFrame::Pong(stamp)).await;
            }
        }
    }

    /// Starts a claim. It runs to its end even when the entry goes: the log may hold it already.
    async fn claim(&self, call: ClaimCall) {
        let number = call.call;
        let calls = self.calls.clone();
        let work = async move { calls.claim(call).await };
        self.start(work, move |verdict| {
            KeeperFrame::ClaimReply(ClaimReply {
                call: number,
                verdict,
            })
        })
        .await;
    }

    /// Starts a record, which runs to its end like a claim.
    async fn record(&self, call: RecordCall) {
        let number = call.call;
        let calls = self.calls.clone();
        let work = async move { calls.record(call).await };
        self.start(work, move |recorded| {
            KeeperFrame::RecordReply(RecordReply {
                call: number,
                recorded,
            })
        })
        .await;
    }

    /// Runs a call in a task of its own and queues its reply.
    async fn start<T, F>(&self, work: impl Future<Output = T> + Send + 'static, reply: F)
    where
        F: FnOnce(T) -> KeeperFrame + Send + 'static,
        T: Send + 'static,
    {
        let permit = Arc::clone(&self.limit).acquire_owned().await;
        let replies = self.replies.clone();
        tokio::spawn(async move {
            let answer = work.await;
            // The entry may be gone; the call has had its effect all the same.
            let _ = replies.send(reply(answer)).await;
            drop(permit);
        });
    }
}

/// Waits until the keeper is leaving; gives its host.
async fn left(leaving: &mut watch::Receiver<Option<HostId>>) -> HostId {
    let host = leaving.wait_for(Option::is_some).await;
    match host.ok().and_then(|host| host.clone()) {
        Some(host) => host,
        None => std::future::pending().await,
    }
}

/// Sends one frame, and fails when the entry does not read it.
async fn send<W: AsyncWrite + Unpin>(
    writer: &mut FrameWriter<W>,
    message: &KeeperFrame,
) -> frame::Result<()> {
    time::timeout(SEND_TIMEOUT, writer.send(message))
        .await
        .unwrap_or_else(|_| {
            let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
            Err(frame::FrameError::Connection(error))
        })
}

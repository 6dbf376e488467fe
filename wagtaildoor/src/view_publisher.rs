//! Publishes a keeper's view to the entries connected to it, and serves their calls.

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

/// Interval between two platform age frames, which also show the entry that the keeper is alive.
pub const PLATFORM_AGE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two updates to one entry; changes in between are sent together.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for sending one frame to an entry.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the first frame of an entry.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Cache events buffered for a slow entry; if it falls further behind, events are dropped and a
/// gap is marked.
const CACHE_EVENT_CAPACITY: usize = 1024;
/// Maximum number of concurrent calls of one entry.
const MAX_CONCURRENT_CALLS: usize = 4096;

/// Handles the frames that an entry sends to a keeper.
pub trait EntryCallHandler: Clone + Send + Sync + 'static {
    /// Requests a claim from the log.
    fn claim(&self, call: ClaimCall) -> impl Future<Output = ClaimVerdict> + Send;

    /// Records an outcome or a release; returns true once it was read back from the log.
    fn record(&self, call: RecordCall) -> impl Future<Output = bool> + Send;

    /// Applies the endpoint status that came with a response.
    fn apply_endpoint_status(&self, status: EndpointNews) -> impl Future<Output = ()> + Send;

    /// Merges the entry's clock stamp into the keeper's clock and returns a keeper stamp.
    fn observe(&self, seen: ClockStamp) -> ClockStamp {
        seen
    }
}

/// The view in force on this host, published to the connected entries.
///
/// An entry receives a snapshot and then only changes. Changes are not queued per entry: a slow
/// entry receives the current state of everything that changed since its last update.
#[derive(Clone)]
pub struct ViewPublisher {
    /// State shared by all connections.
    shared: Arc<PublisherShared>,
}

/// State shared by all connections.
struct PublisherShared {
    /// View, with the version of each of its parts.
    state: Mutex<ViewState>,
    /// Newest version of the view.
    version: watch::Sender<u64>,
    cache_events: broadcast::Sender<Arc<PrefixNews>>,
    /// This host while it is leaving, otherwise `None`.
    leaving: watch::Sender<Option<HostId>>,
    /// Ends all connections when cancelled.
    token: CancellationToken,
}

impl ViewPublisher {
    /// Creates a publisher without a view; its connections end when the token is cancelled.
    pub fn new(token: CancellationToken) -> Self {
        let shared = PublisherShared {
            state: Mutex::new(ViewState::default()),
            version: watch::Sender::new(0),
            cache_events: broadcast::Sender::new(CACHE_EVENT_CAPACITY),
            leaving: watch::Sender::new(None),
            token,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Replaces the view; entries receive only what changed.
    pub fn publish(&self, view: KeeperView) {
        let version = self.lock_state().replace_view(view, Instant::now());
        self.notify_version(version);
    }

    /// Applies new or changed endpoints.
    pub fn publish_endpoints(&self, endpoints: Vec<EndpointView>) {
        let version = self.lock_state().merge_endpoints(endpoints, Instant::now());
        self.notify_version(version);
    }

    /// Replaces the list of entry hosts.
    pub fn publish_hosts(&self, hosts: Vec<HostView>) {
        let version = self.lock_state().replace_hosts(hosts, Instant::now());
        self.notify_version(version);
    }

    /// Sends a cache event to all entries.
    pub fn publish_cache_event(&self, event: PrefixNews) {
        // Fails only if no entry is connected.
        let _ = self.shared.cache_events.send(Arc::new(event));
    }

    /// Tells entries to use another keeper; calls in progress are still answered.
    pub fn leave(&self, host: HostId) {
        self.shared.leaving.send_replace(Some(host));
    }

    /// Serves one entry until it disconnects, misses a timeout or the token is cancelled.
    pub async fn serve<S, H>(&self, stream: S, handler: H) -> frame::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send,
        H: EntryCallHandler,
    {
        let (reads, writes) = tokio::io::split(stream);
        let (replies, outbox) = mpsc::channel(MAX_CONCURRENT_CALLS);
        let token = self.shared.token.child_token();
        let _guard = token.clone().drop_guard();
        let server = CallServer {
            handler,
            replies,
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
        };
        tokio::select! {
            () = token.cancelled() => Ok(()),
            result = server.read_frames(reads) => result,
            result = self.write_frames(writes, outbox) => result,
        }
    }

    /// Sends replies, the view and its changes, platform ages and cache events.
    async fn write_frames<S>(
        &self,
        stream: WriteHalf<S>,
        mut outbox: mpsc::Receiver<KeeperFrame>,
    ) -> frame::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send,
    {
        let mut writer = FrameWriter::new(stream);
        let mut version = self.shared.version.subscribe();
        let mut cache_events = CacheEventReader::new(self.shared.cache_events.subscribe());
        let mut age_ticks = time::interval(PLATFORM_AGE_INTERVAL);
        let mut leaving = self.shared.leaving.subscribe();
        let mut is_leaving_sent = false;
        let mut sent_version = 0;
        let mut next_update_at = Instant::now();
        version.mark_changed();
        loop {
            let update = async {
                time::sleep_until(next_update_at).await;
                version.changed().await
            };
            tokio::select! {
                reply = outbox.recv() => match reply {
                    Some(reply) => send(&mut writer, &reply).await?,
                    None => return Ok(()),
                },
                _ = age_ticks.tick() => {
                    let age = self.lock_state().platform_age_ms(Instant::now());
                    if let Some(age) = age {
                        send(&mut writer, &KeeperFrame::PlatformAgeMs(age)).await?;
                    }
                }
                changed = update => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let frames = self.lock_state().frames_since(&mut sent_version, Instant::now());
                    for frame in frames {
                        send(&mut writer, &frame).await?;
                    }
                    next_update_at = Instant::now() + MIN_UPDATE_INTERVAL;
                }
                host = wait_until_leaving(&mut leaving), if !is_leaving_sent => {
                    is_leaving_sent = true;
                    send(&mut writer, &KeeperFrame::Leaving(host)).await?;
                }
                event = cache_events.next() => match event {
                    Some(event) => send(&mut writer, &KeeperFrame::PrefixNews(event)).await?,
                    None => return Ok(()),
                },
            }
        }
    }

    /// Locks the state. A poisoned lock is fine, since each change is a single assignment.
    fn lock_state(&self) -> MutexGuard<'_, ViewState> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Wakes the connections if the version is newer.
    fn notify_version(&self, version: u64) {
        self.shared.version.send_if_modified(|held| {
            let is_newer = version > *held;
            *held = version.max(*held);
            is_newer
        });
    }
}

/// Cache events for one entry, with gap marks where events were dropped.
struct CacheEventReader {
    source: broadcast::Receiver<Arc<PrefixNews>>,
    /// Endpoints marked with a gap since the last drop; `None` if nothing was dropped.
    marked_endpoints: Option<HashSet<EndpointId>>,
}

impl CacheEventReader {
    fn new(source: broadcast::Receiver<Arc<PrefixNews>>) -> Self {
        Self {
            source,
            marked_endpoints: None,
        }
    }

    /// Returns the next cache event; `None` once the publisher is dropped.
    async fn next(&mut self) -> Option<PrefixNews> {
        loop {
            match self.source.recv().await {
                Ok(event) => return Some(self.mark_gap(&event)),
                Err(broadcast::error::RecvError::Lagged(_)) => {
                    self.marked_endpoints = Some(HashSet::new());
                }
                Err(broadcast::error::RecvError::Closed) => return None,
            }
        }
    }

    /// Returns the event, marked with a gap if earlier ones of its endpoint may have been dropped.
    fn mark_gap(&mut self, event: &PrefixNews) -> PrefixNews {
        let mut marked = event.clone();
        if let Some(marked_endpoints) = &mut self.marked_endpoints {
            marked.gap |= marked_endpoints.insert(marked.endpoint.clone());
        }
        marked
    }
}

/// Runs the calls of one entry.
struct CallServer<H> {
    handler: H,
    /// Queue of frames to send to the entry.
    replies: mpsc::Sender<KeeperFrame>,
    /// Limits the number of concurrent calls.
    permits: Arc<Semaphore>,
}

impl<H: EntryCallHandler> CallServer<H> {
    /// Reads frames until the entry disconnects.
    async fn read_frames<S>(self, stream: ReadHalf<S>) -> frame::Result<()>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send,
    {
        let mut reader = FrameReader::new(stream);
        let hello = time::timeout(HELLO_TIMEOUT, reader.next()).await;
        let Ok(Some(EntryFrame::Hello(hello))) = hello.unwrap_or(Ok(None)) else {
            return Ok(());
        };
        self.handler.observe(hello.stamp);
        while let Some(entry_frame) = reader.next().await? {
            self.handle_frame(entry_frame).await;
        }
        Ok(())
    }

    /// Handles one frame; waits while too many calls are in progress.
    async fn handle_frame(&self, entry_frame: EntryFrame) {
        match entry_frame {
            EntryFrame::Hello(hello) => {
                self.handler.observe(hello.stamp);
            }
            EntryFrame::Claim(call) => self.claim(call).await,
            EntryFrame::Record(call) => self.record(call).await,
            EntryFrame::News(status) => self.handler.apply_endpoint_status(status).await,
            EntryFrame::Ping(stamp) => {
                let stamp = self.handler.observe(stamp);
                let _ = self.replies.send(KeeperFrame::Pong(stamp)).await;
            }
        }
    }

    /// Starts a claim, which completes even if the entry disconnects: the log may already hold it.
    async fn claim(&self, call: ClaimCall) {
        let call_id = call.call;
        let handler = self.handler.clone();
        let work = async move { handler.claim(call).await };
        self.spawn_call(work, move |verdict| {
            KeeperFrame::ClaimReply(ClaimReply {
                call: call_id,
                verdict,
            })
        })
        .await;
    }

    /// Starts a record call, which completes like a claim even if the entry disconnects.
    async fn record(&self, call: RecordCall) {
        let call_id = call.call;
        let handler = self.handler.clone();
        let work = async move { handler.record(call).await };
        self.spawn_call(work, move |recorded| {
            KeeperFrame::RecordReply(RecordReply {
                call: call_id,
                recorded,
            })
        })
        .await;
    }

    /// Runs a call in its own task and queues its reply.
    async fn spawn_call<T, F>(&self, work: impl Future<Output = T> + Send + 'static, reply: F)
    where
        F: FnOnce(T) -> KeeperFrame + Send + 'static,
        T: Send + 'static,
    {
        let permit = Arc::clone(&self.permits).acquire_owned().await;
        let replies = self.replies.clone();
        tokio::spawn(async move {
            let answer = work.await;
            // The entry may have disconnected; the call took effect regardless.
            let _ = replies.send(reply(answer)).await;
            drop(permit);
        });
    }
}

/// Waits until the keeper is leaving and returns its host.
async fn wait_until_leaving(leaving: &mut watch::Receiver<Option<HostId>>) -> HostId {
    let host = leaving.wait_for(Option::is_some).await;
    match host.ok().and_then(|host| host.clone()) {
        Some(host) => host,
        None => std::future::pending().await,
    }
}

/// Sends one frame; fails if the entry does not read it within `SEND_TIMEOUT`.
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

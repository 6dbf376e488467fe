//! One connection from an entry to a keeper, with the calls that wait on it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use tokio::{
    io::{
        ReadHalf,
        WriteHalf, //
    },
    net::TcpStream,
    sync::{
        mpsc,
        oneshot, //
    },
    time,
};
use tokio_util::sync::{
    CancellationToken,
    DropGuard, //
};

use crate::{
    frame::{
        FrameReader,
        FrameWriter, //
    },
    schema::{
        ClaimVerdict,
        EntryFrame,
        EntryHello,
        KeeperFrame,
        KeeperView, //
    },
};

/// Longest time to a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to the first view, and between two frames of a keeper that lives.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to the first view of a keeper.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames on their way to the keeper.
const OUTBOX_FRAMES: usize = 1024;

/// Number of a call on its connection.
pub type CallNumber = u64;

/// What a keeper answers a call.
#[derive(Debug)]
pub enum CallAnswer {
    /// Answer to a claim.
    Verdict(ClaimVerdict),
    /// Answer to a record.
    Recorded(bool),
}

/// What became of a call.
#[derive(Debug)]
pub enum CallResult {
    /// The keeper answered.
    Answered(CallAnswer),
    /// The call was not sent, and will not be.
    NotSent,
    /// The call may have reached the keeper; no answer came.
    Lost,
}

/// The sending side of a connection to a keeper.
pub struct KeeperConnection {
    /// Frames on their way.
    outbox: mpsc::Sender<EntryFrame>,
    /// Calls that wait for their answers.
    pending: Arc<PendingCalls>,
    /// Ends the writer with the connection.
    _guard: DropGuard,
}

/// The receiving side of a connection to a keeper.
pub struct KeeperFeed {
    /// Source of frames.
    reader: FrameReader<ReadHalf<TcpStream>>,
    /// Calls that wait for their answers; all are lost with the feed.
    pending: Arc<PendingCalls>,
}

/// A connection on which the keeper has shown its view.
pub struct OpenedConnection {
    /// Sending side.
    pub connection: Arc<KeeperConnection>,
    /// Receiving side.
    pub feed: KeeperFeed,
    /// First view.
    pub view: KeeperView,
}

/// Calls without an answer.
#[derive(Default)]
struct PendingCalls {
    /// Who waits for each call; `None` once the connection is lost.
    calls: Mutex<PendingState>,
}

/// State of the calls without an answer.
#[derive(Default)]
struct PendingState {
    /// The connection is lost: no call may wait any more.
    closed: bool,
    /// Who waits for each call.
    waiting: HashMap<CallNumber, oneshot::Sender<CallAnswer>>,
}

/// Connects to a keeper and waits for its view; `None` when it gives none in time.
pub async fn open(address: SocketAddr, hello: &EntryHello) -> Option<OpenedConnection> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    // Without it a claim may wait for the answer to the frame before; a failure costs only that.
    let _ = stream.set_nodelay(true);
    let (reads, writes) = tokio::io::split(stream);
    let pending = Arc::new(PendingCalls::default());
    let mut feed = KeeperFeed {
        reader: FrameReader::new(reads),
        pending: Arc::clone(&pending),
    };
    let connection = KeeperConnection::start(writes, pending);
    let greeting = EntryFrame::Hello(hello.clone());
    connection.outbox.try_send(greeting).ok()?;
    let first = time::timeout(FIRST_VIEW_TIMEOUT, feed.first_view()).await;
    Some(OpenedConnection {
        connection: Arc::new(connection),
        feed,
        view: first.ok()??,
    })
}

impl KeeperConnection {
    /// A connection whose writer runs until it is dropped.
    fn start(stream: WriteHalf<TcpStream>, pending: Arc<PendingCalls>) -> Self {
        let (outbox, frames) = mpsc::channel(OUTBOX_FRAMES);
        let token = CancellationToken::new();
        let writer = write(stream, frames);
        let ended = token.clone();
        tokio::spawn(async move { ended.run_until_cancelled_owned(writer).await });
        Self {
            outbox,
            pending,
            _guard: token.drop_guard(),
        }
    }

    /// Sends a call and waits for its answer.
    pub async fn call(&self, number: CallNumber, call: EntryFrame, wait: Duration) -> CallResult {
        let deadline = time::Instant::now() + wait;
        let Ok(Ok(permit)) = time::timeout_at(deadline, self.outbox.reserve()).await else {
            return CallResult::NotSent;
        };
        let Some(answer) = self.pending.add(number) else {
            return CallResult::NotSent;
        };
        let _waiting = PendingGuard {
            pending: &self.pending,
            number,
        };
        permit.send(call);
        match time::timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => CallResult::Answered(answer),
            Ok(Err(_)) | Err(_) => CallResult::Lost,
        }
    }

    /// Sends a frame that has no answer; it is dropped when the connection is busy.
    pub fn tell(&self, frame: EntryFrame) {
        // Hints only: the keeper's own reading of endpoints makes up for a lost one.
        let _ = self.outbox.try_send(frame);
    }
}

impl KeeperFeed {
    /// The next frame that is not an answer; `None` when the connection is lost or silent.
    pub async fn next(&mut self) -> Option<KeeperFrame> {
        loop {
            let frame = time::timeout(SILENCE_TIMEOUT, self.reader.next()).await;
            match frame.ok()?.ok()?? {
                KeeperFrame::ClaimReply(reply) => {
                    let answer = CallAnswer::Verdict(reply.verdict);
                    self.pending.answer(reply.call, answer);
                }
                KeeperFrame::RecordReply(reply) => {
                    let answer = CallAnswer::Recorded(reply.recorded);
                    self.pending.answer(reply.call, answer);
                }
                other => return Some(other),
            }
        }
    }

    /// Reads until no call waits any more.
    pub async fn finish(mut self) {
        while !self.pending.state().waiting.is_empty() {
            if self.next().await.is_none() {
                return;
            }
        }
    }

    /// Reads up to the first view.
    async fn first_view(&mut self) -> Option<KeeperView> {
        loop {
            if let KeeperFrame::View(view) = self.next().await? {
                return Some(view);
            }
        }
    }
}

impl Drop for KeeperFeed {
    fn drop(&mut self) {
        self.pending.close();
    }
}

impl PendingCalls {
    /// Adds a call; `None` when the connection is lost.
    fn add(&self, number: CallNumber) -> Option<oneshot::Receiver<CallAnswer>> {
        let mut state = self.state();
        if state.closed {
            return None;
        }
        let (sender, answer) = oneshot::channel();
        state.waiting.insert(number, sender);
        Some(answer)
    }

    /// Hands an answer to whoever waits; an answer that comes too late is dropped.
    fn answer(&self, number: CallNumber, answer: CallAnswer) {
        if let Some(waiting) = self.state().waiting.remove(&number) {
            let _ = waiting.send(answer);
        }
    }

    /// Ends all waiting.
    fn close(&self) {
        let mut state = self.state();
        state.closed = true;
        state.waiting.clear();
    }

    /// The state; each change of it is one step, so that a panic leaves it whole.
    fn state(&self) -> MutexGuard<'_, PendingState> {
        self.calls
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Takes a call off the list when its caller stops waiting.
struct PendingGuard<'a> {
    /// Calls that wait.
    pending: &'a PendingCalls,
    /// Call to take off.
    number: CallNumber,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.state().waiting.remove(&self.number);
    }
}

/// Writes frames until the connection fails.
async fn write(stream: WriteHalf<TcpStream>, mut frames: mpsc::Receiver<EntryFrame>) {
    let mut writer = FrameWriter::new(stream);
    while let Some(frame) = frames.recv().await {
        if writer.send(&frame).await.is_err() {
            return;
        }
    }
}

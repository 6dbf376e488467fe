//! A connection from an entry to a keeper, with its pending calls.

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

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest gap between two frames, after which the keeper counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout from the `Hello` frame to the first view.
const FIRST_VIEW_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames queued for sending to the keeper.
const OUTBOX_CAPACITY: usize = 1024;

/// Identifies a call on its connection.
pub type CallId = u64;

/// A keeper's reply to a call.
#[derive(Debug)]
pub enum CallReply {
    /// Reply to a claim.
    Verdict(ClaimVerdict),
    /// Reply to a record call: whether the record is known to be in the log.
    Recorded(bool),
}

/// Outcome of a call.
#[derive(Debug)]
pub enum CallResult {
    /// The keeper replied.
    Answered(CallReply),
    /// The call was not sent, and never will be.
    NotSent,
    /// The call may have reached the keeper, but no reply arrived.
    Lost,
}

/// The sending half of a connection to a keeper.
pub struct KeeperConnection {
    /// Queue of frames to send.
    outbox: mpsc::Sender<EntryFrame>,
    pending: Arc<PendingCalls>,
    /// Stops the writer task when the connection is dropped.
    _guard: DropGuard,
}

/// The receiving half of a connection to a keeper.
pub struct KeeperReceiver {
    reader: FrameReader<ReadHalf<TcpStream>>,
    /// Pending calls; dropping the receiver ends all of them without a reply.
    pending: Arc<PendingCalls>,
}

/// A connection on which the keeper has sent its view.
pub struct OpenedConnection {
    /// Sending half.
    pub connection: Arc<KeeperConnection>,
    /// Receiving half.
    pub receiver: KeeperReceiver,
    /// First view that the keeper sent.
    pub view: KeeperView,
}

/// Calls that have not been answered yet.
#[derive(Default)]
struct PendingCalls {
    state: Mutex<PendingCallState>,
}

#[derive(Default)]
struct PendingCallState {
    /// Set once the connection is lost; no more calls are accepted.
    is_closed: bool,
    /// Reply channel of each call.
    waiting: HashMap<CallId, oneshot::Sender<CallReply>>,
}

/// Connects to a keeper and waits for its first view; `None` on an error or a timeout.
pub async fn open_connection(address: SocketAddr, hello: &EntryHello) -> Option<OpenedConnection> {
    let connecting = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    // Without TCP_NODELAY a claim may wait for the acknowledgement of the previous frame; if
    // setting it fails, only latency suffers.
    let _ = stream.set_nodelay(true);
    let (reads, writes) = tokio::io::split(stream);
    let pending = Arc::new(PendingCalls::default());
    let mut receiver = KeeperReceiver {
        reader: FrameReader::new(reads),
        pending: Arc::clone(&pending),
    };
    let connection = KeeperConnection::start(writes, pending);
    let hello_frame = EntryFrame::Hello(hello.clone());
    connection.outbox.try_send(hello_frame).ok()?;
    let first = time::timeout(FIRST_VIEW_TIMEOUT, receiver.read_first_view()).await;
    Some(OpenedConnection {
        connection: Arc::new(connection),
        receiver,
        view: first.ok()??,
    })
}

impl KeeperConnection {
    /// Starts the writer task, which runs until the connection is dropped.
    fn start(stream: WriteHalf<TcpStream>, pending: Arc<PendingCalls>) -> Self {
        let (outbox, frames) = mpsc::channel(OUTBOX_CAPACITY);
        let token = CancellationToken::new();
        let writer = write_frames(stream, frames);
        let writer_token = token.clone();
        tokio::spawn(async move { writer_token.run_until_cancelled_owned(writer).await });
        Self {
            outbox,
            pending,
            _guard: token.drop_guard(),
        }
    }

    /// Sends a call and waits for the reply, at most for `timeout`.
    pub async fn call(&self, call_id: CallId, call: EntryFrame, timeout: Duration) -> CallResult {
        let deadline = time::Instant::now() + timeout;
        let Ok(Ok(permit)) = time::timeout_at(deadline, self.outbox.reserve()).await else {
            return CallResult::NotSent;
        };
        let Some(call_reply) = self.pending.register(call_id) else {
            return CallResult::NotSent;
        };
        let _waiting = PendingGuard {
            pending: &self.pending,
            call_id,
        };
        permit.send(call);
        match time::timeout_at(deadline, call_reply).await {
            Ok(Ok(call_reply)) => CallResult::Answered(call_reply),
            Ok(Err(_)) | Err(_) => CallResult::Lost,
        }
    }

    /// Sends a frame that has no reply; drops it if the queue is full.
    pub fn try_send(&self, frame: EntryFrame) {
        // Such frames are only hints: the keeper polls the endpoints itself, which makes up for a
        // lost one.
        let _ = self.outbox.try_send(frame);
    }
}

impl KeeperReceiver {
    /// Returns the next frame that isn't a reply; `None` if the connection is lost or silent.
    pub async fn next_frame(&mut self) -> Option<KeeperFrame> {
        loop {
            let frame = time::timeout(SILENCE_TIMEOUT, self.reader.next()).await;
            match frame.ok()?.ok()?? {
                KeeperFrame::ClaimReply(reply) => {
                    let call_reply = CallReply::Verdict(reply.verdict);
                    self.pending.complete(reply.call, call_reply);
                }
                KeeperFrame::RecordReply(reply) => {
                    let call_reply = CallReply::Recorded(reply.recorded);
                    self.pending.complete(reply.call, call_reply);
                }
                other => return Some(other),
            }
        }
    }

    /// Reads until no call is pending or the connection is lost.
    pub async fn drain_replies(mut self) {
        while !self.pending.lock_state().waiting.is_empty() {
            if self.next_frame().await.is_none() {
                return;
            }
        }
    }

    /// Skips frames up to the first view.
    async fn read_first_view(&mut self) -> Option<KeeperView> {
        loop {
            if let KeeperFrame::View(view) = self.next_frame().await? {
                return Some(view);
            }
        }
    }
}

impl Drop for KeeperReceiver {
    fn drop(&mut self) {
        self.pending.close();
    }
}

impl PendingCalls {
    /// Registers a call; `None` if the connection is lost.
    fn register(&self, call_id: CallId) -> Option<oneshot::Receiver<CallReply>> {
        let mut state = self.lock_state();
        if state.is_closed {
            return None;
        }
        let (sender, call_reply) = oneshot::channel();
        state.waiting.insert(call_id, sender);
        Some(call_reply)
    }

    /// Passes a reply to its caller; drops it if the caller has stopped waiting.
    fn complete(&self, call_id: CallId, call_reply: CallReply) {
        if let Some(waiting) = self.lock_state().waiting.remove(&call_id) {
            let _ = waiting.send(call_reply);
        }
    }

    /// Ends all pending calls without a reply and rejects new ones.
    fn close(&self) {
        let mut state = self.lock_state();
        state.is_closed = true;
        state.waiting.clear();
    }

    /// Locks the state. A poisoned lock is fine, since every change is a single step.
    fn lock_state(&self) -> MutexGuard<'_, PendingCallState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Removes a call from the pending calls when its caller stops waiting.
struct PendingGuard<'a> {
    pending: &'a PendingCalls,
    call_id: CallId,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.lock_state().waiting.remove(&self.call_id);
    }
}

/// Writes queued frames until the connection fails.
async fn write_frames(stream: WriteHalf<TcpStream>, mut frames: mpsc::Receiver<EntryFrame>) {
    let mut writer = FrameWriter::new(stream);
    while let Some(frame) = frames.recv().await {
        if writer.send(&frame).await.is_err() {
            return;
        }
    }
}

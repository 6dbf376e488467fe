//! Body of an HTTP response: complete in memory, or streamed chunk by chunk.

use std::{
    pin::Pin,
    task::{
        ready,
        Context,
        Poll, //
    },
};

use bytes::Bytes;
use http_body::{
    Body,
    Frame,
    SizeHint, //
};
use tokio::sync::mpsc;

/// Error of a streamed body that ends early. The connection to the caller has to be aborted.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the response stream was interrupted")]
pub struct StreamInterrupted;

/// Result of reading the next chunk of a streamed body.
pub type Result<T> = std::result::Result<T, StreamInterrupted>;

/// Response body for callers of a daemon.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Chunks, in the order in which they arrive.
    Streamed(mpsc::Receiver<Result<Bytes>>),
}

impl ResponseBody {
    /// Creates a body that is complete.
    pub fn full(body: impl Into<Bytes>) -> Self {
        Self::Full(Some(body.into()))
    }

    /// Creates a streamed body that buffers up to `capacity` chunks, and the sender of its chunks.
    pub fn streamed(capacity: usize) -> (mpsc::Sender<Result<Bytes>>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self::Streamed(receiver))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        match self.get_mut() {
            ResponseBody::Full(body) => {
                let body = body.take().filter(|body| !body.is_empty());
                Poll::Ready(body.map(|body| Ok(Frame::data(body))))
            }
            ResponseBody::Streamed(chunks) => {
                let chunk = ready!(chunks.poll_recv(context));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(body) if body.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}

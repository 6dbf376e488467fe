//! Body of an answer to a caller: whole, or relayed as it comes.

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

/// A relayed body ends before it is complete; the caller's connection has to break off.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the answer broke off")]
pub struct StreamInterrupted;

/// Result of the next part of a relayed body.
pub type Result<T> = std::result::Result<T, StreamInterrupted>;

/// Body of an answer.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it; `None` once it was given out.
    Full(Option<Bytes>),
    /// Parts as they come.
    Streamed(mpsc::Receiver<Result<Bytes>>),
}

impl ResponseBody {
    /// A whole body.
    pub fn full(body: impl Into<Bytes>) -> Self {
        Self::Full(Some(body.into()))
    }

    /// A relayed body that holds so many parts, and where its parts go in.
    pub fn streamed(held_parts: usize) -> (mpsc::Sender<Result<Bytes>>, Self) {
        let (sender, receiver) = mpsc::channel(held_parts);
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
            ResponseBody::Streamed(parts) => {
                let part = ready!(parts.poll_recv(context));
                Poll::Ready(part.map(|part| part.map(Frame::data)))
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

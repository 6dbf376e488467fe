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
pub struct RelayBroken;

/// Result of the next part of a relayed body.
pub type Result<T> = std::result::Result<T, RelayBroken>;

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it; `None` once it was given out.
    Whole(Option<Bytes>),
    /// Parts as they come.
    Relayed(mpsc::Receiver<Result<Bytes>>),
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(body: impl Into<Bytes>) -> Self {
        Self::Whole(Some(body.into()))
    }

    /// A relayed body that holds so many parts, and where its parts go in.
    pub fn relayed(held_parts: usize) -> (mpsc::Sender<Result<Bytes>>, Self) {
        let (sender, receiver) = mpsc::channel(held_parts);
        (sender, Self::Relayed(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = RelayBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => {
                let body = body.take().filter(|body| !body.is_empty());
                Poll::Ready(body.map(|body| Ok(Frame::data(body))))
            }
            AnswerBody::Relayed(parts) => {
                let part = ready!(parts.poll_recv(context));
                Poll::Ready(part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(body) if body.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            AnswerBody::Relayed(_) => SizeHint::default(),
        }
    }
}

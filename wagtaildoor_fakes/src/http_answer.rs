//! Answers that the stand-ins share.

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use rocket::{
    http::{
        ContentType,
        Header,
        Status, //
    },
    response::{
        self,
        Responder, //
    },
    Request,
    Response, //
};
use tokio::io::{
    AsyncRead,
    AsyncSeek,
    ReadBuf, //
};

/// Length that a cut answer promises, in bytes.
const PROMISED_BYTES: usize = 16;

/// The work was refused: it did not run.
#[derive(Clone, Copy, Debug)]
pub struct NotRunAnswer;

impl<'r> Responder<'r, 'static> for NotRunAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        Response::build()
            .status(Status::ServiceUnavailable)
            .header(Header::new("x-not-run", "true"))
            .header(ContentType::Plain)
            .ok()
    }
}

/// The connection breaks before the answer is whole.
#[derive(Clone, Copy, Debug)]
pub struct CutAnswer;

impl<'r> Responder<'r, 'static> for CutAnswer {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        Response::build()
            .status(Status::Ok)
            .sized_body(PROMISED_BYTES, BrokenBody)
            .ok()
    }
}

/// A body that breaks at its first byte.
#[derive(Clone, Copy, Debug)]
struct BrokenBody;

impl AsyncRead for BrokenBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        _buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

impl AsyncSeek for BrokenBody {
    fn start_seek(self: Pin<&mut Self>, _position: io::SeekFrom) -> io::Result<()> {
        Ok(())
    }

    fn poll_complete(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Poll::Ready(Ok(0))
    }
}

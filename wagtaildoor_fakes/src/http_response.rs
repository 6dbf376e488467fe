//! HTTP responses shared by the fakes.

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

/// Content length announced by a truncated response, in bytes.
const PROMISED_BYTES: usize = 16;

/// Response to a refused request (503 with `x-not-run`): the request did not run.
#[derive(Clone, Copy, Debug)]
pub struct NotRunResponse;

impl<'r> Responder<'r, 'static> for NotRunResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        Response::build()
            .status(Status::ServiceUnavailable)
            .header(Header::new("x-not-run", "true"))
            .header(ContentType::Plain)
            .ok()
    }
}

/// Response whose connection is closed before the body is complete.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedResponse;

impl<'r> Responder<'r, 'static> for TruncatedResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> response::Result<'static> {
        Response::build()
            .status(Status::Ok)
            .sized_body(PROMISED_BYTES, BrokenBody)
            .ok()
    }
}

/// A body whose first read fails.
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

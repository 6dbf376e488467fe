//! Connection that tells whether its request has left this process.

use std::{
    cell::Cell,
    io::{
        self,
        IoSlice, //
    },
    pin::Pin,
    rc::Rc,
    task::{
        ready,
        Context,
        Poll, //
    },
};

use hyper::rt::{
    Read,
    ReadBufCursor,
    Write, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// How far the request on a connection was written.
#[derive(Debug, Default)]
pub(super) struct WriteProgress {
    /// Size of the request's body, in bytes.
    body_bytes: Cell<usize>,
    /// Bytes that the operating system has taken since the request began.
    written_bytes: Cell<usize>,
    /// Whether nothing of the request waits to be written.
    is_flushed: Cell<bool>,
}

impl WriteProgress {
    /// Begins with a request.
    pub(super) fn begin(&self, body_bytes: usize) {
        self.body_bytes.set(body_bytes);
        self.written_bytes.set(0);
        self.is_flushed.set(false);
    }

    /// Whether the operating system has taken the whole request.
    pub(super) fn is_complete(&self) -> bool {
        self.is_flushed.get()
    }

    fn record_write(&self, bytes: usize) {
        self.written_bytes.set(self.written_bytes.get() + bytes);
    }

    /// The HTTP library flushes when it holds nothing back, which it may do between head and body.
    fn record_flush(&self) {
        if self.written_bytes.get() > self.body_bytes.get() {
            self.is_flushed.set(true);
        }
    }
}

/// TCP stream that records how far a request was written.
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TokioIo<TcpStream>,
    progress: Rc<WriteProgress>,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, progress: Rc<WriteProgress>) -> Self {
        Self {
            stream: TokioIo::new(stream),
            progress,
        }
    }
}

impl Read for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl Write for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, data))?;
        self.progress.record_write(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, data))?;
        self.progress.record_write(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

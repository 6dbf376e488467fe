//! Frames between the system's own processes: a version byte, then the message in postcard.

use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::{
    SinkExt,
    StreamExt, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use tokio::io::{
    AsyncRead,
    AsyncWrite, //
};
use tokio_util::codec::{
    FramedRead,
    FramedWrite,
    LengthDelimitedCodec, //
};

/// Version of the frames this release writes and reads.
pub const FRAME_VERSION: u8 = 1;

/// Largest frame over TCP, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Result of work with frames.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Why a frame could not be written or read.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum FrameError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Connection(std::io::Error),
    /// The frame has a version that this release does not know.
    #[display("frame version {_0} is unknown")]
    Version(#[error(not(source))] u8),
    /// The frame holds no message of the expected type.
    #[display("frame is malformed: {_0}")]
    Malformed(postcard::Error),
    /// The frame has no byte.
    #[display("frame is empty")]
    Empty,
}

/// Writes a message into a frame.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes> {
    let head = vec![FRAME_VERSION];
    let frame = postcard::to_extend(message, head).map_err(FrameError::Malformed)?;
    Ok(Bytes::from(frame))
}

/// Reads a message from a frame.
pub fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M> {
    let (&version, message) = frame.split_first().ok_or(FrameError::Empty)?;
    if version != FRAME_VERSION {
        return Err(FrameError::Version(version));
    }
    postcard::from_bytes(message).map_err(FrameError::Malformed)
}

/// Reads messages from a byte stream.
pub struct FrameReader<R> {
    /// Frames by length.
    inner: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// A reader over a byte stream.
    pub fn new(stream: R) -> Self {
        Self {
            inner: FramedRead::new(stream, length_codec()),
        }
    }

    /// The next message; `None` at the end of the stream.
    pub async fn next<M: DeserializeOwned>(&mut self) -> Result<Option<M>> {
        let Some(frame) = self.inner.next().await else {
            return Ok(None);
        };
        let frame: BytesMut = frame.map_err(FrameError::Connection)?;
        decode(&frame).map(Some)
    }
}

/// Writes messages to a byte stream.
pub struct FrameWriter<W> {
    /// Frames by length.
    inner: FramedWrite<W, LengthDelimitedCodec>,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// A writer over a byte stream.
    pub fn new(stream: W) -> Self {
        Self {
            inner: FramedWrite::new(stream, length_codec()),
        }
    }

    /// Writes one message and flushes it.
    pub async fn send<M: Serialize>(&mut self, message: &M) -> Result<()> {
        let frame = encode(message)?;
        self.inner.send(frame).await.map_err(FrameError::Connection)
    }
}

/// Frames with a length of four bytes before them.
fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

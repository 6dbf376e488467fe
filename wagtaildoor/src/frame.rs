//! Frames between the processes of the system: a version byte, then the message in postcard.

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

/// Version of the frames that this release writes and reads.
pub const FRAME_VERSION: u8 = 1;

/// Maximum size of a frame over TCP.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Result of reading or writing a frame.
pub type Result<T> = std::result::Result<T, FrameError>;

/// Error while reading or writing a frame.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum FrameError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Connection(std::io::Error),
    /// This release does not know the version of the frame.
    #[display("frame version {_0} is unknown")]
    Version(#[error(not(source))] u8),
    /// The frame does not contain a message of the expected type.
    #[display("frame is malformed: {_0}")]
    Malformed(postcard::Error),
    /// The frame has no bytes.
    #[display("frame is empty")]
    Empty,
}

/// Serializes a message as postcard, after a byte with the version of the frames.
pub fn encode<M: Serialize>(message: &M) -> Result<Bytes> {
    let head = vec![FRAME_VERSION];
    let frame = postcard::to_extend(message, head).map_err(FrameError::Malformed)?;
    Ok(Bytes::from(frame))
}

/// Deserializes the message of a frame.
pub fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<M> {
    let (&version, message) = frame.split_first().ok_or(FrameError::Empty)?;
    if version != FRAME_VERSION {
        return Err(FrameError::Version(version));
    }
    postcard::from_bytes(message).map_err(FrameError::Malformed)
}

/// Reads messages from a byte stream.
pub struct FrameReader<R> {
    inner: FramedRead<R, LengthDelimitedCodec>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader for a byte stream.
    pub fn new(stream: R) -> Self {
        Self {
            inner: FramedRead::new(stream, length_codec()),
        }
    }

    /// Reads the next message; `None` at the end of the stream.
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
    inner: FramedWrite<W, LengthDelimitedCodec>,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Creates a writer for a byte stream.
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

/// Codec that prefixes each frame with its length in four bytes.
fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

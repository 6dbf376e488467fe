//! Reads the body of a request within a limit, and discards the rest of one that is too large.

use std::time::Duration;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time;

/// Bytes of a refused body that are read and dropped.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of reading a body.
pub type Result<T, E> = std::result::Result<T, BodyError<E>>;

/// Reason why a body was not read completely.
#[derive(Debug, derive_more::Display)]
pub enum BodyError<E> {
    /// The body is larger than the limit.
    #[display("the body is too large")]
    TooLarge,
    /// The connection failed, or the body is malformed.
    #[display("{_0}")]
    Unreadable(E),
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is larger or ends early. The unread rest stays in `body`.
pub async fn read_limited<B>(body: &mut B, limit: usize) -> Result<Bytes, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Unreadable)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// Reads and drops the rest of a refused body, within limits of bytes and time.
///
/// A connection that is closed while its caller still writes is reset, and the reset can overtake
/// the response.
pub async fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let read = async {
        let mut discarded = 0;
        while let Some(Ok(frame)) = body.frame().await {
            discarded += frame.data_ref().map_or(0, Bytes::len);
            if discarded > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // After the timeout, the caller is cut off without having read its response.
    let _ = time::timeout(DISCARD_TIMEOUT, read).await;
}

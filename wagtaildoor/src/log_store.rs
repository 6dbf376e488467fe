//! The interface to the platform's append-only log.

use std::{
    future::Future,
    time::Duration, //
};

use crate::{
    ids::LogOffset,
    schema::{
        LogAppended,
        LogPage, //
    },
};

/// Result of a call to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// Why a call to the log did not succeed.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum LogError {
    /// The call did not reach the log, or the log refused it: nothing was appended.
    #[display("log unavailable: {_0}")]
    Unavailable(#[error(not(source))] Box<str>),
    /// No answer came: an append may have taken effect, or may still do so.
    #[display("log answer lost: {_0}")]
    Uncertain(#[error(not(source))] Box<str>),
    /// The log's answer makes no sense.
    #[display("log answer malformed: {_0}")]
    Malformed(#[error(not(source))] Box<str>),
}

/// An append-only log of named streams with offsets, shared by all hosts.
///
/// Offsets of a stream start at 1 and have no gaps; the log's own times never fall along a
/// stream. Old records go after the retention time.
pub trait LogStore: Clone + Send + Sync + 'static {
    /// Appends one record. An answer can be lost after the record was stored.
    fn append(
        &self,
        stream: &str,
        data: Box<str>,
    ) -> impl Future<Output = Result<LogAppended>> + Send;

    /// Reads up to `limit` records from offset `from` on, and waits up to `wait` for the first.
    ///
    /// When `from` lies before the oldest record kept, the page starts there, and its `first`
    /// is greater than `from`.
    fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<LogPage>> + Send;
}

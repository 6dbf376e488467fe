//! Interface of the external append-only log.

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

/// Result of a request to the log.
pub type Result<T> = std::result::Result<T, LogError>;

/// Error of a request to the log.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum LogError {
    /// The request did not reach the log, or the log refused it. Nothing was appended.
    #[display("log unavailable: {_0}")]
    Unavailable(#[error(not(source))] Box<str>),
    /// No response arrived. An append may have taken effect or may still do so.
    #[display("log answer lost: {_0}")]
    Uncertain(#[error(not(source))] Box<str>),
    /// The response of the log cannot be parsed.
    #[display("log answer malformed: {_0}")]
    Malformed(#[error(not(source))] Box<str>),
}

/// An append-only log of named streams, shared by all hosts.
///
/// The offsets of a stream start at 1 and have no gaps. The times that the log assigns never
/// decrease within a stream. Records are dropped after the retention.
pub trait LogStore: Clone + Send + Sync + 'static {
    /// Appends one record. The response can be lost after the record was stored.
    fn append(
        &self,
        stream: &str,
        data: Box<str>,
    ) -> impl Future<Output = Result<LogAppended>> + Send;

    /// Reads up to `limit` records starting at offset `from`, and waits up to `wait` for the first.
    ///
    /// If `from` is older than the oldest record that the log keeps, the page starts at that record
    /// and its `first` is greater than `from`.
    fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<LogPage>> + Send;
}

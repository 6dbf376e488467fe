//! Finds out whether an engine has ended when one of its answers broke off.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    time::{
        self,
        Instant, //
    },
};
use wagtaildoor::ids::EngineStart;

/// Timeout of the connection attempt to an engine whose answer broke off. One that has ended refuses
/// at once; one behind a cut link stays silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the begin of an answer during which a crash counts against its prompt.
const BLAME_TIME: Duration = Duration::from_secs(2);

/// An answer that an engine has begun.
#[derive(Clone, Copy, Debug)]
pub struct BegunAnswer {
    /// Start of the engine.
    pub engine: EngineStart,
    /// When the head of the answer arrived.
    pub begun_at: Instant,
}

impl BegunAnswer {
    /// Whether a crash of the engine now counts against the prompt.
    pub fn is_recent(&self) -> bool {
        self.begun_at.elapsed() < BLAME_TIME
    }
}

/// Whether nothing listens at an engine's address any more.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let attempt = time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    matches!(attempt.await, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

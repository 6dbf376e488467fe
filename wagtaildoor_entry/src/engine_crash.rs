//! Finds out whether an engine has ended when one of its answers broke off.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use tokio::{
    net::TcpStream,
    time, //
};

/// Timeout of the connection attempt to an engine whose answer broke off. One that has ended refuses
/// at once; one behind a cut link stays silent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether nothing listens at an engine's address any more.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let attempt = time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    matches!(attempt.await, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

//! Where datagrams go out and come in.

use std::{
    future::Future,
    io,
    net::SocketAddr, //
};

use bytes::Bytes;
use tokio::net::UdpSocket;

use crate::peer_datagram::DATAGRAM_LIMIT_BYTES;

/// Result of sending or receiving.
pub type Result<T> = io::Result<T>;

/// A datagram that came in.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDatagram {
    /// Address it came from.
    pub from: SocketAddr,
    /// Its bytes.
    pub bytes: Bytes,
}

/// A place where datagrams go out and come in; they may be lost, late, twice or out of order.
pub trait DatagramTransport: Send + Sync + 'static {
    /// Sends a datagram.
    fn send(&self, bytes: Bytes, to: SocketAddr) -> impl Future<Output = Result<()>> + Send;

    /// Waits for the next datagram; nothing is lost when the wait is given up.
    fn receive(&self) -> impl Future<Output = Result<ReceivedDatagram>> + Send;
}

/// A UDP socket.
pub struct UdpTransport {
    /// The socket.
    socket: UdpSocket,
}

impl UdpTransport {
    /// Opens a socket.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// The address it has.
    pub fn local_address(&self) -> Result<SocketAddr> {
        self.socket.local_addr()
    }
}

impl DatagramTransport for UdpTransport {
    async fn send(&self, bytes: Bytes, to: SocketAddr) -> Result<()> {
        self.socket.send_to(&bytes, to).await.map(drop)
    }

    async fn receive(&self) -> Result<ReceivedDatagram> {
        // One byte more than allowed, so that a larger datagram shows itself.
        let mut buffer = [0; DATAGRAM_LIMIT_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut buffer).await?;
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        Ok(ReceivedDatagram { from, bytes })
    }
}

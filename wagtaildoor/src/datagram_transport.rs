//! Interface for sending and receiving datagrams, with an implementation over UDP.

use std::{
    future::Future,
    io,
    net::SocketAddr, //
};

use bytes::Bytes;
use tokio::net::UdpSocket;

use crate::peer_datagram::MAX_DATAGRAM_BYTES;

/// Result of sending or receiving a datagram.
pub type Result<T> = io::Result<T>;

/// Bytes of one datagram, and where they came from.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDatagram {
    /// Source address.
    pub from: SocketAddr,
    /// Payload.
    pub bytes: Bytes,
}

/// Sends and receives datagrams, which may be lost, delayed, duplicated or reordered.
pub trait DatagramTransport: Send + Sync + 'static {
    /// Sends a datagram; success doesn't mean that it arrives.
    fn send(&self, bytes: Bytes, to: SocketAddr) -> impl Future<Output = Result<()>> + Send;

    /// Waits for the next datagram. Cancel safe: dropping the future loses no datagram.
    fn receive(&self) -> impl Future<Output = Result<ReceivedDatagram>> + Send;
}

/// A datagram transport over a UDP socket.
pub struct UdpTransport {
    socket: UdpSocket,
}

impl UdpTransport {
    /// Binds a socket to `address`; port 0 selects a free port. Fails if it is in use or not local.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_address(&self) -> Result<SocketAddr> {
        self.socket.local_addr()
    }
}

impl DatagramTransport for UdpTransport {
    async fn send(&self, bytes: Bytes, to: SocketAddr) -> Result<()> {
        self.socket.send_to(&bytes, to).await.map(drop)
    }

    async fn receive(&self) -> Result<ReceivedDatagram> {
        // One byte more than allowed, so that an oversized datagram is detected by its length.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, from) = self.socket.recv_from(&mut buffer).await?;
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        Ok(ReceivedDatagram { from, bytes })
    }
}

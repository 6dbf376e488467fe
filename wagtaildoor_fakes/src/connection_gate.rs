//! TCP relay in front of a fake's server, for faults that HTTP servers cannot produce.

use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    sync::watch,
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    connection_state::ConnectionState,
    response_framing::{
        FramingMode,
        ResponseFraming, //
    },
};

/// Time that responses get to break off after a crash before their connections are closed.
const BREAK_OFF_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between two attempts to listen again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after a failed `accept`, for instance when the process has no free file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Size of a relay buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Result of a gate operation.
pub type Result<T> = io::Result<T>;

/// Accepts the connections of an endpoint and relays them to its server.
#[derive(Debug)]
pub struct ConnectionGate {
    listener: TcpListener,
    address: SocketAddr,
    state: watch::Receiver<ConnectionState>,
}

impl ConnectionGate {
    /// Listens on an address.
    pub async fn bind(
        address: SocketAddr,
        state: watch::Receiver<ConnectionState>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            state,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays connections to `server` until the token is cancelled.
    pub async fn run(mut self, server: SocketAddr, token: CancellationToken) {
        let mut crashes = self.state.borrow_and_update().crashes;
        loop {
            let accepted = tokio::select! {
                biased;
                () = token.cancelled() => return,
                () = wait_for_crash(&mut self.state, crashes) => None,
                accepted = self.listener.accept() => Some(accepted),
            };
            match accepted {
                None => {
                    let state = *self.state.borrow_and_update();
                    crashes = state.crashes;
                    drop(self.listener);
                    tokio::select! {
                        () = token.cancelled() => return,
                        listener = listen_again(self.address, state.down_until) => {
                            self.listener = listener;
                        }
                    }
                }
                Some(Ok((client, _))) => {
                    let state = self.state.clone();
                    tokio::spawn(serve_connection(client, server, state, crashes));
                }
                Some(Err(_)) => time::sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }
}

/// Returns when the number of crashes differs from `crashes`.
async fn wait_for_crash(state: &mut watch::Receiver<ConnectionState>, crashes: u64) {
    let crashed = state.wait_for(|state| state.crashes != crashes).await;
    // Without its endpoint, a connection ends with the server.
    if crashed.map(drop).is_err() {
        std::future::pending().await
    }
}

/// Listens on the address again at a point in time; until then, connections are refused.
async fn listen_again(address: SocketAddr, at: Option<Instant>) -> TcpListener {
    loop {
        // A bound socket that does not listen refuses connections and keeps the port.
        let reserved = reserve_address(address);
        time::sleep_until(at.unwrap_or_else(Instant::now)).await;
        if let Ok(listener) = reserved.and_then(|socket| socket.listen(LISTEN_BACKLOG)) {
            return listener;
        }
        time::sleep(BIND_RETRY_INTERVAL).await;
    }
}

/// Binds a socket without listening.
fn reserve_address(address: SocketAddr) -> Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Relays one connection until it ends, or until responses had time to break off after a crash.
async fn serve_connection(
    client: TcpStream,
    server: SocketAddr,
    state: watch::Receiver<ConnectionState>,
    crashes: u64,
) {
    let mut crash = state.clone();
    tokio::select! {
        // Either side may reset its connection; the other one is closed then.
        _ = relay(client, server, state, crashes) => {}
        () = async {
            wait_for_crash(&mut crash, crashes).await;
            time::sleep(BREAK_OFF_TIMEOUT).await;
        } => {}
    }
}

/// Copies requests to the server and responses to the client, with the connection faults.
async fn relay(
    mut client: TcpStream,
    server: SocketAddr,
    mut state: watch::Receiver<ConnectionState>,
    crashes: u64,
) -> Result<()> {
    let mut server = TcpStream::connect(server).await?;
    server.set_nodelay(true)?;
    client.set_nodelay(true)?;
    let (mut from_client, mut to_client) = client.split();
    let (mut from_server, mut to_server) = server.split();
    let mut framing = ResponseFraming::default();
    let mut request_bytes = vec![0; BUFFER_BYTES];
    let mut response_bytes = vec![0; BUFFER_BYTES];
    let mut output = Vec::with_capacity(BUFFER_BYTES);
    let mut is_client_open = true;
    let mut has_crashed = false;
    loop {
        tokio::select! {
            () = wait_for_crash(&mut state, crashes), if !has_crashed => {
                has_crashed = true;
                if !framing.is_in_progress() {
                    return Ok(());
                }
            }
            read = from_server.read(&mut response_bytes) => {
                let read = read?;
                if read == 0 {
                    return Ok(());
                }
                let mode = framing_mode(&state, crashes);
                output.clear();
                let is_last = framing.pass_on(&response_bytes[..read], mode, &mut output);
                to_client.write_all(&output).await?;
                if is_last {
                    return Ok(());
                }
            }
            read = from_client.read(&mut request_bytes), if is_client_open && !has_crashed => {
                let read = read?;
                is_client_open = read > 0;
                if is_client_open {
                    framing.expect_response();
                    to_server.write_all(&request_bytes[..read]).await?;
                } else {
                    to_server.shutdown().await?;
                }
            }
        }
    }
}

/// Returns how responses are passed on in the current state.
fn framing_mode(state: &watch::Receiver<ConnectionState>, crashes: u64) -> FramingMode {
    let state = *state.borrow();
    match (state.crashes != crashes, state.close_delimited) {
        (true, _) => FramingMode::BrokenOff,
        (false, true) => FramingMode::CloseDelimited,
        (false, false) => FramingMode::Unchanged,
    }
}

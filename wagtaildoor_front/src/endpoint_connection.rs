//! Connection pool of one endpoint; a connection carries one request at a time.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    error::Error,
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    client::conn::http1::{
        self,
        SendRequest, //
    },
};
use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::{
    net::TcpStream,
    task,
    time, //
};
use wagtaildoor::boot_clock::BootInstant;

use crate::endpoint_connection::watched_stream::{
    WatchedStream,
    WriteProgress, //
};

mod watched_stream;

/// Timeout for opening a connection; hosts are a few milliseconds apart.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Interval between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is closed.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// Time that sent data may remain unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle timeout of a connection if the endpoint does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the endpoint's idle timeout that is used; the rest covers the network delay.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Longest idle time of a connection that is reused for a request that must not run twice, if the
/// endpoint does not announce its idle timeout. The endpoint may close it at any time, and a close
/// that crosses the request would leave the outcome unknown.
const MAX_UNANNOUNCED_IDLE_TIME: Duration = Duration::from_millis(1_000);

/// Result type for exchanges with an endpoint.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Reason why an exchange yielded no response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] Box<str>),
    /// At least part of the request was sent.
    #[display("answer lost: {_0}")]
    AnswerLost(#[error(not(source))] Box<str>),
}

/// Pool of connections to one endpoint.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    /// Idle connections; the most recently used one is last.
    idle: RefCell<Vec<IdleConnection>>,
    /// Number of open connections, including those in use.
    open: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: EndpointConnection,
    /// Time when the connection became idle.
    since: BootInstant,
    /// Idle time after which the connection is dropped.
    limit: Duration,
    /// Idle time after which the connection carries no request that must not run twice.
    at_most_once_limit: Duration,
}

/// Requests that an idle connection may be used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    /// The request may be sent again if its connection was closed meanwhile.
    Repeatable,
    /// The request must not run twice. The connection must have been idle only since after the
    /// given time.
    AtMostOnce(BootInstant),
    /// The connection must not have been idle for longer.
    IdleAtMost(Duration),
}

/// A connection that is reserved for one request at a time.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Sends requests on the connection.
    sender: SendRequest<Full<Bytes>>,
    /// Whether a request was already sent on the connection.
    used: bool,
    /// How far the last request was written.
    progress: Rc<WriteProgress>,
}

/// Counts an open connection until dropped.
struct OpenConnectionGuard(Rc<Cell<u32>>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl ConnectionPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
            open: Rc::new(Cell::new(0)),
        }
    }

    /// Number of open connections, including those in use.
    pub fn open_count(&self) -> u32 {
        self.open.get()
    }

    /// Takes the most recently used connection, unless it was idle for too long for this use.
    pub fn take_idle(&self, usage: ConnectionUse, now: BootInstant) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| kept.connection.is_usable() && now.since(kept.since) < kept.limit);
        let newest = idle.last()?;
        let idle_time = now.since(newest.since);
        let is_trusted = match usage {
            ConnectionUse::Repeatable => true,
            ConnectionUse::AtMostOnce(trusted_since) => {
                newest.since > trusted_since && idle_time <= newest.at_most_once_limit
            }
            ConnectionUse::IdleAtMost(max_idle) => idle_time <= max_idle,
        };
        if !is_trusted {
            return None;
        }
        idle.pop().map(|kept| kept.connection)
    }

    /// Opens a new connection, which is not part of the pool until [`put_idle`](Self::put_idle).
    pub async fn connect(&self) -> io::Result<EndpointConnection> {
        let stream = connect(self.address).await?;
        let progress = Rc::new(WriteProgress::default());
        let stream = WatchedStream::new(stream, progress.clone());
        let (sender, connection) = http1::handshake(stream).await.map_err(io::Error::other)?;
        self.open.set(self.open.get() + 1);
        let guard = OpenConnectionGuard(self.open.clone());
        task::spawn_local(async move {
            let _guard = guard;
            // The user of the connection sees the same error.
            let _ = connection.await;
        });
        Ok(EndpointConnection {
            sender,
            used: false,
            progress,
        })
    }

    /// Returns a connection to the pool after its response was read completely.
    ///
    /// `idle_limit` is the idle timeout that the endpoint announces.
    pub fn put_idle(
        &self,
        connection: EndpointConnection,
        idle_limit: Option<Duration>,
        now: BootInstant,
    ) {
        let limit = idle_limit.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.mul_f64(IDLE_TIMEOUT_FRACTION)
        });
        if limit.is_zero() || connection.sender.is_closed() {
            return;
        }
        self.idle.borrow_mut().push(IdleConnection {
            connection,
            since: now,
            limit,
            at_most_once_limit: match idle_limit {
                Some(_) => limit,
                None => MAX_UNANNOUNCED_IDLE_TIME,
            },
        });
    }

    /// Closes the connections that no request uses; those in use stay open.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

impl EndpointConnection {
    /// Whether a request was already sent on the connection.
    pub fn is_reused(&self) -> bool {
        self.used
    }

    /// Whether the connection is open and can send a request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the last request was written completely. An answer may begin before that.
    pub fn has_written_request(&self) -> bool {
        self.progress.is_complete()
    }

    /// Sends a request and waits for the response head.
    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.used = true;
        let body_bytes = request.body().size_hint().exact().unwrap_or_default();
        self.progress.begin(body_bytes as usize);
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let reason = format_error_chain(&error.into_error());
            if unsent {
                ExchangeError::NotSent(reason)
            } else {
                ExchangeError::AnswerLost(reason)
            }
        })
    }
}

/// Opens a TCP connection that detects the loss of the peer.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and closes the connection when the peer stops responding.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Formats an error and its causes on one line.
fn format_error_chain<E: Error>(error: &E) -> Box<str> {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text.into()
}

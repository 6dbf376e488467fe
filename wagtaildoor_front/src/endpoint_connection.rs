//! Connections to one endpoint: one request at a time on each.

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
    body::Incoming,
    client::conn::http1::{
        self,
        SendRequest, //
    },
};
use hyper_util::rt::TokioIo;
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

/// Longest time for a new connection; the hosts are some milliseconds apart.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without traffic after which a connection is probed.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between probes of a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is given up.
const MAX_KEEPALIVE_PROBES: u32 = 2;
/// Time that sent bytes may go without acknowledgement.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time an idle connection is kept when the endpoint names no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the endpoint's own idle limit that is used; the rest covers the way there.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Longest idle time of a connection that a request may be sent on which must not run twice; an
/// endpoint that drops idle connections without notice would turn it into an unknown outcome.
pub const MAX_AT_MOST_ONCE_IDLE_TIME: Duration = Duration::from_millis(1_000);

/// Result of an exchange with an endpoint.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Why an exchange brought no answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] Box<str>),
    /// The request was sent at least in part.
    #[display("answer lost: {_0}")]
    AnswerLost(#[error(not(source))] Box<str>),
}

/// Connections to one endpoint.
#[derive(Debug)]
pub struct ConnectionPool {
    /// Address.
    address: SocketAddr,
    /// Idle connections, the one used last at the end.
    idle: RefCell<Vec<IdleConnection>>,
    /// Connections that are open.
    open: Rc<Cell<u32>>,
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    /// Connection.
    connection: EndpointConnection,
    /// When it became idle.
    since: BootInstant,
    /// How long it may stay idle.
    limit: Duration,
}

/// A connection that no other request uses.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Sends requests.
    sender: SendRequest<Full<Bytes>>,
    /// Whether a request was sent on it before.
    used: bool,
}

/// Counts an open connection until it is dropped.
struct OpenConnectionGuard(Rc<Cell<u32>>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl ConnectionPool {
    /// No connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::new(Vec::new()),
            open: Rc::new(Cell::new(0)),
        }
    }

    /// Connections that are open.
    pub fn open_count(&self) -> u32 {
        self.open.get()
    }

    /// An idle connection that was used at most `max_idle` ago.
    pub fn take_idle(&self, max_idle: Duration, now: BootInstant) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|kept| kept.connection.is_usable() && now.since(kept.since) < kept.limit);
        let newest = idle.last()?;
        if now.since(newest.since) > max_idle {
            return None;
        }
        idle.pop().map(|kept| kept.connection)
    }

    /// A new connection.
    pub async fn connect(&self) -> io::Result<EndpointConnection> {
        let stream = connect(self.address).await?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        self.open.set(self.open.get() + 1);
        let guard = OpenConnectionGuard(self.open.clone());
        task::spawn_local(async move {
            let _guard = guard;
            // Whoever uses the connection sees its errors too.
            let _ = connection.await;
        });
        Ok(EndpointConnection {
            sender,
            used: false,
        })
    }

    /// Keeps a connection whose answer was read to its end.
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
        });
    }

    /// Closes idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}

impl EndpointConnection {
    /// Whether a request was sent on it before.
    pub fn is_reused(&self) -> bool {
        self.used
    }

    /// Whether a request can be sent on it.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request, and waits for the head of the answer.
    pub async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.used = true;
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

/// Opens a connection that notices when the other side is gone.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream)?;
    Ok(stream)
}

/// Makes a connection end by itself when the other side is silent.
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

/// An error with its causes, in one line.
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

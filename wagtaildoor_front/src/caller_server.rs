//! HTTP servers for callers, readiness checks and metrics, with a graceful shutdown.

use std::{
    cell::Cell, convert::Infallible, future::Future, io, net::SocketAddr, rc::Rc, time::Duration,
};

use http::{
    header,
    HeaderValue,
    Method,
    Request,
    Response,
    StatusCode, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        TcpStream, //
    },
    task,
    time, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::boot_clock::BootInstant;
use wagtaildoor_daemon::response_body::ResponseBody;

use crate::{
    caller_request,
    drain_schedule::DrainSchedule,
    endpoint_connection,
    front::Front,
    wire_codec::WireCodec, //
};

/// Length of the accept queue; bursts bring hundreds of connections at once.
const LISTEN_BACKLOG: u32 = 1_024;
/// Factor from the configured idle timeout to the time that a connection is kept open. Callers
/// reuse a connection for up to four fifths of the idle timeout.
const IDLE_TIMEOUT_FACTOR: u32 = 2;
/// Time after SIGTERM during which the balancer may still open new connections.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(3_200);
/// Interval between checks for open connections and requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum size of the HTTP read buffer, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 64 << 10;
/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Opens a listening IPv4 socket. The address can be reused right after another process closed it.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves callers until the process is asked to stop and its requests have ended.
pub async fn serve_callers<C: WireCodec>(front: Rc<Front>, listener: TcpListener) {
    let open_connections = Rc::new(Cell::new(0_usize));
    let closing = CancellationToken::new();
    let accept = accept_connections(&front, &listener, |stream| {
        let front = front.clone();
        let open_connections = open_connections.clone();
        // Counted here, so that the drain does not end before the connection's task begins.
        open_connections.set(open_connections.get() + 1);
        let closing = closing.clone();
        async move {
            // Connections accepted during the drain are served too, because the balancer may have
            // no other host for them.
            let closing = match closing.is_cancelled() {
                true => CancellationToken::new(),
                false => closing,
            };
            serve_connection::<C>(front, stream, closing).await;
            open_connections.set(open_connections.get() - 1);
        }
    });
    tokio::select! {
        () = accept => {}
        () = drain(&front, &open_connections, &closing) => {}
    }
}

/// Waits for SIGTERM, then for all requests and connections to end. Requests that take too long for that
/// get an answer in time before the exit.
async fn drain(front: &Front, open_connections: &Cell<usize>, closing: &CancellationToken) {
    front.stopping.cancelled().await;
    let schedule = DrainSchedule::from(front.settings.times.grace);
    let drain_started = front.stopping_since().unwrap_or_else(BootInstant::now);
    while drain_started.elapsed() < schedule.exit {
        let elapsed = drain_started.elapsed();
        if elapsed >= schedule.answers_due && !front.answers_due.is_cancelled() {
            slog::info!(front.log, "last answers"; "requests" => front.in_flight.get());
            front.answers_due.cancel();
        }
        if elapsed >= schedule.answers_due.min(BALANCER_DRAIN_TIME) {
            closing.cancel();
            if open_connections.get() == 0 && front.in_flight.get() == 0 {
                break;
            }
        }
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    front.has_drained.set(true);
    slog::info!(front.log, "drained";
        "connections_left" => open_connections.get(),
        "requests_left" => front.in_flight.get(),
        "took_ms" => drain_started.elapsed().as_millis() as u64);
}

/// Accepts connections and spawns a task for each.
async fn accept_connections<F: Future<Output = ()> + 'static>(
    front: &Front,
    listener: &TcpListener,
    serve: impl Fn(TcpStream) -> F,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(serve(stream));
            }
            Err(error) => {
                slog::warn!(front.log, "accept failed"; "error" => %error);
                time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        }
    }
}

/// Serves the requests on one caller connection.
async fn serve_connection<C: WireCodec>(
    front: Rc<Front>,
    stream: TcpStream,
    closing: CancellationToken,
) {
    if let Err(error) = endpoint_connection::set_socket_options(&stream) {
        slog::debug!(front.log, "failed to set caller socket options"; "error" => %error);
    }
    let limits = front
        .routes()
        .map(|table| table.limits())
        .unwrap_or_default();
    let service = service_fn(|request: Request<Incoming>| {
        let front = front.clone();
        async move {
            let mut response = caller_request::handle_request::<C>(front.clone(), request).await;
            if front.stopping_since().is_some() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_TIMEOUT_FACTOR)
        .max_buf_size(MIN_READ_BUFFER_BYTES.max(limits.head_bytes * 2))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = result {
        slog::debug!(front.log, "caller connection failed"; "error" => %error);
    }
}

/// Serves readiness checks of the balancer.
pub async fn serve_readiness<C: WireCodec>(front: Rc<Front>, listener: TcpListener) {
    let ready = front.clone();
    serve_page(front, listener, move |request| {
        let is_ready_path = request.uri().path() == C::READY_PATH;
        let status = match (is_ready_path, ready.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, String::new())
    })
    .await;
}

/// Serves the metrics page.
pub async fn serve_metrics(front: Rc<Front>, listener: TcpListener) {
    let metrics = front.clone();
    serve_page(front, listener, move |request| {
        if request.method() == Method::GET && request.uri().path() == METRICS_PATH {
            (StatusCode::OK, metrics.metrics.render_text())
        } else {
            (StatusCode::NOT_FOUND, String::new())
        }
    })
    .await;
}

/// Serves responses that are computed without waiting.
async fn serve_page(
    front: Rc<Front>,
    listener: TcpListener,
    page: impl Fn(Request<Incoming>) -> (StatusCode, String) + Clone + 'static,
) {
    let log = front.log.clone();
    accept_connections(&front, &listener, |stream| {
        let page = page.clone();
        let log = log.clone();
        async move {
            let service = service_fn(|request| {
                let (status, text) = page(request);
                let mut response = Response::new(ResponseBody::full(text));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                slog::debug!(log, "page connection failed"; "error" => %error);
            }
        }
    })
    .await;
}

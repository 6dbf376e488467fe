//! HTTP server for tests that returns fixed responses by method and path, and records requests.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use serde::Serialize;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

/// Fixed response to requests of one route.
#[derive(Clone)]
struct CannedResponse {
    /// Method and path, for example `GET /status`.
    route: &'static str,
    /// HTTP status. With 0, the connection is closed without a response.
    status: u16,
    /// JSON body.
    body: String,
}

/// Request that the server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method, path and query, without the HTTP version.
    pub line: String,
    /// Request body as text.
    pub body: String,
}

/// HTTP server with fixed responses. Requests without a matching route get status 404.
#[derive(Clone, Default)]
pub struct CannedServer {
    responses: Vec<CannedResponse>,
    /// Received requests, oldest first.
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl CannedServer {
    /// Adds a response. The first matching response of a route is used.
    pub fn with_response(
        mut self,
        route: &'static str,
        status: u16,
        body: &impl Serialize,
    ) -> Self {
        let body = serde_json::to_string(body).expect("failed to serialize the body");
        self.responses.push(CannedResponse {
            route,
            status,
            body,
        });
        self
    }

    /// Starts the server on a free port of the loopback interface and returns the address.
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("failed to bind a port");
        let address = listener.local_addr().expect("the listener has no address");
        let server = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        address
    }

    /// Returns the received requests whose request line starts with `route`.
    pub fn requests_to(&self, route: &str) -> Vec<ReceivedRequest> {
        let requests = self.requests.lock().expect("the lock is poisoned");
        let to_route = requests
            .iter()
            .filter(|request| request.line.starts_with(route));
        to_route.cloned().collect()
    }

    /// Handles the single request of a connection.
    async fn serve(self, mut stream: TcpStream) {
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let is_match = |response: &&CannedResponse| {
            let rest = request.line.strip_prefix(response.route);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('?'))
        };
        let response = self.responses.iter().find(is_match).cloned();
        self.requests
            .lock()
            .expect("the lock is poisoned")
            .push(request);
        let (status, body) =
            response.map_or((404, String::new()), |found| (found.status, found.body));
        if status == 0 {
            return;
        }
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} Canned\r\ncontent-type: application/json\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n"
        );
        let sent = stream.write_all((head + &body).as_bytes()).await;
        drop(sent);
    }
}

/// Reads a request with its body. Returns `None` if the connection ends before that.
async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            if body.len() >= parse_content_length(head) {
                let line = head.lines().next()?.strip_suffix(" HTTP/1.1")?;
                return Some(ReceivedRequest {
                    line: line.to_string(),
                    body: body.to_string(),
                });
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// Parses the `content-length` header. The length is 0 if the header is missing or invalid.
fn parse_content_length(head: &str) -> usize {
    let lower = head.to_ascii_lowercase();
    let mut lines = lower.lines();
    let value = lines.find_map(|line| line.strip_prefix("content-length:"));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

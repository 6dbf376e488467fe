//! A server that gives prepared answers by method and path, and keeps what it was sent.

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

/// A prepared answer.
#[derive(Clone)]
struct CannedAnswer {
    /// Method and path, as `GET /status`.
    route: &'static str,
    /// HTTP status; 0 cuts the connection instead.
    status: u16,
    /// Body.
    body: String,
}

/// A request that came.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// Method, path and query.
    pub line: String,
    /// Body.
    pub body: String,
}

/// A server with prepared answers.
#[derive(Clone, Default)]
pub struct CannedServer {
    /// Answers.
    answers: Vec<CannedAnswer>,
    /// Requests so far.
    seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl CannedServer {
    /// The server with one more answer.
    pub fn answer(mut self, route: &'static str, status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_string(body).expect("a body");
        self.answers.push(CannedAnswer {
            route,
            status,
            body,
        });
        self
    }

    /// Starts the server on a free port.
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        address
    }

    /// Requests that came, to a route.
    pub fn seen(&self, route: &str) -> Vec<SeenRequest> {
        let seen = self.seen.lock().expect("requests");
        let to_route = seen.iter().filter(|one| one.line.starts_with(route));
        to_route.cloned().collect()
    }

    /// Answers one request.
    async fn serve(self, mut stream: TcpStream) {
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let fits = |answer: &&CannedAnswer| {
            let rest = request.line.strip_prefix(answer.route);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('?'))
        };
        let answer = self.answers.iter().find(fits).cloned();
        self.seen.lock().expect("requests").push(request);
        let (status, body) = answer.map_or((404, String::new()), |one| (one.status, one.body));
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

/// Reads a request with its body.
async fn read_request(stream: &mut TcpStream) -> Option<SeenRequest> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            if body.len() >= body_length(head) {
                let line = head.lines().next()?.strip_suffix(" HTTP/1.1")?;
                return Some(SeenRequest {
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

/// The length of the body that a head announces.
fn body_length(head: &str) -> usize {
    let lower = head.to_ascii_lowercase();
    let mut lines = lower.lines();
    let value = lines.find_map(|line| line.strip_prefix("content-length:"));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

//! HTTP/1.1 connection on which every byte is visible.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use serde::Serialize;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time,
};

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection without an HTTP client.
pub struct RawConnection {
    stream: TcpStream,
    address: SocketAddr,
}

impl RawConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("a connection");
        Self { stream, address }
    }

    /// Sends a GET request.
    pub async fn get(&mut self, path: &str) {
        let head = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", self.address);
        let sent = self.stream.write_all(head.as_bytes()).await;
        sent.expect("an open connection");
    }

    /// Posts a JSON body.
    pub async fn post(&mut self, path: &str, body: &impl Serialize) {
        let body = serde_json::to_string(body).expect("the body serializes to JSON");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            self.address,
            body.len(),
        );
        let sent = self.stream.write_all((head + &body).as_bytes()).await;
        sent.expect("an open connection");
    }

    /// Reads until the received text ends with `end`.
    pub async fn read_until(&mut self, end: &str) -> String {
        let mut text = String::new();
        while !text.ends_with(end) {
            let read = self.read_some().await;
            assert!(!read.is_empty(), "the connection ended after {text:?}");
            text.push_str(&read);
        }
        text
    }

    /// Reads until the server closes or resets the connection.
    pub async fn read_to_end(&mut self) -> String {
        let mut text = String::new();
        loop {
            let read = self.read_some().await;
            if read.is_empty() {
                return text;
            }
            text.push_str(&read);
        }
    }

    /// Reads what has arrived; empty once the connection has ended.
    async fn read_some(&mut self) -> String {
        let mut buffer = [0; 4096];
        let read = time::timeout(READ_TIMEOUT, self.stream.read(&mut buffer)).await;
        let count = read.expect("bytes or an end").unwrap_or(0);
        String::from_utf8_lossy(&buffer[..count]).into_owned()
    }
}

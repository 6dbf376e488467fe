//! A small HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as it was received.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What the server does with a connection after a request.
pub enum Next {
    Keep,
    Close,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> String {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let value = pairs
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value);
        decode(value)
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match (
            bytes[at],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

fn read_line<R: BufRead>(reader: &mut R) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line).into_owned();
    Ok(Some(text.trim_end_matches(['\r', '\n']).to_string()))
}

fn read_headers<R: BufRead>(reader: &mut R) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads chunks up to the last one. Fails if they end early.
fn read_chunks<R: BufRead>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        let mut have = 0;
        while have < size {
            match reader.read(&mut chunk[have..])? {
                0 => {
                    body.extend_from_slice(&chunk[..have]);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                read => have += read,
            }
        }
        body.extend_from_slice(&chunk);
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads a request; `None` if the connection has ended before it.
pub fn read_request<R: BufRead>(reader: &mut R) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_string(), query.to_string());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        read_chunks(reader, &mut body)?;
    } else {
        body.resize(find(&headers, "content-length").parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        path,
        query,
        headers,
        body,
    }))
}

/// Writes a whole response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {status} S\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Serves connections with a thread each, until the process ends.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<Next> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read_half) = stream.try_clone() else {
                    return;
                };
                let (mut reader, mut writer) = (BufReader::new(read_half), stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    match handler(&request, &mut writer) {
                        Ok(Next::Keep) => {}
                        _ => return,
                    }
                }
            });
        }
    });
}

/// How a request of a client ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer has come to its end, as the protocol marks it.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// A client that keeps its connection.
pub struct Client {
    /// Bytes that are written at once, and the pause after them; without it, all at once.
    pub pace: Option<(usize, Duration)>,
    address: SocketAddr,
    connection: Option<(BufReader<TcpStream>, TcpStream)>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            pace: None,
            address,
            connection: None,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the answer. The connection is kept if the answer allows it.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
        wait: Duration,
    ) -> Answer {
        let mut answer = Answer::default();
        let keeps = self.exchange(method, path, headers, body, wait, &mut answer);
        if !matches!(keeps, Ok(true)) {
            self.connection = None;
        }
        answer
    }

    fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
        wait: Duration,
        answer: &mut Answer,
    ) -> io::Result<bool> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some((BufReader::new(stream.try_clone()?), stream));
        }
        let (reader, writer) = self.connection.as_mut().expect("connected");
        writer.set_read_timeout(Some(wait))?;
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\n{headers}content-length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        match self.pace {
            None => {
                out.extend_from_slice(body);
                writer.write_all(&out)?;
            }
            Some((bytes, pause)) => {
                writer.write_all(&out)?;
                for piece in body.chunks(bytes) {
                    writer.write_all(piece)?;
                    thread::sleep(pause);
                }
            }
        }
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        answer.headers = read_headers(reader)?;
        if answer
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            let mut received = Vec::new();
            let end = read_chunks(reader, &mut received);
            answer.body = received;
            end?;
        } else if !answer.header("content-length").is_empty() {
            let length = answer.header("content-length").parse().unwrap_or(0);
            let mut received = Vec::new();
            reader.by_ref().take(length).read_to_end(&mut received)?;
            answer.body = received;
            if (answer.body.len() as u64) < length {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        } else {
            let mut received = Vec::new();
            reader.read_to_end(&mut received)?;
            answer.body = received;
            answer.whole = true;
            return Ok(false);
        }
        answer.whole = true;
        Ok(!answer.header("connection").eq_ignore_ascii_case("close"))
    }
}

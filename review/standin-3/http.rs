//! The part of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Head and body of a message. Header names are in lower case, values are raw bytes.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Parameter of the query, without decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or("");
        code.parse().unwrap_or(0)
    }
}

/// Reads the start line and the headers. `None` if the connection ends before the first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    message.start = String::from_utf8_lossy(&line).trim_end().to_string();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.strip_suffix(b"\n").unwrap_or(&line);
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some(colon) = text.iter().position(|&byte| byte == b':') {
            let name = String::from_utf8_lossy(&text[..colon]).to_lowercase();
            let value = text[colon + 1..].trim_ascii().to_vec();
            message.headers.push((name, value));
        }
    }
}

/// Reads a body with a length or in chunks. Without either, `to_end` says whether it lasts until the
/// connection ends.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    to_end: bool,
) -> io::Result<()> {
    let coding = message.header("transfer-encoding").unwrap_or_default();
    if coding.to_lowercase().contains("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = message.header("content-length") {
        let length = length.parse().unwrap_or(0);
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    if to_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves a listener with a thread for each connection. `handle` answers one request; an error ends the
/// connection.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    let is_read = read_body(&mut reader, &mut request, false).is_ok();
                    if !is_read || handle(&request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
    /// Number of requests sent on it so far.
    pub requests: u32,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self {
            reader: BufReader::new(stream),
            requests: 0,
        })
    }

    /// Sends a request and reads the complete answer.
    pub fn exchange(&mut self, head: &str, body: &[u8]) -> io::Result<Message> {
        self.requests += 1;
        let mut stream = self.reader.get_ref();
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let head = read_head(&mut self.reader)?;
        let mut answer = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut self.reader, &mut answer, true)?;
        Ok(answer)
    }
}

//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request or a response.
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| &**value)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Value of a parameter in the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    /// Status of a response.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }
}

/// Reads a message with a length or in chunks. `None` at the end of the connection; an error if the
/// message is cut short.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first_line: first_line.trim_end().into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        message
            .headers
            .push((name.trim().into(), value.trim().into()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().into())
}

/// Builds a response with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

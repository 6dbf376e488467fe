//! Framing of HTTP/1.1 responses on one connection, which faults remove or break off.

/// Separates the lines of a head and of chunks.
const LINE_END: &[u8] = b"\r\n";
/// Ends a response head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Headers that describe the framing or the connection, in lowercase.
const FRAMING_HEADERS: [&str; 4] = [
    "content-length",
    "transfer-encoding",
    "connection",
    "keep-alive",
];
/// Radix of chunk sizes.
const CHUNK_SIZE_RADIX: u32 = 16;

/// How a response is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FramingMode {
    /// Unchanged.
    Unchanged,
    /// Without a content length or chunks; its end is the end of the connection.
    CloseDelimited,
    /// Without the end marker of a chunked body.
    BrokenOff,
}

/// Part of a response that the next byte belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponsePart {
    Head,
    /// Remaining bytes of a body with a content length.
    SizedBody(u64),
    ChunkSize,
    /// Remaining bytes of a chunk, including its line end.
    Chunk(u64),
    /// Trailers after the last chunk.
    Trailer,
    /// A body that ends with the connection.
    OpenBody,
}

/// Tracks the responses on one connection.
#[derive(Debug)]
pub struct ResponseFraming {
    part: ResponsePart,
    /// Bytes of the current head, chunk size or trailer line.
    line: Vec<u8>,
    /// Whether the current response lost its framing.
    is_close_delimited: bool,
    /// Whether a request was sent whose response is not complete.
    is_in_progress: bool,
}

impl Default for ResponseFraming {
    fn default() -> Self {
        Self {
            part: ResponsePart::Head,
            line: Vec::new(),
            is_close_delimited: false,
            is_in_progress: false,
        }
    }
}

impl ResponseFraming {
    /// Notes that a request was sent.
    pub fn expect_response(&mut self) {
        self.is_in_progress = true;
    }

    /// Whether a response is expected or not complete.
    pub fn is_in_progress(&self) -> bool {
        self.is_in_progress
    }

    /// Appends what is passed on of `input` to `output`. Returns whether the connection ends then.
    pub fn pass_on(&mut self, input: &[u8], mode: FramingMode, output: &mut Vec<u8>) -> bool {
        for &byte in input {
            if self.pass_byte(byte, mode, output) {
                self.is_in_progress = false;
                if self.is_close_delimited || mode == FramingMode::BrokenOff {
                    return true;
                }
            }
        }
        false
    }

    /// Passes one byte on. Returns whether it was the last of its response.
    fn pass_byte(&mut self, byte: u8, mode: FramingMode, output: &mut Vec<u8>) -> bool {
        let is_framed = !self.is_close_delimited;
        match self.part {
            ResponsePart::OpenBody => output.push(byte),
            ResponsePart::SizedBody(left) => {
                output.push(byte);
                return self.end_sized_body(left - 1);
            }
            ResponsePart::Chunk(left) => {
                if is_framed || left > LINE_END.len() as u64 {
                    output.push(byte);
                }
                self.part = match left - 1 {
                    0 => ResponsePart::ChunkSize,
                    left => ResponsePart::Chunk(left),
                };
            }
            ResponsePart::Head => {
                self.line.push(byte);
                if self.line.ends_with(HEAD_END) {
                    return self.end_head(mode, output);
                }
            }
            ResponsePart::ChunkSize | ResponsePart::Trailer => {
                self.line.push(byte);
                if self.line.ends_with(LINE_END) {
                    return self.end_line(mode, output);
                }
            }
        }
        false
    }

    /// Reads a whole head and passes it on. Returns whether the response has no body.
    fn end_head(&mut self, mode: FramingMode, output: &mut Vec<u8>) -> bool {
        let head = String::from_utf8_lossy(&std::mem::take(&mut self.line)).into_owned();
        let status = head.split(' ').nth(1).unwrap_or_default();
        if status.starts_with('1') {
            output.extend_from_slice(head.as_bytes());
            return false;
        }
        self.is_close_delimited = mode == FramingMode::CloseDelimited;
        if self.is_close_delimited {
            output.extend_from_slice(unframed_head(&head).as_bytes());
        } else {
            output.extend_from_slice(head.as_bytes());
        }
        let length = header_value(&head, "content-length").and_then(|text| text.parse().ok());
        if ["204", "304"].contains(&status) {
            return self.end_sized_body(0);
        }
        match (header_value(&head, "transfer-encoding"), length) {
            (Some(_), _) => self.part = ResponsePart::ChunkSize,
            (None, Some(length)) => return self.end_sized_body(length),
            (None, None) => self.part = ResponsePart::OpenBody,
        }
        false
    }

    /// Sets the bytes left of a body. Returns whether the response is complete.
    fn end_sized_body(&mut self, left: u64) -> bool {
        self.part = match left {
            0 => ResponsePart::Head,
            left => ResponsePart::SizedBody(left),
        };
        left == 0
    }

    /// Handles a chunk size or a trailer line. Returns whether the response is complete.
    fn end_line(&mut self, mode: FramingMode, output: &mut Vec<u8>) -> bool {
        let line = std::mem::take(&mut self.line);
        let text = String::from_utf8_lossy(&line);
        let is_trailer = self.part == ResponsePart::Trailer;
        let digits = text.split([';', '\r']).next().unwrap_or_default();
        let size = u64::from_str_radix(digits.trim(), CHUNK_SIZE_RADIX).unwrap_or(0);
        let is_last = is_trailer || size == 0;
        if is_last && mode == FramingMode::BrokenOff {
            return true;
        }
        if !self.is_close_delimited {
            output.extend_from_slice(&line);
        }
        let is_complete = is_trailer && line == LINE_END;
        self.part = match (is_complete, is_last) {
            (true, _) => ResponsePart::Head,
            (false, true) => ResponsePart::Trailer,
            (false, false) => ResponsePart::Chunk(size + LINE_END.len() as u64),
        };
        is_complete
    }
}

/// Returns a head whose response ends with its connection.
fn unframed_head(head: &str) -> String {
    let is_kept = |line: &&str| {
        let name = line.split(':').next().unwrap_or_default();
        !line.is_empty() && !FRAMING_HEADERS.contains(&&*name.to_ascii_lowercase())
    };
    let lines: Vec<&str> = head.split("\r\n").filter(is_kept).collect();
    format!("{}\r\nconnection: close\r\n\r\n", lines.join("\r\n"))
}

/// Returns the value of the first header with a name.
fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

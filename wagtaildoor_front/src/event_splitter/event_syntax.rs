//! Form of server-sent events: where they end, and which fields they have.

/// Fields that a client of server-sent events knows.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];
/// Mark of the byte order, which may stand before the first event.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Offset after the last complete event.
pub(super) fn last_event_end(data: &[u8]) -> Option<usize> {
    let plain = data.windows(2).rposition(|pair| pair == b"\n\n");
    let plain = plain.map(|offset| offset + 2);
    let crlf = data.windows(4).rposition(|four| four == b"\r\n\r\n");
    plain.max(crlf.map(|offset| offset + 4))
}

/// Offset after the first complete event.
pub(super) fn first_event_end(data: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(offset) = data[from..].iter().position(|&byte| byte == b'\n') {
        from += offset + 1;
        match &data[from..] {
            [b'\n', ..] => return Some(from + 1),
            [b'\r', b'\n', ..] => return Some(from + 2),
            _ => {}
        }
    }
    None
}

/// Whether an event consists of comments and delays for reconnecting, which need no id.
pub(super) fn is_comment(event: &[u8]) -> bool {
    let is_comment = |line: &[u8]| line.is_empty() || line.starts_with(b":");
    lines(event).all(|line| is_comment(line) || line.starts_with(b"retry:"))
}

/// Whether a text has the form of an event: fields and comments only, at least one field of them known.
/// The head of an HTTP response and plain text do not.
pub(super) fn has_event_form(event: &[u8]) -> bool {
    let mut has_known_field = false;
    for line in lines(event) {
        let is_known = EVENT_FIELDS.contains(&field_name(line));
        let has_value = line.is_empty() || line.contains(&b':');
        if !is_known && !has_value {
            return false;
        }
        has_known_field |= is_known;
    }
    has_known_field && !is_plain_text(event)
}

/// Whether a line is no field, known or not, since its name holds what no name does. Clients ignore
/// unknown fields, with or without a value.
pub(super) fn is_plain_text(event: &[u8]) -> bool {
    lines(event).any(|line| !field_name(line).iter().all(is_name_byte))
}

/// Id of the last event that has one.
pub(super) fn event_id(events: &[u8]) -> Option<u64> {
    let ids = lines(events).filter_map(|line| line.strip_prefix(b"id:"));
    let id = std::str::from_utf8(ids.last()?).ok()?;
    id.trim().parse().ok()
}

/// Name of the field in a line, which is empty for a comment.
fn field_name(line: &[u8]) -> &[u8] {
    let colon = line.iter().position(|&byte| byte == b':');
    &line[..colon.unwrap_or(line.len())]
}

/// Lines without their ends.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let lines = event.split(|&byte| byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Whether a byte may stand in the name of a field that is not known.
fn is_name_byte(byte: &u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_')
}

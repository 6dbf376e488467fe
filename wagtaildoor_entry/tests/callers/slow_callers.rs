//! Tests with callers that stop in the middle of a request or of an answer.

use std::time::{
    Duration,
    Instant, //
};

use serde_json::json;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
    time,
};
use wagtaildoor::error::ErrorKind;
use wagtaildoor_fakes::fake_engine::engine_faults::EngineFaults;

use crate::entry_rig::{
    EntryRig,
    BODY_LIMIT_BYTES,
    BODY_TIMEOUT_MS,
    DESK_TOKEN,
    ENDLESS_DEADLINE_MS,
    WAIT_TIMEOUT, //
};

const CHAT: &str = "/v1/chat/completions";
const COMPLETIONS: &str = "/v1/completions";

/// A partially sent request and the expected response.
struct PartialRequestCase {
    /// Name for assertion messages.
    name: &'static str,
    token: &'static str,
    /// Start of the status line.
    status: &'static str,
    /// Kind of the error in the body.
    kind: ErrorKind,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_half_sent_is_refused_in_time() {
    let rig = EntryRig::start().await;
    let cases = [
        PartialRequestCase {
            name: "body stops",
            token: DESK_TOKEN,
            status: "HTTP/1.1 408",
            kind: ErrorKind::BodyTimeout,
        },
        PartialRequestCase {
            name: "body stops and the token is wrong",
            token: "desk-tokem",
            status: "HTTP/1.1 401",
            kind: ErrorKind::Unauthorized,
        },
    ];
    for case in cases {
        let started_at = Instant::now();
        let text = send_partial_body(&rig, case.token, "{\"model\": \"plain\",").await;
        assert!(text.starts_with(case.status), "{}: {text}", case.name);
        let kind = format!("\"{}\"", case.kind);
        assert!(text.contains(&kind), "{}: {text}", case.name);
        if case.kind == ErrorKind::BodyTimeout {
            assert!(started_at.elapsed() >= Duration::from_millis(BODY_TIMEOUT_MS));
        }
    }
    assert_eq!(rig.endpoint_calls(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stops_within_its_first_bytes_is_refused_in_time() {
    let rig = EntryRig::start().await;
    let text = send_partial_body(&rig, DESK_TOKEN, "{\"model\"").await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

/// Sends a head and the start of its body, and reads the error response.
async fn send_partial_body(rig: &EntryRig, token: &str, body_start: &str) -> String {
    let mut stream = TcpStream::connect(rig.address).await.expect("a connection");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {token}\r\n\
         content-length: 500\r\n\r\n{body_start}"
    );
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    read_until(&mut stream, "}}").await
}

/// Reads until `marker` has been received. Panics after `WAIT_TIMEOUT`.
async fn read_until(stream: &mut TcpStream, marker: &str) -> String {
    let mut text = String::new();
    let read = async {
        let mut buffer = vec![0; 1 << 20];
        let mut searched = 0;
        while !text[searched..].contains(marker) {
            searched = text.len().saturating_sub(marker.len());
            let count = stream.read(&mut buffer).await.expect("bytes");
            assert!(count > 0, "the connection ended: {text}");
            // The entry sends only ASCII here.
            text.push_str(std::str::from_utf8(&buffer[..count]).expect("ASCII"));
        }
    };
    let waited = time::timeout(WAIT_TIMEOUT, read).await;
    assert!(waited.is_ok(), "no {marker}: {text}");
    text
}

/// Waits until the engine produces no more chunks, because the caller does not read.
async fn wait_for_stall(rig: &EntryRig) {
    let mut seen = 0;
    while seen == 0 || rig.engines[0].counts().chunks > seen {
        seen = rig.engines[0].counts().chunks;
        time::sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_stops_is_cut_at_the_deadline_and_told_so() {
    let rig = EntryRig::start().await;
    rig.engines[0].set_faults(EngineFaults {
        padding_bytes: 16 * 1024,
        ..EngineFaults::default()
    });
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    let mut stream = socket.connect(rig.address).await.expect("a connection");
    let body = json!({ "model": "endless", "prompt": "Go on.", "stream": true }).to_string();
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {DESK_TOKEN}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let started_at = Instant::now();
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    wait_for_stall(&rig).await;
    assert!(
        started_at.elapsed() < Duration::from_millis(ENDLESS_DEADLINE_MS),
        "the engine never stalled"
    );
    let cancelled = async {
        while rig.engines[0].counts().cancelled == 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = time::timeout(WAIT_TIMEOUT, cancelled).await;
    assert!(
        waited.is_ok(),
        "the engine still runs the request: {:?}",
        rig.engines[0].counts()
    );
    assert!(started_at.elapsed() >= Duration::from_millis(ENDLESS_DEADLINE_MS));
    let text = read_until(&mut stream, "\"retry_after_s\":1}}").await;
    let error = text.find("event:error").expect("an error event");
    assert!(
        text[error..].contains("\"deadline_passed\""),
        "{}",
        &text[error..]
    );
    let sent = text.matches("\"text\":").count();
    assert!(sent > 0, "no chunks were sent before the error");
}

/// A caller that writes on after its response was sent: the entry must read what it refuses, since
/// the reset of a closed connection overtakes the response.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_still_writes_gets_its_refusal() {
    let rig = EntryRig::start().await;
    let length = 40 * BODY_LIMIT_BYTES;
    let part = vec![b' '; 4 * BODY_LIMIT_BYTES];
    let mut stream = TcpStream::connect(rig.address).await.expect("a connection");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {DESK_TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("a head");
    for _ in 0..10 {
        time::sleep(Duration::from_millis(30)).await;
        stream.write_all(&part).await.expect("an open connection");
    }
    let mut text = vec![0; 12];
    time::timeout(WAIT_TIMEOUT, stream.read_exact(&mut text))
        .await
        .expect("an answer in time")
        .expect("an answer");
    assert_eq!(text, b"HTTP/1.1 413");
    assert_eq!(rig.endpoint_calls(), 0);
}

//! Callers that stop in the middle of a request or of an answer.

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
    BODY_TIMEOUT_MS,
    DESK_TOKEN,
    ENDLESS_DEADLINE_MS,
    PATIENCE, //
};

/// Route of chats.
const CHAT: &str = "/v1/chat/completions";
/// Route of text completions.
const COMPLETIONS: &str = "/v1/completions";

/// A request that stops in the middle, and what its caller is told.
struct HalfCase {
    /// Its name.
    name: &'static str,
    /// Bearer token.
    token: &'static str,
    /// Start of the answer.
    status: &'static str,
    /// Kind in the answer.
    kind: ErrorKind,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_half_sent_is_refused_in_time() {
    let rig = EntryRig::start().await;
    let cases = [
        HalfCase {
            name: "body stops",
            token: DESK_TOKEN,
            status: "HTTP/1.1 408",
            kind: ErrorKind::BodyTimeout,
        },
        HalfCase {
            name: "body stops and the token is wrong",
            token: "desk-tokem",
            status: "HTTP/1.1 401",
            kind: ErrorKind::Unauthorized,
        },
    ];
    for case in cases {
        let begun = Instant::now();
        let text = send_half(&rig, case.token, "{\"model\": \"plain\",").await;
        assert!(text.starts_with(case.status), "{}: {text}", case.name);
        let kind = format!("\"{}\"", case.kind);
        assert!(text.contains(&kind), "{}: {text}", case.name);
        if case.kind == ErrorKind::BodyTimeout {
            assert!(begun.elapsed() >= Duration::from_millis(BODY_TIMEOUT_MS));
        }
    }
    assert_eq!(rig.endpoint_calls(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stops_within_its_first_bytes_is_refused_in_time() {
    let rig = EntryRig::start().await;
    let text = send_half(&rig, DESK_TOKEN, "{\"model\"").await;
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
}

/// Sends the start of a body, and reads the refusal.
async fn send_half(rig: &EntryRig, token: &str, part: &str) -> String {
    let mut stream = TcpStream::connect(rig.address).await.expect("a connection");
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {token}\r\n\
         content-length: 500\r\n\r\n{part}"
    );
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    read_until(&mut stream, "}}").await
}

/// Reads until a mark has come, or fails.
async fn read_until(stream: &mut TcpStream, mark: &str) -> String {
    let mut text = String::new();
    let read = async {
        let mut buffer = vec![0; 1 << 20];
        let mut searched = 0;
        while !text[searched..].contains(mark) {
            searched = text.len().saturating_sub(mark.len());
            let count = stream.read(&mut buffer).await.expect("bytes");
            assert!(count > 0, "the connection ended: {text}");
            // What the entry sends here is plain ASCII.
            text.push_str(std::str::from_utf8(&buffer[..count]).expect("ASCII"));
        }
    };
    let waited = time::timeout(PATIENCE, read).await;
    assert!(waited.is_ok(), "no {mark}: {text}");
    text
}

/// Waits until the engine makes no more chunks.
async fn await_stall(rig: &EntryRig) {
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
    let begun = Instant::now();
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    await_stall(&rig).await;
    assert!(
        begun.elapsed() < Duration::from_millis(ENDLESS_DEADLINE_MS),
        "it never stalled"
    );
    let cancelled = async {
        while rig.engines[0].counts().cancelled == 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = time::timeout(PATIENCE, cancelled).await;
    assert!(
        waited.is_ok(),
        "the engine still works: {:?}",
        rig.engines[0].counts()
    );
    assert!(begun.elapsed() >= Duration::from_millis(ENDLESS_DEADLINE_MS));
    let text = read_until(&mut stream, "\"retry_after_s\":1}}").await;
    let error = text.find("event:error").expect("an error event");
    assert!(
        text[error..].contains("\"deadline_passed\""),
        "{}",
        &text[error..]
    );
    let sent = text.matches("\"text\":").count();
    assert!(sent > 0, "the pieces before the error are there");
}

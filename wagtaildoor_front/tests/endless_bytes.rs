//! Endpoints in trouble that send bytes without end: in a head, in a body, in an event.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    task::{
        self,
        LocalSet, //
    },
    time,
};
use wagtaildoor_front::{
    buffer_budget::BufferBudget,
    endpoint_connection::{
        ConnectionPool,
        ExchangeError, //
    },
    event_splitter::EventSplitter,
};

/// Serves one connection with `start`, then `repeated` until the other side closes. Returns the
/// number of bytes that it could send.
async fn send_without_end(listener: TcpListener, start: &'static str, repeated: Vec<u8>) -> usize {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await.expect("a request");
    let mut sent = start.len();
    stream.write_all(start.as_bytes()).await.expect("a start");
    while stream.write_all(&repeated).await.is_ok() {
        sent += repeated.len();
        assert!(sent < 64 << 20, "nobody closed");
    }
    sent
}

/// Sends a request to an endpoint that answers its head with `repeated` without end.
fn exchange_with_endless_head(start: &'static str, repeated: &[u8]) -> (ExchangeError, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let pool = ConnectionPool::new(listener.local_addr().expect("an address"));
        let server = task::spawn_local(send_without_end(listener, start, repeated.to_vec()));
        let mut connection = pool.connect().await.expect("a connection");
        let request = Request::get("/").body(Full::new(Bytes::new()));
        let answer = connection.exchange(request.expect("a request"));
        let answer = time::timeout(Duration::from_secs(10), answer).await;
        let error = answer.expect("in time").expect_err("no answer");
        drop(connection);
        (error, server.await.expect("the endpoint's count"))
    })
}

#[test]
fn a_head_without_end_is_cut_off_and_counts_as_lost() {
    let cases: [(&str, &[u8]); 4] = [
        ("HTTP/1.1 200 OK\r\nx-long: ", &[b'a'; 4_096]),
        ("HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n"),
        ("", &[0xfe; 4_096]),
        ("HTTP/1.1 ", &[b'2'; 4_096]),
    ];
    for (start, repeated) in cases {
        let (error, sent) = exchange_with_endless_head(start, repeated);
        assert!(
            matches!(error, ExchangeError::AnswerLost(_)),
            "{start:?}: {error}"
        );
        assert!(sent < 16 << 20, "{start:?}: {sent} bytes");
    }
}

#[test]
fn an_event_without_end_is_noticed_and_its_memory_is_bounded() {
    let mut events = EventSplitter::default();
    let part = Bytes::from(vec![b'x'; 16 << 10]);
    let mut pushed = 0;
    while !events.is_oversized() {
        assert!(events.push(part.clone()).is_empty());
        pushed += part.len();
        assert!(pushed <= 2 << 20, "{pushed} bytes are buffered");
    }
    assert!(pushed >= 512 << 10, "events of {pushed} bytes are sound");
}

#[test]
fn a_large_event_that_ends_is_passed_on() {
    let mut events = EventSplitter::default();
    let mut event = vec![b'x'; 300 << 10];
    event.extend_from_slice(b"\n\n");
    assert!(events
        .push(Bytes::from(event[..200 << 10].to_vec()))
        .is_empty());
    assert!(!events.is_oversized());
    assert_eq!(
        events.push(Bytes::from(event[200 << 10..].to_vec())).len(),
        event.len()
    );
}

#[test]
fn many_endless_bodies_share_a_bounded_memory() {
    let budget = BufferBudget::default();
    let mut shares: Vec<_> = (0..100).map(|_| budget.start_share()).collect();
    let mut cut = 0;
    for share in &mut shares {
        for _ in 0..128 {
            if !share.try_grow(16 << 10) {
                cut += 1;
                break;
            }
        }
    }
    assert!(cut > 0, "no response was cut off");
    assert!(budget.used() <= 40 << 20, "{} bytes", budget.used());
    let mut small = budget.start_share();
    assert!(small.try_grow(800), "a usual response always has room");
    drop((shares, small));
    assert_eq!(budget.used(), 0);
}

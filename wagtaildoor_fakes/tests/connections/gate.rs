//! Gate in front of a server: relay, close-delimited responses and crashes.

use std::{
    io,
    time::Duration, //
};

use serde_json::{
    json,
    Value, //
};
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{
        self,
        Instant, //
    },
};
use wagtaildoor_fakes::{
    connection_state::ConnectionState,
    fake_service::FakeService,
    http_service, //
};

use crate::gated_server::GatedServer;

/// Time for which the endpoint is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Delay after a crash within which idle connections are closed.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Delay of a response that does not come before the crash, in milliseconds.
const SLOW_MS: u64 = 60_000;

/// Starts a service behind a gate. Returns it with the state that its connections follow.
async fn gated_service() -> (GatedServer, watch::Sender<ConnectionState>) {
    let state = watch::Sender::default();
    let service = FakeService::new(false);
    let mount = |server| http_service::mount(server, service);
    let server = GatedServer::start(state.subscribe(), mount).await;
    (server, state)
}

#[tokio::test]
async fn requests_on_one_connection_are_relayed() {
    let (server, _state) = gated_service().await;
    let mut connection = server.connect().await;
    for _ in 0..2 {
        connection.get("/health").await;
        let text = connection.read_until("good").await;
        assert!(text.contains("content-length: 4\r\n"), "{text}");
    }
}

#[tokio::test]
async fn close_delimited_response_ends_with_its_connection() {
    let (server, state) = gated_service().await;
    state.send_modify(|state| state.close_delimited = true);
    let mut connection = server.connect().await;
    connection.get("/health").await;
    let text = connection.read_to_end().await;
    let (head, body) = text.split_once("\r\n\r\n").expect("a whole head");
    let head = head.to_ascii_lowercase();
    assert!(head.starts_with("http/1.1 200 ok\r\n"), "{head}");
    assert!(head.ends_with("\r\nconnection: close"), "{head}");
    assert!(!head.contains("content-length"), "{head}");
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert_eq!(body, "good");
}

#[tokio::test]
async fn crash_closes_connections_and_refuses_new_ones_until_the_end() {
    let (server, state) = gated_service().await;
    let slow = json!({ "slow_after_ms": SLOW_MS });
    server.server.post("/faults", &slow).await;
    let mut idle = server.connect().await;
    idle.get("/health").await;
    idle.read_until("good").await;
    let mut waiting = server.connect().await;
    waiting.post("/print-orders", &json!({ "boxes": 3 })).await;
    let reached = |counts: &Value| counts["calls"] == 1;
    server.wait_for_counts(reached).await;
    // On the paused clock, the idle connection must not wait for the other one.
    time::pause();
    let crashed_at = Instant::now();
    let down_until = crashed_at + DOWN_TIME;
    state.send_modify(|state| {
        state.crashes += 1;
        state.down_until = Some(down_until);
    });
    assert_eq!(idle.read_to_end().await, "");
    assert!(crashed_at.elapsed() < MAX_CLOSE_DELAY);
    time::resume();
    server.wait_until_down().await;
    let refused = TcpStream::connect(server.address).await.map(drop);
    let kind = refused.map_err(|error| error.kind());
    assert_eq!(kind, Err(io::ErrorKind::ConnectionRefused));
    assert_eq!(waiting.read_to_end().await, "");
    assert!(server.wait_until_up().await >= down_until);
    let mut connection = server.connect().await;
    connection.get("/health").await;
    connection.read_until("good").await;
}

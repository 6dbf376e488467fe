//! Servers of fakes behind a gate.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rocket::{
    Build,
    Rocket, //
};
use serde_json::Value;
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::{
    CancellationToken,
    DropGuard, //
};
use wagtaildoor_fakes::{
    connection_gate::ConnectionGate,
    connection_state::ConnectionState, //
};

use crate::{
    fake_server::FakeServer,
    raw_connection::RawConnection, //
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two attempts to connect, and between two readings of counts.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A running server behind a gate.
pub struct GatedServer {
    /// Server behind the gate, which can be called directly.
    pub server: FakeServer,
    /// Address of the gate.
    pub address: SocketAddr,
    _gate: DropGuard,
}

impl GatedServer {
    /// Starts a server with the routes that `mount` adds, and its gate.
    pub async fn start(
        state: watch::Receiver<ConnectionState>,
        mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Self {
        let server = FakeServer::start(mount).await;
        let gate = ConnectionGate::bind(([127, 0, 0, 1], 0).into(), state).await;
        let gate = gate.expect("a free port");
        let address = gate.address();
        let token = CancellationToken::new();
        tokio::spawn(gate.run(server.server.address, token.clone()));
        Self {
            server,
            address,
            _gate: token.drop_guard(),
        }
    }

    /// Opens a connection through the gate.
    pub async fn connect(&self) -> RawConnection {
        RawConnection::open(self.address).await
    }

    /// Reads the counts behind the gate until they satisfy a predicate. Returns them.
    pub async fn wait_for_counts(&self, is_expected: impl Fn(&Value) -> bool) -> Value {
        let wait = async {
            loop {
                let counts = self.server.get("/counts").await.json().await;
                let counts = counts.expect("counts");
                if is_expected(&counts) {
                    return counts;
                }
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = time::timeout(WAIT_TIMEOUT, wait).await;
        waited.expect("the expected counts")
    }

    /// Connects until a connection is refused.
    pub async fn wait_until_down(&self) {
        let wait = async {
            while TcpStream::connect(self.address).await.is_ok() {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        time::timeout(WAIT_TIMEOUT, wait).await.expect("a refusal");
    }

    /// Connects until a connection is accepted. Returns the time at which it was.
    pub async fn wait_until_up(&self) -> Instant {
        let wait = async {
            while TcpStream::connect(self.address).await.is_err() {
                time::sleep(POLL_INTERVAL).await;
            }
            Instant::now()
        };
        let accepted = time::timeout(WAIT_TIMEOUT, wait).await;
        accepted.expect("the gate listens again")
    }
}

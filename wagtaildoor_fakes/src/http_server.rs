//! HTTP server of a fake, configured in code.

use std::{
    collections::HashSet,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Mutex, //
};

use rocket::{
    config::{
        Config,
        LogLevel,
        Shutdown, //
    },
    data::{
        Limits,
        ToByteUnit, //
    },
    fairing::AdHoc,
    Build,
    Rocket, //
};
use tokio::{
    sync::{
        oneshot,
        watch, //
    },
    task::JoinHandle, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    connection_gate::ConnectionGate,
    connection_state::ConnectionState, //
};

/// Keep-alive timeout of idle connections, in seconds.
const KEEP_ALIVE_S: u32 = 300;
/// Time that requests in progress get to complete after a shutdown, in seconds.
const SHUTDOWN_GRACE_S: u32 = 1;
/// Additional time that connections get to close after that, in seconds.
const SHUTDOWN_MERCY_S: u32 = 1;
/// Address of a server behind a gate; port 0 takes a free one.
const INNER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Maximum size of a request body, in mebibytes.
const BODY_LIMIT_MIB: u64 = 64;

/// Result of a server operation.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Reason why a server did not start or ended with an error.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ServerError {
    /// Rocket could not start or run the server.
    #[display("server failed: {_0}")]
    Failed(#[error(not(source))] Box<str>),
    /// The server ended before it was listening.
    #[display("server ended before it listened")]
    NotListening,
}

/// A running server; dropping the handle shuts it down.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Shuts the server down when cancelled.
    token: CancellationToken,
    task: JoinHandle<Result<()>>,
}

impl ServerHandle {
    /// Returns when the server's task has ended, with its error if it failed.
    pub async fn wait_until_ended(mut self) -> Result<()> {
        let result = (&mut self.task).await;
        result.unwrap_or_else(|error| Err(ServerError::Failed(error.to_string().into())))
    }

    /// Returns the base URL of the server, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// Builds a server for an address, without routes.
pub fn build(address: SocketAddr) -> Rocket<Build> {
    rocket::custom(config_for(address))
}

/// Returns the configuration of a server for an address.
fn config_for(address: SocketAddr) -> Config {
    let limit = BODY_LIMIT_MIB.mebibytes();
    let limits = Limits::default()
        .limit("json", limit)
        .limit("string", limit)
        .limit("bytes", limit);
    let shutdown = Shutdown {
        ctrlc: false,
        signals: HashSet::new(),
        grace: SHUTDOWN_GRACE_S,
        mercy: SHUTDOWN_MERCY_S,
        force: false,
        ..Shutdown::default()
    };
    Config {
        address: address.ip(),
        port: address.port(),
        keep_alive: KEEP_ALIVE_S,
        limits,
        shutdown,
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    }
}

/// Starts a server behind a gate on the server's address. Cancelling the token shuts both down.
pub async fn start_gated(
    server: Rocket<Build>,
    address: SocketAddr,
    state: watch::Receiver<ConnectionState>,
    token: CancellationToken,
) -> Result<ServerHandle> {
    let gate = ConnectionGate::bind(address, state).await;
    let gate = gate.map_err(|error| ServerError::Failed(error.to_string().into()))?;
    let server = server.configure(config_for(INNER_ADDRESS));
    let mut handle = start(server, token).await?;
    let address = gate.address();
    tokio::spawn(gate.run(handle.address, handle.token.clone()));
    handle.address = address;
    Ok(handle)
}

/// Starts a server and waits until it listens. Cancelling the token shuts it down.
pub async fn start(server: Rocket<Build>, token: CancellationToken) -> Result<ServerHandle> {
    let token = token.child_token();
    let (sender, listening) = oneshot::channel();
    let server = server.attach(report_address(sender));
    let server = server.ignite().await.map_err(server_error)?;
    let shutdown = server.shutdown();
    let cancelled = token.clone();
    tokio::spawn(async move {
        cancelled.cancelled().await;
        shutdown.notify();
    });
    let task = tokio::spawn(async move {
        let result = server.launch().await;
        result.map(drop).map_err(server_error)
    });
    // If the server fails, it drops the sender and its task returns the error.
    let Ok(address) = listening.await else {
        let result = task.await;
        result.unwrap_or(Err(ServerError::NotListening))?;
        return Err(ServerError::NotListening);
    };
    Ok(ServerHandle {
        address,
        token,
        task,
    })
}

/// Returns a fairing that sends the bound address once the server listens.
fn report_address(sender: oneshot::Sender<SocketAddr>) -> AdHoc {
    let sender = Mutex::new(Some(sender));
    AdHoc::on_liftoff("address", move |server| {
        let config = server.config();
        let address = SocketAddr::new(config.address, config.port);
        let sender = sender.lock().ok().and_then(|mut sender| sender.take());
        if let Some(sender) = sender {
            // The receiver is gone if the caller gave up; the token still stops the server.
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}

/// Converts a Rocket error, reading its kind since Rocket panics if an error is dropped unread.
fn server_error(error: rocket::Error) -> ServerError {
    ServerError::Failed(error.kind().to_string().into())
}

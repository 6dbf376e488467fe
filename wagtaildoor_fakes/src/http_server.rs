//! HTTP server of a stand-in, configured in code.

use std::{
    collections::HashSet,
    net::SocketAddr,
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
    sync::oneshot,
    task::JoinHandle, //
};
use tokio_util::sync::CancellationToken;

/// Time an idle connection is kept, in seconds.
const KEEP_ALIVE_S: u32 = 300;
/// Time to go on with requests in work once the server ends, in seconds.
const GRACE_S: u32 = 1;
/// Time after that for connections to end, in seconds.
const MERCY_S: u32 = 1;
/// Largest body, in mebibytes.
const BODY_LIMIT_MIB: u64 = 64;

/// Result of work with a server.
pub type Result<T> = std::result::Result<T, ServerError>;

/// Why a server did not start, or ended early.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum ServerError {
    /// It could not start.
    #[display("server failed: {_0}")]
    Failed(#[error(not(source))] Box<str>),
    /// It ended before it listened.
    #[display("server ended before it listened")]
    NotListening,
}

/// A running server; dropping it ends the server.
#[derive(Debug)]
pub struct ServerHandle {
    /// Address it listens on.
    pub address: SocketAddr,
    /// Ends it.
    token: CancellationToken,
    /// Its task.
    task: JoinHandle<Result<()>>,
}

impl ServerHandle {
    /// Waits until the server has ended.
    pub async fn ended(mut self) -> Result<()> {
        let result = (&mut self.task).await;
        result.unwrap_or_else(|error| Err(ServerError::Failed(error.to_string().into())))
    }

    /// Base URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// A server for an address, without routes.
pub fn build(address: SocketAddr) -> Rocket<Build> {
    let limit = BODY_LIMIT_MIB.mebibytes();
    let limits = Limits::default()
        .limit("json", limit)
        .limit("string", limit)
        .limit("bytes", limit);
    let shutdown = Shutdown {
        ctrlc: false,
        signals: HashSet::new(),
        grace: GRACE_S,
        mercy: MERCY_S,
        force: false,
        ..Shutdown::default()
    };
    rocket::custom(Config {
        address: address.ip(),
        port: address.port(),
        keep_alive: KEEP_ALIVE_S,
        limits,
        shutdown,
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    })
}

/// Starts a server and waits until it listens; the token ends it.
pub async fn start(server: Rocket<Build>, token: CancellationToken) -> Result<ServerHandle> {
    let token = token.child_token();
    let (sender, listening) = oneshot::channel();
    let server = server.attach(report_address(sender));
    let server = server.ignite().await.map_err(failed)?;
    let shutdown = server.shutdown();
    let ended = token.clone();
    tokio::spawn(async move {
        ended.cancelled().await;
        shutdown.notify();
    });
    let task = tokio::spawn(async move {
        let result = server.launch().await;
        result.map(drop).map_err(failed)
    });
    // The sender goes with a server that fails, which then says why.
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

/// Tells the bound address once the server listens.
fn report_address(sender: oneshot::Sender<SocketAddr>) -> AdHoc {
    let sender = Mutex::new(Some(sender));
    AdHoc::on_liftoff("address", move |server| {
        let config = server.config();
        let address = SocketAddr::new(config.address, config.port);
        let sender = sender.lock().ok().and_then(|mut sender| sender.take());
        if let Some(sender) = sender {
            // Whoever started the server may have gone; it then ends by its token.
            let _ = sender.send(address);
        }
        Box::pin(async {})
    })
}

/// Words for an error of the library, which panics when it is dropped unread.
fn failed(error: rocket::Error) -> ServerError {
    ServerError::Failed(error.kind().to_string().into())
}

//! Proxy before a fake engine that ends with it like a process: its answers break off, its address
//! refuses connections, and it is back a little later with a new boot id.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU32,
            Ordering, //
        },
        Arc,
    },
    time::Duration,
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    time,
};
use tokio_util::sync::CancellationToken;
use wagtaildoor_fakes::fake_engine::FakeEngine;

/// Text of a prompt that crashes the engine once an answer to it has begun.
pub const CRASH_TEXT: &str = "Typeset all of it upside down.";
/// Time from a crash to the next start.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Mark of the first chunk of an answer.
const CHUNK_MARK: &str = "data:";

/// A proxy that crashes with its engine.
pub struct CrashProxy {
    /// Address of the proxy.
    pub address: SocketAddr,
    state: Arc<ProxyState>,
}

/// State that the tasks of a proxy share.
struct ProxyState {
    engine: FakeEngine,
    /// Address of the engine's server.
    target: SocketAddr,
    /// Notified when the engine has to crash.
    crash: Notify,
    /// Number of answers whose first chunk was passed on, at least in part.
    begun: AtomicU32,
}

impl CrashProxy {
    /// Starts a proxy before the server of an engine.
    pub async fn start(engine: FakeEngine, target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(ProxyState {
            engine,
            target,
            crash: Notify::new(),
            begun: AtomicU32::new(0),
        });
        tokio::spawn(serve_boots(listener, address, Arc::clone(&state)));
        Self { address, state }
    }

    /// Crashes the engine.
    pub fn crash(&self) {
        self.state.crash.notify_one();
    }

    /// Returns the number of answers whose first chunk was passed on.
    pub fn begun(&self) -> u32 {
        self.state.begun.load(Ordering::Relaxed)
    }
}

/// Relays connections from start to crash, again and again.
async fn serve_boots(mut listener: TcpListener, address: SocketAddr, state: Arc<ProxyState>) {
    loop {
        let boot = CancellationToken::new();
        loop {
            tokio::select! {
                () = state.crash.notified() => break,
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { return };
                    tokio::spawn(relay(caller, Arc::clone(&state), boot.clone()));
                }
            }
        }
        // The address refuses connections before the first answer breaks off.
        drop(listener);
        state.engine.crash();
        boot.cancel();
        time::sleep(RESTART_TIME).await;
        listener = TcpListener::bind(address).await.expect("the same port");
    }
}

/// Relays one connection until an end closes it or the engine crashes.
async fn relay(mut caller: TcpStream, state: Arc<ProxyState>, boot: CancellationToken) {
    let Ok(mut engine) = TcpStream::connect(state.target).await else {
        return;
    };
    let mut sent = String::new();
    let mut request = vec![0; 16_384];
    let mut answer = vec![0; 16_384];
    loop {
        tokio::select! {
            () = boot.cancelled() => return,
            read = caller.read(&mut request) => {
                let Ok(1..) = read else { return };
                let bytes = &request[..read.expect("bytes")];
                sent.push_str(&String::from_utf8_lossy(bytes));
                if engine.write_all(bytes).await.is_err() {
                    return;
                }
            }
            read = engine.read(&mut answer) => {
                let Ok(1..) = read else { return };
                let bytes = &answer[..read.expect("bytes")];
                let text = String::from_utf8_lossy(bytes);
                let chunk = text.find(CHUNK_MARK);
                let crash_at = chunk.filter(|_| sent.contains(CRASH_TEXT));
                let passed_on = crash_at.map_or(bytes.len(), |start| start + CHUNK_MARK.len());
                if caller.write_all(&bytes[..passed_on]).await.is_err() {
                    return;
                }
                if chunk.is_some() {
                    state.begun.fetch_add(1, Ordering::Relaxed);
                }
                if crash_at.is_some() {
                    state.crash.notify_one();
                    boot.cancelled().await;
                    return;
                }
            }
        }
    }
}

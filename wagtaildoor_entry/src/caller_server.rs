//! HTTP server for callers, with TLS if the settings name a certificate.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use http::Request;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use slog::{
    debug,
    warn, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time,
};
use tokio_rustls::{
    rustls::{
        crypto::aws_lc_rs,
        pki_types::{
            pem::PemObject,
            CertificateDer,
            PrivateKeyDer, //
        },
        ServerConfig,
    },
    TlsAcceptor,
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};
use wagtaildoor::schema::ListenSection;

use crate::{
    routes,
    state::EntryState, //
};

/// Result of binding the server.
pub type Result<T> = io::Result<T>;

/// Timeout for reading the head of a request. It also limits the idle time of a connection.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(30);
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that open connections have to finish after the entry has drained.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Server for callers, bound to its listen address.
pub struct CallerServer {
    listener: TcpListener,
    /// `None` if callers connect without TLS.
    tls: Option<TlsAcceptor>,
}

impl CallerServer {
    /// Binds the listen address and loads the certificate and key, if any.
    pub async fn bind(listen: &ListenSection) -> Result<Self> {
        let certificate_and_key = listen
            .tls_certificate
            .as_deref()
            .zip(listen.tls_key.as_deref());
        let tls =
            certificate_and_key.map(|(certificate, key)| build_tls_acceptor(certificate, key));
        Ok(Self {
            tls: tls.transpose()?,
            listener: TcpListener::bind(listen.address).await?,
        })
    }

    /// Returns the bound address, with the port that the system chose if the setting is 0.
    pub fn local_address(&self) -> Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves connections until `stop` is cancelled, then waits up to `CONNECTION_CLOSE_TIMEOUT`
    /// for open connections to finish.
    pub async fn serve(self, state: Arc<EntryState>, stop: CancellationToken) {
        let connections = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    let state = Arc::clone(&state);
                    connections.spawn(serve_connection(
                        state,
                        stream,
                        self.tls.clone(),
                        stop.clone(),
                    ));
                }
                Err(error) => {
                    warn!(state.log, "accept failed"; "error" => %error);
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        connections.close();
        if time::timeout(CONNECTION_CLOSE_TIMEOUT, connections.wait())
            .await
            .is_err()
        {
            warn!(state.log, "open connections did not close in time"; "open" => connections.len());
        }
    }
}

/// Loads a certificate chain and its private key from PEM files.
fn build_tls_acceptor(certificate: &str, key: &str) -> Result<TlsAcceptor> {
    let chain = CertificateDer::pem_file_iter(certificate).map_err(io::Error::other)?;
    let chain: std::result::Result<Vec<_>, _> = chain.collect();
    let key = PrivateKeyDer::from_pem_file(key).map_err(io::Error::other)?;
    let provider = Arc::new(aws_lc_rs::default_provider());
    let config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?
        .with_no_client_auth()
        .with_single_cert(chain.map_err(io::Error::other)?, key)
        .map_err(io::Error::other)?;
    Ok(TlsAcceptor::from(Arc::new(config)))
}

/// Performs the TLS handshake, if TLS is enabled, and serves one connection.
async fn serve_connection(
    state: Arc<EntryState>,
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(state.log, "failed to set TCP_NODELAY"; "error" => %error);
    }
    let Some(tls) = tls else {
        return serve_stream(state, stream, stop).await;
    };
    match time::timeout(TLS_HANDSHAKE_TIMEOUT, tls.accept(stream)).await {
        Ok(Ok(stream)) => serve_stream(state, stream, stop).await,
        Ok(Err(error)) => debug!(state.log, "TLS handshake failed"; "error" => %error),
        Err(_) => debug!(state.log, "TLS handshake timed out"),
    }
}

/// Serves the requests of one connection until it closes or `stop` is cancelled.
async fn serve_stream<S>(state: Arc<EntryState>, stream: S, stop: CancellationToken)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let service = service_fn(|request: Request<Incoming>| {
        let state = Arc::clone(&state);
        async move { Ok::<_, Infallible>(routes::handle_request(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = result {
        debug!(state.log, "connection closed with an error"; "error" => %error);
    }
}

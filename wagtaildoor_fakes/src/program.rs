//! Implementation of the `wtd-fakes` subcommands.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use clap::ArgMatches;
use reqwest::Client;
use rocket::{
    Build,
    Rocket, //
};
use tokio::{
    signal::unix::{
        signal,
        SignalKind, //
    },
    sync::watch,
};
use tokio_util::sync::CancellationToken;

use crate::{
    cli::{
        self,
        EndpointOptions,
        ListenOptions, //
    },
    connection_state::ConnectionState,
    fake_engine::FakeEngine,
    fake_kv::FakeKv,
    fake_list::{
        FakeList,
        ListFaults, //
    },
    fake_log::FakeLog,
    fake_service::FakeService,
    fake_weights::FakeWeights,
    http_engine, http_kv, http_list, http_log,
    http_server::{
        self,
        ServerError, //
    },
    http_service,
    registration::{
        self,
        ListRegistration,
        RegistrationError, //
    },
    weight_source::WeightSource,
};

/// Result of running the program.
pub type Result<T> = std::result::Result<T, ProgramError>;

/// Reason why the program failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ProgramError {
    /// The HTTP server failed.
    Server(ServerError),
    /// The endpoint could not be registered at the list.
    Registration(RegistrationError),
    /// The HTTP client could not be created.
    #[display("cannot make an HTTP client: {_0}")]
    Client(reqwest::Error),
    /// Writing the address file or installing a signal handler failed.
    Io(io::Error),
}

/// A fake that is ready to be served.
struct MountedFake {
    server: Rocket<Build>,
    /// State that the connections follow; `None` for a fake without connection faults.
    connections: Option<watch::Receiver<ConnectionState>>,
}

impl From<Rocket<Build>> for MountedFake {
    fn from(server: Rocket<Build>) -> Self {
        Self {
            server,
            connections: None,
        }
    }
}

/// Runs the chosen subcommand until SIGTERM or SIGINT.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("clap requires a command");
    let client = Client::builder().no_proxy().build()?;
    let listen = ListenOptions::from(matches);
    let server = http_server::build(listen.address);
    let fake = match name {
        "engine" => engine_server(server, matches, client.clone()),
        "service" => service_server(server, matches),
        "platform" => platform_server(server, matches).into(),
        _ => {
            let blocks = cli::number_value(matches, "cache-blocks");
            let store = FakeKv::new(usize::try_from(blocks).unwrap_or(usize::MAX));
            http_kv::mount(server, store).into()
        }
    };
    let listed = ["engine", "service"].contains(&name);
    let endpoint = listed.then(|| EndpointOptions::from(matches));
    serve(fake, &listen, endpoint, client).await
}

/// Mounts a fake engine configured by the command line.
fn engine_server(server: Rocket<Build>, matches: &ArgMatches, client: Client) -> MountedFake {
    let engine = FakeEngine::new(cli::engine_profile(matches));
    engine.set_faults(cli::engine_faults(matches));
    let connections = Some(engine.connections());
    let url = cli::text_value(matches, "weights").map(String::into_boxed_str);
    MountedFake {
        server: http_engine::mount(server, engine, WeightSource::new(url, client)),
        connections,
    }
}

/// Mounts a fake service configured by the command line.
fn service_server(server: Rocket<Build>, matches: &ArgMatches) -> MountedFake {
    let service = FakeService::new(matches.get_flag("checks-keys"));
    service.set_faults(cli::service_faults(matches));
    let connections = Some(service.connections());
    MountedFake {
        server: http_service::mount(server, service),
        connections,
    }
}

/// Builds the server of the platform: log, list and weight store.
fn platform_server(server: Rocket<Build>, matches: &ArgMatches) -> Rocket<Build> {
    let number = |name| cli::number_value(matches, name);
    let list = FakeList::new();
    list.set_faults(ListFaults {
        lag_ms: number("list-lag-ms"),
        ..ListFaults::default()
    });
    let slots = u32::try_from(number("load-slots")).unwrap_or(u32::MAX);
    let server = http_list::mount(server, list, FakeWeights::new(slots));
    let retention = Duration::from_millis(number("retention-ms"));
    http_log::mount(server, FakeLog::new(retention))
}

/// Serves until a signal arrives. The endpoint, if any, is registered during that time.
async fn serve(
    fake: MountedFake,
    listen: &ListenOptions,
    endpoint: Option<EndpointOptions>,
    client: Client,
) -> Result<()> {
    let token = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = match fake.connections {
        Some(state) => {
            http_server::start_gated(fake.server, listen.address, state, token.clone()).await?
        }
        None => http_server::start(fake.server, token.clone()).await?,
    };
    if let Some(path) = &listen.address_file {
        write_address(path, handle.address)?;
    }
    let entry = endpoint.and_then(|endpoint| list_entry(endpoint, handle.address, client));
    if let Some(entry) = &entry {
        entry.register().await?;
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    if let Some(entry) = &entry {
        if let Err(error) = entry.remove().await {
            eprintln!("wtd-fakes: {error}");
        }
    }
    token.cancel();
    Ok(handle.wait_until_ended().await?)
}

/// Returns the endpoint's entry in the list; `None` if it is not to be registered.
fn list_entry(
    endpoint: EndpointOptions,
    address: SocketAddr,
    client: Client,
) -> Option<ListRegistration> {
    let listed =
        registration::live_endpoint(&endpoint.id, address, &endpoint.pool, &endpoint.domain);
    let url = endpoint.register?;
    Some(ListRegistration::new(&url, listed, client))
}

/// Writes the bound address atomically, so that readers never see a partial file.
fn write_address(path: &Path, address: SocketAddr) -> Result<()> {
    let draft = path.with_extension("draft");
    std::fs::write(&draft, address.to_string())?;
    Ok(std::fs::rename(&draft, path)?)
}

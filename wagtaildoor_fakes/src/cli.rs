//! Command line of `wtd-fakes`.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::Duration, //
};

use clap::{
    value_parser,
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};

use crate::{
    fake_engine::{
        engine_faults::EngineFaults,
        EngineProfile, //
    },
    fake_service::ServiceFaults,
};

/// Returns the `clap` definition of the command line.
pub fn command() -> Command {
    Command::new("wtd-fakes")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stand-ins for endpoints and platform, for tests and demos")
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(service_command())
        .subcommand(platform_command())
        .subcommand(kv_command())
}

/// Returns the subcommand that runs an engine.
fn engine_command() -> Command {
    endpoint_command("engine", "A model engine")
        .arg(flag(
            "checks-fencing",
            "Refuse orders with an old fencing number",
        ))
        .arg(text(
            "weights",
            "URL",
            "Base URL of the platform to load weights from",
        ))
        .arg(number(
            "weights-version",
            "1",
            "Weights version to start with",
        ))
        .arg(number(
            "cache-blocks",
            "4096",
            "Blocks of 16 tokens that the cache holds",
        ))
        .arg(number(
            "cache-age-ms",
            "0",
            "Time after which an unused block goes, in ms; 0 for never",
        ))
        .arg(number("batch", "32", "Requests in the batch at most"))
        .arg(number("queue", "256", "Requests waiting at most"))
        .arg(number(
            "prefill-us",
            "100",
            "Time to prefill one token, in microseconds",
        ))
        .arg(number(
            "decode-us",
            "5000",
            "Time between two tokens, in microseconds",
        ))
        .arg(number(
            "decode-running-us",
            "50",
            "Added to that for each request in the batch, in microseconds",
        ))
        .arg(number("load-ms", "5000", "Time to load weights, in ms"))
        .arg(text(
            "crash-on-prompt",
            "TEXT",
            "Crash when an answer begins whose prompt contains this text",
        ))
        .arg(number(
            "restart-ms",
            "2000",
            "Time the engine is down after that, in ms",
        ))
}

/// Returns the subcommand that runs a plain service.
fn service_command() -> Command {
    endpoint_command(
        "service",
        "A plain service, with a look-up at /lookup/{key}",
    )
    .arg(flag("checks-keys", "Run each idempotency key at most once"))
}

/// Returns the subcommand that runs the platform.
fn platform_command() -> Command {
    listen_command(
        "platform",
        "The log, the list at /list and the weight store at /weights",
    )
    .arg(number(
        "retention-ms",
        "86400000",
        "Time the log keeps records, in ms",
    ))
    .arg(number(
        "list-lag-ms",
        "0",
        "Age of what the list shows, in ms",
    ))
    .arg(number(
        "load-slots",
        "2",
        "Replicas that load weights at full speed",
    ))
}

/// Returns the subcommand that runs the KV store.
fn kv_command() -> Command {
    listen_command("kv", "The KV store").arg(number("cache-blocks", "65536", "Blocks it holds"))
}

/// Returns a subcommand with the options common to all endpoints.
fn endpoint_command(name: &'static str, about: &'static str) -> Command {
    listen_command(name, about)
        .arg(text("id", "NAME", "Name of the endpoint").required(true))
        .arg(text("pool", "NAME", "Pool it belongs to").required(true))
        .arg(text("domain", "NAME", "Failure domain it stands in").required(true))
        .arg(text(
            "register",
            "URL",
            "Base URL of the platform to register at",
        ))
        .arg(flag(
            "close-delimited",
            "Send answers that end with their connection, without a length or chunks",
        ))
        .arg(flag(
            "close-early",
            "End answers early: streams inside their last event",
        ))
}

/// Returns a subcommand with the options common to all servers.
fn listen_command(name: &'static str, about: &'static str) -> Command {
    let address = text(
        "address",
        "IP:PORT",
        "Address to listen on; port 0 takes a free one",
    )
    .required(true)
    .value_parser(value_parser!(SocketAddr));
    let address_file = text(
        "address-file",
        "FILE",
        "File that receives the bound address",
    )
    .value_parser(value_parser!(PathBuf));
    Command::new(name)
        .about(about)
        .arg(address)
        .arg(address_file)
}

fn text(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Returns an option with an unsigned integer value and a default.
fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, "N", help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// Listen options of a server.
#[derive(Clone, Debug)]
pub struct ListenOptions {
    /// Address to listen on; port 0 lets the system choose a port.
    pub address: SocketAddr,
    /// File to which the bound address is written.
    pub address_file: Option<PathBuf>,
}

/// Identity of an endpoint and where it registers.
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// Endpoint id.
    pub id: String,
    /// Pool that the endpoint belongs to.
    pub pool: String,
    /// Failure domain that the endpoint runs in.
    pub domain: String,
    /// Base URL of the platform to register with; `None` skips registration.
    pub register: Option<String>,
}

impl From<&ArgMatches> for ListenOptions {
    fn from(matches: &ArgMatches) -> Self {
        Self {
            address: *matches.get_one("address").expect("clap requires it"),
            address_file: matches.get_one("address-file").cloned(),
        }
    }
}

impl From<&ArgMatches> for EndpointOptions {
    fn from(matches: &ArgMatches) -> Self {
        let required = |name| text_value(matches, name).expect("clap requires it");
        Self {
            id: required("id"),
            pool: required("pool"),
            domain: required("domain"),
            register: text_value(matches, "register"),
        }
    }
}

/// Returns the engine profile that the options of the `engine` subcommand describe.
pub fn engine_profile(matches: &ArgMatches) -> EngineProfile {
    let number = |name| number_value(matches, name);
    let number_u32 = |name| u32::try_from(number(name)).unwrap_or(u32::MAX);
    let age = Duration::from_millis(number("cache-age-ms"));
    EngineProfile {
        id: text_value(matches, "id").unwrap_or_default().into(),
        weights_version: number("weights-version"),
        cache_blocks: usize::try_from(number("cache-blocks")).unwrap_or(usize::MAX),
        cache_age: (!age.is_zero()).then_some(age),
        batch_limit: number_u32("batch").max(1),
        queue_limit: number_u32("queue"),
        prefill_per_token: Duration::from_micros(number("prefill-us")),
        decode_per_token: Duration::from_micros(number("decode-us")),
        decode_per_running: Duration::from_micros(number("decode-running-us")),
        checks_fencing: matches.get_flag("checks-fencing"),
        load_time: Duration::from_millis(number("load-ms")),
    }
}

/// Returns the faults that the options of the `engine` subcommand set.
pub fn engine_faults(matches: &ArgMatches) -> EngineFaults {
    EngineFaults {
        crash_on_prompt: text_value(matches, "crash-on-prompt")
            .unwrap_or_default()
            .into(),
        restart_ms: number_value(matches, "restart-ms"),
        close_delimited: matches.get_flag("close-delimited"),
        close_early: matches.get_flag("close-early"),
        ..EngineFaults::default()
    }
}

/// Returns the faults that the options of the `service` subcommand set.
pub fn service_faults(matches: &ArgMatches) -> ServiceFaults {
    ServiceFaults {
        close_delimited: matches.get_flag("close-delimited"),
        close_early: matches.get_flag("close-early"),
        ..ServiceFaults::default()
    }
}

/// Returns the value of a text option; `None` if it was not given.
pub fn text_value(matches: &ArgMatches, name: &str) -> Option<String> {
    matches.get_one(name).cloned()
}

/// Returns the value of a numeric option, or its default.
pub fn number_value(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("clap has a default")
}

//! Configuration of a daemon's Rocket server.

use std::net::SocketAddr;

use rocket::{
    config::{
        LogLevel,
        Shutdown, //
    },
    Config, //
};

/// Time for open requests, and then for open connections, once a daemon has drained, in seconds.
const SHUTDOWN_GRACE_S: u32 = 1;

/// Builds a configuration that reads no files or environment, writes no logs and handles no
/// signals. The daemon handles them itself, since it has to drain before its server stops.
pub fn rocket_config(address: SocketAddr) -> Config {
    let shutdown = Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: SHUTDOWN_GRACE_S,
        mercy: SHUTDOWN_GRACE_S,
        force: true,
        ..Shutdown::default()
    };
    Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::release_default()
    }
}

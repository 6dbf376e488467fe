//! Settings of a daemon's HTTP server.

use std::net::SocketAddr;

use rocket::{
    config::{
        LogLevel,
        Shutdown, //
    },
    Config, //
};

/// Time the server gives requests, and then connections, once a daemon has drained, in seconds.
const GRACE_S: u32 = 1;

/// Settings without files, environment, logs or signals: a daemon drains before its server ends.
pub fn config(address: SocketAddr) -> Config {
    let shutdown = Shutdown {
        ctrlc: false,
        signals: Default::default(),
        grace: GRACE_S,
        mercy: GRACE_S,
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

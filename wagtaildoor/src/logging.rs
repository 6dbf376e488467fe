//! Logging as JSON lines on standard error, written by a thread of its own.

use std::io::{
    self,
    BufWriter,
    Write, //
};

use slog::{
    Drain,
    Level,
    Logger, //
};
use slog_async::Async;
use slog_json::Json;

use crate::schema::{
    LoggingSection,
    LoggingSectionLevel, //
};

/// Lines waiting for the writing thread; more are dropped and counted.
const WAITING_LINES: usize = 4096;

/// A logger for one process. Each line carries the host and the program.
pub fn logger(section: &LoggingSection, host: &str, process: &'static str) -> Logger {
    logger_to(io::stderr(), section, host, process)
}

/// As `logger`, into something else than standard error. Dropping it writes what waits.
pub fn logger_to<W: Write + Send + 'static>(
    output: W,
    section: &LoggingSection,
    host: &str,
    process: &'static str,
) -> Logger {
    // Each line goes out in one piece, where the format alone would write every field apart.
    let json = Json::new(BufWriter::new(output))
        .set_newlines(true)
        .set_flush(true)
        .add_default_keys()
        .build();
    let drain = Async::new(json.fuse()).chan_size(WAITING_LINES).build();
    let drain = drain.filter_level(level(section.level)).fuse();
    Logger::root(
        drain,
        slog::o!("host" => host.to_string(), "process" => process),
    )
}

/// The level as the logging library names it.
fn level(level: LoggingSectionLevel) -> Level {
    match level {
        LoggingSectionLevel::Error => Level::Error,
        LoggingSectionLevel::Warning => Level::Warning,
        LoggingSectionLevel::Info => Level::Info,
        LoggingSectionLevel::Debug => Level::Debug,
    }
}

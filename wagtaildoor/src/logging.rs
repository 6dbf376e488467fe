//! Structured logging as JSON lines, written to standard error by a dedicated thread.

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

/// Capacity of the queue to the writer thread; lines beyond it are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;

/// Creates the logger of a process. Each line carries the host and the program name.
pub fn logger(section: &LoggingSection, host: &str, process: &'static str) -> Logger {
    logger_to(io::stderr(), section, host, process)
}

/// Like `logger`, but writes to `output`. Dropping the logger writes the queued lines.
pub fn logger_to<W: Write + Send + 'static>(
    output: W,
    section: &LoggingSection,
    host: &str,
    process: &'static str,
) -> Logger {
    // Buffered, so that each line is a single write; the JSON formatter writes field by field.
    let json = Json::new(BufWriter::new(output))
        .set_newlines(true)
        .set_flush(true)
        .add_default_keys()
        .build();
    let drain = Async::new(json.fuse()).chan_size(MAX_QUEUED_LINES).build();
    let drain = drain.filter_level(slog_level(section.level)).fuse();
    Logger::root(
        drain,
        slog::o!("host" => host.to_string(), "process" => process),
    )
}

/// Converts the level from the settings to the level of `slog`.
fn slog_level(level: LoggingSectionLevel) -> Level {
    match level {
        LoggingSectionLevel::Error => Level::Error,
        LoggingSectionLevel::Warning => Level::Warning,
        LoggingSectionLevel::Info => Level::Info,
        LoggingSectionLevel::Debug => Level::Debug,
    }
}

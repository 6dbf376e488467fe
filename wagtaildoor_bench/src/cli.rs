//! Command line of `wtd-bench`, which dispatches to the benchmarks.

use clap::{
    ArgMatches,
    Command, //
};

use crate::{
    capacity,
    crash,
    latency,
    once,
    orders,
    policy, //
};

/// Result of a benchmark.
pub type Result<T> = std::result::Result<T, BenchError>;

/// Error that ends a benchmark early or invalidates its figures.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BenchError {
    /// A process, file or argument that the benchmark needs is missing, malformed or unresponsive.
    #[display("{_0}")]
    Setup(#[error(not(source))] Box<str>),
    /// The benchmark ran, but too many calls failed, or a guarantee was violated.
    #[display("too many failures: {_0}")]
    Failures(#[error(not(source))] Box<str>),
}

/// Builds the command line with the subcommands of all benchmarks.
pub fn command() -> Command {
    Command::new("wtd-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load tool and policy experiments of wagtaildoor")
        .subcommand_required(true)
        .subcommand(capacity::command())
        .subcommand(crash::command())
        .subcommand(latency::command())
        .subcommand(orders::command())
        .subcommand(once::command())
        .subcommand(policy::command())
}

/// Runs the benchmark selected by the subcommand, and returns its error.
pub async fn run(matches: ArgMatches) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("clap requires a command");
    match name {
        capacity::NAME => capacity::run(matches).await,
        crash::NAME => crash::run(matches).await,
        latency::NAME => latency::run(matches).await,
        orders::NAME => orders::run(matches).await,
        once::NAME => once::run(matches),
        policy::NAME => policy::run(matches),
        other => unreachable!("clap knows no bench {other}"),
    }
}

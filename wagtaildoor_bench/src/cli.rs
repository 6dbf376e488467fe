//! Command line of `wtd-bench`.

use clap::{
    ArgMatches,
    Command, //
};

use crate::{
    capacity,
    latency,
    once,
    orders,
    policy, //
};

/// Result of a bench.
pub type Result<T> = std::result::Result<T, BenchError>;

/// Why a bench could not be run to its end.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BenchError {
    /// What it needs is missing or does not answer.
    #[display("{_0}")]
    Setup(#[error(not(source))] Box<str>),
    /// It ran, and too much of it failed for its figures to count.
    #[display("too many failures: {_0}")]
    Failures(#[error(not(source))] Box<str>),
}

/// The command line; each bench adds its own subcommand.
pub fn command() -> Command {
    Command::new("wtd-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Load tool and policy experiments of wagtaildoor")
        .subcommand_required(true)
        .subcommand(capacity::command())
        .subcommand(latency::command())
        .subcommand(orders::command())
        .subcommand(once::command())
        .subcommand(policy::command())
}

/// Runs the bench that the command line names.
pub async fn run(matches: ArgMatches) -> Result<()> {
    let (name, matches) = matches.subcommand().expect("clap requires a command");
    match name {
        capacity::NAME => capacity::run(matches).await,
        latency::NAME => latency::run(matches).await,
        orders::NAME => orders::run(matches).await,
        once::NAME => once::run(matches),
        policy::NAME => policy::run(matches),
        other => unreachable!("clap knows no bench {other}"),
    }
}

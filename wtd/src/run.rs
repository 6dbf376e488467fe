//! Dispatches the command line to its subcommand.

use std::{
    io::{
        self,
        Write, //
    },
    path::Path,
};

use clap::ArgMatches;
use wagtaildoor::settings;

use crate::{
    client::OperatorClient,
    exit::{
        ExitKind,
        Result, //
    },
    output::CommandOutput,
    verbs,
};

/// Runs a subcommand and prints its output or error.
pub async fn run(matches: &ArgMatches) -> ExitKind {
    match execute(matches).await {
        Ok(output) => print_output(&output),
        Err(error) => {
            eprintln!("wtd: {error}");
            error.exit_kind()
        }
    }
}

/// Runs a subcommand without printing its output.
///
/// A client is created only for subcommands that contact running processes.
pub async fn execute(matches: &ArgMatches) -> Result<CommandOutput> {
    let (subcommand, arguments) = matches.subcommand().expect("clap requires a subcommand");
    match subcommand {
        "check" => verbs::check::run(arguments),
        "completions" => Ok(verbs::shell::run_completions(arguments)),
        "man" => verbs::shell::run_man(arguments),
        "explain" if arguments.contains_id("logs") => verbs::explain::run_logs(arguments),
        "timeline" if arguments.contains_id("logs") => verbs::timeline::run_logs(arguments),
        subcommand => {
            let client = create_client(arguments)?;
            execute_online(subcommand, &client, arguments).await
        }
    }
}

/// Runs a subcommand that contacts running processes.
async fn execute_online(
    subcommand: &str,
    client: &OperatorClient,
    matches: &ArgMatches,
) -> Result<CommandOutput> {
    match subcommand {
        "publish" => verbs::publish::run(client, matches).await,
        "amend" => verbs::amend::run(client, matches).await,
        "templates" => verbs::templates::run(client, matches).await,
        "status" => verbs::status::run(client, matches).await,
        "explain" => verbs::explain::run(client, matches).await,
        "timeline" => verbs::timeline::run(client, matches).await,
        "unresolved" => verbs::unresolved::run(client, matches).await,
        "rollout" => verbs::rollout::run(client, matches).await,
        subcommand => unreachable!("clap rejects the unknown subcommand {subcommand}"),
    }
}

/// Creates a client from the settings file.
fn create_client(matches: &ArgMatches) -> Result<OperatorClient> {
    let file = verbs::path_arg(matches, "settings")
        .unwrap_or(Path::new(crate::cli::DEFAULT_SETTINGS_FILE));
    OperatorClient::new(settings::read_operator(file)?.operator)
}

/// Prints the output and returns the exit kind.
///
/// A broken pipe is not an error, since readers such as `head` close the pipe early.
fn print_output(output: &CommandOutput) -> ExitKind {
    for warning in &output.warnings {
        eprintln!("wtd: {warning}");
    }
    let mut stdout = io::stdout().lock();
    let written = stdout.write_all(output.text.as_bytes());
    match written.and_then(|()| stdout.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            eprintln!("wtd: standard output: {error}");
            ExitKind::Faults
        }
        _ => output.exit,
    }
}

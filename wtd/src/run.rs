//! Runs the verb that the command line names.

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

/// Runs a verb and prints its answer.
pub async fn run(matches: &ArgMatches) -> ExitKind {
    match execute(matches).await {
        Ok(output) => print_output(&output),
        Err(error) => {
            eprintln!("wtd: {error}");
            error.exit_kind()
        }
    }
}

/// Runs a verb.
pub async fn execute(matches: &ArgMatches) -> Result<CommandOutput> {
    let (verb, arguments) = matches.subcommand().expect("clap requires a verb");
    match verb {
        "check" => verbs::check::run(arguments),
        "completions" => Ok(verbs::shell::run_completions(arguments)),
        "man" => verbs::shell::run_man(arguments),
        "explain" if arguments.contains_id("logs") => verbs::explain::run_logs(arguments),
        "timeline" if arguments.contains_id("logs") => verbs::timeline::run_logs(arguments),
        verb => {
            let client = create_client(arguments)?;
            execute_online(verb, &client, arguments).await
        }
    }
}

/// Runs a verb that asks live processes.
async fn execute_online(
    verb: &str,
    client: &OperatorClient,
    matches: &ArgMatches,
) -> Result<CommandOutput> {
    match verb {
        "publish" => verbs::publish::run(client, matches).await,
        "amend" => verbs::amend::run(client, matches).await,
        "templates" => verbs::templates::run(client, matches).await,
        "status" => verbs::status::run(client, matches).await,
        "explain" => verbs::explain::run(client, matches).await,
        "timeline" => verbs::timeline::run(client, matches).await,
        "unresolved" => verbs::unresolved::run(client, matches).await,
        "rollout" => verbs::rollout::run(client, matches).await,
        verb => unreachable!("clap knows no verb {verb}"),
    }
}

/// The client by the settings file.
fn create_client(matches: &ArgMatches) -> Result<OperatorClient> {
    let file = verbs::path_arg(matches, "settings")
        .unwrap_or(Path::new(crate::cli::DEFAULT_SETTINGS_FILE));
    OperatorClient::new(settings::read_operator(file)?.operator)
}

/// Prints an answer. A reader that has enough, as `head` does, is no error.
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

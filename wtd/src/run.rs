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
    answer::VerbAnswer,
    client::OperatorClient,
    exit::{
        ExitKind,
        Result, //
    },
    verbs,
};

/// Runs a verb and prints its answer.
pub async fn run(matches: &ArgMatches) -> ExitKind {
    match answer(matches).await {
        Ok(answer) => print(&answer),
        Err(error) => {
            eprintln!("wtd: {error}");
            error.exit()
        }
    }
}

/// Runs a verb.
pub async fn answer(matches: &ArgMatches) -> Result<VerbAnswer> {
    let (verb, own) = matches.subcommand().expect("clap requires a verb");
    match verb {
        "check" => verbs::check::run(own),
        "completions" => Ok(verbs::shell::completions(own)),
        "man" => verbs::shell::man(own),
        "explain" if own.contains_id("logs") => verbs::explain::run_logs(own),
        "timeline" if own.contains_id("logs") => verbs::timeline::run_logs(own),
        verb => {
            let client = client(own)?;
            live(verb, &client, own).await
        }
    }
}

/// Runs a verb that asks live processes.
async fn live(verb: &str, client: &OperatorClient, matches: &ArgMatches) -> Result<VerbAnswer> {
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
fn client(matches: &ArgMatches) -> Result<OperatorClient> {
    let file = verbs::path(matches, "settings").unwrap_or(Path::new(crate::cli::SETTINGS_FILE));
    OperatorClient::new(settings::read_operator(file)?.operator)
}

/// Prints an answer. A reader that has enough, as `head` does, is no error.
fn print(answer: &VerbAnswer) -> ExitKind {
    for warning in &answer.warnings {
        eprintln!("wtd: {warning}");
    }
    let mut output = io::stdout().lock();
    let written = output.write_all(answer.text.as_bytes());
    match written.and_then(|()| output.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            eprintln!("wtd: standard output: {error}");
            ExitKind::Faults
        }
        _ => answer.exit,
    }
}

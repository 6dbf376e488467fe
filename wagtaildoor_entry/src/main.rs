//! Program of the entry: settings, then the server until a signal ends it.

use std::process::ExitCode;

use wagtaildoor::settings;
use wagtaildoor_entry::{
    cli::{
        self,
        CliOptions, //
    },
    server,
};

#[tokio::main]
async fn main() -> ExitCode {
    let options = CliOptions::from(cli::command().get_matches());
    let settings = match settings::read_entry(&options.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::FAILURE;
        }
    };
    if options.check {
        println!("{}: good", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match server::run(settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wagtaildoor-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

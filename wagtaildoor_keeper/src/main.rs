//! Entry point of the keeper: reads the settings and runs the server until a signal ends it.

use std::process::ExitCode;

use wagtaildoor::settings;
use wagtaildoor_daemon::cli::{
    self,
    CliOptions, //
};
use wagtaildoor_keeper::server;

const NAME: &str = "wagtaildoor-keeper";
const ABOUT: &str = "Coordinates: log, list, endpoints and peers, for the entries";

#[tokio::main]
async fn main() -> ExitCode {
    let options = CliOptions::from(cli::command(NAME, ABOUT).get_matches());
    match options.read_settings(settings::read_keeper) {
        Ok(settings) => cli::exit_code(NAME, server::run(settings).await),
        Err(code) => code,
    }
}

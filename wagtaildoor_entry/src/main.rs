//! Entry daemon: reads the settings and runs the server until a signal stops it.

use std::process::ExitCode;

use wagtaildoor::settings;
use wagtaildoor_daemon::cli::{
    self,
    CliOptions, //
};
use wagtaildoor_entry::server;

const NAME: &str = "wagtaildoor-entry";
const ABOUT: &str = "Answers callers: routes their requests to endpoints";

#[tokio::main]
async fn main() -> ExitCode {
    let options = CliOptions::from(cli::command(NAME, ABOUT).get_matches());
    match options.read_settings(settings::read_entry) {
        Ok(settings) => cli::exit_code(NAME, server::run(settings).await),
        Err(code) => code,
    }
}

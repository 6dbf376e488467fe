//! Entry point of the `wtd` binary.

use std::process::ExitCode;

use wtd::{
    cli,
    run, //
};

#[tokio::main]
async fn main() -> ExitCode {
    run::run(&cli::command().get_matches()).await.into()
}

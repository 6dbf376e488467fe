//! Program of the operators' tool.

use std::process::ExitCode;

use wtd::{
    cli,
    run, //
};

#[tokio::main]
async fn main() -> ExitCode {
    run::run(&cli::command().get_matches()).await.into()
}

//! Runs one fake per process until a signal stops it.

use std::process::ExitCode;

use wagtaildoor_fakes::{
    cli,
    program, //
};

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match program::run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wtd-fakes: {error}");
            ExitCode::FAILURE
        }
    }
}

//! Program of the benches: one subcommand for each experiment.

use std::process::ExitCode;

use wagtaildoor_bench::cli;

#[tokio::main]
async fn main() -> ExitCode {
    match cli::run(cli::command().get_matches()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wtd-bench: {error}");
            ExitCode::FAILURE
        }
    }
}

//! The `wtd-bench` program, with one subcommand for each benchmark.

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

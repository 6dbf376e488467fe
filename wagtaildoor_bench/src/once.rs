//! `wtd-bench once`: non-idempotent orders under faults, with effects counted at the service.

use std::thread;

use clap::{
    value_parser,
    Arg,
    ArgMatches,
    Command, //
};
use tokio::runtime;

use crate::cli::{
    BenchError,
    Result, //
};

pub mod appends;
pub mod order_faults;
pub mod orders;
pub mod publish_spread;

use order_faults::OrderFault;
use orders::{
    OrderCounts,
    OrderPlan, //
};

/// Name of the subcommand.
pub const NAME: &str = "once";

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Orders that may run only once, under faults, counted at the service")
        .arg(
            Arg::new("orders")
                .long("orders")
                .value_name("N")
                .help("Orders for each set of faults")
                .value_parser(value_parser!(u32))
                .default_value("1000"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .help("Seed of all draws")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
}

/// Runs the benchmark; fails when an order ran twice, was lost, or was wrongly reported as not run.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let orders = *matches.get_one::<u32>("orders").expect("has a default");
    let seed = *matches.get_one::<u64>("seed").expect("has a default");
    let violations = run_on_paused_clock(move || async move {
        let violations = print_orders(orders, seed).await;
        publish_spread::print(seed).await;
        appends::print(seed).await;
        violations
    })?;
    if violations > 0 {
        return Err(BenchError::Failures(
            format!("{violations} broken promises").into(),
        ));
    }
    Ok(())
}

/// Runs a future to completion on a runtime with a paused clock, which skips over sleeps.
fn run_on_paused_clock<F, T>(work: impl FnOnce() -> F + Send + 'static) -> Result<T>
where
    F: std::future::Future<Output = T>,
    T: Send + 'static,
{
    // A separate thread is needed, since the program's own runtime has a running clock.
    let thread = thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()?;
        Ok(runtime.block_on(work()))
    });
    let done: std::io::Result<T> = thread
        .join()
        .map_err(|_| BenchError::Failures("the bench panicked".into()))?;
    done.map_err(|error| BenchError::Setup(error.to_string().into()))
}

/// Runs orders under each set of faults and prints their counts; returns the number of violations.
async fn print_orders(orders: u32, seed: u64) -> u64 {
    println!("| faults | sent | copies | effects | duplicates | lost | wrong not_run | ran | not_run | unknown | unresolved |");
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let mut total = OrderCounts::default();
    for faults in OrderFault::sets() {
        let plan = OrderPlan {
            faults: faults.clone(),
            orders,
            seed,
        };
        let counts = orders::run(&plan).await;
        print_row(&order_faults::fault_names(&faults), &counts);
        total.add(&counts);
    }
    print_row("all", &total);
    total.violations()
}

/// Prints the counts of one set of faults.
fn print_row(name: &str, counts: &OrderCounts) {
    println!(
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        counts.sent,
        counts.copies,
        counts.effects,
        counts.duplicates,
        counts.lost,
        counts.wrong_not_run,
        counts.ran,
        counts.not_run,
        counts.unknown,
        counts.unresolved
    );
}

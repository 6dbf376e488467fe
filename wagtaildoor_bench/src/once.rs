//! `wtd-bench once`: non-idempotent orders under faults, counted at the service.

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

/// Name of the bench.
pub const NAME: &str = "once";

/// Command line of the bench.
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

/// Runs the bench, and fails when an order ran twice, was lost, or was wrongly said not to run.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let orders = *matches.get_one::<u32>("orders").expect("has a default");
    let seed = *matches.get_one::<u64>("seed").expect("has a default");
    let wrong = on_paused_clock(move || async move {
        let wrong = print_orders(orders, seed).await;
        publish_spread::print(seed).await;
        appends::print(seed).await;
        wrong
    })?;
    if wrong > 0 {
        return Err(BenchError::Failures(
            format!("{wrong} broken promises").into(),
        ));
    }
    Ok(())
}

/// Runs work to its end on a runtime whose clock jumps over waits.
fn on_paused_clock<F, T>(work: impl FnOnce() -> F + Send + 'static) -> Result<T>
where
    F: std::future::Future<Output = T>,
    T: Send + 'static,
{
    // A thread of its own: the program's runtime has a running clock.
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

/// Runs orders under each fault alone and in pairs; tells how many promises were broken.
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
        print_row(&order_faults::names(&faults), &counts);
        total.add(&counts);
    }
    print_row("all", &total);
    total.broken()
}

/// Prints the counts of one set of faults.
fn print_row(name: &str, c: &OrderCounts) {
    println!(
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        c.sent,
        c.copies,
        c.effects,
        c.duplicates,
        c.lost,
        c.wrong_not_run,
        c.ran,
        c.not_run,
        c.unknown,
        c.unresolved
    );
}

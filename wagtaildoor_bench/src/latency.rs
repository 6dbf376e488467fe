//! Latency that an entry adds over a direct engine call, measured side by side in one run.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use clap::{
    value_parser,
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
use hdrhistogram::Histogram;
use reqwest::Client;
use tokio::{
    task::JoinSet,
    time::{
        self,
        Instant,
        MissedTickBehavior, //
    },
};
use wagtaildoor::schema::EngineRequest;

use crate::{
    cli::{
        BenchError,
        Result, //
    },
    load_call::{
        self,
        CallTarget,
        CallTimes, //
    },
    process_use::{
        ProcessUse,
        WatchedProcess, //
    },
};

/// Name of the subcommand.
pub const NAME: &str = "latency";
/// Calls to each target before the measurement, to open connections and fill caches.
const WARM_UP_CALLS: usize = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum share of failed calls, in thousandths.
const FAILURES_PER_MILLE: usize = 1;
/// Quantiles printed in the tables; 1.0 is the maximum.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Builds the subcommand.
pub fn command() -> Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name(value)
            .help(help)
            .required(true)
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        text(name, "N", help)
            .required(false)
            .default_value(default)
            .value_parser(value_parser!(u32))
    };
    let shared = text("shared", "FILE", "Text of the template's shared prompt")
        .value_parser(value_parser!(PathBuf));
    let process = text(
        "process",
        "NAME=PID",
        "Process whose memory is told; may be repeated",
    )
    .required(false)
    .action(ArgAction::Append);
    Command::new(NAME)
        .about("Added latency of an entry over a direct call to the engine")
        .arg(text("entry", "URL", "Base URL of the entry"))
        .arg(text("engine", "URL", "Base URL of the engine"))
        .arg(text("token", "TOKEN", "Bearer token of the account"))
        .arg(text("template", "NAME", "Template to ask for"))
        .arg(text("pool", "NAME", "Pool of the engine"))
        .arg(shared)
        .arg(number(
            "rate",
            "500",
            "Requests a second to each of the two",
        ))
        .arg(number(
            "seconds",
            "10",
            "Length of the measurement, in seconds",
        ))
        .arg(number("tokens", "8", "Length of an answer, in tokens"))
        .arg(process)
}

/// Latencies and failures of one target.
#[derive(Debug)]
struct TargetTimes {
    /// Label in the printed table.
    name: &'static str,
    /// Times to the first chunk, in microseconds.
    first_chunk: Histogram<u64>,
    /// Times to the end of the response, in microseconds.
    whole: Histogram<u64>,
    /// Number of failed calls.
    failures: usize,
    /// Error text of the last failed call.
    last_failure: Box<str>,
}

/// Rate and duration of a measurement.
#[derive(Clone, Copy, Debug)]
struct LoadPlan {
    /// Calls per second to each target.
    rate: u32,
    /// Duration of the measurement.
    length: Duration,
}

/// Runs the benchmark and prints its tables; fails when too many calls failed.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let targets = build_targets(matches)?;
    let number = |name: &str| *matches.get_one::<u32>(name).expect("clap has a default");
    let plan = LoadPlan {
        rate: number("rate").max(1),
        length: Duration::from_secs(u64::from(number("seconds"))),
    };
    let client = Client::builder()
        .no_proxy()
        .tcp_nodelay(true)
        .timeout(CALL_TIMEOUT)
        .build()
        .map_err(|error| BenchError::Setup(error.to_string().into()))?;
    let processes = parse_processes(matches)?;
    for target in &targets {
        warm_up(target, &client).await?;
    }
    let before = sample_all(&processes)?;
    let times = measure(&targets, &client, plan).await;
    let after = sample_all(&processes)?;
    print_times(&times, plan);
    print_processes(&processes, &before, &after, plan.length);
    check_failures(&times)
}

/// Builds the two targets, engine and entry, which get the same prompt.
fn build_targets(matches: &ArgMatches) -> Result<[CallTarget; 2]> {
    let text = |name: &str| matches.get_one::<String>(name).expect("clap requires it");
    let max_tokens = *matches.get_one("tokens").expect("clap has a default");
    let path: &PathBuf = matches.get_one("shared").expect("clap requires it");
    let shared = read_text(path)?;
    let prompt = "Add the phrase for a late bus, in two dialects.";
    let request = EngineRequest {
        adapter: "".into(),
        attempt_id: "".into(),
        cache_salt: "bench".into(),
        levels: vec![shared.len() as u64],
        max_tokens,
        model: text("pool").as_str().into(),
        priority: 1,
        prompt: format!("{shared}{prompt}").into(),
        request_id: "".into(),
        resume_from: 0,
        weights_version: 1,
    };
    let direct = CallTarget::Direct {
        url: text("engine").as_str().into(),
        request: Box::new(request),
    };
    let entry = CallTarget::Entry {
        url: text("entry").as_str().into(),
        token: text("token").as_str().into(),
        template: text("template").as_str().into(),
        prompt: prompt.into(),
        max_tokens,
    };
    Ok([direct, entry])
}

fn read_text(path: &Path) -> Result<String> {
    fs::read_to_string(path)
        .map_err(|error| BenchError::Setup(format!("{}: {error}", path.display()).into()))
}

/// Parses the `NAME=PID` arguments.
fn parse_processes(matches: &ArgMatches) -> Result<Vec<WatchedProcess>> {
    let texts = matches.get_many::<String>("process").into_iter().flatten();
    texts
        .map(|text| WatchedProcess::try_from(text.as_str()))
        .collect()
}

/// Reads the resource use of each process; fails if one cannot be read.
fn sample_all(processes: &[WatchedProcess]) -> Result<Vec<ProcessUse>> {
    processes.iter().map(WatchedProcess::read).collect()
}

/// Sends the warm-up calls to a target; fails on the first failed call.
async fn warm_up(target: &CallTarget, client: &Client) -> Result<()> {
    for _ in 0..WARM_UP_CALLS {
        let result = target.call(client).await;
        result.map_err(|error| BenchError::Setup(format!("warm-up: {error}").into()))?;
    }
    Ok(())
}

/// Calls both targets at a constant rate, without waiting for earlier calls to complete.
async fn measure(targets: &[CallTarget; 2], client: &Client, plan: LoadPlan) -> [TargetTimes; 2] {
    let mut times = [TargetTimes::new("direct"), TargetTimes::new("entry")];
    let mut calls = JoinSet::new();
    let mut ticks = time::interval(Duration::from_secs(1) / plan.rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Instant::now() + plan.length;
    let mut is_entry_first = false;
    while ticks.tick().await < end {
        // The order alternates, so that no target always runs behind the other's load.
        is_entry_first = !is_entry_first;
        let order = if is_entry_first { [1, 0] } else { [0, 1] };
        for index in order {
            let target = targets[index].clone();
            let client = client.clone();
            calls.spawn(async move { (index, target.call(&client).await) });
        }
        while let Some(Ok((index, result))) = calls.try_join_next() {
            times[index].add(result);
        }
    }
    while let Some(joined) = calls.join_next().await {
        if let Ok((index, result)) = joined {
            times[index].add(result);
        }
    }
    times
}

impl TargetTimes {
    fn new(name: &'static str) -> Self {
        let max_micros = micros(CALL_TIMEOUT * 2);
        let histogram =
            || Histogram::new_with_bounds(1, max_micros, 3).expect("the bounds fit the precision");
        Self {
            name,
            first_chunk: histogram(),
            whole: histogram(),
            failures: 0,
            last_failure: "".into(),
        }
    }

    /// Records the result of one call.
    fn add(&mut self, result: load_call::Result<CallTimes>) {
        match result {
            Ok(times) => {
                self.first_chunk
                    .saturating_record(micros(times.first_chunk));
                self.whole.saturating_record(micros(times.whole));
            }
            Err(error) => {
                self.failures += 1;
                self.last_failure = error.to_string().into();
            }
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Prints the latencies of both targets and their differences.
fn print_times(times: &[TargetTimes; 2], plan: LoadPlan) {
    println!(
        "{} requests/s to each for {} s, in milliseconds",
        plan.rate,
        plan.length.as_secs()
    );
    println!();
    println!("| time to | target | p50 | p90 | p99 | max | calls | failed |");
    println!("|---|---|---:|---:|---:|---:|---:|---:|");
    let [direct, entry] = times;
    print_rows(
        "first piece",
        [&direct.first_chunk, &entry.first_chunk],
        times,
    );
    print_rows("whole answer", [&direct.whole, &entry.whole], times);
    for target in times.iter().filter(|target| target.failures > 0) {
        println!();
        println!("last failure, {}: {}", target.name, target.last_failure);
    }
}

/// Prints one kind of latency for both targets, and the difference at each quantile.
fn print_rows(what: &str, [direct, entry]: [&Histogram<u64>; 2], times: &[TargetTimes; 2]) {
    let millis = |micros: f64| format!("{:.3}", micros / 1_000.0);
    let row = |histogram: &Histogram<u64>| {
        let cells = QUANTILES.map(|q| millis(histogram.value_at_quantile(q) as f64));
        cells.join(" | ")
    };
    for (target, histogram) in times.iter().zip([direct, entry]) {
        let cells = row(histogram);
        let name = target.name;
        let failures = target.failures;
        println!(
            "| {what} | {name} | {cells} | {} | {failures} |",
            histogram.len()
        );
    }
    let added = QUANTILES.map(|q| {
        let difference = entry.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64;
        millis(difference)
    });
    println!("| {what} | added | {} | | |", added.join(" | "));
}

/// Prints memory and CPU use of each process during the measurement.
fn print_processes(
    processes: &[WatchedProcess],
    before: &[ProcessUse],
    after: &[ProcessUse],
    length: Duration,
) {
    if processes.is_empty() {
        return;
    }
    println!();
    println!("| process | memory, MiB | peak, MiB | processor, % of a core |");
    println!("|---|---:|---:|---:|");
    for (process, (before, after)) in processes.iter().zip(before.iter().zip(after)) {
        let used = after.cpu_time.saturating_sub(before.cpu_time);
        let share = 100.0 * used.as_secs_f64() / length.as_secs_f64();
        let mib = |kib: u64| kib as f64 / 1024.0;
        println!(
            "| {} | {:.1} | {:.1} | {share:.1} |",
            process.name,
            mib(after.memory_kib),
            mib(after.peak_kib)
        );
    }
}

/// Returns an error when the share of failed calls exceeds `FAILURES_PER_MILLE`.
fn check_failures(times: &[TargetTimes; 2]) -> Result<()> {
    for target in times {
        let calls = target.failures + usize::try_from(target.whole.len()).unwrap_or(usize::MAX);
        if target.failures * 1_000 > calls * FAILURES_PER_MILLE {
            let text = format!(
                "{} of {calls} calls to {}, the last: {}",
                target.failures, target.name, target.last_failure
            );
            return Err(BenchError::Failures(text.into()));
        }
    }
    Ok(())
}

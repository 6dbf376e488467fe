//! `wtd-bench crash`: requests with one part of a prompt that crashes engines, among sound requests.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use clap::{
    value_parser,
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use reqwest::Client;
use tokio::{
    task::JoinSet,
    time::{
        self,
        Instant,
        MissedTickBehavior, //
    },
};
use wagtaildoor_fakes::fake_engine::engine_faults::{
    EngineCounts,
    EngineFaults, //
};

use crate::{
    cli::{
        BenchError,
        Result, //
    },
    load_call::CallTarget,
};

/// Name of the subcommand.
pub const NAME: &str = "crash";
/// Text that crashes the engines.
const CRASH_TEXT: &str = "[part that crashes engines]";
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that an engine gets to answer after a crash.
const RESTART_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two attempts to read an engine's counts.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct CrashPlan {
    /// Addresses of the engines, whose faults are set for the run.
    pub engines: Vec<SocketAddr>,
    /// Number of requests.
    pub requests: u32,
    /// Requests per second.
    pub per_second: u32,
    /// Average number of requests of which one has the crashing text; 0 for none.
    pub part_every: u32,
    /// Time for which an engine is down after a crash, in milliseconds.
    pub restart_ms: u64,
    /// Lets responses of engines end with their connections.
    pub close_delimited: bool,
    /// Seed of the choice of requests.
    pub seed: u64,
}

/// What became of the requests of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCounts {
    /// Requests with the crashing text.
    pub crashing: u64,
    /// Arrivals of such requests at engines.
    pub arrivals: u64,
    /// Crashes of engines.
    pub crashes: u64,
    /// Requests without the text.
    pub sound: u64,
    /// Those of them whose answer was whole.
    pub sound_whole: u64,
}

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
    let engines = text("engines", "IP:PORT,...", "Addresses of the engines")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr));
    let close_delimited = Arg::new("close-delimited")
        .long("close-delimited")
        .action(ArgAction::SetTrue)
        .help("Let answers of engines end with their connections");
    Command::new(NAME)
        .about("Sound requests beside requests that crash the engine that answers them")
        .arg(text("entry", "URL", "Base URL of the entry"))
        .arg(engines)
        .arg(text("token", "TOKEN", "Bearer token of the account"))
        .arg(text("template", "NAME", "Template to ask for"))
        .arg(number("requests", "400", "Requests in all"))
        .arg(number("per-second", "20", "Requests a second"))
        .arg(number("tokens", "8", "Length of an answer, in tokens"))
        .arg(number(
            "part-every",
            "10",
            "Of so many requests, one crashes engines; 0 for none",
        ))
        .arg(number(
            "restart-ms",
            "2000",
            "Time an engine is down after a crash, in ms",
        ))
        .arg(number("seed", "1", "Seed of all draws"))
        .arg(close_delimited)
}

/// Runs the benchmark and prints its counts.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    let text = |name: &str| -> Box<str> {
        let value: &String = matches.get_one(name).expect("clap requires it");
        value.trim_end_matches('/').into()
    };
    let number = |name: &str| *matches.get_one::<u32>(name).expect("clap has a default");
    let engines = matches.get_many("engines").expect("clap requires it");
    let plan = CrashPlan {
        engines: engines.copied().collect(),
        requests: number("requests"),
        per_second: number("per-second"),
        part_every: number("part-every"),
        restart_ms: number("restart-ms").into(),
        close_delimited: matches.get_flag("close-delimited"),
        seed: number("seed").into(),
    };
    let target = |prompt: &str, _| CallTarget::Entry {
        url: text("entry"),
        token: text("token"),
        template: text("template"),
        prompt: prompt.into(),
        max_tokens: number("tokens"),
    };
    let counts = send_all(&plan, target).await?;
    println!(
        "| requests that crash | arrivals at engines | engines ended | sound requests | whole |"
    );
    println!("|---:|---:|---:|---:|---:|");
    println!(
        "| {} | {} | {} | {} | {} |",
        counts.crashing, counts.arrivals, counts.crashes, counts.sound, counts.sound_whole
    );
    Ok(())
}

/// Sets the faults of the engines, sends all requests to the targets that `target` makes of a
/// prompt and a number, and unsets the faults.
pub async fn send_all(
    plan: &CrashPlan,
    target: impl Fn(&str, u32) -> CallTarget,
) -> Result<CrashCounts> {
    let client = Client::builder()
        .no_proxy()
        .timeout(CALL_TIMEOUT)
        .build()
        .map_err(setup_error)?;
    let before = sum_counts(plan, &client).await?;
    let faults = EngineFaults {
        crash_on_prompt: CRASH_TEXT.into(),
        restart_ms: plan.restart_ms,
        close_delimited: plan.close_delimited,
        ..EngineFaults::default()
    };
    set_faults(plan, &client, &faults).await?;
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let mut ticks = time::interval(Duration::from_secs(1) / plan.per_second.max(1));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    for number in 0..plan.requests {
        ticks.tick().await;
        let is_crashing = plan.part_every > 0 && rng.random_ratio(1, plan.part_every);
        let part = if is_crashing { CRASH_TEXT } else { "" };
        let target = target(&format!("Request {number}. {part}"), number);
        let client = client.clone();
        calls.spawn(async move { (is_crashing, target.call(&client).await.is_ok()) });
    }
    let mut counts = CrashCounts::default();
    while let Some(ended) = calls.join_next().await {
        let (is_crashing, is_whole) = ended.map_err(setup_error)?;
        counts.crashing += u64::from(is_crashing);
        counts.sound += u64::from(!is_crashing);
        counts.sound_whole += u64::from(!is_crashing && is_whole);
    }
    let after = sum_counts(plan, &client).await?;
    set_faults(plan, &client, &EngineFaults::default()).await?;
    counts.arrivals = after.crash_prompts - before.crash_prompts;
    counts.crashes = after.crashes - before.crashes;
    Ok(counts)
}

/// Replaces the faults of all engines.
async fn set_faults(plan: &CrashPlan, client: &Client, faults: &EngineFaults) -> Result<()> {
    for engine in &plan.engines {
        let call = client.post(format!("http://{engine}/faults")).json(faults);
        let response = call.send().await.and_then(|r| r.error_for_status());
        response.map_err(setup_error)?;
    }
    Ok(())
}

/// Returns the sums of crashes and arrivals of all engines, once they are up.
async fn sum_counts(plan: &CrashPlan, client: &Client) -> Result<EngineCounts> {
    let mut sum = EngineCounts::default();
    for engine in &plan.engines {
        let url = format!("http://{engine}/counts");
        let started = Instant::now();
        let response = loop {
            match client.get(&url).send().await {
                Ok(response) => break response,
                Err(error) if started.elapsed() > RESTART_TIMEOUT => {
                    return Err(setup_error(error))
                }
                Err(_) => time::sleep(POLL_INTERVAL).await,
            }
        };
        let counts: EngineCounts = response.json().await.map_err(setup_error)?;
        sum.crashes += counts.crashes;
        sum.crash_prompts += counts.crash_prompts;
    }
    Ok(sum)
}

fn setup_error(error: impl ToString) -> BenchError {
    BenchError::Setup(error.to_string().into())
}

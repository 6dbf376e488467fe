//! Compares the placement policy with baselines and an oracle bound, in a simulation.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Mutex,
        PoisonError, //
    },
    thread,
    time::Instant,
};

use clap::{
    value_parser,
    Arg,
    ArgMatches,
    Command, //
};
use wagtaildoor::placement::PlacementPolicy;

use crate::cli::{
    BenchError,
    Result, //
};

pub mod deciders;
pub mod deployment;
pub mod engine_model;
pub mod event_queue;
pub mod report;
pub mod run_event;
pub mod run_metrics;
pub mod simulation;
pub mod workload;

use deciders::{
    LeastLoad,
    OracleBound,
    PrefixHash,
    RoundRobin,
    TableDecider, //
};
use deployment::{
    DeploymentShape,
    NamedFault,
    DESK,
    FAULTS,
    PUBLISHER, //
};
use run_metrics::RunMetrics;
use simulation::Simulation;
use workload::{
    RunRequest, //
    SimMicros,
};

/// Name of the subcommand.
pub const NAME: &str = "policy";

/// Placement policy under comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    /// Cycles through the engines.
    RoundRobin,
    /// Chooses the engine with the least load.
    LeastLoad,
    /// Chooses an engine by rendezvous hashing of the shared prompt levels.
    PrefixHash,
    /// Uses wagtaildoor's own placement policy.
    Wagtaildoor,
    /// Scores like wagtaildoor's policy, but with exact knowledge of all caches and queues.
    Bound,
}

/// Metrics of one run, with the case that was run.
#[derive(Clone, Debug)]
pub struct PolicyResult {
    /// Simulated deployment.
    pub shape: DeploymentShape,
    /// Injected faults.
    pub fault: NamedFault,
    /// Placement policy.
    pub policy: PolicyKind,
    /// Metrics of the simulated run, without its warm-up.
    pub metrics: RunMetrics,
}

impl PolicyKind {
    /// All policies, in table order.
    pub const ALL: [PolicyKind; 5] = [
        PolicyKind::RoundRobin,
        PolicyKind::LeastLoad,
        PolicyKind::PrefixHash,
        PolicyKind::Wagtaildoor,
        PolicyKind::Bound,
    ];

    /// Name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::RoundRobin => "round robin",
            PolicyKind::LeastLoad => "least load",
            PolicyKind::PrefixHash => "prefix hash",
            PolicyKind::Wagtaildoor => "wagtaildoor",
            PolicyKind::Bound => "knowing bound",
        }
    }
}

/// Builds the subcommand.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Compare placement policies on a virtual clock")
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of the requests")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("threads")
                .long("threads")
                .help("Runs at a time")
                .value_parser(value_parser!(usize))
                .default_value("2"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .help("Run only the first so many fault plans")
                .value_parser(value_parser!(usize))
                .default_value("11"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .help("Folder for the tables and plots; without it, tables are only printed")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs every policy under the selected fault plans on both deployments, and reports the results.
pub fn run(matches: &ArgMatches) -> Result<()> {
    let seed = *matches.get_one::<u64>("seed").expect("a default");
    let threads = *matches.get_one::<usize>("threads").expect("a default");
    let faults = *matches.get_one::<usize>("faults").expect("a default");
    let results = run_all(seed, threads, faults);
    let page = report::render_page(&results, seed);
    println!("{page}");
    match matches.get_one::<PathBuf>("out") {
        Some(folder) => write_report(folder, &page, &results),
        None => Ok(()),
    }
}

/// Runs all cases on `threads` threads; the results are in table order.
fn run_all(seed: u64, threads: usize, faults: usize) -> Vec<PolicyResult> {
    let mut cases = Vec::new();
    for shape in [PUBLISHER, DESK] {
        for fault in FAULTS.into_iter().take(faults) {
            for policy in PolicyKind::ALL {
                cases.push((shape, fault, policy));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(&(shape, fault, policy)) = cases.get(index) else {
                    return;
                };
                let metrics = run_one(&shape, &fault, policy, seed);
                let result = PolicyResult {
                    shape,
                    fault,
                    policy,
                    metrics,
                };
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results.push((index, result));
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Simulates one policy under one fault plan; equal arguments give equal metrics.
pub fn run_one(
    shape: &DeploymentShape,
    fault: &NamedFault,
    policy: PolicyKind,
    seed: u64,
) -> RunMetrics {
    let requests = workload::generate_requests(shape, &fault.plan, seed);
    let engines = shape.endpoint_domains.len();
    let own_policy = PlacementPolicy::default();
    let epoch = Instant::now();
    match policy {
        PolicyKind::RoundRobin => {
            let start = |host, _| RoundRobin::starting_at(host * 5);
            run_with_deciders(shape, fault, &requests, start, epoch)
        }
        PolicyKind::LeastLoad => {
            let start = |host, _| LeastLoad::new(engines, host * 5);
            run_with_deciders(shape, fault, &requests, start, epoch)
        }
        PolicyKind::PrefixHash => {
            run_with_deciders(shape, fault, &requests, |_, _| PrefixHash, epoch)
        }
        PolicyKind::Wagtaildoor => {
            let start = |host, now| {
                let seed = seed ^ (host as u64 + 1) ^ now;
                TableDecider::new(shape, own_policy, host, seed, epoch, now)
            };
            run_with_deciders(shape, fault, &requests, start, epoch)
        }
        PolicyKind::Bound => {
            let start = |_, _| OracleBound {
                policy: own_policy,
                prefill_tokens_per_s: shape.prefill_tokens_per_s,
            };
            run_with_deciders(shape, fault, &requests, start, epoch)
        }
    }
}

/// Simulates a run with the deciders that `start` creates for each host.
fn run_with_deciders<D: deciders::Decider, F: Fn(usize, SimMicros) -> D>(
    shape: &DeploymentShape,
    fault: &NamedFault,
    requests: &[RunRequest],
    start: F,
    epoch: Instant,
) -> RunMetrics {
    Simulation::new(shape, fault.plan, requests, start, epoch).run()
}

/// Writes the report and its plots into `folder`.
fn write_report(folder: &Path, page: &str, results: &[PolicyResult]) -> Result<()> {
    let failed = |error: std::io::Error| BenchError::Setup(error.to_string().into());
    fs::create_dir_all(folder).map_err(failed)?;
    fs::write(folder.join("policy.md"), page).map_err(failed)?;
    for plot in report::render_plots(results) {
        fs::write(folder.join(&*plot.file), plot.svg).map_err(failed)?;
    }
    Ok(())
}

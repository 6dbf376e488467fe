//! Runs sequences of operations from fixed seeds under a paused clock.

use std::{
    cell::Cell,
    env,
    fmt::Debug,
    future::Future, //
};

use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck, //
};
use tokio::runtime;

/// Sets another seed for all tests.
const SEED_VARIABLE: &str = "WAGTAILDOOR_SEED";
/// Sets another number of sequences for each seed.
const RUNS_VARIABLE: &str = "WAGTAILDOOR_RUNS";

thread_local! {
    /// Operations that the test of this thread has done.
    static OPS: Cell<usize> = const { Cell::new(0) };
}

/// How many sequences a test runs, and how long they are.
#[derive(Clone, Copy, Debug)]
pub struct SequencePlan {
    /// Seed.
    pub seed: u64,
    /// Sequences.
    pub runs: u64,
    /// Longest sequence, in operations.
    pub length: usize,
    /// Operations that all sequences together must reach.
    pub ops: usize,
}

/// Holds a property against sequences; a failure prints the seed and the shrunk sequence.
pub fn check<I: Arbitrary + Debug>(plan: SequencePlan, hold: fn(I) -> Result<bool, String>) {
    let seed = variable(SEED_VARIABLE).unwrap_or(plan.seed);
    let runs = variable(RUNS_VARIABLE).unwrap_or(plan.runs);
    println!("{SEED_VARIABLE}={seed} {RUNS_VARIABLE}={runs}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(plan.length, seed))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(hold);
    let ops = OPS.get();
    println!("{ops} operations");
    if variable(RUNS_VARIABLE).is_none() {
        assert!(ops >= plan.ops, "only {ops} operations were done");
    }
}

/// Runs a sequence of so many operations to its end under a paused clock.
pub fn run_paused<T>(ops: usize, sequence: impl Future<Output = T>) -> T {
    OPS.set(OPS.get() + ops);
    runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
        .block_on(sequence)
}

/// A number from the environment.
fn variable(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

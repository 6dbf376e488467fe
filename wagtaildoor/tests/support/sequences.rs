//! Property tests on sequences of operations, with fixed seeds and a paused clock.

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

/// Environment variable that overrides the seed.
const SEED_VARIABLE: &str = "WAGTAILDOOR_SEED";
/// Environment variable that overrides the number of sequences.
const RUNS_VARIABLE: &str = "WAGTAILDOOR_RUNS";

thread_local! {
    /// Operations that the test of this thread has run.
    static OPS: Cell<usize> = const { Cell::new(0) };
}

/// Number and length of the sequences of a test.
#[derive(Clone, Copy, Debug)]
pub struct SequencePlan {
    /// Seed of the generator.
    pub seed: u64,
    /// Number of sequences.
    pub runs: u64,
    /// Maximum length of a sequence, in operations.
    pub length: usize,
    /// Minimum number of operations over all sequences.
    pub ops: usize,
}

/// Checks a property on random sequences; a failure prints the seed and the shrunk sequence.
pub fn check<I: Arbitrary + Debug>(plan: SequencePlan, property: fn(I) -> Result<bool, String>) {
    let seed = variable(SEED_VARIABLE).unwrap_or(plan.seed);
    let runs = variable(RUNS_VARIABLE).unwrap_or(plan.runs);
    println!("{SEED_VARIABLE}={seed} {RUNS_VARIABLE}={runs}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(plan.length, seed))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property);
    let ops = OPS.get();
    println!("{ops} operations");
    if variable(RUNS_VARIABLE).is_none() {
        assert!(ops >= plan.ops, "only {ops} operations were done");
    }
}

/// Runs a sequence of `ops` operations to completion under a paused clock.
pub fn run_paused<T>(ops: usize, sequence: impl Future<Output = T>) -> T {
    OPS.set(OPS.get() + ops);
    runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime")
        .block_on(sequence)
}

/// Reads a number from an environment variable.
fn variable(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

//! Property tests with fixed seeds; a failure prints its seed and the shrunk case.

use std::env;

use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};

/// First seed, unless `WAGTAILDOOR_SEED` is set.
const FIRST_SEED: u64 = 1;

/// Number of consecutive seeds, unless `WAGTAILDOOR_RUNS` is set.
const SEEDS: u64 = 4;

/// Cases per seed.
const CASES: u64 = 200;

/// Size of a generated case.
const CASE_SIZE: usize = 60;

/// Checks a property with each seed, on the default number and size of cases.
pub fn check<P: Testable + Clone>(name: &str, property: P) {
    check_cases(name, CASES, CASE_SIZE, property);
}

/// Checks a property with each seed, on the given number and size of cases.
pub fn check_cases<P: Testable + Clone>(name: &str, cases: u64, size: usize, property: P) {
    let first = number("WAGTAILDOOR_SEED").unwrap_or(FIRST_SEED);
    let seeds = number("WAGTAILDOOR_RUNS").unwrap_or(SEEDS);
    for seed in first..first + seeds {
        let gen = Gen::from_size_and_seed(size, seed);
        let result = QuickCheck::new()
            .rng(gen)
            .tests(cases)
            .quicktest(property.clone());
        if let Err(failure) = result {
            panic!("{name}: WAGTAILDOOR_SEED={seed} WAGTAILDOOR_RUNS=1: {failure:?}");
        }
    }
}

/// Reads a number from an environment variable.
fn number(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

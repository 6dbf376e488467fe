//! Compares the prompt cache with a simple list as its model.

use std::{
    env,
    time::Duration, //
};

use quickcheck::{
    Arbitrary,
    Gen,
    QuickCheck,
    Testable, //
};
use tokio::time::Instant;
use wagtaildoor_fakes::fake_engine::{
    prompt_blocks::BlockHash,
    prompt_cache::PromptCache, //
};

/// Default of `WAGTAILDOOR_SEED`.
const SEED: u64 = 20;
/// Default of `WAGTAILDOOR_RUNS`.
const RUNS: u64 = 300;
/// Size of the generator, which limits the number of steps.
const SIZE_STEPS: usize = 60;
/// Capacity of the cache, in blocks.
const CAPACITY: usize = 6;
/// Time after its last use at which a block expires.
const AGE_LIMIT: Duration = Duration::from_secs(10);

/// An operation on the cache.
#[derive(Clone, Debug)]
enum CacheStep {
    /// Inserts the chain of a family with the given length.
    Use(u8, u8),
    /// Advances the time by a number of seconds.
    Wait(u8),
    /// Evicts the first block of a family.
    Evict(u8),
}

impl Arbitrary for CacheStep {
    fn arbitrary(generator: &mut Gen) -> Self {
        let number = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 8 {
            0 => CacheStep::Wait(number % 12),
            1 => CacheStep::Evict(number % 4),
            _ => CacheStep::Use(number % 4, u8::arbitrary(generator) % 8 + 1),
        }
    }
}

/// Model of the cache: a list with the most recently used block first.
struct ListModel {
    /// Blocks with the time of their last use.
    blocks: Vec<(BlockHash, Instant)>,
}

impl ListModel {
    fn expire(&mut self, now: Instant) {
        self.blocks.retain(|(_, used)| now - *used < AGE_LIMIT);
    }

    fn insert(&mut self, chain: &[BlockHash], now: Instant) {
        self.expire(now);
        let fitting = &chain[..chain.len().min(CAPACITY)];
        self.blocks.retain(|(block, _)| !fitting.contains(block));
        let used = fitting.iter().map(|&block| (block, now));
        self.blocks.splice(0..0, used);
        self.blocks.truncate(CAPACITY);
    }

    fn sorted(&self) -> Vec<BlockHash> {
        let mut blocks: Vec<BlockHash> = self.blocks.iter().map(|(block, _)| *block).collect();
        blocks.sort_unstable();
        blocks
    }
}

/// Returns a chain of blocks. Chains of the same family share their leading blocks.
fn chain_of(family: u8, length: u8) -> Vec<BlockHash> {
    let first = u64::from(family) * 100;
    (first..first + u64::from(length)).collect()
}

fn matches_the_model(steps: Vec<CacheStep>) -> bool {
    let mut now = Instant::now();
    let mut cache = PromptCache::new(CAPACITY, Some(AGE_LIMIT));
    let mut model = ListModel { blocks: Vec::new() };
    let mut reported: Vec<BlockHash> = Vec::new();
    steps.into_iter().all(|step| {
        match step {
            CacheStep::Use(family, length) => {
                let chain = chain_of(family, length);
                model.expire(now);
                let cached = model.sorted();
                let known = chain.iter().take_while(|block| cached.contains(block));
                if cache.lookup(&chain, now) != known.count() {
                    return false;
                }
                let change = cache.insert(&chain, now);
                reported.retain(|block| !change.removed.contains(block));
                reported.extend(change.stored);
                model.insert(&chain, now);
            }
            CacheStep::Wait(seconds) => now += Duration::from_secs(u64::from(seconds)),
            CacheStep::Evict(family) => {
                let block = u64::from(family) * 100;
                model.expire(now);
                for gone in cache.expire(now) {
                    reported.retain(|known| *known != gone);
                }
                let is_cached = model.sorted().contains(&block);
                if cache.evict(block) != is_cached {
                    return false;
                }
                reported.retain(|known| *known != block);
                model.blocks.retain(|(known, _)| *known != block);
            }
        }
        model.expire(now);
        let mut cached: Vec<BlockHash> = cache.blocks(now).collect();
        cached.sort_unstable();
        // Expired blocks may be reported late, but every cached block must have been reported.
        let all_reported = cached.iter().all(|block| reported.contains(block));
        cached == model.sorted() && all_reported && cache.len() <= CAPACITY
    })
}

fn check(property: impl Testable) {
    let number = |name: &str, default| {
        let text = env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let seed = number("WAGTAILDOOR_SEED", SEED);
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE_STEPS, seed))
        .tests(number("WAGTAILDOOR_RUNS", RUNS))
        .quickcheck(property);
}

#[test]
fn cache_matches_the_list_model() {
    check(matches_the_model as fn(Vec<CacheStep>) -> bool);
}

#[test]
fn ends_of_chains_are_evicted_first() {
    let now = Instant::now();
    let mut cache = PromptCache::new(4, None);
    cache.insert(&[1, 2, 3], now);
    let change = cache.insert(&[11, 12], now);
    assert_eq!(change.stored, [11, 12]);
    assert_eq!(change.removed, [3]);
    assert_eq!(cache.lookup(&[1, 2, 3], now), 2);
}

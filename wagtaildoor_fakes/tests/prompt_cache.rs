//! The prompt cache against a plain list of blocks by age.

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

/// Seed when the environment names none.
const SEED: u64 = 20;
/// Runs when the environment names no number.
const RUNS: u64 = 300;
/// Length of a sequence of steps.
const SIZE_STEPS: usize = 60;
/// Blocks the cache holds.
const CAPACITY: usize = 6;
/// Age at which a block goes.
const AGE_LIMIT: Duration = Duration::from_secs(10);

/// One step against the cache.
#[derive(Clone, Debug)]
enum CacheStep {
    /// A chain with the first block and its length is used.
    Use(u8, u8),
    /// Time goes on, in seconds.
    Wait(u8),
    /// A block goes.
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

/// The same cache as a plain list, the newest block first.
struct ListModel {
    /// Blocks with their last use.
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

/// Chains of one family share their leading blocks.
fn chain_of(family: u8, length: u8) -> Vec<BlockHash> {
    let first = u64::from(family) * 100;
    (first..first + u64::from(length)).collect()
}

fn follows_the_model(steps: Vec<CacheStep>) -> bool {
    let mut now = Instant::now();
    let mut cache = PromptCache::new(CAPACITY, Some(AGE_LIMIT));
    let mut model = ListModel { blocks: Vec::new() };
    let mut told: Vec<BlockHash> = Vec::new();
    steps.into_iter().all(|step| {
        match step {
            CacheStep::Use(family, length) => {
                let chain = chain_of(family, length);
                model.expire(now);
                let held = model.sorted();
                let known = chain.iter().take_while(|block| held.contains(block));
                if cache.lookup(&chain, now) != known.count() {
                    return false;
                }
                let change = cache.insert(&chain, now);
                told.retain(|block| !change.removed.contains(block));
                told.extend(change.stored);
                model.insert(&chain, now);
            }
            CacheStep::Wait(seconds) => now += Duration::from_secs(u64::from(seconds)),
            CacheStep::Evict(family) => {
                let block = u64::from(family) * 100;
                model.expire(now);
                for gone in cache.expire(now) {
                    told.retain(|known| *known != gone);
                }
                let held = model.sorted().contains(&block);
                if cache.evict(block) != held {
                    return false;
                }
                told.retain(|known| *known != block);
                model.blocks.retain(|(known, _)| *known != block);
            }
        }
        model.expire(now);
        let mut held: Vec<BlockHash> = cache.blocks(now).collect();
        held.sort_unstable();
        // What was told may lag behind in what went by age, never in what is held.
        let all_told = held.iter().all(|block| told.contains(block));
        held == model.sorted() && all_told && cache.len() <= CAPACITY
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
fn the_cache_is_the_list_of_its_newest_blocks() {
    check(follows_the_model as fn(Vec<CacheStep>) -> bool);
}

#[test]
fn the_ends_of_chains_go_first() {
    let now = Instant::now();
    let mut cache = PromptCache::new(4, None);
    cache.insert(&[1, 2, 3], now);
    let change = cache.insert(&[11, 12], now);
    assert_eq!(change.stored, [11, 12]);
    assert_eq!(change.removed, [3]);
    assert_eq!(cache.lookup(&[1, 2, 3], now), 2);
}

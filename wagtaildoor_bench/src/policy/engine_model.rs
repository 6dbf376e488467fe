//! Simulated engine with serial prefills, a running batch and a limited prefix cache.

use std::{
    collections::VecDeque,
    mem,
    time::{
        Duration,
        Instant, //
    },
};

use wagtaildoor::{
    ids::BootId,
    schema::CacheEventKind, //
};
use wagtaildoor_fakes::fake_engine::{
    prompt_blocks::{
        BlockChain,
        BLOCK_TOKENS, //
    },
    prompt_cache::PromptCache,
};

use super::{
    deployment::DeploymentShape,
    workload::{
        self,
        SimMicros,
        SECOND, //
    },
};

/// Decode time per token of an answer.
const DECODE_TIME_PER_TOKEN: SimMicros = 5_000;
/// Additional decode time per token for each request in the batch.
const DECODE_TIME_PER_RUNNING: SimMicros = 50;

/// One attempt of a request, as work of an engine.
#[derive(Clone, Debug)]
pub struct EngineJob {
    /// Index of the request.
    pub request: usize,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Block hashes of the prompt.
    pub chain: BlockChain,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the answer, in tokens.
    pub answer_tokens: u64,
}

/// Prefill that has just started.
#[derive(Clone, Debug)]
pub struct PrefillStart {
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Simulated time that the prefill takes.
    pub duration: SimMicros,
    /// Work that is prefilled.
    pub job: EngineJob,
}

/// Cache change that the engine has yet to publish.
#[derive(Clone, Debug)]
pub struct CacheChange {
    /// Whether the blocks were stored or removed.
    pub kind: CacheEventKind,
    /// Hashes of the last blocks of prompt levels.
    pub blocks: Vec<u64>,
}

/// State of a simulated engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Whether the engine is running.
    pub is_up: bool,
    /// Boot number; increases with each crash, which makes events of earlier boots stale.
    pub boot_number: u32,
    /// Work waiting for its prefill.
    queue: VecDeque<EngineJob>,
    /// Work in prefill, with the time of completion.
    prefilling: Option<(EngineJob, SimMicros)>,
    /// Work whose answer is being generated.
    decoding: Vec<EngineJob>,
    /// Prefix cache.
    cache: PromptCache,
    /// Cache changes that are not published yet.
    pending_changes: Vec<CacheChange>,
    /// Index of the engine.
    number: usize,
    /// Prefill throughput, in tokens per second.
    prefill_tokens_per_s: f64,
    /// Maximum number of requests in the batch.
    batch_limit: u32,
    /// Capacity of the cache, in blocks.
    cache_blocks: usize,
    /// Instant that corresponds to simulation time 0, for the cache's clock.
    epoch: Instant,
}

impl EngineModel {
    /// Creates a running engine with an empty cache.
    pub fn new(shape: &DeploymentShape, number: usize, epoch: Instant) -> Self {
        let cache_blocks = (shape.cache_tokens / BLOCK_TOKENS) as usize;
        Self {
            is_up: true,
            boot_number: 0,
            queue: VecDeque::new(),
            prefilling: None,
            decoding: Vec::new(),
            cache: PromptCache::new(cache_blocks, None),
            pending_changes: Vec::new(),
            number,
            prefill_tokens_per_s: shape.prefill_tokens_per_s,
            batch_limit: shape.batch_limit,
            cache_blocks,
            epoch,
        }
    }

    /// Boot id, which changes with each crash.
    pub fn boot_id(&self) -> BootId {
        format!("e{}-{}", self.number, self.boot_number).into()
    }

    /// Number of requests in the batch, including the one in prefill.
    pub fn running(&self) -> u32 {
        (self.decoding.len() + usize::from(self.prefilling.is_some())) as u32
    }

    /// Number of requests waiting for their prefill.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Number of tokens of the prompt's prefix that are in the cache.
    pub fn cached_tokens(&self, chain: &[u64], now: SimMicros) -> u64 {
        self.cache.lookup(chain, self.instant(now)) as u64 * BLOCK_TOKENS
    }

    /// Predicts the queueing time of a new request, and the prompt tokens cached by then.
    pub fn predict_prefill(&self, chain: &[u64], now: SimMicros) -> (SimMicros, u64) {
        let mut cached = self.cached_tokens(chain, now);
        let mut wait = 0;
        if let Some((job, ends_at)) = &self.prefilling {
            wait += ends_at.saturating_sub(now);
            cached = cached.max(shared_tokens(&job.chain, chain));
        }
        for (index, job) in self.queue.iter().enumerate() {
            let mut found = self.cached_tokens(&job.chain, now);
            if let Some((ahead, _)) = &self.prefilling {
                found = found.max(shared_tokens(&ahead.chain, &job.chain));
            }
            for ahead in self.queue.iter().take(index) {
                found = found.max(shared_tokens(&ahead.chain, &job.chain));
            }
            wait += self.prefill_time(job.prompt_tokens - found.min(job.prompt_tokens));
            cached = cached.max(shared_tokens(&job.chain, chain));
        }
        (wait, cached)
    }

    /// Queues work.
    pub fn push_job(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Starts the next prefill if none is running and the batch has room.
    pub fn start_prefill(&mut self, now: SimMicros) -> Option<PrefillStart> {
        if self.prefilling.is_some() || self.running() >= self.batch_limit {
            return None;
        }
        let job = self.queue.pop_front()?;
        let max_cached = job.prompt_tokens.saturating_sub(1);
        let cached_tokens = self.cached_tokens(&job.chain, now).min(max_cached);
        let duration = self.prefill_time(job.prompt_tokens - cached_tokens);
        self.prefilling = Some((job.clone(), now + duration));
        Some(PrefillStart {
            cached_tokens,
            duration,
            job,
        })
    }

    /// Completes the prefill, and returns the time until the answer is complete.
    pub fn end_prefill(&mut self, now: SimMicros) -> Option<SimMicros> {
        let (job, _) = self.prefilling.take()?;
        let change = self.cache.insert(&job.chain, self.instant(now));
        self.record_change(CacheEventKind::Removed, change.removed);
        self.record_change(CacheEventKind::Stored, change.stored);
        let token_time =
            DECODE_TIME_PER_TOKEN + DECODE_TIME_PER_RUNNING * u64::from(self.running());
        let decode_time = job.answer_tokens.saturating_sub(1) * token_time;
        self.decoding.push(job);
        Some(decode_time)
    }

    /// Removes the work of a completed answer from the batch.
    pub fn end_answer(&mut self, request: usize, attempt: u32) {
        self.decoding
            .retain(|job| job.request != request || job.attempt != attempt);
    }

    /// Stops the engine, empties its cache, and returns the lost work.
    pub fn crash(&mut self) -> Vec<EngineJob> {
        self.is_up = false;
        self.boot_number += 1;
        self.cache = PromptCache::new(self.cache_blocks, None);
        self.pending_changes.clear();
        let mut lost: Vec<EngineJob> = self.queue.drain(..).collect();
        lost.extend(self.prefilling.take().map(|(job, _)| job));
        lost.append(&mut self.decoding);
        lost
    }

    /// Drains the cache changes to publish.
    pub fn drain_changes(&mut self) -> Vec<CacheChange> {
        mem::take(&mut self.pending_changes)
    }

    /// Time to prefill the given number of tokens.
    fn prefill_time(&self, tokens: u64) -> SimMicros {
        (tokens as f64 / self.prefill_tokens_per_s * SECOND as f64) as SimMicros
    }

    /// Queues a change for publication, limited to the last blocks of levels.
    fn record_change(&mut self, kind: CacheEventKind, blocks: Vec<u64>) {
        let level_blocks = blocks
            .into_iter()
            .filter(|&block| workload::is_level_block(block));
        let blocks: Vec<u64> = level_blocks.collect();
        if !blocks.is_empty() {
            self.pending_changes.push(CacheChange { kind, blocks });
        }
    }

    /// Converts a simulation time to an instant on the cache's clock.
    fn instant(&self, now: SimMicros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.epoch + Duration::from_micros(now))
    }
}

/// Length of the common prefix of two prompts, in tokens.
fn shared_tokens(first: &[u64], second: &[u64]) -> u64 {
    let pairs = first.iter().zip(second);
    pairs.take_while(|(left, right)| left == right).count() as u64 * BLOCK_TOKENS
}

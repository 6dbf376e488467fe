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
        RunMicros,
        SECOND, //
    },
};

/// Decode time per token of an answer.
const DECODE_PER_TOKEN: RunMicros = 5_000;
/// Additional decode time per token for each request in the batch.
const DECODE_PER_RUNNING: RunMicros = 50;

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
    /// Duration of the prefill.
    pub takes: RunMicros,
    /// Work that is prefilled.
    pub job: EngineJob,
}

/// Cache change that the engine has yet to publish.
#[derive(Clone, Debug)]
pub struct CacheNotice {
    /// Whether the blocks were stored or removed.
    pub kind: CacheEventKind,
    /// Hashes of the last blocks of prompt levels.
    pub blocks: Vec<u64>,
}

/// State of a simulated engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Whether the engine is running.
    pub up: bool,
    /// Number of restarts; events of earlier starts are stale.
    pub starts: u32,
    /// Work waiting for its prefill.
    queue: VecDeque<EngineJob>,
    /// Work in prefill, with the time of completion.
    prefilling: Option<(EngineJob, RunMicros)>,
    /// Work whose answer is being generated.
    decoding: Vec<EngineJob>,
    /// Prefix cache.
    cache: PromptCache,
    /// Cache changes that are not published yet.
    notices: Vec<CacheNotice>,
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
            up: true,
            starts: 0,
            queue: VecDeque::new(),
            prefilling: None,
            decoding: Vec::new(),
            cache: PromptCache::new(cache_blocks, None),
            notices: Vec::new(),
            number,
            prefill_tokens_per_s: shape.prefill_tokens_per_s,
            batch_limit: shape.batch_limit,
            cache_blocks,
            epoch,
        }
    }

    /// Boot id, which changes with each crash.
    pub fn boot_id(&self) -> BootId {
        format!("e{}-{}", self.number, self.starts).into()
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
    pub fn cached_tokens(&self, chain: &[u64], now: RunMicros) -> u64 {
        self.cache.lookup(chain, self.instant(now)) as u64 * BLOCK_TOKENS
    }

    /// Predicts the queueing time of a new request, and the prompt tokens cached by then.
    pub fn outlook(&self, chain: &[u64], now: RunMicros) -> (RunMicros, u64) {
        let mut cached = self.cached_tokens(chain, now);
        let mut wait = 0;
        if let Some((job, ends)) = &self.prefilling {
            wait += ends.saturating_sub(now);
            cached = cached.max(shared_tokens(&job.chain, chain));
        }
        for (place, job) in self.queue.iter().enumerate() {
            let mut found = self.cached_tokens(&job.chain, now);
            if let Some((ahead, _)) = &self.prefilling {
                found = found.max(shared_tokens(&ahead.chain, &job.chain));
            }
            for ahead in self.queue.iter().take(place) {
                found = found.max(shared_tokens(&ahead.chain, &job.chain));
            }
            wait += self.prefill_time(job.prompt_tokens - found.min(job.prompt_tokens));
            cached = cached.max(shared_tokens(&job.chain, chain));
        }
        (wait, cached)
    }

    /// Queues work.
    pub fn push(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Starts the next prefill if none is running and the batch has room.
    pub fn start_prefill(&mut self, now: RunMicros) -> Option<PrefillStart> {
        if self.prefilling.is_some() || self.running() >= self.batch_limit {
            return None;
        }
        let job = self.queue.pop_front()?;
        let most = job.prompt_tokens.saturating_sub(1);
        let cached_tokens = self.cached_tokens(&job.chain, now).min(most);
        let takes = self.prefill_time(job.prompt_tokens - cached_tokens);
        self.prefilling = Some((job.clone(), now + takes));
        Some(PrefillStart {
            cached_tokens,
            takes,
            job,
        })
    }

    /// Completes the prefill, and returns the time until the answer is complete.
    pub fn end_prefill(&mut self, now: RunMicros) -> Option<RunMicros> {
        let (job, _) = self.prefilling.take()?;
        let change = self.cache.insert(&job.chain, self.instant(now));
        self.notice(CacheEventKind::Removed, change.removed);
        self.notice(CacheEventKind::Stored, change.stored);
        let pause = DECODE_PER_TOKEN + DECODE_PER_RUNNING * u64::from(self.running());
        let rest = job.answer_tokens.saturating_sub(1) * pause;
        self.decoding.push(job);
        Some(rest)
    }

    /// Removes the work of a completed answer from the batch.
    pub fn end_answer(&mut self, request: usize, attempt: u32) {
        self.decoding
            .retain(|job| job.request != request || job.attempt != attempt);
    }

    /// Stops the engine, empties its cache, and returns the lost work.
    pub fn crash(&mut self) -> Vec<EngineJob> {
        self.up = false;
        self.starts += 1;
        self.cache = PromptCache::new(self.cache_blocks, None);
        self.notices.clear();
        let mut lost: Vec<EngineJob> = self.queue.drain(..).collect();
        lost.extend(self.prefilling.take().map(|(job, _)| job));
        lost.append(&mut self.decoding);
        lost
    }

    /// Drains the cache changes to publish.
    pub fn take_notices(&mut self) -> Vec<CacheNotice> {
        mem::take(&mut self.notices)
    }

    /// Time to prefill the given number of tokens.
    fn prefill_time(&self, tokens: u64) -> RunMicros {
        (tokens as f64 / self.prefill_tokens_per_s * SECOND as f64) as RunMicros
    }

    /// Queues a change for publication, limited to the last blocks of levels.
    fn notice(&mut self, kind: CacheEventKind, blocks: Vec<u64>) {
        let level_blocks = blocks
            .into_iter()
            .filter(|&block| workload::is_level_block(block));
        let blocks: Vec<u64> = level_blocks.collect();
        if !blocks.is_empty() {
            self.notices.push(CacheNotice { kind, blocks });
        }
    }

    /// Converts a simulation time to an instant on the cache's clock.
    fn instant(&self, now: RunMicros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.epoch + Duration::from_micros(now))
    }
}

/// Length of the common prefix of two prompts, in tokens.
fn shared_tokens(near: &[u64], far: &[u64]) -> u64 {
    let pairs = near.iter().zip(far);
    pairs.take_while(|(near, far)| near == far).count() as u64 * BLOCK_TOKENS
}

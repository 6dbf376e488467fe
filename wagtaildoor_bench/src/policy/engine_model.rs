//! An engine on a virtual clock: one prefill at a time, a running batch, a limited cache.

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

/// Time between two tokens of an answer.
const DECODE_PER_TOKEN: RunMicros = 5_000;
/// Added to it for each request in the batch.
const DECODE_PER_RUNNING: RunMicros = 50;

/// Work at an engine.
#[derive(Clone, Debug)]
pub struct EngineJob {
    /// Number of the request.
    pub request: usize,
    /// Number of the attempt.
    pub attempt: u32,
    /// Blocks of the prompt.
    pub chain: BlockChain,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
}

/// A prefill that starts.
#[derive(Clone, Debug)]
pub struct PrefillStart {
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Time it takes.
    pub takes: RunMicros,
    /// Work.
    pub job: EngineJob,
}

/// A change of the cache that the engine will publish.
#[derive(Clone, Debug)]
pub struct CacheNotice {
    /// What happened.
    pub kind: CacheEventKind,
    /// Level blocks.
    pub blocks: Vec<u64>,
}

/// An engine.
#[derive(Debug)]
pub struct EngineModel {
    /// It answers.
    pub up: bool,
    /// Starts so far.
    pub starts: u32,
    /// Work that waits.
    queue: VecDeque<EngineJob>,
    /// Work in prefill, with the time it ends.
    prefilling: Option<(EngineJob, RunMicros)>,
    /// Work past its prefill.
    decoding: Vec<EngineJob>,
    /// Cache.
    cache: PromptCache,
    /// Changes not yet published.
    notices: Vec<CacheNotice>,
    /// Number of the engine.
    number: usize,
    /// Prompt tokens prefilled a second.
    prefill_tokens_per_s: f64,
    /// Requests in the batch.
    batch_limit: u32,
    /// Blocks in the cache.
    cache_blocks: usize,
    /// Start of the clock that the cache wants.
    epoch: Instant,
}

impl EngineModel {
    /// An engine of a deployment.
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

    /// Its present start.
    pub fn boot_id(&self) -> BootId {
        format!("e{}-{}", self.number, self.starts).into()
    }

    /// Requests in the batch.
    pub fn running(&self) -> u32 {
        (self.decoding.len() + usize::from(self.prefilling.is_some())) as u32
    }

    /// Requests waiting.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Prompt tokens that its cache holds of a chain.
    pub fn cached_tokens(&self, chain: &[u64], now: RunMicros) -> u64 {
        self.cache.lookup(chain, self.instant(now)) as u64 * BLOCK_TOKENS
    }

    /// Time until a new request would start its prefill, and the tokens it would find then.
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

    /// Takes work.
    pub fn push(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Starts the next prefill, when there is room.
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

    /// Ends the prefill; gives the time until the whole answer.
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

    /// Ends an answer.
    pub fn end_answer(&mut self, request: usize, attempt: u32) {
        self.decoding
            .retain(|job| job.request != request || job.attempt != attempt);
    }

    /// Crashes; gives the work that is lost.
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

    /// Takes the changes that are to be published.
    pub fn take_notices(&mut self) -> Vec<CacheNotice> {
        mem::take(&mut self.notices)
    }

    /// Time to prefill tokens.
    fn prefill_time(&self, tokens: u64) -> RunMicros {
        (tokens as f64 / self.prefill_tokens_per_s * SECOND as f64) as RunMicros
    }

    /// Notes a change of level blocks.
    fn notice(&mut self, kind: CacheEventKind, blocks: Vec<u64>) {
        let level_blocks = blocks
            .into_iter()
            .filter(|&block| workload::is_level_block(block));
        let blocks: Vec<u64> = level_blocks.collect();
        if !blocks.is_empty() {
            self.notices.push(CacheNotice { kind, blocks });
        }
    }

    /// A time on the cache's clock.
    fn instant(&self, now: RunMicros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.epoch + Duration::from_micros(now))
    }
}

/// Tokens that two prompts share from the start.
fn shared_tokens(near: &[u64], far: &[u64]) -> u64 {
    let pairs = near.iter().zip(far);
    pairs.take_while(|(near, far)| near == far).count() as u64 * BLOCK_TOKENS
}

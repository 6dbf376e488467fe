//! Work on an engine: admission, prefill over the cache, decode.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wagtaildoor::ids::{
    BootId,
    WeightsVersion, //
};

use super::{
    batch_queue::{
        BatchPlace,
        BatchQueue, //
    },
    prompt_blocks::{
        BlockChain,
        BLOCK_TOKENS, //
    },
    EngineRefusal,
    FakeEngine,
    Result, //
};
use crate::pause;

/// Work without text, for benches that make their own chains.
#[derive(Clone, Debug)]
pub struct EngineWork {
    /// Whole blocks of the prompt.
    pub chain: BlockChain,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer that were made before, and are prefilled with the prompt.
    pub resumed_tokens: u64,
    /// Tokens to make.
    pub answer_tokens: u64,
    /// Lower goes first.
    pub priority: u32,
    /// Weights it must run on.
    pub weights_version: WeightsVersion,
}

/// What came of work without text.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReceipt {
    /// Start that ran it.
    pub boot_id: BootId,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// When the first token was there.
    pub first_token: Instant,
    /// Requests waiting at the end.
    pub queued: u32,
}

/// The start of an engine that took a piece of work.
#[derive(Clone, Debug)]
pub(super) struct AcceptingStart {
    /// The start.
    pub(super) boot_id: BootId,
    /// Ends with the start.
    pub(super) token: CancellationToken,
    /// Its batch.
    pub(super) queue: Arc<BatchQueue>,
}

/// Work that is past its prefill.
#[derive(Debug)]
pub(super) struct PrefilledWork {
    /// Its place in the batch.
    pub(super) place: BatchPlace,
    /// Prompt tokens found in the cache.
    pub(super) cached_tokens: u64,
}

impl FakeEngine {
    /// Runs work without text: one wait for the prefill, one for the whole answer.
    pub async fn run(&self, work: &EngineWork) -> Result<EngineReceipt> {
        let start = self.accept_work(work.weights_version)?;
        tokio::select! {
            () = start.token.cancelled() => {
                self.lock().counts.cut += 1;
                Err(EngineRefusal::Cut)
            }
            receipt = self.run_on(&start, work) => Ok(receipt),
        }
    }

    /// Runs work to its end on one start.
    async fn run_on(&self, start: &AcceptingStart, work: &EngineWork) -> EngineReceipt {
        let prefilled = self.prefill(start, work).await;
        let first_token = Instant::now();
        let rest = u32::try_from(work.answer_tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        pause::pause(self.token_pause(&start.queue) * rest).await;
        drop(prefilled.place);
        let mut inner = self.lock();
        inner.counts.finished += 1;
        inner.counts.chunks += work.answer_tokens;
        inner.note_load(Instant::now());
        EngineReceipt {
            boot_id: start.boot_id.clone(),
            cached_tokens: prefilled.cached_tokens,
            first_token,
            queued: start.queue.queued(),
        }
    }

    /// Takes work, or says why not.
    pub(super) fn accept_work(&self, weights: WeightsVersion) -> Result<AcceptingStart> {
        let mut inner = self.lock();
        let refusal = if inner.faults.refuse {
            Some(EngineRefusal::NotRun("told to refuse"))
        } else if inner.faults.leaving {
            Some(EngineRefusal::NotRun("leaving"))
        } else if inner.control.weights_version != weights {
            Some(EngineRefusal::OtherWeights(inner.control.weights_version))
        } else if inner.start.queue.queued() >= self.shared.profile.queue_limit {
            Some(EngineRefusal::NotRun("full"))
        } else {
            None
        };
        if let Some(refusal) = refusal {
            inner.counts.refused += 1;
            return Err(refusal);
        }
        inner.counts.taken += 1;
        Ok(AcceptingStart {
            boot_id: inner.start.boot_id.clone(),
            token: inner.start.token.clone(),
            queue: inner.start.queue.clone(),
        })
    }

    /// Waits for a place in the batch, and computes what the cache does not hold.
    pub(super) async fn prefill(&self, start: &AcceptingStart, work: &EngineWork) -> PrefilledWork {
        self.lock().note_load(Instant::now());
        let mut place = start.queue.enter(work.priority).await;
        self.thawed().await;
        let cached_tokens = self.find_cached(work);
        let missed = work.prompt_tokens + work.resumed_tokens - cached_tokens;
        let missed = u32::try_from(missed).unwrap_or(u32::MAX);
        let slow = Duration::from_millis(self.lock().faults.slow_ms);
        pause::pause(self.shared.profile.prefill_per_token * missed + slow).await;
        self.store(start, work);
        place.prefilled();
        PrefilledWork {
            place,
            cached_tokens,
        }
    }

    /// Time until the next token, by how many are in the batch.
    pub(super) fn token_pause(&self, queue: &BatchQueue) -> Duration {
        let profile = &self.shared.profile;
        profile.decode_per_token + profile.decode_per_running * queue.running()
    }

    /// Prompt tokens that the cache holds now; the last token is always computed.
    fn find_cached(&self, work: &EngineWork) -> u64 {
        let mut inner = self.lock();
        let blocks = inner.start.cache.lookup(&work.chain, Instant::now());
        let most = work.prompt_tokens.saturating_sub(1);
        let cached = (blocks as u64 * BLOCK_TOKENS).min(most);
        inner.counts.prompt_tokens += work.prompt_tokens;
        inner.counts.cached_tokens += cached;
        cached
    }

    /// Stores the blocks of a prompt, unless the engine has crashed or changed weights meanwhile.
    fn store(&self, start: &AcceptingStart, work: &EngineWork) {
        let now = Instant::now();
        let mut inner = self.lock();
        let same_start = inner.start.boot_id == start.boot_id;
        if same_start && inner.control.weights_version == work.weights_version {
            let change = inner.start.cache.insert(&work.chain, now);
            inner.start.events.record(change, now);
            inner.note_load(now);
        }
    }
}

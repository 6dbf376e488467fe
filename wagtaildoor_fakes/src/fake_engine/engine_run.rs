//! Execution of work on an engine: admission, prefill with the prompt cache, decode.

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
        BatchQueue, //
        BatchSlot,
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

/// A unit of work without text, for benchmarks that supply their own block chains.
#[derive(Clone, Debug)]
pub struct EngineWork {
    /// Hashes of the whole blocks of the prompt.
    pub chain: BlockChain,
    /// Length of the prompt in tokens, including those after the last whole block.
    pub prompt_tokens: u64,
    /// Response tokens that were generated earlier and are prefilled with the prompt.
    pub resumed_tokens: u64,
    /// Number of tokens to generate.
    pub answer_tokens: u64,
    /// Requests with a lower value go first.
    pub priority: u32,
    /// Version of the weights to run on.
    pub weights_version: WeightsVersion,
}

/// Outcome of completed work without text.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRunResult {
    /// Boot that ran the work.
    pub boot_id: BootId,
    /// Prompt tokens that were cache hits.
    pub cached_tokens: u64,
    /// Time of the first generated token.
    pub first_token: Instant,
    /// Queue depth when the work completed.
    pub queued: u32,
}

/// The boot of an engine that accepted a unit of work.
#[derive(Clone, Debug)]
pub(super) struct BootHandle {
    pub(super) boot_id: BootId,
    /// Cancelled when the engine crashes.
    pub(super) token: CancellationToken,
    pub(super) queue: Arc<BatchQueue>,
}

/// Work whose prefill is complete.
#[derive(Debug)]
pub(super) struct PrefilledWork {
    pub(super) slot: BatchSlot,
    /// Prompt tokens that were cache hits.
    pub(super) cached_tokens: u64,
}

impl FakeEngine {
    /// Runs work without text, with one timed wait for the prefill and one for the whole decode.
    pub async fn run(&self, work: &EngineWork) -> Result<EngineRunResult> {
        let boot = self.accept_work(work.weights_version)?;
        tokio::select! {
            () = boot.token.cancelled() => {
                self.lock().counts.cut += 1;
                Err(EngineRefusal::Cut)
            }
            result = self.run_to_end(&boot, work) => Ok(result),
        }
    }

    /// Runs work to completion on one boot of the engine.
    async fn run_to_end(&self, boot: &BootHandle, work: &EngineWork) -> EngineRunResult {
        let prefilled = self.prefill(boot, work).await;
        let first_token = Instant::now();
        let remaining_tokens =
            u32::try_from(work.answer_tokens.saturating_sub(1)).unwrap_or(u32::MAX);
        pause::sleep_unless_zero(self.token_interval(&boot.queue) * remaining_tokens).await;
        drop(prefilled.slot);
        let mut inner = self.lock();
        inner.counts.finished += 1;
        inner.counts.chunks += work.answer_tokens;
        inner.record_load_report(Instant::now());
        EngineRunResult {
            boot_id: boot.boot_id.clone(),
            cached_tokens: prefilled.cached_tokens,
            first_token,
            queued: boot.queue.queued(),
        }
    }

    /// Admits work, or counts and returns the refusal.
    pub(super) fn accept_work(&self, weights: WeightsVersion) -> Result<BootHandle> {
        let mut inner = self.lock();
        let refusal = if inner.is_down() {
            Some(EngineRefusal::NotRun("down"))
        } else if inner.faults.refuse {
            Some(EngineRefusal::NotRun("refuse fault is set"))
        } else if inner.faults.leaving {
            Some(EngineRefusal::NotRun("leaving"))
        } else if inner.control.weights_version != weights {
            Some(EngineRefusal::OtherWeights(inner.control.weights_version))
        } else if inner.boot.queue.queued() >= self.shared.profile.queue_limit {
            Some(EngineRefusal::NotRun("full"))
        } else {
            None
        };
        if let Some(refusal) = refusal {
            inner.counts.refused += 1;
            return Err(refusal);
        }
        inner.counts.taken += 1;
        Ok(BootHandle {
            boot_id: inner.boot.boot_id.clone(),
            token: inner.boot.token.clone(),
            queue: inner.boot.queue.clone(),
        })
    }

    /// Waits for a slot in the batch and prefills the tokens that are not cached.
    pub(super) async fn prefill(&self, boot: &BootHandle, work: &EngineWork) -> PrefilledWork {
        self.lock().record_load_report(Instant::now());
        let mut slot = boot.queue.acquire_slot(work.priority).await;
        self.wait_until_unfrozen().await;
        let cached_tokens = self.count_cached_tokens(work);
        let uncached_tokens = work.prompt_tokens + work.resumed_tokens - cached_tokens;
        let uncached_tokens = u32::try_from(uncached_tokens).unwrap_or(u32::MAX);
        let fault_delay = Duration::from_millis(self.lock().faults.slow_ms);
        pause::sleep_unless_zero(
            self.shared.profile.prefill_per_token * uncached_tokens + fault_delay,
        )
        .await;
        self.store_blocks(boot, work);
        slot.finish_prefill();
        PrefilledWork {
            slot,
            cached_tokens,
        }
    }

    /// Returns the time until the next token at the current batch size.
    pub(super) fn token_interval(&self, queue: &BatchQueue) -> Duration {
        let profile = &self.shared.profile;
        profile.decode_per_token + profile.decode_per_running * queue.running()
    }

    /// Returns the number of cached prompt tokens and adds it to the counts. The last token is
    /// always computed.
    fn count_cached_tokens(&self, work: &EngineWork) -> u64 {
        let mut inner = self.lock();
        let blocks = inner.boot.cache.lookup(&work.chain, Instant::now());
        let max_cached = work.prompt_tokens.saturating_sub(1);
        let cached = (blocks as u64 * BLOCK_TOKENS).min(max_cached);
        inner.counts.prompt_tokens += work.prompt_tokens;
        inner.counts.cached_tokens += cached;
        cached
    }

    /// Caches the blocks of a prompt, unless the engine crashed or changed weights since admission.
    fn store_blocks(&self, boot: &BootHandle, work: &EngineWork) {
        let now = Instant::now();
        let mut inner = self.lock();
        let is_same_boot = inner.boot.boot_id == boot.boot_id;
        if is_same_boot && inner.control.weights_version == work.weights_version {
            let change = inner.boot.cache.insert(&work.chain, now);
            inner.boot.events.record(change, now);
            inner.record_load_report(now);
        }
    }
}

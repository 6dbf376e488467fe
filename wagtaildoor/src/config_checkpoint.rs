//! Writes the whole configuration to the log before the start of the chain exceeds the retention.

use std::time::Duration;

use tokio::time::{
    self,
    Instant, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    config_chain::ConfigChain,
    config_follower::ConfigFollower,
    config_publisher::{
        self,
        PublishOutcome, //
    },
    lease_holder::LeaseHolder,
    log_store::{
        LogStore,
        Result, //
    },
};

/// Lease for writing checkpoints. Without it, concurrent writers would only waste records.
const CHECKPOINT_LEASE: &str = "config-checkpoint";
const LEASE_DURATION: Duration = Duration::from_secs(30);
/// Maximum time for publishing one record.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// A checkpoint is due after the retention divided by this number.
const DUE_DIVISOR: u32 = 3;
/// The interval between checks is the retention divided by this number.
const CHECK_DIVISOR: u32 = 24;

/// Writes checkpoints for a host while it holds the checkpoint lease.
pub struct ConfigCheckpointer<L> {
    log: L,
    /// Follows the chain for this host.
    follower: ConfigFollower<L>,
    holder: LeaseHolder<L>,
    /// Operator name in the checkpoint records.
    name: Box<str>,
    /// Time for which the log keeps records.
    retention: Duration,
}

impl<L: LogStore> ConfigCheckpointer<L> {
    /// Creates a checkpointer. `name` must be unique for each start of the process.
    pub fn new(log: L, follower: ConfigFollower<L>, name: &str, retention: Duration) -> Self {
        Self {
            holder: LeaseHolder::new(log.clone(), name),
            log,
            follower,
            name: name.into(),
            retention,
        }
    }

    /// Writes checkpoints when they are due, until cancelled.
    pub async fn run(mut self, token: CancellationToken) {
        let check_periodically = async {
            loop {
                time::sleep(self.retention / CHECK_DIVISOR).await;
                // Errors are ignored, since the next check tries again.
                let _ = self.checkpoint_if_due().await;
            }
        };
        token.run_until_cancelled(check_periodically).await;
    }

    /// Writes a checkpoint if one is due. Returns whether it did.
    pub async fn checkpoint_if_due(&mut self) -> Result<bool> {
        if !self.is_due() {
            return Ok(false);
        }
        let acquire = self.holder.acquire(CHECKPOINT_LEASE, LEASE_DURATION);
        let Some(held) = acquire.await? else {
            return Ok(false);
        };
        self.follower.catch_up().await?;
        let is_written = self.is_due() && self.write_checkpoint().await;
        self.holder.release(held).await?;
        Ok(is_written)
    }

    /// Whether the newest record to rebuild the chain from is older than the due time.
    fn is_due(&self) -> bool {
        let chain = self.follower.chain();
        if chain.has_gap() || chain.head().sequence == 0 {
            return false;
        }
        let Some(log_ms) = self.follower.log_now_ms() else {
            return false;
        };
        let due_ms = (self.retention / DUE_DIVISOR).as_millis() as u64;
        chain
            .rebuildable_from_ms()
            .is_none_or(|from_ms| log_ms > from_ms + due_ms)
    }

    /// Writes a checkpoint and the child that confirms it.
    async fn write_checkpoint(&self) -> bool {
        let chain = self.follower.chain();
        let checkpoint = chain.checkpoint_record(&self.name);
        if !self.publish(chain, checkpoint).await {
            return false;
        }
        if self.follower.catch_up().await.is_err() {
            return false;
        }
        let chain = self.follower.chain();
        let proof = chain.child_record(&self.name, "proves the checkpoint", Vec::new());
        self.publish(chain, proof).await
    }

    /// Publishes one record. Returns whether it took effect.
    async fn publish(&self, chain: ConfigChain, record: crate::schema::ConfigRecord) -> bool {
        let deadline = Instant::now() + PUBLISH_TIMEOUT;
        let outcome =
            config_publisher::publish_record(self.log.clone(), chain, record, deadline).await;
        matches!(outcome, PublishOutcome::Published(_))
    }
}

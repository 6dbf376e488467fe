//! Repeats the whole configuration in the log before retention would drop the chain's start.

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

/// Lease under which checkpoints are written. Two writers would only waste records.
const CHECKPOINT_LEASE: &str = "config-checkpoint";
/// How long the lease holds.
const LEASE_DURATION: Duration = Duration::from_secs(30);
/// Longest time for one record.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);
/// Part of the retention after which a checkpoint is due.
const DUE_DIVISOR: u32 = 3;
/// Part of the retention after which it is looked whether one is due.
const CHECK_DIVISOR: u32 = 24;

/// Writes checkpoints for one host, when no other does.
pub struct ConfigCheckpointer<L> {
    /// Log.
    log: L,
    /// The host's view of the chain.
    follower: ConfigFollower<L>,
    /// Asks for the lease.
    holder: LeaseHolder<L>,
    /// Name written into checkpoints.
    name: Box<str>,
    /// How long the log keeps records.
    retention: Duration,
}

impl<L: LogStore> ConfigCheckpointer<L> {
    /// A writer; the name must be another for each start of the process.
    pub fn new(log: L, follower: ConfigFollower<L>, name: &str, retention: Duration) -> Self {
        Self {
            holder: LeaseHolder::new(log.clone(), name),
            log,
            follower,
            name: name.into(),
            retention,
        }
    }

    /// Writes checkpoints as they come due, until cancelled.
    pub async fn run(mut self, token: CancellationToken) {
        let check_periodically = async {
            loop {
                time::sleep(self.retention / CHECK_DIVISOR).await;
                // The next look tries again.
                let _ = self.checkpoint_if_due().await;
            }
        };
        token.run_until_cancelled(check_periodically).await;
    }

    /// Writes a checkpoint if one is due; tells whether it did.
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

    /// Whether the chain's start is about to go.
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

    /// Writes a checkpoint, and the child that proves it.
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

    /// Publishes one record; tells whether it came in force.
    async fn publish(&self, chain: ConfigChain, record: crate::schema::ConfigRecord) -> bool {
        let deadline = Instant::now() + PUBLISH_TIMEOUT;
        let outcome =
            config_publisher::publish_record(self.log.clone(), chain, record, deadline).await;
        matches!(outcome, PublishOutcome::Published(_))
    }
}

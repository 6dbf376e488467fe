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
const PUBLISH_WAIT: Duration = Duration::from_secs(10);
/// Part of the retention after which a checkpoint is due.
const DUE_PART: u32 = 3;
/// Part of the retention after which it is looked whether one is due.
const LOOK_PART: u32 = 24;

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
        let keep = async {
            loop {
                time::sleep(self.retention / LOOK_PART).await;
                // The next look tries again.
                let _ = self.look().await;
            }
        };
        token.run_until_cancelled(keep).await;
    }

    /// Writes a checkpoint if one is due; tells whether it did.
    pub async fn look(&mut self) -> Result<bool> {
        if !self.is_due() {
            return Ok(false);
        }
        let lease = self.holder.acquire(CHECKPOINT_LEASE, LEASE_DURATION);
        let Some(held) = lease.await? else {
            return Ok(false);
        };
        self.follower.catch_up().await?;
        let written = self.is_due() && self.write().await;
        self.holder.release(held).await?;
        Ok(written)
    }

    /// Whether the chain's start is about to go.
    fn is_due(&self) -> bool {
        let chain = self.follower.chain();
        if chain.is_broken() || chain.head().sequence == 0 {
            return false;
        }
        let Some(log_ms) = self.follower.log_now_ms() else {
            return false;
        };
        let due_ms = (self.retention / DUE_PART).as_millis() as u64;
        chain
            .rebuilt_from_ms()
            .is_none_or(|from_ms| log_ms > from_ms + due_ms)
    }

    /// Writes a checkpoint, and the child that proves it.
    async fn write(&self) -> bool {
        let chain = self.follower.chain();
        let checkpoint = chain.checkpoint(&self.name);
        if !self.publish(chain, checkpoint).await {
            return false;
        }
        if self.follower.catch_up().await.is_err() {
            return false;
        }
        let chain = self.follower.chain();
        let proof = chain.child(&self.name, "proves the checkpoint", Vec::new());
        self.publish(chain, proof).await
    }

    /// Publishes one record; tells whether it came in force.
    async fn publish(&self, chain: ConfigChain, record: crate::schema::ConfigRecord) -> bool {
        let deadline = Instant::now() + PUBLISH_WAIT;
        let outcome =
            config_publisher::publish_record(self.log.clone(), chain, record, deadline).await;
        matches!(outcome, PublishOutcome::Published(_))
    }
}

//! Follows the configuration chain in the log, and accepts newer heads from peers.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use tokio::{
    sync::{
        watch,
        Notify, //
    },
    time::{
        self,
        Instant, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    config_chain::{
        ChainStep,
        ConfigChain,
        CONFIG_STREAM, //
    },
    ids::LogOffset,
    log_store::{
        LogStore,
        Result, //
    },
    schema::{
        ConfigHead,
        Configuration,
        LogPage, //
    },
};

/// Maximum number of records per read.
const MAX_PAGE_RECORDS: usize = 256;
/// Maximum time that a read waits for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Configuration of this host and its age.
#[derive(Clone, Debug)]
pub struct ConfigState {
    /// Head of the chain.
    pub head: ConfigHead,
    /// Configuration at the head.
    pub configuration: Arc<Configuration>,
    /// Time of the last successful read; `None` before the first one.
    pub log_answered_at: Option<Instant>,
    /// Whether records after the head were missed and no checkpoint was found yet.
    pub has_gap: bool,
}

/// Chain and read position of a follower.
struct FollowerState {
    chain: ConfigChain,
    /// Offset of the next record to read.
    cursor: LogOffset,
    /// Log time of the last read, in milliseconds since the Unix epoch.
    log_ms: u64,
}

/// Follows the chain. Clones share the same state.
#[derive(Clone)]
pub struct ConfigFollower<L> {
    log: L,
    /// Stops the follower.
    token: CancellationToken,
    state: Arc<Mutex<FollowerState>>,
    /// Publishes each change of the configuration.
    changes: Arc<watch::Sender<ConfigState>>,
    /// Restarts the read in progress after a peer offered a newer head.
    head_offered: Arc<Notify>,
}

impl<L: LogStore> ConfigFollower<L> {
    /// Creates a follower with an empty configuration.
    pub fn new(log: L, token: CancellationToken) -> Self {
        let chain = ConfigChain::default();
        let changes = watch::Sender::new(ConfigState {
            head: chain.head().clone(),
            configuration: chain.configuration().clone(),
            log_answered_at: None,
            has_gap: false,
        });
        Self {
            log,
            token,
            state: Arc::new(Mutex::new(FollowerState {
                chain,
                cursor: 1,
                log_ms: 0,
            })),
            changes: Arc::new(changes),
            head_offered: Arc::default(),
        }
    }

    /// Subscribes to the configuration of this host.
    pub fn watch(&self) -> watch::Receiver<ConfigState> {
        self.changes.subscribe()
    }

    /// Snapshot of the chain.
    pub fn chain(&self) -> ConfigChain {
        self.lock().chain.clone()
    }

    /// Estimated current log time; `None` before the first successful read.
    pub fn log_now_ms(&self) -> Option<u64> {
        let answered_at = self.changes.borrow().log_answered_at?;
        Some(self.lock().log_ms + answered_at.elapsed().as_millis() as u64)
    }

    /// Accepts a head from a peer or from an earlier keeper if it is newer than the own head.
    /// Returns whether it was accepted.
    ///
    /// All hosts fold the same log, so a higher sequence number is later in the same chain.
    pub fn offer_head(&self, head: &ConfigHead, configuration: &Arc<Configuration>) -> bool {
        let mut state = self.lock();
        if head.sequence <= state.chain.head().sequence {
            return false;
        }
        state.chain = ConfigChain::from_head(head.clone(), configuration.clone());
        // Read the records after the head again, since the old chain may have skipped them.
        state.cursor = head.offset + 1;
        self.notify_watchers(&state, None);
        self.head_offered.notify_one();
        true
    }

    /// Follows the log until cancelled.
    pub async fn run(self) {
        let token = self.token.clone();
        let follow = async {
            loop {
                tokio::select! {
                    result = self.read_page(self.next_read_timeout()) => {
                        if result.is_err() {
                            time::sleep(RETRY_DELAY).await;
                        }
                    }
                    () = self.head_offered.notified() => {}
                }
            }
        };
        token.run_until_cancelled(follow).await;
    }

    /// Wait time of the next read. The first read does not wait for new records.
    fn next_read_timeout(&self) -> Duration {
        let answered_at = self.changes.borrow().log_answered_at;
        answered_at.map_or(Duration::ZERO, |_| LONG_POLL_TIMEOUT)
    }

    /// Reads up to the current end of the log.
    pub async fn catch_up(&self) -> Result<()> {
        while !self.read_page(Duration::ZERO).await? {}
        Ok(())
    }

    /// Reads one page. Returns whether it reached the end of the log.
    async fn read_page(&self, wait: Duration) -> Result<bool> {
        let from = self.lock().cursor;
        let page = self
            .log
            .read(CONFIG_STREAM, from, MAX_PAGE_RECORDS, wait)
            .await?;
        Ok(self.apply_page(from, &page))
    }

    /// Applies a page. Returns whether it reached the end of the log.
    fn apply_page(&self, from: LogOffset, page: &LogPage) -> bool {
        let mut state = self.lock();
        if state.cursor != from {
            // A peer offered a newer head during the read, so the page is discarded.
            return false;
        }
        if page.first > from {
            state.chain.mark_gap();
            state.cursor = page.first;
        }
        for record in &page.records {
            let step = state.chain.apply_record(record);
            debug_assert!(
                step != ChainStep::Advanced || state.chain.head().offset == record.offset
            );
            state.cursor = record.offset + 1;
        }
        state.log_ms = page.time_ms;
        self.notify_watchers(&state, Some(Instant::now()));
        state.cursor >= page.next
    }

    /// Publishes the current chain to all subscribers if the head or the gap has changed.
    fn notify_watchers(&self, state: &FollowerState, log_answered_at: Option<Instant>) {
        self.changes.send_if_modified(|current| {
            let is_changed =
                current.head != *state.chain.head() || current.has_gap != state.chain.has_gap();
            current.head = state.chain.head().clone();
            current.configuration = state.chain.configuration().clone();
            current.has_gap = state.chain.has_gap();
            current.log_answered_at = log_answered_at.or(current.log_answered_at);
            is_changed
        });
    }

    /// Locks the state and ignores poisoning.
    fn lock(&self) -> MutexGuard<'_, FollowerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Follows the chain of configuration records in the log, and takes newer heads from peers.

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

/// Records read at a time.
const MAX_PAGE_RECORDS: usize = 256;
/// Longest wait of one read for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The configuration in force at this host, and how fresh it is.
#[derive(Clone, Debug)]
pub struct ConfigState {
    /// Head of the chain.
    pub head: ConfigHead,
    /// Configuration at the head.
    pub configuration: Arc<Configuration>,
    /// When the log last answered; `None` before its first answer.
    pub log_answered_at: Option<Instant>,
    /// Records after the head were missed, and no checkpoint was found yet.
    pub has_gap: bool,
}

/// The chain and the place in the log up to which it was read.
struct FollowerState {
    /// Chain.
    chain: ConfigChain,
    /// Offset of the next record to read.
    cursor: LogOffset,
    /// The log's time at the last read.
    log_ms: u64,
}

/// Follows the chain; clones share it.
#[derive(Clone)]
pub struct ConfigFollower<L> {
    /// Log.
    log: L,
    /// Ends the follower.
    token: CancellationToken,
    /// Chain and cursor.
    state: Arc<Mutex<FollowerState>>,
    /// Tells of each change.
    changes: Arc<watch::Sender<ConfigState>>,
    /// Wakes the reader after a head came from a peer.
    head_offered: Arc<Notify>,
}

impl<L: LogStore> ConfigFollower<L> {
    /// A follower that starts with nothing.
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

    /// The configuration in force, and each change of it.
    pub fn watch(&self) -> watch::Receiver<ConfigState> {
        self.changes.subscribe()
    }

    /// The chain as it stands.
    pub fn chain(&self) -> ConfigChain {
        self.lock().chain.clone()
    }

    /// The log's time as far as this host can tell; `None` before its first answer.
    pub fn log_now_ms(&self) -> Option<u64> {
        let seen = self.changes.borrow().log_answered_at?;
        Some(self.lock().log_ms + seen.elapsed().as_millis() as u64)
    }

    /// Takes a head that a peer or an earlier keeper held, if it is newer than the own one.
    ///
    /// The peer folded the same log, so that a higher sequence number is later in the same chain.
    pub fn offer_head(&self, head: &ConfigHead, configuration: &Arc<Configuration>) -> bool {
        let mut state = self.lock();
        if head.sequence <= state.chain.head().sequence {
            return false;
        }
        state.chain = ConfigChain::from_head(head.clone(), configuration.clone());
        // Records after the head are read again: the old chain may have passed them over.
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
                    answer = self.read_page(self.next_read_timeout()) => {
                        if answer.is_err() {
                            time::sleep(RETRY_DELAY).await;
                        }
                    }
                    () = self.head_offered.notified() => {}
                }
            }
        };
        token.run_until_cancelled(follow).await;
    }

    /// How long the next read waits: the first one not at all.
    fn next_read_timeout(&self) -> Duration {
        let seen = self.changes.borrow().log_answered_at;
        seen.map_or(Duration::ZERO, |_| LONG_POLL_TIMEOUT)
    }

    /// Reads on to the present end of the log.
    pub async fn catch_up(&self) -> Result<()> {
        while !self.read_page(Duration::ZERO).await? {}
        Ok(())
    }

    /// Reads one page; tells whether it reached the end of the log.
    async fn read_page(&self, wait: Duration) -> Result<bool> {
        let from = self.lock().cursor;
        let page = self
            .log
            .read(CONFIG_STREAM, from, MAX_PAGE_RECORDS, wait)
            .await?;
        Ok(self.apply_page(from, &page))
    }

    /// Takes a page; tells whether it reached the end of the log.
    fn apply_page(&self, from: LogOffset, page: &LogPage) -> bool {
        let mut state = self.lock();
        if state.cursor != from {
            // A head came from a peer during the read.
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

    /// Tells of the chain as it stands.
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

    /// Locks the state, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, FollowerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Fake model engine: continuous batching with a limited prompt cache, timed by tokio's clock.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use tokio::{
    sync::watch,
    time::Instant, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    ids::{
        AttemptId,
        BootId,
        EndpointId,
        WeightsVersion, //
    },
    schema::{
        CacheEventPage,
        LoadReport, //
    },
};

use crate::{
    connection_state::ConnectionState,
    fake_weights::FakeWeights, //
};

pub mod answer_text;
pub mod batch_queue;
pub mod engine_control;
pub mod engine_faults;
pub mod engine_run;
pub mod engine_stream;
pub mod event_log;
pub mod prompt_blocks;
pub mod prompt_cache;
pub mod report_history;

use batch_queue::BatchQueue;
use engine_control::EngineControl;
use engine_faults::{
    EngineCounts,
    EngineFaults, //
};
use event_log::EventLog;
use prompt_blocks::BlockHash;
use prompt_cache::PromptCache;
use report_history::ReportHistory;

/// Configuration and speed of an engine.
#[derive(Clone, Debug)]
pub struct EngineProfile {
    /// Id under which the engine is listed as an endpoint.
    pub id: EndpointId,
    /// Version of the weights served at startup.
    pub weights_version: WeightsVersion,
    /// Capacity of the prompt cache, in blocks.
    pub cache_blocks: usize,
    /// Time after its last use at which a block expires; `None` disables expiry.
    pub cache_age: Option<Duration>,
    /// Maximum number of requests in the batch.
    pub batch_limit: u32,
    /// Maximum number of queued requests.
    pub queue_limit: u32,
    /// Time to prefill one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Base time between two generated tokens.
    pub decode_per_token: Duration,
    /// Time added to `decode_per_token` for each request in the batch.
    pub decode_per_running: Duration,
    /// Refuses orders whose fencing token is older than the newest seen.
    pub checks_fencing: bool,
    /// Time to load weights when no other engine loads.
    pub load_time: Duration,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            id: "engine".into(),
            weights_version: 1,
            cache_blocks: 4096,
            cache_age: None,
            batch_limit: 32,
            queue_limit: 256,
            prefill_per_token: Duration::from_micros(100),
            decode_per_token: Duration::from_millis(5),
            decode_per_running: Duration::from_micros(50),
            checks_fencing: true,
            load_time: Duration::from_secs(5),
        }
    }
}

/// Result of submitting work to an engine.
pub type Result<T> = std::result::Result<T, EngineRefusal>;

/// Why an engine refused or aborted work.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum EngineRefusal {
    /// The engine serves this version of the weights, not the requested one.
    #[display("serves weights {_0}")]
    OtherWeights(#[error(not(source))] WeightsVersion),
    /// The queue is full, the engine is leaving or it is set to refuse; the request did not run.
    #[display("not run: {_0}")]
    NotRun(#[error(not(source))] &'static str),
    /// The engine crashed while the work was in progress.
    #[display("cut")]
    Cut,
}

/// A fake engine; clones share its state.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    shared: Arc<EngineShared>,
}

/// State shared by the clones of an engine.
#[derive(Debug)]
struct EngineShared {
    profile: EngineProfile,
    /// Weight store that determines how long loads take.
    weights: FakeWeights,
    /// Set while the engine is frozen.
    frozen: watch::Sender<bool>,
    /// State that the engine's connections follow.
    connections: watch::Sender<ConnectionState>,
    state: Mutex<EngineInner>,
}

/// Mutable state of an engine.
#[derive(Debug)]
struct EngineInner {
    /// State since the last boot.
    boot: EngineBoot,
    /// State that orders change.
    control: EngineControl,
    /// Active faults.
    faults: EngineFaults,
    /// Work done since the engine was created.
    counts: EngineCounts,
    /// Cancellation tokens of the streams in progress, by attempt.
    attempts: HashMap<AttemptId, CancellationToken>,
    /// Recent load reports, for readers with a lag.
    reports: ReportHistory,
    /// Time at which the engine is up again after a crash on a prompt.
    down_until: Option<Instant>,
}

/// State that a crash discards.
#[derive(Debug)]
struct EngineBoot {
    /// Random id of this boot.
    boot_id: BootId,
    /// Cancelled when the engine crashes.
    token: CancellationToken,
    /// Running and queued requests.
    queue: Arc<BatchQueue>,
    cache: PromptCache,
    /// Events of cache changes since boot.
    events: EventLog,
}

impl FakeEngine {
    /// Creates a running engine with its own weight store.
    pub fn new(profile: EngineProfile) -> Self {
        Self::with_weights(profile, FakeWeights::new(u32::MAX))
    }

    /// Creates a running engine that shares a weight store with other engines.
    pub fn with_weights(profile: EngineProfile, weights: FakeWeights) -> Self {
        let inner = EngineInner {
            boot: EngineBoot::new(&profile),
            control: EngineControl::new(profile.weights_version),
            faults: EngineFaults::default(),
            counts: EngineCounts::default(),
            attempts: HashMap::new(),
            reports: ReportHistory::default(),
            down_until: None,
        };
        let shared = EngineShared {
            profile,
            weights,
            frozen: watch::Sender::new(false),
            connections: watch::Sender::default(),
            state: Mutex::new(inner),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the configuration that the engine was created with.
    pub fn profile(&self) -> &EngineProfile {
        &self.shared.profile
    }

    /// Returns the id of the current boot.
    pub fn boot_id(&self) -> BootId {
        self.lock().boot.boot_id.clone()
    }

    /// Returns the counts of work done since the engine was created.
    pub fn counts(&self) -> EngineCounts {
        self.lock().counts
    }

    /// Returns the active faults; `crash` is always unset.
    pub fn faults(&self) -> EngineFaults {
        self.lock().faults.clone()
    }

    /// Replaces the active faults. If `crash` is set, the engine crashes once.
    pub fn set_faults(&self, mut faults: EngineFaults) {
        let crash = std::mem::take(&mut faults.crash);
        self.shared.frozen.send_replace(faults.freeze);
        self.shared
            .connections
            .send_modify(|state| state.close_delimited = faults.close_delimited);
        self.lock().faults = faults;
        if crash {
            self.crash();
        }
    }

    /// Returns the state that the engine's connections follow.
    pub fn connections(&self) -> watch::Receiver<ConnectionState> {
        self.shared.connections.subscribe()
    }

    /// Crashes, cuts all connections and stays down for the configured time, unless the boot has
    /// already ended.
    fn crash_on_prompt(&self, boot_id: &BootId) {
        let mut inner = self.lock();
        if inner.boot.boot_id != *boot_id {
            return;
        }
        let down_time = Duration::from_millis(inner.faults.restart_ms);
        let down_until = Instant::now() + down_time;
        inner.down_until = Some(down_until);
        // The connections must know of the crash before the streams end.
        self.shared.connections.send_modify(|state| {
            state.crashes += 1;
            state.down_until = Some(down_until);
        });
        inner.restart(&self.shared.profile);
    }

    /// Crashes and restarts: streams end early, queued work is lost and the cache is empty.
    pub fn crash(&self) {
        self.lock().restart(&self.shared.profile);
    }

    /// Cancels an attempt. Returns whether it was in progress.
    pub fn cancel(&self, attempt: &str) -> bool {
        let token = self.lock().attempts.remove(attempt);
        token.is_some_and(|token| {
            token.cancel();
            true
        })
    }

    /// Returns the load report, delayed by the configured lag.
    pub fn load_report(&self) -> LoadReport {
        let now = Instant::now();
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.faults.load_lag_ms);
        let current = inner.current_report();
        inner.reports.record(current, now);
        inner.reports.visible_report(lag, now)
    }

    /// Returns a page of cache events, starting at sequence number `from`.
    pub fn cache_events(&self, from: u64) -> CacheEventPage {
        let now = Instant::now();
        let inner = self.lock();
        let page = inner
            .boot
            .events
            .read(from, &inner.faults, &self.shared.profile.id, now);
        CacheEventPage {
            boot_id: inner.boot.boot_id.clone(),
            next: page.next,
            events: page.events,
        }
    }

    /// Returns how many leading blocks of a chain are cached, regardless of lost or late events.
    pub fn cached_blocks(&self, chain: &[BlockHash]) -> usize {
        self.lock().boot.cache.lookup(chain, Instant::now())
    }

    /// Returns all cached blocks, regardless of lost or late events.
    pub fn cache_contents(&self) -> Vec<BlockHash> {
        self.lock().boot.cache.blocks(Instant::now()).collect()
    }

    /// Adds a block exported by another engine to the cache.
    pub fn import_block(&self, block: BlockHash) {
        let now = Instant::now();
        let mut inner = self.lock();
        let change = inner.boot.cache.insert(&[block], now);
        inner.boot.events.record(change, now);
    }

    /// Whether the block is cached and can be exported.
    pub fn exports_block(&self, block: BlockHash) -> bool {
        self.lock().boot.cache.holds(block, Instant::now())
    }

    /// Waits until the engine is not frozen.
    pub async fn wait_until_unfrozen(&self) {
        let mut frozen = self.shared.frozen.subscribe();
        // The sender lives as long as the engine, so the wait cannot fail.
        let _ = frozen.wait_for(|&frozen| !frozen).await;
    }

    /// Locks the state and ignores poisoning.
    fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineInner {
    /// Ends the boot and begins a new one.
    fn restart(&mut self, profile: &EngineProfile) {
        self.boot.token.cancel();
        self.boot = EngineBoot::new(profile);
        self.attempts.clear();
        self.control.abort_load();
        self.reports = ReportHistory::default();
        self.counts.crashes += 1;
    }

    /// Whether the engine is down after a crash on a prompt.
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns the current load report, without lag.
    fn current_report(&self) -> LoadReport {
        LoadReport {
            boot_id: self.boot.boot_id.clone(),
            events_next: self.boot.events.next_sequence(),
            leaving: self.faults.leaving,
            queued: self.boot.queue.queued(),
            running: self.boot.queue.running(),
            weights_version: self.control.weights_version,
        }
    }

    /// Records the current load report if readers see reports with a lag.
    fn record_load_report(&mut self, now: Instant) {
        if self.faults.load_lag_ms > 0 {
            let report = self.current_report();
            self.reports.record(report, now);
        }
    }
}

impl EngineBoot {
    /// Creates the state of a new boot, with an empty queue and cache.
    fn new(profile: &EngineProfile) -> Self {
        Self {
            boot_id: uuid::Uuid::new_v4().to_string().into(),
            token: CancellationToken::new(),
            queue: Arc::new(BatchQueue::new(profile.batch_limit)),
            cache: PromptCache::new(profile.cache_blocks, profile.cache_age),
            events: EventLog::default(),
        }
    }
}

//! Stand-in for a model engine: continuous batching over a limited prompt cache, on tokio's clock.

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

use crate::fake_weights::FakeWeights;

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

/// What an engine is, and how fast.
#[derive(Clone, Debug)]
pub struct EngineProfile {
    /// Its name.
    pub id: EndpointId,
    /// Weights it starts with.
    pub weights_version: WeightsVersion,
    /// Blocks its cache holds.
    pub cache_blocks: usize,
    /// Time after its last use at which a block goes.
    pub cache_age: Option<Duration>,
    /// Requests in the batch at most.
    pub batch_limit: u32,
    /// Requests waiting at most.
    pub queue_limit: u32,
    /// Time to prefill one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Time between two tokens of an answer.
    pub decode_per_token: Duration,
    /// Added to it for each request in the batch.
    pub decode_per_running: Duration,
    /// Refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Time to load weights when nobody else loads.
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

/// Result of handing work to an engine.
pub type Result<T> = std::result::Result<T, EngineRefusal>;

/// Why an engine did not take work.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum EngineRefusal {
    /// It serves other weights than the request asks for.
    #[display("serves weights {_0}")]
    OtherWeights(#[error(not(source))] WeightsVersion),
    /// It is full, leaving, or told to refuse; the request did not run.
    #[display("not run: {_0}")]
    NotRun(#[error(not(source))] &'static str),
    /// It crashed or was cut while the work was there.
    #[display("cut")]
    Cut,
}

/// An engine; clones are the same engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// What the clones share.
    shared: Arc<EngineShared>,
}

/// What the clones of an engine share.
#[derive(Debug)]
struct EngineShared {
    /// What the engine is.
    profile: EngineProfile,
    /// Store it loads weights from.
    weights: FakeWeights,
    /// Whether it stands still.
    frozen: watch::Sender<bool>,
    /// What changes.
    state: Mutex<EngineInner>,
}

/// What changes in an engine.
#[derive(Debug)]
struct EngineInner {
    /// The present start.
    start: EngineStart,
    /// What orders change.
    control: EngineControl,
    /// Faults that are on.
    faults: EngineFaults,
    /// What it did.
    counts: EngineCounts,
    /// Attempts in work, with what cancels them.
    attempts: HashMap<AttemptId, CancellationToken>,
    /// Past load reports.
    reports: ReportHistory,
}

/// What a crash loses.
#[derive(Debug)]
struct EngineStart {
    /// Drawn anew at each start.
    boot_id: BootId,
    /// Ends with the start.
    token: CancellationToken,
    /// The running batch.
    queue: Arc<BatchQueue>,
    /// The cache.
    cache: PromptCache,
    /// What became of the cache.
    events: EventLog,
}

impl FakeEngine {
    /// A started engine with a weight store of its own.
    pub fn new(profile: EngineProfile) -> Self {
        Self::with_weights(profile, FakeWeights::new(u32::MAX))
    }

    /// A started engine that shares a weight store with others.
    pub fn with_weights(profile: EngineProfile, weights: FakeWeights) -> Self {
        let inner = EngineInner {
            start: EngineStart::new(&profile),
            control: EngineControl::new(profile.weights_version),
            faults: EngineFaults::default(),
            counts: EngineCounts::default(),
            attempts: HashMap::new(),
            reports: ReportHistory::default(),
        };
        let shared = EngineShared {
            profile,
            weights,
            frozen: watch::Sender::new(false),
            state: Mutex::new(inner),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// What the engine is.
    pub fn profile(&self) -> &EngineProfile {
        &self.shared.profile
    }

    /// Its present start.
    pub fn boot_id(&self) -> BootId {
        self.lock().start.boot_id.clone()
    }

    /// What it did.
    pub fn counts(&self) -> EngineCounts {
        self.lock().counts
    }

    /// Faults that are on.
    pub fn faults(&self) -> EngineFaults {
        self.lock().faults.clone()
    }

    /// Switches faults; a set `crash` takes effect once.
    pub fn set_faults(&self, mut faults: EngineFaults) {
        let crash = std::mem::take(&mut faults.crash);
        self.shared.frozen.send_replace(faults.freeze);
        self.lock().faults = faults;
        if crash {
            self.crash();
        }
    }

    /// Crashes and comes back empty: streams are cut, waiting work is lost, the cache is gone.
    pub fn crash(&self) {
        let mut inner = self.lock();
        inner.start.token.cancel();
        inner.start = EngineStart::new(&self.shared.profile);
        inner.attempts.clear();
        inner.control.abort_load();
        inner.reports = ReportHistory::default();
        inner.counts.crashes += 1;
    }

    /// Cancels an attempt; tells whether it was in work.
    pub fn cancel(&self, attempt: &str) -> bool {
        let token = self.lock().attempts.remove(attempt);
        token.is_some_and(|token| {
            token.cancel();
            true
        })
    }

    /// What it says of itself, as old as the lag makes it.
    pub fn load_report(&self) -> LoadReport {
        let now = Instant::now();
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.faults.load_lag_ms);
        let current = inner.report();
        inner.reports.record(current, now);
        inner.reports.seen(lag, now)
    }

    /// Cache events from a sequence number on.
    pub fn cache_events(&self, from: u64) -> CacheEventPage {
        let now = Instant::now();
        let inner = self.lock();
        let span = inner
            .start
            .events
            .read(from, &inner.faults, &self.shared.profile.id, now);
        CacheEventPage {
            boot_id: inner.start.boot_id.clone(),
            next: span.next,
            events: span.events,
        }
    }

    /// Number of leading blocks of a chain that are really in the cache, for oracles.
    pub fn cached_blocks(&self, chain: &[BlockHash]) -> usize {
        self.lock().start.cache.lookup(chain, Instant::now())
    }

    /// Every block that is really in the cache, for oracles.
    pub fn cache_contents(&self) -> Vec<BlockHash> {
        self.lock().start.cache.blocks(Instant::now()).collect()
    }

    /// Takes a block that was exported elsewhere.
    pub fn import_block(&self, block: BlockHash) {
        let now = Instant::now();
        let mut inner = self.lock();
        let change = inner.start.cache.insert(&[block], now);
        inner.start.events.record(change, now);
    }

    /// Whether it can export a block.
    pub fn exports_block(&self, block: BlockHash) -> bool {
        self.lock().start.cache.holds(block, Instant::now())
    }

    /// Waits while the engine is told to stand still.
    pub async fn thawed(&self) {
        let mut frozen = self.shared.frozen.subscribe();
        // The sender lives as long as the engine, so that waiting cannot fail.
        let _ = frozen.wait_for(|&frozen| !frozen).await;
    }

    /// The state, also after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl EngineInner {
    /// What the engine would say of itself now.
    fn report(&self) -> LoadReport {
        LoadReport {
            boot_id: self.start.boot_id.clone(),
            events_next: self.start.events.next_sequence(),
            leaving: self.faults.leaving,
            queued: self.start.queue.queued(),
            running: self.start.queue.running(),
            weights_version: self.control.weights_version,
        }
    }

    /// Keeps a report of this moment, for readers who see it late.
    fn note_load(&mut self, now: Instant) {
        if self.faults.load_lag_ms > 0 {
            let report = self.report();
            self.reports.record(report, now);
        }
    }
}

impl EngineStart {
    /// An empty start.
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

//! State that is shared by all tasks of a host.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    },
};

use slog::Logger;
use tokio::sync::{
    Notify,
    Semaphore, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    boot_clock::BootInstant,
    crash_ledger::CrashLedger,
    ids::{
        ModelId,
        WeightsVersion, //
    },
};

use crate::{
    account_quota::{
        quota_hosts::ProcessNumber,
        quota_ledger::QuotaLedger, //
    },
    block_store::{
        self,
        BlockStore, //
    },
    broken_links::BrokenLinks,
    buffer_budget::BufferBudget,
    caller_deadlines::CallerDeadlines,
    control_store::{
        ControlStream,
        GroupMember, //
    },
    crash_reports::ReportQueue,
    endpoint_directory::EndpointDirectory,
    front_metrics::FrontMetrics,
    front_settings::FrontSettings,
    hint_queue::HintQueue,
    load_times::LoadTimes,
    overload::admission_queue::AdmissionQueue,
    pause_monitor::PauseMonitor,
    peer_hosts::PeerHosts,
    peer_rotation::PeerRotation,
    prefill_speeds::PrefillSpeeds,
    prefix_index::PrefixIndex,
    read_progress::ReadProgress,
    record_mirror::RecordMirror,
    retry_allowance::RetryAllowance,
    route_table::RouteTable,
    stream_position::StoreEra,
    wanted_weights::WantedWeights, //
};

/// Time after the start in which a host waits for what others know before it is ready.
const MAX_CONFIRM_TIME: Duration = Duration::from_secs(2);

/// State of one host. All its tasks run on one thread.
#[derive(Debug)]
pub struct Front {
    /// Settings of this host.
    pub settings: FrontSettings,
    /// Structured log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: FrontMetrics,
    /// Configuration in force; `None` until the first one was read.
    routes: RefCell<Option<Rc<RouteTable>>>,
    /// Requested weights versions of each model.
    wanted: RefCell<HashMap<ModelId, Rc<WantedWeights>>>,
    /// Known endpoints.
    pub endpoints: RefCell<EndpointDirectory>,
    /// Whether the operator's stream was read up to its end from the store.
    pub is_operator_current: Cell<bool>,
    /// Whether the list of endpoints was read completely.
    pub is_list_read: Cell<bool>,
    /// Time when the list of endpoints was last read from the store or a peer.
    pub list_read_at: Cell<Option<BootInstant>>,
    /// Copy of the records read from the store or a peer.
    pub mirror: RefCell<RecordMirror>,
    /// Updates that are waiting to be sent to the other hosts.
    pub hints: RefCell<HintQueue>,
    /// Block stores from the configuration.
    pub block_stores: RefCell<Vec<Rc<BlockStore>>>,
    /// Prompt prefixes that engines and block stores hold.
    pub homes: RefCell<PrefixIndex>,
    /// Requests that wait until an engine has room.
    pub admission_queue: Rc<RefCell<AdmissionQueue>>,
    /// Memory of buffered responses.
    pub buffer_budget: BufferBudget,
    /// Longest deadlines of callers.
    pub caller_deadlines: RefCell<CallerDeadlines>,
    /// Prefill speeds of the engines.
    pub prefill_speeds: RefCell<PrefillSpeeds>,
    /// Failure domains to which connections broke.
    pub broken_links: RefCell<BrokenLinks>,
    /// Times that engines took to load weights.
    pub load_times: RefCell<LoadTimes>,
    /// Evidence against prompt parts that crash engines.
    pub crash_ledger: RefCell<CrashLedger>,
    /// Notified when evidence was added.
    pub crash_added: Notify,
    /// Changes of the evidence that are waiting to be written to the store.
    pub report_queue: RefCell<ReportQueue>,
    /// Allowance for sends after the first one of each request.
    pub retries: RefCell<RetryAllowance>,
    /// Quotas of client accounts.
    pub quotas: Rc<RefCell<QuotaLedger>>,
    /// Number of this process, which differs between starts of the host.
    pub process: ProcessNumber,
    /// All known hosts, including this one.
    pub peers: RefCell<PeerHosts>,
    /// Order in which hosts are asked for the records of each stream.
    pub peer_rotations: RefCell<HashMap<ControlStream, PeerRotation>>,
    /// Limits catching up from a peer to one fetch at a time.
    pub peer_fetch_permits: Arc<Semaphore>,
    /// Newest era of the store's answers to this host; `None` before the first.
    store_era: Cell<Option<StoreEra>>,
    /// Notified when the store was restored from a copy.
    pub store_restored: Notify,
    /// Era that is known to be settled: it is the present one and no longer new.
    pub settled_era: Cell<Option<StoreEra>>,
    /// Whether other hosts were asked for what a restored store may lack, or need not be.
    pub has_asked_others: Cell<bool>,
    /// Progress of this host's read of the operator's stream from the store.
    pub operator_read: ReadProgress,
    /// Time that the store took for its last answer to a read that does not wait for records.
    pub store_delay: Cell<Duration>,
    /// Notified when a read of the store timed out or failed.
    pub store_read_failed: Notify,
    /// Notified when the store has become slow.
    pub store_slowed: Notify,
    /// Notified by answers of the store, so that failed reads are tried again.
    pub store_answered: Notify,
    /// Times at which the process stood still.
    pub pauses: PauseMonitor,
    /// Time when the process started.
    pub started: BootInstant,
    /// Number of requests in progress.
    pub in_flight: Cell<usize>,
    /// Time when shutdown began.
    stopping_since: Cell<Option<BootInstant>>,
    /// Cancelled when shutdown begins.
    pub stopping: CancellationToken,
    /// Cancelled when a host that stops must give its last answers.
    pub answers_due: CancellationToken,
    /// Whether the drain is over, so that requests still in progress are cut by the end of the process.
    pub has_drained: Cell<bool>,
}

impl Front {
    /// Creates the state of a host that has read nothing yet.
    pub fn new(settings: FrontSettings, log: Logger, metrics: FrontMetrics) -> Rc<Self> {
        let retries = RetryAllowance::new(settings.retries);
        let prefill_speeds = PrefillSpeeds::new(settings.engines.prefill_tokens_per_ms);
        let load_times = LoadTimes::new(settings.rollout.load_time);
        let quotas = QuotaLedger::new(settings.quota_window, BootInstant::now());
        Rc::new(Self {
            settings,
            log,
            metrics,
            routes: RefCell::new(None),
            wanted: RefCell::new(HashMap::new()),
            endpoints: RefCell::new(EndpointDirectory::default()),
            is_operator_current: Cell::new(false),
            is_list_read: Cell::new(false),
            list_read_at: Cell::new(None),
            mirror: RefCell::new(RecordMirror::default()),
            hints: RefCell::new(HintQueue::default()),
            block_stores: RefCell::new(Vec::new()),
            homes: RefCell::new(PrefixIndex::default()),
            admission_queue: Rc::default(),
            buffer_budget: BufferBudget::default(),
            caller_deadlines: RefCell::new(CallerDeadlines::default()),
            prefill_speeds: RefCell::new(prefill_speeds),
            broken_links: RefCell::new(BrokenLinks::default()),
            load_times: RefCell::new(load_times),
            crash_ledger: RefCell::default(),
            crash_added: Notify::new(),
            report_queue: RefCell::default(),
            retries: RefCell::new(retries),
            quotas: Rc::new(RefCell::new(quotas)),
            process: process_number(),
            peers: RefCell::new(PeerHosts::default()),
            peer_rotations: RefCell::new(HashMap::new()),
            peer_fetch_permits: Arc::new(Semaphore::new(1)),
            store_era: Cell::new(None),
            settled_era: Cell::new(None),
            store_restored: Notify::new(),
            has_asked_others: Cell::new(false),
            operator_read: ReadProgress::default(),
            store_delay: Cell::new(Duration::ZERO),
            store_read_failed: Notify::new(),
            store_slowed: Notify::new(),
            store_answered: Notify::new(),
            pauses: PauseMonitor::new(BootInstant::now()),
            started: BootInstant::now(),
            in_flight: Cell::new(0),
            stopping_since: Cell::new(None),
            stopping: CancellationToken::new(),
            answers_due: CancellationToken::new(),
            has_drained: Cell::new(false),
        })
    }

    /// Records the era of an answer of the store. Returns whether the store was restored from a copy
    /// since this host's last read.
    pub fn enter_era(&self, era: StoreEra) -> bool {
        let before = self.store_era.get();
        if before.is_some_and(|before| era <= before) {
            return false;
        }
        self.store_era.set(Some(era));
        let Some(before) = before else {
            slog::info!(self.log, "store era"; "era" => era);
            return false;
        };
        let config = self.routes().map(|table| table.version());
        slog::warn!(self.log, "store restored from a copy"; "era" => era, "before" => before,
            "dropped" => "read positions, owners of shards", "kept_config" => config,
            "kept_models" => self.wanted.borrow().len(),
            "kept_endpoints" => self.endpoints.borrow().len(),
            "kept_suspects" => self.crash_ledger.borrow().suspect_count());
        self.has_asked_others.set(true);
        self.store_restored.notify_waiters();
        true
    }

    /// Configuration in force; `None` until the first one was read.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Installs a configuration and its block stores if its version is newer than the current one.
    ///
    /// Returns whether it was installed.
    pub fn install_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.borrow_mut();
        let is_newer = routes
            .as_ref()
            .is_none_or(|now| table.version() > now.version());
        if is_newer {
            let mut stores = self.block_stores.borrow_mut();
            *stores = block_store::configured_stores(&table, &stores);
            let mut deadlines = self.caller_deadlines.borrow_mut();
            deadlines.retain(|route| table.has_route(route));
            let mut quotas = self.quotas.borrow_mut();
            quotas.set_rules(table.quotas(), BootInstant::now());
            *routes = Some(Rc::new(table));
        }
        is_newer
    }

    /// Requested weights of a model, if there are any.
    pub fn wanted_weights(&self, model: &str) -> Option<Rc<WantedWeights>> {
        self.wanted.borrow().get(model).cloned()
    }

    /// Requested weights of all models.
    pub fn all_wanted_weights(&self) -> Vec<(ModelId, Rc<WantedWeights>)> {
        let wanted = self.wanted.borrow();
        wanted
            .iter()
            .map(|(model, want)| (model.clone(), want.clone()))
            .collect()
    }

    /// Records a requested weights version if it is newer than the known one.
    ///
    /// Returns whether it was recorded.
    pub fn update_wanted_weights(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        since: BootInstant,
    ) -> bool {
        let mut wanted = self.wanted.borrow_mut();
        match wanted.get_mut(model) {
            Some(known) => Rc::make_mut(known).add(version, since),
            None => {
                let first = Rc::new(WantedWeights::new(version, since));
                wanted.insert(model.clone(), first);
                true
            }
        }
    }

    /// This host as a member of the group.
    pub fn own_member(&self) -> GroupMember {
        GroupMember {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            address: self.settings.peers,
        }
    }

    /// Number of known hosts, including this one; at least 1.
    pub fn host_count(&self) -> usize {
        self.peers.borrow().len().max(1)
    }

    /// Whether the balancer should send new connections to this host.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some()
            && self.is_list_read.get()
            && self.is_confirmed()
            && self.stopping_since.get().is_none()
    }

    /// Whether the configuration is the one that the operator confirmed last, as far as this host can
    /// know: the copy of a restored store may lack it.
    fn is_confirmed(&self) -> bool {
        self.is_era_settled()
            || self.has_asked_others.get()
            || self.started.elapsed() > MAX_CONFIRM_TIME
    }

    /// Newest era of the store's answers to this host; 0 before the first.
    pub fn store_era(&self) -> StoreEra {
        self.store_era.get().unwrap_or(0)
    }

    /// Whether the store's present era is known to be no longer new.
    pub fn is_era_settled(&self) -> bool {
        let era = self.store_era();
        era == 0 || self.settled_era.get() == Some(era)
    }

    /// Begins the shutdown; later calls have no effect.
    pub fn begin_shutdown(&self, now: BootInstant) {
        if self.stopping_since.get().is_none() {
            self.stopping_since.set(Some(now));
            self.stopping.cancel();
        }
    }

    /// Time when shutdown began; `None` while the host is running.
    pub fn stopping_since(&self) -> Option<BootInstant> {
        self.stopping_since.get()
    }
}

/// Number of this process: the time of its start in nanoseconds.
fn process_number() -> ProcessNumber {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_nanos() as ProcessNumber)
}

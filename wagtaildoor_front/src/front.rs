//! State that all tasks of one host share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
};

use slog::Logger;
use tokio::sync::{
    Notify,
    Semaphore, //
};
use tokio_util::sync::CancellationToken;
use wagtaildoor::{
    boot_clock::BootInstant,
    ids::{
        ModelId,
        WeightsVersion, //
    },
};

use crate::{
    block_store::{
        self,
        BlockStore, //
    },
    control_store::GroupMember,
    endpoint_directory::EndpointDirectory,
    front_metrics::FrontMetrics,
    front_settings::FrontSettings,
    hint_queue::HintQueue,
    peer_hosts::PeerHosts,
    prefix_index::PrefixIndex,
    record_mirror::RecordMirror,
    retry_allowance::RetryAllowance,
    route_table::RouteTable, //
};

/// Weights that the operator wants a model served with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WantedWeights {
    /// Version.
    pub version: WeightsVersion,
    /// When this host learnt of them.
    pub since: BootInstant,
}

/// State of one host; all tasks run on one thread.
#[derive(Debug)]
pub struct Front {
    /// Settings.
    pub settings: FrontSettings,
    /// Log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: FrontMetrics,
    /// Configuration in force.
    routes: RefCell<Option<Rc<RouteTable>>>,
    /// Weights wanted, by model.
    wanted: RefCell<HashMap<ModelId, WantedWeights>>,
    /// Endpoints.
    pub endpoints: RefCell<EndpointDirectory>,
    /// Whether the list of endpoints was read.
    pub is_list_read: Cell<bool>,
    /// When the list of endpoints was last read from the store or a peer.
    pub list_read_at: Cell<Option<BootInstant>>,
    /// Records as they were read from the store or a peer.
    pub mirror: RefCell<RecordMirror>,
    /// What other hosts are to be told.
    pub hints: RefCell<HintQueue>,
    /// Stores of cached blocks.
    pub block_stores: RefCell<Vec<Rc<BlockStore>>>,
    /// Engines that hold shared parts of prompts.
    pub homes: RefCell<PrefixIndex>,
    /// Sends beyond the first of each request.
    pub retries: RefCell<RetryAllowance>,
    /// Other hosts and this one.
    pub peers: RefCell<PeerHosts>,
    /// Held while this host asks another for what it is behind with.
    pub peer_fetch_permits: Arc<Semaphore>,
    /// Told when a read of the store had no answer.
    pub store_read_failed: Notify,
    /// When the process started.
    pub started: BootInstant,
    /// Requests in work.
    pub in_flight: Cell<usize>,
    /// When the host was told to end.
    stopping_since: Cell<Option<BootInstant>>,
    /// Cancelled when the host was told to end.
    pub stopping: CancellationToken,
    /// Cancelled when the process ends.
    pub ended: CancellationToken,
}

impl Front {
    /// A host that knows nothing yet.
    pub fn new(settings: FrontSettings, log: Logger, metrics: FrontMetrics) -> Rc<Self> {
        let retries = RetryAllowance::new(settings.retries);
        Rc::new(Self {
            settings,
            log,
            metrics,
            routes: RefCell::new(None),
            wanted: RefCell::new(HashMap::new()),
            endpoints: RefCell::new(EndpointDirectory::default()),
            is_list_read: Cell::new(false),
            list_read_at: Cell::new(None),
            mirror: RefCell::new(RecordMirror::default()),
            hints: RefCell::new(HintQueue::default()),
            block_stores: RefCell::new(Vec::new()),
            homes: RefCell::new(PrefixIndex::default()),
            retries: RefCell::new(retries),
            peers: RefCell::new(PeerHosts::default()),
            peer_fetch_permits: Arc::new(Semaphore::new(1)),
            store_read_failed: Notify::new(),
            started: BootInstant::now(),
            in_flight: Cell::new(0),
            stopping_since: Cell::new(None),
            stopping: CancellationToken::new(),
            ended: CancellationToken::new(),
        })
    }

    /// Configuration in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Takes a version of the configuration, unless a newer one is in force.
    pub fn install_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.borrow_mut();
        let newer = routes
            .as_ref()
            .is_none_or(|now| table.version() > now.version());
        if newer {
            let mut stores = self.block_stores.borrow_mut();
            *stores = block_store::configured_stores(&table, &stores);
            *routes = Some(Rc::new(table));
        }
        newer
    }

    /// Weights wanted for a model.
    pub fn wanted_weights(&self, model: &str) -> Option<WantedWeights> {
        self.wanted.borrow().get(model).copied()
    }

    /// Weights wanted for all models.
    pub fn all_wanted_weights(&self) -> Vec<(ModelId, WantedWeights)> {
        let wanted = self.wanted.borrow();
        wanted
            .iter()
            .map(|(model, want)| (model.clone(), *want))
            .collect()
    }

    /// Takes weights that the operator wants since then, unless newer ones are wanted.
    pub fn update_wanted_weights(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        since: BootInstant,
    ) -> bool {
        let mut wanted = self.wanted.borrow_mut();
        let newer = wanted.get(model).is_none_or(|want| version > want.version);
        if newer {
            wanted.insert(model.clone(), WantedWeights { version, since });
        }
        newer
    }

    /// This host, as others know it.
    pub fn own_member(&self) -> GroupMember {
        GroupMember {
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            address: self.settings.peers,
        }
    }

    /// Hosts of the group, this one included.
    pub fn hosts(&self) -> usize {
        self.peers.borrow().len().max(1)
    }

    /// Whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        self.routes.borrow().is_some()
            && self.is_list_read.get()
            && self.stopping_since.get().is_none()
    }

    /// Begins the end of the process.
    pub fn begin_shutdown(&self, now: BootInstant) {
        if self.stopping_since.get().is_none() {
            self.stopping_since.set(Some(now));
            self.stopping.cancel();
        }
    }

    /// When the end of the process began.
    pub fn stopping_since(&self) -> Option<BootInstant> {
        self.stopping_since.get()
    }
}

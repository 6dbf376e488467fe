//! Routing table of an entry: tracks endpoints, their load and caches, and places requests.

use std::{
    fmt,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    cache_estimate::CacheEstimate,
    error::ErrorKind,
    ids::{
        BootId,
        EndpointId,
        PrefixId,
        WeightsVersion, //
    },
    placement::{
        PlacementChoice,
        PlacementPolicy,
        PlacementQuery, //
    },
    prefix::LevelPrefix,
    residency::{
        HoldingState,
        SlotIndex, //
    },
    schema::{
        EndpointNews,
        EndpointView,
        EngineDone,
        HostView,
        KeeperView,
        PrefixNews, //
    },
    table_state::TableState,
};

/// Result of a placement.
pub type Result<T> = std::result::Result<T, ErrorKind>;

/// Endpoints with their load and caches, as known to one entry; clones share the table.
#[derive(Clone)]
pub struct RoutingTable {
    state: Arc<Mutex<TableState>>,
}

/// An endpoint that may hold a prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderView {
    /// Endpoint that may hold the prefix.
    pub endpoint: EndpointId,
    /// Current start of the endpoint.
    pub boot_id: BootId,
    /// Weights in service; 0 if unknown.
    pub weights_version: WeightsVersion,
    /// Certainty of the holding.
    pub state: HoldingState,
}

/// A request in flight; dropping the ticket releases its share of the endpoint's load.
pub struct DispatchTicket {
    /// Endpoint the request was sent to.
    pub(crate) endpoint: EndpointId,
    /// Slot of the endpoint.
    pub(crate) slot: SlotIndex,
    /// Generation of the slot when the request was sent.
    pub(crate) slot_generation: u32,
    /// Time at which the request was sent.
    pub(crate) sent_at: Instant,
    /// Prompt tokens that were expected to be uncached.
    pub(crate) uncached_tokens: u64,
    /// Estimated tokens of the whole prompt.
    pub(crate) prompt_tokens: u64,
    /// Estimate of the endpoint's cache when the request was sent.
    pub(crate) estimate: CacheEstimate,
    /// Weights the request must run on; 0 accepts any.
    pub(crate) weights_version: WeightsVersion,
    /// Shared prompt levels, outermost first.
    pub(crate) levels: Box<[LevelPrefix]>,
    /// Time to first token; `None` before it.
    pub(crate) first_token_after: Option<Duration>,
    /// Whether the response or failure was recorded.
    is_settled: bool,
    /// Table to release the load in.
    state: Arc<Mutex<TableState>>,
}

impl Default for RoutingTable {
    fn default() -> Self {
        Self::new()
    }
}

impl RoutingTable {
    /// Creates a table without endpoints.
    pub fn new() -> Self {
        Self::with_policy(PlacementPolicy::default())
    }

    /// Creates a table without endpoints, with the given policy.
    pub fn with_policy(policy: PlacementPolicy) -> Self {
        Self::with_seed(policy, rand::random(), Instant::now())
    }

    /// Creates a table with a fixed random seed. `start` is the zero of its clock.
    pub fn with_seed(policy: PlacementPolicy, seed: u64, start: Instant) -> Self {
        let state = TableState::new(policy, seed, start);
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Applies a keeper's complete view; endpoints that are not in it are removed.
    pub fn apply_view(&self, view: &KeeperView) {
        self.replace_endpoints(&view.endpoints, Instant::now());
        self.update_hosts(&view.hosts);
    }

    /// Adds or updates endpoints.
    pub fn update_endpoints(&self, endpoints: &[EndpointView]) {
        self.update_endpoints_at(endpoints, Instant::now());
    }

    /// Adds or updates endpoints at a given time.
    pub fn update_endpoints_at(&self, endpoints: &[EndpointView], now: Instant) {
        self.lock().update_endpoints(endpoints, now);
    }

    /// Replaces all endpoints at a given time; endpoints that are not in the list are removed.
    pub fn replace_endpoints(&self, endpoints: &[EndpointView], now: Instant) {
        self.lock().replace_endpoints(endpoints, now);
    }

    /// Updates the number of live entry hosts, which share the endpoints.
    pub fn update_hosts(&self, hosts: &[HostView]) {
        self.lock().update_hosts(hosts);
    }

    /// Sets the number of other live entry hosts.
    pub fn set_other_host_count(&self, other_hosts: u32) {
        self.lock().other_hosts = other_hosts;
    }

    /// Applies a cache event.
    pub fn apply_cache_event(&self, event: &PrefixNews) {
        self.apply_cache_event_at(event, Instant::now());
    }

    /// Applies a cache event at a given time.
    pub fn apply_cache_event_at(&self, event: &PrefixNews, now: Instant) {
        self.lock().apply_cache_event(event, now);
    }

    /// Chooses an endpoint for a request, without sending anything.
    ///
    /// Errors are `NoEndpoint`, `Overloaded` and `DeadlineUnreachable`.
    pub fn place(&self, query: &PlacementQuery, now: Instant) -> Result<PlacementChoice> {
        self.lock().place(query, now)
    }

    /// Records that a request is sent to the chosen endpoint.
    pub fn record_dispatch(&self, choice: &PlacementChoice, now: Instant) -> DispatchTicket {
        let uncached_tokens = choice
            .prompt_tokens
            .saturating_sub(choice.expected_cached_tokens);
        self.lock().record_dispatch(choice, uncached_tokens, now);
        DispatchTicket {
            endpoint: choice.endpoint.clone(),
            slot: choice.slot,
            slot_generation: choice.slot_generation,
            sent_at: now,
            uncached_tokens,
            prompt_tokens: choice.prompt_tokens,
            estimate: choice.estimate,
            weights_version: choice.weights_version,
            levels: choice.levels.clone(),
            first_token_after: None,
            is_settled: false,
            state: Arc::clone(&self.state),
        }
    }

    /// Records a response head, which has the start, weights and queue depth of the endpoint.
    pub fn record_response_head(
        &self,
        ticket: &DispatchTicket,
        status: &EndpointNews,
        now: Instant,
    ) {
        self.lock().record_response_head(ticket, status, now);
    }

    /// Records the first token of a response; later tokens are ignored.
    pub fn record_first_token(&self, ticket: &mut DispatchTicket, now: Instant) {
        if ticket.first_token_after.is_none() {
            self.lock().record_first_token(ticket);
            ticket.first_token_after = Some(now.saturating_duration_since(ticket.sent_at));
        }
    }

    /// Records the complete response of a model engine, with the shared levels of the prompt.
    pub fn record_completion(
        &self,
        mut ticket: DispatchTicket,
        done: &EngineDone,
        levels: &[LevelPrefix],
        now: Instant,
    ) {
        self.lock().record_completion(&ticket, done, levels, now);
        ticket.is_settled = true;
    }

    /// Records the response of a plain service.
    pub fn record_service_response(
        &self,
        mut ticket: DispatchTicket,
        status: &EndpointNews,
        now: Instant,
    ) {
        let mut state = self.lock();
        state.record_response_head(&ticket, status, now);
        state.record_success(&ticket, 0);
        ticket.is_settled = true;
        drop(state);
    }

    /// Records a failed attempt.
    pub fn record_failure(&self, mut ticket: DispatchTicket, kind: ErrorKind, now: Instant) {
        self.lock().record_failure(&ticket, kind, now);
        ticket.is_settled = true;
    }

    /// Returns the endpoints that may hold a prefix, latest confirmation first.
    pub fn holders(&self, prefix: PrefixId) -> Vec<HolderView> {
        self.lock().holder_views(prefix)
    }

    /// Returns the number of tracked prefixes.
    pub fn prefix_count(&self) -> usize {
        self.lock().residency.len()
    }

    /// Locks the state. A poisoned lock is used as is, since every update is complete in itself.
    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for DispatchTicket {
    fn drop(&mut self) {
        let state = Arc::clone(&self.state);
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.is_settled {
            state.residency.remove_pending(self.slot, &self.levels);
        }
        state.release_load(self);
    }
}

impl fmt::Debug for RoutingTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RoutingTable").finish_non_exhaustive()
    }
}

impl fmt::Debug for DispatchTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DispatchTicket")
            .field("endpoint", &self.endpoint)
            .finish_non_exhaustive()
    }
}

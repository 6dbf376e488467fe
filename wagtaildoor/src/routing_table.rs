//! What an entry knows of endpoints, and where it sends a request.

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

/// Endpoints, their load and their caches, as one entry knows them; clones share the table.
#[derive(Clone)]
pub struct RoutingTable {
    /// State.
    state: Arc<Mutex<TableState>>,
}

/// An endpoint that may hold a prefix, as others may see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderView {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Start that holds it.
    pub boot_id: BootId,
    /// Weights it serves.
    pub weights_version: WeightsVersion,
    /// How sure it is.
    pub state: HoldingState,
}

/// A request on its way; dropping it gives back its share of the endpoint's load.
pub struct DispatchTicket {
    /// Endpoint it went to.
    pub(crate) endpoint: EndpointId,
    /// Place of the endpoint.
    pub(crate) slot: SlotIndex,
    /// Use of that place.
    pub(crate) slot_generation: u32,
    /// When it was sent.
    pub(crate) sent_at: Instant,
    /// Prompt tokens that were expected to be missed.
    pub(crate) uncached_tokens: u64,
    /// Estimated tokens of its prompt.
    pub(crate) prompt_tokens: u64,
    /// What was believed of the endpoint's cache.
    pub(crate) estimate: CacheEstimate,
    /// Weights it must run on.
    pub(crate) weights_version: WeightsVersion,
    /// Levels of its prompt.
    pub(crate) levels: Box<[LevelPrefix]>,
    /// Time to its first token.
    pub(crate) first_token_after: Option<Duration>,
    /// Its answer or failure was taken.
    is_settled: bool,
    /// State to give the load back to.
    state: Arc<Mutex<TableState>>,
}

impl Default for RoutingTable {
    fn default() -> Self {
        Self::new()
    }
}

impl RoutingTable {
    /// A table that knows no endpoint.
    pub fn new() -> Self {
        Self::with_policy(PlacementPolicy::default())
    }

    /// A table that knows no endpoint, with a policy of its own.
    pub fn with_policy(policy: PlacementPolicy) -> Self {
        Self::with_seed(policy, rand::random(), Instant::now())
    }

    /// A table whose draws follow from a seed, with a clock that starts at a time.
    pub fn with_seed(policy: PlacementPolicy, seed: u64, start: Instant) -> Self {
        let state = TableState::new(policy, seed, start);
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Takes a keeper's whole view; endpoints that are missing from it are forgotten.
    pub fn apply_view(&self, view: &KeeperView) {
        self.replace_endpoints(&view.endpoints, Instant::now());
        self.update_hosts(&view.hosts);
    }

    /// Takes endpoints that are new or changed.
    pub fn update_endpoints(&self, endpoints: &[EndpointView]) {
        self.update_endpoints_at(endpoints, Instant::now());
    }

    /// Takes endpoints that are new or changed, as told at a time.
    pub fn update_endpoints_at(&self, endpoints: &[EndpointView], now: Instant) {
        self.lock().update_endpoints(endpoints, now);
    }

    /// Takes the whole list of endpoints, as told at a time.
    pub fn replace_endpoints(&self, endpoints: &[EndpointView], now: Instant) {
        self.lock().replace_endpoints(endpoints, now);
    }

    /// Takes the entry hosts, which share the endpoints.
    pub fn update_hosts(&self, hosts: &[HostView]) {
        self.lock().update_hosts(hosts);
    }

    /// Takes the number of other live entry hosts.
    pub fn set_other_host_count(&self, other_hosts: u32) {
        self.lock().other_hosts = other_hosts;
    }

    /// Takes a cache event.
    pub fn apply_cache_event(&self, news: &PrefixNews) {
        self.apply_cache_event_at(news, Instant::now());
    }

    /// Takes a cache event, as told at a time.
    pub fn apply_cache_event_at(&self, news: &PrefixNews, now: Instant) {
        self.lock().apply_cache_event(news, now);
    }

    /// Chooses an endpoint for a request; errors are `NoEndpoint`, `Overloaded` and
    /// `DeadlineUnreachable`, and nothing was sent then.
    pub fn place(&self, query: &PlacementQuery, now: Instant) -> Result<PlacementChoice> {
        self.lock().place(query, now)
    }

    /// Counts a request that is sent.
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

    /// Takes the head of an answer: start, weights and queue of the endpoint.
    pub fn record_response_head(&self, ticket: &DispatchTicket, news: &EndpointNews, now: Instant) {
        self.lock().record_response_head(ticket, news, now);
    }

    /// Takes the first token of an answer.
    pub fn record_first_token(&self, ticket: &mut DispatchTicket, now: Instant) {
        if ticket.first_token_after.is_none() {
            self.lock().record_first_token(ticket);
            ticket.first_token_after = Some(now.saturating_duration_since(ticket.sent_at));
        }
    }

    /// Takes the end of a model engine's stream, with the levels of the prompt.
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

    /// Takes the answer of a plain service.
    pub fn record_service_response(
        &self,
        mut ticket: DispatchTicket,
        news: &EndpointNews,
        now: Instant,
    ) {
        let mut state = self.lock();
        state.record_response_head(&ticket, news, now);
        state.record_success(&ticket, 0);
        ticket.is_settled = true;
        drop(state);
    }

    /// Takes the failure of an attempt.
    pub fn record_failure(&self, mut ticket: DispatchTicket, kind: ErrorKind, now: Instant) {
        self.lock().record_failure(&ticket, kind, now);
        ticket.is_settled = true;
    }

    /// Endpoints that may hold a prefix, the latest confirmed first.
    pub fn holders(&self, prefix: PrefixId) -> Vec<HolderView> {
        self.lock().holder_views(prefix)
    }

    /// Prefixes that are remembered.
    pub fn prefix_count(&self) -> usize {
        self.lock().residency.len()
    }

    /// The state, even when a holder of the lock panicked: each change is whole in itself.
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

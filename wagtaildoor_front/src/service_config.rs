//! Configuration of the front: routes, services, client accounts and limits.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::ids::{
    AccountId,
    DomainId,
    ModelId,
    RouteId,
    ServiceId, //
};

/// A complete configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Configuration version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes for all host names.
    pub routes: Vec<RouteRule>,
    /// Services that routes refer to, and block stores.
    pub services: Vec<ServiceRule>,
    /// Client accounts; `None` disables authentication.
    pub accounts: Option<Vec<AccountRule>>,
    /// Limits for callers' requests and connections.
    pub limits: CallerLimits,
}

/// Determines whether requests of a route may be sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether a broken stream may be resumed at another endpoint; otherwise the request runs
        /// at most once.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again although an earlier send may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Rules for requests with a given host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Id of the route in the configuration.
    pub id: RouteId,
    /// Host name of matching requests, in lower case.
    pub host: Box<str>,
    /// Prefix of matching paths, with a slash at both ends.
    pub path_prefix: Box<str>,
    /// Determines whether requests may be sent again.
    pub kind: RouteKind,
    /// Maximum number of endpoints that may run one request.
    pub attempts: u32,
    /// Upper limit for a request's deadline; `None` applies the caller's deadline only.
    pub timeout: Option<Duration>,
    /// Target latency of the first part of a response.
    pub first_answer_target: Duration,
    /// Target for the longest gap between events of a stream.
    pub event_gap_target: Duration,
    /// Time after which a caller leaves if no part of the response has come.
    pub caller_patience: Duration,
    /// Urgency of requests; 0 is the most urgent.
    pub urgency: u8,
    /// Services for the requests, with their weights.
    pub targets: Vec<RouteTarget>,
    /// Whether requests without a known key are served.
    pub allows_anonymous: bool,
}

/// A service that receives requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// Service whose endpoints receive the requests.
    pub service: ServiceId,
    /// Share of the requests relative to the route's other targets; 0 excludes the service.
    pub weight: u32,
}

/// A service and the properties of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Id by which routes refer to the service.
    pub id: ServiceId,
    /// Number of connections that one endpoint accepts from all hosts together.
    pub connection_limit: u32,
    /// Path of the endpoints' health check.
    pub health_path: Box<str>,
    /// What the endpoints of the service run, with the rules for it.
    pub kind: ServiceKind,
}

/// What the endpoints of a service run.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Endpoints without a model.
    Plain,
    /// Engines that serve models.
    Engine(EngineRule),
    /// A store of cached blocks.
    BlockStore(BlockStoreRule),
}

/// Properties of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Number of requests in one batch.
    pub batch_slots: u32,
    /// Capacity of an engine's cache memory, in tokens.
    pub memory_tokens: u64,
    /// Memory that one token takes in an engine's cache, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in megabits per second.
    pub link_mbps: f64,
    /// Models that the engines serve.
    pub models: Vec<ModelId>,
}

/// Properties of a block store.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockStoreRule {
    /// Address for sending and fetching blocks.
    pub address: SocketAddr,
    /// Failure domain of the store.
    pub domain: DomainId,
}

/// What requests of an account are counted in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts 1.
    Requests,
    /// A request counts its prompt tokens and its maximum response tokens.
    Tokens {
        /// What a request counts that states no numbers of tokens.
        unstated: u64,
    },
}

/// Limit on what an account's requests may take of all hosts together: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// What requests are counted in.
    pub unit: QuotaUnit,
    /// Units that flow in per second, above 0.
    pub rate_per_s: f64,
    /// Units that an unused quota holds.
    pub burst: f64,
}

impl QuotaRule {
    /// Units that a request costs; `tokens` are those that it states.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { unstated } => tokens.unwrap_or(unstated),
        }
    }

    /// Highest cost of a request that the quota can hold, judged over `window`.
    pub fn largest_cost(&self, window: Duration) -> f64 {
        self.rate_per_s * window.as_secs_f64() + self.burst
    }
}

/// Rules for a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// Id of the client account in the configuration.
    pub id: AccountId,
    /// Keys that authenticate callers of the account.
    pub keys: Vec<Box<str>>,
    /// Urgency that overrides the route's; `None` keeps the route's.
    pub urgency: Option<u8>,
    /// Whether the account's cached blocks are not shared with other accounts.
    pub isolated: bool,
    /// Limit on what its requests may take; `None` without one.
    pub quota: Option<QuotaRule>,
}

/// Limits for callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

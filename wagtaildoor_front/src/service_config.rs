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

/// One version of the configuration, complete.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services that routes lead to, and stores of cached blocks.
    pub services: Vec<ServiceRule>,
    /// Client accounts; `None` lets everybody in.
    pub accounts: Option<Vec<AccountRule>>,
    /// What callers may send, and how long they may take.
    pub limits: CallerLimits,
}

/// What may be repeated for requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run once at most.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// A broken stream may be resumed at another endpoint; otherwise it runs once at most.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            RouteKind::Idempotent | RouteKind::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name.
    pub id: RouteId,
    /// Host that requests name.
    pub host: Box<str>,
    /// Start of the paths, with a slash at both ends.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Endpoints that one request may run on at most.
    pub attempts: u32,
    /// Longest time a request may be kept waiting; `None` leaves it to the caller's deadline.
    pub timeout: Option<Duration>,
    /// Time within which the first part of an answer is wanted.
    pub first_answer_target: Duration,
    /// Longest pause wanted between events of a stream.
    pub event_gap_target: Duration,
    /// Rank; 0 is the most urgent.
    pub urgency: u8,
    /// Services that requests go to, by weight.
    pub targets: Vec<RouteTarget>,
    /// Whether callers need no key.
    pub allows_anonymous: bool,
}

/// A service that a route leads to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// Service.
    pub service: ServiceId,
    /// Share of the requests, relative to the route's other targets.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub id: ServiceId,
    /// Connections that one endpoint accepts from all hosts together.
    pub connection_limit: u32,
    /// What kind of service it is.
    pub kind: ServiceKind,
}

/// Kinds of services.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Plain endpoints.
    Plain,
    /// Model engines.
    Engine(EngineRule),
    /// A store of cached blocks.
    BlockStore(BlockStoreRule),
}

/// Facts of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests in one batch.
    pub batch_slots: u32,
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: u64,
    /// Size of a token in an engine's memory, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Models in service.
    pub models: Vec<ModelId>,
}

/// Facts of a store of cached blocks.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockStoreRule {
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountRule {
    /// Name.
    pub id: AccountId,
    /// Keys that callers of the account show.
    pub keys: Vec<Box<str>>,
    /// Rank that goes before the route's.
    pub urgency: Option<u8>,
    /// Whether it shares no cached blocks with other accounts.
    pub isolated: bool,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for sending a head.
    pub head_timeout: Duration,
    /// Time a connection may stay idle.
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

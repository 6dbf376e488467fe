//! Interface to the wire format of callers and endpoints.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};
use wagtaildoor::ids::{
    AccountId,
    AttemptId,
    EndpointId,
    ModelId,
    PartId,
    WeightsVersion, //
};

use crate::control_store::{
    ControlRecord,
    ControlStream, //
    ControlUpdate,
};

/// Fields parsed from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Attempt id, chosen by the caller.
    pub attempt: Option<AttemptId>,
    /// Time that the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Key of the caller's client account.
    pub key: Option<Box<str>>,
    /// Prompt of the request; `None` for requests to plain services.
    pub prompt: Option<PromptHead>,
    /// Prompt tokens and maximum response tokens together; `None` if the request states none.
    pub stated_tokens: Option<u64>,
    /// Id of the last event that the caller received; the response continues after it.
    pub resume_after: Option<u64>,
}

/// Description of a request's prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptHead {
    /// Model that the request uses.
    pub model: ModelId,
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Maximum length of the response, in tokens.
    pub answer_tokens: u64,
    /// Parts of the prompt from the outermost to the request's own, which is not shared.
    pub parts: Vec<PromptPart>,
}

/// A stretch of a prompt that engines cache as a unit, after the parts before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the content's id.
    pub id: PartId,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// Fields that the front adds to the request for an endpoint.
#[derive(Clone, Debug)]
pub struct DispatchHead<'a> {
    /// Intended endpoint; another endpoint at the same address must refuse the request.
    pub endpoint: &'a EndpointId,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Client account of the caller; `None` for anonymous requests.
    pub account: Option<&'a AccountId>,
    /// Urgency among the endpoint's requests; 0 is the most urgent.
    pub urgency: u8,
    /// Fields for engines; `None` for plain endpoints.
    pub engine: Option<EngineHead<'a>>,
    /// Id of the last event that the caller received; set when the front resumes a stream.
    pub resume_after: Option<u64>,
}

/// Fields that the front adds to a request for an engine.
#[derive(Clone, Debug)]
pub struct EngineHead<'a> {
    /// Weights version that the request must start with.
    pub weights: WeightsVersion,
    /// Salt that separates cached blocks of different models, weights and groups of accounts.
    pub cache_salt: &'a str,
    /// Address from which cached blocks are fetched.
    pub cache_source: Option<SocketAddr>,
    /// Address of the block store that receives a copy of the blocks.
    pub cache_destination: Option<SocketAddr>,
}

/// Fields parsed from the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Attempt id of the request that the response belongs to.
    pub attempt: Option<AttemptId>,
    /// Id of the responding endpoint, if present.
    pub endpoint: Option<EndpointId>,
    /// Whether the endpoint states that it did not run the request.
    pub not_run: bool,
    /// Whether the endpoint refused because it is another endpoint or has other weights.
    pub misdirected: bool,
    /// Whether the response carries an endpoint's signature.
    pub signed: bool,
    /// Current load of the endpoint.
    pub load: Option<LoadReading>,
    /// Weights version with which the endpoint runs the request.
    pub weights: Option<WeightsVersion>,
    /// Whether the endpoint says that it leaves and wants no further requests.
    pub leaving: bool,
    /// Limit on the requests that the endpoint takes.
    pub rate_limit: StatedRate,
    /// Whether the endpoint closes the connection after the response.
    pub closing: bool,
    /// Idle timeout of connections at the endpoint.
    pub idle_limit: Option<Duration>,
}

/// What an answer says about the rate at which its endpoint takes requests from all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedRate {
    /// The endpoint names no limit.
    #[default]
    Unlimited,
    /// Requests a second; finite and not negative.
    PerSecond(f64),
    /// The endpoint names a limit that cannot be read.
    Unreadable,
}

/// Load that an endpoint reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReading {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
}

/// An order to an engine to load a weights version.
#[derive(Clone, Debug)]
pub struct WeightsOrder<'a> {
    /// Model whose weights are loaded.
    pub model: &'a ModelId,
    /// Weights version to load.
    pub version: WeightsVersion,
    /// Host that holds the shard lease and sends the order.
    pub holder: &'a str,
    /// Fencing token of the lease.
    pub fencing: u64,
    /// Number of orders that the engine must have accepted before this one.
    pub orders_before: u64,
}

/// Response of an engine to a load order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderVerdict {
    /// The engine executes the order.
    Accepted,
    /// The engine already has the weights.
    AlreadyHolds,
    /// Another order is in progress, or the engine has accepted a different number of orders.
    Busy,
    /// The engine has seen a newer lease.
    Fenced,
    /// The engine refuses the order permanently.
    Refused,
}

/// Rollout state that an engine reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether a load order is in progress.
    pub busy: bool,
    /// Number of orders accepted since the engine's start.
    pub orders: u64,
    /// Weights version that each model of the engine serves.
    pub weights: Vec<(ModelId, WeightsVersion)>,
}

/// Who an endpoint says that it is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointIdentity {
    /// Id of the endpoint, if present.
    pub id: Option<EndpointId>,
    /// Start time of its process, in milliseconds since the Unix epoch, if present.
    pub started_ms: Option<u64>,
}

/// A request that the front itself makes to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// HTTP method, which depends on what is asked of the endpoint.
    pub method: http::Method,
    /// Request path of the call.
    pub path: Box<str>,
    /// Headers set by the codec; `Host` is added when the call is sent.
    pub headers: HeaderMap,
    /// Request body; may be empty.
    pub body: Bytes,
}

/// Translates between the wire format and the front's types; holds no routing logic.
pub trait WireCodec: 'static {
    /// Path of the balancer's readiness checks.
    const READY_PATH: &'static str;

    /// Parses the headers of a caller's request.
    fn parse_caller_head(headers: &HeaderMap) -> CallerHead;

    /// Removes headers that callers may not send to endpoints or that only concern the front.
    fn strip_caller_headers(headers: &mut HeaderMap);

    /// Adds the front's fields to the headers of a request for an endpoint.
    fn write_dispatch(headers: &mut HeaderMap, head: &DispatchHead<'_>);

    /// Parses the head of an endpoint's response.
    fn parse_answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Parses the weights version in an event; `None` unless the event reports a change.
    fn parse_event_weights(event: &[u8]) -> Option<WeightsVersion>;

    /// Parses a record of the platform's store.
    fn parse_control_record(stream: ControlStream, record: &ControlRecord) -> ControlUpdate;

    /// Builds the call that sends a load order to an engine.
    fn build_order_call(endpoint: &EndpointId, order: &WeightsOrder<'_>) -> EndpointCall;

    /// Derives an engine's verdict on an order from the response status.
    fn parse_order_verdict(status: StatusCode) -> OrderVerdict;

    /// Builds the call that requests an engine's report.
    fn build_report_call(endpoint: &EndpointId) -> EndpointCall;

    /// Builds a health check of an endpoint at the path of its service.
    fn build_health_call(endpoint: &EndpointId, path: &str) -> EndpointCall;

    /// Builds a health check that is addressed to another endpoint than the given one, which turns it away at
    /// once: it waits for no slot and is not run.
    fn build_stray_call(endpoint: &EndpointId, path: &str) -> EndpointCall;

    /// Parses who answered a report call or a health check.
    fn parse_identity(headers: &HeaderMap, body: &[u8]) -> EndpointIdentity;

    /// Parses an engine's report; `None` if it is invalid.
    fn parse_report(body: &[u8]) -> Option<EngineReport>;
}

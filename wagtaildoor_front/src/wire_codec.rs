//! What the front needs to know of the wire format towards callers and endpoints.

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
    WeightsVersion, //
};

use crate::control_store::{
    ControlRecord,
    ControlStream, //
    ControlUpdate,
};

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Id of the attempt, chosen by the caller.
    pub attempt: Option<AttemptId>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Key of a client account.
    pub key: Option<Box<str>>,
    /// The prompt, for requests to models.
    pub prompt: Option<PromptHead>,
    /// Last event of a stream that the caller has; the answer starts after it.
    pub resume_after: Option<u64>,
}

/// The prompt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptHead {
    /// Model.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens of the answer at most.
    pub answer_tokens: u64,
    /// Parts of the prompt, the outermost first; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of its content's id.
    pub id: u64,
    /// Tokens.
    pub tokens: u64,
}

/// What the front tells an endpoint beside the caller's request.
#[derive(Clone, Debug)]
pub struct DispatchHead<'a> {
    /// Endpoint that is meant; another one at its address must refuse.
    pub endpoint: &'a EndpointId,
    /// Time that is left.
    pub time_left: Duration,
    /// Client account of the caller.
    pub account: Option<&'a AccountId>,
    /// Rank among requests at the endpoint.
    pub urgency: u8,
    /// For requests to models.
    pub engine: Option<EngineHead<'a>>,
    /// Last event that the caller has, when a stream is resumed by the front.
    pub resume_after: Option<u64>,
}

/// What the front tells an engine.
#[derive(Clone, Debug)]
pub struct EngineHead<'a> {
    /// Weights that the request must begin under.
    pub weights: WeightsVersion,
    /// Text that keeps cached blocks apart.
    pub cache_salt: &'a str,
    /// Where to fetch cached blocks from.
    pub cache_source: Option<SocketAddr>,
    /// Where to send blocks to.
    pub cache_destination: Option<SocketAddr>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Id of the attempt that is answered.
    pub attempt: Option<AttemptId>,
    /// Endpoint that answers, if it says so.
    pub endpoint: Option<EndpointId>,
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// The endpoint refused because it is another one, or has other weights.
    pub misdirected: bool,
    /// The answer bears an endpoint's signature.
    pub signed: bool,
    /// Load of the endpoint.
    pub load: Option<LoadReading>,
    /// Weights of the endpoint.
    pub weights: Option<WeightsVersion>,
    /// The endpoint closes the connection.
    pub closing: bool,
    /// Time after which the endpoint closes an idle connection.
    pub idle_limit: Option<Duration>,
}

/// Load of an endpoint as it reports it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReading {
    /// Requests in work.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub slots: u32,
}

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct WeightsOrder<'a> {
    /// Model.
    pub model: &'a ModelId,
    /// Weights to load.
    pub version: WeightsVersion,
    /// Host that gives the order.
    pub holder: &'a str,
    /// Fencing number of the host's lease.
    pub fencing: u64,
    /// Orders that the engine must have accepted before this one.
    pub orders_before: u64,
}

/// What an engine answers to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderVerdict {
    /// It is being carried out.
    Accepted,
    /// Nothing was left to do.
    AlreadyHolds,
    /// Another order is in progress, or others came before.
    Busy,
    /// A newer lease was seen.
    Fenced,
    /// It is refused for good.
    Refused,
}

/// State of an engine as it reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineReport {
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// Weights by model.
    pub weights: Vec<(ModelId, WeightsVersion)>,
}

/// A call of the front's own to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointCall {
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// The wire format; it translates and decides nothing.
pub trait WireCodec: 'static {
    /// Path at which the balancer asks whether the host is ready.
    const READY_PATH: &'static str;

    /// Reads the head of a caller's request.
    fn parse_caller_head(headers: &HeaderMap) -> CallerHead;

    /// Takes out what only the system may tell endpoints, and what is for the front alone.
    fn strip_caller_headers(headers: &mut HeaderMap);

    /// Adds what the front tells an endpoint.
    fn write_dispatch(headers: &mut HeaderMap, head: &DispatchHead<'_>);

    /// Reads the head of an endpoint's answer.
    fn parse_answer_head(status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Weights that an event names, if they changed during the stream.
    fn parse_event_weights(event: &[u8]) -> Option<WeightsVersion>;

    /// Reads a record of the store.
    fn parse_control_record(stream: ControlStream, record: &ControlRecord) -> ControlUpdate;

    /// The call that gives an engine an order.
    fn build_order_call(endpoint: &EndpointId, order: &WeightsOrder<'_>) -> EndpointCall;

    /// What an engine answers to an order.
    fn parse_order_verdict(status: StatusCode) -> OrderVerdict;

    /// The call that asks an engine for its state.
    fn build_report_call(endpoint: &EndpointId) -> EndpointCall;

    /// An engine's state; `None` if it cannot be read.
    fn parse_report(body: &[u8]) -> Option<EngineReport>;
}

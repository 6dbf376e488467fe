//! What one host of the front is told about itself and its deployment.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use wagtaildoor::ids::{
    DomainId,
    HostId, //
};

use crate::{
    engine_placement::EnginePolicy,
    plain_placement::PlainPolicy,
    retry_allowance::RetryLimit, //
};

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub readiness: SocketAddr,
    /// Where other hosts connect.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Hosts to ask first when the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// Times that the deployment asks for.
    pub times: FrontTimes,
    /// Limit on sends beyond the first of each request.
    pub retries: RetryLimit,
    /// Choice of engines.
    pub engines: EnginePolicy,
    /// Choice among plain endpoints.
    pub plain: PlainPolicy,
    /// Roll-out of weights.
    pub rollout: RolloutPolicy,
}

/// Times that the deployment asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontTimes {
    /// Time between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Pause between two reads of the list of endpoints.
    pub list_poll_interval: Duration,
    /// Longest wait of one read of the operator's stream.
    pub operator_poll_timeout: Duration,
    /// Age that wanted weights are taken to have when the process starts.
    pub initial_weights_age: Duration,
    /// Deadline of requests that name none.
    pub default_deadline: Duration,
}

/// How weights are rolled out.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPolicy {
    /// Part of a service's engines that load at a time, from 0 to 1.
    pub max_loading_share: f64,
    /// Time that an engine takes to load.
    pub load_time: Duration,
    /// Time after an order in which an engine must be seen with the weights.
    pub confirm_timeout: Duration,
    /// Time for which the host keeps its shards without a word; a restart takes less.
    pub lease_expiry: Duration,
    /// Time after its last word for which the host uses its shards.
    pub lease_validity: Duration,
    /// Pause between two words to the group.
    pub lease_renewal_interval: Duration,
    /// Time that must lie between the orders of two hosts.
    pub handover: Duration,
}

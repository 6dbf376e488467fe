//! Settings of a host and limits of its deployment.

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
    overload::request_ranking::RequestRanking,
    plain_placement::PlainPolicy,
    retry_allowance::RetryLimit, //
};

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    /// Name of this host.
    pub host: HostId,
    /// Failure domain of this host.
    pub domain: DomainId,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address for other hosts: datagrams over UDP, records over TCP.
    pub peers: SocketAddr,
    /// Listening address for the metrics page.
    pub metrics: SocketAddr,
    /// Hosts that are contacted while the group's list is unknown.
    pub seeds: Vec<SocketAddr>,
    /// Durations that depend on the deployment.
    pub times: FrontTimes,
    /// Limit for sends after the first one of each request.
    pub retries: RetryLimit,
    /// By what requests are ranked where there is too little room.
    pub ranking: RequestRanking,
    /// Time over which quotas of accounts are judged.
    pub quota_window: Duration,
    /// Cost parameters for choosing an engine.
    pub engines: EnginePolicy,
    /// Cost parameters for choosing a plain endpoint.
    pub plain: PlainPolicy,
    /// Parameters of weights rollouts and shard leases.
    pub rollout: RolloutPolicy,
}

/// Durations that depend on the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontTimes {
    /// Grace period between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Interval between reads of the list of endpoints.
    pub list_poll_interval: Duration,
    /// Longest time that a read of the operator's stream waits for a record.
    pub operator_poll_timeout: Duration,
    /// Assumed age of the requested weights that the process finds at its start.
    pub initial_weights_age: Duration,
    /// Deadline of requests that do not specify one.
    pub default_deadline: Duration,
}

/// Parameters of weights rollouts and shard leases.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutPolicy {
    /// Largest fraction of a service's engines that load weights concurrently, from 0 to 1.
    pub max_loading_share: f64,
    /// Assumed time that an engine needs to load weights, until a load was seen.
    pub load_time: Duration,
    /// Time after an order within which the engine must be seen with the new weights.
    pub confirm_timeout: Duration,
    /// Time without a renewal after which the host loses its shards; longer than a restart.
    pub lease_expiry: Duration,
    /// Time after a renewal for which the host may act for its shards.
    pub lease_validity: Duration,
    /// Interval between lease renewals.
    pub lease_renewal_interval: Duration,
    /// Minimum time between the orders of two hosts to the same engine.
    pub handover: Duration,
}

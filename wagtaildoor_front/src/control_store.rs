//! What the front needs of the platform's store: records to follow, and a share of a group.

use std::{
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use wagtaildoor::ids::{
    DomainId,
    EndpointId,
    HostId,
    LogOffset,
    ModelId,
    WeightsVersion, //
};

use crate::{
    endpoint::EndpointRecord,
    service_config::ServiceConfig, //
};

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call to the store did not succeed.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The store could not be reached, or refused the call.
    #[display("store unavailable: {_0}")]
    Unavailable(#[error(not(source))] Box<str>),
    /// Records after the offset asked for are gone; a snapshot is needed.
    #[display("store no longer holds the records asked for")]
    Expired,
    /// The answer makes no sense.
    #[display("store answer malformed: {_0}")]
    Malformed(#[error(not(source))] Box<str>),
}

/// Streams of the store that the front follows.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ControlStream {
    /// What the operator writes: configuration and wanted weights.
    Operator,
    /// What endpoints say of themselves.
    Endpoints,
}

/// A record of a stream; the newest of its key holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlRecord {
    /// Place in the stream.
    pub offset: LogOffset,
    /// What it is about.
    pub key: Box<str>,
    /// What it says; `None` takes the key away.
    pub value: Option<Bytes>,
}

/// Records of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ControlPage {
    /// Records, in the order of their offsets.
    pub records: Vec<ControlRecord>,
    /// Offset from which to read on.
    pub next: LogOffset,
    /// Whether the stream already had records beyond it.
    pub has_more: bool,
}

/// Part of a snapshot: the newest records of some keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SnapshotPart {
    /// Records.
    pub records: Vec<ControlRecord>,
    /// End of the stream when this part was read.
    pub end: LogOffset,
    /// Key after which the next part begins; `None` if this is the last.
    pub more_after: Option<Box<str>>,
}

/// Part of the engines that one host at a time gives orders to.
pub type ShardId = u32;

/// A host's share in the group of all hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardAssignment {
    /// Number of the group's last change.
    pub generation: u64,
    /// Shards of this host.
    pub shards: Vec<ShardId>,
}

/// Owners of all shards.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardOwners {
    /// Shards with the host that owns them.
    pub owners: Vec<(ShardId, GroupMember)>,
}

impl ShardOwners {
    /// Hosts that own a shard, each once.
    pub fn members(&self) -> Vec<GroupMember> {
        let members = self.owners.iter().map(|(_, member)| member.clone());
        let mut members: Vec<GroupMember> = members.collect();
        members.sort();
        members.dedup();
        members
    }

    /// Owner of a shard.
    pub fn owner(&self, shard: ShardId) -> Option<&GroupMember> {
        let found = self.owners.iter().find(|(id, _)| *id == shard);
        found.map(|(_, member)| member)
    }
}

/// A host of the group.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupMember {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Address for other hosts.
    pub address: SocketAddr,
}

/// What a record says, in the words of the project.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlUpdate {
    /// A version of the configuration.
    Config(Box<ServiceConfig>),
    /// Weights that a model is to be served with.
    WantedWeights {
        /// Model.
        model: ModelId,
        /// Version of the weights.
        version: WeightsVersion,
    },
    /// An endpoint as it describes itself.
    Endpoint(EndpointRecord),
    /// An endpoint that is gone, or whose description cannot be read.
    EndpointGone {
        /// Endpoint.
        id: EndpointId,
        /// What is wrong with the description, if there is one.
        fault: Option<Box<str>>,
    },
    /// A record that means nothing to the front.
    Unknown {
        /// Why.
        reason: Box<str>,
    },
}

/// The platform's store.
pub trait ControlStore: Clone + 'static {
    /// The newest record of each key of a stream, from the one behind `after` on, as many as the
    /// store gives at a time. Waits for `extra_timeout` beyond the usual time for an answer.
    fn read_snapshot(
        &self,
        stream: ControlStream,
        after: Option<&str>,
        extra_timeout: Duration,
    ) -> impl Future<Output = Result<SnapshotPart>>;

    /// Records of a stream from an offset on; waits up to `wait` for the first.
    fn read_changes(
        &self,
        stream: ControlStream,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<ControlPage>>;

    /// Shards that the group deals out; each host owns some, if there are no more hosts.
    fn shard_count(&self) -> ShardId;

    /// Joins the group of all hosts, or stays in it, for `expiry` from now.
    fn join_group(
        &self,
        member: &GroupMember,
        generation: u64,
        expiry: Duration,
    ) -> impl Future<Output = Result<ShardAssignment>>;

    /// Owners of all shards.
    fn read_owners(&self) -> impl Future<Output = Result<ShardOwners>>;
}

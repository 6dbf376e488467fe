//! Interface to the platform's store: record streams and the group that assigns shards to hosts.

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
    ModelId,
    WeightsVersion, //
};

use crate::{
    crash_reports::ReportChange,
    endpoint::EndpointRecord,
    read_progress::ReadProgress,
    service_config::ServiceConfig, //
    stream_position::{
        StoreEra,
        StreamPosition, //
    },
};

/// Result of a call to the store; fails with [`StoreError`].
pub type Result<T> = std::result::Result<T, StoreError>;

/// Error of a call to the store.
#[derive(Clone, Debug, Eq, PartialEq, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The store could not be reached, rejected the call, or answered from an era before the present.
    #[display("store unavailable: {_0}")]
    Unavailable(#[error(not(source))] Box<str>),
    /// The store does not have the requested offset; a snapshot must be read.
    #[display("the store does not have the requested records")]
    Expired,
    /// The response could not be parsed.
    #[display("malformed store response: {_0}")]
    Malformed(#[error(not(source))] Box<str>),
}

/// Streams of the store that the front reads.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ControlStream {
    /// Written by the operator: configuration and wanted weights.
    Operator,
    /// Written by the endpoints: their addresses, states and weights.
    Endpoints,
    /// Written by the hosts: evidence against prompt parts that crash engines.
    CrashReports,
}

/// A keyed record of a stream. The newest record of a key replaces the older ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlRecord {
    /// Position in the stream.
    pub position: StreamPosition,
    /// Key of the record, such as an endpoint's name.
    pub key: Box<str>,
    /// Encoded value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// A record to be written to a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordChange {
    /// Key of the record, at most 255 bytes.
    pub key: Box<str>,
    /// Encoded value, which must not be empty; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ControlPage {
    /// Records in ascending order of position.
    pub records: Vec<ControlRecord>,
    /// Position of the next read, in the era of the store that answered.
    pub next: StreamPosition,
    /// Whether the stream already held records from `next` on.
    pub has_more: bool,
}

impl ControlPage {
    /// Size of the records' values, in bytes.
    pub fn value_bytes(&self) -> usize {
        let values = self
            .records
            .iter()
            .filter_map(|record| record.value.as_ref());
        values.map(Bytes::len).sum()
    }
}

/// Part of a snapshot, which is paginated by key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SnapshotPart {
    /// Newest record of each key in this part.
    pub records: Vec<ControlRecord>,
    /// End of the stream when this part was read.
    pub end: StreamPosition,
    /// Last key of this part, from which the next part continues; `None` for the last part.
    pub more_after: Option<Box<str>>,
}

/// Subset of the engines that receives orders from one host at a time.
pub type ShardId = u32;

/// Shards that the group has assigned to a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardAssignment {
    /// Era of the store that assigned them.
    pub era: StoreEra,
    /// Generation of the group, which increases with each reassignment in an era.
    pub generation: u64,
    /// Shards assigned to this host.
    pub shards: Vec<ShardId>,
}

/// Evidence that a host could use a shard in a generation of the group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseRecord {
    /// The shard.
    pub shard: ShardId,
    /// Host that could use it.
    pub owner: GroupMember,
    /// Era of the store that assigned it.
    pub era: StoreEra,
    /// Generation of the group in that era.
    pub generation: u64,
}

/// Owners of all shards in the group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardOwners {
    /// Shards with the group member that owns each.
    pub owners: Vec<(ShardId, GroupMember)>,
}

impl ShardOwners {
    /// Distinct hosts that own a shard, sorted.
    pub fn members(&self) -> Vec<GroupMember> {
        let members = self.owners.iter().map(|(_, member)| member.clone());
        let mut members: Vec<GroupMember> = members.collect();
        members.sort();
        members.dedup();
        members
    }

    /// Owner of a shard; `None` if it has none.
    pub fn owner(&self, shard: ShardId) -> Option<&GroupMember> {
        let found = self.owners.iter().find(|(id, _)| *id == shard);
        found.map(|(_, member)| member)
    }
}

/// A host that belongs to the group.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GroupMember {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address at which other hosts reach it.
    pub address: SocketAddr,
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlUpdate {
    /// A new version of the configuration.
    Config(Box<ServiceConfig>),
    /// Weights that engines are to serve a model with.
    WantedWeights {
        /// Model to be served.
        model: ModelId,
        /// Version of the weights to load.
        version: WeightsVersion,
    },
    /// An endpoint's registration.
    Endpoint(EndpointRecord),
    /// An endpoint that has deregistered, or whose record cannot be parsed.
    EndpointGone {
        /// Name of the endpoint.
        id: EndpointId,
        /// Parse error; `None` if the key was deleted.
        fault: Option<Box<str>>,
    },
    /// Evidence against a prompt part.
    CrashReport(ReportChange),
    /// A record that the front does not use.
    Unknown {
        /// Why it is not used.
        reason: Box<str>,
    },
}

/// Age of a record's content among all that its key ever had: a version, or an endpoint's start and
/// revision.
pub type ContentRank = (u64, u64);

impl ControlUpdate {
    /// Rank of the record's content; `None` if the content has none.
    pub fn rank(&self) -> Option<ContentRank> {
        match self {
            ControlUpdate::Config(config) => Some((config.version, 0)),
            ControlUpdate::WantedWeights { version, .. } => Some((*version, 0)),
            ControlUpdate::Endpoint(record) => Some((record.started_ms, record.revision)),
            ControlUpdate::EndpointGone { .. }
            | ControlUpdate::CrashReport(_)
            | ControlUpdate::Unknown { .. } => None,
        }
    }
}

/// Client of the platform's store. Its answers never go back to an earlier era.
pub trait ControlStore: Clone + 'static {
    /// Reads one part of a snapshot: the newest record of each key that follows `after`, up to the
    /// store's page size. The call's timeout is extended by `extra_timeout`. `progress` tells whether the
    /// answer is arriving.
    fn read_snapshot(
        &self,
        stream: ControlStream,
        after: Option<&str>,
        extra_timeout: Duration,
        progress: &ReadProgress,
    ) -> impl Future<Output = Result<SnapshotPart>>;

    /// Reads records from the offset of a position on. The store waits up to `wait` for the first one.
    /// The page is of the store's present era, so it follows `from` only if that is, too. `progress`
    /// tells whether the answer is arriving.
    fn read_changes(
        &self,
        stream: ControlStream,
        from: StreamPosition,
        wait: Duration,
        progress: &ReadProgress,
    ) -> impl Future<Output = Result<ControlPage>>;

    /// Appends records to a stream, all or none of them. After an error, they may have been appended.
    fn append(
        &self,
        stream: ControlStream,
        records: &[RecordChange],
    ) -> impl Future<Output = Result<()>>;

    /// Reads the era that a host has recorded as settled, after the present one.
    fn read_settled_era(&self) -> impl Future<Output = Result<(StoreEra, Option<StoreEra>)>>;

    /// Records that an era is settled.
    fn write_settled_era(&self, era: StoreEra) -> impl Future<Output = Result<()>>;

    /// Number of shards in the group. With no more hosts than shards, every host owns at least one.
    fn shard_count(&self) -> ShardId;

    /// Joins the group or renews the membership, which then lasts for `expiry` from now.
    fn join_group(
        &self,
        member: &GroupMember,
        generation: u64,
        expiry: Duration,
    ) -> impl Future<Output = Result<ShardAssignment>>;

    /// Reads the owners of all shards.
    fn read_owners(&self) -> impl Future<Output = Result<ShardOwners>>;

    /// Reads the newest lease record of each shard.
    fn read_lease_records(&self) -> impl Future<Output = Result<Vec<LeaseRecord>>>;

    /// Writes lease records, which replace those of the same shards. After an error, they may have been
    /// written, or may be later.
    fn write_lease_records(&self, records: &[LeaseRecord]) -> impl Future<Output = Result<()>>;
}

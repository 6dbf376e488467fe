//! Type aliases for ids.

/// Name of a client account.
pub type AccountId = Box<str>;
/// Id of one attempt to run a request, unique across all hosts.
pub type AttemptId = Box<str>;
/// Random id that an endpoint generates at each start.
pub type BootId = Box<str>;
/// Hash of a configuration record, in hexadecimal.
pub type ConfigHash = Box<str>;
/// Name of a failure domain.
pub type DomainId = Box<str>;
/// Name of an endpoint.
pub type EndpointId = Box<str>;
/// Hash of an engine's id and the time of its start.
pub type EngineStart = u64;
/// Fencing token of a lease: the offset of the log record that granted it.
pub type FencingToken = u64;
/// Name of an entry host.
pub type HostId = Box<str>;
/// Name of a lease.
pub type LeaseId = Box<str>;
/// Name of a model.
pub type ModelId = Box<str>;
/// Offset of a record in a stream of the log, starting at 1.
pub type LogOffset = u64;
/// Hash of the id of a prompt part.
pub type PartId = u64;
/// Name of a pool of endpoints.
pub type PoolId = Box<str>;
/// Hash of a sequence of prompt levels.
pub type PrefixId = u64;
/// Name of a region.
pub type RegionId = Box<str>;
/// Id of a request, unique across all hosts.
pub type RequestId = Box<str>;
/// Idempotency key of a request, a UUIDv7.
pub type RequestKey = Box<str>;
/// Name of a route of the front.
pub type RouteId = Box<str>;
/// Name of a service, which is a group of endpoints that do the same work.
pub type ServiceId = Box<str>;
/// Name of a stream in the log.
pub type StreamId = Box<str>;
/// Name of a template.
pub type TemplateId = Box<str>;
/// Hash of the text of a level, in hexadecimal.
pub type TextHash = Box<str>;
/// Version of the weights of a model; newer versions are higher.
pub type WeightsVersion = u64;

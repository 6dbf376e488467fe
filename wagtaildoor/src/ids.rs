//! Type aliases for ids.

/// Name of a client account.
pub type AccountId = Box<str>;
/// One try at running a request, unique over all hosts.
pub type AttemptId = Box<str>;
/// What an endpoint draws anew at each start.
pub type BootId = Box<str>;
/// Hash of a configuration record, in hexadecimal.
pub type ConfigHash = Box<str>;
/// Name of a failure domain.
pub type DomainId = Box<str>;
/// Name of an endpoint.
pub type EndpointId = Box<str>;
/// Offset of the log record that granted a lease.
pub type FencingToken = u64;
/// Name of an entry host.
pub type HostId = Box<str>;
/// Name of a lease.
pub type LeaseId = Box<str>;
/// Name of a model.
pub type ModelId = Box<str>;
/// Place of a record in a stream of the log.
pub type LogOffset = u64;
/// Name of a pool of endpoints.
pub type PoolId = Box<str>;
/// Hash of a chain of prompt levels.
pub type PrefixId = u64;
/// Name of a region.
pub type RegionId = Box<str>;
/// Name of a request, unique over all hosts.
pub type RequestId = Box<str>;
/// Idempotency key of a request, a UUIDv7.
pub type RequestKey = Box<str>;
/// Name of a route of the front.
pub type RouteId = Box<str>;
/// Name of a service, that is of endpoints that do the same work.
pub type ServiceId = Box<str>;
/// Name of a stream in the log.
pub type StreamId = Box<str>;
/// Name of a template.
pub type TemplateId = Box<str>;
/// Hash of a level's text, in hexadecimal.
pub type TextHash = Box<str>;
/// Version of a model's weights; newer ones are higher.
pub type WeightsVersion = u64;

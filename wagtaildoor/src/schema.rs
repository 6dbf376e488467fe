//! Messages and settings, generated from `schema/` by `scripts/generate`; not edited by hand.

#![expect(
    missing_docs,
    reason = "the generator documents types, not conversions"
)]
#![expect(
    clippy::clone_on_copy,
    clippy::derivable_impls,
    reason = "the generator treats every type alike"
)]

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///A client account.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Account {
    ///Name of the account.
    pub id: crate::ids::AccountId,
    ///Values for the parameters of templates.
    pub parameters: ::std::vec::Vec<NamedValue>,
    ///Requests a second over all hosts; 0 sets no limit.
    pub requests_per_s: u32,
    ///BLAKE3 hash of the bearer token, in hexadecimal.
    pub token_hash: ::std::boxed::Box<str>,
    ///Share of the capacity under load, against other accounts.
    pub weight: u32,
}
impl ::std::convert::From<&Account> for Account {
    fn from(value: &Account) -> Self {
        value.clone()
    }
}
///What one host has granted to a client account since its start, less what it took back, in the unit of the account's quota.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AccountUsage {
    ///Hash of the account's id.
    pub account: u64,
    ///Sum at the host's previous report.
    pub before: u64,
    ///Sum now.
    pub granted: u64,
}
impl ::std::convert::From<&AccountUsage> for AccountUsage {
    fn from(value: &AccountUsage) -> Self {
        value.clone()
    }
}
///A change in an engine's prompt cache.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    ///Hashes of the blocks; each covers its whole prefix and the cache salt.
    pub blocks: ::std::vec::Vec<u64>,
    ///Kind of change.
    pub kind: CacheEventKind,
    ///Sequence number; restarts at 1 with each process start.
    pub sequence: u64,
}
impl ::std::convert::From<&CacheEvent> for CacheEvent {
    fn from(value: &CacheEvent) -> Self {
        value.clone()
    }
}
///Kind of change to cached blocks.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum CacheEventKind {
    #[serde(rename = "stored")]
    Stored,
    #[serde(rename = "removed")]
    Removed,
    #[serde(rename = "cleared")]
    Cleared,
}
impl ::std::convert::From<&Self> for CacheEventKind {
    fn from(value: &CacheEventKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for CacheEventKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Stored => f.write_str("stored"),
            Self::Removed => f.write_str("removed"),
            Self::Cleared => f.write_str("cleared"),
        }
    }
}
impl ::std::str::FromStr for CacheEventKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stored" => Ok(Self::Stored),
            "removed" => Ok(Self::Removed),
            "cleared" => Ok(Self::Cleared),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for CacheEventKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for CacheEventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CacheEventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Cache events of one engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CacheEventPage {
    ///Boot id of the engine that the events belong to.
    pub boot_id: crate::ids::BootId,
    ///Events; the sequence may have gaps.
    pub events: ::std::vec::Vec<CacheEvent>,
    ///Sequence number to continue reading from.
    pub next: u64,
}
impl ::std::convert::From<&CacheEventPage> for CacheEventPage {
    fn from(value: &CacheEventPage) -> Self {
        value.clone()
    }
}
///Response of a completion, or one event of its stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatAnswer {
    ///Choices; always exactly one.
    pub choices: ::std::vec::Vec<ChatChoice>,
    ///Number of chunks before this last event of the stream.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub chunks: ::std::option::Option<u64>,
    ///Time at which the request was received, in seconds since the Unix epoch.
    pub created: u64,
    ///Request id.
    pub id: crate::ids::RequestId,
    ///Name of the template.
    pub model: crate::ids::TemplateId,
    ///Type of this object.
    pub object: ::std::boxed::Box<str>,
    ///Token counts; in a stream, only in the last event.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<TokenUsage>,
}
impl ::std::convert::From<&ChatAnswer> for ChatAnswer {
    fn from(value: &ChatAnswer) -> Self {
        value.clone()
    }
}
///The only choice of a completion; chats have `message`, or `delta` in a stream, and text completions have `text`.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChoice {
    ///Next part of the response message.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub delta: ::std::option::Option<ChatMessage>,
    ///`stop` at the end of the completion, otherwise null.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::boxed::Box<str>>,
    ///Always 0.
    pub index: u32,
    ///Complete response message.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub message: ::std::option::Option<ChatMessage>,
    ///Text of a text completion, or the next part of it in a stream.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub text: ::std::option::Option<::std::boxed::Box<str>>,
}
impl ::std::convert::From<&ChatChoice> for ChatChoice {
    fn from(value: &ChatChoice) -> Self {
        value.clone()
    }
}
///One message of a conversation.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatMessage {
    ///Text of the message.
    pub content: ::std::boxed::Box<str>,
    ///Role of the author.
    pub role: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&ChatMessage> for ChatMessage {
    fn from(value: &ChatMessage) -> Self {
        value.clone()
    }
}
///Request body of a chat completion; unknown fields are ignored.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatRequest {
    ///Maximum length of the completion, in tokens; limited by the template.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    ///Messages of the conversation, oldest first.
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///Name of the template.
    pub model: crate::ids::TemplateId,
    ///Values for the template's parameters.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: HashMap::is_empty"
    )]
    pub parameters: ::std::collections::HashMap<::std::string::String, ::std::boxed::Box<str>>,
    ///Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
}
impl ::std::convert::From<&ChatRequest> for ChatRequest {
    fn from(value: &ChatRequest) -> Self {
        value.clone()
    }
}
///Claim records of one append.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    ///Records, in order.
    pub records: ::std::vec::Vec<ClaimRecord>,
    ///Format version of this record.
    pub version: u32,
}
impl ::std::convert::From<&ClaimBatch> for ClaimBatch {
    fn from(value: &ClaimBatch) -> Self {
        value.clone()
    }
}
///Request of an entry to its keeper to make a claim.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimCall {
    ///Number of the call on this connection.
    pub call: u64,
    ///Claim to make.
    pub start: ClaimStart,
    ///Time that the entry waits for the response, in milliseconds.
    pub wait_ms: u64,
}
impl ::std::convert::From<&ClaimCall> for ClaimCall {
    fn from(value: &ClaimCall) -> Self {
        value.clone()
    }
}
///Outcome of the attempt that won the claim.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimOutcome {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Body of the response.
    pub answer: ::std::boxed::Box<str>,
    ///Attempt that ran.
    pub attempt: crate::ids::AttemptId,
    ///Media type of the response.
    pub content_type: ::std::boxed::Box<str>,
    ///Idempotency key.
    pub key: crate::ids::RequestKey,
    ///HTTP status of the endpoint's response.
    pub status: u16,
}
impl ::std::convert::From<&ClaimOutcome> for ClaimOutcome {
    fn from(value: &ClaimOutcome) -> Self {
        value.clone()
    }
}
///A record of a claim stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ClaimRecord {
    #[serde(rename = "start")]
    Start(ClaimStart),
    #[serde(rename = "outcome")]
    Outcome(ClaimOutcome),
    #[serde(rename = "release")]
    Release(ClaimRelease),
    #[serde(rename = "settlement")]
    Settlement(ClaimSettlement),
}
impl ::std::convert::From<&Self> for ClaimRecord {
    fn from(value: &ClaimRecord) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<ClaimStart> for ClaimRecord {
    fn from(value: ClaimStart) -> Self {
        Self::Start(value)
    }
}
impl ::std::convert::From<ClaimOutcome> for ClaimRecord {
    fn from(value: ClaimOutcome) -> Self {
        Self::Outcome(value)
    }
}
impl ::std::convert::From<ClaimRelease> for ClaimRecord {
    fn from(value: ClaimRelease) -> Self {
        Self::Release(value)
    }
}
impl ::std::convert::From<ClaimSettlement> for ClaimRecord {
    fn from(value: ClaimSettlement) -> Self {
        Self::Settlement(value)
    }
}
///Release of a claim by an attempt that sent nothing to an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimRelease {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Attempt that releases its claim.
    pub attempt: crate::ids::AttemptId,
    ///Idempotency key.
    pub key: crate::ids::RequestKey,
}
impl ::std::convert::From<&ClaimRelease> for ClaimRelease {
    fn from(value: &ClaimRelease) -> Self {
        value.clone()
    }
}
///Response to a claim.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimReply {
    ///Number of the call.
    pub call: u64,
    ///Result of the claim.
    pub verdict: ClaimVerdict,
}
impl ::std::convert::From<&ClaimReply> for ClaimReply {
    fn from(value: &ClaimReply) -> Self {
        value.clone()
    }
}
///Settlement of an unknown outcome.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimSettlement {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Attempt that is settled.
    pub attempt: crate::ids::AttemptId,
    ///Operator or host that settled it.
    pub by: ::std::boxed::Box<str>,
    ///Idempotency key.
    pub key: crate::ids::RequestKey,
    ///Reason for the settlement.
    pub note: ::std::boxed::Box<str>,
    ///Result that is assumed from now on.
    pub settled: SettledAs,
}
impl ::std::convert::From<&ClaimSettlement> for ClaimSettlement {
    fn from(value: &ClaimSettlement) -> Self {
        value.clone()
    }
}
///Claim of an attempt to be the one that runs an idempotency key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimStart {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Attempt that makes the claim.
    pub attempt: crate::ids::AttemptId,
    ///Hash of the template and the request body, in hexadecimal.
    pub body_hash: ::std::boxed::Box<str>,
    ///Host that makes the claim.
    pub host: crate::ids::HostId,
    ///Idempotency key, a UUIDv7.
    pub key: crate::ids::RequestKey,
    ///Request that the attempt belongs to.
    pub request: crate::ids::RequestId,
    ///Template of the request.
    pub template: crate::ids::TemplateId,
}
impl ::std::convert::From<&ClaimStart> for ClaimStart {
    fn from(value: &ClaimStart) -> Self {
        value.clone()
    }
}
///Result of a claim, according to the log.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ClaimVerdict {
    ///This attempt may run the key.
    #[serde(rename = "won")]
    Won(u64),
    ///The key has already run; this is its response.
    #[serde(rename = "done")]
    Done(ClaimOutcome),
    ///Another attempt has claimed the key; its outcome is not recorded.
    #[serde(rename = "busy")]
    Busy(crate::ids::AttemptId),
    ///The key was used before with a different body.
    #[serde(rename = "mismatch")]
    Mismatch(crate::ids::AttemptId),
    ///The key was settled as having run; its response is not recorded.
    #[serde(rename = "settled")]
    Settled(crate::ids::AttemptId),
    ///No claim was made, and none will be.
    #[serde(rename = "refused")]
    Refused(::std::boxed::Box<str>),
    ///The log did not respond in time; the claim may still appear, and this attempt must not run.
    #[serde(rename = "uncertain")]
    Uncertain(::std::boxed::Box<str>),
    ///The key is too old, or too far in the future, to be checked; this attempt must not run.
    #[serde(rename = "expired")]
    Expired(::std::boxed::Box<str>),
}
impl ::std::convert::From<&Self> for ClaimVerdict {
    fn from(value: &ClaimVerdict) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<u64> for ClaimVerdict {
    fn from(value: u64) -> Self {
        Self::Won(value)
    }
}
impl ::std::convert::From<ClaimOutcome> for ClaimVerdict {
    fn from(value: ClaimOutcome) -> Self {
        Self::Done(value)
    }
}
///Timestamp of a hybrid logical clock.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClockStamp {
    ///Order of timestamps within the same millisecond.
    pub counter: u32,
    ///Milliseconds since the Unix epoch; never less than in any timestamp seen before.
    pub wall_ms: u64,
}
impl ::std::convert::From<&ClockStamp> for ClockStamp {
    fn from(value: &ClockStamp) -> Self {
        value.clone()
    }
}
///Request body of a text completion; unknown fields are ignored.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    ///Maximum length of the completion, in tokens; limited by the template.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    ///Name of the template.
    pub model: crate::ids::TemplateId,
    ///Values for the template's parameters.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: HashMap::is_empty"
    )]
    pub parameters: ::std::collections::HashMap<::std::string::String, ::std::boxed::Box<str>>,
    ///Text that the caller adds to the prompt.
    pub prompt: ::std::boxed::Box<str>,
    ///Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
}
impl ::std::convert::From<&CompletionRequest> for CompletionRequest {
    fn from(value: &CompletionRequest) -> Self {
        value.clone()
    }
}
///One change to the configuration.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ConfigChange {
    #[serde(rename = "put_text")]
    PutText(LevelText),
    #[serde(rename = "put_account")]
    PutAccount(Account),
    #[serde(rename = "put_pool")]
    PutPool(Pool),
    #[serde(rename = "put_template")]
    PutTemplate(Template),
    #[serde(rename = "remove_template")]
    RemoveTemplate(crate::ids::TemplateId),
    #[serde(rename = "raise_weights")]
    RaiseWeights(WeightsChange),
}
impl ::std::convert::From<&Self> for ConfigChange {
    fn from(value: &ConfigChange) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<LevelText> for ConfigChange {
    fn from(value: LevelText) -> Self {
        Self::PutText(value)
    }
}
impl ::std::convert::From<Account> for ConfigChange {
    fn from(value: Account) -> Self {
        Self::PutAccount(value)
    }
}
impl ::std::convert::From<Pool> for ConfigChange {
    fn from(value: Pool) -> Self {
        Self::PutPool(value)
    }
}
impl ::std::convert::From<Template> for ConfigChange {
    fn from(value: Template) -> Self {
        Self::PutTemplate(value)
    }
}
impl ::std::convert::From<crate::ids::TemplateId> for ConfigChange {
    fn from(value: crate::ids::TemplateId) -> Self {
        Self::RemoveTemplate(value)
    }
}
impl ::std::convert::From<WeightsChange> for ConfigChange {
    fn from(value: WeightsChange) -> Self {
        Self::RaiseWeights(value)
    }
}
///A position in the chain of configuration records.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    ///Hash of the record, in hexadecimal; empty before the first record.
    pub hash: crate::ids::ConfigHash,
    ///Offset of the record in the log.
    pub offset: u64,
    ///Sequence number of the record in the chain, from 1; 0 before the first record.
    pub sequence: u64,
}
impl ::std::convert::From<&ConfigHead> for ConfigHead {
    fn from(value: &ConfigHead) -> Self {
        value.clone()
    }
}
///A record of the configuration chain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    ///Changes, applied atomically.
    pub changes: ::std::vec::Vec<ConfigChange>,
    ///Whole configuration up to and including this record, if it is a checkpoint.
    pub checkpoint: ::std::option::Option<Configuration>,
    ///Reason for the change, as given by the operator.
    pub note: ::std::boxed::Box<str>,
    ///Operator that published the record.
    pub operator: ::std::boxed::Box<str>,
    ///Hash of the previous record; empty for the first record.
    pub parent: crate::ids::ConfigHash,
    ///Sequence number in the chain, from 1.
    pub sequence: u64,
    ///Format version of this record.
    pub version: u32,
}
impl ::std::convert::From<&ConfigRecord> for ConfigRecord {
    fn from(value: &ConfigRecord) -> Self {
        value.clone()
    }
}
///Configuration in force at one head of the record chain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    ///Client accounts.
    pub accounts: ::std::vec::Vec<Account>,
    ///Pools.
    pub pools: ::std::vec::Vec<Pool>,
    ///Templates.
    pub templates: ::std::vec::Vec<Template>,
    ///Texts that the templates refer to.
    pub texts: ::std::vec::Vec<LevelText>,
}
impl ::std::convert::From<&Configuration> for Configuration {
    fn from(value: &Configuration) -> Self {
        value.clone()
    }
}
///Time since a failure domain was last heard from.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DomainReach {
    ///Time since the last datagram from it, in milliseconds.
    pub age_ms: u64,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
}
impl ::std::convert::From<&DomainReach> for DomainReach {
    fn from(value: &DomainReach) -> Self {
        value.clone()
    }
}
///State of an endpoint, as seen in one of its responses.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointNews {
    ///Boot id of the endpoint.
    pub boot_id: crate::ids::BootId,
    ///Endpoint.
    pub endpoint: crate::ids::EndpointId,
    ///Number of queued requests.
    pub queued: u32,
    ///Weights version of the endpoint.
    pub weights_version: u64,
}
impl ::std::convert::From<&EndpointNews> for EndpointNews {
    fn from(value: &EndpointNews) -> Self {
        value.clone()
    }
}
///State of an endpoint or host in the platform's list.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum EndpointState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for EndpointState {
    fn from(value: &EndpointState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for EndpointState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for EndpointState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EndpointState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for EndpointState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EndpointState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///State of an endpoint, as known to a keeper.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointView {
    ///Address and port.
    pub address: ::std::net::SocketAddr,
    ///Boot id of the endpoint; empty before its first report.
    pub boot_id: crate::ids::BootId,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
    ///Endpoint id.
    pub id: crate::ids::EndpointId,
    ///Pool.
    pub pool: crate::ids::PoolId,
    ///Number of queued requests.
    pub queued: u32,
    ///Age of the last report, in milliseconds.
    pub report_age_ms: u64,
    ///Number of running requests.
    pub running: u32,
    ///Live or leaving.
    pub state: EndpointState,
    ///Weights version in service; 0 if unknown.
    pub weights_version: u64,
}
impl ::std::convert::From<&EndpointView> for EndpointView {
    fn from(value: &EndpointView) -> Self {
        value.clone()
    }
}
///One event of an engine's stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineChunk {
    ///Attempt of the chunk.
    pub attempt_id: crate::ids::AttemptId,
    ///Summary; only in the last event.
    pub done: ::std::option::Option<EngineDone>,
    ///Request of the chunk.
    pub request_id: crate::ids::RequestId,
    ///Position of the chunk in the response, from 0; a resumed stream starts at the requested position.
    pub sequence: u64,
    ///Text of one token; empty in the last event.
    pub text: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&EngineChunk> for EngineChunk {
    fn from(value: &EngineChunk) -> Self {
        value.clone()
    }
}
///Summary at the end of an engine's stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineDone {
    ///Boot id of the engine that ran the request.
    pub boot_id: crate::ids::BootId,
    ///Number of prompt tokens found in the cache.
    pub cached_tokens: u64,
    ///Number of chunks in the whole response, including those before a resume.
    pub chunks: u64,
    ///Hash of the last full block of each level.
    pub level_blocks: ::std::vec::Vec<u64>,
    ///Number of tokens in the prompt.
    pub prompt_tokens: u64,
    ///Number of requests queued at the engine.
    pub queued: u32,
    ///Weights version that ran the request.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineDone> for EngineDone {
    fn from(value: &EngineDone) -> Self {
        value.clone()
    }
}
///Desired state of an engine; idempotent.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    ///Fencing token of the lease under which the order is given.
    pub fencing: u64,
    ///Kind of the order.
    pub kind: OrderKind,
    ///Time after which the order expires, in milliseconds.
    pub limit_ms: u64,
    ///Name of the adapter or role; empty for weights.
    pub name: ::std::boxed::Box<str>,
    ///Weights version to serve.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineOrder> for EngineOrder {
    fn from(value: &EngineOrder) -> Self {
        value.clone()
    }
}
///Request to an engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineRequest {
    ///Adapter to use; empty for none.
    pub adapter: ::std::boxed::Box<str>,
    ///Attempt id; echoed in each chunk.
    pub attempt_id: crate::ids::AttemptId,
    ///Salt that separates accounts in the engine's cache.
    pub cache_salt: ::std::boxed::Box<str>,
    ///End offset of each shared level in the prompt, in bytes.
    pub levels: ::std::vec::Vec<u64>,
    ///Maximum length of the completion, in tokens.
    pub max_tokens: u32,
    ///Pool of the model.
    pub model: crate::ids::PoolId,
    ///Scheduling priority; lower values run first.
    pub priority: u32,
    ///Complete prompt text.
    pub prompt: ::std::boxed::Box<str>,
    ///Request id; echoed in each chunk.
    pub request_id: crate::ids::RequestId,
    ///Number of chunks that the caller already has.
    pub resume_from: u64,
    ///Required weights version; an engine with another version refuses the request.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineRequest> for EngineRequest {
    fn from(value: &EngineRequest) -> Self {
        value.clone()
    }
}
///State of an engine, as read back after an order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    ///Loaded adapters.
    pub adapters: ::std::vec::Vec<::std::boxed::Box<str>>,
    ///Boot id of the engine.
    pub boot_id: crate::ids::BootId,
    ///Highest fencing token that the engine has seen.
    pub fencing: u64,
    ///Weights version being loaded; 0 for none.
    pub loading: u64,
    ///Current role.
    pub role: ::std::boxed::Box<str>,
    ///Weights version in service.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineState> for EngineState {
    fn from(value: &EngineState) -> Self {
        value.clone()
    }
}
///Weights of an engine, as seen in an order or a response.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineWeights {
    ///Hash of the engine's name and start time.
    pub endpoint: u64,
    ///Whether the engine is still loading the weights; it accepts no requests until then.
    pub is_loading: bool,
    ///Model that the weights belong to.
    pub model: ::std::boxed::Box<str>,
    ///Weights version.
    pub version: u64,
}
impl ::std::convert::From<&EngineWeights> for EngineWeights {
    fn from(value: &EngineWeights) -> Self {
        value.clone()
    }
}
///Outstanding prefill work of one host at an engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineWork {
    ///Hash of the engine's name and start time.
    pub endpoint: u64,
    ///Number of prompt tokens of the host's requests that the engine has yet to prefill.
    pub tokens: u64,
}
impl ::std::convert::From<&EngineWork> for EngineWork {
    fn from(value: &EngineWork) -> Self {
        value.clone()
    }
}
///A frame from an entry to a keeper.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum EntryFrame {
    #[serde(rename = "hello")]
    Hello(EntryHello),
    #[serde(rename = "claim")]
    Claim(ClaimCall),
    #[serde(rename = "record")]
    Record(RecordCall),
    #[serde(rename = "news")]
    News(EndpointNews),
    #[serde(rename = "ping")]
    Ping(ClockStamp),
}
impl ::std::convert::From<&Self> for EntryFrame {
    fn from(value: &EntryFrame) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<EntryHello> for EntryFrame {
    fn from(value: EntryHello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<ClaimCall> for EntryFrame {
    fn from(value: ClaimCall) -> Self {
        Self::Claim(value)
    }
}
impl ::std::convert::From<RecordCall> for EntryFrame {
    fn from(value: RecordCall) -> Self {
        Self::Record(value)
    }
}
impl ::std::convert::From<EndpointNews> for EntryFrame {
    fn from(value: EndpointNews) -> Self {
        Self::News(value)
    }
}
impl ::std::convert::From<ClockStamp> for EntryFrame {
    fn from(value: ClockStamp) -> Self {
        Self::Ping(value)
    }
}
///First frame that an entry sends on a connection.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryHello {
    ///Host of the entry.
    pub host: crate::ids::HostId,
    ///Clock of the entry.
    pub stamp: ClockStamp,
}
impl ::std::convert::From<&EntryHello> for EntryHello {
    fn from(value: &EntryHello) -> Self {
        value.clone()
    }
}
///Settings of wagtaildoor-entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    pub host: HostSection,
    pub keepers: KeepersSection,
    pub limits: LimitsSection,
    pub listen: ListenSection,
    pub logging: LoggingSection,
    pub shutdown: ShutdownSection,
}
impl ::std::convert::From<&EntrySettings> for EntrySettings {
    fn from(value: &EntrySettings) -> Self {
        value.clone()
    }
}
///Body of an error response, or data of a stream's error event.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorBody {
    pub error: ErrorReport,
}
impl ::std::convert::From<&ErrorBody> for ErrorBody {
    fn from(value: &ErrorBody) -> Self {
        value.clone()
    }
}
///Details of an error.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorReport {
    ///Kind of the error, from a fixed list.
    pub kind: ::std::boxed::Box<str>,
    ///Description of the error, as a sentence.
    pub message: ::std::boxed::Box<str>,
    ///Whether the request ran: `not_run`, `ran` or `unknown`.
    pub outcome: ::std::boxed::Box<str>,
    ///Request id.
    pub request: crate::ids::RequestId,
    ///Seconds to wait before a retry; null if the caller should not retry.
    pub retry_after_s: ::std::option::Option<u64>,
}
impl ::std::convert::From<&ErrorReport> for ErrorReport {
    fn from(value: &ErrorReport) -> Self {
        value.clone()
    }
}
///Kind of a timeline event.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum EventKind {
    #[serde(rename = "process_started")]
    ProcessStarted,
    #[serde(rename = "process_leaving")]
    ProcessLeaving,
    #[serde(rename = "process_stopped")]
    ProcessStopped,
    #[serde(rename = "request_received")]
    RequestReceived,
    #[serde(rename = "request_admitted")]
    RequestAdmitted,
    #[serde(rename = "request_refused")]
    RequestRefused,
    #[serde(rename = "request_placed")]
    RequestPlaced,
    #[serde(rename = "request_dispatched")]
    RequestDispatched,
    #[serde(rename = "first_token")]
    FirstToken,
    #[serde(rename = "stream_resumed")]
    StreamResumed,
    #[serde(rename = "request_retried")]
    RequestRetried,
    #[serde(rename = "answer_crossed")]
    AnswerCrossed,
    #[serde(rename = "request_answered")]
    RequestAnswered,
    #[serde(rename = "caller_gone")]
    CallerGone,
    #[serde(rename = "claim_asked")]
    ClaimAsked,
    #[serde(rename = "claim_won")]
    ClaimWon,
    #[serde(rename = "claim_lost")]
    ClaimLost,
    #[serde(rename = "claim_released")]
    ClaimReleased,
    #[serde(rename = "claim_unknown")]
    ClaimUnknown,
    #[serde(rename = "claim_settled")]
    ClaimSettled,
    #[serde(rename = "outcome_recorded")]
    OutcomeRecorded,
    #[serde(rename = "outcome_replayed")]
    OutcomeReplayed,
    #[serde(rename = "config_published")]
    ConfigPublished,
    #[serde(rename = "config_in_force")]
    ConfigInForce,
    #[serde(rename = "config_refused")]
    ConfigRefused,
    #[serde(rename = "view_taken")]
    ViewTaken,
    #[serde(rename = "view_lost")]
    ViewLost,
    #[serde(rename = "platform_lost")]
    PlatformLost,
    #[serde(rename = "platform_back")]
    PlatformBack,
    #[serde(rename = "endpoint_joined")]
    EndpointJoined,
    #[serde(rename = "endpoint_leaving")]
    EndpointLeaving,
    #[serde(rename = "endpoint_gone")]
    EndpointGone,
    #[serde(rename = "endpoint_restarted")]
    EndpointRestarted,
    #[serde(rename = "peer_joined")]
    PeerJoined,
    #[serde(rename = "peer_suspected")]
    PeerSuspected,
    #[serde(rename = "peer_gone")]
    PeerGone,
    #[serde(rename = "lease_taken")]
    LeaseTaken,
    #[serde(rename = "lease_lost")]
    LeaseLost,
    #[serde(rename = "order_sent")]
    OrderSent,
    #[serde(rename = "order_refused")]
    OrderRefused,
    #[serde(rename = "rollout_step")]
    RolloutStep,
    #[serde(rename = "rollout_stopped")]
    RolloutStopped,
}
impl ::std::convert::From<&Self> for EventKind {
    fn from(value: &EventKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for EventKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::ProcessStarted => f.write_str("process_started"),
            Self::ProcessLeaving => f.write_str("process_leaving"),
            Self::ProcessStopped => f.write_str("process_stopped"),
            Self::RequestReceived => f.write_str("request_received"),
            Self::RequestAdmitted => f.write_str("request_admitted"),
            Self::RequestRefused => f.write_str("request_refused"),
            Self::RequestPlaced => f.write_str("request_placed"),
            Self::RequestDispatched => f.write_str("request_dispatched"),
            Self::FirstToken => f.write_str("first_token"),
            Self::StreamResumed => f.write_str("stream_resumed"),
            Self::RequestRetried => f.write_str("request_retried"),
            Self::AnswerCrossed => f.write_str("answer_crossed"),
            Self::RequestAnswered => f.write_str("request_answered"),
            Self::CallerGone => f.write_str("caller_gone"),
            Self::ClaimAsked => f.write_str("claim_asked"),
            Self::ClaimWon => f.write_str("claim_won"),
            Self::ClaimLost => f.write_str("claim_lost"),
            Self::ClaimReleased => f.write_str("claim_released"),
            Self::ClaimUnknown => f.write_str("claim_unknown"),
            Self::ClaimSettled => f.write_str("claim_settled"),
            Self::OutcomeRecorded => f.write_str("outcome_recorded"),
            Self::OutcomeReplayed => f.write_str("outcome_replayed"),
            Self::ConfigPublished => f.write_str("config_published"),
            Self::ConfigInForce => f.write_str("config_in_force"),
            Self::ConfigRefused => f.write_str("config_refused"),
            Self::ViewTaken => f.write_str("view_taken"),
            Self::ViewLost => f.write_str("view_lost"),
            Self::PlatformLost => f.write_str("platform_lost"),
            Self::PlatformBack => f.write_str("platform_back"),
            Self::EndpointJoined => f.write_str("endpoint_joined"),
            Self::EndpointLeaving => f.write_str("endpoint_leaving"),
            Self::EndpointGone => f.write_str("endpoint_gone"),
            Self::EndpointRestarted => f.write_str("endpoint_restarted"),
            Self::PeerJoined => f.write_str("peer_joined"),
            Self::PeerSuspected => f.write_str("peer_suspected"),
            Self::PeerGone => f.write_str("peer_gone"),
            Self::LeaseTaken => f.write_str("lease_taken"),
            Self::LeaseLost => f.write_str("lease_lost"),
            Self::OrderSent => f.write_str("order_sent"),
            Self::OrderRefused => f.write_str("order_refused"),
            Self::RolloutStep => f.write_str("rollout_step"),
            Self::RolloutStopped => f.write_str("rollout_stopped"),
        }
    }
}
impl ::std::str::FromStr for EventKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "process_started" => Ok(Self::ProcessStarted),
            "process_leaving" => Ok(Self::ProcessLeaving),
            "process_stopped" => Ok(Self::ProcessStopped),
            "request_received" => Ok(Self::RequestReceived),
            "request_admitted" => Ok(Self::RequestAdmitted),
            "request_refused" => Ok(Self::RequestRefused),
            "request_placed" => Ok(Self::RequestPlaced),
            "request_dispatched" => Ok(Self::RequestDispatched),
            "first_token" => Ok(Self::FirstToken),
            "stream_resumed" => Ok(Self::StreamResumed),
            "request_retried" => Ok(Self::RequestRetried),
            "answer_crossed" => Ok(Self::AnswerCrossed),
            "request_answered" => Ok(Self::RequestAnswered),
            "caller_gone" => Ok(Self::CallerGone),
            "claim_asked" => Ok(Self::ClaimAsked),
            "claim_won" => Ok(Self::ClaimWon),
            "claim_lost" => Ok(Self::ClaimLost),
            "claim_released" => Ok(Self::ClaimReleased),
            "claim_unknown" => Ok(Self::ClaimUnknown),
            "claim_settled" => Ok(Self::ClaimSettled),
            "outcome_recorded" => Ok(Self::OutcomeRecorded),
            "outcome_replayed" => Ok(Self::OutcomeReplayed),
            "config_published" => Ok(Self::ConfigPublished),
            "config_in_force" => Ok(Self::ConfigInForce),
            "config_refused" => Ok(Self::ConfigRefused),
            "view_taken" => Ok(Self::ViewTaken),
            "view_lost" => Ok(Self::ViewLost),
            "platform_lost" => Ok(Self::PlatformLost),
            "platform_back" => Ok(Self::PlatformBack),
            "endpoint_joined" => Ok(Self::EndpointJoined),
            "endpoint_leaving" => Ok(Self::EndpointLeaving),
            "endpoint_gone" => Ok(Self::EndpointGone),
            "endpoint_restarted" => Ok(Self::EndpointRestarted),
            "peer_joined" => Ok(Self::PeerJoined),
            "peer_suspected" => Ok(Self::PeerSuspected),
            "peer_gone" => Ok(Self::PeerGone),
            "lease_taken" => Ok(Self::LeaseTaken),
            "lease_lost" => Ok(Self::LeaseLost),
            "order_sent" => Ok(Self::OrderSent),
            "order_refused" => Ok(Self::OrderRefused),
            "rollout_step" => Ok(Self::RolloutStep),
            "rollout_stopped" => Ok(Self::RolloutStopped),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for EventKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for EventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EventKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Timeline events of one process.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EventPage {
    ///Number of older events that are left out: no longer kept, or beyond the requested number.
    pub dropped: u64,
    ///Events, oldest first.
    pub events: ::std::vec::Vec<TimelineEvent>,
}
impl ::std::convert::From<&EventPage> for EventPage {
    fn from(value: &EventPage) -> Self {
        value.clone()
    }
}
///Request to another host of the front for records that it has read from the platform's store.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontAsk {
    ///Lowest position to return: the store's era in the upper 24 bits, the offset in the others.
    pub from: u64,
    ///Stream to read.
    pub stream: FrontStream,
}
impl ::std::convert::From<&FrontAsk> for FrontAsk {
    fn from(value: &FrontAsk) -> Self {
        value.clone()
    }
}
///A datagram between hosts of the front. It only improves placement; correctness does not depend on it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontHint {
    ///Some of the hosts known to the sender.
    pub hosts: ::std::vec::Vec<FrontHost>,
    ///What endpoints said to the sender about their limits.
    pub limits: ::std::vec::Vec<LimitNews>,
    ///Position up to which the sender has read the operator's stream: the store's era in the upper 24 bits, the offset in the others.
    pub operator_next: u64,
    ///Whether the receiver forwards the hint to all other hosts of its failure domain.
    pub pass_on: bool,
    ///Prefixes that were placed at engines.
    pub placed: ::std::vec::Vec<PlacedPrefix>,
    ///Number that differs between the starts of the sender.
    pub process: u64,
    ///Host that the hint is from.
    pub sender: FrontHost,
    ///What the sender granted to client accounts with a quota.
    pub usage: ::std::vec::Vec<AccountUsage>,
    ///Weights of engines.
    pub weights: ::std::vec::Vec<EngineWeights>,
    ///Outstanding prefill work of the sender at engines where it has changed.
    pub work: ::std::vec::Vec<EngineWork>,
}
impl ::std::convert::From<&FrontHint> for FrontHint {
    fn from(value: &FrontHint) -> Self {
        value.clone()
    }
}
///A host of the front.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontHost {
    ///Address for other hosts.
    pub address: ::std::boxed::Box<str>,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
    ///Host id.
    pub host: crate::ids::HostId,
}
impl ::std::convert::From<&FrontHost> for FrontHost {
    fn from(value: &FrontHost) -> Self {
        value.clone()
    }
}
///A record of the platform's store, as it was read.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontRecord {
    ///Key of the record.
    pub key: ::std::boxed::Box<str>,
    ///Position of the record: the store's era in the upper 24 bits, the offset in the others.
    pub offset: u64,
    ///Value of the key; null deletes the key.
    pub value: ::std::option::Option<::std::vec::Vec<u8>>,
}
impl ::std::convert::From<&FrontRecord> for FrontRecord {
    fn from(value: &FrontRecord) -> Self {
        value.clone()
    }
}
///Response to a FrontAsk: the newest record of each key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontRecords {
    ///Position up to which the host has read: the store's era in the upper 24 bits, the offset in the others; 0 if it has read nothing.
    pub next: u64,
    ///Records, ordered by position.
    pub records: ::std::vec::Vec<FrontRecord>,
}
impl ::std::convert::From<&FrontRecords> for FrontRecords {
    fn from(value: &FrontRecords) -> Self {
        value.clone()
    }
}
///Stream of the platform's store that hosts of the front follow.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum FrontStream {
    #[serde(rename = "operator")]
    Operator,
    #[serde(rename = "endpoints")]
    Endpoints,
    #[serde(rename = "crash_reports")]
    CrashReports,
}
impl ::std::convert::From<&Self> for FrontStream {
    fn from(value: &FrontStream) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for FrontStream {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Operator => f.write_str("operator"),
            Self::Endpoints => f.write_str("endpoints"),
            Self::CrashReports => f.write_str("crash_reports"),
        }
    }
}
impl ::std::str::FromStr for FrontStream {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "operator" => Ok(Self::Operator),
            "endpoints" => Ok(Self::Endpoints),
            "crash_reports" => Ok(Self::CrashReports),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for FrontStream {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for FrontStream {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for FrontStream {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Settings of wagtaildoor-front that do not come from the platform.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontTuning {
    pub logging: LoggingSection,
    pub metrics: MetricsSection,
    pub placement: PlacementSection,
    pub rollout: RolloutSection,
    pub store: StoreSection,
}
impl ::std::convert::From<&FrontTuning> for FrontTuning {
    fn from(value: &FrontTuning) -> Self {
        value.clone()
    }
}
///Response to GET /held-configuration, which peers with an older configuration read.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeldConfiguration {
    ///Configuration at the head.
    pub configuration: Configuration,
    ///Head of the configuration in force.
    pub head: ConfigHead,
}
impl ::std::convert::From<&HeldConfiguration> for HeldConfiguration {
    fn from(value: &HeldConfiguration) -> Self {
        value.clone()
    }
}
///Identity of the entry host that this process runs on.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostSection {
    ///Failure domain of this host.
    pub domain: crate::ids::DomainId,
    ///Name of this entry host, unique across all regions.
    pub name: crate::ids::HostId,
    ///Region of the failure domain.
    pub region: crate::ids::RegionId,
}
impl ::std::convert::From<&HostSection> for HostSection {
    fn from(value: &HostSection) -> Self {
        value.clone()
    }
}
///State of an entry host, as known to a keeper.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostView {
    ///Whether the host answers probes, directly or according to other hosts.
    pub alive: bool,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
    ///Address of its keeper for entries.
    pub entries: ::std::net::SocketAddr,
    ///Newest configuration that the host is known to have.
    pub head: ConfigHead,
    ///Host id.
    pub id: crate::ids::HostId,
    ///Address of its keeper for operators.
    pub operators: ::std::net::SocketAddr,
}
impl ::std::convert::From<&HostView> for HostView {
    fn from(value: &HostView) -> Self {
        value.clone()
    }
}
///A frame from a keeper to an entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum KeeperFrame {
    #[serde(rename = "view")]
    View(KeeperView),
    #[serde(rename = "endpoints")]
    Endpoints(::std::vec::Vec<EndpointView>),
    #[serde(rename = "claim_reply")]
    ClaimReply(ClaimReply),
    #[serde(rename = "record_reply")]
    RecordReply(RecordReply),
    #[serde(rename = "prefix_news")]
    PrefixNews(PrefixNews),
    #[serde(rename = "pong")]
    Pong(ClockStamp),
    #[serde(rename = "hosts")]
    Hosts(::std::vec::Vec<HostView>),
    ///Time since the last response from the log, in milliseconds.
    #[serde(rename = "platform_age_ms")]
    PlatformAgeMs(u64),
    ///The keeper accepts no new calls; those already sent are still processed.
    #[serde(rename = "leaving")]
    Leaving(crate::ids::HostId),
}
impl ::std::convert::From<&Self> for KeeperFrame {
    fn from(value: &KeeperFrame) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<KeeperView> for KeeperFrame {
    fn from(value: KeeperView) -> Self {
        Self::View(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<EndpointView>> for KeeperFrame {
    fn from(value: ::std::vec::Vec<EndpointView>) -> Self {
        Self::Endpoints(value)
    }
}
impl ::std::convert::From<ClaimReply> for KeeperFrame {
    fn from(value: ClaimReply) -> Self {
        Self::ClaimReply(value)
    }
}
impl ::std::convert::From<RecordReply> for KeeperFrame {
    fn from(value: RecordReply) -> Self {
        Self::RecordReply(value)
    }
}
impl ::std::convert::From<PrefixNews> for KeeperFrame {
    fn from(value: PrefixNews) -> Self {
        Self::PrefixNews(value)
    }
}
impl ::std::convert::From<ClockStamp> for KeeperFrame {
    fn from(value: ClockStamp) -> Self {
        Self::Pong(value)
    }
}
impl ::std::convert::From<::std::vec::Vec<HostView>> for KeeperFrame {
    fn from(value: ::std::vec::Vec<HostView>) -> Self {
        Self::Hosts(value)
    }
}
impl ::std::convert::From<u64> for KeeperFrame {
    fn from(value: u64) -> Self {
        Self::PlatformAgeMs(value)
    }
}
impl ::std::convert::From<crate::ids::HostId> for KeeperFrame {
    fn from(value: crate::ids::HostId) -> Self {
        Self::Leaving(value)
    }
}
///Settings of wagtaildoor-keeper.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperSettings {
    pub host: HostSection,
    pub logging: LoggingSection,
    pub peers: PeersSection,
    pub platform: PlatformSection,
    pub serve: ServeSection,
}
impl ::std::convert::From<&KeeperSettings> for KeeperSettings {
    fn from(value: &KeeperSettings) -> Self {
        value.clone()
    }
}
///Response to GET /status: the state that one keeper sees.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperStatus {
    ///Time since the keeper last verified that its configuration was the newest, in milliseconds.
    pub config_age_ms: u64,
    ///Failure domain of the keeper.
    pub domain: crate::ids::DomainId,
    ///Endpoints known to the keeper.
    pub endpoints: ::std::vec::Vec<EndpointView>,
    ///Head of the configuration in force at the keeper.
    pub head: ConfigHead,
    ///Host of the keeper.
    pub host: crate::ids::HostId,
    ///Entry hosts known to the keeper.
    pub hosts: ::std::vec::Vec<HostView>,
    ///Time since the last response from the log, in milliseconds.
    pub platform_age_ms: u64,
}
impl ::std::convert::From<&KeeperStatus> for KeeperStatus {
    fn from(value: &KeeperStatus) -> Self {
        value.clone()
    }
}
///View of the system that an entry needs to serve requests.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperView {
    ///Configuration in force.
    pub configuration: Configuration,
    ///Endpoints of all reachable failure domains.
    pub endpoints: ::std::vec::Vec<EndpointView>,
    ///Head of the configuration in force.
    pub head: ConfigHead,
    ///Entry hosts.
    pub hosts: ::std::vec::Vec<HostView>,
    ///Time since the last response from the log, in milliseconds.
    pub platform_age_ms: u64,
}
impl ::std::convert::From<&KeeperView> for KeeperView {
    fn from(value: &KeeperView) -> Self {
        value.clone()
    }
}
///Keepers that an entry gets its view from.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeepersSection {
    ///Keeper addresses in order of preference, separated by commas; the keeper of this host comes first.
    pub addresses: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Delay between attempts to connect to a keeper, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 200>")]
    pub retry_ms: u64,
}
impl ::std::convert::From<&KeepersSection> for KeepersSection {
    fn from(value: &KeepersSection) -> Self {
        value.clone()
    }
}
///Request of a holder for a lease, or its renewal.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseGrant {
    ///Duration of the lease from the record's timestamp, in milliseconds.
    pub duration_ms: u64,
    ///Fencing token: offset of the record that first granted the lease; 0 in a first request.
    pub fencing: u64,
    ///Host and random id of the holder.
    pub holder: ::std::boxed::Box<str>,
    ///Name of the lease.
    pub lease: crate::ids::LeaseId,
}
impl ::std::convert::From<&LeaseGrant> for LeaseGrant {
    fn from(value: &LeaseGrant) -> Self {
        value.clone()
    }
}
///A record of the lease stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum LeaseRecord {
    #[serde(rename = "grant")]
    Grant(LeaseGrant),
    #[serde(rename = "release")]
    Release(LeaseGrant),
}
impl ::std::convert::From<&Self> for LeaseRecord {
    fn from(value: &LeaseRecord) -> Self {
        value.clone()
    }
}
///One level of a shared prompt; the outermost level comes first.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Level {
    ///Name of the level.
    pub name: ::std::boxed::Box<str>,
    ///BLAKE3 hash of the level's text, in hexadecimal.
    pub text_hash: crate::ids::TextHash,
}
impl ::std::convert::From<&Level> for Level {
    fn from(value: &Level) -> Self {
        value.clone()
    }
}
///Text of a level, looked up by its hash.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LevelText {
    ///BLAKE3 hash of the text, in hexadecimal.
    pub hash: crate::ids::TextHash,
    ///Text, with {parameter} placeholders.
    pub text: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&LevelText> for LevelText {
    fn from(value: &LevelText) -> Self {
        value.clone()
    }
}
///Limit on the requests that an endpoint takes from all hosts together.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitNews {
    ///Time since the endpoint said so, in milliseconds.
    pub age_ms: u64,
    ///Hash of the endpoint's name and start time.
    pub endpoint: u64,
    ///Thousandths of a request a second; null if the endpoint names no limit.
    pub milli_per_s: ::std::option::Option<u64>,
}
impl ::std::convert::From<&LimitNews> for LimitNews {
    fn from(value: &LimitNews) -> Self {
        value.clone()
    }
}
///Limits of one entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitsSection {
    ///Maximum number of requests of this entry in progress at one endpoint.
    #[serde(default = "defaults::default_u64::<u32, 32>")]
    pub endpoint_in_flight: u32,
    ///Maximum number of requests in progress.
    #[serde(default = "defaults::default_u64::<u32, 2000>")]
    pub in_flight: u32,
    ///Maximum number of requests waiting to be admitted.
    #[serde(default = "defaults::default_u64::<u32, 4000>")]
    pub queued: u32,
    ///Retries allowed per 100 first attempts.
    #[serde(default = "defaults::default_u64::<u32, 10>")]
    pub retry_budget_percent: u32,
    ///Number of chunks buffered for a slow caller before reading from the endpoint pauses.
    #[serde(default = "defaults::default_u64::<u32, 64>")]
    pub stream_buffer_chunks: u32,
}
impl ::std::convert::From<&LimitsSection> for LimitsSection {
    fn from(value: &LimitsSection) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for LimitsSection {
    fn default() -> Self {
        Self {
            endpoint_in_flight: defaults::default_u64::<u32, 32>(),
            in_flight: defaults::default_u64::<u32, 2000>(),
            queued: defaults::default_u64::<u32, 4000>(),
            retry_budget_percent: defaults::default_u64::<u32, 10>(),
            stream_buffer_chunks: defaults::default_u64::<u32, 64>(),
        }
    }
}
///An endpoint in the platform's list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedEndpoint {
    ///Address and port of the endpoint.
    pub address: ::std::net::SocketAddr,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
    ///Name of the endpoint.
    pub id: crate::ids::EndpointId,
    ///Pool of the endpoint.
    pub pool: crate::ids::PoolId,
    ///Live or leaving.
    pub state: EndpointState,
}
impl ::std::convert::From<&ListedEndpoint> for ListedEndpoint {
    fn from(value: &ListedEndpoint) -> Self {
        value.clone()
    }
}
///An entry host in the platform's list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    ///Failure domain.
    pub domain: crate::ids::DomainId,
    ///Address of its keeper for entries.
    pub entries: ::std::net::SocketAddr,
    ///Name of the host.
    pub id: crate::ids::HostId,
    ///Address of its keeper for operators.
    pub operators: ::std::net::SocketAddr,
    ///Address of its keeper for datagrams.
    pub peers: ::std::net::SocketAddr,
    ///Live or leaving.
    pub state: EndpointState,
}
impl ::std::convert::From<&ListedHost> for ListedHost {
    fn from(value: &ListedHost) -> Self {
        value.clone()
    }
}
///Listener for callers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    ///Address and port for callers; port 0 picks a free one.
    pub address: ::std::net::SocketAddr,
    ///File to which the bound address is written, for use with port 0.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub address_file: ::std::option::Option<::std::boxed::Box<str>>,
    ///Maximum size of a request body, in bytes.
    #[serde(default = "defaults::default_u64::<u64, 4194304>")]
    pub body_limit_bytes: u64,
    ///Timeout for receiving the whole request body, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub body_timeout_ms: u64,
    ///PEM file with the certificate chain; enables TLS.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tls_certificate: ::std::option::Option<::std::boxed::Box<str>>,
    ///PEM file with the private key.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tls_key: ::std::option::Option<::std::boxed::Box<str>>,
}
impl ::std::convert::From<&ListenSection> for ListenSection {
    fn from(value: &ListenSection) -> Self {
        value.clone()
    }
}
///Load report of an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    ///Random id of the process start; changes with each restart.
    pub boot_id: crate::ids::BootId,
    ///Sequence number of the next cache event.
    pub events_next: u64,
    ///Whether the endpoint is shutting down and accepts no new requests.
    pub leaving: bool,
    ///Number of queued requests.
    pub queued: u32,
    ///Number of running requests.
    pub running: u32,
    ///Weights version in service; 0 for a plain service.
    pub weights_version: u64,
}
impl ::std::convert::From<&LoadReport> for LoadReport {
    fn from(value: &LoadReport) -> Self {
        value.clone()
    }
}
///Response to an append.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogAppended {
    ///Offset of the record.
    pub offset: u64,
    ///Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}
impl ::std::convert::From<&LogAppended> for LogAppended {
    fn from(value: &LogAppended) -> Self {
        value.clone()
    }
}
///Records read from a stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogPage {
    ///Offset of the oldest retained record.
    pub first: u64,
    ///Offset that the next append will get.
    pub next: u64,
    ///Records, ordered by offset.
    pub records: ::std::vec::Vec<LogRecord>,
    ///Time of this read by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}
impl ::std::convert::From<&LogPage> for LogPage {
    fn from(value: &LogPage) -> Self {
        value.clone()
    }
}
///A record of the log service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogRecord {
    ///Appended data.
    pub data: ::std::boxed::Box<str>,
    ///Position in the stream; starts at 1 and has no gaps.
    pub offset: u64,
    ///Time of the append by the log's clock, in milliseconds since the Unix epoch; never decreases within a stream.
    pub time_ms: u64,
}
impl ::std::convert::From<&LogRecord> for LogRecord {
    fn from(value: &LogRecord) -> Self {
        value.clone()
    }
}
///Logging, as JSON lines on standard error.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoggingSection {
    ///Least severe level that is logged.
    #[serde(default = "defaults::logging_section_level")]
    pub level: LoggingSectionLevel,
    ///Number of timeline events kept in memory.
    #[serde(default = "defaults::default_u64::<u32, 20000>")]
    pub timeline_events: u32,
}
impl ::std::convert::From<&LoggingSection> for LoggingSection {
    fn from(value: &LoggingSection) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for LoggingSection {
    fn default() -> Self {
        Self {
            level: defaults::logging_section_level(),
            timeline_events: defaults::default_u64::<u32, 20000>(),
        }
    }
}
///Least severe level that is logged.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum LoggingSectionLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warning")]
    Warning,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
}
impl ::std::convert::From<&Self> for LoggingSectionLevel {
    fn from(value: &LoggingSectionLevel) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for LoggingSectionLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warning => f.write_str("warning"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
        }
    }
}
impl ::std::str::FromStr for LoggingSectionLevel {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warning" => Ok(Self::Warning),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LoggingSectionLevel {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for LoggingSectionLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LoggingSectionLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for LoggingSectionLevel {
    fn default() -> Self {
        LoggingSectionLevel::Info
    }
}
///Listener for metrics.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MetricsSection {
    ///Port for metrics on the host's address.
    #[serde(default = "defaults::default_u64::<u64, 9464>")]
    pub port: u64,
}
impl ::std::convert::From<&MetricsSection> for MetricsSection {
    fn from(value: &MetricsSection) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for MetricsSection {
    fn default() -> Self {
        Self {
            port: defaults::default_u64::<u64, 9464>(),
        }
    }
}
///Name and value of a parameter.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NamedValue {
    ///Name of the parameter.
    pub name: ::std::boxed::Box<str>,
    ///Value of the parameter.
    pub value: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&NamedValue> for NamedValue {
    fn from(value: &NamedValue) -> Self {
        value.clone()
    }
}
///Identity of the operator, and the hosts to connect to.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSection {
    ///Addresses of the entries for callers, from which timelines are read, separated by commas.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub entries: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Name in the certificates of the entries; enables TLS for requests to them.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub entries_tls_name: ::std::option::Option<::std::boxed::Box<str>>,
    ///PEM file with the only root certificates trusted for entries; without it, the roots of the system are used.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub entries_tls_roots: ::std::option::Option<::std::boxed::Box<str>>,
    ///Addresses of the keepers for operators, separated by commas.
    pub keepers: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Base URL of the log service.
    pub log_url: ::std::boxed::Box<str>,
    ///Name recorded with each publication.
    pub name: ::std::boxed::Box<str>,
    ///Timeout of a request, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 5000>")]
    pub timeout_ms: u64,
}
impl ::std::convert::From<&OperatorSection> for OperatorSection {
    fn from(value: &OperatorSection) -> Self {
        value.clone()
    }
}
///Settings of wtd.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    pub operator: OperatorSection,
}
impl ::std::convert::From<&OperatorSettings> for OperatorSettings {
    fn from(value: &OperatorSettings) -> Self {
        value.clone()
    }
}
///Kind of change that an order makes to an engine.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum OrderKind {
    #[serde(rename = "load_weights")]
    LoadWeights,
    #[serde(rename = "load_adapter")]
    LoadAdapter,
    #[serde(rename = "set_role")]
    SetRole,
}
impl ::std::convert::From<&Self> for OrderKind {
    fn from(value: &OrderKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for OrderKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::LoadWeights => f.write_str("load_weights"),
            Self::LoadAdapter => f.write_str("load_adapter"),
            Self::SetRole => f.write_str("set_role"),
        }
    }
}
impl ::std::str::FromStr for OrderKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "load_weights" => Ok(Self::LoadWeights),
            "load_adapter" => Ok(Self::LoadAdapter),
            "set_role" => Ok(Self::SetRole),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OrderKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for OrderKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A datagram between keepers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum PeerFrame {
    #[serde(rename = "ping")]
    Ping(PeerProbe),
    #[serde(rename = "ack")]
    Ack(PeerProbe),
    #[serde(rename = "ping_request")]
    PingRequest(PeerProbe),
}
impl ::std::convert::From<&Self> for PeerFrame {
    fn from(value: &PeerFrame) -> Self {
        value.clone()
    }
}
///A probe, or the response to one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerProbe {
    ///Host that sent the datagram.
    pub from: crate::ids::HostId,
    ///Sequence number of the probe.
    pub number: u64,
    ///Time since each failure domain was last heard from.
    pub reach: ::std::vec::Vec<DomainReach>,
    ///Gossip updates, the sender's own first.
    pub rumours: ::std::vec::Vec<PeerRumour>,
    ///Clock of the sender.
    pub stamp: ClockStamp,
    ///Host that is probed; empty for any host at the address.
    pub target: crate::ids::HostId,
}
impl ::std::convert::From<&PeerProbe> for PeerProbe {
    fn from(value: &PeerProbe) -> Self {
        value.clone()
    }
}
///Gossip update about one host, passed from peer to peer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerRumour {
    ///Address of the host for datagrams.
    pub address: ::std::net::SocketAddr,
    ///Failure domain of the host.
    pub domain: crate::ids::DomainId,
    ///Address of the host for entries.
    pub entries: ::std::net::SocketAddr,
    ///Newest configuration that the host has.
    pub head: ConfigHead,
    ///Host that the update is about.
    pub host: crate::ids::HostId,
    ///Version of the update, set by the host itself; the higher value takes precedence.
    pub incarnation: u64,
    ///Address of the host for operators.
    pub operators: ::std::net::SocketAddr,
    ///State of the host.
    pub state: PeerState,
}
impl ::std::convert::From<&PeerRumour> for PeerRumour {
    fn from(value: &PeerRumour) -> Self {
        value.clone()
    }
}
///State of a host, as seen by its peers.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum PeerState {
    #[serde(rename = "alive")]
    Alive,
    #[serde(rename = "suspect")]
    Suspect,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::convert::From<&Self> for PeerState {
    fn from(value: &PeerState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for PeerState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Alive => f.write_str("alive"),
            Self::Suspect => f.write_str("suspect"),
            Self::Leaving => f.write_str("leaving"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for PeerState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "alive" => Ok(Self::Alive),
            "suspect" => Ok(Self::Suspect),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PeerState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for PeerState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PeerState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Other keepers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeersSection {
    ///Interval between probes, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub probe_ms: u64,
    ///File with the shared secret for datagrams, at least 32 bytes.
    pub secret_file: ::std::boxed::Box<str>,
    ///Addresses of the peers to contact first, separated by commas.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<::std::net::SocketAddr>,
}
impl ::std::convert::From<&PeersSection> for PeersSection {
    fn from(value: &PeersSection) -> Self {
        value.clone()
    }
}
///An engine that has a prompt prefix in its cache, or will soon have it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlacedPrefix {
    ///Hash of the engine's name and start time.
    pub endpoint: u64,
    ///Whether the engine has processed the prefix; otherwise a request that will do so is on its way.
    pub is_read: bool,
    ///Hash of the prefix.
    pub prefix: u64,
}
impl ::std::convert::From<&PlacedPrefix> for PlacedPrefix {
    fn from(value: &PlacedPrefix) -> Self {
        value.clone()
    }
}
///Costs that the choice of an endpoint compares.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlacementSection {
    ///Cost of prefilling a prefix at an engine other than its home, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 40>")]
    pub away_from_home_ms: u64,
    ///Blocks are copied to a store if the request's own part is at most this share of the shared prefix, in percent.
    #[serde(default = "defaults::default_u64::<u64, 100>")]
    pub copy_own_percent: u64,
    ///Cost of an endpoint whose recent requests all failed, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 600>")]
    pub failure_ms: u64,
    ///Time to fetch 1000 cached tokens from another engine, in microseconds; follows from the size of a token and the link speed.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub fetch_us_per_1000: u64,
    ///Cost of an endpoint that recently refused a request because it was full, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub full_ms: u64,
    ///Cost of one more cached copy of a prefix, in milliseconds of an engine's time.
    #[serde(default = "defaults::default_u64::<u64, 10>")]
    pub new_copy_ms: u64,
    ///Cost of an engine in the next wave of weight loads, for a request whose response will still be streaming then, in milliseconds; the second wave costs half.
    #[serde(default = "defaults::default_u64::<u64, 120>")]
    pub next_load_ms: u64,
    ///Time after new weights are announced during which older weights cost nothing, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1200>")]
    pub old_weights_free_ms: u64,
    ///Cost of older weights after that time, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 150>")]
    pub old_weights_ms: u64,
    ///Cost of an engine in another failure domain, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 15>")]
    pub other_domain_ms: u64,
    ///Cost of each request beyond an engine's slots, in milliseconds; about the time until a running request ends.
    #[serde(default = "defaults::default_u64::<u64, 40>")]
    pub over_slots_ms: u64,
    ///Cost of attention per million pairs of prompt tokens, in prefill tokens; each token is paired with each token before and after it: 200 ms at 100 tokens per millisecond for 32,000 tokens.
    #[serde(default = "defaults::default_u64::<u64, 20>")]
    pub pair_tokens_per_million: u64,
    ///Cost of a plain endpoint in another failure domain, in milliseconds; about the round-trip time.
    #[serde(default = "defaults::default_u64::<u64, 4>")]
    pub plain_other_domain_ms: u64,
    ///Time that a plain endpoint takes for one request, in milliseconds; from the service's data sheet.
    #[serde(default = "defaults::default_u64::<u64, 30>")]
    pub plain_work_ms: u64,
    ///Prefill speed of an engine, in prompt tokens per second; from the engines' data sheet.
    #[serde(default = "defaults::default_u64::<u64, 90000>")]
    pub prefill_tokens_per_s: u64,
    ///Tokens assumed for a queued request of another host; about the mean of short requests.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub queued_request_tokens: u64,
    ///Cost of each request running at an engine, in microseconds; about what it adds to a decoding step.
    #[serde(default = "defaults::default_u64::<u64, 700>")]
    pub running_us: u64,
}
impl ::std::convert::From<&PlacementSection> for PlacementSection {
    fn from(value: &PlacementSection) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for PlacementSection {
    fn default() -> Self {
        Self {
            away_from_home_ms: defaults::default_u64::<u64, 40>(),
            copy_own_percent: defaults::default_u64::<u64, 100>(),
            failure_ms: defaults::default_u64::<u64, 600>(),
            fetch_us_per_1000: defaults::default_u64::<u64, 2000>(),
            full_ms: defaults::default_u64::<u64, 500>(),
            new_copy_ms: defaults::default_u64::<u64, 10>(),
            next_load_ms: defaults::default_u64::<u64, 120>(),
            old_weights_free_ms: defaults::default_u64::<u64, 1200>(),
            old_weights_ms: defaults::default_u64::<u64, 150>(),
            other_domain_ms: defaults::default_u64::<u64, 15>(),
            over_slots_ms: defaults::default_u64::<u64, 40>(),
            pair_tokens_per_million: defaults::default_u64::<u64, 20>(),
            plain_other_domain_ms: defaults::default_u64::<u64, 4>(),
            plain_work_ms: defaults::default_u64::<u64, 30>(),
            prefill_tokens_per_s: defaults::default_u64::<u64, 90000>(),
            queued_request_tokens: defaults::default_u64::<u64, 2000>(),
            running_us: defaults::default_u64::<u64, 700>(),
        }
    }
}
///The platform's list of endpoints and hosts; it may lag behind.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    ///Endpoints.
    pub endpoints: ::std::vec::Vec<ListedEndpoint>,
    ///Entry hosts.
    pub hosts: ::std::vec::Vec<ListedHost>,
}
impl ::std::convert::From<&PlatformList> for PlatformList {
    fn from(value: &PlatformList) -> Self {
        value.clone()
    }
}
///Services of the platform.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    ///Number of streams over which claims are sharded; must be the same on all hosts.
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub claim_shards: u32,
    ///Interval between reads of the list, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub list_poll_ms: u64,
    ///URL of the list of live and leaving endpoints and hosts.
    pub list_url: ::std::boxed::Box<str>,
    ///Timeout of a request to the log, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub log_timeout_ms: u64,
    ///Base URL of the log service.
    pub log_url: ::std::boxed::Box<str>,
    ///Interval between reads of an endpoint's load report and cache events, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub report_poll_ms: u64,
    ///Time for which the log retains records, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 86400000>")]
    pub retention_ms: u64,
}
impl ::std::convert::From<&PlatformSection> for PlatformSection {
    fn from(value: &PlatformSection) -> Self {
        value.clone()
    }
}
///A group of interchangeable endpoints.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    ///The endpoints refuse an order with an old fencing number.
    pub checks_fencing: bool,
    ///The endpoints run each idempotency key at most once.
    pub checks_request_keys: bool,
    ///Name of the pool, as the platform's list gives it.
    pub id: crate::ids::PoolId,
    ///Model engines or a plain service.
    pub kind: PoolKind,
    ///Replicas that may load weights at once, in replicas.
    pub load_slots: u32,
    ///Path that tells whether a key was seen, with {key} in it; empty for none.
    pub lookup_path: ::std::boxed::Box<str>,
    ///Weights version that serves; only rises.
    pub weights_version: u64,
}
impl ::std::convert::From<&Pool> for Pool {
    fn from(value: &Pool) -> Self {
        value.clone()
    }
}
///Kind of the endpoints of a pool.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum PoolKind {
    #[serde(rename = "model")]
    Model,
    #[serde(rename = "service")]
    Service,
}
impl ::std::convert::From<&Self> for PoolKind {
    fn from(value: &PoolKind) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for PoolKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Model => f.write_str("model"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for PoolKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "model" => Ok(Self::Model),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PoolKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for PoolKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PoolKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Level blocks that an engine stored or dropped.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PrefixNews {
    ///Hashes of the blocks.
    pub blocks: ::std::vec::Vec<u64>,
    ///Boot id of the engine.
    pub boot_id: crate::ids::BootId,
    ///Endpoint.
    pub endpoint: crate::ids::EndpointId,
    ///Whether events before this one were missed.
    pub gap: bool,
    ///Kind of change.
    pub kind: CacheEventKind,
}
impl ::std::convert::From<&PrefixNews> for PrefixNews {
    fn from(value: &PrefixNews) -> Self {
        value.clone()
    }
}
///Response 200 to POST /publish: the changes are accepted.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PublishAnswer {
    ///Hosts that do not have this head yet.
    pub behind: ::std::vec::Vec<crate::ids::HostId>,
    ///Head that includes the changes.
    pub head: ConfigHead,
    ///Hosts that have this head.
    pub held: ::std::vec::Vec<crate::ids::HostId>,
}
impl ::std::convert::From<&PublishAnswer> for PublishAnswer {
    fn from(value: &PublishAnswer) -> Self {
        value.clone()
    }
}
///Body of POST /publish.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PublishCall {
    ///Changes, applied atomically.
    pub changes: ::std::vec::Vec<ConfigChange>,
    ///Reason for the change, as given by the operator.
    pub note: ::std::boxed::Box<str>,
    ///Operator that publishes the changes.
    pub operator: ::std::boxed::Box<str>,
    ///Head that the changes were compared with; null to publish after the newest head, whichever it is.
    pub seen: ::std::option::Option<ConfigHead>,
}
impl ::std::convert::From<&PublishCall> for PublishCall {
    fn from(value: &PublishCall) -> Self {
        value.clone()
    }
}
///Response 409, 422 or 503 to POST /publish: the changes are not accepted.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PublishRefusal {
    ///Head of the configuration in force.
    pub head: ConfigHead,
    ///Operator whose concurrent changes were published first; null if there is none.
    pub lost_to: ::std::option::Option<::std::boxed::Box<str>>,
    ///Description of the result, as a sentence.
    pub reason: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&PublishRefusal> for PublishRefusal {
    fn from(value: &PublishRefusal) -> Self {
        value.clone()
    }
}
///Request of an entry to record an outcome or a release.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordCall {
    ///Number of the call on this connection.
    pub call: u64,
    ///Record to append.
    pub record: ClaimRecord,
    ///Time that the entry waits for the response, in milliseconds.
    pub wait_ms: u64,
}
impl ::std::convert::From<&RecordCall> for RecordCall {
    fn from(value: &RecordCall) -> Self {
        value.clone()
    }
}
///Response to a record.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordReply {
    ///Number of the call.
    pub call: u64,
    ///Whether the record was read back from the log.
    pub recorded: bool,
}
impl ::std::convert::From<&RecordReply> for RecordReply {
    fn from(value: &RecordReply) -> Self {
        value.clone()
    }
}
///Response to POST /rollout: 200 if the rollout is in progress, otherwise 409 or 422.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutAnswer {
    ///Description of the result, as a sentence.
    pub reason: ::std::boxed::Box<str>,
    ///Whether the keeper runs the rollout; it starts once the keeper has the pool's lease.
    pub started: bool,
}
impl ::std::convert::From<&RolloutAnswer> for RolloutAnswer {
    fn from(value: &RolloutAnswer) -> Self {
        value.clone()
    }
}
///Body of POST /rollout: roll out newer weights, replica by replica.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutCall {
    ///Reason for the change, as given by the operator.
    pub note: ::std::boxed::Box<str>,
    ///Operator that requests the rollout.
    pub operator: ::std::boxed::Box<str>,
    ///Pool to roll out.
    pub pool: crate::ids::PoolId,
    ///Target weights version.
    pub version: u64,
}
impl ::std::convert::From<&RolloutCall> for RolloutCall {
    fn from(value: &RolloutCall) -> Self {
        value.clone()
    }
}
///Response to GET /rollouts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutPage {
    ///Rollouts, in the order in which they were requested.
    pub rollouts: ::std::vec::Vec<RolloutStory>,
}
impl ::std::convert::From<&RolloutPage> for RolloutPage {
    fn from(value: &RolloutPage) -> Self {
        value.clone()
    }
}
///Rollout of new weights.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutSection {
    ///Share of the engines of a service that load weights at the same time, in percent.
    #[serde(default = "defaults::default_u64::<u64, 17>")]
    pub at_once_percent: u64,
    ///Time after an order within which an engine must report the new weights, in milliseconds; two heartbeats.
    #[serde(default = "defaults::default_u64::<u64, 2600>")]
    pub confirm_ms: u64,
    ///Time that an engine is assumed to take to load weights until a load was seen, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 300>")]
    pub load_ms: u64,
}
impl ::std::convert::From<&RolloutSection> for RolloutSection {
    fn from(value: &RolloutSection) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for RolloutSection {
    fn default() -> Self {
        Self {
            at_once_percent: defaults::default_u64::<u64, 17>(),
            confirm_ms: defaults::default_u64::<u64, 2600>(),
            load_ms: defaults::default_u64::<u64, 300>(),
        }
    }
}
///A rollout requested from a keeper since the keeper started.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutStory {
    ///How the rollout ended, as a sentence; null while it is in progress.
    pub ended: ::std::option::Option<::std::boxed::Box<str>>,
    ///Operator that requested the rollout.
    pub operator: ::std::boxed::Box<str>,
    ///Pool to roll out.
    pub pool: crate::ids::PoolId,
    ///Target weights version.
    pub version: u64,
}
impl ::std::convert::From<&RolloutStory> for RolloutStory {
    fn from(value: &RolloutStory) -> Self {
        value.clone()
    }
}
///Listeners of the keeper.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServeSection {
    ///TCP address and port for entries; port 0 picks a free one.
    pub entries: ::std::net::SocketAddr,
    ///HTTP address and port for operators and metrics.
    pub operators: ::std::net::SocketAddr,
    ///UDP address and port for other keepers.
    pub peers: ::std::net::SocketAddr,
}
impl ::std::convert::From<&ServeSection> for ServeSection {
    fn from(value: &ServeSection) -> Self {
        value.clone()
    }
}
///Response to POST /settle: 200 if the settlement is recorded, otherwise 409.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SettleAnswer {
    ///Description of the result, as a sentence.
    pub reason: ::std::boxed::Box<str>,
    ///Whether the settlement is recorded and in effect.
    pub settled: bool,
}
impl ::std::convert::From<&SettleAnswer> for SettleAnswer {
    fn from(value: &SettleAnswer) -> Self {
        value.clone()
    }
}
///Result that an unknown outcome was settled as.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum SettledAs {
    #[serde(rename = "ran")]
    Ran,
    #[serde(rename = "not_run")]
    NotRun,
}
impl ::std::convert::From<&Self> for SettledAs {
    fn from(value: &SettledAs) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for SettledAs {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Ran => f.write_str("ran"),
            Self::NotRun => f.write_str("not_run"),
        }
    }
}
impl ::std::str::FromStr for SettledAs {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "ran" => Ok(Self::Ran),
            "not_run" => Ok(Self::NotRun),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SettledAs {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for SettledAs {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SettledAs {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Graceful shutdown.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShutdownSection {
    ///Timeout of the whole shutdown, in milliseconds; must exceed the longest deadline of any template.
    #[serde(default = "defaults::default_u64::<u64, 120000>")]
    pub limit_ms: u64,
    ///Time without a new request after which the load balancer is assumed to have stopped sending, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub quiet_ms: u64,
}
impl ::std::convert::From<&ShutdownSection> for ShutdownSection {
    fn from(value: &ShutdownSection) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ShutdownSection {
    fn default() -> Self {
        Self {
            limit_ms: defaults::default_u64::<u64, 120000>(),
            quiet_ms: defaults::default_u64::<u64, 2000>(),
        }
    }
}
///Use of the platform's store.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    ///Time without a renewal after which the leases of a host expire, in milliseconds; a restart takes less.
    #[serde(default = "defaults::default_u64::<u64, 3000>")]
    pub lease_expiry_ms: u64,
    ///Interval between lease renewals, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub lease_pause_ms: u64,
    ///Time after its last renewal during which a host may give orders, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1200>")]
    pub lease_validity_ms: u64,
    ///Interval between reads of the list of endpoints, in percent of the time after which a leaving endpoint must get no more work.
    #[serde(default = "defaults::default_u64::<u64, 42>")]
    pub list_drain_percent: u64,
    ///Timeout of one long poll of the operator's stream, in milliseconds; a dead connection is detected sooner, by probes and by datagrams from other hosts.
    #[serde(default = "defaults::default_u64::<u64, 12000>")]
    pub operator_wait_ms: u64,
}
impl ::std::convert::From<&StoreSection> for StoreSection {
    fn from(value: &StoreSection) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for StoreSection {
    fn default() -> Self {
        Self {
            lease_expiry_ms: defaults::default_u64::<u64, 3000>(),
            lease_pause_ms: defaults::default_u64::<u64, 500>(),
            lease_validity_ms: defaults::default_u64::<u64, 1200>(),
            list_drain_percent: defaults::default_u64::<u64, 42>(),
            operator_wait_ms: defaults::default_u64::<u64, 12000>(),
        }
    }
}
///A kind of request: its shared prompt, pool and limits.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Template {
    ///Client accounts that may use it; empty allows all.
    pub accounts: ::std::vec::Vec<crate::ids::AccountId>,
    ///Adapter to use; empty for none.
    pub adapter: ::std::boxed::Box<str>,
    ///Time the whole answer may take, in milliseconds.
    pub deadline_ms: u64,
    ///Time the first token should take, in milliseconds.
    pub first_token_ms: u64,
    ///Name that requests give as their model or service.
    pub id: crate::ids::TemplateId,
    ///Shared prompt, from the outside in.
    pub levels: ::std::vec::Vec<Level>,
    ///Longest answer, in tokens; 0 for a plain service.
    pub max_tokens: u32,
    ///Path at a plain service; empty for a model.
    pub path: ::std::boxed::Box<str>,
    ///Pool that serves it.
    pub pool: crate::ids::PoolId,
    ///The request is idempotent and may run twice.
    pub repeatable: bool,
    ///Urgency class.
    pub urgency: Urgency,
}
impl ::std::convert::From<&Template> for Template {
    fn from(value: &Template) -> Self {
        value.clone()
    }
}
///One timeline event of one process.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TimelineEvent {
    ///Client account that the event belongs to.
    pub account: ::std::option::Option<crate::ids::AccountId>,
    ///Further details, as a sentence.
    pub detail: ::std::boxed::Box<str>,
    ///Endpoint that the event belongs to.
    pub endpoint: ::std::option::Option<crate::ids::EndpointId>,
    ///Host of the process.
    pub host: crate::ids::HostId,
    ///Kind of the event.
    pub kind: EventKind,
    ///Program that recorded the event.
    pub process: ::std::boxed::Box<str>,
    ///Request that the event belongs to.
    pub request: ::std::option::Option<crate::ids::RequestId>,
    ///Timestamp of the event; consistent with causal order.
    pub stamp: ClockStamp,
}
impl ::std::convert::From<&TimelineEvent> for TimelineEvent {
    fn from(value: &TimelineEvent) -> Self {
        value.clone()
    }
}
///Token counts of a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TokenUsage {
    ///Number of prompt tokens served from the cache.
    pub cached_tokens: u64,
    ///Number of tokens in the completion.
    pub completion_tokens: u64,
    ///Number of tokens in the prompt.
    pub prompt_tokens: u64,
    ///Sum of prompt and completion tokens.
    pub total_tokens: u64,
}
impl ::std::convert::From<&TokenUsage> for TokenUsage {
    fn from(value: &TokenUsage) -> Self {
        value.clone()
    }
}
///A non-repeatable request that was claimed and has no recorded outcome.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UnresolvedOrder {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Time since the claim, from the log's timestamp to the keeper's clock, in milliseconds.
    pub age_ms: u64,
    ///Attempt that holds the claim.
    pub attempt: crate::ids::AttemptId,
    ///Host that claimed it.
    pub host: crate::ids::HostId,
    ///Idempotency key.
    pub key: crate::ids::RequestKey,
    ///Request that the attempt belongs to.
    pub request: crate::ids::RequestId,
    ///Template of the request.
    pub template: crate::ids::TemplateId,
}
impl ::std::convert::From<&UnresolvedOrder> for UnresolvedOrder {
    fn from(value: &UnresolvedOrder) -> Self {
        value.clone()
    }
}
///Response to GET /unresolved.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UnresolvedPage {
    ///Claimed requests without an outcome, oldest first.
    pub orders: ::std::vec::Vec<UnresolvedOrder>,
}
impl ::std::convert::From<&UnresolvedPage> for UnresolvedPage {
    fn from(value: &UnresolvedPage) -> Self {
        value.clone()
    }
}
///Urgency class of a template.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Urgency {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "batch")]
    Batch,
}
impl ::std::convert::From<&Self> for Urgency {
    fn from(value: &Urgency) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Urgency {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Normal => f.write_str("normal"),
            Self::Batch => f.write_str("batch"),
        }
    }
}
impl ::std::str::FromStr for Urgency {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "batch" => Ok(Self::Batch),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Urgency {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Urgency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Urgency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Raises the weights version of a pool.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WeightsChange {
    ///Pool whose weights are raised.
    pub pool: crate::ids::PoolId,
    ///New weights version.
    pub version: u64,
}
impl ::std::convert::From<&WeightsChange> for WeightsChange {
    fn from(value: &WeightsChange) -> Self {
        value.clone()
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn logging_section_level() -> super::LoggingSectionLevel {
        super::LoggingSectionLevel::Info
    }
}

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
///A change in an engine's prompt cache.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CacheEvent {
    ///Hashes of the blocks, each over its whole prefix and the cache salt.
    pub blocks: ::std::vec::Vec<u64>,
    ///What happened.
    pub kind: CacheEventKind,
    ///Sequence number, from 1 at each start.
    pub sequence: u64,
}
impl ::std::convert::From<&CacheEvent> for CacheEvent {
    fn from(value: &CacheEvent) -> Self {
        value.clone()
    }
}
///What became of cached blocks.
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
    ///Start of the engine they belong to.
    pub boot_id: crate::ids::BootId,
    ///Events; some may be missing.
    pub events: ::std::vec::Vec<CacheEvent>,
    ///Sequence number to ask for next.
    pub next: u64,
}
impl ::std::convert::From<&CacheEventPage> for CacheEventPage {
    fn from(value: &CacheEventPage) -> Self {
        value.clone()
    }
}
///Answer of a completion, whole or one event of its stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatAnswer {
    ///The one answer.
    pub choices: ::std::vec::Vec<ChatChoice>,
    ///Pieces that the stream had before this last event.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub chunks: ::std::option::Option<u64>,
    ///When the request came, in seconds since the Unix epoch.
    pub created: u64,
    ///Request.
    pub id: crate::ids::RequestId,
    ///Name of the template.
    pub model: crate::ids::TemplateId,
    ///Shape of this object.
    pub object: ::std::boxed::Box<str>,
    ///Tokens; in the last event of a stream.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub usage: ::std::option::Option<TokenUsage>,
}
impl ::std::convert::From<&ChatAnswer> for ChatAnswer {
    fn from(value: &ChatAnswer) -> Self {
        value.clone()
    }
}
///The one answer of a chat completion; `message` when whole, `delta` in a stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatChoice {
    ///Next piece of the answer.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub delta: ::std::option::Option<ChatMessage>,
    ///Set to `stop` at the end.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub finish_reason: ::std::option::Option<::std::boxed::Box<str>>,
    ///Always 0.
    pub index: u32,
    ///Whole answer.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub message: ::std::option::Option<ChatMessage>,
    ///Answer, or its next piece, of a text completion.
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
    ///What is said.
    pub content: ::std::boxed::Box<str>,
    ///Who says it.
    pub role: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&ChatMessage> for ChatMessage {
    fn from(value: &ChatMessage) -> Self {
        value.clone()
    }
}
///Body of a chat completion; other fields are ignored.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ChatRequest {
    ///Longest answer, in tokens; the template sets the limit.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens: ::std::option::Option<u32>,
    ///Conversation, oldest first.
    pub messages: ::std::vec::Vec<ChatMessage>,
    ///Name of the template.
    pub model: crate::ids::TemplateId,
    ///Values for the template's parameters.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: HashMap::is_empty"
    )]
    pub parameters: ::std::collections::HashMap<::std::string::String, ::std::boxed::Box<str>>,
    ///Send the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
}
impl ::std::convert::From<&ChatRequest> for ChatRequest {
    fn from(value: &ChatRequest) -> Self {
        value.clone()
    }
}
///Claim records that one append carries.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    ///Records in their order.
    pub records: ::std::vec::Vec<ClaimRecord>,
    ///Version of this record's form.
    pub version: u32,
}
impl ::std::convert::From<&ClaimBatch> for ClaimBatch {
    fn from(value: &ClaimBatch) -> Self {
        value.clone()
    }
}
///A claim an entry asks its keeper for.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimCall {
    ///Number of the call on this connection.
    pub call: u64,
    ///The claim.
    pub start: ClaimStart,
    ///How long the entry waits, in milliseconds.
    pub wait_ms: u64,
}
impl ::std::convert::From<&ClaimCall> for ClaimCall {
    fn from(value: &ClaimCall) -> Self {
        value.clone()
    }
}
///What came of the attempt that won.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimOutcome {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Body of the answer.
    pub answer: ::std::boxed::Box<str>,
    ///Attempt that ran.
    pub attempt: crate::ids::AttemptId,
    ///Media type of the answer.
    pub content_type: ::std::boxed::Box<str>,
    ///Idempotency key.
    pub key: crate::ids::RequestKey,
    ///HTTP status of the endpoint's answer.
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
///An attempt gives its claim up; it wrote nothing to an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimRelease {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Attempt that gives up.
    pub attempt: crate::ids::AttemptId,
    ///Idempotency key.
    pub key: crate::ids::RequestKey,
}
impl ::std::convert::From<&ClaimRelease> for ClaimRelease {
    fn from(value: &ClaimRelease) -> Self {
        value.clone()
    }
}
///Answer to a claim.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimReply {
    ///Number of the call.
    pub call: u64,
    ///What the log says.
    pub verdict: ClaimVerdict,
}
impl ::std::convert::From<&ClaimReply> for ClaimReply {
    fn from(value: &ClaimReply) -> Self {
        value.clone()
    }
}
///An unknown outcome is settled on record.
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
    ///On what grounds.
    pub note: ::std::boxed::Box<str>,
    ///What is now held to be so.
    pub settled: SettledAs,
}
impl ::std::convert::From<&ClaimSettlement> for ClaimSettlement {
    fn from(value: &ClaimSettlement) -> Self {
        value.clone()
    }
}
///An attempt asks to be the one that runs a key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClaimStart {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Attempt that asks.
    pub attempt: crate::ids::AttemptId,
    ///Hash of template and body, in hexadecimal.
    pub body_hash: ::std::boxed::Box<str>,
    ///Host that asks.
    pub host: crate::ids::HostId,
    ///Idempotency key, a UUIDv7.
    pub key: crate::ids::RequestKey,
    ///Request the attempt works for.
    pub request: crate::ids::RequestId,
    ///Template of the request.
    pub template: crate::ids::TemplateId,
}
impl ::std::convert::From<&ClaimStart> for ClaimStart {
    fn from(value: &ClaimStart) -> Self {
        value.clone()
    }
}
///What the log says of a claim.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ClaimVerdict {
    ///This attempt runs the key.
    #[serde(rename = "won")]
    Won(u64),
    ///The key has run; this is its answer.
    #[serde(rename = "done")]
    Done(ClaimOutcome),
    ///Another attempt has the key; its outcome is not on record.
    #[serde(rename = "busy")]
    Busy(crate::ids::AttemptId),
    ///The key came before with another body.
    #[serde(rename = "mismatch")]
    Mismatch(crate::ids::AttemptId),
    ///The key was settled as having run; its answer is not on record.
    #[serde(rename = "settled")]
    Settled(crate::ids::AttemptId),
    ///No claim was made, and none will be.
    #[serde(rename = "refused")]
    Refused(::std::boxed::Box<str>),
    ///The log did not say in time; the claim may yet appear, and this attempt must not run.
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
///Reading of a hybrid logical clock.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ClockStamp {
    ///Order among stamps of the same millisecond.
    pub counter: u32,
    ///Milliseconds since the Unix epoch, never behind any stamp seen.
    pub wall_ms: u64,
}
impl ::std::convert::From<&ClockStamp> for ClockStamp {
    fn from(value: &ClockStamp) -> Self {
        value.clone()
    }
}
///Body of a text completion; other fields are ignored.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    ///Longest answer, in tokens; the template sets the limit.
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
    ///The caller's own words.
    pub prompt: ::std::boxed::Box<str>,
    ///Send the answer as server-sent events.
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
///A place in the chain of configuration records.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    ///Hash of the record, in hexadecimal; empty before the first.
    pub hash: crate::ids::ConfigHash,
    ///Offset of the record in the log.
    pub offset: u64,
    ///Records from the chain's start; 0 before the first.
    pub sequence: u64,
}
impl ::std::convert::From<&ConfigHead> for ConfigHead {
    fn from(value: &ConfigHead) -> Self {
        value.clone()
    }
}
///A link of the configuration chain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    ///Changes, in force together.
    pub changes: ::std::vec::Vec<ConfigChange>,
    ///Whole configuration up to this record, in a checkpoint.
    pub checkpoint: ::std::option::Option<Configuration>,
    ///Why, in the operator's words.
    pub note: ::std::boxed::Box<str>,
    ///Who published it.
    pub operator: ::std::boxed::Box<str>,
    ///Hash of the record before it; empty at the start.
    pub parent: crate::ids::ConfigHash,
    ///Sequence number in the chain, from 1.
    pub sequence: u64,
    ///Version of this record's form.
    pub version: u32,
}
impl ::std::convert::From<&ConfigRecord> for ConfigRecord {
    fn from(value: &ConfigRecord) -> Self {
        value.clone()
    }
}
///All that is in force at one head of the chain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    ///Client accounts.
    pub accounts: ::std::vec::Vec<Account>,
    ///Pools.
    pub pools: ::std::vec::Vec<Pool>,
    ///Templates.
    pub templates: ::std::vec::Vec<Template>,
    ///Texts the templates name.
    pub texts: ::std::vec::Vec<LevelText>,
}
impl ::std::convert::From<&Configuration> for Configuration {
    fn from(value: &Configuration) -> Self {
        value.clone()
    }
}
///When a failure domain was last heard.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DomainReach {
    ///Time since, in milliseconds.
    pub age_ms: u64,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
}
impl ::std::convert::From<&DomainReach> for DomainReach {
    fn from(value: &DomainReach) -> Self {
        value.clone()
    }
}
///What an answer said of its endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointNews {
    ///Its start.
    pub boot_id: crate::ids::BootId,
    ///Endpoint.
    pub endpoint: crate::ids::EndpointId,
    ///Requests waiting there.
    pub queued: u32,
    ///Its weights.
    pub weights_version: u64,
}
impl ::std::convert::From<&EndpointNews> for EndpointNews {
    fn from(value: &EndpointNews) -> Self {
        value.clone()
    }
}
///What the platform's list says of an endpoint.
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
///What a keeper knows of an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointView {
    ///Address and port.
    pub address: ::std::net::SocketAddr,
    ///Its present start; empty before its first word.
    pub boot_id: crate::ids::BootId,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
    ///Name.
    pub id: crate::ids::EndpointId,
    ///Pool.
    pub pool: crate::ids::PoolId,
    ///Requests waiting there.
    pub queued: u32,
    ///Age of its last report, in milliseconds.
    pub report_age_ms: u64,
    ///Requests in its batch.
    pub running: u32,
    ///Live or leaving.
    pub state: EndpointState,
    ///Weights in service; 0 when not known.
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
    ///Attempt it belongs to.
    pub attempt_id: crate::ids::AttemptId,
    ///Set in the last event.
    pub done: ::std::option::Option<EngineDone>,
    ///Request it belongs to.
    pub request_id: crate::ids::RequestId,
    ///Place in the answer, from 0; a resumed stream goes on where it was asked to.
    pub sequence: u64,
    ///Text of one token; empty in the last event.
    pub text: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&EngineChunk> for EngineChunk {
    fn from(value: &EngineChunk) -> Self {
        value.clone()
    }
}
///What an engine says at the end of a stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineDone {
    ///Start of the engine that ran it.
    pub boot_id: crate::ids::BootId,
    ///Prompt tokens found in the cache.
    pub cached_tokens: u64,
    ///Chunks of the whole answer, those before a resume too.
    pub chunks: u64,
    ///Hash of the last whole block of each level.
    pub level_blocks: ::std::vec::Vec<u64>,
    ///Tokens in the prompt.
    pub prompt_tokens: u64,
    ///Requests waiting at the engine.
    pub queued: u32,
    ///Weights that ran it.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineDone> for EngineDone {
    fn from(value: &EngineDone) -> Self {
        value.clone()
    }
}
///A wanted state for an engine; giving it twice changes nothing.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    ///Fencing number of the lease it is given under.
    pub fencing: u64,
    ///What is ordered.
    pub kind: OrderKind,
    ///Time after which the order counts for nothing, in milliseconds.
    pub limit_ms: u64,
    ///Adapter or role; empty for weights.
    pub name: ::std::boxed::Box<str>,
    ///Weights to serve.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineOrder> for EngineOrder {
    fn from(value: &EngineOrder) -> Self {
        value.clone()
    }
}
///Work for an engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineRequest {
    ///Adapter; empty for none.
    pub adapter: ::std::boxed::Box<str>,
    ///Attempt; echoed in each chunk.
    pub attempt_id: crate::ids::AttemptId,
    ///Keeps accounts apart in the engine's cache.
    pub cache_salt: ::std::boxed::Box<str>,
    ///Where each shared level ends in the prompt, in bytes.
    pub levels: ::std::vec::Vec<u64>,
    ///Longest answer, in tokens.
    pub max_tokens: u32,
    ///Pool of the model.
    pub model: crate::ids::PoolId,
    ///Lower goes first.
    pub priority: u32,
    ///Whole prompt.
    pub prompt: ::std::boxed::Box<str>,
    ///Request; echoed in each chunk.
    pub request_id: crate::ids::RequestId,
    ///Chunks the caller already has.
    pub resume_from: u64,
    ///Weights it must run on; others refuse it.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineRequest> for EngineRequest {
    fn from(value: &EngineRequest) -> Self {
        value.clone()
    }
}
///What an engine is, read back after an order.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    ///Adapters loaded.
    pub adapters: ::std::vec::Vec<::std::boxed::Box<str>>,
    ///Start of the engine.
    pub boot_id: crate::ids::BootId,
    ///Highest fencing number it has seen.
    pub fencing: u64,
    ///Weights on their way in; 0 for none.
    pub loading: u64,
    ///Role it has.
    pub role: ::std::boxed::Box<str>,
    ///Weights in service.
    pub weights_version: u64,
}
impl ::std::convert::From<&EngineState> for EngineState {
    fn from(value: &EngineState) -> Self {
        value.clone()
    }
}
///Weights of an engine, as an order or an answer has shown them.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineWeights {
    ///Hash of the engine's name and start.
    pub endpoint: u64,
    ///It is loading them, and takes no requests until it has.
    pub is_loading: bool,
    ///Model.
    pub model: ::std::boxed::Box<str>,
    ///Version of the weights.
    pub version: u64,
}
impl ::std::convert::From<&EngineWeights> for EngineWeights {
    fn from(value: &EngineWeights) -> Self {
        value.clone()
    }
}
///Work of one host at an engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineWork {
    ///Hash of the engine's name and start.
    pub endpoint: u64,
    ///Prompt tokens that the host's requests still need read there.
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
///First frame of an entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryHello {
    ///Host of the entry.
    pub host: crate::ids::HostId,
    ///Its clock.
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
///Body of a refusal, or data of a stream's error event.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorBody {
    pub error: ErrorReport,
}
impl ::std::convert::From<&ErrorBody> for ErrorBody {
    fn from(value: &ErrorBody) -> Self {
        value.clone()
    }
}
///What went wrong.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ErrorReport {
    ///Kind of the error, from the closed list.
    pub kind: ::std::boxed::Box<str>,
    ///What happened, as a sentence.
    pub message: ::std::boxed::Box<str>,
    ///Whether the request ran: `not_run`, `ran` or `unknown`.
    pub outcome: ::std::boxed::Box<str>,
    ///Request.
    pub request: crate::ids::RequestId,
    ///When to try again, in seconds; null advises against.
    pub retry_after_s: ::std::option::Option<u64>,
}
impl ::std::convert::From<&ErrorReport> for ErrorReport {
    fn from(value: &ErrorReport) -> Self {
        value.clone()
    }
}
///What happened.
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
///Events of one process, oldest first.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EventPage {
    ///Older events that are not here: no longer kept, or beyond the number asked for.
    pub dropped: u64,
    ///Events, oldest first.
    pub events: ::std::vec::Vec<TimelineEvent>,
}
impl ::std::convert::From<&EventPage> for EventPage {
    fn from(value: &EventPage) -> Self {
        value.clone()
    }
}
///Asks another host of the front for records that it has read from the platform's store.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontAsk {
    ///Least offset wanted.
    pub from: u64,
    ///Stream.
    pub stream: FrontStream,
}
impl ::std::convert::From<&FrontAsk> for FrontAsk {
    fn from(value: &FrontAsk) -> Self {
        value.clone()
    }
}
///A datagram between hosts of the front. What it says makes placement better; no promise rests on it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontHint {
    ///Some hosts that it knows.
    pub hosts: ::std::vec::Vec<FrontHost>,
    ///Offset from which it reads the operator's stream on.
    pub operator_next: u64,
    ///Whether the host that gets it sends it to all others of its failure domain.
    pub pass_on: bool,
    ///Prefixes that went to engines.
    pub placed: ::std::vec::Vec<PlacedPrefix>,
    ///Host whose news it is.
    pub sender: FrontHost,
    ///Weights of engines.
    pub weights: ::std::vec::Vec<EngineWeights>,
    ///What the host still wants read at engines, where that has changed.
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
    ///Name.
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
    ///What it is about.
    pub key: ::std::boxed::Box<str>,
    ///Offset.
    pub offset: u64,
    ///What it says; null takes the key away.
    pub value: ::std::option::Option<::std::vec::Vec<u8>>,
}
impl ::std::convert::From<&FrontRecord> for FrontRecord {
    fn from(value: &FrontRecord) -> Self {
        value.clone()
    }
}
///Answer to a FrontAsk: the newest record of each key.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FrontRecords {
    ///Offset from which the host reads on; 0 when it has read nothing.
    pub next: u64,
    ///Records, in the order of their offsets.
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
        }
    }
}
impl ::std::str::FromStr for FrontStream {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "operator" => Ok(Self::Operator),
            "endpoints" => Ok(Self::Endpoints),
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
///Settings of wagtaildoor-front that the platform does not give.
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
///Answer to GET /held-configuration: for peers that are behind.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeldConfiguration {
    ///Configuration at the head.
    pub configuration: Configuration,
    ///Head in force.
    pub head: ConfigHead,
}
impl ::std::convert::From<&HeldConfiguration> for HeldConfiguration {
    fn from(value: &HeldConfiguration) -> Self {
        value.clone()
    }
}
///Who this process is.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostSection {
    ///Failure domain this host stands in.
    pub domain: crate::ids::DomainId,
    ///Name of this entry host, unique over all regions.
    pub name: crate::ids::HostId,
    ///Region the failure domain belongs to.
    pub region: crate::ids::RegionId,
}
impl ::std::convert::From<&HostSection> for HostSection {
    fn from(value: &HostSection) -> Self {
        value.clone()
    }
}
///What a keeper knows of an entry host.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostView {
    ///It answers probes, or others say so.
    pub alive: bool,
    ///Failure domain.
    pub domain: crate::ids::DomainId,
    ///Address of its keeper for entries.
    pub entries: ::std::net::SocketAddr,
    ///Newest configuration it was seen to hold.
    pub head: ConfigHead,
    ///Name.
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
    ///Time since the log last answered, in milliseconds.
    #[serde(rename = "platform_age_ms")]
    PlatformAgeMs(u64),
    ///This keeper takes no more calls after those on their way.
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
///Answer to GET /status: what one keeper sees.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperStatus {
    ///Time since the keeper last knew that its configuration was the newest, in milliseconds.
    pub config_age_ms: u64,
    ///Its failure domain.
    pub domain: crate::ids::DomainId,
    ///Endpoints it knows.
    pub endpoints: ::std::vec::Vec<EndpointView>,
    ///Configuration in force there.
    pub head: ConfigHead,
    ///Host of the keeper.
    pub host: crate::ids::HostId,
    ///Entry hosts it knows.
    pub hosts: ::std::vec::Vec<HostView>,
    ///Time since the log last answered, in milliseconds.
    pub platform_age_ms: u64,
}
impl ::std::convert::From<&KeeperStatus> for KeeperStatus {
    fn from(value: &KeeperStatus) -> Self {
        value.clone()
    }
}
///Everything an entry needs to serve.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeeperView {
    ///Configuration in force.
    pub configuration: Configuration,
    ///Endpoints of all failure domains in reach.
    pub endpoints: ::std::vec::Vec<EndpointView>,
    ///Head of the configuration in force.
    pub head: ConfigHead,
    ///Entry hosts.
    pub hosts: ::std::vec::Vec<HostView>,
    ///Time since the log last answered, in milliseconds.
    pub platform_age_ms: u64,
}
impl ::std::convert::From<&KeeperView> for KeeperView {
    fn from(value: &KeeperView) -> Self {
        value.clone()
    }
}
///Keepers an entry takes its view from.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct KeepersSection {
    ///Keeper addresses in order of preference, the own one first, separated by commas.
    pub addresses: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Wait between two attempts to reach a keeper, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 200>")]
    pub retry_ms: u64,
}
impl ::std::convert::From<&KeepersSection> for KeepersSection {
    fn from(value: &KeepersSection) -> Self {
        value.clone()
    }
}
///A holder asks for a lease or keeps it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LeaseGrant {
    ///How long it holds from the record's time, in milliseconds.
    pub duration_ms: u64,
    ///Offset of the record that first granted it; 0 to ask.
    pub fencing: u64,
    ///Host and start of the process that holds it.
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
///One level of a shared prompt, from the outside in.
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
///A level's text, found by its hash.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LevelText {
    ///BLAKE3 hash of the text, in hexadecimal.
    pub hash: crate::ids::TextHash,
    ///Text, with {parameter} places.
    pub text: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&LevelText> for LevelText {
    fn from(value: &LevelText) -> Self {
        value.clone()
    }
}
///What one entry takes on at a time.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitsSection {
    ///Requests this entry has at one endpoint at a time, in requests.
    #[serde(default = "defaults::default_u64::<u32, 32>")]
    pub endpoint_in_flight: u32,
    ///Requests in work at a time, in requests.
    #[serde(default = "defaults::default_u64::<u32, 2000>")]
    pub in_flight: u32,
    ///Requests waiting for a place at a time, in requests.
    #[serde(default = "defaults::default_u64::<u32, 4000>")]
    pub queued: u32,
    ///Retries allowed for each hundred first attempts.
    #[serde(default = "defaults::default_u64::<u32, 10>")]
    pub retry_budget_percent: u32,
    ///Chunks held for a slow reader before the endpoint is held back, in chunks.
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
    ///Its address and port.
    pub address: ::std::net::SocketAddr,
    ///Failure domain it stands in.
    pub domain: crate::ids::DomainId,
    ///Name of the endpoint.
    pub id: crate::ids::EndpointId,
    ///Pool it belongs to.
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
    ///Failure domain it stands in.
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
///Where callers reach the entry.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSection {
    ///Address and port for callers; port 0 takes a free one.
    pub address: ::std::net::SocketAddr,
    ///File that receives the bound address, for port 0.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub address_file: ::std::option::Option<::std::boxed::Box<str>>,
    ///Largest request body, in bytes.
    #[serde(default = "defaults::default_u64::<u64, 4194304>")]
    pub body_limit_bytes: u64,
    ///Time a caller has to send the whole body, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub body_timeout_ms: u64,
    ///PEM file of the certificate chain; TLS is on when it is set.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tls_certificate: ::std::option::Option<::std::boxed::Box<str>>,
    ///PEM file of the private key.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tls_key: ::std::option::Option<::std::boxed::Box<str>>,
}
impl ::std::convert::From<&ListenSection> for ListenSection {
    fn from(value: &ListenSection) -> Self {
        value.clone()
    }
}
///An endpoint's own word on itself.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    ///Drawn anew at each start.
    pub boot_id: crate::ids::BootId,
    ///Sequence number of its next cache event.
    pub events_next: u64,
    ///It takes no new work.
    pub leaving: bool,
    ///Requests waiting.
    pub queued: u32,
    ///Requests in the batch.
    pub running: u32,
    ///Weights in service; 0 for a plain service.
    pub weights_version: u64,
}
impl ::std::convert::From<&LoadReport> for LoadReport {
    fn from(value: &LoadReport) -> Self {
        value.clone()
    }
}
///Answer to an append.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogAppended {
    ///Offset of the record.
    pub offset: u64,
    ///The log's own time of the append.
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
    ///Offset of the oldest record that is still kept.
    pub first: u64,
    ///Offset that the next append will get.
    pub next: u64,
    ///Records in the order of offsets.
    pub records: ::std::vec::Vec<LogRecord>,
    ///The log's own time of this read.
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
    ///What was appended.
    pub data: ::std::boxed::Box<str>,
    ///Place in the stream, from 1, without gaps.
    pub offset: u64,
    ///The log's own time of the append, in milliseconds since the Unix epoch; never falls along a stream.
    pub time_ms: u64,
}
impl ::std::convert::From<&LogRecord> for LogRecord {
    fn from(value: &LogRecord) -> Self {
        value.clone()
    }
}
///What is logged, as JSON lines on standard error.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoggingSection {
    ///Least severe level that is written.
    #[serde(default = "defaults::logging_section_level")]
    pub level: LoggingSectionLevel,
    ///Time line events kept in memory, in events.
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
///Least severe level that is written.
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
///Where metrics are read.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MetricsSection {
    ///Port on the host's address.
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
///One named parameter.
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
///Who publishes, and where.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSection {
    ///Callers' addresses of the entries, for time lines, separated by commas.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub entries: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Name in the certificate of the entries; they are asked by TLS when it is set.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub entries_tls_name: ::std::option::Option<::std::boxed::Box<str>>,
    ///PEM file with the only certificates that entries' certificates may come from; without it, those that the system trusts.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub entries_tls_roots: ::std::option::Option<::std::boxed::Box<str>>,
    ///Operators' addresses of the keepers, separated by commas.
    pub keepers: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Base URL of the log service.
    pub log_url: ::std::boxed::Box<str>,
    ///Name recorded with each publication.
    pub name: ::std::boxed::Box<str>,
    ///Longest wait for one answer, in milliseconds.
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
///What an engine is to become.
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
///A probe, or the answer to one.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerProbe {
    ///Host that sent the datagram.
    pub from: crate::ids::HostId,
    ///Number of the probe.
    pub number: u64,
    ///When each failure domain was last heard.
    pub reach: ::std::vec::Vec<DomainReach>,
    ///News passed along, the sender's own first.
    pub rumours: ::std::vec::Vec<PeerRumour>,
    ///Sender's clock.
    pub stamp: ClockStamp,
    ///Host that is probed; empty for whichever has the address.
    pub target: crate::ids::HostId,
}
impl ::std::convert::From<&PeerProbe> for PeerProbe {
    fn from(value: &PeerProbe) -> Self {
        value.clone()
    }
}
///News of one host, passed from peer to peer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerRumour {
    ///Its address for datagrams.
    pub address: ::std::net::SocketAddr,
    ///Its failure domain.
    pub domain: crate::ids::DomainId,
    ///Its address for entries.
    pub entries: ::std::net::SocketAddr,
    ///Newest configuration it holds.
    pub head: ConfigHead,
    ///Host it is about.
    pub host: crate::ids::HostId,
    ///Set by the host itself; a higher one goes before.
    pub incarnation: u64,
    ///Its address for operators.
    pub operators: ::std::net::SocketAddr,
    ///What is said of it.
    pub state: PeerState,
}
impl ::std::convert::From<&PeerRumour> for PeerRumour {
    fn from(value: &PeerRumour) -> Self {
        value.clone()
    }
}
///What peers hold of a host.
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
    ///Time between two probes, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub probe_ms: u64,
    ///File with the shared secret for datagrams, at least 32 bytes.
    pub secret_file: ::std::boxed::Box<str>,
    ///Peer addresses to try first, separated by commas.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<::std::net::SocketAddr>,
}
impl ::std::convert::From<&PeersSection> for PeersSection {
    fn from(value: &PeersSection) -> Self {
        value.clone()
    }
}
///An engine that holds a prefix of prompts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlacedPrefix {
    ///Hash of the engine's name and start.
    pub endpoint: u64,
    ///It has read the prefix; otherwise a request is on its way that will make it.
    pub is_read: bool,
    ///Prefix.
    pub prefix: u64,
}
impl ::std::convert::From<&PlacedPrefix> for PlacedPrefix {
    fn from(value: &PlacedPrefix) -> Self {
        value.clone()
    }
}
///What the choice of an endpoint weighs.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlacementSection {
    ///Cost of reading a prefix away from its home, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 40>")]
    pub away_from_home_ms: u64,
    ///Blocks go to a store when those of the request's own part are at most this share of those that others may use, in percent.
    #[serde(default = "defaults::default_u64::<u64, 100>")]
    pub copy_own_percent: u64,
    ///Cost of an endpoint whose latest outcomes were all failures, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 600>")]
    pub failure_ms: u64,
    ///Time to fetch a thousand tokens from another engine, in microseconds; from the size of a token and the link.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub fetch_us_per_1000: u64,
    ///Cost of an endpoint that refused for lack of room a moment ago, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub full_ms: u64,
    ///Cost of one more copy of a prefix, in milliseconds of an engine's time.
    #[serde(default = "defaults::default_u64::<u64, 10>")]
    pub new_copy_ms: u64,
    ///Cost of an engine that loads weights next, for a prompt whose answer will still be under way then, in milliseconds; the second wave costs half.
    #[serde(default = "defaults::default_u64::<u64, 120>")]
    pub next_load_ms: u64,
    ///Time after new weights were named in which older ones cost nothing, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1200>")]
    pub old_weights_free_ms: u64,
    ///Cost of older weights from then on, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 150>")]
    pub old_weights_ms: u64,
    ///Cost of an engine in another failure domain, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 15>")]
    pub other_domain_ms: u64,
    ///Cost of each request beyond an engine's slots, in milliseconds; about the time until one ends.
    #[serde(default = "defaults::default_u64::<u64, 40>")]
    pub over_slots_ms: u64,
    ///Tokens of plain reading that a million pairs of prompt tokens cost, each token paired with each one before it and after it: 200 ms at 100 tokens a millisecond for 32,000 tokens.
    #[serde(default = "defaults::default_u64::<u64, 20>")]
    pub pair_tokens_per_million: u64,
    ///Cost of a plain endpoint in another failure domain, in milliseconds; about the way there and back.
    #[serde(default = "defaults::default_u64::<u64, 4>")]
    pub plain_other_domain_ms: u64,
    ///Time that a plain endpoint works on one request, in milliseconds; the service's sheet says it.
    #[serde(default = "defaults::default_u64::<u64, 30>")]
    pub plain_work_ms: u64,
    ///Prompt tokens that an engine reads in a second; the engines' sheet says it.
    #[serde(default = "defaults::default_u64::<u64, 90000>")]
    pub prefill_tokens_per_s: u64,
    ///Tokens counted for a waiting request of another host, about the mean of the short kind.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub queued_request_tokens: u64,
    ///Cost of each request that runs at an engine, in microseconds; about what it adds to a step.
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
///The platform's lagging list of hosts.
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
///The platform's services.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlatformSection {
    ///Streams the claims are spread over, in streams; the same on all hosts.
    #[serde(default = "defaults::default_u64::<u32, 4>")]
    pub claim_shards: u32,
    ///Time between two reads of the list, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1000>")]
    pub list_poll_ms: u64,
    ///URL of the list of live and leaving hosts.
    pub list_url: ::std::boxed::Box<str>,
    ///Longest wait for one answer of the log, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub log_timeout_ms: u64,
    ///Base URL of the log service.
    pub log_url: ::std::boxed::Box<str>,
    ///Time between two reads of an endpoint's load report and cache events, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub report_poll_ms: u64,
    ///Time the log keeps records, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 86400000>")]
    pub retention_ms: u64,
}
impl ::std::convert::From<&PlatformSection> for PlatformSection {
    fn from(value: &PlatformSection) -> Self {
        value.clone()
    }
}
///A set of like endpoints.
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
///What the endpoints of a pool are.
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
///Which level blocks an engine stored or dropped.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PrefixNews {
    ///Block hashes.
    pub blocks: ::std::vec::Vec<u64>,
    ///Start of the engine.
    pub boot_id: crate::ids::BootId,
    ///Endpoint.
    pub endpoint: crate::ids::EndpointId,
    ///Events before this one were missed.
    pub gap: bool,
    ///What happened.
    pub kind: CacheEventKind,
}
impl ::std::convert::From<&PrefixNews> for PrefixNews {
    fn from(value: &PrefixNews) -> Self {
        value.clone()
    }
}
///Answer 200 to POST /publish: the changes are accepted.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PublishAnswer {
    ///Hosts that do not hold it yet.
    pub behind: ::std::vec::Vec<crate::ids::HostId>,
    ///Head with the changes.
    pub head: ConfigHead,
    ///Hosts that hold it.
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
    ///Changes, in force together.
    pub changes: ::std::vec::Vec<ConfigChange>,
    ///Why, in the operator's words.
    pub note: ::std::boxed::Box<str>,
    ///Who publishes.
    pub operator: ::std::boxed::Box<str>,
    ///Head that the changes were compared with; null publishes after whatever is newest.
    pub seen: ::std::option::Option<ConfigHead>,
}
impl ::std::convert::From<&PublishCall> for PublishCall {
    fn from(value: &PublishCall) -> Self {
        value.clone()
    }
}
///Answer 409, 422 or 503 to POST /publish: the changes are not accepted.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PublishRefusal {
    ///Head in force.
    pub head: ConfigHead,
    ///Operator whose changes came first; null when nobody's did.
    pub lost_to: ::std::option::Option<::std::boxed::Box<str>>,
    ///What happened, as a sentence.
    pub reason: ::std::boxed::Box<str>,
}
impl ::std::convert::From<&PublishRefusal> for PublishRefusal {
    fn from(value: &PublishRefusal) -> Self {
        value.clone()
    }
}
///An outcome or release an entry wants on record.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordCall {
    ///Number of the call on this connection.
    pub call: u64,
    ///The record.
    pub record: ClaimRecord,
    ///How long the entry waits, in milliseconds.
    pub wait_ms: u64,
}
impl ::std::convert::From<&RecordCall> for RecordCall {
    fn from(value: &RecordCall) -> Self {
        value.clone()
    }
}
///Answer to a record.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RecordReply {
    ///Number of the call.
    pub call: u64,
    ///It was read back from the log.
    pub recorded: bool,
}
impl ::std::convert::From<&RecordReply> for RecordReply {
    fn from(value: &RecordReply) -> Self {
        value.clone()
    }
}
///Answer to POST /rollout: 200 when it is under way, else 409 or 422.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutAnswer {
    ///What happened, as a sentence.
    pub reason: ::std::boxed::Box<str>,
    ///The keeper drives it, as soon as it has the pool's lease.
    pub started: bool,
}
impl ::std::convert::From<&RolloutAnswer> for RolloutAnswer {
    fn from(value: &RolloutAnswer) -> Self {
        value.clone()
    }
}
///Body of POST /rollout: bring newer weights into service, replica by replica.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutCall {
    ///Why, in the operator's words.
    pub note: ::std::boxed::Box<str>,
    ///Who asks for it.
    pub operator: ::std::boxed::Box<str>,
    ///Pool.
    pub pool: crate::ids::PoolId,
    ///Weights version to go to.
    pub version: u64,
}
impl ::std::convert::From<&RolloutCall> for RolloutCall {
    fn from(value: &RolloutCall) -> Self {
        value.clone()
    }
}
///Answer to GET /rollouts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutPage {
    ///Roll-outs, in the order they were asked for.
    pub rollouts: ::std::vec::Vec<RolloutStory>,
}
impl ::std::convert::From<&RolloutPage> for RolloutPage {
    fn from(value: &RolloutPage) -> Self {
        value.clone()
    }
}
///How weights are rolled out.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutSection {
    ///Engines of a service that load weights at a time, in percent.
    #[serde(default = "defaults::default_u64::<u64, 17>")]
    pub at_once_percent: u64,
    ///Time after an order in which an engine must be seen with the weights, in milliseconds; two heartbeats.
    #[serde(default = "defaults::default_u64::<u64, 2600>")]
    pub confirm_ms: u64,
    ///Time that an engine takes to load weights, in milliseconds; the engines' sheet says it.
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
///A roll-out that a keeper was asked for since its start.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutStory {
    ///How it ended, as a sentence; null while it is under way.
    pub ended: ::std::option::Option<::std::boxed::Box<str>>,
    ///Who asked for it.
    pub operator: ::std::boxed::Box<str>,
    ///Pool.
    pub pool: crate::ids::PoolId,
    ///Weights version to go to.
    pub version: u64,
}
impl ::std::convert::From<&RolloutStory> for RolloutStory {
    fn from(value: &RolloutStory) -> Self {
        value.clone()
    }
}
///Where the keeper listens.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServeSection {
    ///TCP address and port for entries; port 0 takes a free one.
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
///Answer to POST /settle: 200 when it is on record, else 409.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SettleAnswer {
    ///What happened, as a sentence.
    pub reason: ::std::boxed::Box<str>,
    ///The settlement is on record and counts.
    pub settled: bool,
}
impl ::std::convert::From<&SettleAnswer> for SettleAnswer {
    fn from(value: &SettleAnswer) -> Self {
        value.clone()
    }
}
///How an unknown outcome was settled.
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
///How a graceful shutdown goes.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShutdownSection {
    ///Longest whole shutdown, in milliseconds; above the longest deadline of any template.
    #[serde(default = "defaults::default_u64::<u64, 120000>")]
    pub limit_ms: u64,
    ///Time without a new request after which the balancer counts as gone, in milliseconds.
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
///How the platform's store is used.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    ///Time for which a host keeps its shards without a word, in milliseconds; a restart takes less.
    #[serde(default = "defaults::default_u64::<u64, 3000>")]
    pub lease_expiry_ms: u64,
    ///Pause between two words to the group of hosts, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub lease_pause_ms: u64,
    ///Time after its last word for which a host gives orders, in milliseconds.
    #[serde(default = "defaults::default_u64::<u64, 1200>")]
    pub lease_validity_ms: u64,
    ///Pause between two reads of the list of endpoints, in percent of the time in which a leaving one must get no more work.
    #[serde(default = "defaults::default_u64::<u64, 42>")]
    pub list_drain_percent: u64,
    ///Longest wait of one read of the operator's stream, in milliseconds; a silent connection is noticed sooner, by probes and by other hosts' words.
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
///What one kind of request is and how it is treated.
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
///One event of one process.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TimelineEvent {
    ///Client account it belongs to.
    pub account: ::std::option::Option<crate::ids::AccountId>,
    ///The rest, as a sentence.
    pub detail: ::std::boxed::Box<str>,
    ///Endpoint it belongs to.
    pub endpoint: ::std::option::Option<crate::ids::EndpointId>,
    ///Host of the process.
    pub host: crate::ids::HostId,
    ///What happened.
    pub kind: EventKind,
    ///Program that saw it.
    pub process: ::std::boxed::Box<str>,
    ///Request it belongs to.
    pub request: ::std::option::Option<crate::ids::RequestId>,
    ///When, in causal order.
    pub stamp: ClockStamp,
}
impl ::std::convert::From<&TimelineEvent> for TimelineEvent {
    fn from(value: &TimelineEvent) -> Self {
        value.clone()
    }
}
///Tokens of a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TokenUsage {
    ///Prompt tokens that were not computed again.
    pub cached_tokens: u64,
    ///Tokens of the answer.
    pub completion_tokens: u64,
    ///Tokens of the prompt.
    pub prompt_tokens: u64,
    ///Tokens of both.
    pub total_tokens: u64,
}
impl ::std::convert::From<&TokenUsage> for TokenUsage {
    fn from(value: &TokenUsage) -> Self {
        value.clone()
    }
}
///A non-repeatable request that was claimed and has no outcome on record.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UnresolvedOrder {
    ///Client account.
    pub account: crate::ids::AccountId,
    ///Time since the claim, from the log's time of it to the keeper's own clock, in milliseconds.
    pub age_ms: u64,
    ///Attempt that holds the claim.
    pub attempt: crate::ids::AttemptId,
    ///Host that claimed it.
    pub host: crate::ids::HostId,
    ///Idempotency key.
    pub key: crate::ids::RequestKey,
    ///Request the attempt works for.
    pub request: crate::ids::RequestId,
    ///Template of the request.
    pub template: crate::ids::TemplateId,
}
impl ::std::convert::From<&UnresolvedOrder> for UnresolvedOrder {
    fn from(value: &UnresolvedOrder) -> Self {
        value.clone()
    }
}
///Answer to GET /unresolved.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UnresolvedPage {
    ///Orders without an outcome, oldest first.
    pub orders: ::std::vec::Vec<UnresolvedOrder>,
}
impl ::std::convert::From<&UnresolvedPage> for UnresolvedPage {
    fn from(value: &UnresolvedPage) -> Self {
        value.clone()
    }
}
///How urgent a kind of work is.
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
///A pool goes on to newer weights.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WeightsChange {
    ///Pool.
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

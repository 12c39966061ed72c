// Generated from schema/*.schema.json by `magpiemoor-lab gen`; do not edit.

///Identifies an adapter of a model.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct AdapterId(::std::string::String);
impl ::std::ops::Deref for AdapterId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<AdapterId> for ::std::string::String {
    fn from(value: AdapterId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for AdapterId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for AdapterId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AdapterId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for AdapterId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Chained hash of an answer's tokens up to an offset.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct AnswerDigest(pub u64);
impl ::std::ops::Deref for AnswerDigest {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<AnswerDigest> for u64 {
    fn from(value: AnswerDigest) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for AnswerDigest {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for AnswerDigest {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for AnswerDigest {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for AnswerDigest {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for AnswerDigest {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Time of an answer of a plain server.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AnswerTime {
    ///Hash of the server's incarnation.
    pub endpoint: u32,
    ///Microseconds from the start of the attempt to its answer.
    pub micros: u32,
}
///Histogram of answer times.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AnswerTimes {
    ///Number of failed answers.
    pub failed: u32,
    ///Number of successful answers in each time bucket, shortest first.
    pub took: ::std::vec::Vec<u32>,
}
///A service's answer on its way to the caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Answered {
    pub answer: ServiceAnswer,
    pub subscription: u64,
}
///Number of an attempt to run a request at an endpoint.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct Attempt(pub u32);
impl ::std::ops::Deref for Attempt {
    type Target = u32;
    fn deref(&self) -> &u32 {
        &self.0
    }
}
impl ::std::convert::From<Attempt> for u32 {
    fn from(value: Attempt) -> Self {
        value.0
    }
}
impl ::std::convert::From<u32> for Attempt {
    fn from(value: u32) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Attempt {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Attempt {
    type Err = <u32 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Attempt {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Attempt {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Where an answer is being produced.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AttemptMark {
    pub attempt: Attempt,
    pub endpoint: EndpointId,
    pub stream: ::std::string::String,
}
///A group of deferrable requests that was written together.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct BatchId(::std::string::String);
impl ::std::ops::Deref for BatchId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<BatchId> for ::std::string::String {
    fn from(value: BatchId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for BatchId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for BatchId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for BatchId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for BatchId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Identifies an entry box, unique within the fleet.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct BoxId(::std::string::String);
impl ::std::ops::Deref for BoxId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<BoxId> for ::std::string::String {
    fn from(value: BoxId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for BoxId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for BoxId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for BoxId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for BoxId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///State that a box sends to its peers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BoxState {
    ///Address for other boxes, IP:PORT.
    pub address: ::std::string::String,
    ///Heartbeat counter; it increases with each message and across restarts of the box.
    pub beat: u64,
    pub domain: DomainId,
    ///Load by failure domain: that of the sender's domain goes to other domains, that of other domains to boxes of the sender's.
    pub domain_usage: ::std::vec::Vec<DomainUsage>,
    ///Number of running boxes in each failure domain, including the sender's.
    pub domains: ::std::vec::Vec<DomainSize>,
    ///Store revision of the last change to the endpoint list that the box knows, or 0.
    pub endpoints_at: u64,
    pub from: BoxId,
    pub incarnation: Incarnation,
    ///Endpoints that the box recently lost.
    pub lost: ::std::vec::Vec<EndpointIncarnation>,
    ///Boxes that the sender assumes are running in the failure domain named by members_of, which is the receiver's as far as the sender knows: all of them if it is the sender's own, some otherwise.
    pub members: ::std::vec::Vec<RunningBox>,
    pub members_of: DomainId,
    ///Some boxes outside the receiver's failure domain.
    pub peers: ::std::vec::Vec<PeerAddress>,
    ///Boxes of the receiver's failure domain that read the store.
    pub readers: ::std::vec::Vec<StoreReader>,
    ///Roll-outs that the box knows.
    pub rollouts: ::std::vec::Vec<RolloutState>,
    ///Whether the box is shutting down.
    pub stopping: bool,
    ///Version of the routing table in force, or 0 without one.
    pub table_version: u64,
    ///Counts by service, for boxes of its own failure domain.
    pub totals: ::std::vec::Vec<ServiceTotals>,
    ///Load of the box by endpoint: all endpoints for boxes of its own failure domain, only engines for others.
    pub usage: ::std::vec::Vec<EndpointUsage>,
}
///Asks a peer for a bundle.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundleFetch {
    ///parts that the asker holds already
    pub have: ::std::vec::Vec<PartHash>,
    pub version: BundleVersion,
}
///A bundle version with the hash of its manifest.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundleMark {
    pub hash: PartHash,
    pub version: BundleVersion,
}
///A part of a bundle.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundlePart {
    pub body: ::std::string::String,
    pub hash: PartHash,
}
///The object that names the accepted bundle.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundlePointer {
    pub bundle: BundleMark,
    pub mark: ::std::string::String,
    pub rolled_by: KeyId,
}
///A peer's bundle: the manifest and its parts, as they were signed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundleReply {
    ///the signed manifest as JSON
    pub manifest: ::std::string::String,
    pub parts: ::std::vec::Vec<BundlePart>,
    pub version: BundleVersion,
}
///A bundle as written by operators.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BundleSource {
    pub endpoints: ::std::vec::Vec<EndpointSpec>,
    pub models: ::std::vec::Vec<ModelSpec>,
    pub organisations: ::std::vec::Vec<OrganisationSpec>,
    pub policy: Policy,
    pub services: ::std::vec::Vec<ServiceCalls>,
    pub version: BundleVersion,
}
///Version of a bundle; only a greater version replaces it.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);
impl ::std::ops::Deref for BundleVersion {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<BundleVersion> for u64 {
    fn from(value: BundleVersion) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for BundleVersion {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for BundleVersion {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for BundleVersion {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for BundleVersion {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for BundleVersion {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Name of a call that a plain service offers.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct CallName(::std::string::String);
impl ::std::ops::Deref for CallName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<CallName> for ::std::string::String {
    fn from(value: CallName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for CallName {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for CallName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CallName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for CallName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///A call of a plain service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallRequest {
    pub body: ::std::string::String,
    pub call: CallName,
    pub repeatable: bool,
    pub service: ServiceId,
}
///A call that a plain service offers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallSpec {
    pub max_ms: Millis,
    pub name: CallName,
    pub repeatable: bool,
}
///A question of a box to one of another failure domain, or its answer: whoever gets an answer was in touch when it asked.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ContactCheck {
    ///Address of the box that answers; null in a question.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub answered_by: ::std::option::Option<::std::string::String>,
    pub asked_at: Micros,
    ///Address of the box that asked, IP:PORT.
    pub asker: ::std::string::String,
    pub incarnation: Incarnation,
}
///An endpoint's process that ended while it ran a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CrashReport {
    ///Milliseconds since the process ended.
    pub age_ms: u32,
    ///Number of other requests that ran at the endpoint at that time.
    pub beside: u32,
    pub endpoint: EndpointIncarnation,
    ///Whether other endpoints of the same failure domain ended at the same time.
    pub fell_with_domain: bool,
    ///Whether the request has since run past that point at another endpoint.
    pub is_passed: bool,
    ///Number of the last event that the caller had received, or 0.
    pub last_event: u64,
    ///Milliseconds from the attempt's first event to the crash, or 0 without an event.
    pub ran_ms: u32,
    pub request: Fingerprint,
}
///A box's records of requests during which endpoints crashed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CrashUpdate {
    ///Crashes of endpoints.
    pub crashes: ::std::vec::Vec<CrashReport>,
    ///Requests that are quarantined as the cause of crashes.
    pub quarantined: ::std::vec::Vec<RequestAge>,
    ///Requests that were answered, which shows that they did not cause the crash.
    pub served: ::std::vec::Vec<RequestAge>,
}
///A caller's place in an answer.
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
    PartialOrd
)]
#[serde(deny_unknown_fields)]
pub struct Cursor {
    pub digest: AnswerDigest,
    pub generation: Generation,
    pub offset: TokenOffset,
}
///Section that follows the message of a datagram; a box skips unknown kinds.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DatagramSection {
    ///Encoded content.
    pub content: ::std::vec::Vec<u8>,
    ///Code of the content's type.
    pub kind: u16,
}
///Asks the domain's scribe to keep a request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Defer {
    pub hops: u16,
    pub receiver: Member,
    pub request: Request,
    pub subscription: u64,
}
///The scribe's word on a request it was asked to keep.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DeferReply {
    pub kept: Kept,
    pub subscription: u64,
}
///The result of accepted work.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DeferredDone {
    pub key: RequestKey,
    pub result: DeferredResult,
}
///The result of accepted work.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum DeferredResult {
    Text(DeferredText),
    Failed(Refusal),
}
impl ::std::convert::From<DeferredText> for DeferredResult {
    fn from(value: DeferredText) -> Self {
        Self::Text(value)
    }
}
impl ::std::convert::From<Refusal> for DeferredResult {
    fn from(value: Refusal) -> Self {
        Self::Failed(value)
    }
}
///How accepted work stands.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum DeferredStatus {
    Missing,
    Accepted,
    Done(DeferredResult),
}
impl ::std::convert::From<DeferredResult> for DeferredStatus {
    fn from(value: DeferredResult) -> Self {
        Self::Done(value)
    }
}
///A finished deferred answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DeferredText {
    pub digest: AnswerDigest,
    pub text: ::std::string::String,
    pub tokens: u32,
}
///Endpoints that said in answers to a box that they are leaving.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DepartureUpdate {
    ///Those that said so recently, the latest first.
    pub endpoints: ::std::vec::Vec<EndpointIncarnation>,
    pub from: BoxId,
}
///The caller of a request has gone.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Detach {
    pub key: RequestKey,
    pub subscription: u64,
}
///Identifies a failure domain.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct DomainId(::std::string::String);
impl ::std::ops::Deref for DomainId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<DomainId> for ::std::string::String {
    fn from(value: DomainId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for DomainId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for DomainId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DomainId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for DomainId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Number of running boxes in a failure domain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DomainSize {
    ///Milliseconds since a box of that domain counted.
    pub age_ms: u32,
    ///Number of running boxes.
    pub boxes: u32,
    pub domain: DomainId,
}
///Observations of a roll-out in a failure domain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DomainTally {
    ///Milliseconds since a box of that domain computed the sums.
    pub age_ms: u32,
    pub domain: DomainId,
    ///Whether no box there has requests at endpoints of other versions or sends any.
    pub is_clear: bool,
    ///Answers of its endpoints.
    pub series: ::std::vec::Vec<SeriesTally>,
}
///Load that all boxes of a failure domain have placed on endpoints of plain services.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DomainUsage {
    ///Milliseconds since a box of that domain computed the sums.
    pub age_ms: u32,
    pub domain: DomainId,
    ///Sums by endpoint.
    pub usage: ::std::vec::Vec<EndpointUsage>,
}
///The box that holds the duty to report usage, as known to the sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DutyHolder {
    ///Address for other boxes, IP:PORT.
    pub address: ::std::string::String,
    pub id: BoxId,
    pub incarnation: Incarnation,
    ///Fencing token of the duty.
    pub token: u64,
}
///Outcomes of attempts at an endpoint since the box's previous update.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointAnswers {
    ///Attempts whose connection closed early or whose answer was malformed.
    pub broken: u32,
    pub endpoint: EndpointIncarnation,
    ///Attempts that were refused or answered with an error.
    pub errors: u32,
    ///Attempts that succeeded.
    pub served: u32,
}
///Identifies an endpoint: a model engine or an instance of a plain service.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct EndpointId(::std::string::String);
impl ::std::ops::Deref for EndpointId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<EndpointId> for ::std::string::String {
    fn from(value: EndpointId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for EndpointId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for EndpointId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for EndpointId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for EndpointId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///One incarnation of an endpoint, from a start of its process to its end.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(deny_unknown_fields)]
pub struct EndpointIncarnation {
    ///When its process started, if the endpoint reports it.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub born: ::std::option::Option<StartTime>,
    pub id: EndpointId,
}
///What an endpoint serves: a model engine or a plain service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum EndpointKind {
    Engine(EngineSpec),
    Service(ServiceSpec),
}
impl ::std::convert::From<EngineSpec> for EndpointKind {
    fn from(value: EngineSpec) -> Self {
        Self::Engine(value)
    }
}
impl ::std::convert::From<ServiceSpec> for EndpointKind {
    fn from(value: ServiceSpec) -> Self {
        Self::Service(value)
    }
}
///An endpoint of the fleet.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    pub address: ::std::string::String,
    pub checks_orders: bool,
    pub domain: DomainId,
    pub id: EndpointId,
    pub serves: EndpointKind,
}
///Load that a box has placed on an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EndpointUsage {
    pub endpoint: EndpointIncarnation,
    ///Tokens of KV memory that requests and replicas occupy or will occupy.
    pub memory: u32,
    ///Prompt tokens of requests that have not had their first event.
    pub reading: u32,
    ///Number of running requests.
    pub running: u32,
}
///Load that all boxes of a failure domain have placed on an engine.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineLoad {
    ///Hash of the engine's incarnation.
    pub engine: u32,
    ///KV memory that requests and replicas occupy or will occupy, in units of 256 tokens.
    pub memory: u32,
    ///Prompt tokens of requests that have not had their first event, in units of 256 tokens.
    pub reading: u32,
    ///Number of running requests.
    pub running: u32,
}
///Load that all boxes of a failure domain have placed on engines.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineLoadReport {
    ///Milliseconds since a box of that domain computed the sums.
    pub age_ms: u32,
    pub domain: DomainId,
    ///Engines that are used, those with the most KV memory first.
    pub engines: ::std::vec::Vec<EngineLoad>,
    ///Whether a box of the receiver's failure domain forwarded the report.
    pub is_forwarded: bool,
    ///Milliseconds by the clock of the box that computed the sums; gives the order of its reports only.
    pub sent_at: u64,
}
///What a model engine serves, and its number of slots.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    pub adapters: ::std::vec::Vec<AdapterId>,
    pub models: ::std::vec::Vec<ModelId>,
    pub slots: u32,
}
///Speed of an engine as one box observed it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EngineSpeed {
    ///Milliseconds since the last observation.
    pub age_ms: u32,
    ///Hash of the engine's incarnation.
    pub endpoint: u32,
    ///Events per 1,000 seconds of a stream while no prompt is prefilled; 0 if unknown.
    pub events: u32,
    ///Number of observations of that.
    pub events_count: u32,
    ///Prompt tokens per second; 0 if unknown.
    pub prefill: u32,
    ///Number of observations of that.
    pub prefill_count: u32,
}
///A TCP message with its sender.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    pub clock: HybridTime,
    pub from: BoxId,
    pub incarnation: Incarnation,
    pub message: PeerMessage,
}
///Version of a roster; also the fencing token of orders.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct Epoch(pub u64);
impl ::std::ops::Deref for Epoch {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Epoch> for u64 {
    fn from(value: Epoch) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Epoch {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Epoch {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Epoch {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Epoch {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Epoch {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Hash of a request's content and caller; a request that the caller sends again has the same fingerprint.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);
impl ::std::ops::Deref for Fingerprint {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Fingerprint> for u64 {
    fn from(value: Fingerprint) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Fingerprint {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Fingerprint {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Fingerprint {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Fingerprint {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///How an answer ended.
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
    PartialOrd
)]
pub enum Finish {
    #[serde(rename = "stop")]
    Stop,
    #[serde(rename = "length")]
    Length,
}
impl ::std::fmt::Display for Finish {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Stop => f.write_str("stop"),
            Self::Length => f.write_str("length"),
        }
    }
}
impl ::std::str::FromStr for Finish {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stop" => Ok(Self::Stop),
            "length" => Ok(Self::Length),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Finish {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Finish {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A box in the platform's list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetEntry {
    pub id: ::std::string::String,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub incarnation: ::std::option::Option<Incarnation>,
    pub state: FleetState,
}
///The platform's lagging list of boxes and endpoints of a failure domain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetList {
    pub entries: ::std::vec::Vec<FleetEntry>,
    pub version: u64,
}
///How the platform lists a box.
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
    PartialOrd
)]
pub enum FleetState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "gone")]
    Gone,
}
impl ::std::fmt::Display for FleetState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
            Self::Gone => f.write_str("gone"),
        }
    }
}
impl ::std::str::FromStr for FleetState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            "gone" => Ok(Self::Gone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for FleetState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for FleetState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Settings file of a gateway box.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
pub struct GatewaySettingsFile {
    ///Name of the box, unique in the fleet.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub box_id: ::std::option::Option<::std::string::String>,
    ///IP address and port that callers connect to.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub callers: ::std::option::Option<::std::string::String>,
    ///Failure domain of the box.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub domain: ::std::option::Option<::std::string::String>,
    ///Whether the fleet starts for the first time, so that no caller can be reconnecting from a lost box.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub first_start: ::std::option::Option<bool>,
    ///Number of boxes that share the retry budget until peers are known.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub fleet_boxes: ::std::option::Option<u64>,
    ///Interval between messages to peers, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub gossip_ms: ::std::option::Option<u64>,
    ///IP address and port of the readiness check.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub health: ::std::option::Option<::std::string::String>,
    ///Maximum total size of buffered request bodies, in bytes.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub held_bytes: ::std::option::Option<u64>,
    ///Duration of a duty's lease after its last renewal, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease_ms: ::std::option::Option<u64>,
    ///Log level: off, error, warn, info, debug or trace.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log_level: ::std::option::Option<::std::string::String>,
    ///IP address and port of the metrics.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub metrics: ::std::option::Option<::std::string::String>,
    ///IP address and port for other boxes, over UDP and TCP.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub peers_address: ::std::option::Option<::std::string::String>,
    ///IP address and port of the platform's store.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub platform: ::std::option::Option<::std::string::String>,
    ///Retries allowed per request, over all boxes.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_ratio: ::std::option::Option<f64>,
    ///Retries allowed per window in addition, over all boxes.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_reserve: ::std::option::Option<f64>,
    ///Window of the retry budget, in seconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_window_s: ::std::option::Option<f64>,
    ///Requests that a new version may receive in addition to that share.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rollout_reserve: ::std::option::Option<f64>,
    ///Maximum share of a service's requests that a new version may receive before the roll-out's time is over.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rollout_share: ::std::option::Option<f64>,
    ///IP addresses, with or without a port, of the boxes to contact first.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<::std::string::String>,
    ///Maximum duration of a graceful stop, in seconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stop_grace_s: ::std::option::Option<f64>,
    ///Number of threads that serve connections.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub traffic_threads: ::std::option::Option<u64>,
    ///Maximum time from the end of a usage window to its report, in seconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage_late_s: ::std::option::Option<f64>,
    ///IP address and port to which usage is reported; without it usage is not reported.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage_reports: ::std::option::Option<::std::string::String>,
    ///Length of a usage window, in seconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub usage_window_s: ::std::option::Option<f64>,
    ///Timeout of a watch request to the platform's store, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub watch_ms: ::std::option::Option<u64>,
}
///A generation by a model.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GenerateRequest {
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub adapter: ::std::option::Option<AdapterId>,
    pub max_tokens: u32,
    pub model: ModelId,
    pub prompt: ::std::string::String,
}
///Term of the box that produces an answer; each takeover increases it.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct Generation(pub u32);
impl ::std::ops::Deref for Generation {
    type Target = u32;
    fn deref(&self) -> &u32 {
        &self.0
    }
}
impl ::std::convert::From<Generation> for u32 {
    fn from(value: Generation) -> Self {
        value.0
    }
}
impl ::std::convert::From<u32> for Generation {
    fn from(value: u32) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Generation {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Generation {
    type Err = <u32 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Generation {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Generation {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///A box's regular word to its peers over UDP.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    pub address: ::std::string::String,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub ask: ::std::option::Option<PromiseAsk>,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub bundle: ::std::option::Option<BundleMark>,
    pub clock: HybridTime,
    pub domain: DomainId,
    pub epoch: Epoch,
    pub from: BoxId,
    pub grants: ::std::vec::Vec<PromiseGrant>,
    pub incarnation: Incarnation,
    pub leaving: ::std::vec::Vec<EndpointId>,
    pub loads: ::std::vec::Vec<LoadReport>,
    pub sequence: u64,
    pub stopping: bool,
}
///Asks another failure domain to hold a batch while the platform is out.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Hold {
    pub batch: BatchId,
    pub domain: DomainId,
    pub items: ::std::vec::Vec<Request>,
}
///A held batch has reached the platform.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HoldDone {
    pub batch: BatchId,
}
///A batch is held.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HoldReply {
    pub batch: BatchId,
}
///Who held a slice before, and so must let it go.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    pub home: BoxId,
    pub incarnation: Incarnation,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub successor: ::std::option::Option<BoxId>,
    pub term: u64,
}
///Reading of a hybrid logical clock: 48 bits of milliseconds, then a 16-bit counter.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct HybridTime(pub u64);
impl ::std::ops::Deref for HybridTime {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<HybridTime> for u64 {
    fn from(value: HybridTime) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for HybridTime {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for HybridTime {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for HybridTime {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for HybridTime {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for HybridTime {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Which process answered at the address of an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct IdentityReport {
    ///Time since the answer.
    pub age_ms: u32,
    ///The endpoint that is listed at the address.
    pub endpoint: EndpointIncarnation,
    ///The process that answered; the endpoint itself if it is still there.
    pub instance: EndpointIncarnation,
    ///Whether the process is known to be an engine of the endpoint's service.
    pub is_engine: bool,
}
///Processes that identified themselves to a box, or to one that told it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct IdentityUpdate {
    ///Failure domain of that box.
    pub domain: DomainId,
    pub from: BoxId,
    pub reports: ::std::vec::Vec<IdentityReport>,
}
///Number of a process incarnation; it increases with each restart of the box.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
impl ::std::ops::Deref for Incarnation {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Incarnation> for u64 {
    fn from(value: Incarnation) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Incarnation {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Incarnation {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Incarnation {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Incarnation {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Where accepted work is kept.
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
    PartialOrd
)]
pub enum Kept {
    #[serde(rename = "platform")]
    Platform,
    #[serde(rename = "two_domains")]
    TwoDomains,
    #[serde(rename = "nowhere")]
    Nowhere,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Kept {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Platform => f.write_str("platform"),
            Self::TwoDomains => f.write_str("two_domains"),
            Self::Nowhere => f.write_str("nowhere"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Kept {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "platform" => Ok(Self::Platform),
            "two_domains" => Ok(Self::TwoDomains),
            "nowhere" => Ok(Self::Nowhere),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Kept {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Kept {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The name of an operator's signing key.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct KeyId(::std::string::String);
impl ::std::ops::Deref for KeyId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<KeyId> for ::std::string::String {
    fn from(value: KeyId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for KeyId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for KeyId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for KeyId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for KeyId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Rate limit that an endpoint announced in an answer to a box.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitReport {
    ///Milliseconds since that answer.
    pub age_ms: u32,
    pub endpoint: EndpointIncarnation,
    ///Thousandths of a request per second from all boxes together; null if the endpoint announced no limit.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub milli_per_second: ::std::option::Option<u32>,
}
///Limits, permit requests and grants that a box sends to others.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LimitUpdate {
    ///Permit requests.
    pub asks: ::std::vec::Vec<PermitRequest>,
    pub from: BoxId,
    ///Granted permits.
    pub grants: ::std::vec::Vec<PermitGrant>,
    ///Whether a box other than the requester forwarded this message.
    pub is_passed_on: bool,
    ///Limits that endpoints announced.
    pub notes: ::std::vec::Vec<LimitReport>,
    ///Address to which requested permits are sent.
    pub reply_to: ::std::string::String,
}
///An endpoint's load as one box read it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    pub endpoint: EndpointId,
    pub leaving: bool,
    pub model_version: u32,
    pub queued: u32,
    pub running: u32,
}
///Asks the scribe how accepted work stands.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lookup {
    pub hops: u16,
    pub key: RequestKey,
    pub receiver: Member,
    pub subscription: u64,
}
///How accepted work stands.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LookupReply {
    pub status: DeferredStatus,
    pub subscription: u64,
}
///The parts that make up a bundle version.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    pub parts: ::std::vec::Vec<PartRef>,
    pub version: BundleVersion,
}
///A box in a roster.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub address: ::std::string::String,
    pub id: BoxId,
    pub incarnation: Incarnation,
}
///Reading of a box's monotonic clock, in microseconds; not comparable between boxes.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct Micros(pub u64);
impl ::std::ops::Deref for Micros {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Micros> for u64 {
    fn from(value: Micros) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Micros {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Micros {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Micros {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Micros {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Micros {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Duration in milliseconds.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct Millis(pub u64);
impl ::std::ops::Deref for Millis {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<Millis> for u64 {
    fn from(value: Millis) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for Millis {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for Millis {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for Millis {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for Millis {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for Millis {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Identifies a model.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ModelId(::std::string::String);
impl ::std::ops::Deref for ModelId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ModelId> for ::std::string::String {
    fn from(value: ModelId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ModelId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ModelId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ModelId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ModelId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///A model and its limits.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    pub adapters: ::std::vec::Vec<AdapterId>,
    pub context: u32,
    pub id: ModelId,
    pub max_tokens: u32,
    pub version: u32,
}
///A request is now served by another box.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Moved {
    pub subscription: u64,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub to: ::std::option::Option<BoxId>,
}
///The successor holds a call record.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OnceAck {
    pub accepted: bool,
    pub answered: bool,
    pub epoch: Epoch,
    pub key: RequestKey,
}
///A call record copied to the successor.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OnceCopy {
    ///whether a note about the slice follows
    pub batch: bool,
    pub epoch: Epoch,
    pub record: OnceRecord,
}
///What is known of a call that may not be repeated.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OnceRecord {
    pub body_hash: u64,
    pub key: RequestKey,
    pub state: OnceState,
}
///How far a call that may not be repeated has got.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum OnceState {
    Intent,
    NotRun,
    Unknown,
    Answered(ServiceAnswer),
}
impl ::std::convert::From<ServiceAnswer> for OnceState {
    fn from(value: ServiceAnswer) -> Self {
        Self::Answered(value)
    }
}
///Number of an organisation's requests that began to run.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OrganisationCount {
    ///Number of requests.
    pub began: u64,
    pub organisation: OrganisationId,
}
///Identifies an organisation whose requests are served.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct OrganisationId(::std::string::String);
impl ::std::ops::Deref for OrganisationId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<OrganisationId> for ::std::string::String {
    fn from(value: OrganisationId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for OrganisationId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for OrganisationId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrganisationId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for OrganisationId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///An organisation: its weight and priority, and the models and services that it may use.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    pub id: OrganisationId,
    pub models: ::std::vec::Vec<ModelId>,
    pub priority: Priority,
    pub services: ::std::vec::Vec<ServiceId>,
    pub weight: u32,
}
///Tokens of an answer on their way to the caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Output {
    pub digest: AnswerDigest,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub finish: ::std::option::Option<Finish>,
    pub generation: Generation,
    pub offset: TokenOffset,
    pub subscription: u64,
    pub tokens: ::std::vec::Vec<Token>,
}
///Compressed entries of the endpoint list for the transfer between boxes.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PackedEntries {
    ///JSON array of StateEntry, compressed with DEFLATE (RFC 1951).
    pub packed: ::std::vec::Vec<u8>,
    ///Size of the uncompressed text in bytes.
    pub text_bytes: u32,
}
///Compressed configuration for the transfer between boxes.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PackedTable {
    ///Milliseconds since the store answered the box that read it.
    pub age_ms: u32,
    ///Configuration text as read from the store, compressed with DEFLATE (RFC 1951).
    pub packed: ::std::vec::Vec<u8>,
    ///Size of the uncompressed text in bytes.
    pub text_bytes: u32,
}
///SHA-256 hash of a bundle part, in hexadecimal.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct PartHash(::std::string::String);
impl ::std::ops::Deref for PartHash {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<PartHash> for ::std::string::String {
    fn from(value: PartHash) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for PartHash {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 64usize {
            return Err("longer than 64 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for PartHash {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PartHash {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for PartHash {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///What a bundle part holds.
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
    PartialOrd
)]
pub enum PartKind {
    #[serde(rename = "models")]
    Models,
    #[serde(rename = "services")]
    Services,
    #[serde(rename = "organisations")]
    Organisations,
    #[serde(rename = "endpoints")]
    Endpoints,
    #[serde(rename = "policy")]
    Policy,
}
impl ::std::fmt::Display for PartKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Models => f.write_str("models"),
            Self::Services => f.write_str("services"),
            Self::Organisations => f.write_str("organisations"),
            Self::Endpoints => f.write_str("endpoints"),
            Self::Policy => f.write_str("policy"),
        }
    }
}
impl ::std::str::FromStr for PartKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "models" => Ok(Self::Models),
            "services" => Ok(Self::Services),
            "organisations" => Ok(Self::Organisations),
            "endpoints" => Ok(Self::Endpoints),
            "policy" => Ok(Self::Policy),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PartKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PartKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A reference to a part of a bundle by the hash of its content.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PartRef {
    pub bytes: u32,
    pub hash: PartHash,
    pub kind: PartKind,
}
///Address and failure domain of a box.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerAddress {
    ///Address for other boxes, IP:PORT.
    pub address: ::std::string::String,
    pub domain: DomainId,
}
///A message between boxes over TCP.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum PeerMessage {
    Submit(Submit),
    Output(Output),
    Refused(Refused),
    Answered(Answered),
    Detach(Detach),
    Moved(Moved),
    TokenCopy(TokenCopy),
    TokenAck(TokenAck),
    TokenRefused(TokenRefused),
    OnceCopy(OnceCopy),
    OnceAck(OnceAck),
    SliceSync(SliceNote),
    SliceSynced(SliceNote),
    ReleaseAsk(SliceAsk),
    Released(SliceNote),
    WithdrawAsk(SliceAsk),
    Withdrawn(SliceNote),
    Defer(Defer),
    DeferReply(DeferReply),
    Hold(Hold),
    HoldReply(HoldReply),
    HoldDone(HoldDone),
    RunDeferred(RunDeferred),
    DeferredDone(DeferredDone),
    Lookup(Lookup),
    LookupReply(LookupReply),
    BundleFetch(BundleFetch),
    BundleReply(BundleReply),
}
impl ::std::convert::From<Submit> for PeerMessage {
    fn from(value: Submit) -> Self {
        Self::Submit(value)
    }
}
impl ::std::convert::From<Output> for PeerMessage {
    fn from(value: Output) -> Self {
        Self::Output(value)
    }
}
impl ::std::convert::From<Refused> for PeerMessage {
    fn from(value: Refused) -> Self {
        Self::Refused(value)
    }
}
impl ::std::convert::From<Answered> for PeerMessage {
    fn from(value: Answered) -> Self {
        Self::Answered(value)
    }
}
impl ::std::convert::From<Detach> for PeerMessage {
    fn from(value: Detach) -> Self {
        Self::Detach(value)
    }
}
impl ::std::convert::From<Moved> for PeerMessage {
    fn from(value: Moved) -> Self {
        Self::Moved(value)
    }
}
impl ::std::convert::From<TokenCopy> for PeerMessage {
    fn from(value: TokenCopy) -> Self {
        Self::TokenCopy(value)
    }
}
impl ::std::convert::From<TokenAck> for PeerMessage {
    fn from(value: TokenAck) -> Self {
        Self::TokenAck(value)
    }
}
impl ::std::convert::From<TokenRefused> for PeerMessage {
    fn from(value: TokenRefused) -> Self {
        Self::TokenRefused(value)
    }
}
impl ::std::convert::From<OnceCopy> for PeerMessage {
    fn from(value: OnceCopy) -> Self {
        Self::OnceCopy(value)
    }
}
impl ::std::convert::From<OnceAck> for PeerMessage {
    fn from(value: OnceAck) -> Self {
        Self::OnceAck(value)
    }
}
impl ::std::convert::From<Defer> for PeerMessage {
    fn from(value: Defer) -> Self {
        Self::Defer(value)
    }
}
impl ::std::convert::From<DeferReply> for PeerMessage {
    fn from(value: DeferReply) -> Self {
        Self::DeferReply(value)
    }
}
impl ::std::convert::From<Hold> for PeerMessage {
    fn from(value: Hold) -> Self {
        Self::Hold(value)
    }
}
impl ::std::convert::From<HoldReply> for PeerMessage {
    fn from(value: HoldReply) -> Self {
        Self::HoldReply(value)
    }
}
impl ::std::convert::From<HoldDone> for PeerMessage {
    fn from(value: HoldDone) -> Self {
        Self::HoldDone(value)
    }
}
impl ::std::convert::From<RunDeferred> for PeerMessage {
    fn from(value: RunDeferred) -> Self {
        Self::RunDeferred(value)
    }
}
impl ::std::convert::From<DeferredDone> for PeerMessage {
    fn from(value: DeferredDone) -> Self {
        Self::DeferredDone(value)
    }
}
impl ::std::convert::From<Lookup> for PeerMessage {
    fn from(value: Lookup) -> Self {
        Self::Lookup(value)
    }
}
impl ::std::convert::From<LookupReply> for PeerMessage {
    fn from(value: LookupReply) -> Self {
        Self::LookupReply(value)
    }
}
impl ::std::convert::From<BundleFetch> for PeerMessage {
    fn from(value: BundleFetch) -> Self {
        Self::BundleFetch(value)
    }
}
impl ::std::convert::From<BundleReply> for PeerMessage {
    fn from(value: BundleReply) -> Self {
        Self::BundleReply(value)
    }
}
///A box of this or another failure domain to contact at startup.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    pub address: ::std::string::String,
    pub domain: DomainId,
    pub id: BoxId,
}
///Permits granted for an endpoint that announces a rate limit.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitGrant {
    pub endpoint: EndpointIncarnation,
    ///Number of permits.
    pub permits: u32,
}
///Requests permits for an endpoint that announces a rate limit.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    pub endpoint: EndpointIncarnation,
    ///Number of permits wanted.
    pub wanted: u32,
}
///The policy for serving requests.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    pub queue_limit: u32,
    pub retry_horizon: Millis,
    pub retry_percent: u32,
    pub weights: Weights,
}
///The class of a request.
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
    PartialOrd
)]
pub enum Priority {
    #[serde(rename = "quick")]
    Quick,
    #[serde(rename = "interactive")]
    Interactive,
    #[serde(rename = "deferrable")]
    Deferrable,
}
impl ::std::fmt::Display for Priority {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Quick => f.write_str("quick"),
            Self::Interactive => f.write_str("interactive"),
            Self::Deferrable => f.write_str("deferrable"),
        }
    }
}
impl ::std::str::FromStr for Priority {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "quick" => Ok(Self::Quick),
            "interactive" => Ok(Self::Interactive),
            "deferrable" => Ok(Self::Deferrable),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Asks the successor not to succeed the sender for a while.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PromiseAsk {
    pub asked: Micros,
    pub epoch: Epoch,
}
///A promise, counted from when it was asked for on the asker's clock.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PromiseGrant {
    pub asked: Micros,
    pub epoch: Epoch,
    pub span: Millis,
    pub to: BoxId,
}
///Whether a refused request ran.
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
    PartialOrd
)]
pub enum Ran {
    #[serde(rename = "no")]
    No,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for Ran {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::No => f.write_str("no"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Ran {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "no" => Ok(Self::No),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Why a request was refused.
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
    PartialOrd
)]
pub enum Reason {
    #[serde(rename = "overloaded")]
    Overloaded,
    #[serde(rename = "deadline_unreachable")]
    DeadlineUnreachable,
    #[serde(rename = "no_endpoint")]
    NoEndpoint,
    #[serde(rename = "home_unreachable")]
    HomeUnreachable,
    #[serde(rename = "slice_closed")]
    SliceClosed,
    #[serde(rename = "outcome_unknown")]
    OutcomeUnknown,
    #[serde(rename = "not_durable")]
    NotDurable,
    #[serde(rename = "start_over")]
    StartOver,
    #[serde(rename = "key_reused")]
    KeyReused,
    #[serde(rename = "unknown_model")]
    UnknownModel,
    #[serde(rename = "unknown_service")]
    UnknownService,
    #[serde(rename = "unknown_organisation")]
    UnknownOrganisation,
    #[serde(rename = "unknown_request")]
    UnknownRequest,
    #[serde(rename = "stopping")]
    Stopping,
    #[serde(rename = "engine_failed")]
    EngineFailed,
}
impl ::std::fmt::Display for Reason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Overloaded => f.write_str("overloaded"),
            Self::DeadlineUnreachable => f.write_str("deadline_unreachable"),
            Self::NoEndpoint => f.write_str("no_endpoint"),
            Self::HomeUnreachable => f.write_str("home_unreachable"),
            Self::SliceClosed => f.write_str("slice_closed"),
            Self::OutcomeUnknown => f.write_str("outcome_unknown"),
            Self::NotDurable => f.write_str("not_durable"),
            Self::StartOver => f.write_str("start_over"),
            Self::KeyReused => f.write_str("key_reused"),
            Self::UnknownModel => f.write_str("unknown_model"),
            Self::UnknownService => f.write_str("unknown_service"),
            Self::UnknownOrganisation => f.write_str("unknown_organisation"),
            Self::UnknownRequest => f.write_str("unknown_request"),
            Self::Stopping => f.write_str("stopping"),
            Self::EngineFailed => f.write_str("engine_failed"),
        }
    }
}
impl ::std::str::FromStr for Reason {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "overloaded" => Ok(Self::Overloaded),
            "deadline_unreachable" => Ok(Self::DeadlineUnreachable),
            "no_endpoint" => Ok(Self::NoEndpoint),
            "home_unreachable" => Ok(Self::HomeUnreachable),
            "slice_closed" => Ok(Self::SliceClosed),
            "outcome_unknown" => Ok(Self::OutcomeUnknown),
            "not_durable" => Ok(Self::NotDurable),
            "start_over" => Ok(Self::StartOver),
            "key_reused" => Ok(Self::KeyReused),
            "unknown_model" => Ok(Self::UnknownModel),
            "unknown_service" => Ok(Self::UnknownService),
            "unknown_organisation" => Ok(Self::UnknownOrganisation),
            "unknown_request" => Ok(Self::UnknownRequest),
            "stopping" => Ok(Self::Stopping),
            "engine_failed" => Ok(Self::EngineFailed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Reason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Reason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A final answer that is not a result.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    pub detail: ::std::string::String,
    pub ran: Ran,
    pub reason: Reason,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub retry_after: ::std::option::Option<Millis>,
}
///A refusal on its way to the caller.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Refused {
    pub refusal: Refusal,
    pub subscription: u64,
}
///Result of a request for a tunnel.
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
    PartialOrd
)]
pub enum RelayReply {
    #[serde(rename = "connected")]
    Connected,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "timed_out")]
    TimedOut,
    #[serde(rename = "path_lost")]
    PathLost,
    #[serde(rename = "unlisted")]
    Unlisted,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "stopping")]
    Stopping,
}
impl ::std::fmt::Display for RelayReply {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Connected => f.write_str("connected"),
            Self::Refused => f.write_str("refused"),
            Self::TimedOut => f.write_str("timed_out"),
            Self::PathLost => f.write_str("path_lost"),
            Self::Unlisted => f.write_str("unlisted"),
            Self::Busy => f.write_str("busy"),
            Self::Stopping => f.write_str("stopping"),
        }
    }
}
impl ::std::str::FromStr for RelayReply {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "connected" => Ok(Self::Connected),
            "refused" => Ok(Self::Refused),
            "timed_out" => Ok(Self::TimedOut),
            "path_lost" => Ok(Self::PathLost),
            "unlisted" => Ok(Self::Unlisted),
            "busy" => Ok(Self::Busy),
            "stopping" => Ok(Self::Stopping),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RelayReply {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RelayReply {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Requests a tunnel to an endpoint.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RelayRequest {
    ///The endpoint, which the relay finds in its own list.
    pub endpoint: EndpointId,
}
///A caller's request as it travels between boxes.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Request {
    pub body_hash: u64,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub deadline: ::std::option::Option<Millis>,
    ///whether the key cannot have been used before: a box made it, or the caller says so
    pub first: bool,
    pub key: RequestKey,
    pub kind: RequestKind,
    pub organisation: OrganisationId,
    pub priority: Priority,
}
///A request and the time since its outcome was recorded.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestAge {
    ///Milliseconds since the outcome was recorded.
    pub age_ms: u32,
    pub request: Fingerprint,
}
///The idempotency key of a request.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RequestKey(::std::string::String);
impl ::std::ops::Deref for RequestKey {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RequestKey> for ::std::string::String {
    fn from(value: RequestKey) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for RequestKey {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 200usize {
            return Err("longer than 200 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RequestKey {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RequestKey {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RequestKey {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///What a request asks for.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum RequestKind {
    Generate(GenerateRequest),
    Call(CallRequest),
}
impl ::std::convert::From<GenerateRequest> for RequestKind {
    fn from(value: GenerateRequest) -> Self {
        Self::Generate(value)
    }
}
impl ::std::convert::From<CallRequest> for RequestKind {
    fn from(value: CallRequest) -> Self {
        Self::Call(value)
    }
}
///Phase of a roll-out; a box enters a later phase that a peer reports.
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
    PartialOrd
)]
pub enum RolloutPhase {
    #[serde(rename = "canary")]
    Canary,
    #[serde(rename = "switch")]
    Switch,
    #[serde(rename = "bad")]
    Bad,
    #[serde(rename = "committed")]
    Committed,
    #[serde(rename = "completed")]
    Completed,
    #[serde(rename = "rolled_back")]
    RolledBack,
}
impl ::std::fmt::Display for RolloutPhase {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Canary => f.write_str("canary"),
            Self::Switch => f.write_str("switch"),
            Self::Bad => f.write_str("bad"),
            Self::Committed => f.write_str("committed"),
            Self::Completed => f.write_str("completed"),
            Self::RolledBack => f.write_str("rolled_back"),
        }
    }
}
impl ::std::str::FromStr for RolloutPhase {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "canary" => Ok(Self::Canary),
            "switch" => Ok(Self::Switch),
            "bad" => Ok(Self::Bad),
            "committed" => Ok(Self::Committed),
            "completed" => Ok(Self::Completed),
            "rolled_back" => Ok(Self::RolledBack),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RolloutPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RolloutPhase {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Progress of one box in a roll-out.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutProgress {
    ///Address for other boxes: the bytes of the IP address, then two bytes of the port.
    pub address: ::std::vec::Vec<u8>,
    ///Whether the box has no requests at endpoints of other versions and sends none.
    pub is_clear: bool,
    ///Hash of the order's content.
    pub order: u64,
    pub phase: RolloutPhase,
    pub service: ServiceId,
}
///One answer of an endpoint during a roll-out.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutSample {
    pub endpoint: EndpointId,
    ///Identifies the route and the timed part of the answer.
    pub series: u32,
    ///Index of its time bucket, or 255 if it failed.
    pub step: u8,
}
///State of a roll-out, as boxes exchange it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RolloutState {
    ///Milliseconds since a box first saw the order.
    pub age_ms: u32,
    ///Milliseconds that the roll-out may take.
    pub duration_ms: u32,
    ///Hash of the order's content.
    pub order: u64,
    pub phase: RolloutPhase,
    ///Milliseconds since a box that watches roll-outs confirmed that the order stands.
    pub seen_ms: u32,
    pub service: ServiceId,
    ///Observations by failure domain: those of the sender's domain go to other domains, those of other domains to boxes of the sender's.
    pub tallies: ::std::vec::Vec<DomainTally>,
    pub target: VersionId,
}
///The boxes of a failure domain and the slices they hold.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    pub domain: DomainId,
    pub mark: u64,
    pub members: ::std::vec::Vec<Member>,
    pub slices: ::std::vec::Vec<Slice>,
    pub writer: BoxId,
}
///Asks a home box to run accepted work.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RunDeferred {
    pub request: Request,
    pub scribe: BoxId,
}
///A running box of a failure domain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RunningBox {
    ///Address for other boxes: the bytes of the IP address, then two bytes of the port.
    pub address: ::std::vec::Vec<u8>,
    ///Highest heartbeat counter of the box that the sender knows.
    pub beat: u64,
}
///Answers of one series in a failure domain during a roll-out.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SeriesTally {
    pub baseline: AnswerTimes,
    ///Identifies the route and the timed part of the answer.
    pub series: u32,
    ///Number of endpoints of the target version that answered.
    pub servers: u32,
    pub target: AnswerTimes,
    pub worst: AnswerTimes,
}
///A plain service's answer.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceAnswer {
    pub body: ::std::string::String,
    pub status: u16,
}
///A plain service and its calls.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceCalls {
    pub calls: ::std::vec::Vec<CallSpec>,
    pub id: ServiceId,
}
///Identifies a plain service.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ServiceId(::std::string::String);
impl ::std::ops::Deref for ServiceId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ServiceId> for ::std::string::String {
    fn from(value: ServiceId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ServiceId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ServiceId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ServiceId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///The plain service that an endpoint serves, and its number of slots.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    pub service: ServiceId,
    pub slots: u32,
}
///Counts of a box for a service since its start.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceTotals {
    ///Requests in the current window of the retry budget.
    pub recent_requests: u64,
    ///Retries in the current window of the retry budget.
    pub recent_retries: u64,
    ///Requests from callers.
    pub requests: u64,
    ///Attempts that were charged to the retry budget.
    pub retries: u64,
    pub service: ServiceId,
}
///The settings of an entry box.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SettingsFile {
    ///The entry box's name, unique in the fleet.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub box_id: ::std::option::Option<::std::string::String>,
    ///IP address and port for callers.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub callers: ::std::option::Option<::std::string::String>,
    ///The largest drift between two clocks over one lease, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub clock_bound_ms: ::std::option::Option<u64>,
    ///The failure domain that this box belongs to.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub domain: ::std::option::Option<::std::string::String>,
    ///All failure domains of the fleet.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub domains: ::std::vec::Vec<::std::string::String>,
    ///Time between heartbeats, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub heartbeat_ms: ::std::option::Option<u64>,
    ///How long this box may act after one read of the roster, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease_ms: ::std::option::Option<u64>,
    ///The log file; standard error if empty.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log_file: ::std::option::Option<::std::string::String>,
    ///The log level: off, error, warn, info, debug or trace.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub log_level: ::std::option::Option<::std::string::String>,
    ///The largest request body accepted, in bytes.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_body_bytes: ::std::option::Option<u64>,
    ///The largest number of requests that this box holds at once.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_requests: ::std::option::Option<u64>,
    ///The largest number of answer tokens that this box holds at once.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub max_tokens_held: ::std::option::Option<u64>,
    ///IP address and port for health, metrics and the time line.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub operators: ::std::option::Option<::std::string::String>,
    ///IP address and port for other boxes, TCP and UDP.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub peers_address: ::std::option::Option<::std::string::String>,
    ///IP address and port of the platform's object API.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub platform: ::std::option::Option<::std::string::String>,
    ///The recovery strategy: resume, restart, timeout or hedge; all but resume exist as baselines for comparison.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub recovery: ::std::option::Option<::std::string::String>,
    ///The routing strategy: cost, random or least_loaded; all but cost exist as baselines for comparison.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub routing: ::std::option::Option<::std::string::String>,
    ///Boxes to contact before a roster has been read.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub seeds: ::std::vec::Vec<PeerSeed>,
    ///The number of trusted signatures that a bundle needs.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub signatures_needed: ::std::option::Option<u64>,
    ///How long a shutdown waits for streams to end, in milliseconds.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub stop_grace_ms: ::std::option::Option<u64>,
    ///The number of events that the time line keeps.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub timeline_events: ::std::option::Option<u64>,
    ///The number of I/O threads for traffic.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub traffic_threads: ::std::option::Option<u64>,
    ///Keys whose signatures count towards accepting a bundle.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub trusted_keys: ::std::vec::Vec<TrustedKey>,
}
///An operator's signature of a manifest.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Signature {
    pub key: KeyId,
    pub signature: ::std::string::String,
}
///A manifest as the exact signed text, with its signatures.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SignedManifest {
    pub manifest: ::std::string::String,
    pub signatures: ::std::vec::Vec<Signature>,
}
///A slice with its present and, until it has opened, its former holders.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Slice {
    pub former: ::std::vec::Vec<Holding>,
    pub home: BoxId,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub successor: ::std::option::Option<BoxId>,
    ///grows whenever the home or the successor changes
    pub term: u64,
}
///Asks a former holder to let a slice go.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SliceAsk {
    pub epoch: Epoch,
    pub home: BoxId,
    pub incarnation: Incarnation,
    pub slice: SliceId,
    pub term: u64,
}
///Number of a slice of a failure domain's key space.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct SliceId(pub u16);
impl ::std::ops::Deref for SliceId {
    type Target = u16;
    fn deref(&self) -> &u16 {
        &self.0
    }
}
impl ::std::convert::From<SliceId> for u16 {
    fn from(value: SliceId) -> Self {
        value.0
    }
}
impl ::std::convert::From<u16> for SliceId {
    fn from(value: u16) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for SliceId {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for SliceId {
    type Err = <u16 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for SliceId {
    type Error = <u16 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for SliceId {
    type Error = <u16 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///A statement about one holding of a slice.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SliceNote {
    pub epoch: Epoch,
    pub home: BoxId,
    pub incarnation: Incarnation,
    ///how many call records the sender sent for the slice
    pub records: u32,
    pub slice: SliceId,
    ///whether the sender knows all calls of the slice
    pub synced: bool,
    pub term: u64,
    pub unknown_for: Millis,
}
///Leases of an endpoint's slots that a box gives back.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlotReturn {
    pub endpoint: EndpointIncarnation,
    ///Why they are given back.
    pub reason: SlotReturnReason,
    ///Number of leases.
    pub slots: u32,
}
///Why a lease of a slot is given back.
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
    PartialOrd
)]
pub enum SlotReturnReason {
    #[serde(rename = "ended")]
    Ended,
    #[serde(rename = "rejected")]
    Rejected,
    #[serde(rename = "unused")]
    Unused,
}
impl ::std::fmt::Display for SlotReturnReason {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Ended => f.write_str("ended"),
            Self::Rejected => f.write_str("rejected"),
            Self::Unused => f.write_str("unused"),
        }
    }
}
impl ::std::str::FromStr for SlotReturnReason {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "ended" => Ok(Self::Ended),
            "rejected" => Ok(Self::Rejected),
            "unused" => Ok(Self::Unused),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for SlotReturnReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for SlotReturnReason {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Requests for leases of slots of one endpoint, grants and returns.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlotUpdate {
    ///Requests for leases.
    pub asks: ::std::vec::Vec<PermitRequest>,
    pub from: BoxId,
    ///Granted leases.
    pub grants: ::std::vec::Vec<PermitGrant>,
    ///Whether a box other than that one forwarded this message.
    pub is_passed_on: bool,
    ///Address of the box that requests leases or gives them back.
    pub reply_to: ::std::string::String,
    ///Leases that are given back.
    pub returns: ::std::vec::Vec<SlotReturn>,
}
///Speeds of endpoints that a box observed itself.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SpeedUpdate {
    ///Latest answers of plain servers that are or were slow.
    pub answers: ::std::vec::Vec<AnswerTime>,
    ///Speeds of engines, those observed most recently.
    pub engines: ::std::vec::Vec<EngineSpeed>,
    pub from: BoxId,
}
///When an endpoint's process started, in Unix milliseconds of the endpoint's clock.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct StartTime(pub u64);
impl ::std::ops::Deref for StartTime {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<StartTime> for u64 {
    fn from(value: StartTime) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for StartTime {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for StartTime {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for StartTime {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for StartTime {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for StartTime {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Entry of the endpoint list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StateEntry {
    ///Name of the entry.
    pub name: ::std::string::String,
    ///Content of the entry, or null after its removal.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub text: ::std::option::Option<::std::string::String>,
}
///Platform state as the answering box read it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StateReply {
    pub endpoints: PackedEntries,
    ///Store revision of the last change to the endpoint list.
    pub endpoints_at: u64,
    ///Whether the box already answers as many requests as it can; the other fields are then empty and the requester has to try another box.
    pub is_busy: bool,
    ///Whether the entries are the complete list rather than changes.
    pub is_whole: bool,
    ///Configuration, or null if none newer than requested is known.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub table: ::std::option::Option<PackedTable>,
}
///Requests the platform state that another box has read.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StateRequest {
    ///Changes of the endpoint list after this revision are requested.
    pub endpoints_after: u64,
    ///The table is requested if it is newer than this version.
    pub table_after: u64,
}
///A box that reads the platform's store on behalf of others.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreReader {
    ///Address for other boxes, IP:PORT.
    pub address: ::std::string::String,
    ///Milliseconds since the store last answered it.
    pub age_ms: u32,
    pub domain: DomainId,
    pub id: BoxId,
}
///Hash by which boxes know a stream: of the service, the organisation and the caller's attempt that began it.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct StreamKey(pub u64);
impl ::std::ops::Deref for StreamKey {
    type Target = u64;
    fn deref(&self) -> &u64 {
        &self.0
    }
}
impl ::std::convert::From<StreamKey> for u64 {
    fn from(value: StreamKey) -> Self {
        value.0
    }
}
impl ::std::convert::From<u64> for StreamKey {
    fn from(value: u64) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for StreamKey {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for StreamKey {
    type Err = <u64 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for StreamKey {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for StreamKey {
    type Error = <u64 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///Asks which version began a stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StreamQuery {
    pub service: ServiceId,
    pub stream: StreamKey,
}
///The software version that began a stream.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StreamRecord {
    ///Time since a box sent the stream to an engine of the version, ms.
    pub age_ms: u32,
    ///Time for which the caller may still come back, ms.
    pub keep_ms: u32,
    pub stream: StreamKey,
    pub version: VersionId,
}
///Records of streams, queries for them, and answers.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StreamUpdate {
    ///Records that the receiver asked for.
    pub answers: ::std::vec::Vec<StreamRecord>,
    pub from: BoxId,
    ///Whether the receiver writes the records to the platform's store.
    pub is_for_store: bool,
    ///Whether the receiver holds the records itself; else it passes the message on in its failure domain.
    pub is_passed_on: bool,
    ///Streams that the receiver asked for, without a record, and the only version that can have begun them.
    pub presumed: ::std::vec::Vec<StreamRecord>,
    ///Queries.
    pub queries: ::std::vec::Vec<StreamQuery>,
    ///Records to hold.
    pub records: ::std::vec::Vec<StreamRecord>,
    ///Address of the box that asks.
    pub reply_to: ::std::string::String,
    ///Streams that the receiver asked for and whose service has had one version only.
    pub sole: ::std::vec::Vec<StreamKey>,
    ///Streams that the receiver asked for and that neither the sender nor the platform's store knows.
    pub unknown: ::std::vec::Vec<StreamKey>,
}
///A request handed to its home box.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Submit {
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub cursor: ::std::option::Option<Cursor>,
    pub hops: u16,
    pub receiver: Member,
    ///whether the receiver sent this request before
    pub repeated: bool,
    pub request: Request,
    ///chosen by the receiver, unique in its life
    pub subscription: u64,
}
///One generated token.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Token {
    pub id: u32,
    pub text: ::std::string::String,
}
///The copy holder holds an answer up to an offset.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TokenAck {
    pub finished: bool,
    pub generation: Generation,
    pub held: TokenOffset,
    pub key: RequestKey,
}
///Tokens copied to the copy holder before release.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TokenCopy {
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub finish: ::std::option::Option<Finish>,
    pub generation: Generation,
    pub handover: bool,
    pub key: RequestKey,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub mark: ::std::option::Option<AttemptMark>,
    pub offset: TokenOffset,
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub request: ::std::option::Option<Request>,
    pub tokens: ::std::vec::Vec<Token>,
}
///Position in an answer, in tokens.
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
    PartialOrd
)]
#[serde(transparent)]
pub struct TokenOffset(pub u32);
impl ::std::ops::Deref for TokenOffset {
    type Target = u32;
    fn deref(&self) -> &u32 {
        &self.0
    }
}
impl ::std::convert::From<TokenOffset> for u32 {
    fn from(value: TokenOffset) -> Self {
        value.0
    }
}
impl ::std::convert::From<u32> for TokenOffset {
    fn from(value: u32) -> Self {
        Self(value)
    }
}
impl ::std::fmt::Display for TokenOffset {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        self.0.fmt(f)
    }
}
impl ::std::str::FromStr for TokenOffset {
    type Err = <u32 as ::std::str::FromStr>::Err;
    fn from_str(value: &str) -> ::std::result::Result<Self, Self::Err> {
        Ok(Self(value.parse()?))
    }
}
impl ::std::convert::TryFrom<&str> for TokenOffset {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: &str) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<String> for TokenOffset {
    type Error = <u32 as ::std::str::FromStr>::Err;
    fn try_from(value: String) -> ::std::result::Result<Self, Self::Error> {
        value.parse()
    }
}
///The receiver of a copy lacks its start, or has moved on to a newer generation.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TokenRefused {
    pub generation: Generation,
    pub held: TokenOffset,
    pub key: RequestKey,
}
///A public key whose signatures count towards accepting a bundle.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TrustedKey {
    pub id: KeyId,
    pub public: ::std::string::String,
}
///Numbers of requests that began to run at a box or in a failure domain, sent to boxes that may have to report usage.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UsageCountUpdate {
    pub from: BoxId,
    pub incarnation: Incarnation,
    ///Failure domain whose sums these are; null for the counts of the sending box.
    #[serde(deserialize_with = "::std::option::Option::deserialize")]
    pub of_domain: ::std::option::Option<DomainId>,
    ///Time until which the counts are complete, in Unix milliseconds.
    pub until_ms: u64,
    ///Most recent windows.
    pub windows: ::std::vec::Vec<WindowCounts>,
}
///Recent changes of a box's load on endpoints, sent to the boxes of its failure domain.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UsageUpdate {
    ///Outcomes of attempts since the previous update.
    pub answers: ::std::vec::Vec<EndpointAnswers>,
    pub from: BoxId,
    ///Progress of roll-outs in the switch phase.
    pub rollouts: ::std::vec::Vec<RolloutProgress>,
    ///Answers of endpoints whose service has a roll-out.
    pub samples: ::std::vec::Vec<RolloutSample>,
    ///Counts for the services of which the box has running requests.
    pub totals: ::std::vec::Vec<ServiceTotals>,
    ///Total load of the box on each endpoint where an attempt began or ended.
    pub usage: ::std::vec::Vec<EndpointUsage>,
}
///The version of an endpoint's software.
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct VersionId(::std::string::String);
impl ::std::ops::Deref for VersionId {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<VersionId> for ::std::string::String {
    fn from(value: VersionId) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for VersionId {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 128usize {
            return Err("longer than 128 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for VersionId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VersionId {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for VersionId {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///The cost of one second of resume latency and of one second of extra engine work.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    pub extra_second: f64,
    pub resume_second: f64,
}
///Requests that began to run at a box in one usage window, windows being aligned to the wall clock.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WindowCounts {
    ///Counts by organisation.
    pub counts: ::std::vec::Vec<OrganisationCount>,
    ///Index of the window, counted from 1970.
    pub window: u64,
}
///A batch of accepted work as the platform keeps it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct WorkBatch {
    pub batch: BatchId,
    pub items: ::std::vec::Vec<Request>,
    pub results: ::std::collections::HashMap<::std::string::String, DeferredResult>,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
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

//! Events that a dispatcher handles: from callers, endpoints, the store, peers and the clock.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::UnixMillis;
use crate::gateway::dispatch::duty::ReportOutcome;
use crate::gateway::dispatch::duty::lease::DutyAnswer;
use crate::gateway::dispatch::duty::usage_counts::Window;
use crate::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use crate::gateway::dispatch::fleet::directives::AnswerDirectives;
use crate::gateway::dispatch::rollout::status::ObjectState;
use crate::gateway::dispatch::table::RoutingTable;
use crate::schema::{
    BoxState, ContactCheck, CrashUpdate, DepartureUpdate, DomainId, DutyHolder, EndpointId,
    EndpointIncarnation, EngineLoadReport, Fingerprint, IdentityUpdate, LimitUpdate, RequestAge,
    ServiceId, SlotUpdate, SpeedUpdate, StartTime, StoreReader, StreamRecord, StreamUpdate,
    UsageCountUpdate, UsageUpdate, VersionId,
};

/// Number that this box has given a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestNumber(pub u64);

impl fmt::Display for RequestNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of an attempt within its request, from 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptNumber(pub u32);

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A number of tokens.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Tokens(pub u32);

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a snapshot was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotFailure {
    /// The engine could not be reached or closed the connection.
    Unreachable,
    /// The engine answered that it took none, usually since the host has no room.
    Refused,
    /// No answer arrived within the time limit.
    Timeout,
    /// The answer names no snapshot.
    Unreadable,
}

impl fmt::Display for SnapshotFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Timeout => "timeout",
            Self::Unreadable => "unreadable",
        })
    }
}

/// Name of a snapshot, given by the engine that took it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotName(pub String);

impl fmt::Display for SnapshotName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Properties of a caller's request that decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Id that the caller gave this try; each try has its own.
    pub id: String,
    /// Host that the request names.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// Key that the caller sent, if any.
    pub key: Option<String>,
    /// Time that the caller waits, counted from the arrival of the request.
    pub timeout: Option<Duration>,
    /// Id of the event after which the caller wants a stream to continue.
    pub after_event: Option<u64>,
    /// The caller's earlier attempt that brought the first event of the stream to be continued.
    pub resumes: Option<String>,
    /// Ids by which engines know the parts of the prompt, in order.
    pub parts: Vec<String>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Maximum length of the output.
    pub output: Tokens,
    /// Fingerprint of the content, the same for every caller.
    pub content: Fingerprint,
}

/// Entry of an endpoint in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Id; a restarted endpoint has another one, or the same with a later start time.
    pub id: EndpointId,
    /// Start time of its process, if known.
    pub born: Option<StartTime>,
    /// Store revision at which the entry changed last, 0 if that is not known.
    pub revision: u64,
    /// Service to which the endpoint belongs.
    pub service: ServiceId,
    /// Version of the endpoint's software.
    pub version: VersionId,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new work.
    pub leaving: bool,
    /// Time that it stays slow from its start, counted from the change of the entry.
    pub warm_up: Duration,
}

impl EndpointSpec {
    /// Incarnation of the endpoint to which this entry belongs.
    #[must_use]
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// One change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The endpoint was added or changed.
    Present(EndpointSpec),
    /// The endpoint was removed from the list.
    Absent(EndpointId),
    /// The entry is invalid, so the endpoint can't be used.
    Unreadable(EndpointId),
}

/// Reason why an endpoint did not run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// The endpoint had no free slot, or the request's time was over.
    NoRoom,
    /// Another instance uses the endpoint's address; its id, if it gave one.
    OtherInstance(Option<EndpointId>),
    /// The endpoint has restarted since this box last knew its start time; the new one. The request
    /// was not sent.
    Restarted(StartTime),
    /// Another instance was found at the endpoint's address before the request was sent; its id.
    Replaced(EndpointId),
}

/// Lowest HTTP status that counts as a fault of the endpoint.
pub const LEAST_ERROR_STATUS: u16 = 500;

/// Result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint could not be reached; no byte of the request was sent.
    NotSent,
    /// The relay could not be used; no byte of the request was sent.
    RelayFailed,
    /// The endpoint reported that it did not run the request.
    NotRun(NotRunCause),
    /// A complete answer is buffered, ready to be passed on.
    Answered {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The stream completed.
    StreamEnded,
    /// The connection broke, or the answer was invalid.
    Broken(Fault),
    /// The dispatcher stopped the attempt.
    Stopped,
}

impl Outcome {
    /// Whether the request has not been sent, since its endpoint turned out to be another process.
    #[must_use]
    pub fn is_unsent_by_check(&self) -> bool {
        matches!(
            self,
            Self::NotRun(NotRunCause::Restarted(_) | NotRunCause::Replaced(_))
        )
    }

    /// Whether the request may have run at the endpoint.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotSent | Self::RelayFailed | Self::NotRun(_))
    }

    /// Name of the result in the decision log.
    #[must_use]
    pub fn word(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::RelayFailed => "relay_failed",
            Self::NotRun(NotRunCause::OtherInstance(_)) => "misdirected",
            Self::NotRun(NotRunCause::NoRoom) => "not_run",
            Self::NotRun(NotRunCause::Restarted(_)) => "restarted",
            Self::NotRun(NotRunCause::Replaced(_)) => "replaced",
            Self::Answered { .. } => "answered",
            Self::StreamEnded => "stream_ended",
            Self::Broken(Fault::Closed) => "closed",
            Self::Broken(Fault::Malformed) => "malformed",
            Self::Broken(Fault::Foreign) => "foreign",
            Self::Broken(Fault::Silent) => "silent",
            Self::Broken(Fault::RelayLost) => "relay_lost",
            Self::Stopped => "stopped",
        }
    }
}

/// Fault of an answer, or of a missing one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection was reset or closed.
    Closed,
    /// The bytes were no valid answer.
    Malformed,
    /// The answer belongs to another request.
    Foreign,
    /// Nothing arrived within the time limit.
    Silent,
    /// The tunnel broke at its relay.
    RelayLost,
}

/// What a probe of an endpoint showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// It answered within the time limit.
    Answered,
    /// It answered on a new connection, and an idle one stayed silent: open connections to it may have
    /// been lost without a reset.
    AnsweredAnew,
    /// It took a new connection and did not answer within the time limit.
    Silent,
    /// It took no new connection, or closed it without an answer.
    Unreachable,
}

impl ProbeResult {
    /// The result for an endpoint that says something whenever it is reached.
    #[must_use]
    pub fn of_reach(is_reached: bool) -> Self {
        if is_reached {
            Self::Answered
        } else {
            Self::Unreachable
        }
    }
}

/// Input of a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request has arrived.
    Arrived {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Properties of the request.
        arrival: Arrival,
    },
    /// The caller disconnected.
    CallerDisconnected(RequestNumber),
    /// A request is being sent on a connection; reported only for attempts with
    /// `reports_connection`.
    Connected {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Attempt that the event is about.
        attempt: AttemptNumber,
    },
    /// The head of a stream arrived.
    StreamOpened {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Attempt that the event is about.
        attempt: AttemptNumber,
    },
    /// The head of an answer states directives, or states no limit while one was in force.
    DirectivesRead {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Attempt that the event is about.
        attempt: AttemptNumber,
        /// Directives that the answer states.
        directives: AnswerDirectives,
    },
    /// An endpoint's answer to anything but an attempt states directives.
    EndpointDirectives {
        /// Endpoint that answered.
        endpoint: EndpointId,
        /// Directives that the answer states.
        directives: AnswerDirectives,
    },
    /// Events of a stream arrived.
    Progress {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Attempt that the event is about.
        attempt: AttemptNumber,
        /// Id of the last event that was passed on to the caller.
        last_event: u64,
    },
    /// An attempt ended.
    Ended {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Attempt that the event is about.
        attempt: AttemptNumber,
        /// Result of the attempt.
        outcome: Outcome,
    },
    /// A probe of an endpoint was answered, or timed out.
    Probed {
        /// Endpoint that was probed.
        endpoint: EndpointId,
        /// What it showed.
        result: ProbeResult,
        /// Start time of the endpoint's process, if the answer states it.
        born: Option<StartTime>,
    },
    /// An endpoint was checked after a broken connection.
    Checked {
        /// Incarnation of the endpoint that was checked.
        endpoint: EndpointIncarnation,
        /// Whether nothing listens at the endpoint's address any more.
        has_exited: bool,
    },
    /// This box connected to endpoints of a service to check its own path to them.
    PathChecked {
        /// Service to which the endpoints belong.
        service: ServiceId,
        /// Whether any of them accepted a connection.
        is_reached: bool,
    },
    /// This box could not connect to an endpoint for another box.
    RelayedConnectionFailed(EndpointId),
    /// A routing table was read.
    Table(Arc<RoutingTable>),
    /// The complete endpoint list was read.
    EndpointsListed {
        /// Endpoints with valid entries.
        specs: Vec<EndpointSpec>,
        /// Endpoints with invalid entries.
        unreadable: Vec<EndpointId>,
        /// Store revision at which the list changed last.
        at: u64,
    },
    /// The endpoint list changed.
    EndpointsChanged {
        /// Entries that changed.
        changes: Vec<EndpointChange>,
        /// Store revision of the last of these changes.
        at: u64,
    },
    /// Roll-out orders were read from the store.
    Rollouts {
        /// Objects that exist or have changed.
        objects: Vec<ObjectState>,
        /// Services whose object was removed.
        removed: Vec<ServiceId>,
        /// Whether `objects` is the complete list.
        is_whole: bool,
    },
    /// The list of quarantined requests was read from the platform's store.
    QuarantineRead(Vec<RequestAge>),
    /// The platform's store answered this box.
    StoreAnswered,
    /// Time of day, sent at intervals to boxes with a duty that needs it.
    TimeOfDay(UnixMillis),
    /// A peer reported how many requests began there.
    PeerUsageCounts(UsageCountUpdate),
    /// A peer reported the holder of the duty.
    PeerHolder(DutyHolder),
    /// The store answered a call of a duty, or the call failed.
    DutyAnswered {
        /// Number by which the duty knows the call.
        call: u64,
        /// Answer of the store, or its absence.
        answer: DutyAnswer,
    },
    /// A usage report ended.
    UsageReported {
        /// Window that was reported.
        window: Window,
        /// Result of the report.
        outcome: ReportOutcome,
    },
    /// A peer sent its state.
    Peer(BoxState),
    /// A peer reported usage of attempts that it has just begun or ended.
    PeerUsage(UsageUpdate),
    /// A peer reported requests that crash endpoints.
    PeerCrashes {
        /// Failure domain of the peer; `None` if it is certainly the own one.
        domain: Option<DomainId>,
        /// Reported crashes and verdicts.
        update: CrashUpdate,
    },
    /// The platform's store answered a peer that watches it.
    PeerStoreAnswer(StoreReader),
    /// A box asked whether it is in touch, or answered that.
    PeerContact(ContactCheck),
    /// A peer reported endpoints that are leaving.
    PeerDepartures(DepartureUpdate),
    /// A peer reported which processes are at the addresses of endpoints.
    PeerIdentities(IdentityUpdate),
    /// A peer sent or forwarded the load of another failure domain on engines.
    PeerLoad(EngineLoadReport),
    /// A peer reported speeds of endpoints.
    PeerSpeeds(SpeedUpdate),
    /// A peer reported endpoints that state limits.
    PeerLimits(LimitUpdate),
    /// A peer requests, grants or gives back leases of slots.
    PeerSlots(SlotUpdate),
    /// A peer sent records of streams, queries for them, or answers.
    PeerStreams(StreamUpdate),
    /// The records of streams in the platform's store were read.
    StreamsRead(Vec<StreamRecord>),
    /// A write of records of streams to the platform's store ended.
    StreamsSaved {
        /// Whether the store has taken them.
        is_saved: bool,
    },
    /// A fetch from a peer ended, with or without an answer.
    Fetched {
        /// Kind of data that was requested.
        kind: FetchKind,
        /// Address of the peer.
        from: SocketAddr,
        /// Result of the fetch.
        outcome: FetchOutcome,
    },
    /// The settings list other seeds.
    Seeds(Vec<SocketAddr>),
    /// A timer fired; see [`super::Dispatcher::next_tick`].
    Tick,
    /// The process was asked to stop.
    Stop {
        /// Time that the stop may take.
        grace: Duration,
    },
    /// The process at an endpoint's address reported its identity.
    IdentityReported {
        /// Endpoint to which the address belonged.
        endpoint: EndpointId,
        /// Endpoint that uses the address now.
        instance: EndpointId,
        /// Start time of that endpoint's process, if it states one.
        born: Option<StartTime>,
    },
    /// A process that took over an endpoint's address turned out to be a model engine.
    Identified(EndpointSpec),
    /// Endpoints answered which of them keeps a request's prompt.
    Located {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Endpoint that keeps the prompt, if any does.
        endpoint: Option<EndpointId>,
    },
    /// An engine answered a request for a snapshot of an attempt, or failed to.
    SnapshotTaken {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Attempt that the event is about.
        attempt: AttemptNumber,
        /// Endpoint that was to hold the snapshot.
        host: EndpointId,
        /// Name of the snapshot, or why it was not taken.
        name: Result<SnapshotName, SnapshotFailure>,
    },
}

//! What can happen to a dispatcher: events from callers, endpoints, the store, peers and the clock.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::UnixMillis;
use crate::gateway::dispatch::duty::ReportOutcome;
use crate::gateway::dispatch::duty::lease::DutyAnswer;
use crate::gateway::dispatch::duty::usage_counts::Window;
use crate::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use crate::gateway::dispatch::fleet::limits::RequestRate;
use crate::gateway::dispatch::rollout::status::ObjectState;
use crate::gateway::dispatch::table::RoutingTable;
use crate::schema::{
    BoxState, CrashUpdate, DomainId, DutyHolder, EndpointId, EndpointIncarnation, Fingerprint,
    LimitUpdate, RequestAge, ServiceId, StartTime, UsageCountUpdate, UsageUpdate, VersionId,
};

/// A request as this box numbers it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestNumber(pub u64);

impl fmt::Display for RequestNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One attempt of a request, counted from 1.
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

/// The name of a snapshot, as the engine that took it gave it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotName(pub String);

impl fmt::Display for SnapshotName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What decisions need to know of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The caller's id of this request; another try of the caller has another one.
    pub id: String,
    /// The host that was asked.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits, from its arrival on.
    pub timeout: Option<Duration>,
    /// The event after which the caller wants a stream to go on.
    pub after_event: Option<u64>,
    /// The parts of the prompt, by ids that engines know them by, in order.
    pub parts: Vec<String>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// The most tokens that may come out.
    pub output: Tokens,
    /// What is asked for, whoever asks.
    pub content: Fingerprint,
}

/// What the list of endpoints says of one of them.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSpec {
    /// Its id; a restarted endpoint has another one, or the same with a later birth.
    pub id: EndpointId,
    /// When its process started, if it says so.
    pub born: Option<StartTime>,
    /// The store's revision at which its entry changed last, 0 where that is not known.
    pub revision: u64,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The version of its software.
    pub version: VersionId,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

impl EndpointSpec {
    /// The life of the endpoint that this is about.
    #[must_use]
    pub fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// One change of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The endpoint is there, or has changed.
    Present(EndpointSpec),
    /// The endpoint is no longer listed.
    Absent(EndpointId),
    /// Its entry can't be read, so that it names no endpoint to use.
    Unreadable(EndpointId),
}

/// Why an endpoint did not run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NotRunCause {
    /// It has no room, or the time was over.
    NoRoom,
    /// Another instance has its address: this one, if it said so.
    OtherInstance(Option<EndpointId>),
}

/// The least status of an answer that tells of a fault of the endpoint.
pub const LEAST_ERROR_STATUS: u16 = 500;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// No byte of the request left this box.
    NotSent,
    /// The endpoint said that it did not run the request.
    NotRun(NotRunCause),
    /// A whole answer is held, ready to be passed on.
    Answered {
        /// Its status.
        status: u16,
    },
    /// The stream has ended whole.
    StreamEnded,
    /// The connection broke off, or what came was no proper answer.
    Broken(Fault),
    /// The dispatcher had it stopped.
    Stopped,
}

impl Outcome {
    /// The word for it in the decision log.
    #[must_use]
    pub fn word(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun(NotRunCause::OtherInstance(_)) => "misdirected",
            Self::NotRun(NotRunCause::NoRoom) => "not_run",
            Self::Answered { .. } => "answered",
            Self::StreamEnded => "stream_ended",
            Self::Broken(Fault::Closed) => "closed",
            Self::Broken(Fault::Malformed) => "malformed",
            Self::Broken(Fault::Foreign) => "foreign",
            Self::Broken(Fault::Silent) => "silent",
            Self::Stopped => "stopped",
        }
    }
}

/// What was wrong with an answer, or with its lack.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The connection was reset or closed.
    Closed,
    /// The bytes were no answer.
    Malformed,
    /// The answer belongs to another request.
    Foreign,
    /// Nothing came in time.
    Silent,
}

/// Anything that can happen to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request has arrived.
    Arrived {
        /// Its number.
        request: RequestNumber,
        /// The request.
        arrival: Arrival,
    },
    /// The caller has gone away.
    CallerDisconnected(RequestNumber),
    /// A request goes out on a connection, told where the attempt asks for it.
    Connected {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The head of a stream came.
    StreamOpened {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The head of an answer names a limit of requests a second, or names none though one was in
    /// force.
    LimitNamed {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// The limit.
        limit: Option<RequestRate>,
    },
    /// Events of a stream came.
    Progress {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// The id of the last event that was passed on.
        last_event: u64,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// How.
        outcome: Outcome,
    },
    /// An endpoint answered a probe, or didn't.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it answered in time.
        is_answered: bool,
        /// When its process started, if the answer says so.
        born: Option<StartTime>,
    },
    /// An endpoint was checked whose connection broke.
    Checked {
        /// The endpoint, in the life that was in question.
        endpoint: EndpointIncarnation,
        /// Whether nothing listens at its address any more.
        has_exited: bool,
    },
    /// A configuration was read.
    Table(Arc<RoutingTable>),
    /// The whole list of endpoints was read.
    EndpointsListed {
        /// All endpoints whose entries can be read.
        specs: Vec<EndpointSpec>,
        /// Those whose entries can't.
        unreadable: Vec<EndpointId>,
        /// The store's revision at which the list changed last.
        at: u64,
    },
    /// The list of endpoints has changed.
    EndpointsChanged {
        /// What has changed.
        changes: Vec<EndpointChange>,
        /// The store's revision at which it did.
        at: u64,
    },
    /// Objects of the store that order roll-outs were read.
    Rollouts {
        /// Those that are there, or that have changed.
        objects: Vec<ObjectState>,
        /// Services whose object is gone.
        gone: Vec<ServiceId>,
        /// Whether they are all there are.
        is_whole: bool,
    },
    /// Which requests are quarantined was read from the platform's store.
    QuarantineRead(Vec<RequestAge>),
    /// The platform's store answered this box.
    StoreAnswered,
    /// The time of day, now and then, where a duty asks for it.
    TimeOfDay(UnixMillis),
    /// Another box told how many requests began there.
    PeerUsageCounts(UsageCountUpdate),
    /// Another box told who holds the duty.
    PeerHolder(DutyHolder),
    /// The store answered a call that a duty made, or did not.
    DutyAnswered {
        /// The call's number.
        call: u64,
        /// The answer.
        answer: DutyAnswer,
    },
    /// A report of usage came to its end.
    UsageReported {
        /// The window.
        window: Window,
        /// How.
        outcome: ReportOutcome,
    },
    /// Another box sent its state.
    Peer(BoxState),
    /// Another box told of the attempts that it has just made.
    PeerUsage(UsageUpdate),
    /// Another box told of requests that crash endpoints.
    PeerCrashes {
        /// Its failure domain, if that is not the own one for sure.
        domain: Option<DomainId>,
        /// What it told.
        update: CrashUpdate,
    },
    /// Another box told of endpoints that name limits.
    PeerLimits(LimitUpdate),
    /// A fetch from another box has ended, with an answer or without.
    Fetched {
        /// What it was asked for.
        kind: FetchKind,
        /// Its address.
        from: SocketAddr,
        /// How that ended.
        outcome: FetchOutcome,
    },
    /// The settings name other boxes to speak to first.
    Seeds(Vec<SocketAddr>),
    /// Time has passed.
    Tick,
    /// The process is asked to stop.
    Stop {
        /// How long it may take.
        grace: Duration,
    },
    /// What has an endpoint's address said who it is.
    IdentityReported {
        /// The endpoint that had the address.
        endpoint: EndpointId,
        /// Who has it now.
        instance: EndpointId,
        /// When that one's process started, if it says so.
        born: Option<StartTime>,
    },
    /// An endpoint that took over an address turned out to be a model engine.
    Identified(EndpointSpec),
    /// Endpoints were asked which of them keeps a request's prompt.
    Located {
        /// The request.
        request: RequestNumber,
        /// The one that keeps it, if any does.
        endpoint: Option<EndpointId>,
    },
    /// An engine was asked for a snapshot of an attempt, and answered or didn't.
    SnapshotTaken {
        /// The request.
        request: RequestNumber,
        /// The attempt.
        attempt: AttemptNumber,
        /// The endpoint that was to hold it.
        host: EndpointId,
        /// The snapshot's name, if it was taken.
        name: Option<SnapshotName>,
    },
}

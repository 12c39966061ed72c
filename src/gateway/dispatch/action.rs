//! What a dispatcher wants done.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::dispatch::duty::SettledWindow;
use crate::gateway::dispatch::duty::lease::StoreCall;
use crate::gateway::dispatch::event::{AttemptNumber, EndpointSpec, RequestNumber, SnapshotName};
use crate::gateway::dispatch::fetches::FetchKind;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::replica::ReplicaLocation;
use crate::gateway::dispatch::rollout::status::StatusWrite;
use crate::schema::{
    BoxState, CrashUpdate, DutyHolder, EndpointId, EndpointIncarnation, Fingerprint, LimitUpdate,
    OrganisationId, StateRequest, UsageCountUpdate, UsageUpdate,
};

/// One attempt of a request at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Which one.
    pub attempt: AttemptNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// How much time is left for the answer.
    pub time_left: Duration,
    /// The organisation that the request belongs to.
    pub organisation: Option<OrganisationId>,
    /// The event after which the stream goes on.
    pub after_event: Option<u64>,
    /// The host of the mirror: where the engine copies its KV memory as it grows.
    pub mirror_to: Option<SocketAddr>,
    /// The replica that this attempt goes on from.
    pub resume_from: Option<ReplicaLocation>,
    /// How long to wait for a connection.
    pub connect_timeout: Duration,
    /// How long a connection that is used again may have rested.
    pub max_idle: Duration,
    /// Whether the dispatcher is to be told when the request goes out on a connection.
    pub reports_connection: bool,
    /// Whether the endpoint names a limit, so that the dispatcher is to be told if its answer does
    /// not.
    pub is_limited: bool,
}

/// What the task of a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request to an endpoint.
    Send(Box<Attempt>),
    /// Close the connection of an attempt.
    StopAttempt(AttemptNumber),
    /// Pass on the answer that is held; the request is over.
    Deliver,
    /// End the stream as complete; the request is over.
    Finish,
    /// Tell the caller that there will be no answer, or break off a stream that has begun.
    Refuse(Refusal),
}

/// A snapshot that an engine is to take of an attempt's KV memory.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotRequest {
    /// The request.
    pub request: RequestNumber,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The caller's id, by which the engine knows the attempt.
    pub run: String,
    /// The engine's address.
    pub engine: SocketAddr,
    /// The endpoint that is to hold the snapshot.
    pub host: EndpointId,
    /// The host's address.
    pub to: SocketAddr,
    /// How long to wait.
    pub limit: Duration,
}

/// Something a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Have the task of a request do something.
    Command {
        /// The request.
        request: RequestNumber,
        /// What.
        command: Command,
    },
    /// Ask an endpoint for its load report, to see whether it answers.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// How long to wait.
        limit: Duration,
    },
    /// Make a connection to an endpoint, to see whether it has ended.
    CheckExited {
        /// The endpoint, in the life that is in question.
        endpoint: EndpointIncarnation,
        /// Its address.
        address: SocketAddr,
        /// How long to wait.
        limit: Duration,
    },
    /// Ask engines which of them keeps a part of a prompt.
    Locate {
        /// The request.
        request: RequestNumber,
        /// The part.
        part: String,
        /// Whom to ask.
        among: Vec<(EndpointId, SocketAddr)>,
    },
    /// Have an engine take a snapshot of an attempt, which goes on meanwhile.
    TakeSnapshot(SnapshotRequest),
    /// Have an engine drop a snapshot that is not needed any more.
    DropSnapshot {
        /// The engine's address.
        engine: SocketAddr,
        /// The snapshot.
        name: SnapshotName,
    },
    /// Ask what has an endpoint's address who it is.
    RequestIdentity {
        /// The endpoint that had the address.
        spec: EndpointSpec,
        /// Where that is asked.
        path: String,
    },
    /// Find out whether what has an address now is a model engine.
    Identify(EndpointSpec),
    /// Close connections at rest to an address: what listens there has started again.
    CloseIdleConnections(SocketAddr),
    /// Begin or cease to watch the platform's store.
    WatchStore(bool),
    /// Begin or cease to watch the store's objects that order roll-outs.
    WatchRollouts(bool),
    /// Write the status of such an object.
    WriteRollout(StatusWrite),
    /// Read from the platform's store which requests are quarantined, until that succeeds.
    ReadQuarantine,
    /// Have the platform's store keep that a request is quarantined, or is so no more.
    SaveQuarantine {
        /// The request.
        request: Fingerprint,
        /// Whether it is.
        is_quarantined: bool,
    },
    /// Send this box's state to other boxes, by UDP.
    Gossip {
        /// Their addresses.
        to: Vec<SocketAddr>,
        /// The state of this box.
        state: Box<BoxState>,
        /// What it knows of requests that crash endpoints.
        crashes: CrashUpdate,
        /// Who holds the duty to report usage, as it knows.
        holder: Option<DutyHolder>,
    },
    /// Tell other boxes of the attempts that this one has just made, by UDP.
    GossipUsage {
        /// Their addresses.
        to: Vec<SocketAddr>,
        /// What runs there now.
        update: UsageUpdate,
        /// What it knows of requests that crash endpoints.
        crashes: CrashUpdate,
    },
    /// Tell boxes that may hold the duty how many requests began here, by UDP.
    PublishUsageCounts {
        /// Their addresses.
        to: Vec<SocketAddr>,
        /// What began.
        update: UsageCountUpdate,
    },
    /// Tell other boxes of endpoints that name limits, ask them for permits or grant some, by UDP.
    PublishLimits {
        /// Their addresses.
        to: Vec<SocketAddr>,
        /// What is told, asked and granted.
        update: LimitUpdate,
    },
    /// Call the store for a duty.
    CallDutyStore(StoreCall),
    /// Report the usage of a window.
    ReportUsage {
        /// The fencing token.
        token: u64,
        /// The window and its counts.
        window: SettledWindow,
    },
    /// Ask another box for what it read from the platform.
    FetchState {
        /// Its address.
        from: SocketAddr,
        /// What it is asked for.
        kind: FetchKind,
        /// What is wanted of that.
        wanted: StateRequest,
    },
    /// Read the table from the platform's store once, whether or not this box watches it.
    ReadTable,
    /// Write a line of the decision log.
    Record(Record),
}

//! Actions that a dispatcher returns for execution.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::dispatch::checks::CheckReason;
use crate::gateway::dispatch::duty::SettledWindow;
use crate::gateway::dispatch::duty::lease::StoreCall;
use crate::gateway::dispatch::event::{AttemptNumber, EndpointSpec, RequestNumber, SnapshotName};
use crate::gateway::dispatch::fetches::FetchKind;
use crate::gateway::dispatch::priority::Tier;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::replica::ReplicaLocation;
use crate::gateway::dispatch::rollout::status::StatusWrite;
use crate::schema::{
    BoxId, BoxState, ContactCheck, CrashUpdate, DepartureUpdate, DutyHolder, EndpointId,
    EndpointIncarnation, EngineLoadReport, Fingerprint, IdentityUpdate, LimitUpdate,
    OrganisationId, ServiceId, SlotUpdate, SpeedUpdate, StartTime, StateRequest, StoreReader,
    StreamRecord, StreamUpdate, UsageCountUpdate, UsageUpdate,
};

/// An endpoint, and the box through which it is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Box that relays; `None` for a direct connection.
    pub via: Option<SocketAddr>,
}

impl Target {
    /// An endpoint that is reached through the box at `via`, or directly.
    #[must_use]
    pub fn new(endpoint: EndpointId, address: SocketAddr, via: Option<SocketAddr>) -> Self {
        Self {
            endpoint,
            address,
            via,
        }
    }
}

/// Attempt of a request at an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Number of the attempt within its request.
    pub attempt: AttemptNumber,
    /// Endpoint that runs the attempt.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Box that relays the attempt; `None` for a direct connection.
    pub via: Option<SocketAddr>,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Organisation to which the request belongs, if known.
    pub organisation: Option<OrganisationId>,
    /// Rank of the request, if the configuration distinguishes ranks.
    pub tier: Option<Tier>,
    /// Id of the event after which the stream continues, if the caller has events already.
    pub after_event: Option<u64>,
    /// Host of the mirror, to which the engine copies its KV memory as it grows.
    pub mirror_to: Option<SocketAddr>,
    /// Replica from which this attempt continues.
    pub resume_from: Option<ReplicaLocation>,
    /// Start time that the endpoint's process must report before it gets the request; `None` if that is
    /// not checked.
    pub expected_start: Option<StartTime>,
    /// Path at which the endpoint must name itself before it gets the request; `None` if that is not
    /// checked.
    pub identity_path: Option<String>,
    /// Time limit for the connection.
    pub connect_timeout: Duration,
    /// Maximum idle time of a connection that is reused.
    pub max_idle: Duration,
    /// Maximum number of idle connections that this box keeps to the endpoint.
    pub max_idle_connections: usize,
    /// Whether [`super::event::Event::Connected`] is to be sent when the request goes out.
    pub reports_connection: bool,
    /// Whether the endpoint has stated a limit or a tolerance, so that an answer without one is to be
    /// reported.
    pub is_limited: bool,
}

/// Instruction to the task of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request to an endpoint.
    Send(Box<Attempt>),
    /// Close the connection of an attempt.
    StopAttempt(AttemptNumber),
    /// Pass on the buffered answer; the request ends.
    Deliver,
    /// End the stream as complete; the request ends.
    Finish,
    /// Refuse the request, or break off a stream that has begun.
    Refuse(Refusal),
}

/// Request to an engine for a snapshot of an attempt's KV memory.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotRequest {
    /// Number of the request on this box.
    pub request: RequestNumber,
    /// Attempt of which the snapshot is taken.
    pub attempt: AttemptNumber,
    /// Id that the caller gave the request, by which the engine knows the attempt.
    pub run: String,
    /// The engine.
    pub engine: Target,
    /// Endpoint that is to hold the snapshot.
    pub host: EndpointId,
    /// Address of the host.
    pub to: SocketAddr,
    /// Time limit for the answer.
    pub limit: Duration,
}

/// Output of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give an instruction to the task of a request.
    Command {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Instruction for the task.
        command: Command,
    },
    /// Request an endpoint's load report, to find out whether it answers.
    Probe {
        /// Why it is probed.
        reason: CheckReason,
        /// Endpoint that is probed.
        endpoint: EndpointId,
        /// Address of the endpoint.
        address: SocketAddr,
        /// Box that relays the request; `None` for a direct connection.
        via: Option<SocketAddr>,
        /// Time limit for the answer.
        limit: Duration,
    },
    /// Connect to some endpoints of a service, to find out whether this box can reach any.
    CheckPath {
        /// Service to which the endpoints belong.
        service: ServiceId,
        /// The endpoints and their addresses.
        endpoints: Vec<(EndpointId, SocketAddr)>,
        /// Time limit for a connection.
        limit: Duration,
    },
    /// Connect to an endpoint, to find out whether its process has exited.
    CheckExited {
        /// Incarnation of the endpoint that is checked.
        endpoint: EndpointIncarnation,
        /// Address of the endpoint.
        address: SocketAddr,
        /// Box that connects for this one; `None` for a direct connection.
        via: Option<SocketAddr>,
        /// Time limit for the answer.
        limit: Duration,
    },
    /// Ask engines which of them keeps a part of a prompt.
    Locate {
        /// Number of the request on this box.
        request: RequestNumber,
        /// Id of the part of the prompt.
        part: String,
        /// Engines that are asked.
        among: Vec<(EndpointId, SocketAddr)>,
        /// Box that relays the requests; `None` for direct connections.
        via: Option<SocketAddr>,
    },
    /// Request a snapshot of an attempt from its engine; the attempt continues.
    TakeSnapshot(SnapshotRequest),
    /// Send a box requests for leases of slots, grants or returns.
    PublishSlots {
        /// Address of the box.
        to: SocketAddr,
        /// The message.
        update: SlotUpdate,
    },
    /// Send a box records of streams, queries for them, or answers.
    PublishStreams {
        /// Address of the box.
        to: SocketAddr,
        /// The message.
        update: StreamUpdate,
    },
    /// Read the records of streams in the platform's store, with retries until it succeeds.
    ReadStreams,
    /// Write a segment of the records of streams of this failure domain to the platform's store.
    SaveStreams {
        /// The records; they replace those that the object held.
        records: Vec<StreamRecord>,
        /// Name of the object, which only this process writes.
        name: String,
        /// Whether this is the first write of the object.
        is_first: bool,
    },
    /// Tell an engine to drop a snapshot that is not needed any more.
    DropSnapshot {
        /// The engine.
        engine: Target,
        /// Name of the snapshot.
        name: SnapshotName,
    },
    /// Request the identity of the process at an endpoint's address.
    RequestIdentity {
        /// Entry of the endpoint to which the address belonged.
        spec: EndpointSpec,
        /// Path of the identity request.
        path: String,
    },
    /// Find out whether the process at an address is a model engine.
    Identify(EndpointSpec),
    /// Close idle connections to an address, whose process has restarted.
    CloseIdleConnections(SocketAddr),
    /// Start or stop watching the platform's store.
    WatchStore(bool),
    /// Start or stop watching the store's roll-out orders.
    WatchRollouts(bool),
    /// Write the status of a roll-out order.
    WriteRollout(StatusWrite),
    /// Read the quarantined requests from the platform's store, with retries until it succeeds.
    ReadQuarantine,
    /// Record in the platform's store whether a request is quarantined.
    SaveQuarantine {
        /// Fingerprint of the request.
        request: Fingerprint,
        /// Whether the request is quarantined from now on.
        is_quarantined: bool,
    },
    /// Send this box's state to peers by UDP.
    Gossip {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// State of this box.
        state: Box<BoxState>,
        /// Reports and verdicts on requests that crash endpoints.
        crashes: CrashUpdate,
        /// Holder of the duty to report usage, as far as this box knows.
        holder: Option<DutyHolder>,
    },
    /// Publish the usage of attempts that have just begun or ended to peers by UDP.
    GossipUsage {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// Current usage of the endpoints concerned.
        update: UsageUpdate,
        /// Reports and verdicts on requests that crash endpoints.
        crashes: CrashUpdate,
    },
    /// Send the number of requests that began here to the boxes that may hold the duty, by UDP.
    PublishUsageCounts {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// Counts of requests that began.
        update: UsageCountUpdate,
    },
    /// Send peers which processes are at the addresses of endpoints, by UDP.
    PublishIdentities {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// The reports.
        update: IdentityUpdate,
    },
    /// Send peers the endpoints that said to this box that they are leaving, by UDP.
    PublishDepartures {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// Endpoints that are leaving.
        update: DepartureUpdate,
    },
    /// Tell peers of the own domain by UDP that the platform's store has just answered this box.
    PublishStoreAnswer {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// This box as a watcher of the store.
        watcher: StoreReader,
    },
    /// Send a question about the contact of this box, or the answer to one, by UDP.
    PublishContact {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// The question or answer.
        check: ContactCheck,
    },
    /// Send peers the load of a failure domain on engines by UDP.
    PublishLoad {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// This box.
        from: BoxId,
        /// Load of the own failure domain, or of another one that is forwarded.
        report: EngineLoadReport,
    },
    /// Send peers the speeds of endpoints that this box observed, by UDP.
    PublishSpeeds {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// Observed speeds.
        update: SpeedUpdate,
    },
    /// Send peers the limits of endpoints, permit requests and granted permits by UDP.
    PublishLimits {
        /// Addresses of the receivers.
        to: Vec<SocketAddr>,
        /// Limits, permit requests and granted permits.
        update: LimitUpdate,
    },
    /// Make a store call that a duty needs.
    CallDutyStore(StoreCall),
    /// Report the usage of a window.
    ReportUsage {
        /// Fencing token of the duty's lease.
        token: u64,
        /// Window with its final counts.
        window: SettledWindow,
    },
    /// Request a peer's copy of the platform's data.
    FetchState {
        /// Address of the peer.
        from: SocketAddr,
        /// Kind of data that is requested.
        kind: FetchKind,
        /// Versions after which data is wanted.
        wanted: StateRequest,
    },
    /// Read the table from the platform's store once, whether or not this box watches the store.
    ReadTable,
    /// Write a line to the decision log.
    Record(Record),
}

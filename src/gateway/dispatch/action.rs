//! What a dispatcher wants done.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::dispatch::event::{AttemptNumber, EndpointSpec, RequestNumber, SnapshotName};
use crate::gateway::dispatch::peers::FetchKind;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::replica::ReplicaLocation;
use crate::schema::{BoxState, EndpointId, OrganisationId, StateRequest, UsageNews};

/// One sending of a request.
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
    /// Where the memory of the run is to be copied.
    pub mirror_to: Option<SocketAddr>,
    /// The copy that this sending goes on from.
    pub resume_from: Option<ReplicaLocation>,
    /// How long to wait for a connection.
    pub connect_limit: Duration,
    /// How long a connection that is used again may have rested.
    pub longest_rest: Duration,
}

/// What the task of a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send the request to an endpoint.
    Send(Box<Attempt>),
    /// Close the connection of the running sending.
    StopAttempt(AttemptNumber),
    /// Pass on the answer that is held; the request is over.
    Deliver,
    /// End the stream as complete; the request is over.
    Finish,
    /// Tell the caller that there will be no answer, or break off a stream that has begun.
    Refuse(Refusal),
}

/// Something a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tell the task of a request something.
    Command {
        /// The request.
        request: RequestNumber,
        /// What.
        command: Command,
    },
    /// Ask an endpoint how it stands.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddr,
        /// How long to wait.
        limit: Duration,
    },
    /// Ask endpoints which of them keeps a part of a prompt.
    Locate {
        /// The request.
        request: RequestNumber,
        /// The part.
        part: String,
        /// Whom to ask.
        among: Vec<(EndpointId, SocketAddr)>,
    },
    /// Have an engine copy the memory of a run, which goes on meanwhile.
    TakeSnapshot {
        /// The request.
        request: RequestNumber,
        /// The sending whose run it is.
        attempt: AttemptNumber,
        /// The caller's id, by which the engine knows the run.
        run: String,
        /// The engine's address.
        engine: SocketAddr,
        /// The endpoint that is to hold the copy.
        host: EndpointId,
        /// The holder's address.
        to: SocketAddr,
        /// How long to wait.
        limit: Duration,
    },
    /// Have an engine drop a copy that is not needed any more.
    DropSnapshot {
        /// The engine's address.
        engine: SocketAddr,
        /// The copy.
        name: SnapshotName,
    },
    /// Ask what has an endpoint's address who it is.
    AskIdentity {
        /// The endpoint that had the address.
        spec: EndpointSpec,
        /// Where that is asked.
        path: String,
    },
    /// Find out whether what has an address now is a model engine.
    Identify(EndpointSpec),
    /// Begin or cease to read the platform's store.
    WatchStore(bool),
    /// Tell other boxes how this one stands, by UDP.
    Gossip {
        /// Their addresses.
        to: Vec<SocketAddr>,
        /// How this box stands.
        state: Box<BoxState>,
    },
    /// Tell other boxes what this one has just sent to endpoints, by UDP.
    GossipUsage {
        /// Their addresses.
        to: Vec<SocketAddr>,
        /// What was sent.
        news: UsageNews,
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
    /// Write a line of the decision log.
    Record(Record),
}

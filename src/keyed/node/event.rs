//! What can happen to a node.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::keyed::bundle::{Bundle, SignedBundle};
use crate::schema::{
    Attempt, BoxId, BundleVersion, Cursor, DomainId, EndpointId, Finish, FleetList, Generation,
    Heartbeat, Incarnation, LoadReport, Micros, PeerMessage, Request, RequestKey, ServiceAnswer,
    Token,
};

/// The name of one run of a generation on an engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StreamId {
    /// The request.
    pub key: RequestKey,
    /// The producer's term.
    pub generation: Generation,
    /// The run within that term.
    pub attempt: Attempt,
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.key, self.generation, self.attempt)
    }
}

/// A text that is not the name of a stream.
#[derive(Debug)]
pub struct BadStreamId;

impl FromStr for StreamId {
    type Err = BadStreamId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.rsplitn(3, '.');
        let mut next = || fields.next().ok_or(BadStreamId);
        let attempt = next()?.parse().map_err(|_| BadStreamId)?;
        let generation = next()?.parse().map_err(|_| BadStreamId)?;
        let key = next()?.parse().map_err(|_| BadStreamId)?;
        Ok(Self {
            key,
            generation,
            attempt,
        })
    }
}

/// A point in time that a part of the node asked to be woken at.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Timer {
    /// Send heartbeats and look after what is overdue.
    Heartbeat,
    /// Read the roster, and so renew the lease.
    Roster,
    /// Ask endpoints for their load.
    Poll,
    /// Look whether an attempt has been silent for too long.
    Suspect(StreamId),
    /// Try a generation or a call again.
    Retry(RequestKey),
    /// Give up waiting for the successor's word on a call.
    Intent(RequestKey),
    /// Look whether a caller's request is still in good hands.
    Inbound(u64),
    /// Write the group of deferrable requests that has gathered.
    Flush,
    /// Watch for a new bundle.
    Bundle,
}

/// What a caller does.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// Sends a request, or comes back for the rest of its answer.
    Submit {
        /// The request.
        request: Request,
        /// Where the caller stands in the answer.
        cursor: Option<Cursor>,
    },
    /// Sends a request that may be answered later.
    Defer(Request),
    /// Asks for the result of a deferrable request.
    Lookup(RequestKey),
    /// Has gone away.
    Gone,
}

/// Why a run of a generation on an engine failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineFailure {
    /// No connection could be made.
    Unreachable,
    /// The engine has no room.
    Busy,
    /// The engine is leaving and takes no new work.
    Leaving,
    /// The engine doesn't know the stream that was to be resumed.
    Gone,
    /// The connection broke, or the stream ended without an end mark.
    Broken,
    /// The engine sent what can't belong to the stream.
    Garbled,
}

/// What an engine sends on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The engine has taken the request.
    Opened,
    /// Tokens from an offset on.
    Tokens {
        /// The offset of the first of them in the answer.
        offset: usize,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// The answer is complete.
    Finished(Finish),
    /// The run failed.
    Failed(EngineFailure),
}

/// Why a call was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotSent {
    /// The lease had run out right before the call.
    LeaseOver,
    /// No connection could be made.
    Unreachable,
    /// The service said that it did not run the call.
    Busy,
}

/// How a plain service's call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceOutcome {
    /// An answer came.
    Answered(ServiceAnswer),
    /// No byte of the call can have been acted on.
    NotSent(NotSent),
    /// The call was sent and no answer came.
    Lost,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheChange {
    /// The hash of the prompt blocks up to this one.
    pub block: u64,
    /// Whether the block was stored, or else evicted.
    pub stored: bool,
}

/// An endpoint's load, or `None` if it didn't answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The load.
    pub report: LoadReport,
    /// Changes of the prefix cache since the last report, with gaps.
    pub cache: Vec<CacheChange>,
}

/// An object as the platform keeps it.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// Its version, which grows with every write.
    pub version: u64,
    /// Its content.
    pub value: String,
}

/// What the platform answered.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformAnswer {
    /// An object was read.
    Object(Object),
    /// The write was made and gave this version.
    Written(u64),
    /// The object or the list still has the version that is known.
    Unchanged,
    /// The names of objects.
    Names(Vec<String>),
    /// The list of boxes and endpoints.
    Fleet(FleetList),
    /// There is no such object.
    Missing,
    /// The object has another version than was expected.
    Conflict,
    /// The platform asks for fewer calls; nothing was done.
    Throttled,
    /// No answer came; a write may have been made.
    NoAnswer,
}

/// Anything that can happen to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts.
    Start,
    /// A timer has run out.
    Timer(Timer),
    /// A caller did something on a connection.
    Caller {
        /// The connection, numbered anew for every request.
        connection: u64,
        /// What it did.
        event: CallerEvent,
    },
    /// A message of another box came.
    Peer {
        /// The sender.
        from: BoxId,
        /// The sender's life.
        incarnation: Incarnation,
        /// What it says.
        message: PeerMessage,
    },
    /// The connection to another box broke or could not be made.
    PeerLost(BoxId),
    /// A heartbeat came.
    Heartbeat(Box<Heartbeat>),
    /// An engine sent something on a stream.
    Engine {
        /// The stream.
        stream: StreamId,
        /// What came.
        event: EngineEvent,
    },
    /// A call of a plain service ended.
    Service {
        /// The request.
        key: RequestKey,
        /// Which run of the request.
        attempt: Attempt,
        /// How it ended.
        outcome: ServiceOutcome,
    },
    /// An endpoint answered, or didn't answer, a poll.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its load.
        load: Option<Load>,
    },
    /// The platform answered, or didn't answer, a call.
    Platform {
        /// The number that the call was given.
        id: u64,
        /// When the call was made.
        asked: Micros,
        /// What came of it.
        answer: PlatformAnswer,
    },
    /// A bundle was fetched, and its signatures and parts hold.
    Bundle {
        /// The indexed bundle.
        bundle: Arc<Bundle>,
        /// The bundle as it was signed, for peers that ask.
        signed: Arc<SignedBundle>,
    },
    /// A bundle could not be fetched, or must not be used.
    BundleFailed {
        /// The version.
        version: BundleVersion,
        /// Why.
        reason: String,
    },
    /// The box is asked to stop.
    Stop,
}

/// The name of a failure domain's roster in the platform.
#[must_use]
pub fn roster_name(domain: &DomainId) -> String {
    format!("rosters/{domain}")
}

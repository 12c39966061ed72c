//! What a node wants done.

use std::sync::Arc;

use crate::keyed::bundle::SignedBundle;
use crate::keyed::node::event::{StreamId, Timer};
use crate::schema::{
    AdapterId, AnswerDigest, Attempt, BundleMark, CallName, DeferredStatus, DomainId, EndpointId,
    Epoch, Finish, Generation, Heartbeat, Kept, Member, Micros, ModelId, PeerMessage, Priority,
    Refusal, RequestKey, ServiceAnswer, ServiceId, Token, TokenOffset,
};

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Tokens of the answer.
    Tokens {
        /// The producer's term.
        generation: Generation,
        /// The offset after the last of the tokens.
        end: TokenOffset,
        /// The answer's digest after the last of them.
        digest: AnswerDigest,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// The answer is complete.
    Finished(Finish),
    /// The request is given up.
    Refused(Refusal),
    /// The plain service's answer.
    Answered(ServiceAnswer),
    /// The deferrable request will be finished.
    Accepted(Kept),
    /// How a deferrable request stands.
    Status(DeferredStatus),
}

/// A generation to be run on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStart {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: String,
    /// The name of the run.
    pub stream: StreamId,
    /// The engine's own name of a stream to attach to, instead of a new run.
    pub attach: Option<String>,
    /// The model.
    pub model: ModelId,
    /// The adapter.
    pub adapter: Option<AdapterId>,
    /// The prompt.
    pub prompt: String,
    /// The tokens that the answer has already.
    pub tokens: Vec<Token>,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The class of the request.
    pub priority: Priority,
    /// The engine that holds the KV cache of this generation, if importing it is the cheaper.
    pub import_from: Option<String>,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceCall {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: String,
    /// The service.
    pub service: ServiceId,
    /// The call.
    pub call: CallName,
    /// The request.
    pub key: RequestKey,
    /// Which run of it.
    pub attempt: Attempt,
    /// The body.
    pub body: String,
    /// The point after which the call must not be sent any more.
    pub not_after: Option<Micros>,
    /// The point at which the answer counts as lost.
    pub give_up: Micros,
    /// The fence for endpoints that check it.
    pub epoch: Epoch,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: String,
    /// The fence.
    pub epoch: Epoch,
    /// The model to load.
    pub model: ModelId,
    /// The version to load.
    pub version: u32,
    /// The point after which the order must not be sent any more.
    pub not_after: Micros,
}

/// What a write expects of the object it replaces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// There is none.
    Absent,
    /// It has this version.
    Version(u64),
}

/// A call of the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformOp {
    /// Reads an object, unless it still has the version that is known.
    Get {
        /// Its name.
        name: String,
        /// The version that is known.
        known: Option<u64>,
    },
    /// Writes an object.
    Put {
        /// Its name.
        name: String,
        /// What must be there before.
        expect: Expect,
        /// Its content.
        value: String,
    },
    /// Deletes an object whatever its version.
    Delete(String),
    /// Lists the names that start with a prefix.
    List(String),
    /// Reads the list of a failure domain's boxes and endpoints, unless it still has the version
    /// that is known.
    Fleet {
        /// The failure domain.
        domain: DomainId,
        /// The version that is known.
        known: u64,
    },
    /// Waits until an object has a greater version, and reads it.
    Watch {
        /// Its name.
        name: String,
        /// The version it has now.
        after: u64,
    },
}

/// Something a node wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Tell a caller something.
    Reply {
        /// The connection.
        connection: u64,
        /// What to say.
        reply: Reply,
    },
    /// Send a message to another box by TCP.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Send a heartbeat by UDP.
    Beat {
        /// The receivers' addresses.
        to: Vec<String>,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// Run a generation on an engine.
    StartEngine(Box<EngineStart>),
    /// Stop a run of a generation.
    CancelEngine {
        /// The engine's address.
        address: String,
        /// The engine's name of the run.
        stream: String,
    },
    /// Call a plain service.
    CallService(Box<ServiceCall>),
    /// Ask an endpoint for its load.
    PollLoad {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: String,
    },
    /// Give an endpoint an order.
    Order(Box<Order>),
    /// Call the platform.
    Platform {
        /// The number by which the answer is known.
        id: u64,
        /// The call.
        op: PlatformOp,
    },
    /// Fetch a bundle.
    FetchBundle {
        /// Which.
        mark: BundleMark,
        /// The text of the manifest and the parts that a peer sent, instead of the platform.
        from_peer: Option<Arc<SignedBundle>>,
    },
    /// Wake the node later.
    SetTimer {
        /// What for.
        timer: Timer,
        /// When.
        at: Micros,
    },
    /// Put an event on the time line.
    Note {
        /// What happened.
        event: &'static str,
        /// What it is about.
        subject: String,
        /// Anything else.
        detail: String,
    },
    /// All is handed over; the process may end.
    Exit,
}

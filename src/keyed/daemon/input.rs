//! What the control thread is told, and what it tells of itself: the types that it shares with the
//! traffic threads.

use tokio::sync::{mpsc, oneshot};

use crate::keyed::node::action::Reply;
use crate::keyed::node::event::{CallerEvent, Event};

/// Something for the control thread.
pub enum Input {
    /// An event for the node.
    Event(Event),
    /// A caller's request, and where its replies go.
    Caller {
        /// The connection, numbered anew for every request.
        connection: u64,
        /// The request.
        event: CallerEvent,
        /// Where replies go.
        replies: mpsc::Sender<Reply>,
    },
    /// Asks for how the box stands.
    Status(oneshot::Sender<Status>),
}

/// How a box stands.
#[derive(Clone, Debug, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// The box.
    pub box_id: String,
    /// Its failure domain.
    pub domain: String,
    /// Its life.
    pub incarnation: u64,
    /// The epoch of its failure domain's roster.
    pub epoch: u64,
    /// The version of the bundle in force.
    pub bundle: Option<u64>,
    /// Whether it is ready for callers.
    pub ready: bool,
    /// The live boxes of its failure domain.
    pub live: Vec<String>,
    /// Slices that it has opened.
    pub open_slices: usize,
    /// Answers that it holds.
    pub answers: usize,
    /// Callers that wait.
    pub callers: usize,
    /// Endpoints that are leaving.
    pub leaving: Vec<String>,
}

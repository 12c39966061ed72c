//! Inputs of the control thread, sent by all other tasks.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};

use crate::gateway::dispatch::action::Command;
use crate::gateway::dispatch::event::{Arrival, Event, RequestNumber};
use crate::schema::{EndpointId, RelayReply};

/// Message to the control thread.
pub enum Input {
    /// Passes an event to the dispatcher.
    Event(Event),
    /// Starts a caller's request.
    Arrived {
        /// Number that this box has given the request.
        request: RequestNumber,
        /// Properties of the request that decisions depend on.
        arrival: Arrival,
        /// Channel for the dispatcher's commands to the task of the request.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// Another box requests a tunnel to an endpoint.
    RelayRequested {
        /// The endpoint.
        endpoint: EndpointId,
        /// Channel for its address, or for the reason why this box doesn't relay.
        reply: oneshot::Sender<Result<SocketAddr, RelayReply>>,
    },
    /// Ends the control thread, after which the process exits.
    Exit,
}

//! Inputs of the control thread, sent by all other tasks.

use tokio::sync::mpsc;

use crate::gateway::dispatch::action::Command;
use crate::gateway::dispatch::event::{Arrival, Event, RequestNumber};

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
    /// Ends the control thread, after which the process exits.
    Exit,
}

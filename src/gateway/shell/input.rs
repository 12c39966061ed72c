//! The inputs of the control thread, from all other tasks.

use tokio::sync::mpsc;

use crate::gateway::dispatch::action::Command;
use crate::gateway::dispatch::event::{Arrival, Event, RequestNumber};

/// Something for the control thread.
pub enum Input {
    /// An event for the dispatcher.
    Event(Event),
    /// A caller's request, and where the commands for it go.
    Arrived {
        /// Its number.
        request: RequestNumber,
        /// The request.
        arrival: Arrival,
        /// Where commands go.
        commands: mpsc::UnboundedSender<Command>,
    },
    /// The process is about to end.
    Exit,
}

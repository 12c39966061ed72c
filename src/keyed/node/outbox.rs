//! Collects a node's actions; messages to itself come back without leaving the node.

use std::collections::VecDeque;
use std::fmt::Display;

use crate::keyed::node::action::{Action, PlatformOp, Reply};
use crate::keyed::node::event::Timer;
use crate::schema::{BoxId, Member, Micros, PeerMessage};

/// The actions of one step.
#[derive(Debug)]
pub struct Outbox {
    me: BoxId,
    actions: Vec<Action>,
    loopback: VecDeque<PeerMessage>,
    next_call: u64,
}

impl Outbox {
    /// Makes an empty outbox of the box `me`.
    #[must_use]
    pub fn new(me: BoxId) -> Self {
        Self {
            me,
            actions: Vec::new(),
            loopback: VecDeque::new(),
            next_call: 0,
        }
    }

    /// Adds an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message to a box, which may be this one.
    pub fn send(&mut self, to: &Member, message: impl Into<PeerMessage>) {
        let message = message.into();
        if to.id == self.me {
            self.loopback.push_back(message);
        } else {
            self.push(Action::Send {
                to: to.clone(),
                message: Box::new(message),
            });
        }
    }

    /// Tells a caller something.
    pub fn reply(&mut self, connection: u64, reply: Reply) {
        self.push(Action::Reply { connection, reply });
    }

    /// Calls the platform and returns the call's number.
    pub fn platform(&mut self, op: PlatformOp) -> u64 {
        self.next_call += 1;
        self.push(Action::Platform {
            id: self.next_call,
            op,
        });
        self.next_call
    }

    /// Asks to be woken.
    pub fn timer(&mut self, timer: Timer, at: Micros) {
        self.push(Action::SetTimer { timer, at });
    }

    /// Puts an event on the time line.
    #[allow(clippy::needless_pass_by_value)] // Callers hand over what `format!` made.
    pub fn note(&mut self, event: &'static str, subject: impl Display, detail: impl Display) {
        self.push(Action::Note {
            event,
            subject: subject.to_string(),
            detail: detail.to_string(),
        });
    }

    /// Takes the next message that the node sent to itself.
    pub fn next_own(&mut self) -> Option<PeerMessage> {
        self.loopback.pop_front()
    }

    /// Takes all actions.
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

//! A planned stop: the box leaves the roster, hands over what it has, lets its callers' streams
//! end or go on at their new homes, and only then exits.

use std::time::Duration;

use crate::keyed::node::Node;
use crate::keyed::node::action::Action;
use crate::keyed::node::answers::Role;
use crate::keyed::node::roster;
use crate::schema::{BoxId, Micros, Moved, RequestKey};

/// How often work that isn't written yet is handed over during a stop.
const HAND_OVER_AGAIN: Duration = Duration::from_secs(1);

/// How far a stop has got.
#[derive(Debug, Default)]
pub struct Stopping {
    begun: Option<Micros>,
    handed_over: Option<Micros>,
    exited: bool,
}

impl Stopping {
    /// Whether the box has been asked to stop.
    #[must_use]
    pub fn is_begun(&self) -> bool {
        self.begun.is_some()
    }
}

impl Node {
    /// The box is asked to stop.
    pub(super) fn on_stop(&mut self) {
        if self.stopping.is_begun() {
            return;
        }
        self.stopping.begun = Some(self.now);
        self.membership.stop();
        let me = self.cfg.me.id.clone();
        self.out.note("box_stopping", &me, "");
        self.leave_roster();
        self.hand_over_answers();
        self.progress_stop();
    }

    fn leave_roster(&mut self) {
        let me = self.cfg.me.clone();
        let Some(view) = self
            .membership
            .own()
            .cloned()
            .filter(|_| self.membership.is_listed())
        else {
            return;
        };
        let mark = self.new_mark();
        let next = roster::remove(
            &view.roster,
            &[(me.id.clone(), me.incarnation)],
            &me.id,
            mark,
        );
        self.write_roster(&next);
    }

    /// Hands every generation over to the box that holds its copy.
    fn hand_over_answers(&mut self) {
        let keys: Vec<RequestKey> = self
            .answers
            .values()
            .filter(|a| a.role == Role::Producer)
            .map(|a| a.key().clone())
            .collect();
        for key in keys {
            self.push_copy_as(&key, true);
        }
    }

    /// The copy holder has an answer that is being handed over.
    pub(super) fn after_handover(&mut self, to: &BoxId, key: &RequestKey) {
        if !self.stopping.is_begun() {
            return;
        }
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let whole = answer.copy.as_ref().is_some_and(|c| c.held == answer.len());
        if !whole {
            return;
        }
        let subscribers = std::mem::take(&mut answer.subscribers);
        for subscriber in subscribers {
            let moved = Moved {
                subscription: subscriber.subscription,
                to: Some(to.clone()),
            };
            self.out.send(&subscriber.to, moved);
        }
        self.step_down(key, to);
    }

    /// Exits once nothing is left that needs this box.
    pub(super) fn progress_stop(&mut self) {
        let Some(begun) = self.stopping.begun else {
            return;
        };
        if self.stopping.exited {
            return;
        }
        if self.membership.is_listed() {
            self.leave_roster();
        }
        let due = self.stopping.handed_over;
        if self.has_unwritten() && due.is_none_or(|at| self.now.since(at) >= HAND_OVER_AGAIN) {
            // Again and again, since the box that was chosen may be stopping too.
            self.stopping.handed_over = Some(self.now);
            self.hand_over_unwritten();
        }
        let producing = self
            .answers
            .values()
            .any(|a| a.role == Role::Producer && (a.finish.is_none() || !a.subscribers.is_empty()));
        let released = self.slices.all_released() || !self.has_live_peers();
        let busy =
            producing || self.has_unwritten() || self.calls.active() > 0 || self.inbound.len() > 0;
        let overdue = self.now.since(begun) >= self.cfg.stop_grace;
        if overdue || (!busy && released && !self.membership.is_listed()) {
            self.stopping.exited = true;
            let me = self.cfg.me.id.clone();
            self.out.note(
                "box_stopped",
                &me,
                if overdue { "grace is over" } else { "" },
            );
            self.out.push(Action::Exit);
        }
    }

    fn has_live_peers(&self) -> bool {
        let mut peers = self.membership.peers();
        peers.any(|p| p.domain == self.cfg.domain && self.membership.peer_is_live(p, self.now))
    }
}

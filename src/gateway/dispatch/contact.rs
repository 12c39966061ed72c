//! Whether this box is in touch with other failure domains, by round trips.
//!
//! The arrival of a message doesn't tell when it was sent: what was sent before a cut may arrive
//! seconds after it. So each box asks boxes of other domains at intervals, and an answer shows that it
//! was in touch when it asked. The question carries the time of the asker's clock and comes back
//! unchanged, so a box keeps nothing of the questions that it sent.
//!
//! Boxes of earlier versions don't answer. A box is out of touch only if boxes that have answered
//! before are still heard and answer no more; where none is heard, the silence tells enough
//! ([`super::stream_versions`]).
//!
//! Inputs: questions and answers, known boxes. State: when this box last asked successfully, and who
//! answers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use crate::schema::{ContactCheck, Micros};

/// Time between two rounds of questions.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// What this box knows of its contact with other failure domains.
#[derive(Debug, Default)]
pub(super) struct Contact {
    next_round: Micros,
    rounds: usize,
    /// When the latest answered question was sent.
    confirmed_at: Micros,
    /// Boxes that have answered, for as long as they are known.
    answering: BTreeSet<SocketAddr>,
}

impl Contact {
    /// Chooses whom to ask: a box that has answered before, and any one.
    fn choose(&mut self, heard: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        self.rounds += 1;
        let answering = heard.iter().filter(|peer| self.answering.contains(peer));
        let answering: Vec<SocketAddr> = answering.copied().collect();
        let in_turn = |peers: &[SocketAddr]| {
            let place = self.rounds.checked_rem(peers.len())?;
            peers.get(place).copied()
        };
        let chosen = [in_turn(heard), in_turn(&answering)];
        chosen.into_iter().flatten().collect()
    }
}

impl Dispatcher {
    /// Asks boxes of other failure domains, if that is due.
    pub(super) fn check_contact(&mut self) {
        if self.now < self.contact.next_round {
            return;
        }
        self.contact.next_round = self.now.after(ASK_INTERVAL);
        let peers = &self.peers;
        let contact = &mut self.contact;
        contact.answering.retain(|peer| peers.has_heard(*peer));
        let heard = self.peers.recent_in_other_domains(self.now);
        let to: Vec<SocketAddr> = self.contact.choose(&heard).into_iter().collect();
        if to.is_empty() {
            return;
        }
        let check = ContactCheck {
            asker: self.cfg.address.to_string(),
            incarnation: self.cfg.incarnation,
            asked_at: self.now,
            answered_by: None,
        };
        self.actions.push(Action::PublishContact { to, check });
    }

    /// Answers a question, or takes the answer to one of this box.
    pub(super) fn on_contact_check(&mut self, check: ContactCheck) {
        let Some(answered_by) = &check.answered_by else {
            return self.answer_contact_check(check);
        };
        let is_own = check.incarnation == self.cfg.incarnation && check.asked_at <= self.now;
        let (true, Ok(answered_by)) = (is_own, answered_by.parse()) else {
            return;
        };
        let contact = &mut self.contact;
        contact.answering.insert(answered_by);
        contact.confirmed_at = contact.confirmed_at.max(check.asked_at);
    }

    fn answer_contact_check(&mut self, check: ContactCheck) {
        // Without a readable address nobody waits for an answer.
        let Ok(asker) = check.asker.parse() else {
            return;
        };
        let check = ContactCheck {
            answered_by: Some(self.cfg.address.to_string()),
            ..check
        };
        let to = vec![asker];
        self.actions.push(Action::PublishContact { to, check });
    }

    /// Whether this box has lost contact with other failure domains though messages of them arrive.
    pub(super) fn has_lost_contact(&self, within: Duration) -> bool {
        if self.now.since(self.contact.confirmed_at) < within {
            return false;
        }
        let heard = self.peers.recent_in_other_domains(self.now);
        heard
            .iter()
            .any(|peer| self.contact.answering.contains(peer))
    }
}

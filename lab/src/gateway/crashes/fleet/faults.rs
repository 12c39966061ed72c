//! What goes wrong beside crashing requests, and how boxes hear of servers that come and go.

use std::time::Duration;

use magpiemoor::gateway::dispatch::event::{EndpointChange, Event};
use rand::Rng;

use super::{CUT_FOR, DOMAINS, Fleet, Mail};
use crate::gateway::boxes::domain_name;
use crate::gateway::crashes::Beside;

/// The time until boxes hear of a change of entries, at most.
const LISTED_WITHIN: f64 = 0.5;
/// The share of a domain's servers that fall.
const FALLING: f64 = 0.9;
/// Time between two servers that end by themselves.
const SERVER_ENDS_EACH: Duration = Duration::from_millis(700);

impl Fleet {
    /// Has all boxes hear of a change of entries, each after its own time.
    pub(super) fn tell_change(&mut self, change: &EndpointChange) {
        self.revision += 1;
        for at in 0..self.boxes.len() {
            let after = Duration::from_secs_f64(self.rng.random_range(0.05..LISTED_WITHIN));
            let changes = vec![change.clone()];
            let event = Event::EndpointsChanged {
                changes,
                at: self.revision,
            };
            self.post_event(at, after, event);
        }
    }

    pub(super) fn bring_fault(&mut self, number: usize) {
        match self.case.beside {
            Beside::DomainsFall => self.drop_domain(number % DOMAINS),
            Beside::BoxesKilled => {
                for at in (number % DOMAINS..self.boxes.len()).step_by(DOMAINS) {
                    self.kill_box(at);
                }
            }
            Beside::AllBoxesKilled if number == 0 => {
                for at in 0..self.boxes.len() {
                    self.kill_box(at);
                }
            }
            Beside::DomainCut if number == 0 => self.cut_until = self.now().after(CUT_FOR),
            _ => {}
        }
    }

    fn drop_domain(&mut self, domain: usize) {
        let name = domain_name(domain);
        for place in self.servers.up(Some(&name)) {
            if self.rng.random_bool(FALLING) {
                self.end_server(place);
            }
        }
    }

    pub(super) fn end_some_server(&mut self) {
        self.mail.post(SERVER_ENDS_EACH, Mail::ServerEnds);
        let up = self.servers.up(None);
        if !up.is_empty() {
            let place = up[self.rng.random_range(0..up.len())];
            self.end_server(place);
        }
    }
}

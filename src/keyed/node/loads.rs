//! Asks endpoints for their load, and shares what they say.
//!
//! Each endpoint is asked by one box of its failure domain, which tells the others with its
//! heartbeats; so the number of questions doesn't grow with the number of boxes.

use crate::keyed::node::Node;
use crate::keyed::node::action::Action;
use crate::keyed::node::config::{BOXES_PER_POLL_HEARTBEAT, POLL_HEARTBEATS};
use crate::keyed::node::event::{Load, Timer};
use crate::rendezvous;
use crate::schema::{EndpointId, LoadReport};

impl Node {
    /// Asks the endpoints that this box looks after.
    pub(super) fn poll_loads(&mut self) {
        // Reports go to every box of the failure domain, so the more boxes there are, the rarer
        // each endpoint is asked; that keeps a box's bytes within bounds.
        let boxes = self.membership.live_boxes(self.now).len() as u32;
        let every = self.cfg.heartbeat * (boxes / BOXES_PER_POLL_HEARTBEAT).max(POLL_HEARTBEATS);
        self.out.timer(Timer::Poll, self.now.after(every));
        let watched = self.watched_endpoints();
        self.orders.watch(
            watched
                .iter()
                .map(|(endpoint, _)| endpoint.clone())
                .collect(),
        );
        for (endpoint, address) in watched {
            self.out.push(Action::PollLoad { endpoint, address });
        }
    }

    /// The endpoints of the own failure domain that this box looks after, with their addresses.
    fn watched_endpoints(&self) -> Vec<(EndpointId, String)> {
        let boxes = self.membership.live_boxes(self.now);
        let is_mine = |endpoint: &EndpointId| {
            let item = rendezvous::item(endpoint);
            let first = boxes.iter().max_by_key(|b| rendezvous::score(b, item));
            first == Some(&&self.cfg.me.id)
        };
        let mut watched: Vec<(EndpointId, String)> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.domain == self.cfg.domain)
            .filter(|(id, _)| is_mine(id))
            .map(|(id, state)| (id.clone(), state.address.clone()))
            .collect();
        watched.sort();
        watched
    }

    /// An endpoint answered, or didn't.
    pub(super) fn on_load(&mut self, endpoint: &EndpointId, load: Option<Load>) {
        let Some(load) = load else {
            return;
        };
        let report = &load.report;
        for change in &load.cache {
            if change.stored {
                self.endpoints.prefixes.stored(endpoint, &[change.block]);
            } else {
                self.endpoints.prefixes.evicted(endpoint, change.block);
            }
        }
        if report.leaving {
            self.note_leaving(endpoint, "its own word");
        } else {
            self.beats.remove_leaving(endpoint);
        }
        let changed = self.report_changed(report);
        self.endpoints.on_report(report, self.now);
        if changed {
            self.beats.add_load(report.clone());
        }
        self.dispatch_all();
    }

    fn report_changed(&self, report: &LoadReport) -> bool {
        let known = self
            .endpoints
            .get(&report.endpoint)
            .and_then(|e| e.report.as_ref());
        known != Some(report)
    }

    /// An endpoint is leaving: it gets no new work from now on, and the peers hear of it.
    pub(super) fn note_leaving(&mut self, endpoint: &EndpointId, source: &str) {
        if self.endpoints.on_leaving(endpoint) {
            self.out.note("endpoint_leaving", endpoint, source);
        }
        if self.endpoints.get(endpoint).is_some() {
            self.beats.add_leaving(endpoint);
        }
    }
}

//! Publication of the processes that were found at the addresses of endpoints.
//!
//! What one box has learnt is true for all: with each box left to find out by itself, 1,510 requests
//! were turned away by 83 engines, nearly each once by each box. A box sends what it has found to all
//! boxes of its failure domain and to one box of each other domain, which passes on what is news there.
//!
//! State: when the next message is due. A message that is lost is not repeated: the box that missed it
//! asks for itself before it sends a request ([`super::fleet::identities`]).

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::EndpointSpec;
use crate::schema::{IdentityReport, IdentityUpdate};

/// Delay in which identities are gathered for one message.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Reports in one message: some 90 bytes each, below the length of a packet.
const MAX_IDENTITIES: usize = 14;

impl Dispatcher {
    /// Schedules the publication of identities that this box has found.
    pub(super) fn schedule_identities(&mut self) {
        if self.fleet.has_unpublished_identities() {
            let due = self.now.after(BATCH_DELAY);
            self.next_identities.get_or_insert(due);
        }
    }

    pub(super) fn publish_identities_if_due(&mut self) {
        if self.next_identities.is_none_or(|due| self.now < due) {
            return;
        }
        self.next_identities = None;
        let reports = self.fleet.take_identities(self.now);
        let mut to = self.peers.of_own_domain(self.now);
        let others = self.peers.one_of_each_other_domain(&mut self.rng, self.now);
        to.extend(others);
        self.send_identities(&to, &reports);
    }

    fn send_identities(&mut self, to: &[SocketAddr], reports: &[IdentityReport]) {
        if to.is_empty() {
            return;
        }
        for reports in reports.chunks(MAX_IDENTITIES) {
            let update = IdentityUpdate {
                from: self.cfg.me.clone(),
                domain: self.cfg.domain.clone(),
                reports: reports.to_vec(),
            };
            self.actions.push(Action::PublishIdentities {
                to: to.to_vec(),
                update,
            });
        }
    }

    /// Applies identities that a peer has found; those from another failure domain that are news here
    /// are passed on to the boxes of the own one.
    pub(super) fn on_peer_identities(&mut self, update: &IdentityUpdate) {
        let reports = update.reports.iter();
        let news: Vec<IdentityReport> = reports
            .filter(|report| self.fleet.on_peer_identity(report, self.now))
            .cloned()
            .collect();
        if news.is_empty() {
            return;
        }
        self.observe_versions();
        self.room_waits.sweep_soon();
        if update.domain != self.cfg.domain {
            let to = self.peers.of_own_domain(self.now);
            self.send_identities(&to, &news);
        }
    }

    /// Handles an instance that turned out to be an engine at the address of another one.
    pub(super) fn on_successor_identified(&mut self, spec: EndpointSpec) {
        self.fleet.on_identified(spec, self.now);
        self.observe_versions();
        self.room_waits.sweep_soon();
    }
}

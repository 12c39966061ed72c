//! Publication of limits: what endpoints named in answers to this box is sent to other boxes.
//!
//! The first limit of an endpoint goes at once to all boxes of the own failure domain and to one box
//! of each other domain; other changes go there in one message for all within
//! [`LIMIT_PUBLISH_INTERVAL`]. A box that learns of a change from another domain relays it to its
//! own. Recent limits go to other boxes with the gossip as well.
//!
//! Each box sends to an endpoint without a limit until it knows of one, so the time that a new limit
//! takes to all boxes decides how many requests pass it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::action::Action;
use crate::schema::{EndpointId, LimitReport, LimitUpdate, Micros};

/// Minimum time between two messages about changes of limits that this box knew.
const LIMIT_PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Limits that changed by answers to this box and were not published yet.
#[derive(Debug, Default)]
pub(super) struct Publication {
    changed: BTreeSet<EndpointId>,
    due: Option<Micros>,
    published_at: Micros,
}

impl Publication {
    /// When the changes are published, if there are any.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    /// Adds the first limit of an endpoint, which is published at once.
    pub fn schedule_new(&mut self, id: &EndpointId, now: Micros) {
        self.changed.insert(id.clone());
        self.due = Some(now);
    }

    /// Adds a limit that changed, ended, or began again.
    pub fn schedule_change(&mut self, id: &EndpointId, now: Micros) {
        self.changed.insert(id.clone());
        let due = now.max(self.published_at.after(LIMIT_PUBLISH_INTERVAL));
        self.due.get_or_insert(due);
    }

    /// Takes the endpoints whose limits are to be published now, if that is due.
    fn take_due(&mut self, now: Micros) -> Option<BTreeSet<EndpointId>> {
        self.due.take_if(|due| *due <= now)?;
        self.published_at = now;
        Some(std::mem::take(&mut self.changed))
    }
}

impl Dispatcher {
    /// Publishes changed limits to the own failure domain and to one box of each other domain, if
    /// that is due.
    pub(super) fn publish_limits_if_due(&mut self) {
        let Some(changed) = self.permits.publication.take_due(self.now) else {
            return;
        };
        let limits = &self.fleet.directives.limits;
        let reports = changed.iter().filter_map(|id| limits.report(id, self.now));
        let reports = reports.collect();
        let remote = self.peers.one_of_each_other_domain(&mut self.rng, self.now);
        let to = [self.peers.of_own_domain(self.now), remote].concat();
        self.publish_limit_reports(to, reports);
    }

    /// Sends reports that were new to this box on to its own failure domain, if they came from
    /// another one.
    pub(super) fn relay_limits(&mut self, from: &LimitUpdate, new: Vec<LimitReport>) {
        let sender = from.reply_to.parse().ok();
        let domain = sender.and_then(|address| self.peers.domain_at(address));
        if domain.is_some_and(|domain| *domain != self.cfg.domain) {
            let to = self.peers.of_own_domain(self.now);
            self.publish_limit_reports(to, new);
        }
    }

    /// Sends boxes the limits that recent answers to this box named.
    pub(in crate::gateway::dispatch) fn publish_limits(&mut self, to: Vec<SocketAddr>) {
        let reports = self.fleet.directives.limits.recent_reports(self.now);
        self.publish_limit_reports(to, reports);
    }

    fn publish_limit_reports(&mut self, to: Vec<SocketAddr>, notes: Vec<LimitReport>) {
        if notes.is_empty() || to.is_empty() {
            return;
        }
        let update = LimitUpdate {
            notes,
            ..self.empty_limit_update()
        };
        self.send_limit_update(to, update);
    }

    pub(super) fn send_limit_update(&mut self, to: Vec<SocketAddr>, update: LimitUpdate) {
        self.actions.push(Action::PublishLimits { to, update });
    }

    pub(super) fn empty_limit_update(&self) -> LimitUpdate {
        LimitUpdate {
            from: self.cfg.me.clone(),
            reply_to: self.cfg.address.to_string(),
            is_passed_on: false,
            notes: Vec::new(),
            asks: Vec::new(),
            grants: Vec::new(),
        }
    }
}

//! Applies what endpoints ask of their callers in answers to this box.
//!
//! [`super::fleet::directives`] holds the directives in force. A limit may start the allocation of
//! permits and is published ([`super::permits`]). A departure is published in the failure domain at
//! once, and in others with the messages that go out anyway.
//!
//! Endpoints state directives in every answer: to attempts, probes, searches for a prompt and
//! requests for an identity. Directives in the answer to an attempt that is no longer active, or of
//! an earlier incarnation of its endpoint, are ignored.

use std::net::SocketAddr;

use super::Dispatcher;
use super::action::Action;
use super::event::{AttemptNumber, RequestNumber};
use super::fleet::directives::{AnswerDirectives, NewDirective};
use super::record::Record;
use super::request::millis;
use crate::schema::{DepartureUpdate, EndpointIncarnation};

impl Dispatcher {
    /// Applies the directives in the answer to an attempt.
    pub(super) fn on_directives(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        stated: &AnswerDirectives,
    ) {
        let request = self.with_active(number, attempt);
        let Some(endpoint) = request.and_then(|r| Some(r.active.as_ref()?.endpoint.clone())) else {
            return;
        };
        if self.fleet.get_incarnation(&endpoint).is_some() {
            self.on_stated_limit(&endpoint, stated.limit);
            self.on_stated_tolerance(&endpoint.id, stated.tolerance);
            self.on_endpoint_directives(endpoint, stated);
        }
    }

    /// Applies a rest and a departure that an endpoint stated in any answer. A limit counts only in
    /// the answers to attempts, which are the requests that it bounds.
    pub(super) fn on_endpoint_directives(
        &mut self,
        endpoint: EndpointIncarnation,
        stated: &AnswerDirectives,
    ) {
        let Some(endpoint) = self.current_incarnation(endpoint) else {
            return;
        };
        let new = self.fleet.directives.on_answer(&endpoint, stated, self.now);
        for directive in &new {
            self.record_directive(&endpoint, *directive);
        }
        if new.contains(&NewDirective::Leaving) {
            let to = self.peers.of_own_domain(self.now);
            self.send_departures(to, vec![endpoint]);
        }
    }

    /// Handles endpoints that told a peer that they are leaving.
    pub(super) fn on_peer_departures(&mut self, update: &DepartureUpdate) {
        for reported in &update.endpoints {
            // The list may name the endpoint only after this report.
            let is_listed = self.fleet.get(&reported.id).is_some();
            let endpoint = match self.current_incarnation(reported.clone()) {
                Some(current) => current,
                None if is_listed => continue,
                None => reported.clone(),
            };
            let directives = &mut self.fleet.directives;
            if directives.on_peer_departure(&endpoint, self.now) {
                self.record_directive(&endpoint, NewDirective::Leaving);
            }
        }
    }

    /// An incarnation with its start time as far as this box knows it; `None` if it is not the
    /// current one.
    fn current_incarnation(&self, incarnation: EndpointIncarnation) -> Option<EndpointIncarnation> {
        let known = self.fleet.get_incarnation(&incarnation)?;
        Some(EndpointIncarnation {
            born: incarnation.born.or(known.spec.born),
            ..incarnation
        })
    }

    /// Sends boxes the endpoints that recently said to this box that they are leaving.
    pub(super) fn publish_departures(&mut self, to: Vec<SocketAddr>) {
        let endpoints = self.fleet.directives.recent_departures(self.now);
        self.send_departures(to, endpoints);
    }

    fn send_departures(&mut self, to: Vec<SocketAddr>, endpoints: Vec<EndpointIncarnation>) {
        if to.is_empty() || endpoints.is_empty() {
            return;
        }
        let from = self.cfg.me.clone();
        let update = DepartureUpdate { from, endpoints };
        self.actions.push(Action::PublishDepartures { to, update });
    }

    fn record_directive(&mut self, endpoint: &EndpointIncarnation, directive: NewDirective) {
        let endpoint = endpoint.id.to_string();
        self.record(match directive {
            NewDirective::Rest(time) => Record::RestAsked {
                endpoint,
                for_ms: millis(time),
            },
            NewDirective::Leaving => Record::LeavingStated { endpoint },
        });
    }
}

//! Applies what endpoints ask of their callers in answers to this box.
//!
//! [`super::fleet::directives`] holds the directives in force. A limit may start the allocation of
//! permits and is published ([`super::permits`]). A probe, a search for a prompt and a request for an
//! identity are answered by endpoints too, and state directives like the answers to attempts. Directives in the answer to an attempt that is no
//! longer active, or at an earlier incarnation of its endpoint, are ignored.

use super::Dispatcher;
use super::event::{AttemptNumber, RequestNumber};
use super::fleet::directives::{AnswerDirectives, NewDirective};
use super::record::Record;
use super::request::millis;
use crate::schema::EndpointIncarnation;

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
        let Some(known) = self.fleet.get_incarnation(&endpoint) else {
            return;
        };
        let endpoint = EndpointIncarnation {
            born: endpoint.born.or(known.spec.born),
            ..endpoint
        };
        let new = self.fleet.directives.on_answer(&endpoint, stated, self.now);
        for directive in new {
            self.record_directive(&endpoint, directive);
        }
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

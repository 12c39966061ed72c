//! Which incarnation of an endpoint is the current one, and which state ends with an earlier one.
//!
//! A process that restarts under the same endpoint id holds none of the requests and replicas that
//! it held before. The start time of the process distinguishes the incarnations. This box learns a
//! start time from the endpoint's entry in the list or from an answer of the endpoint, whichever is
//! first. A new incarnation resets the state of the endpoint at once: its load, replicas and
//! health, and that it was lost, avoided or suspected. Each report of a peer names the incarnation
//! that it is about; this box ignores reports about another incarnation than the current one.
//!
//! | source of a start time | this box uses it if |
//! |---|---|
//! | an entry of the list | its revision is greater than that of the known entry |
//! | an answer of the endpoint, while no start time is known | always |
//! | any other answer | it was requested after this box learnt of the current incarnation |
//! | a peer | never: what a peer reports may be as old as its list |
//!
//! This box compares start times for equality only: after a clock was set back, a later incarnation
//! has an earlier start time. An endpoint that reports no start time is identified by its id alone.
//!
//! An endpoint that failed may have restarted already, but its entry shows that only after this box
//! has read the store again. If the endpoint reports start times and holds replicas for this box,
//! this box requests its identity [`super::identity_requests::IDENTIFY_AFTER`] after the failure.

use super::{Endpoint, Fleet};
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{EndpointId, EndpointIncarnation, Micros, StartTime, VersionId};

impl Fleet {
    /// Begins another incarnation of an endpoint and drops the state of the earlier one. Whether
    /// the endpoint is listed, readable and displaced stays.
    pub(super) fn begin_incarnation(&mut self, spec: EndpointSpec, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&spec.id) else {
            return;
        };
        let ended = endpoint.spec.incarnation();
        self.incarnation_count += 1;
        *endpoint = Endpoint {
            incarnation_number: self.incarnation_count,
            listed: endpoint.listed,
            is_readable: endpoint.is_readable,
            is_displaced: endpoint.is_displaced,
            ..Endpoint::new(spec, now)
        };
        self.losses.forget(&ended.id);
        self.directives
            .on_new_incarnation(&endpoint.spec.incarnation());
        self.unpublished.remove(&ended.id);
        self.speeds.forget(&ended.id);
        self.ended_incarnations.push(ended);
    }

    /// Applies the start time `born` that an endpoint reported in answer to a request sent at
    /// `requested`.
    pub fn on_start_time(
        &mut self,
        id: &EndpointId,
        born: StartTime,
        requested: Micros,
        now: Micros,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let is_outdated = requested < endpoint.first_seen;
        match endpoint.spec.born {
            None => endpoint.spec.born = Some(born),
            Some(known) if known == born => {
                endpoint.maybe_restarted_since = None;
                self.verify(id, now);
            }
            Some(_) if is_outdated => {}
            Some(_) => {
                let incarnation = EndpointIncarnation {
                    id: id.clone(),
                    born: Some(born),
                };
                let spec = EndpointSpec {
                    born: Some(born),
                    // The list has named the version of the earlier incarnation only.
                    version: VersionId::unlisted(&incarnation),
                    ..endpoint.spec.clone()
                };
                self.begin_incarnation(spec, now);
            }
        }
    }

    /// Returns the incarnations that ended since the last call.
    pub fn take_ended_incarnations(&mut self) -> Vec<EndpointIncarnation> {
        std::mem::take(&mut self.ended_incarnations)
    }
}

impl Endpoint {
    /// Records that the process may have restarted since a failure at `now`, if the endpoint
    /// reports start times. An earlier record stays.
    pub(super) fn mark_maybe_restarted(&mut self, now: Micros) {
        if self.spec.born.is_some() {
            self.maybe_restarted_since.get_or_insert(now);
        }
    }
}

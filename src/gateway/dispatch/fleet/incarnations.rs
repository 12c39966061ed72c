//! Which incarnation of an endpoint is the current one, and what is dropped with an earlier one.
//!
//! A process that restarts under the same id keeps nothing of what it held. Its start time tells the
//! incarnations apart. It comes from the endpoint's entry in the list or from its own answers,
//! whichever is first. A new incarnation resets all state of the endpoint at once: its load,
//! replicas and health, and that it was lost, avoided or suspected. Reports of peers name the
//! incarnation that they are about; those about another one are ignored.
//!
//! | source of a start time | counts if |
//! |---|---|
//! | an entry of the list | its revision is greater than that of the known entry |
//! | an answer of the endpoint | it was requested after this box learnt of the current incarnation |
//! | a peer | never: what a peer reports may be as old as its list |
//!
//! Start times are compared for equality only: after a clock was set back, a later incarnation has
//! an earlier start time. An endpoint that reports no start time is identified by its id alone.
//!
//! An endpoint that failed may have restarted already, which its entry shows only once the store was
//! read. If it reports start times and holds replicas for this box, its identity is requested after
//! [`super::losses::IDENTIFY_AFTER`].

use super::{Endpoint, Fleet};
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{EndpointId, EndpointIncarnation, Micros, StartTime};

impl Fleet {
    /// Begins another incarnation of an endpoint and drops all state of the earlier one.
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
        self.limits.keep_incarnation(&endpoint.spec.incarnation());
        self.unpublished.remove(&ended.id);
        self.ended_incarnations.push(ended);
    }

    /// Applies the start time that an endpoint reported in answer to a request sent at `requested`.
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
        let is_late = requested < endpoint.first_seen;
        match endpoint.spec.born {
            None => endpoint.spec.born = Some(born),
            Some(known) if known == born => endpoint.maybe_restarted_since = None,
            Some(_) if is_late => {}
            Some(_) => {
                let spec = EndpointSpec {
                    born: Some(born),
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
    /// Records a failure after which the process may have restarted, if it reports start times.
    pub(super) fn mark_maybe_restarted(&mut self, now: Micros) {
        if self.spec.born.is_some() {
            self.maybe_restarted_since.get_or_insert(now);
        }
    }
}

//! Which life of an endpoint is in force, and what falls with the one before.
//!
//! A process that starts again under the id that it had holds and knows nothing of before. Its birth
//! tells the two lives apart, and comes from its entry in the list or from its own answers,
//! whichever is first. Then all that was believed of the endpoint falls at once: what runs and lies
//! there, how it answered, that it was lost, avoided or suspected. Accounts of peers name the life
//! that they are about; those of another one are dropped.
//!
//! | told by | counts if |
//! |---|---|
//! | an entry of the list | its revision is greater than that of the entry that is known |
//! | an answer of the endpoint | it was asked after this box knew of the present life |
//! | a peer | never: what peers tell may be as old as their list |
//!
//! Births are compared for equality only, since a clock that was set back gives a later life a lesser
//! birth. An endpoint that tells no birth goes by its id alone.
//!
//! An endpoint that failed may be in its next life already, and its entry shows that only once the
//! store was read. One that tells births and holds replicas for this box is asked for its own after
//! [`super::losses::IDENTIFY_AFTER`].

use super::{Endpoint, Fleet};
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{EndpointId, EndpointIncarnation, Micros, StartTime};

impl Fleet {
    /// Begins another life of an endpoint: nothing that was believed of the one before is left.
    pub(super) fn begin_incarnation(&mut self, spec: EndpointSpec, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&spec.id) else {
            return;
        };
        let ended = endpoint.spec.incarnation();
        self.lives += 1;
        *endpoint = Endpoint {
            number: self.lives,
            listed: endpoint.listed,
            is_readable: endpoint.is_readable,
            is_displaced: endpoint.is_displaced,
            ..Endpoint::new(spec, now)
        };
        self.losses.forget(&ended.id);
        self.limits.keep_incarnation(&endpoint.spec.incarnation());
        self.unpublished.remove(&ended.id);
        self.ended.push(ended);
    }

    /// Takes in the birth that an endpoint told when it was asked.
    pub fn on_start_time(&mut self, id: &EndpointId, born: StartTime, asked: Micros, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let is_late = asked < endpoint.first_seen;
        match endpoint.spec.born {
            None => endpoint.spec.born = Some(born),
            Some(known) if known == born => endpoint.unsure_since = None,
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

    /// The lives that have ended since this was asked last.
    pub fn take_ended_incarnations(&mut self) -> Vec<EndpointIncarnation> {
        std::mem::take(&mut self.ended)
    }
}

impl Endpoint {
    /// Notes a failure after which the endpoint may be in another life.
    pub(super) fn note_unsure(&mut self, now: Micros) {
        if self.spec.born.is_some() {
            self.unsure_since.get_or_insert(now);
        }
    }
}

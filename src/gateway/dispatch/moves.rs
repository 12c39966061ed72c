//! Moves of running attempts to other endpoints: what must be certain before an attempt is stopped.
//!
//! An attempt that is running may still answer, so it is stopped only at the moment at which its
//! successor starts. The successor is certain if the request has attempts left, an endpoint or a
//! replica can take it at once, and the retry budget grants the retry. Otherwise the attempt stays and
//! the move is examined again each [`MOVE_RETRY_INTERVAL`]. The attempt goes on if its endpoint does, and
//! else ends with its connection or at the deadline of the request. A request that may run only once is
//! never moved.
//!
//! | cause | successor |
//! |---|---|
//! | [`MoveCause::Silent`] | an endpoint with room, or the host of a replica with a free slot, that was heard since the silence began; it is probed if it was not. None while the silence is common to many ([`super::fleet::silences`]) |
//! | [`MoveCause::Slow`], [`MoveCause::Version`] | an endpoint with room that is neither avoided nor suspected, or the host of a replica with a free slot |
//! | [`MoveCause::Lost`] | a replica, any endpoint that isn't avoided, or the queue for room: the attempt has little chance to answer, and a stream that doesn't queue would never have its turn |
//!
//! Inputs: the fleet, the queue for room and the retry budget as of now. State: when each attempt is
//! examined again ([`super::request::ActiveAttempt::next_move`]).
//!
//! Alternative: to start the successor first and to stop the attempt at its first event. Two engines
//! would run the request for that time, and both would count against the callers' bound on runs.

use std::time::Duration;

use super::Dispatcher;
use super::action::Command;
use super::attempts::{Choice, MIN_ATTEMPT_TIME};
use super::checks::CheckReason;
use super::event::{Fault, Outcome, RequestNumber};
use super::fleet::silences::Contact;
use super::probe_timing::PROBE_LIMIT;
use super::record::Record;
use super::request::millis;
use super::suspicion::DueProbe;
use crate::schema::EndpointId;

/// Time after which a move that was not possible is examined again.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Why an attempt is to be replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MoveCause {
    /// Its engine takes connections and says nothing.
    Silent,
    /// Its engine is lost, or has restarted.
    Lost,
    /// It is a call that takes long.
    Slow,
    /// Its service switches to another version.
    Version,
}

impl From<Contact> for MoveCause {
    fn from(contact: Contact) -> Self {
        match contact {
            Contact::Silent => Self::Silent,
            Contact::Lost => Self::Lost,
        }
    }
}

impl Dispatcher {
    /// Replaces the running attempt of a request if its successor is certain.
    pub(super) fn move_if_certain(&mut self, number: RequestNumber, cause: MoveCause) {
        let next = self.now.after(MOVE_RETRY_INTERVAL);
        let request = self.requests.get_mut(&number);
        let Some(active) = request.and_then(|request| request.active.as_mut()) else {
            return;
        };
        active.next_move = next;
        if self.may_start_another(number)
            && self.has_successor(number, cause)
            && self.take_move(number)
        {
            self.replace_attempt(number, cause);
        }
    }

    /// Whether another attempt of a request may start if the running one is stopped.
    fn may_start_another(&self, number: RequestNumber) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        request.may_run_after_active()
            && !request.has_no_attempts_left()
            && request.time_left(self.now) >= MIN_ATTEMPT_TIME
            && !self.starts_too_late(request)
            && !self.quarantine.is_quarantined(request.fingerprint)
    }

    fn has_successor(&mut self, number: RequestNumber, cause: MoveCause) -> bool {
        let silent = self.requests.get(&number).and_then(|r| r.active.as_ref());
        let Some(silent) = silent.map(|active| active.endpoint.id.clone()) else {
            return false;
        };
        if cause == MoveCause::Silent && self.is_silence_common(number) {
            return false;
        }
        if let Some(host) = self.next_replica_host(number) {
            return cause == MoveCause::Lost
                || (self.has_free_slot(&host)
                    && (cause != MoveCause::Silent || self.is_heard(&host, &silent)));
        }
        self.prepare_choice(number);
        match self.choose_endpoint(number) {
            Choice::Start(id) if cause == MoveCause::Lost => !self.is_avoided(&id),
            Choice::Start(id) => {
                self.can_start_now(number, &id)
                    && (cause != MoveCause::Silent || self.is_heard(&id, &silent))
            }
            Choice::NoRoom => cause == MoveCause::Lost,
            Choice::Nothing => false,
        }
    }

    fn is_avoided(&self, id: &EndpointId) -> bool {
        let endpoint = self.fleet.get(id);
        endpoint.is_none_or(|endpoint| endpoint.is_avoided(self.now))
    }

    /// Whether an endpoint that was chosen for a request can take it at once and is expected to serve it.
    fn can_start_now(&self, number: RequestNumber, id: &EndpointId) -> bool {
        let Some((request, endpoint)) = self.requests.get(&number).zip(self.fleet.get(id)) else {
            return false;
        };
        let is_sound = !endpoint.is_avoided(self.now)
            && !self.fleet.is_suspected(endpoint, self.now)
            && endpoint.probe_sent.is_none();
        let has_room =
            !request.waits_for_room() || self.has_room(endpoint, request, request.memory());
        is_sound && has_room && !self.must_queue(number) && !self.is_contended(number, id)
    }

    /// Whether the host of a replica, which has the memory for it, has a slot for the attempt.
    fn has_free_slot(&self, host: &EndpointId) -> bool {
        let host = self.fleet.get(host);
        host.is_some_and(|host| self.fleet.usage(host, self.now).running < host.spec.slots)
    }

    fn is_silence_common(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|r| self.fleet.is_silence_common(&r.service, self.now))
    }

    /// Whether an endpoint was heard since another one fell silent; it is probed if it wasn't.
    fn is_heard(&mut self, id: &EndpointId, silent: &EndpointId) -> bool {
        let Some(endpoint) = self.fleet.get(id) else {
            return false;
        };
        let is_heard = self
            .fleet
            .is_heard_since_silence_of(endpoint, silent, self.now);
        if !is_heard && endpoint.probe_sent.is_none() {
            let service = endpoint.spec.service.clone();
            let via = self.relay_to(&service);
            self.probe(DueProbe {
                reason: CheckReason::BeforeMove,
                endpoint: id.clone(),
                via,
                limit: PROBE_LIMIT,
            });
        }
        is_heard
    }

    /// Stops the running attempt of a request and starts its successor; the retry was granted.
    fn replace_attempt(&mut self, number: RequestNumber, cause: MoveCause) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(active) = request.active.take() else {
            return;
        };
        request.possible_runs += 1;
        let id = request.arrival.id.clone();
        self.command(number, Command::StopAttempt(active.attempt));
        if cause != MoveCause::Version {
            self.record(Record::Suspected {
                request: id,
                endpoint: active.endpoint.id.to_string(),
                silent_ms: millis(now.since(active.last_seen)),
            });
            self.sample_end(number, &active, &Outcome::Stopped);
            self.observe_call(number, &active, &Outcome::Stopped);
        }
        self.record_end(number, &active, &Outcome::Stopped);
        self.uncount_attempt(&active);
        let fault = match cause {
            MoveCause::Version => Fault::Closed,
            MoveCause::Silent | MoveCause::Lost | MoveCause::Slow => Fault::Silent,
        };
        self.keep_replicas(number, &active, fault);
        self.start_next_attempt(number);
    }
}

//! What follows for requests when an endpoint restarts under its id.
//!
//! Usually the connections to the process that exited break, and the attempts there end with them.
//! After a network partition or a power loss nothing breaks. Such an attempt would wait for a
//! keep-alive of its connection (a second and more), while the endpoint counts as seen recently
//! because the restarted process answers other requests. So a stream whose engine has restarted
//! moves once its attempt got nothing for the time after which an engine is probed, plus the time to
//! prefill its prompt before its first event. An attempt that gets events was started in the new
//! incarnation, before this box learnt of it.
//!
//! A call is left to its connection and its deadline. It is unknown whether it was sent before the
//! restart, and ending a healthy call that may not be repeated would lose its answer.
//!
//! Inputs: start times that endpoints report, and the current incarnations in [`super::fleet`].
//! State: none of its own. Idle connections to the address are closed, since those to the process
//! that exited would break the next request.

use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::{AttemptNumber, RequestNumber};
use super::fleet::usage::PREFILL_TOKENS_PER_MS;
use super::probe_timing::{PAUSE_BEFORE_PROBE, PAUSE_BEFORE_PROBE_IN_PREFILL};
use super::record::Record;
use super::request::ActiveAttempt;
use crate::schema::{EndpointId, Micros, StartTime};

/// How long an attempt may get nothing once its engine has restarted.
fn max_stall(active: &ActiveAttempt) -> Duration {
    if active.has_events {
        return PAUSE_BEFORE_PROBE;
    }
    let prefill_ms = f64::from(active.prefill) / PREFILL_TOKENS_PER_MS;
    PAUSE_BEFORE_PROBE_IN_PREFILL + Duration::from_secs_f64(prefill_ms / 1_000.0)
}

impl Dispatcher {
    /// Applies the start time that an endpoint reported in answer to a request sent at `requested`.
    pub(super) fn on_start_time(&mut self, id: &EndpointId, born: StartTime, requested: Micros) {
        self.fleet.on_start_time(id, born, requested, self.now);
        if self.record_ended_incarnations() {
            self.observe_versions();
        }
    }

    /// Records restarts of endpoints and closes the idle connections to them; returns whether there were
    /// any.
    pub(super) fn record_ended_incarnations(&mut self) -> bool {
        let all_ended = self.fleet.take_ended_incarnations();
        let has_ended = !all_ended.is_empty();
        for ended in all_ended {
            let Some(spec) = self.fleet.get(&ended.id).map(|e| e.spec.clone()) else {
                continue;
            };
            self.actions
                .push(Action::CloseIdleConnections(spec.address));
            self.record(Record::Reborn {
                endpoint: ended.id.to_string(),
                before: ended.born.map(|born| born.0),
                born: spec.born.map(|born| born.0),
            });
        }
        has_ended
    }

    /// Whether the engine of a stream has restarted and its attempt got nothing for too long.
    pub(super) fn is_stranded(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        let stream = request.filter(|r| r.engine.is_some() && r.route.kind.may_repeat());
        let Some(active) = stream.and_then(|r| r.active.as_ref()) else {
            return false;
        };
        self.fleet.get_incarnation(&active.endpoint).is_none()
            && self.now.since(active.last_seen) >= max_stall(active)
    }

    /// Assigns an attempt that gets events to the current incarnation of its endpoint.
    pub(super) fn adopt_current_incarnation(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
    ) {
        let request = self.requests.get_mut(&number);
        let active = request.and_then(|r| r.active.as_mut());
        let Some(active) = active.filter(|active| active.attempt == attempt) else {
            return;
        };
        let Some(endpoint) = self.fleet.get_mut(&active.endpoint.id) else {
            return;
        };
        if endpoint.is_incarnation(&active.endpoint) {
            return;
        }
        active.endpoint = endpoint.spec.incarnation();
        active.prefill = 0;
        endpoint.own.running += active.slots;
        endpoint.own.memory += active.memory;
    }
}

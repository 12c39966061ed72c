//! What follows for requests when an endpoint has started again under its id.
//!
//! Connections to the process that ended break as a rule, and attempts there end with them. Behind a
//! cut, or where a machine lost power, nothing breaks: such an attempt would wait for a keep-alive
//! of its connection (a second and more), while the endpoint counts as heard by what others get from
//! its next life. So a stream whose engine began another life is moved once it was silent for as
//! long as an engine may be before it is probed; before its first event, that and the time of its
//! prompt. One that goes on was begun in the next life, before this box knew of that.
//!
//! A call is left to its connection and its deadline: whether it began before the birth is not
//! known, and cutting a sound one that may not be repeated would lose its answer.
//!
//! Relies on: [`super::fleet`] for which life is in force. Connections at rest to the address are
//! closed, since those to the ended process would break the next request.

use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::{AttemptNumber, RequestNumber};
use super::fleet::usage::PREFILL_TOKENS_PER_MS;
use super::record::Record;
use super::request::ActiveAttempt;
use super::suspicion::{PAUSE_BEFORE_PROBE, PAUSE_BEFORE_PROBE_IN_PREFILL};
use crate::schema::{EndpointId, Micros, StartTime};

/// How long an attempt may be silent once its engine is in another life.
fn longest_silence(active: &ActiveAttempt) -> Duration {
    if active.has_events {
        return PAUSE_BEFORE_PROBE;
    }
    let prefill_ms = f64::from(active.prefill) / PREFILL_TOKENS_PER_MS;
    PAUSE_BEFORE_PROBE_IN_PREFILL + Duration::from_secs_f64(prefill_ms / 1_000.0)
}

impl Dispatcher {
    /// Takes in the birth that an endpoint told when it was asked.
    pub(super) fn on_start_time(&mut self, id: &EndpointId, born: StartTime, asked: Micros) {
        self.fleet.on_start_time(id, born, asked, self.now);
        self.record_ended_incarnations();
    }

    /// Records the lives of endpoints that have ended, and closes connections at rest there.
    pub(super) fn record_ended_incarnations(&mut self) {
        for ended in self.fleet.take_ended_incarnations() {
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
    }

    /// Whether a stream's engine is in another life, and nothing of the attempt was heard for too
    /// long.
    pub(super) fn is_stranded(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        let stream = request.filter(|r| r.engine.is_some() && r.route.kind.may_repeat());
        let Some(active) = stream.and_then(|r| r.active.as_ref()) else {
            return false;
        };
        self.fleet.get_incarnation(&active.endpoint).is_none()
            && self.now.since(active.last_seen) >= longest_silence(active)
    }

    /// Takes an attempt that goes on for one of its endpoint's present life.
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

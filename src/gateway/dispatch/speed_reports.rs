//! Observes the speeds of endpoints in the attempts of this box, and publishes them.
//!
//! Only a first attempt of a new request tells the prefill rate: an engine may keep a part of the
//! prompt of one that its caller sent before. What was observed of engines goes to boxes of the own
//! failure domain with this box's state. Answers of plain servers that are slow go to all boxes of
//! the domain with the next report of usage, because the server may be fast again after some
//! hundred ms.
//!
//! State: none of its own; [`super::fleet::speeds`] owns what is learned.

use std::net::SocketAddr;

use super::Dispatcher;
use super::action::Action;
use super::event::{LEAST_ERROR_STATUS, Outcome, RequestNumber};
use super::record::Record;
use super::request::ActiveAttempt;

impl Dispatcher {
    /// Starts to measure the engine of an attempt that has just begun; `is_idle` says whether no
    /// prompt was queued there before.
    pub(super) fn watch_speed(&mut self, number: RequestNumber, is_idle: bool) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let is_new = request.attempts == 1 && request.arrival.after_event.is_none();
        let Some(active) = request.active.as_mut().filter(|a| a.prefill > 0) else {
            return;
        };
        if let Some(engine) = self.fleet.get(&active.endpoint.id) {
            let engine = engine.spec.clone();
            let speeds = &mut self.fleet.speeds;
            active.watch = speeds.on_attempt(&engine, active.prefill, is_idle && is_new, self.now);
        }
    }

    /// Observes an event of a stream; `prefilled` is the length of the prompt if it is the first
    /// event of an attempt that prefilled one, and 0 else.
    pub(super) fn observe_engine(&mut self, number: RequestNumber, prefilled: u32) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(event) = request.last_event.filter(|_| request.engine.is_some()) else {
            return;
        };
        let Some(active) = request.active.as_mut() else {
            return;
        };
        if prefilled == 0 && active.watch.is_done() {
            return;
        }
        let Some(endpoint) = self.fleet.get_incarnation(&active.endpoint) else {
            return;
        };
        let usage = self.fleet.usage(endpoint, now);
        let spec = endpoint.spec.clone();
        let speeds = &mut self.fleet.speeds;
        if prefilled > 0 {
            let took = now.since(active.started);
            let others = usage.running.saturating_sub(active.slots);
            if usage.prefill == 0 {
                speeds.observe_first_event(&spec, &mut active.watch, prefilled, took, others, now);
            }
        } else {
            speeds.observe_events(&spec, &mut active.watch, event, usage.running, now);
        }
    }

    /// Observes the answer of a plain server, or that a call there was abandoned as slow.
    pub(super) fn observe_call(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        outcome: &Outcome,
    ) {
        let request = self.requests.get(&number);
        if request.is_none_or(|r| r.engine.is_some()) {
            return;
        }
        let Some(server) = self.fleet.get_incarnation(&active.endpoint) else {
            return;
        };
        let server = server.spec.clone();
        let took = self.now.since(active.started);
        let speeds = &mut self.fleet.speeds;
        match outcome {
            Outcome::Answered { status } if *status < LEAST_ERROR_STATUS => {
                speeds.observe_answer(&server, took, self.now);
            }
            Outcome::Stopped => speeds.observe_abandoned_call(&server, took, self.now),
            _ => {}
        }
    }

    /// Compares the endpoints, and records when the engines of a service turn out to be uneven or even.
    pub(super) fn compare_speeds(&mut self) {
        for change in self.fleet.refresh_speeds(self.now) {
            self.record(Record::EngineSpeeds {
                service: change.service.to_string(),
                differing: change.differing,
                known: change.known,
                median: change.median.0,
            });
        }
    }

    /// Sends the observed speeds of engines to those receivers of this box's state that are in its
    /// failure domain.
    pub(super) fn publish_engine_speeds(&mut self, receivers: &[SocketAddr]) {
        let local = receivers.iter().copied();
        let local = local.filter(|to| self.peers.domain_at(*to) == Some(&self.cfg.domain));
        let to: Vec<SocketAddr> = local.collect();
        if to.is_empty() {
            return;
        }
        if let Some(update) = self.fleet.engine_speeds(&self.cfg.me, self.now) {
            self.actions.push(Action::PublishSpeeds { to, update });
        }
    }

    /// Sends the answers of slow plain servers to boxes of the own failure domain.
    pub(super) fn publish_answer_times(&mut self, to: &[SocketAddr]) {
        if let Some(update) = self.fleet.take_answer_times(&self.cfg.me) {
            let to = to.to_vec();
            self.actions.push(Action::PublishSpeeds { to, update });
        }
    }
}

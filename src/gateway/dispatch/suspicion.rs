//! Silence: when an endpoint that says nothing counts as lost, and what is overdue otherwise.
//!
//! An engine is judged by everything that is heard of it: events of any of this box's streams, and
//! answers to probes. A stream that has paused longer than usual makes the box ask its engine how
//! it stands, which costs next to nothing; only an engine that doesn't answer that either is taken
//! for lost, and all its streams go on elsewhere.

use std::time::Duration;

use super::Dispatcher;
use super::action::{Action, Command};
use super::event::{Outcome, RequestNumber};
use super::record::Record;
use super::request::{Request, has_come, millis};
use super::table::RouteKind;
use crate::schema::{EndpointId, Micros};

/// The pause of a stream after which its engine is probed.
const PAUSE_BEFORE_PROBE: Duration = Duration::from_millis(200);
/// The time without a word after which an engine that reads a prompt is probed.
const WAIT_BEFORE_PROBE: Duration = Duration::from_millis(700);
/// How long an engine may take to answer a probe.
const PROBE_LIMIT: Duration = Duration::from_millis(150);

/// The part of the objective after which a call that may be repeated is tried elsewhere.
const SLOW_CALL_PART: f64 = 0.6;

/// Whether a call is so slow that another endpoint would probably answer sooner.
fn is_slow_call(request: &Request, now: Micros) -> bool {
    let Some(active) = &request.active else {
        return false;
    };
    let is_call = request.route.kind == RouteKind::Repeatable;
    let limit = request.route.objective.mul_f64(SLOW_CALL_PART);
    is_call && request.may_run_after_active() && now.since(active.started) >= limit
}

impl Dispatcher {
    /// Looks after everything that is overdue.
    pub(super) fn check_requests(&mut self) {
        let numbers: Vec<RequestNumber> = self.requests.keys().copied().collect();
        for number in numbers {
            self.check_request(number);
        }
    }

    fn check_request(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if now >= request.deadline {
            self.give_up_expired(number);
        } else if has_come(request.next_look, now) {
            request.next_look = None;
            self.start_attempt_anywhere(number);
        } else if is_slow_call(request, now) {
            self.move_away(number);
        } else if let Some(endpoint) = self.silent_endpoint(number) {
            self.probe(&endpoint);
        } else {
            self.check_replicas(number);
        }
    }

    /// The engine of a stream, if it has not been heard for longer than usual.
    fn silent_endpoint(&self, number: RequestNumber) -> Option<EndpointId> {
        let request = self.requests.get(&number)?;
        request.engine?;
        let active = request.active.as_ref()?;
        let endpoint = self.fleet.get(&active.endpoint)?;
        let limit = if active.has_events {
            PAUSE_BEFORE_PROBE
        } else {
            WAIT_BEFORE_PROBE
        };
        let heard = active.heard.max(endpoint.heard).max(endpoint.last_probe);
        let is_silent = self.now.since(heard) >= limit && endpoint.probe_sent.is_none();
        is_silent.then(|| active.endpoint.clone())
    }

    fn probe(&mut self, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        endpoint.probe_sent = Some(now);
        endpoint.last_probe = now;
        let address = endpoint.spec.address;
        self.actions.push(Action::Probe {
            endpoint: id.clone(),
            address,
            limit: PROBE_LIMIT,
        });
    }

    /// Asks engines of the own domain who they are that may have been lost with it: a restarted one
    /// is known sooner by its own word than by the list, most of all while the store is out.
    pub(super) fn ask_identities(&mut self) {
        let domain = self.cfg.domain.clone();
        for spec in self.fleet.to_identify(&domain, self.now) {
            let service = self.table.as_ref().and_then(|t| t.service(&spec.service));
            let Some(service) = service.filter(|s| s.engine.is_some()) else {
                continue;
            };
            let path = service.health_path.clone();
            self.actions.push(Action::AskIdentity { spec, path });
        }
    }

    pub(super) fn on_probed(&mut self, id: &EndpointId, is_answered: bool) {
        let now = self.now;
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let asked = endpoint.probe_sent.take().unwrap_or(now);
        if is_answered {
            endpoint.heard = now;
            self.fleet.on_reached(id);
            return;
        }
        // Something else may have been heard of it since it was asked.
        if endpoint.heard > asked {
            return;
        }
        self.on_loss(id);
        self.move_all_from(id, asked);
    }

    /// Moves all requests that may run again away from an endpoint that is lost.
    fn move_all_from(&mut self, id: &EndpointId, unheard_since: Micros) {
        let at_endpoint = |request: &Request| {
            let active = request.active.as_ref();
            active.is_some_and(|r| r.endpoint == *id && r.heard <= unheard_since)
        };
        let movable = |request: &Request| request.route.kind.may_repeat();
        let numbers: Vec<RequestNumber> = self
            .requests
            .iter()
            .filter(|(_, request)| at_endpoint(request) && movable(request))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.move_away(number);
        }
    }

    fn move_away(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(active) = request.active.take() else {
            return;
        };
        request.maybe_run += 1;
        let record = Record::Suspected {
            request: request.arrival.id.clone(),
            endpoint: active.endpoint.to_string(),
            silent_ms: millis(now.since(active.heard)),
        };
        self.record(record);
        self.command(number, Command::StopAttempt(active.attempt));
        self.record_end(number, &active, &Outcome::Stopped);
        self.uncount_attempt(&active);
        self.follow(number, &active, &Outcome::Stopped);
    }
}

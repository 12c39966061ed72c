//! What comes of sendings, and what follows from it.

use super::Dispatcher;
use super::action::{Action, Command, RefusalReason};
use super::event::{
    EndpointSpec, Fault, LEAST_ERROR_STATUS, NotRunCause, Outcome, RequestNumber, Try,
};
use super::record::Record;
use super::request::{Request, Running, outcome_word};
use crate::schema::EndpointId;

impl Dispatcher {
    pub(super) fn on_caller_gone(&mut self, number: RequestNumber) {
        self.held_back.retain(|held| held.number != number);
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        self.record(Record::CallerGone {
            request: request.arrival.id.clone(),
            after_ms: request.age_ms(self.now),
        });
        if let Some(running) = &request.running {
            self.note_ended(running);
            self.drop_copies(running);
        }
    }

    pub(super) fn on_opened(&mut self, number: RequestNumber, attempt: Try) {
        let now = self.now;
        if let Some(running) = self
            .running(number, attempt)
            .and_then(|r| r.running.as_mut())
        {
            running.heard = now;
            let endpoint = running.endpoint.clone();
            self.fleet.on_reached(&endpoint);
            if let Some(endpoint) = self.fleet.get_mut(&endpoint) {
                endpoint.heard = now;
            }
        }
    }

    pub(super) fn on_progress(&mut self, number: RequestNumber, attempt: Try, last_event: u64) {
        let now = self.now;
        let Some(request) = self.running(number, attempt) else {
            return;
        };
        request.copies.clear();
        let pause = now.since(request.last_passed);
        let is_resumed = request.has_begun;
        request.last_event = Some(last_event);
        request.last_passed = now;
        request.has_begun = true;
        let id = request.arrival.id.clone();
        let arrived = request.arrived;
        let Some(running) = request.running.as_mut() else {
            return;
        };
        running.heard = now;
        let is_first = !std::mem::replace(&mut running.has_events, true);
        let read = std::mem::take(&mut running.reading);
        let endpoint = running.endpoint.clone();
        if let Some(endpoint) = self.fleet.get_mut(&endpoint) {
            endpoint.heard = now;
            endpoint.own.reading = endpoint.own.reading.saturating_sub(read);
        }
        if is_first && !is_resumed {
            self.record(Record::Begun {
                request: id,
                endpoint: endpoint.to_string(),
                after_ms: u64::try_from(now.since(arrived).as_millis()).unwrap_or(u64::MAX),
            });
        } else if is_first {
            self.record(Record::Resumed {
                request: id,
                endpoint: endpoint.to_string(),
                pause_ms: u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
            });
        }
    }

    pub(super) fn on_ended(&mut self, number: RequestNumber, attempt: Try, outcome: &Outcome) {
        let Some(request) = self.running(number, attempt) else {
            return;
        };
        let Some(running) = request.running.take() else {
            return;
        };
        if !matches!(outcome, Outcome::NotSent | Outcome::NotRun(_)) {
            request.runs += 1;
        }
        if let Outcome::Broken(fault) = outcome {
            request.fault = Some(*fault);
        }
        self.record_end(number, &running, outcome);
        self.note_ended(&running);
        self.follow(number, &running, outcome);
    }

    fn follow(&mut self, number: RequestNumber, running: &Running, outcome: &Outcome) {
        let endpoint = &running.endpoint;
        match outcome {
            Outcome::NotSent => {
                self.on_loss(endpoint);
                self.fleet.on_unreachable(endpoint, self.now);
                self.send_on(number);
            }
            Outcome::NotRun(NotRunCause::OtherInstance(instance)) => {
                self.identify(endpoint, instance.as_ref());
                self.fleet.on_reached(endpoint);
                self.fleet.replaced(endpoint);
                self.send_on(number);
            }
            Outcome::NotRun(NotRunCause::NoRoom) => {
                self.fleet.on_error_answer(endpoint, self.now);
                self.retry_not_run(number);
            }
            Outcome::Answered { status } => self.on_answered(number, running, *status),
            Outcome::StreamEnded => {
                self.fleet.on_success(endpoint, self.now);
                self.drop_copies(running);
                self.finish(number, Command::Finish);
            }
            Outcome::Broken(fault) => {
                self.on_loss(endpoint);
                self.go_on(number, running, *fault);
            }
            Outcome::Stopped => self.go_on(number, running, Fault::Silent),
        }
    }

    /// Notes that an endpoint was lost, and tells peers at once.
    pub(super) fn on_loss(&mut self, endpoint: &EndpointId) {
        self.fleet.on_failure(endpoint, self.now);
        self.gossip_soon();
    }

    /// What has an endpoint's address said who it is.
    pub(super) fn on_named(&mut self, endpoint: &EndpointId, instance: &EndpointId) {
        if endpoint == instance {
            self.fleet.on_success(endpoint, self.now);
            return;
        }
        self.identify(endpoint, Some(instance));
        self.fleet.replaced(endpoint);
    }

    /// Has an instance looked at that took over an engine's address. The list may not show it for
    /// long when the store is out; but it may also belong to another service by now.
    fn identify(&mut self, before: &EndpointId, instance: Option<&EndpointId>) {
        let Some(table) = &self.table else {
            return;
        };
        let engines: Vec<_> = table.services().filter(|s| s.engine.is_some()).collect();
        let Some(endpoint) = self.fleet.get(before) else {
            return;
        };
        let is_only = engines.len() == 1 && engines[0].name == endpoint.spec.service;
        if let (true, Some(instance)) = (is_only, instance) {
            let spec = EndpointSpec {
                id: instance.clone(),
                leaving: false,
                ..endpoint.spec.clone()
            };
            self.actions.push(Action::Identify(spec));
        }
    }

    /// Sends a request elsewhere that an endpoint had no room for.
    fn retry_not_run(&mut self, number: RequestNumber) {
        if self.take_retry(number) {
            self.send_on(number);
        } else {
            self.give_up_without_retry(number);
        }
    }

    fn on_answered(&mut self, number: RequestNumber, running: &Running, status: u16) {
        if status < LEAST_ERROR_STATUS {
            self.fleet.on_success(&running.endpoint, self.now);
            self.finish(number, Command::Deliver);
            return;
        }
        self.fleet.on_error_answer(&running.endpoint, self.now);
        let may_run_again = self
            .requests
            .get(&number)
            .is_some_and(Request::may_run_again);
        if may_run_again && self.take_retry(number) {
            self.send_somewhere(number);
        } else {
            self.finish(number, Command::Deliver);
        }
    }

    /// Goes on elsewhere after a sending that may have run was lost.
    pub(super) fn go_on(&mut self, number: RequestNumber, running: &Running, fault: Fault) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let copies = self.copies_of(request, running);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.fault = Some(fault);
        // Copies of the run before may still be there if this one had none.
        request.copies.splice(0..0, copies);
        if !request.may_run_again() {
            self.refuse(number, RefusalReason::EndpointFailed);
            return;
        }
        if !self.take_retry(number) {
            self.give_up_without_retry(number);
            return;
        }
        self.send_on(number);
    }

    fn give_up_without_retry(&mut self, number: RequestNumber) {
        let not_run = self.requests.get(&number).is_some_and(Request::has_not_run);
        let reason = if not_run {
            RefusalReason::NoEndpoint
        } else {
            RefusalReason::EndpointFailed
        };
        self.refuse(number, reason);
    }

    fn take_retry(&mut self, number: RequestNumber) -> bool {
        let boxes = self.peers.running(self.now).max(self.cfg.fleet_boxes);
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        self.budget.take(&request.service, boxes, self.now)
    }

    fn finish(&mut self, number: RequestNumber, command: Command) {
        if let Some(request) = self.requests.remove(&number) {
            self.record(Record::Answered {
                request: request.arrival.id.clone(),
                after_ms: request.age_ms(self.now),
                attempts: request.sendings,
            });
        }
        self.tell(number, command);
    }

    pub(super) fn record_end(
        &mut self,
        number: RequestNumber,
        running: &Running,
        outcome: &Outcome,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let status = match outcome {
            Outcome::Answered { status } => *status,
            _ => 0,
        };
        let after = self.now.since(running.started).as_millis();
        let record = Record::Ended {
            request: request.arrival.id.clone(),
            attempt: running.attempt.0,
            endpoint: running.endpoint.to_string(),
            outcome: outcome_word(outcome).into(),
            status,
            after_ms: u64::try_from(after).unwrap_or(u64::MAX),
            last_event: request.last_event,
        };
        self.actions.push(Action::Record(record));
    }
}

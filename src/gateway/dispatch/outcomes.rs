//! What comes of attempts, and what follows from it.

use super::Dispatcher;
use super::action::{Action, Command, RefusalReason};
use super::event::{
    AttemptNumber, EndpointSpec, Fault, LEAST_ERROR_STATUS, NotRunCause, Outcome, RequestNumber,
};
use super::record::Record;
use super::request::{ActiveAttempt, Request, outcome_word};
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
        if let Some(active) = &request.active {
            self.uncount_attempt(active);
            self.drop_snapshot_of(active);
        }
    }

    pub(super) fn on_opened(&mut self, number: RequestNumber, attempt: AttemptNumber) {
        let now = self.now;
        if let Some(active) = self
            .with_active(number, attempt)
            .and_then(|r| r.active.as_mut())
        {
            active.heard = now;
            let endpoint = active.endpoint.clone();
            self.fleet.on_reached(&endpoint);
            if let Some(endpoint) = self.fleet.get_mut(&endpoint) {
                endpoint.heard = now;
            }
        }
    }

    pub(super) fn on_progress(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        last_event: u64,
    ) {
        let now = self.now;
        let Some(request) = self.with_active(number, attempt) else {
            return;
        };
        request.replicas.clear();
        let pause = now.since(request.last_passed);
        let is_resumed = request.has_begun;
        request.last_event = Some(last_event);
        request.last_passed = now;
        request.has_begun = true;
        let id = request.arrival.id.clone();
        let arrived = request.arrived;
        let Some(active) = request.active.as_mut() else {
            return;
        };
        active.heard = now;
        let is_first = !std::mem::replace(&mut active.has_events, true);
        let prefilled = std::mem::take(&mut active.prefill);
        let endpoint = active.endpoint.clone();
        if let Some(endpoint) = self.fleet.get_mut(&endpoint) {
            endpoint.heard = now;
            endpoint.own.prefill = endpoint.own.prefill.saturating_sub(prefilled);
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

    pub(super) fn on_ended(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        outcome: &Outcome,
    ) {
        let Some(request) = self.with_active(number, attempt) else {
            return;
        };
        let Some(active) = request.active.take() else {
            return;
        };
        if !matches!(outcome, Outcome::NotSent | Outcome::NotRun(_)) {
            request.maybe_run += 1;
        }
        if let Outcome::Broken(fault) = outcome {
            request.fault = Some(*fault);
        }
        self.record_end(number, &active, outcome);
        self.uncount_attempt(&active);
        self.follow(number, &active, outcome);
    }

    fn follow(&mut self, number: RequestNumber, active: &ActiveAttempt, outcome: &Outcome) {
        let endpoint = &active.endpoint;
        match outcome {
            Outcome::NotSent => {
                self.on_loss(endpoint);
                self.fleet.on_unreachable(endpoint, self.now);
                self.start_next_attempt(number);
            }
            Outcome::NotRun(NotRunCause::OtherInstance(instance)) => {
                self.identify(endpoint, instance.as_ref());
                self.fleet.on_reached(endpoint);
                self.fleet.replaced(endpoint);
                self.start_next_attempt(number);
            }
            Outcome::NotRun(NotRunCause::NoRoom) => {
                self.fleet.on_error_answer(endpoint, self.now);
                self.retry_not_run(number);
            }
            Outcome::Answered { status } => self.on_answered(number, active, *status),
            Outcome::StreamEnded => {
                self.fleet.on_success(endpoint, self.now);
                self.drop_snapshot_of(active);
                self.finish(number, Command::Finish);
            }
            Outcome::Broken(fault) => {
                self.on_loss(endpoint);
                self.go_on(number, active, *fault);
            }
            Outcome::Stopped => self.go_on(number, active, Fault::Silent),
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
            self.start_next_attempt(number);
        } else {
            self.give_up_without_retry(number);
        }
    }

    fn on_answered(&mut self, number: RequestNumber, active: &ActiveAttempt, status: u16) {
        if status < LEAST_ERROR_STATUS {
            self.fleet.on_success(&active.endpoint, self.now);
            self.finish(number, Command::Deliver);
            return;
        }
        self.fleet.on_error_answer(&active.endpoint, self.now);
        let may_run_again = self
            .requests
            .get(&number)
            .is_some_and(Request::may_run_again);
        if may_run_again && self.take_retry(number) {
            self.start_attempt_anywhere(number);
        } else {
            self.finish(number, Command::Deliver);
        }
    }

    /// Goes on elsewhere after a sending that may have run was lost.
    pub(super) fn go_on(&mut self, number: RequestNumber, active: &ActiveAttempt, fault: Fault) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let copies = self.replicas_of(request, active);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.fault = Some(fault);
        // Copies of the run before may still be there if this one had none.
        request.replicas.splice(0..0, copies);
        if !request.may_run_again() {
            self.refuse(number, RefusalReason::EndpointFailed);
            return;
        }
        if !self.take_retry(number) {
            self.give_up_without_retry(number);
            return;
        }
        self.start_next_attempt(number);
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
                attempts: request.attempts,
            });
        }
        self.tell(number, command);
    }

    pub(super) fn record_end(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        outcome: &Outcome,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let status = match outcome {
            Outcome::Answered { status } => *status,
            _ => 0,
        };
        let after = self.now.since(active.started).as_millis();
        let record = Record::Ended {
            request: request.arrival.id.clone(),
            attempt: active.attempt.0,
            endpoint: active.endpoint.to_string(),
            outcome: outcome_word(outcome).into(),
            status,
            after_ms: u64::try_from(after).unwrap_or(u64::MAX),
            last_event: request.last_event,
        };
        self.actions.push(Action::Record(record));
    }
}

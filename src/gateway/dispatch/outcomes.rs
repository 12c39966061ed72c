//! Handles events of attempts: a connection that opens, the progress of a stream, the end of an
//! attempt, and callers that disconnect.
//!
//! The end of an attempt updates the assumed state of its endpoint (here) and decides what follows
//! for the request ([`super::retry`]). Each end is first recorded and the attempt is removed from the
//! usage counts.

use std::time::Duration;

use super::Dispatcher;
use super::action::{Action, Command};
use super::event::{
    AttemptNumber, EndpointSpec, Fault, LEAST_ERROR_STATUS, NotRunCause, Outcome, RequestNumber,
};
use super::fleet::Endpoint;
use super::record::Record;
use super::refusal::RefusalReason;
use super::request::{ActiveAttempt, AttemptLease, Request, millis};
use super::retry::{AfterAttempt, after_attempt};
use crate::schema::{EndpointId, StartTime, VersionId};

impl Dispatcher {
    pub(super) fn on_caller_disconnected(&mut self, number: RequestNumber) {
        self.queued.retain(|queued| queued.number != number);
        self.stop_waiting(number, false);
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

    pub(super) fn on_stream_opened(&mut self, number: RequestNumber, attempt: AttemptNumber) {
        let now = self.now;
        let request = self.with_active(number, attempt);
        let Some(active) = request.and_then(|r| r.active.as_mut()) else {
            return;
        };
        active.last_seen = now;
        active.is_connected = true;
        let endpoint = active.endpoint.clone();
        let relay = active.via;
        if let Some(relay) = relay {
            self.on_relay_connected(relay);
        }
        self.fleet.on_reached(&endpoint.id);
        self.fleet.on_attempt_message(&endpoint, now);
    }

    pub(super) fn on_progress(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        last_event: u64,
    ) {
        let now = self.now;
        self.adopt_current_incarnation(number, attempt);
        self.correct_version(number);
        let Some(request) = self.with_active(number, attempt) else {
            return;
        };
        // This attempt's KV memory is now newer than the replicas of earlier attempts.
        request.replicas.clear();
        let pause = now.since(request.last_forwarded);
        let is_resumed = request.has_begun;
        request.last_event = Some(last_event);
        request.last_forwarded = now;
        request.has_begun = true;
        let id = request.arrival.id.clone();
        let age = now.since(request.arrived);
        let Some(active) = request.active.as_mut() else {
            return;
        };
        active.is_connected = true;
        let event_pause = active.has_events.then(|| now.since(active.last_seen));
        active.last_seen = now;
        let is_first = !std::mem::replace(&mut active.has_events, true);
        active.first_event.get_or_insert((now, last_event));
        let prefilled = std::mem::take(&mut active.prefill);
        let endpoint = active.endpoint.clone();
        self.fleet.on_attempt_message(&endpoint, now);
        if let Some(endpoint) = self.fleet.get_incarnation_mut(&endpoint) {
            endpoint.own.prefill = endpoint.own.prefill.saturating_sub(prefilled);
            endpoint.on_event_pause(event_pause.unwrap_or_default(), now);
        }
        self.observe_engine(number, prefilled);
        self.record_crash_progress(number);
        self.sample_events(number, attempt);
        if is_first {
            self.bind_version(number, attempt);
            self.count_request(number);
            self.sample_first_event(number, attempt, prefilled);
            self.record_first_event(id, &endpoint.id, is_resumed.then_some(pause), age);
        }
    }

    /// Records the first event of an attempt: the start of the stream, or its resumption after a
    /// pause.
    fn record_first_event(
        &mut self,
        request: String,
        endpoint: &EndpointId,
        pause: Option<Duration>,
        age: Duration,
    ) {
        let endpoint = endpoint.to_string();
        self.record(match pause {
            None => Record::Begun {
                request,
                endpoint,
                after_ms: millis(age),
            },
            Some(pause) => Record::Resumed {
                request,
                endpoint,
                pause_ms: millis(pause),
            },
        });
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
        let Some(mut active) = request.active.take() else {
            return;
        };
        let is_rejected = *outcome == Outcome::NotRun(NotRunCause::NoRoom);
        if is_rejected && active.lease == AttemptLease::Held {
            active.lease = AttemptLease::Rejected;
        }
        if outcome.may_have_run() {
            request.possible_runs += 1;
        }
        if outcome.is_unsent_by_check() {
            request.checked_attempts += 1;
        }
        self.record_end(number, &active, outcome);
        self.sample_end(number, &active, outcome);
        self.observe_call(number, &active, outcome);
        self.count_call(number, outcome);
        self.suspect_crash(number, &active, outcome);
        self.uncount_attempt(&active);
        let relay = active.via;
        let is_relays_fault =
            relay.is_some_and(|relay| self.on_relayed_outcome(number, &active, relay, outcome));
        if !is_relays_fault && self.fleet.get_incarnation(&active.endpoint).is_some() {
            let is_explained = relay.is_none()
                && *outcome == Outcome::NotSent
                && self.on_direct_failure(&active.endpoint.id);
            if !is_explained {
                self.update_endpoint_state(&active.endpoint.id, outcome);
            }
        }
        self.continue_request(number, &active, outcome);
    }

    /// Updates the assumed state of an endpoint from the outcome of an attempt.
    fn update_endpoint_state(&mut self, endpoint: &EndpointId, outcome: &Outcome) {
        match outcome {
            Outcome::NotSent => {
                self.on_loss(endpoint);
                self.fleet.on_unreachable(endpoint, self.now);
            }
            Outcome::NotRun(NotRunCause::OtherInstance(instance)) => {
                self.on_other_instance(endpoint, instance.as_ref());
            }
            Outcome::NotRun(NotRunCause::Replaced(instance)) => {
                self.on_other_instance(endpoint, Some(instance));
            }
            Outcome::NotRun(NotRunCause::Restarted(born)) => {
                self.fleet.on_reached(endpoint);
                self.on_start_time(endpoint, *born, self.now);
            }
            Outcome::Answered { status } if *status < LEAST_ERROR_STATUS => {
                self.fleet.on_success(endpoint, self.now);
            }
            Outcome::NotRun(NotRunCause::NoRoom) | Outcome::Answered { .. } => {
                self.fleet.on_error_answer(endpoint, self.now);
            }
            Outcome::StreamEnded => self.fleet.on_success(endpoint, self.now),
            Outcome::Broken(_) => self.on_loss(endpoint),
            // The code that stopped the attempt already knows the endpoint's state.
            Outcome::Stopped | Outcome::RelayFailed => {}
        }
    }

    /// Handles another instance at the address of an endpoint.
    fn on_other_instance(&mut self, endpoint: &EndpointId, instance: Option<&EndpointId>) {
        self.identify(endpoint, instance);
        self.fleet.on_reached(endpoint);
        self.fleet.on_replaced(endpoint, instance, self.now);
        self.gossip_soon();
    }

    /// Finishes, retries or gives up a request after its attempt has ended.
    pub(super) fn continue_request(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        outcome: &Outcome,
    ) {
        match outcome {
            Outcome::Broken(fault) => self.keep_replicas(number, active, *fault),
            Outcome::Stopped => self.keep_replicas(number, active, Fault::Silent),
            Outcome::StreamEnded => self.drop_snapshot_of(active),
            Outcome::NotSent
            | Outcome::RelayFailed
            | Outcome::NotRun(_)
            | Outcome::Answered { .. } => {}
        }
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        match after_attempt(outcome, request.may_run_again()) {
            AfterAttempt::Finish => self.finish(number, Command::Finish, true),
            AfterAttempt::TryAgain => self.start_next_attempt(number),
            AfterAttempt::Retry => self.retry_after(number, outcome),
            AfterAttempt::RetryOrDeliver if self.take_retry(number, outcome) => {
                self.start_attempt_anywhere(number);
            }
            AfterAttempt::Deliver | AfterAttempt::RetryOrDeliver => {
                self.finish(number, Command::Deliver, is_answer(outcome));
            }
            AfterAttempt::GiveUp => self.give_up(number, RefusalReason::EndpointFailed),
        }
    }

    /// Keeps the replicas of a lost attempt for the next one.
    pub(super) fn keep_replicas(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        fault: Fault,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let replicas = self.replicas_of(request, active);
        if let Some(request) = self.requests.get_mut(&number) {
            request.fault = Some(fault);
            // Replicas of the attempt before remain as a fallback, if this one had no events.
            request.replicas.splice(0..0, replicas);
        }
    }

    /// Records the loss of an endpoint, and reports it to peers at once.
    pub(super) fn on_loss(&mut self, endpoint: &EndpointId) {
        self.fleet.on_failure(endpoint, self.now);
        self.gossip_soon();
    }

    /// Handles the answer to an identity check: the instance that now has the endpoint's address.
    pub(super) fn on_identified(
        &mut self,
        endpoint: &EndpointId,
        instance: &EndpointId,
        born: Option<StartTime>,
    ) {
        if endpoint == instance {
            let asked = self.fleet.get(endpoint).map(Endpoint::identity_requested);
            if let Some((asked, born)) = asked.zip(born) {
                self.on_start_time(endpoint, born, asked);
            }
            self.fleet.on_success(endpoint, self.now);
            return;
        }
        self.on_other_instance(endpoint, Some(instance));
    }

    /// Starts an identity check of an instance that took over an engine's address. During a store
    /// outage the endpoint list may lack the instance for a long time. The instance may also belong to
    /// another service, so the check runs only if the endpoint's service is the only one with engines.
    fn identify(&mut self, former: &EndpointId, instance: Option<&EndpointId>) {
        let Some(table) = &self.table else {
            return;
        };
        let engines: Vec<_> = table.services().filter(|s| s.engine.is_some()).collect();
        let Some(endpoint) = self.fleet.get(former) else {
            return;
        };
        let is_only = engines.len() == 1 && engines[0].name == endpoint.spec.service;
        if let (true, Some(instance)) = (is_only, instance) {
            let spec = EndpointSpec {
                id: instance.clone(),
                version: VersionId::unlisted(&instance.clone().into()),
                born: None,
                leaving: false,
                warm_up: Duration::ZERO,
                ..endpoint.spec.clone()
            };
            self.actions.push(Action::Identify(spec));
        }
    }

    /// Passes the final answer to the caller; `is_served` means that it is not an error of the
    /// endpoint.
    fn finish(&mut self, number: RequestNumber, command: Command, is_served: bool) {
        if let Some(request) = self.requests.remove(&number) {
            if is_served {
                self.clear_suspicion(request.fingerprint);
            }
            if command == Command::Finish {
                self.forget_stream(&request);
            }
            let is_complete_stream =
                command == Command::Finish && request.arrival.after_event.is_none();
            if is_complete_stream {
                self.stream_time
                    .on_answered(self.now.since(request.arrived));
                if let Some(started) = request.first_sent.filter(|_| request.attempts == 1) {
                    self.run_time.on_answered(self.now.since(started));
                }
            }
            self.record(Record::Answered {
                request: request.arrival.id.clone(),
                after_ms: request.age_ms(self.now),
                attempts: request.attempts,
            });
        }
        self.command(number, command);
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
        let record = end_record(
            request,
            active,
            outcome,
            millis(self.now.since(active.started)),
        );
        self.record(record);
    }
}

/// Whether the endpoint answered with a status below [`LEAST_ERROR_STATUS`].
fn is_answer(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { status } if *status < LEAST_ERROR_STATUS)
}

fn end_record(
    request: &Request,
    active: &ActiveAttempt,
    outcome: &Outcome,
    after_ms: u64,
) -> Record {
    Record::Ended {
        request: request.arrival.id.clone(),
        attempt: active.attempt.0,
        endpoint: active.endpoint.id.to_string(),
        outcome: outcome.word().into(),
        status: match outcome {
            Outcome::Answered { status } => *status,
            _ => 0,
        },
        after_ms,
        last_event: request.last_event,
    }
}

//! Sends requests to endpoints, anew after a failure, and gives them up.

use std::time::Duration;

use super::Dispatcher;
use super::action::{Attempt, Command, Refusal, RefusalReason, ReplicaLocation};
use super::event::{AttemptNumber, RequestNumber, Tokens};
use super::placement::{ATTEMPT_CONNECT_LIMIT, Demand};
use super::record::Record;
use super::replicas::first_replica_check;
use super::request::{ActiveAttempt, Request};
use crate::schema::{EndpointId, Micros};

/// How long to wait before looking for an endpoint again.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// The part of the objective within which a request that can't be placed is refused.
const REFUSAL_PART: u32 = 5;
/// How long a stream that has begun looks for another endpoint.
const STREAM_PATIENCE: Duration = Duration::from_secs(5);
/// When to come back after no endpoint was found.
const RETRY_NO_ENDPOINT: Duration = Duration::from_millis(300);
/// How long a connection may have rested for a request that runs at most once.
const LONGEST_REST_ONCE: Duration = Duration::from_millis(700);
/// How long a connection may have rested for other requests.
const LONGEST_REST_REPEATABLE: Duration = Duration::from_secs(4);
/// The least time for which sending a request is worth it.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Sendings after which a request is given up, whatever came of them.
const MOST_SENDINGS: u32 = 12;

impl Dispatcher {
    /// Sends a request to the endpoint that suits it best.
    pub(super) fn start_attempt_anywhere(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.time_left(self.now) < LEAST_TIME || request.attempts >= MOST_SENDINGS {
            self.give_up_expired(number);
            return;
        }
        let chosen = self.placer.choose(&self.fleet, demand(request), self.now);
        match chosen.map(|e| e.spec.id.clone()) {
            Some(endpoint) => self.start_attempt(number, &endpoint, None),
            None => self.wait_for_endpoint(number),
        }
    }

    /// Goes on from a copy of the last run if there is one, or else wherever suits best.
    pub(super) fn start_next_attempt(&mut self, number: RequestNumber) {
        match self.take_replica(number) {
            Some(replica) => self.start_attempt(number, &replica.host, Some(&replica.at)),
            None => self.start_attempt_anywhere(number),
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        number: RequestNumber,
        to: &EndpointId,
        copy: Option<&ReplicaLocation>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(to) else {
            return;
        };
        let wants_mirror = request.route.kind.may_repeat()
            && request.engine.is_some_and(|e| e.mirrors)
            && request.maybe_run + 1 < request.route.attempts;
        let mirror = wants_mirror
            .then(|| {
                self.placer
                    .choose_mirror(&self.fleet, demand(request), endpoint, now)
            })
            .flatten()
            .map(|e| (e.spec.id.clone(), e.spec.address));
        let is_engine = request.engine.is_some();
        let usage = self.fleet.usage(endpoint, now);
        let spec = endpoint.spec.clone();
        let sending = Attempt {
            attempt: AttemptNumber(request.attempts + 1),
            endpoint: to.clone(),
            address: endpoint.spec.address,
            time_left: request.time_left(now),
            organisation: request
                .key_owner
                .as_ref()
                .map(|owner| owner.organisation.clone()),
            after_event: request.last_event,
            mirror_to: mirror.as_ref().map(|(_, address)| *address),
            resume_from: copy.cloned(),
            connect_limit: ATTEMPT_CONNECT_LIMIT,
            longest_rest: longest_rest(request),
        };
        let record = Record::Sent {
            request: request.arrival.id.clone(),
            attempt: sending.attempt.0,
            endpoint: to.to_string(),
            domain: endpoint.spec.domain.to_string(),
            backup: mirror.as_ref().map(|(id, _)| id.to_string()),
            from_backup: copy.is_some(),
            after_event: request.last_event,
            reading: usage.prefill,
            running: usage.running,
            left_ms: u64::try_from(sending.time_left.as_millis()).unwrap_or(u64::MAX),
        };
        self.record(record);
        self.fleet.on_sending(&spec, now);
        self.count_attempt(number, &sending, mirror.map(|(id, _)| id));
        if is_engine {
            self.report_usage_soon(to);
        }
        self.tell(number, Command::Send(Box::new(sending)));
    }

    /// Counts a sending at its endpoint and at the one that keeps a copy.
    fn count_attempt(
        &mut self,
        number: RequestNumber,
        sending: &Attempt,
        mirror: Option<EndpointId>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(&sending.endpoint) else {
            return;
        };
        let sending_domain = endpoint.spec.domain.clone();
        let memory = memory_of(request).0;
        let is_engine = request.engine.is_some();
        let reads = is_engine && sending.resume_from.is_none();
        let prefill = if reads { request.arrival.prompt.0 } else { 0 };
        request.attempts += 1;
        request.tried.push(sending.endpoint.clone());
        request.next_look = None;
        request.without_endpoint = None;
        request.active = Some(ActiveAttempt {
            attempt: sending.attempt,
            endpoint: sending.endpoint.clone(),
            started: now,
            heard: now,
            has_events: false,
            domain: sending_domain,
            address: sending.address,
            mirror: mirror.clone(),
            snapshot: None,
            next_replica_check: first_replica_check(now),
            prefill,
            memory,
        });
        if let Some(endpoint) = self.fleet.get_mut(&sending.endpoint) {
            endpoint.own.running += 1;
            endpoint.own.prefill += prefill;
            endpoint.own.memory += memory;
        }
        if let Some(endpoint) = mirror.and_then(|id| self.fleet.get_mut(&id)) {
            endpoint.own.memory += memory;
        }
    }

    /// Takes a sending that has ended off the counts.
    pub(super) fn uncount_attempt(&mut self, active: &ActiveAttempt) {
        if let Some(endpoint) = self.fleet.get_mut(&active.endpoint) {
            endpoint.own.running = endpoint.own.running.saturating_sub(1);
            endpoint.own.prefill = endpoint.own.prefill.saturating_sub(active.prefill);
            endpoint.own.memory = endpoint.own.memory.saturating_sub(active.memory);
        }
        if let Some(extra) = &active.snapshot {
            self.uncount_snapshot(extra);
        }
        let mirror = active.mirror.as_ref();
        if let Some(endpoint) = mirror.and_then(|id| self.fleet.get_mut(id)) {
            endpoint.own.memory = endpoint.own.memory.saturating_sub(active.memory);
        }
        self.fleet.forget_unused();
    }

    /// Looks again a little later, or refuses the request if that is too late.
    fn wait_for_endpoint(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let since = *request.without_endpoint.get_or_insert(now);
        let patience = if request.has_begun {
            STREAM_PATIENCE
        } else {
            request.route.objective / REFUSAL_PART
        };
        if now.since(since) >= patience {
            self.give_up_unplaced(number);
            return;
        }
        // Those that failed before may take it by then.
        request.tried.clear();
        request.next_look = Some(now.after(LOOK_PAUSE));
    }

    fn give_up_unplaced(&mut self, number: RequestNumber) {
        let not_run = self.requests.get(&number).is_some_and(Request::has_not_run);
        if not_run {
            self.refuse(number, RefusalReason::NoEndpoint);
        } else {
            self.refuse(number, RefusalReason::EndpointFailed);
        }
    }

    /// Gives up a request whose time is over.
    pub(super) fn give_up_expired(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let reason = if request.has_not_run() && request.active.is_none() {
            RefusalReason::ExpiredNotRun
        } else {
            RefusalReason::Expired
        };
        self.refuse(number, reason);
    }

    /// Gives a request its final answer.
    pub(super) fn refuse(&mut self, number: RequestNumber, reason: RefusalReason) {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        self.record(Record::Refused {
            request: request.arrival.id.clone(),
            reason,
            after_ms: request.age_ms(self.now),
            attempts: request.attempts,
            fault: request.fault,
        });
        if let Some(active) = &request.active {
            self.tell(number, Command::StopAttempt(active.attempt));
            self.uncount_attempt(active);
            self.drop_snapshot_of(active);
        }
        let not_run = matches!(
            reason,
            RefusalReason::NoEndpoint | RefusalReason::ExpiredNotRun
        );
        let refusal = Refusal {
            reason,
            retry_after: not_run.then_some(RETRY_NO_ENDPOINT),
        };
        self.tell(number, Command::Refuse(refusal));
    }
}

pub(super) fn demand(request: &Request) -> Demand<'_> {
    Demand {
        service: &request.service,
        engine: request.engine,
        memory: memory_of(request),
        tried: &request.tried,
        key: request.key,
    }
}

/// The tokens of KV memory that a request will take.
fn memory_of(request: &Request) -> Tokens {
    match request.engine {
        Some(_) => Tokens(request.arrival.prompt.0 + request.arrival.output.0),
        None => Tokens(0),
    }
}

fn longest_rest(request: &Request) -> Duration {
    if request.route.kind.may_repeat() {
        LONGEST_REST_REPEATABLE
    } else {
        LONGEST_REST_ONCE
    }
}

/// Whether a point in time has come.
pub(super) fn has_come(at: Option<Micros>, now: Micros) -> bool {
    at.is_some_and(|at| now >= at)
}

//! Attempts: each sends one request to one endpoint. This module starts attempts, counts them and
//! makes requests wait while no endpoint can take them.
//!
//! [`super::placement`] selects the endpoint and [`super::retry`] decides whether another attempt
//! follows. An attempt that starts is added to the usage counts of its endpoint and of its mirror's
//! host, recorded, and handed to the task of the request. A request without a usable endpoint is
//! placed again each [`PLACEMENT_RETRY_INTERVAL`] and given up after a part of its latency
//! objective, because a caller that is refused early can still be served in time elsewhere. It is
//! given up at once if all endpoints of its service want a rest from this box for longer than that;
//! they may accept requests from other boxes. A stream for which no engine has room waits for it in
//! [`super::admission::waiting`].
//!
//! State: this box's own usage counts at endpoints ([`super::fleet::usage`]). Inputs: the fleet as
//! this box knows it now.

use std::time::Duration;

use super::Dispatcher;
use super::action::{Attempt, Command};
use super::event::{AttemptNumber, EndpointSpec, RequestNumber, Tokens};
use super::fleet::speeds::AttemptWatch;
use super::fleet::{Endpoint, Usage};
use super::placement::{ATTEMPT_CONNECT_LIMIT, Demand};
use super::priority::Tier;
use super::record::Record;
use super::relays::TUNNEL_OPEN_LIMIT;
use super::replica::ReplicaLocation;
use super::replicas::first_replica_check;
use super::request::{ActiveAttempt, AttemptLease, Request, millis};
use super::rollout::evidence::Sampled;
use crate::schema::{EndpointId, EndpointIncarnation, Micros};

/// Time between two searches for an endpoint.
const PLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// A request that cannot be placed is refused after its latency objective divided by this. The
/// users' rules count a refusal within a quarter of the objective as early.
const REFUSAL_DIVISOR: u32 = 5;
/// Longest search for another endpoint for a stream that has sent events: a refusal would lose the
/// part that its caller has received.
const STREAM_PLACEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest idle time of a reused connection for a request that runs at most once: an endpoint may
/// drop an idle connection without closing it, and a request written to it cannot be repeated.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(700);
/// Longest idle time of a reused connection for other requests.
const MAX_IDLE_REPEATABLE: Duration = Duration::from_secs(4);
/// Shortest time to the deadline for which an attempt starts: no answer takes less than this.
pub(super) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Where the next attempt of a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// To this endpoint.
    Start(EndpointId),
    /// Nowhere yet: no usable engine has room.
    NoRoom,
    /// Nowhere yet: no endpoint is usable.
    Nothing,
}

/// How long a request waits for an endpoint before it is given up.
pub(super) fn placement_timeout(request: &Request) -> Duration {
    if request.has_begun {
        STREAM_PLACEMENT_TIMEOUT
    } else {
        request.route.objective / REFUSAL_DIVISOR
    }
}

impl Dispatcher {
    /// Starts an attempt at the endpoint of least cost, or waits until an endpoint is usable.
    pub(super) fn start_attempt_anywhere(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.time_left(self.now) < MIN_ATTEMPT_TIME {
            self.give_up_expired(number);
            return;
        }
        if request.has_no_attempts_left() {
            self.give_up_without_attempt(number);
            return;
        }
        if self.hand_back_if_late(number) {
            return;
        }
        self.draw_canary(number);
        self.prepare_choice(number);
        match self.choose_endpoint(number) {
            Choice::Start(endpoint) if self.must_queue(number) => {
                self.wait_for_room(number, Some(&endpoint));
            }
            Choice::Start(endpoint) if self.is_contended(number, &endpoint) => {
                self.wait_for_room(number, None);
                self.search_for(number, &endpoint);
            }
            Choice::Start(endpoint) => self.start_attempt(number, &endpoint, None),
            Choice::NoRoom => self.wait_for_room(number, None),
            Choice::Nothing => self.wait_for_endpoint(number),
        }
    }

    /// Prepares the choice of an endpoint: by which way it is reached, and the permits and leases that it
    /// may need.
    pub(super) fn prepare_choice(&mut self, number: RequestNumber) {
        self.assign_relay(number);
        self.request_missing_permit(number);
        self.request_leases(number);
    }

    /// Selects the endpoint of least cost, for a request that waits for room the one among those that
    /// have room. Room at an avoided endpoint counts only if no other endpoint is usable.
    pub(super) fn choose_endpoint(&self, number: RequestNumber) -> Choice {
        let Some(request) = self.requests.get(&number) else {
            return Choice::Nothing;
        };
        let alone = self.runs_alone(number);
        let Some(best) = self.choose_best(request, alone) else {
            return Choice::Nothing;
        };
        if !request.waits_for_room() || self.has_room(best, request, request.memory()) {
            return Choice::Start(best.spec.id.clone());
        }
        let found = self.choose_with_room(request, request.memory(), alone);
        let found = found.filter(|e| !e.is_avoided(self.now) || best.is_avoided(self.now));
        found.map_or(Choice::NoRoom, |e| Choice::Start(e.spec.id.clone()))
    }

    /// Selects the endpoint of least cost, whether or not it has room.
    pub(super) fn choose_best(&self, request: &Request, alone: bool) -> Option<&Endpoint> {
        let placer = self.placer_of(request);
        let choose = |(rules, trust)| {
            let demand = Demand {
                trust,
                ..request.demand(rules, alone)
            };
            placer.choose(&self.fleet, demand, self.now)
        };
        self.placement_passes(request).into_iter().find_map(choose)
    }

    /// Selects the endpoint of least cost among those that have room for a request that takes this
    /// much KV memory.
    pub(super) fn choose_with_room(
        &self,
        request: &Request,
        memory: Tokens,
        alone: bool,
    ) -> Option<&Endpoint> {
        let placer = self.placer_of(request);
        let choose = |(rules, trust)| {
            let demand = Demand {
                memory,
                trust,
                ..request.demand(rules, alone)
            };
            placer.choose_with_room(&self.fleet, demand, self.now)
        };
        self.placement_passes(request).into_iter().find_map(choose)
    }

    /// Requests a permit for the endpoint of least cost if that endpoint has a rate limit and this
    /// box holds no permit for it.
    pub(super) fn request_missing_permit(&mut self, number: RequestNumber) {
        if self.fleet.directives.limits.is_empty() {
            return;
        }
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let demand = request.demand(self.rules_for(request), self.runs_alone(number));
        let best = self
            .placer_of(request)
            .choose_ignoring_permits(&self.fleet, demand, self.now);
        let missing = best.filter(|e| !self.fleet.may_send(e, self.now));
        if let Some(id) = missing.map(|e| e.spec.id.clone()) {
            self.request_permit(&id);
        }
    }

    /// Starts an attempt that resumes from a replica if one is usable, or else at the endpoint of
    /// least cost.
    pub(super) fn start_next_attempt(&mut self, number: RequestNumber) {
        match self.take_replica(number) {
            Some(replica) => self.start_attempt(number, &replica.host.id, Some(&replica.location)),
            None => self.start_attempt_anywhere(number),
        }
    }

    /// Starts an attempt at an endpoint, from a replica or from the prompt.
    pub(super) fn start_attempt(
        &mut self,
        number: RequestNumber,
        to: &EndpointId,
        replica: Option<&ReplicaLocation>,
    ) {
        if self.give_up_quarantined(number) || self.refuse_if_version_withdrawn(number) {
            return;
        }
        let now = self.now;
        let waited = self.stop_waiting(number, true);
        self.assign_relay(number);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(to) else {
            return;
        };
        let mirror = self
            .mirror_for(request, endpoint)
            .map(|host| (host.spec.incarnation(), host.spec.address));
        let usage = self.fleet.usage(endpoint, now);
        let spec = endpoint.spec.clone();
        let attempt = Attempt {
            mirror_to: mirror.as_ref().map(|(_, address)| *address),
            resume_from: replica.cloned(),
            ..self.attempt_at(request, &spec)
        };
        let mirror = mirror.map(|(host, _)| host);
        let backup = mirror.as_ref().map(|host| host.id.to_string());
        let sent = self.sent_record(request, &attempt, &spec, backup, (usage, waited));
        self.record(sent);
        self.record_relayed(number, &attempt);
        self.fleet.on_attempt(&spec, now);
        self.use_permit(to);
        let lease = self.take_lease(to);
        if let Some(rollout) = self.rollouts.of_mut(&spec.service) {
            rollout.on_attempt(&spec.version, now);
        }
        self.count_attempt(number, &attempt, (mirror, lease), usage.prefill);
        self.publish_usage_soon(to);
        self.watch_speed(number, usage.prefill == 0);
        self.keep_version(number);
        self.command(number, Command::Send(Box::new(attempt)));
    }

    /// Builds the next attempt of a request, from the prompt and without a mirror.
    fn attempt_at(&self, request: &Request, spec: &EndpointSpec) -> Attempt {
        let owner = request.key_owner.as_ref();
        Attempt {
            attempt: AttemptNumber(request.attempts + 1),
            endpoint: spec.id.clone(),
            address: spec.address,
            via: request.relay.as_ref().map(|relay| relay.address),
            time_left: request.time_left(self.now),
            organisation: owner.map(|owner| owner.organisation.clone()),
            tier: request.tier,
            after_event: request.last_event,
            mirror_to: None,
            resume_from: None,
            expected_start: Self::expected_start(request, spec),
            identity_path: self.identity_path(request, spec),
            connect_timeout: match request.relay {
                Some(_) => TUNNEL_OPEN_LIMIT,
                None => ATTEMPT_CONNECT_LIMIT,
            },
            max_idle: max_connection_idle(request),
            max_idle_connections: self.max_idle_connections(spec),
            reports_connection: self.is_judged(&request.service),
            is_limited: self.fleet.directives.limits.of(&spec.id).is_some()
                || self.fleet.directives.tolerances.of(&spec.service).is_some(),
        }
    }

    /// The path at which an endpoint must name itself before it gets a request, if its process may have
    /// been replaced.
    fn identity_path(&self, request: &Request, spec: &EndpointSpec) -> Option<String> {
        let endpoint = self.fleet.get(&spec.id)?;
        let service = self.table.as_ref()?.service(&request.service)?;
        let is_unverified = self.fleet.is_unverified(endpoint);
        is_unverified.then(|| service.health_path.clone())
    }

    /// Builds the record of an attempt that starts.
    fn sent_record(
        &self,
        request: &Request,
        attempt: &Attempt,
        spec: &EndpointSpec,
        backup: Option<String>,
        (usage, waited): (Usage, Option<Duration>),
    ) -> Record {
        Record::Sent {
            request: request.arrival.id.clone(),
            attempt: attempt.attempt.0,
            endpoint: spec.id.to_string(),
            service: spec.service.to_string(),
            domain: spec.domain.to_string(),
            is_near: spec.domain == self.cfg.domain,
            slots: spec.slots,
            backup,
            from_backup: attempt.resume_from.is_some(),
            after_event: request.last_event,
            reading: usage.prefill,
            running: usage.running,
            left_ms: millis(attempt.time_left),
            tier: request.tier.map(Tier::rank),
            waited_ms: waited.map(millis),
            version: (!self.has_sole_version(&spec.service)).then(|| spec.version.to_string()),
            doubt: self.doubt_about(spec).map(Into::into),
        }
    }

    /// What speaks against an endpoint that was chosen all the same, in the word of the decision log.
    fn doubt_about(&self, spec: &EndpointSpec) -> Option<&'static str> {
        let endpoint = self.fleet.get(&spec.id)?;
        if endpoint.is_avoided(self.now) {
            Some("avoided")
        } else if self.fleet.is_suspected(endpoint, self.now) {
            Some("suspected")
        } else if self.fleet.is_unverified(endpoint) {
            Some("unverified")
        } else {
            spec.version.is_unlisted().then_some("unlisted")
        }
    }

    /// Records through which box an attempt goes, if it goes through one.
    fn record_relayed(&mut self, number: RequestNumber, attempt: &Attempt) {
        let request = self.requests.get(&number);
        if let Some((request, relay)) = request.zip(attempt.via) {
            let record = Record::Relayed {
                request: request.arrival.id.clone(),
                attempt: attempt.attempt.0,
                relay: relay.to_string(),
            };
            self.record(record);
        }
    }

    /// Adds an attempt to the usage counts of its endpoint and of its mirror's host.
    fn count_attempt(
        &mut self,
        number: RequestNumber,
        attempt: &Attempt,
        (mirror, lease): (Option<EndpointIncarnation>, AttemptLease),
        queued_prefill: u32,
    ) {
        let alone = self.runs_alone(number);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(endpoint) = self.fleet.get_mut(&attempt.endpoint) else {
            return;
        };
        let mut active = active_attempt(request, attempt, &endpoint.spec, mirror, self.now);
        active.sampled = Sampled::behind(queued_prefill);
        active.queued_prefill = queued_prefill;
        active.lease = lease;
        if alone {
            // Counting all slots also keeps boxes of earlier versions from placing requests here.
            active.slots = endpoint.spec.slots.max(1);
        }
        endpoint.own.running += active.slots;
        endpoint.own.prefill += active.prefill;
        endpoint.own.memory += active.memory;
        let host = active.mirror.as_ref();
        if let Some(host) = host.and_then(|host| self.fleet.get_incarnation_mut(host)) {
            host.own.memory += active.memory;
        }
        request.first_sent.get_or_insert(self.now);
        request.attempts += 1;
        request.tried.push(active.endpoint.clone());
        request.next_placement = None;
        request.unplaced_since = None;
        request.active = Some(active);
    }

    /// Removes an ended attempt from the usage counts.
    pub(super) fn uncount_attempt(&mut self, active: &ActiveAttempt) {
        self.publish_usage_soon(&active.endpoint.id);
        self.on_own_load_ended(&active.endpoint.id);
        if let Some(endpoint) = self.fleet.get_incarnation_mut(&active.endpoint) {
            endpoint.own.running = endpoint.own.running.saturating_sub(active.slots);
            endpoint.own.prefill = endpoint.own.prefill.saturating_sub(active.prefill);
            endpoint.own.memory = endpoint.own.memory.saturating_sub(active.memory);
        }
        if let Some(snapshot) = &active.snapshot {
            self.uncount_snapshot(snapshot);
        }
        let host = active.mirror.as_ref();
        if let Some(host) = host.and_then(|host| self.fleet.get_incarnation_mut(host)) {
            host.own.memory = host.own.memory.saturating_sub(active.memory);
        }
        self.return_lease(active);
        self.fleet.forget_unused();
    }

    /// Schedules another search for an endpoint, or gives the request up once its time for that is
    /// over.
    pub(super) fn wait_for_endpoint(&mut self, number: RequestNumber) {
        if self.refuse_if_version_gone(number) {
            return;
        }
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let since = *request.unplaced_since.get_or_insert(now);
        let give_up_at = since.after(placement_timeout(request));
        let opens_at = self.fleet.opens_at(&request.service, now);
        if now >= give_up_at || opens_at.is_some_and(|at| at > give_up_at) {
            self.give_up_without_attempt(number);
            return;
        }
        // Endpoints that failed earlier may have recovered by the next search.
        request.tried.clear();
        request.next_placement = Some(now.after(PLACEMENT_RETRY_INTERVAL));
    }
}

fn active_attempt(
    request: &Request,
    attempt: &Attempt,
    spec: &EndpointSpec,
    mirror: Option<EndpointIncarnation>,
    now: Micros,
) -> ActiveAttempt {
    let needs_prefill = request.engine.is_some() && attempt.resume_from.is_none();
    ActiveAttempt {
        attempt: attempt.attempt,
        endpoint: spec.incarnation(),
        version: spec.version.clone(),
        started: now,
        is_connected: false,
        last_seen: now,
        checked: attempt.expected_start.map(|_| spec.incarnation()),
        has_events: false,
        first_event: None,
        sampled: Sampled::default(),
        watch: AttemptWatch::default(),
        domain: spec.domain.clone(),
        address: attempt.address,
        via: attempt.via,
        lease: AttemptLease::None,
        mirror,
        snapshot: None,
        failed_snapshots: 0,
        next_replica_check: first_replica_check(now),
        next_move: now,
        prefill: if needs_prefill {
            request.arrival.prompt.min(request.memory()).0
        } else {
            0
        },
        queued_prefill: 0,
        memory: request.memory().0,
        slots: 1,
    }
}

fn max_connection_idle(request: &Request) -> Duration {
    if request.route.kind.may_repeat() {
        MAX_IDLE_REPEATABLE
    } else {
        MAX_IDLE_ONCE
    }
}

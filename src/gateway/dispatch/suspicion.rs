//! When an endpoint is suspected to be dead, and what is checked of each request at each tick.
//!
//! A stream that pauses longer than [`PAUSE_BEFORE_PROBE`], or [`PAUSE_BEFORE_PROBE_IN_PREFILL`]
//! before its first event, makes the box probe the engine, unless the engine was heard in another
//! way meanwhile: by any stream of this box, or by the answer to a probe. An engine that does not
//! answer within [`PROBE_LIMIT`] is suspected, and every request there that may run again moves. A
//! call that may be repeated moves without a probe once it has taken [`SLOW_CALL_PART`] of its
//! latency objective: a plain service has no load that could be asked for.
//!
//! Inputs: when each attempt and each endpoint were heard last, as of now; ticks come each 25 ms.
//! Owns: the probes that are under way. What follows from a loss for later attempts is in
//! [`super::fleet`]; connections that break are losses at once and don't come here. Weighed: a
//! fixed time-out (an engine that is merely slow loses its streams, and prompts are read again) and
//! two engines for each stream (twice the prefill).
//!
//! A request has these checks, the first that holds is carried out: its deadline is over (given
//! up); it waits for what follows from a crash, and that is known (goes on, [`super::crashes`]); it
//! waits for an endpoint and the pause is over (looks again); a call is slow (moves); its engine has
//! started again, and nothing of the attempt was heard since (moves, [`super::endpoint_restart`]); its engine is
//! silent (probe); its replicas are due ([`super::replicas`]).

use std::time::Duration;

use super::Dispatcher;
use super::action::{Action, Command};
use super::event::{Outcome, RequestNumber};
use super::record::Record;
use super::request::{Request, is_due, millis};
use super::table::RouteKind;
use crate::schema::{EndpointId, Micros, StartTime};

/// Longest pause of a stream before its engine is probed. A stream beside a prompt that is
/// prefilled gets an event each 152 ms; with 160 ms there were 25,545 probes on grown sahel
/// trouble-1, with 200 ms and the next figure 19,940, and streams that read their prompt again were
/// 32 and 23.
pub(super) const PAUSE_BEFORE_PROBE: Duration = Duration::from_millis(200);
/// Longest silence before the first event until the engine is probed. A prompt of the users' sites
/// takes 1.3 s to prefill; 400 ms asked three times during that, 700 ms once.
pub(super) const PAUSE_BEFORE_PROBE_IN_PREFILL: Duration = Duration::from_millis(700);
/// How long an engine may take to answer a probe. With the pause before it a silent engine is left
/// after 350 ms, half of the longest pause that the users' sites allow (700 ms). Chosen.
const PROBE_LIMIT: Duration = Duration::from_millis(150);
/// The part of the latency objective after which a call that may be repeated is tried elsewhere, so
/// that the second endpoint can still answer in time.
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
    /// Checks every request, as the head of this module says.
    pub(super) fn check_requests(&mut self) {
        let numbers: Vec<RequestNumber> = self.requests.keys().copied().collect();
        for number in numbers {
            self.sample_overdue(number);
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
        } else if is_due(request.next_placement, now) {
            request.next_placement = None;
            self.start_attempt_anywhere(number);
        } else if is_due(request.retry_at, now) {
            request.retry_at = None;
            self.retry(number);
        } else if is_slow_call(request, now) || self.is_stranded(number) {
            self.move_away(number);
        } else if self.must_leave_version(number) {
            self.leave_version(number);
        } else if let Some(endpoint) = self.silent_endpoint(number) {
            self.probe(&endpoint);
        } else {
            self.check_replicas(number);
        }
    }

    /// The engine of a stream, if it was not heard for too long and no probe is under way.
    fn silent_endpoint(&self, number: RequestNumber) -> Option<EndpointId> {
        let request = self.requests.get(&number)?;
        request.engine?;
        let active = request.active.as_ref()?;
        let endpoint = self.fleet.get_incarnation(&active.endpoint)?;
        let limit = if active.has_events {
            PAUSE_BEFORE_PROBE
        } else {
            PAUSE_BEFORE_PROBE_IN_PREFILL
        };
        let heard = active
            .last_seen
            .max(endpoint.last_seen)
            .max(endpoint.last_probe);
        let is_silent = self.now.since(heard) >= limit && endpoint.probe_sent.is_none();
        is_silent.then(|| active.endpoint.id.clone())
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

    /// Asks suspected engines of the own domain who they are: a restarted one is known sooner by
    /// its own word than by the list, most of all while the store is out (lundavik scale-2: 0.82 to
    /// 0.97 on one seed before, 0.91 to 0.98 after).
    pub(super) fn ask_identities(&mut self) {
        let domain = self.cfg.domain.clone();
        for spec in self.fleet.take_due_identity_requests(&domain, self.now) {
            let service = self.table.as_ref().and_then(|t| t.service(&spec.service));
            let Some(service) = service.filter(|s| s.engine.is_some()) else {
                continue;
            };
            let path = service.health_path.clone();
            self.actions.push(Action::RequestIdentity { spec, path });
        }
    }

    pub(super) fn on_probed(
        &mut self,
        id: &EndpointId,
        is_answered: bool,
        born: Option<StartTime>,
    ) {
        let now = self.now;
        let asked = self.fleet.get(id).and_then(|e| e.probe_sent);
        if let Some((asked, born)) = asked.zip(born) {
            self.on_start_time(id, born, asked);
        }
        let Some(endpoint) = self.fleet.get_mut(id) else {
            return;
        };
        let asked = endpoint.probe_sent.take().unwrap_or(now);
        if is_answered {
            endpoint.last_seen = now;
            self.fleet.on_reached(id);
            return;
        }
        // Something else may have been heard of it since it was asked.
        if endpoint.last_seen > asked {
            return;
        }
        self.on_loss(id);
        self.move_all_from(id, asked);
    }

    /// Moves all requests that may run again away from a suspected endpoint.
    fn move_all_from(&mut self, id: &EndpointId, unheard_since: Micros) {
        let at_endpoint = |request: &Request| {
            let active = request.active.as_ref();
            active.is_some_and(|r| r.endpoint.id == *id && r.last_seen <= unheard_since)
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

    /// Ends a request's attempt as silent, and goes on elsewhere.
    pub(super) fn move_away(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(active) = request.active.take() else {
            return;
        };
        request.possible_runs += 1;
        let record = Record::Suspected {
            request: request.arrival.id.clone(),
            endpoint: active.endpoint.id.to_string(),
            silent_ms: millis(now.since(active.last_seen)),
        };
        self.record(record);
        self.command(number, Command::StopAttempt(active.attempt));
        self.record_end(number, &active, &Outcome::Stopped);
        self.sample_end(number, &active, &Outcome::Stopped);
        self.uncount_attempt(&active);
        self.continue_request(number, &active, &Outcome::Stopped);
    }
}

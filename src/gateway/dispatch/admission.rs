//! Which requests are admitted, which wait, and which are refused at once.
//!
//! [`decide`] is the rule: a request needs a route of the table in force and, where the route asks
//! for one, a key that an organisation owns. A box that knows no table or no endpoints yet holds
//! requests back for a moment; a box that is stopping refuses streams that it could not finish.
//!
//! Owns: the requests that are held back. Relies on: the table in force, [`Fleet::is_known`] and
//! the end of the grace period, all as of now. Before this, `shell/callers.rs` refuses what it
//! can't read, and what there is no room for; endpoints are looked for after it, by
//! [`super::attempts`].
//!
//! Holding back was weighed against refusing: 1.6% of the requests of lundavik scale-1 were refused
//! by boxes that had just started, 0.0% since. Refusing streams late in a stop was weighed against
//! taking them: two were cut 6 s after SIGTERM (docs/FINDINGS.md). Late is by the
//! time that streams took lately ([`super::stream_time`]).

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use super::action::Command;
use super::event::{Arrival, RequestNumber};
use super::fleet::Endpoint;
#[cfg(doc)]
use super::fleet::Fleet;
use super::record::Record;
use super::refusal::{Refusal, RefusalReason};
use super::request::Request;
use super::table::{KeyOwner, NoMatch, Route, RoutingTable};
use crate::schema::{Micros, ServiceId};

/// How long a request is held back by a box that knows no routes or endpoints yet. Chosen between
/// the time in which a box learns them from a peer (150 ms and an exchange) and the shortest
/// latency objectives.
pub(super) const QUEUE_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after its start a box takes each stream for one of a caller that lost its box, though
/// it names no event: whoever lost it before the first event has none to name, and the prompt has
/// been read at some engine. Callers come back within some seconds.
const CALLERS_RETURN_FOR: Duration = Duration::from_secs(5);
/// How many requests such a box holds back: what arrives in 400 ms at some 1,200 a second.
const MAX_QUEUED_REQUESTS: usize = 500;
/// A request that waits for this box to know routes and endpoints.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    /// Its number.
    pub number: RequestNumber,
    arrival: Arrival,
    until: Micros,
}

/// What becomes of a request that has been read.
#[derive(Debug)]
enum Admission {
    /// It is served.
    Admitted {
        route: Arc<Route>,
        key_owner: Option<KeyOwner>,
    },
    /// It gets its final answer at once.
    Refused(Refusal),
}

/// Decides about a request by the table in force; `is_too_late` says that this box is stopping and
/// ends before a stream could.
fn decide(table: &RoutingTable, arrival: &Arrival, is_too_late: bool) -> Admission {
    let refused = |reason| Admission::Refused(Refusal::new(reason));
    let route = match table.route(&arrival.host, &arrival.path) {
        Ok(route) => route,
        Err(NoMatch::Route | NoMatch::Key) => return refused(RefusalReason::NoRoute),
    };
    let key_owner = match table.key_owner(&route, arrival.key.as_deref()) {
        Ok(owner) => owner,
        Err(NoMatch::Route | NoMatch::Key) => return refused(RefusalReason::UnknownKey),
    };
    if is_too_late && route.kind.is_stream() {
        return Admission::Refused(Refusal::stopping());
    }
    Admission::Admitted { route, key_owner }
}

impl Dispatcher {
    pub(super) fn on_arrival(&mut self, number: RequestNumber, arrival: Arrival) {
        let table = self.table.clone().filter(|_| self.fleet.is_known());
        let Some(table) = table else {
            self.queue_request(number, arrival);
            return;
        };
        let grace_left = self.ends_at.map(|at| at.since(self.now));
        let is_too_late = grace_left.is_some_and(|left| left < self.stream_time.expected());
        match decide(&table, &arrival, is_too_late) {
            Admission::Admitted { route, key_owner } => {
                self.admit(number, arrival, &table, route, key_owner);
            }
            Admission::Refused(refusal) => self.refuse_new(number, &arrival, refusal),
        }
    }

    fn queue_request(&mut self, number: RequestNumber, arrival: Arrival) {
        if self.queued.len() >= MAX_QUEUED_REQUESTS {
            let refusal = Refusal::new(RefusalReason::NoConfiguration);
            self.refuse_new(number, &arrival, refusal);
            return;
        }
        let until = self.now.after(QUEUE_TIMEOUT);
        self.queued.push(QueuedRequest {
            number,
            arrival,
            until,
        });
    }

    /// Decides about what was held back, once routes and endpoints are known.
    pub(super) fn release_queued(&mut self) {
        if self.table.is_none() || !self.fleet.is_known() {
            return;
        }
        for held in std::mem::take(&mut self.queued) {
            self.on_arrival(held.number, held.arrival);
        }
    }

    /// Refuses what was held back for too long.
    pub(super) fn refuse_queued(&mut self) {
        let now = self.now;
        let is_over = |held: &mut QueuedRequest| now >= held.until;
        let over: Vec<QueuedRequest> = self.queued.extract_if(.., is_over).collect();
        for held in over {
            let refusal = Refusal::new(RefusalReason::NoConfiguration);
            self.refuse_new(held.number, &held.arrival, refusal);
        }
    }

    fn refuse_new(&mut self, number: RequestNumber, arrival: &Arrival, refusal: Refusal) {
        self.record(Record::Refused {
            request: arrival.id.clone(),
            reason: refusal.reason,
            after_ms: 0,
            attempts: 0,
            fault: None,
        });
        self.command(number, Command::Refuse(refusal));
    }

    fn admit(
        &mut self,
        number: RequestNumber,
        arrival: Arrival,
        table: &RoutingTable,
        route: Arc<Route>,
        key_owner: Option<KeyOwner>,
    ) {
        let service = self.pick_service(&route);
        self.budget.on_request(&service, self.now);
        let engine = table.service(&service).and_then(|s| s.engine);
        let request = Request::new(arrival, route, service, engine, key_owner, self.now);
        self.record(Record::Arrived {
            request: request.arrival.id.clone(),
            route: request.route.name.clone(),
            table: table.version().0,
            prompt: request.arrival.prompt.0,
            fingerprint: request.fingerprint.hex(),
        });
        let may_return = request.last_event.is_some() || self.has_just_started();
        let is_return = request.engine.is_some() && may_return;
        self.requests.insert(number, request);
        if self.give_up_quarantined(number) {
            return;
        }
        if is_return {
            self.locate(number);
        } else {
            self.start_attempt_anywhere(number);
        }
    }

    /// Whether callers that come may have lost their box when this one was lost.
    fn has_just_started(&self) -> bool {
        !self.cfg.first_start && self.now.since(self.started) < CALLERS_RETURN_FOR
    }

    /// Picks a service of the route by weight, among those that have an endpoint if any does.
    fn pick_service(&mut self, route: &Route) -> ServiceId {
        let picked = route.pick_target(self.rng.random());
        let has_endpoint =
            |service: &ServiceId| self.fleet.of_service(service).any(Endpoint::takes_work);
        if has_endpoint(picked) {
            return picked.clone();
        }
        let mut others = route.targets.iter().filter(|t| t.weight > 0);
        let other = others.find(|target| has_endpoint(&target.service));
        other.map_or_else(|| picked.clone(), |target| target.service.clone())
    }
}

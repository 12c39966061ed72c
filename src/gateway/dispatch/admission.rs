//! Admission control: which requests are served, queued or refused when they arrive.
//!
//! [`decide`] is the rule: a request needs a route of the current routing table and, where the
//! route requires one, an API key that belongs to an organisation. A box that has no routing table
//! or no endpoints yet queues requests for up to [`QUEUE_TIMEOUT`]. A box that is stopping hands a
//! request back that it does not expect to finish in time ([`super::stopping`]). Streams that are
//! admitted while no engine has room wait in another queue ([`waiting`]).
//!
//! State: the queued requests. Inputs: the current routing table and [`Fleet::is_known`]. Earlier,
//! `shell/callers.rs` refuses requests that it cannot parse or has no memory for. Later,
//! [`super::attempts`] selects the endpoint.
//!
//! Without the queue, boxes that had just started refused 1.6% of the requests of a large fleet;
//! with it, 0.0%. Without the refusal of late streams, two streams were cut 6 s after SIGTERM.

pub mod queue;
pub mod room;
mod search;
pub mod wait;
pub(super) mod waiting;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use super::action::Command;
use super::event::{Arrival, RequestNumber};
#[cfg(doc)]
use super::fleet::Fleet;
use super::priority::Tier;
use super::record::Record;
use super::refusal::{Refusal, RefusalReason};
use super::request::Request;
use super::stream_versions::stream_draw;
use super::table::{KeyOwner, NoMatch, Route, RouteKind, RoutingTable};
use crate::schema::{Micros, ServiceId};

/// Longest time that a request is queued while the box has no routes or endpoints. Longer than the
/// box takes to get them from a peer (150 ms and an exchange), shorter than the shortest latency
/// objectives.
pub(super) const QUEUE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a restart in which every stream is treated as a reconnect, even without a last event
/// id: a caller that lost its box before the first event has no id to send, but some engine may have
/// prefilled its prompt. Callers reconnect within some seconds.
const RECONNECT_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of queued requests: the arrivals of 400 ms at about 1,200 a second.
const MAX_QUEUED_REQUESTS: usize = 500;

/// A request that waits until this box has routes and endpoints.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub number: RequestNumber,
    arrival: Arrival,
    arrived: Micros,
    expires_at: Micros,
}

/// The decision about a parsed request.
#[derive(Debug)]
enum Admission {
    Admitted {
        route: Arc<Route>,
        key_owner: Option<KeyOwner>,
    },
    /// The refusal is sent at once, as the final answer.
    Refused(Refusal),
}

/// Admits or refuses a request by the current routing table.
fn decide(table: &RoutingTable, arrival: &Arrival) -> Admission {
    let refused = |reason| Admission::Refused(Refusal::new(reason));
    let route = match table.route(&arrival.host, &arrival.path) {
        Ok(route) => route,
        Err(NoMatch::Route | NoMatch::Key) => return refused(RefusalReason::NoRoute),
    };
    let key_owner = match table.key_owner(&route, arrival.key.as_deref()) {
        Ok(owner) => owner,
        Err(NoMatch::Route | NoMatch::Key) => return refused(RefusalReason::UnknownKey),
    };
    Admission::Admitted { route, key_owner }
}

impl Dispatcher {
    pub(super) fn on_arrival(&mut self, number: RequestNumber, arrival: Arrival) {
        self.decide_arrival(number, arrival, self.now);
    }

    /// Admits, refuses or queues a request that arrived at this box at `arrived`.
    fn decide_arrival(&mut self, number: RequestNumber, arrival: Arrival, arrived: Micros) {
        let table = self.table.clone().filter(|_| self.fleet.is_known());
        let Some(table) = table else {
            self.queue_request(number, arrival);
            return;
        };
        match decide(&table, &arrival) {
            Admission::Admitted { route, key_owner } => {
                self.admit(number, (arrival, arrived), &table, route, key_owner);
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
        let longest = arrival.timeout.unwrap_or(QUEUE_TIMEOUT);
        let expires_at = self.now.after(longest.min(QUEUE_TIMEOUT));
        self.queued.push(QueuedRequest {
            number,
            arrival,
            arrived: self.now,
            expires_at,
        });
    }

    /// Admits or refuses the queued requests once this box has routes and endpoints.
    pub(super) fn release_queued(&mut self) {
        if self.table.is_none() || !self.fleet.is_known() {
            return;
        }
        for request in std::mem::take(&mut self.queued) {
            self.decide_arrival(request.number, request.arrival, request.arrived);
        }
    }

    /// Refuses requests that have been queued for [`QUEUE_TIMEOUT`] or whose callers wait no longer, and
    /// all once the time of a stop is over.
    pub(super) fn refuse_queued(&mut self) {
        let (now, is_stop_over) = (self.now, self.is_stop_over());
        let is_expired = |request: &mut QueuedRequest| is_stop_over || now >= request.expires_at;
        let expired: Vec<QueuedRequest> = self.queued.extract_if(.., is_expired).collect();
        for request in expired {
            let refusal = Refusal::new(RefusalReason::NoConfiguration);
            self.refuse_new(request.number, &request.arrival, refusal);
        }
    }

    fn refuse_new(&mut self, number: RequestNumber, arrival: &Arrival, refusal: Refusal) {
        self.record(Record::Refused {
            request: arrival.id.clone(),
            reason: refusal.reason,
            after_ms: 0,
            attempts: 0,
            fault: None,
            tier: None,
            waited_ms: None,
        });
        self.command(number, Command::Refuse(refusal));
    }

    fn admit(
        &mut self,
        number: RequestNumber,
        (arrival, arrived): (Arrival, Micros),
        table: &RoutingTable,
        route: Arc<Route>,
        key_owner: Option<KeyOwner>,
    ) {
        let service = self.pick_service(&route, &arrival);
        self.budget.on_request(&service, self.now);
        let engine = table.service(&service).and_then(|s| s.engine);
        let tier = table.tier(&route, key_owner.as_ref());
        let request = Request::new(arrival, route, service, engine, key_owner, self.now);
        let queued = self.now.since(arrived);
        let request = Request {
            deadline: request.deadline.before(queued),
            tier,
            ..request
        };
        self.record(Record::Arrived {
            request: request.arrival.id.clone(),
            route: request.route.name.clone(),
            table: table.version().0,
            prompt: request.arrival.prompt.0,
            fingerprint: request.fingerprint.hex(),
            tier: request.tier.map(Tier::rank),
        });
        self.requests.insert(number, request);
        if self.give_up_quarantined(number) || self.hand_back_if_late(number) {
            return;
        }
        if self.find_version(number) {
            self.place_admitted(number);
        }
    }

    /// Places an admitted request, at the engine that keeps its prompt if there may be one.
    pub(super) fn place_admitted(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let may_be_reconnect = request.last_event.is_some() || self.has_just_started();
        if request.engine.is_some() && may_be_reconnect {
            self.locate(number);
        } else {
            self.start_attempt_anywhere(number);
        }
    }

    /// Whether this box restarted so recently that its callers may be reconnecting.
    fn has_just_started(&self) -> bool {
        !self.cfg.first_start && self.now.since(self.started) < RECONNECT_WINDOW
    }

    /// Picks a service of the route by weight, preferring services that have an open endpoint. All
    /// attempts of a stream pick the same one, at any box.
    fn pick_service(&mut self, route: &Route, arrival: &Arrival) -> ServiceId {
        let random = self.rng.random();
        let draw = match route.kind {
            RouteKind::Stream { resumable: true } => stream_draw(arrival),
            _ => random,
        };
        let picked = route.pick_target(draw);
        let has_endpoint = |service: &ServiceId| {
            let mut endpoints = self.fleet.of_service(service);
            endpoints.any(|e| self.fleet.is_open(e, self.now))
        };
        if has_endpoint(picked) {
            return picked.clone();
        }
        let mut others = route.targets.iter().filter(|t| t.weight > 0);
        let other = others.find(|target| has_endpoint(&target.service));
        other.map_or_else(|| picked.clone(), |target| target.service.clone())
    }
}

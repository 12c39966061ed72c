//! Requests that arrive: the route, the organisation, and the time that is left.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use super::action::{Command, Refusal, RefusalReason};
use super::event::{Arrival, RequestNumber};
use super::record::Record;
use super::request::Request;
use super::table::{KeyOwner, NoMatch, Route, RoutingTable};
use crate::gateway::dispatch::fleet::Endpoint;
use crate::rendezvous;
use crate::schema::{Micros, ServiceId};

/// When to come back to a box that has no configuration yet.
const RETRY_UNCONFIGURED: Duration = Duration::from_millis(300);

/// How long a request is kept by a box that knows no routes or endpoints yet.
const LONGEST_HELD_BACK: Duration = Duration::from_millis(400);
/// How many requests such a box keeps.
const MOST_HELD_BACK: usize = 500;

/// A request that waits for this box to know routes and endpoints.
#[derive(Debug)]
pub(super) struct HeldBack {
    /// Its number.
    pub number: RequestNumber,
    arrival: Arrival,
    until: Micros,
}

/// How long a stream takes as a rule.
const STREAM_TIME: Duration = Duration::from_secs(5);

impl Dispatcher {
    pub(super) fn on_arrival(&mut self, number: RequestNumber, arrival: Arrival) {
        let table = self.table.clone().filter(|_| self.fleet.is_known());
        let Some(table) = table else {
            self.hold_back(number, arrival);
            return;
        };
        match matching(&table, &arrival) {
            Err(NoMatch::Route) => self.refuse_new(number, &arrival, RefusalReason::NoRoute),
            Err(NoMatch::Key) => self.refuse_new(number, &arrival, RefusalReason::UnknownKey),
            Ok((route, _)) if self.would_be_cut(&route) => {
                self.refuse_new(number, &arrival, RefusalReason::NoEndpoint);
            }
            Ok((route, key_owner)) => self.take_in(number, arrival, &table, route, key_owner),
        }
    }

    /// Keeps a request until this box knows routes and endpoints, since a box that has just started
    /// learns them within a moment.
    fn hold_back(&mut self, number: RequestNumber, arrival: Arrival) {
        if self.held_back.len() >= MOST_HELD_BACK {
            self.refuse_new(number, &arrival, RefusalReason::NoConfiguration);
            return;
        }
        let until = self.now.after(LONGEST_HELD_BACK);
        self.held_back.push(HeldBack {
            number,
            arrival,
            until,
        });
    }

    /// Takes in what was held back, once routes and endpoints are known.
    pub(super) fn take_in_held_back(&mut self) {
        if self.table.is_none() || !self.fleet.is_known() {
            return;
        }
        for held in std::mem::take(&mut self.held_back) {
            self.on_arrival(held.number, held.arrival);
        }
    }

    /// Refuses what was held back for too long.
    pub(super) fn refuse_held_back(&mut self) {
        let now = self.now;
        let is_over = |held: &mut HeldBack| now >= held.until;
        let over: Vec<HeldBack> = self.held_back.extract_if(.., is_over).collect();
        for held in over {
            self.refuse_new(held.number, &held.arrival, RefusalReason::NoConfiguration);
        }
    }

    fn refuse_new(&mut self, number: RequestNumber, arrival: &Arrival, reason: RefusalReason) {
        let retry_after = match reason {
            RefusalReason::NoConfiguration => Some(RETRY_UNCONFIGURED),
            // By then this process has made way for its successor.
            RefusalReason::NoEndpoint => self.ends_at.map(|at| at.since(self.now)),
            _ => None,
        };
        self.record(Record::Refused {
            request: arrival.id.clone(),
            reason,
            after_ms: 0,
            attempts: 0,
            fault: None,
        });
        let refusal = Refusal {
            reason,
            retry_after,
        };
        self.tell(number, Command::Refuse(refusal));
    }

    fn take_in(
        &mut self,
        number: RequestNumber,
        arrival: Arrival,
        table: &RoutingTable,
        route: Arc<Route>,
        key_owner: Option<KeyOwner>,
    ) {
        let service = self.pick_service(&route);
        let patience = arrival.patience.unwrap_or(route.timeout);
        self.record(Record::Arrived {
            request: arrival.id.clone(),
            route: route.name.clone(),
            table: table.version().0,
            prompt: arrival.prompt.0,
        });
        self.budget.on_request(&service, self.now);
        let request = Request {
            deadline: self.now.after(patience.min(route.timeout)),
            arrived: self.now,
            engine: table.service(&service).and_then(|s| s.engine),
            last_event: arrival.after_event,
            key: rendezvous::item(arrival.parts.last().unwrap_or(&arrival.id)),
            arrival,
            route,
            service,
            key_owner,
            active: None,
            attempts: 0,
            maybe_run: 0,
            tried: Vec::new(),
            replicas: Vec::new(),
            last_passed: self.now,
            has_begun: false,
            fault: None,
            next_look: None,
            without_endpoint: None,
        };
        let is_return = request.engine.is_some() && request.last_event.is_some();
        self.requests.insert(number, request);
        if is_return {
            self.locate(number);
        } else {
            self.start_attempt_anywhere(number);
        }
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

    /// Whether a stream that begins now would be cut by the end of the process.
    fn would_be_cut(&self, route: &Route) -> bool {
        let Some(ends_at) = self.ends_at else {
            return false;
        };
        route.kind.is_stream() && self.now.after(STREAM_TIME) > ends_at
    }
}

fn matching(
    table: &RoutingTable,
    arrival: &Arrival,
) -> Result<(Arc<Route>, Option<KeyOwner>), NoMatch> {
    let route = table.route(&arrival.host, &arrival.path)?;
    let key_owner = table.key_owner(&route, arrival.key.as_deref())?;
    Ok((route, key_owner))
}

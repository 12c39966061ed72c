//! Requests at endpoints that fall over when they turn too many requests away.
//!
//! Such an endpoint states how many rejections a second it bears, over all boxes ([`Tolerance`]), and
//! may let fewer requests wait than it did. No box alone can keep its rejections that low, as each
//! knows what the others send only some milliseconds later. So a request goes to an endpoint of such
//! a service only with a lease of one of its slots. One box leases the slots of an endpoint
//! ([`lease_book`]): the box that would own its rate limit ([`super::permits`]). A lease ends when
//! the attempt does; the box that held it gives it back at once.
//!
//! A box without a lease asks for one at the [`ENDPOINTS_ASKED`] endpoints of least cost, and the
//! request waits as for any endpoint ([`super::attempts`]). A slot that no request waits for any more
//! is given back at once.
//!
//! Inputs: answers of endpoints to this box, and requests for leases, grants and returns, which
//! arrive as datagrams and may be lost; a lease whose return is lost lapses. State: which services
//! have such endpoints, the leases that this box holds, and the books of the endpoints whose slots
//! it leases. The alternatives are discussed in docs/design/slots.md.

pub mod lease_book;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::RequestNumber;
use super::fleet::directives::tolerance::Tolerance;
use super::permits::LimitOwner;
use super::placement::Demand;
use super::record::Record;
use super::request::{ActiveAttempt, AttemptLease};
use crate::schema::{
    EndpointId, EndpointIncarnation, Micros, PermitGrant, PermitRequest, ServiceId, SlotReturn,
    SlotReturnReason, SlotUpdate,
};
use lease_book::{LeaseBook, SlotRequest};

/// Endpoints at which a box asks for a lease for one request. A second one costs a message, and
/// finds a slot where the first has none.
const ENDPOINTS_ASKED: usize = 2;
/// Time for which a box that takes over the slots of an endpoint leases none, so that calls which
/// its predecessor admitted have ended.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(1);
/// Time after the first statement of a tolerance in which no other box can have leased slots.
const NEW_TOLERANCE: Duration = Duration::from_secs(1);
/// Time after which the lease of a call lapses: longer than calls take.
const CALL_LEASE: Duration = Duration::from_secs(3);
/// Time after which the lease of a stream lapses: longer than most streams take.
const STREAM_LEASE: Duration = Duration::from_secs(30);

/// Counts of leases at this box since they were last read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeaseCounts {
    /// Leases that this box granted, to itself or to others.
    pub granted: u64,
    /// Leases with which this box sent a request.
    pub used: u64,
    /// Requests that endpoints with a tolerance rejected for lack of room.
    pub rejected: u64,
}

/// The slot leases that this box grants.
#[derive(Debug, Default)]
pub(super) struct SlotLeases {
    books: BTreeMap<EndpointId, LeaseBook>,
    /// Endpoints of which this box has granted leases to itself in the event that is handled.
    own_grants: BTreeSet<EndpointId>,
    counts: LeaseCounts,
}

impl SlotLeases {
    /// When a lease can be granted next.
    pub fn due(&self) -> Option<Micros> {
        self.books.values().filter_map(LeaseBook::due).min()
    }
}

impl Dispatcher {
    /// Applies the tolerance that an endpoint stated in an answer, or that it stated none.
    pub(super) fn on_stated_tolerance(&mut self, id: &EndpointId, stated: Option<Tolerance>) {
        let Some(service) = self.fleet.get(id).map(|e| e.spec.service.clone()) else {
            return;
        };
        let tolerances = &mut self.fleet.directives.tolerances;
        if !tolerances.on_answer(&service, stated, self.now) {
            return;
        }
        self.record_tolerance(&service, stated);
        if stated.is_some() {
            self.open_books(&service);
        }
    }

    fn record_tolerance(&mut self, service: &ServiceId, stated: Option<Tolerance>) {
        let bound = stated.map_or_else(|| "none".to_owned(), |of| format!("{of} a second"));
        self.record(Record::Process {
            state: "rejections_bounded".into(),
            detail: format!("{service} {bound}"),
        });
    }

    /// Opens the books of a service's endpoints whose slots this box leases.
    fn open_books(&mut self, service: &ServiceId) {
        let of_service = self.fleet.of_service(service);
        let ids: Vec<EndpointId> = of_service.map(|e| e.spec.id.clone()).collect();
        for id in ids {
            if self.limit_owner(&id) == Some(LimitOwner::ThisBox) {
                self.open_book(&id);
            }
        }
    }

    fn open_book(&mut self, id: &EndpointId) {
        if self.slots.books.contains_key(id) {
            return;
        }
        let Some(spec) = self.fleet.get(id).map(|e| &e.spec) else {
            return;
        };
        let since = self.fleet.directives.tolerances.since(&spec.service);
        let is_taken_over = since.is_some_and(|at| self.now.since(at) >= NEW_TOLERANCE);
        let starts = if is_taken_over {
            self.now.after(TAKEOVER_PAUSE)
        } else {
            self.now
        };
        let book = LeaseBook::new(spec.slots, starts);
        self.slots.books.insert(id.clone(), book);
    }

    /// Asks for leases for a request if its service states a tolerance and this box holds none with
    /// which it can be sent.
    pub(super) fn request_leases(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if self
            .fleet
            .directives
            .tolerances
            .of(&request.service)
            .is_none()
        {
            return;
        }
        let alone = self.runs_alone(number);
        let placer = self.placer_of(request);
        let mut asked = request.tried.clone();
        let demand = request.demand(self.rules_for(request), alone);
        if placer.choose(&self.fleet, demand, self.now).is_some() {
            return;
        }
        let mut best = Vec::new();
        while best.len() < ENDPOINTS_ASKED {
            let demand = Demand {
                tried: &asked,
                ..demand
            };
            let found = placer.choose_ignoring_permits(&self.fleet, demand, self.now);
            let Some(endpoint) = found.map(|e| e.spec.incarnation()) else {
                break;
            };
            best.push(endpoint.clone());
            asked.push(endpoint);
        }
        for endpoint in best {
            self.request_lease(&endpoint);
            if self.fleet.directives.tolerances.has_lease(&endpoint.id) {
                return;
            }
        }
    }

    fn request_lease(&mut self, endpoint: &EndpointIncarnation) {
        match self.limit_owner(&endpoint.id) {
            Some(LimitOwner::ThisBox) => {
                let holder = self.cfg.address;
                self.on_lease_request(&endpoint.id, SlotRequest { holder, slots: 1 });
            }
            Some(LimitOwner::Local(to) | LimitOwner::Remote(to)) => {
                let request = PermitRequest {
                    endpoint: endpoint.clone(),
                    wanted: 1,
                };
                let update = SlotUpdate {
                    asks: vec![request],
                    ..self.empty_slot_update()
                };
                self.send_slot_update(to, update);
            }
            None => {}
        }
    }

    fn empty_slot_update(&self) -> SlotUpdate {
        SlotUpdate {
            from: self.cfg.me.clone(),
            reply_to: self.cfg.address.to_string(),
            is_passed_on: false,
            asks: Vec::new(),
            grants: Vec::new(),
            returns: Vec::new(),
        }
    }

    fn send_slot_update(&mut self, to: SocketAddr, update: SlotUpdate) {
        self.actions.push(Action::PublishSlots { to, update });
    }

    /// Handles requests for leases, grants and returns from another box.
    pub(super) fn on_peer_slots(&mut self, update: &SlotUpdate) {
        for grant in &update.grants {
            self.on_leases_granted(grant);
        }
        // A message whose reply address can't be parsed is dropped; the requester asks again.
        let Ok(holder) = update.reply_to.parse() else {
            return;
        };
        let asked = update.asks.iter().map(|ask| &ask.endpoint.id);
        let returned = update.returns.iter().map(|of| &of.endpoint.id);
        let Some(id) = asked.chain(returned).next().cloned() else {
            return;
        };
        match self.limit_owner(&id) {
            Some(LimitOwner::ThisBox) => self.on_slot_messages(holder, update),
            Some(LimitOwner::Local(owner)) if !update.is_passed_on => {
                let update = SlotUpdate {
                    is_passed_on: true,
                    grants: Vec::new(),
                    ..update.clone()
                };
                self.send_slot_update(owner, update);
            }
            _ => {}
        }
    }

    fn on_slot_messages(&mut self, holder: SocketAddr, update: &SlotUpdate) {
        for returned in &update.returns {
            self.on_lease_returned(holder, returned);
        }
        for ask in &update.asks {
            let slots = ask.wanted;
            self.on_lease_request(&ask.endpoint.id, SlotRequest { holder, slots });
        }
    }

    fn on_lease_request(&mut self, id: &EndpointId, request: SlotRequest) {
        self.open_book(id);
        if let Some(book) = self.slots.books.get_mut(id) {
            book.on_request(request, self.now);
        }
        self.grant_leases(id);
    }

    fn on_lease_returned(&mut self, holder: SocketAddr, returned: &SlotReturn) {
        let id = &returned.endpoint.id;
        let Some(book) = self.slots.books.get_mut(id) else {
            return;
        };
        match returned.reason {
            SlotReturnReason::Ended => {}
            SlotReturnReason::Rejected => book.on_rejected(self.now),
            SlotReturnReason::Unused => book.forget_request(holder),
        }
        let slots = returned.slots;
        book.on_returned(SlotRequest { holder, slots });
        self.grant_leases(id);
    }

    /// Grants the leases of an endpoint that are free.
    fn grant_leases(&mut self, id: &EndpointId) {
        let now = self.now;
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let running = self.fleet.usage(endpoint, now).running;
        let service = endpoint.spec.service.clone();
        let incarnation = endpoint.spec.incarnation();
        let table = self.table.as_ref();
        let is_engine = table
            .and_then(|table| table.service(&service))
            .is_some_and(|service| service.engine.is_some());
        let lifetime = if is_engine { STREAM_LEASE } else { CALL_LEASE };
        let since = self.fleet.directives.tolerances.since(&service);
        let is_new = since.is_some_and(|at| now.since(at) < NEW_TOLERANCE);
        let Some(book) = self.slots.books.get_mut(id) else {
            return;
        };
        // Requests that were sent before the tolerance was known have no leases.
        let unleased = if is_new {
            running.saturating_sub(book.leased())
        } else {
            0
        };
        for granted in book.grant(unleased, lifetime, now) {
            self.slots.counts.granted += u64::from(granted.slots);
            let grant = PermitGrant {
                endpoint: incarnation.clone(),
                permits: granted.slots,
            };
            if granted.holder == self.cfg.address {
                self.fleet
                    .directives
                    .tolerances
                    .on_granted(id, granted.slots);
                self.slots.own_grants.insert(id.clone());
            } else {
                let update = SlotUpdate {
                    grants: vec![grant],
                    ..self.empty_slot_update()
                };
                self.send_slot_update(granted.holder, update);
            }
        }
    }

    /// Uses leases that another box granted, and gives back those that no request waits for.
    fn on_leases_granted(&mut self, grant: &PermitGrant) {
        let id = &grant.endpoint.id;
        self.fleet
            .directives
            .tolerances
            .on_granted(id, grant.permits);
        self.use_leases(&grant.endpoint);
    }

    /// Starts requests that wait for a lease of an endpoint's slots while this box holds any, and
    /// gives the rest back.
    fn use_leases(&mut self, endpoint: &EndpointIncarnation) {
        self.retry_waiting(endpoint);
        let unused = self.fleet.directives.tolerances.take_unused(&endpoint.id);
        if unused > 0 {
            self.return_leases(endpoint, unused, SlotReturnReason::Unused);
        }
    }

    /// Takes a lease for an attempt that starts, if this box holds one.
    pub(super) fn take_lease(&mut self, id: &EndpointId) -> AttemptLease {
        if !self.fleet.directives.tolerances.take_lease(id) {
            return AttemptLease::None;
        }
        self.slots.counts.used += 1;
        AttemptLease::Held
    }

    /// Gives back the lease of an attempt that has ended.
    pub(super) fn return_lease(&mut self, active: &ActiveAttempt) {
        let reason = match active.lease {
            AttemptLease::None => return,
            AttemptLease::Held => SlotReturnReason::Ended,
            AttemptLease::Rejected => {
                self.slots.counts.rejected += 1;
                SlotReturnReason::Rejected
            }
        };
        self.return_leases(&active.endpoint, 1, reason);
    }

    fn return_leases(
        &mut self,
        endpoint: &EndpointIncarnation,
        slots: u32,
        reason: SlotReturnReason,
    ) {
        let returned = SlotReturn {
            endpoint: endpoint.clone(),
            slots,
            reason,
        };
        match self.limit_owner(&endpoint.id) {
            Some(LimitOwner::ThisBox) => self.on_lease_returned(self.cfg.address, &returned),
            Some(LimitOwner::Local(to) | LimitOwner::Remote(to)) => {
                let update = SlotUpdate {
                    returns: vec![returned],
                    ..self.empty_slot_update()
                };
                self.send_slot_update(to, update);
            }
            None => {}
        }
    }

    /// Grants leases that are free since others lapsed, and forgets what is no longer in force.
    pub(super) fn maintain_leases(&mut self) {
        for service in self.fleet.directives.tolerances.take_expired(self.now) {
            self.record_tolerance(&service, None);
        }
        let now = self.now;
        self.slots.books.retain(|_, book| book.is_in_use(now));
        let ids: Vec<EndpointId> = self.slots.books.keys().cloned().collect();
        for id in ids {
            self.grant_leases(&id);
        }
    }

    /// Lets requests of this box use the leases that it granted to itself.
    pub(super) fn use_own_grants(&mut self) {
        for id in std::mem::take(&mut self.slots.own_grants) {
            let is_held = self.fleet.directives.tolerances.has_lease(&id);
            let endpoint = self.fleet.get(&id).map(|e| e.spec.incarnation());
            if let Some(endpoint) = endpoint.filter(|_| is_held) {
                self.use_leases(&endpoint);
            }
        }
    }

    /// Returns the counts and resets them.
    pub fn take_lease_counts(&mut self) -> LeaseCounts {
        std::mem::take(&mut self.slots.counts)
    }
}

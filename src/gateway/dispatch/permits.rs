//! Permits to send requests to endpoints that name a rate limit.
//!
//! One box, the owner of the limit (`allocation`), allocates the permits of an endpoint at the rate
//! that the endpoint names ([`allocator`]). A box that would send a request to such an endpoint and
//! has no permit requests one from the owner and selects another endpoint meanwhile. A request that
//! no other endpoint can take is retried as soon as a permit arrives. A box of another failure
//! domain sends its permit request to any box of the endpoint's domain, which forwards it to the
//! owner.
//!
//! Inputs: limits ([`super::fleet::directives::limits`]), the roster, and permit requests and
//! grants, which arrive as datagrams and may be lost. State: the allocators of this box, the permit
//! requests that it has not sent or that are unanswered, and the limits that it publishes
//! (`publication`). The alternative, an even share of the limit for each box, is discussed in
//! docs/design/limits.md.

mod allocation;
pub mod allocator;
mod publication;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::event::RequestNumber;
use super::fleet::directives::StatedLimit;
use super::fleet::directives::limits::RequestRate;
use super::record::Record;
use crate::schema::{
    EndpointId, EndpointIncarnation, LimitReport, LimitUpdate, Micros, PermitGrant, PermitRequest,
};
use allocation::HANDOVER;
pub(super) use allocation::LimitOwner;
use allocator::{PermitAllocator, PermitRequester};
use publication::Publication;

/// Time without an answer after which the permit request for an endpoint is repeated.
const PERMIT_REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Counts of permits at this box since they were last read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PermitCounts {
    /// Permits that this box allocated, to itself or to others.
    pub allocated: u64,
    /// Permits that this box used to send a request.
    pub used: u64,
    /// Times this box had no permit for a request, which then went elsewhere or waited.
    pub wanted: u64,
}

/// The permit state of this box.
#[derive(Debug, Default)]
pub(super) struct Permits {
    allocators: BTreeMap<EndpointId, PermitAllocator>,
    /// Permits to request of each endpoint's owner, and requests that are unanswered.
    requested: BTreeMap<EndpointId, RequestedPermits>,
    /// When the last pause of this process ended.
    resumed_at: Micros,
    /// Changed limits that this box publishes.
    publication: Publication,
    counts: PermitCounts,
}

#[derive(Clone, Copy, Debug, Default)]
struct RequestedPermits {
    /// Permits wanted since the last request was sent.
    wanted: u32,
    /// When the unanswered request was sent.
    sent_at: Option<Micros>,
}

impl Permits {
    /// When permits can be allocated or limits must be published next.
    pub fn due(&self, rate_of: impl Fn(&EndpointId) -> Option<RequestRate>) -> Option<Micros> {
        let allocators = self.allocators.iter();
        let allocations = allocators.filter_map(|(id, allocator)| allocator.due(rate_of(id)?));
        allocations.chain(self.publication.due()).min()
    }

    /// Handles a pause of this process that ends now: another box may have become the owner of its
    /// limits, so nothing is allocated for [`HANDOVER`].
    pub fn on_process_pause(&mut self, now: Micros) {
        self.resumed_at = now;
        for allocator in self.allocators.values_mut() {
            allocator.pause_until(now.after(HANDOVER));
        }
    }
}

impl Dispatcher {
    /// Applies the limit that an endpoint stated in an answer, or that it stated none. One that can't
    /// be parsed leaves the known limit in force.
    pub(super) fn on_stated_limit(&mut self, endpoint: &EndpointIncarnation, limit: StatedLimit) {
        let limit = match limit {
            StatedLimit::None => None,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::Unreadable => return,
        };
        let now = self.now;
        let limits = &mut self.fleet.directives.limits;
        let is_new = !limits.is_known(&endpoint.id);
        if limits.on_answer(endpoint, limit, now) {
            self.on_limit_changed(&endpoint.id);
            let publication = &mut self.permits.publication;
            if is_new {
                publication.schedule_new(&endpoint.id, now);
            } else {
                publication.schedule_change(&endpoint.id, now);
            }
            self.publish_limits_if_due();
        }
    }

    /// Handles a limit of an endpoint that changed or ended.
    fn on_limit_changed(&mut self, endpoint: &EndpointId) {
        let limit = self.fleet.directives.limits.of(endpoint);
        if limit.is_some() {
            self.start_allocating(endpoint);
        }
        self.record(Record::Limited {
            endpoint: endpoint.to_string(),
            per_second: limit.map(RequestRate::per_second),
        });
    }

    /// Handles limits, permit requests and grants from another box.
    pub(super) fn on_peer_limits(&mut self, update: &LimitUpdate) {
        let mut new = update.notes.clone();
        new.retain(|report| self.on_limit_report(report));
        self.relay_limits(update, new);
        for request in &update.asks {
            self.on_permit_request(request, update);
        }
        for grant in &update.grants {
            let now = self.now;
            self.fleet
                .directives
                .limits
                .on_granted(&grant.endpoint, grant.permits, now);
            if let Some(requested) = self.permits.requested.get_mut(&grant.endpoint.id) {
                requested.sent_at = None;
            }
            self.retry_waiting(&grant.endpoint);
        }
    }

    /// Applies the reports about endpoints that the list named only after them.
    pub(super) fn apply_held_reports(&mut self) {
        for report in self.fleet.take_held_reports(self.now) {
            self.on_limit_report(&report);
        }
    }

    /// Applies a report, or holds it until the list names the endpoint; returns whether it says
    /// something new.
    fn on_limit_report(&mut self, report: &LimitReport) -> bool {
        let now = self.now;
        if self.fleet.get(&report.endpoint.id).is_none() {
            return self.fleet.directives.hold_report(report, now);
        }
        let is_current = self.fleet.get_incarnation(&report.endpoint).is_some();
        let limits = &mut self.fleet.directives.limits;
        let is_new = is_current && limits.on_peer_report(report, now);
        if is_new {
            self.on_limit_changed(&report.endpoint.id);
        }
        is_new
    }

    /// Handles a permit request of another box: allocates permits if this box owns the limit, else
    /// forwards the request to the owner, once.
    fn on_permit_request(&mut self, request: &PermitRequest, update: &LimitUpdate) {
        // A request whose reply address can't be parsed is dropped; the requester repeats it.
        let Ok(reply_to) = update.reply_to.parse() else {
            return;
        };
        if self.fleet.get_incarnation(&request.endpoint).is_none() {
            return;
        }
        let id = &request.endpoint.id;
        match self.limit_owner(id) {
            Some(LimitOwner::ThisBox) if self.fleet.directives.limits.of(id).is_none() => {
                self.reply_without_limit(id, reply_to);
            }
            Some(LimitOwner::ThisBox) => {
                let wanted = request.wanted;
                self.request_from_own_allocator(id, PermitRequester { reply_to, wanted });
            }
            Some(LimitOwner::Local(owner)) if !update.is_passed_on => {
                let update = LimitUpdate {
                    is_passed_on: true,
                    grants: Vec::new(),
                    ..update.clone()
                };
                self.send_limit_update(vec![owner], update);
            }
            _ => {}
        }
    }

    /// Tells a box that requests a permit that the endpoint names no limit any more.
    fn reply_without_limit(&mut self, id: &EndpointId, to: SocketAddr) {
        let report = self.fleet.directives.limits.report(id, self.now);
        if let Some(report) = report {
            let update = LimitUpdate {
                notes: vec![report],
                ..self.empty_limit_update()
            };
            self.send_limit_update(vec![to], update);
        }
    }

    /// Requests a permit for an endpoint that a request would be sent to.
    pub(super) fn request_permit(&mut self, id: &EndpointId) {
        self.permits.counts.wanted += 1;
        match self.limit_owner(id) {
            Some(LimitOwner::ThisBox) => {
                let reply_to = self.cfg.address;
                self.request_from_own_allocator(
                    id,
                    PermitRequester {
                        reply_to,
                        wanted: 1,
                    },
                );
            }
            Some(LimitOwner::Local(to) | LimitOwner::Remote(to)) => {
                self.request_from_peer(id, to);
            }
            None => {}
        }
    }

    fn request_from_peer(&mut self, id: &EndpointId, to: SocketAddr) {
        let now = self.now;
        let requested = self.permits.requested.entry(id.clone()).or_default();
        requested.wanted += 1;
        let sent_at = requested.sent_at;
        if sent_at.is_some_and(|at| now.since(at) < PERMIT_REQUEST_INTERVAL) {
            return;
        }
        requested.sent_at = Some(now);
        let wanted = std::mem::take(&mut requested.wanted);
        let Some(report) = self.fleet.directives.limits.report(id, now) else {
            return;
        };
        let request = PermitRequest {
            endpoint: report.endpoint.clone(),
            wanted,
        };
        let update = LimitUpdate {
            notes: vec![report],
            asks: vec![request],
            ..self.empty_limit_update()
        };
        self.send_limit_update(vec![to], update);
    }

    /// Adds a permit request to this box's own allocator and allocates the permits that are available.
    fn request_from_own_allocator(&mut self, id: &EndpointId, requester: PermitRequester) {
        self.start_allocating(id);
        if let Some(allocator) = self.permits.allocators.get_mut(id) {
            allocator.on_request(requester, self.now);
        }
        self.allocate_permits(id);
    }

    fn allocate_permits(&mut self, id: &EndpointId) {
        let Some(rate) = self.fleet.directives.limits.of(id) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(id).map(|e| e.spec.incarnation()) else {
            return;
        };
        let Some(allocator) = self.permits.allocators.get_mut(id) else {
            return;
        };
        for allocated in allocator.allocate(rate, self.now) {
            self.permits.counts.allocated += u64::from(allocated.wanted);
            self.grant(&endpoint, allocated);
        }
    }

    fn grant(&mut self, endpoint: &EndpointIncarnation, allocated: PermitRequester) {
        if allocated.reply_to == self.cfg.address {
            let now = self.now;
            self.fleet
                .directives
                .limits
                .on_granted(endpoint, allocated.wanted, now);
            return;
        }
        let grant = PermitGrant {
            endpoint: endpoint.clone(),
            permits: allocated.wanted,
        };
        let update = LimitUpdate {
            grants: vec![grant],
            ..self.empty_limit_update()
        };
        self.send_limit_update(vec![allocated.reply_to], update);
    }

    /// Retries the requests of the endpoint's service that wait for an endpoint, while permits last.
    pub(super) fn retry_waiting(&mut self, endpoint: &EndpointIncarnation) {
        let current = self.fleet.get_incarnation(endpoint);
        let Some(service) = current.map(|e| e.spec.service.clone()) else {
            return;
        };
        let waiting = self.requests.iter();
        let waiting = waiting.filter(|(_, r)| r.next_placement.is_some() && r.service == service);
        let waiting: Vec<RequestNumber> = waiting.map(|(number, _)| *number).collect();
        for number in waiting {
            let current = self.fleet.get_incarnation(endpoint);
            if !current.is_some_and(|e| self.fleet.may_send(e, self.now)) {
                return;
            }
            if let Some(request) = self.requests.get_mut(&number) {
                request.next_placement = None;
            }
            self.start_attempt_anywhere(number);
        }
    }

    /// Publishes changed limits, allocates permits and forgets ended limits, as far as due.
    pub(super) fn maintain_limits(&mut self) {
        self.publish_limits_if_due();
        self.fleet.forget_expired_directives(self.now);
        if self.fleet.directives.limits.is_empty() && self.permits.allocators.is_empty() {
            return;
        }
        let allocators: Vec<EndpointId> = self.permits.allocators.keys().cloned().collect();
        for id in allocators {
            let own = EndpointIncarnation::from(id.clone());
            self.allocate_permits(&id);
            self.retry_waiting(&own);
        }
    }

    /// Takes the permit for a request that is sent to an endpoint, if the endpoint names a limit.
    pub(super) fn use_permit(&mut self, id: &EndpointId) {
        if self.fleet.directives.limits.on_sent(id, self.now) {
            self.permits.counts.used += 1;
        }
    }

    /// Returns the counts and resets them.
    pub fn take_permit_counts(&mut self) -> PermitCounts {
        std::mem::take(&mut self.permits.counts)
    }
}

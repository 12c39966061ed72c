//! Which box deals the permits for an endpoint, and from when on.
//!
//! Of the boxes that run in the endpoint's failure domain the one that comes first by rendezvous hash; where
//! none runs there, one of another domain, chosen alike. Boxes that don't agree who runs may take two
//! for it, so whoever becomes it deals nothing for [`HANDOVER`]: by then the one before knows, or counts
//! as lost. Where a limit has only just been named nobody has dealt before, and only what came to the endpoint
//! lately has to leave the window ([`backlog_pause`]).
//!
//! Inputs: the roster, limits, what came to endpoints lately, as of now.

use std::net::SocketAddr;
use std::time::Duration;

use super::allocator::PermitAllocator;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::fleet::limits::RequestRate;
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId, Micros};

/// How long a box that becomes the dealer of an endpoint deals nothing: until the one before counts as lost
/// at all boxes, and its last permits have lapsed.
pub(super) const HANDOVER: Duration = Duration::from_secs(4);
/// How long after a limit was named for the first time nobody can have dealt permits for it.
const JUST_NAMED: Duration = Duration::from_secs(1);
/// The span over which users count requests, the longest pause for what came before.
const COUNTED_FOR: Duration = Duration::from_secs(4);
/// What is left of an endpoint's limit in that span for what came to it before it was named, in seconds of
/// the limit, and beside.
const LEFT_FOR_BACKLOG: Duration = Duration::from_secs(3);
const LEFT_BESIDE: f64 = 2.0;
/// Who deals the permits for an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::gateway::dispatch) enum LimitOwner {
    /// This box.
    ThisBox,
    /// Another box of this failure domain.
    Local(SocketAddr),
    /// A box of another failure domain, known to any box there, such as this one.
    Remote(SocketAddr),
}

/// How long nothing is dealt for an endpoint that has just named a limit, to which so many requests came
/// in a second, by what this box knows: until they leave room for as much as it takes, were they more by
/// twice what such a number varies by.
fn backlog_pause(rate: RequestRate, came: f64) -> Duration {
    let rate = rate.per_second();
    let left = rate * LEFT_FOR_BACKLOG.as_secs_f64() + LEFT_BESIDE;
    let over = (came + 2.0 * came.sqrt() - left).max(0.0);
    let pause = over / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(pause.min(COUNTED_FOR.as_secs_f64()))
}

impl Dispatcher {
    /// Takes up the dealing that is this box's, and ceases where an endpoint names no limit any more or
    /// another box deals.
    pub(in crate::gateway::dispatch) fn check_allocators(&mut self) {
        for id in self.fleet.limits.in_force() {
            self.start_allocating(&id);
        }
        let dealers: Vec<EndpointId> = self.permits.dealers.keys().cloned().collect();
        for id in dealers {
            let is_limited = self.fleet.limits.of(&id).is_some();
            if !is_limited || self.limit_owner(&id) != Some(LimitOwner::ThisBox) {
                self.permits.dealers.remove(&id);
            }
        }
        let limits = &self.fleet.limits;
        self.permits.asked.retain(|id, _| limits.of(id).is_some());
    }

    /// Which box deals the permits for an endpoint, if any can be reached.
    pub(in crate::gateway::dispatch) fn limit_owner(
        &mut self,
        id: &EndpointId,
    ) -> Option<LimitOwner> {
        let domain = &self.fleet.get(id)?.spec.domain;
        let home = self.dealing_domain(domain, id);
        if home != self.cfg.domain {
            let far = self.peers.some_in(&home, &mut self.rng, self.now);
            return far.map(LimitOwner::Remote);
        }
        let item = rendezvous::item(id);
        let score = |address: &SocketAddr| rendezvous::score(&address.to_string(), item);
        let me = self.cfg.address;
        let running = self.peers.roster().running(self.now);
        let first = running.chain([me]).max_by_key(score)?;
        Some(if first == me {
            LimitOwner::ThisBox
        } else {
            LimitOwner::Local(first)
        })
    }

    /// The failure domain whose boxes deal: that of the endpoint, or another one if no box runs there.
    fn dealing_domain(&self, of_endpoint: &DomainId, id: &EndpointId) -> DomainId {
        let mut domains = self.peers.roster().other_domains();
        domains.push(self.cfg.domain.clone());
        if domains.contains(of_endpoint) {
            return of_endpoint.clone();
        }
        let item = rendezvous::item(id);
        let first = domains
            .into_iter()
            .max_by_key(|domain| rendezvous::score(domain, item));
        first.unwrap_or_else(|| self.cfg.domain.clone())
    }

    /// When this box may begin to deal permits for an endpoint.
    fn dealing_starts(&self, id: &EndpointId) -> Micros {
        let now = self.now;
        let after_handover = now.after(HANDOVER);
        let settled = self.started.max(self.permits.stood_still).after(HANDOVER);
        let named = self.fleet.limits.since(id).zip(self.fleet.limits.of(id));
        let Some((since, rate)) = named else {
            return after_handover;
        };
        if now < settled || now.since(since) >= JUST_NAMED {
            return after_handover;
        }
        let came = self.fleet.get(id).map_or(0.0, |e| {
            let running = self.fleet.usage(e, now).running;
            e.health.rate(now) + f64::from(running)
        });
        now.after(backlog_pause(rate, came))
    }

    /// Takes the dealing for an endpoint up, if it is this box's.
    pub(in crate::gateway::dispatch) fn start_allocating(&mut self, id: &EndpointId) {
        let is_new = !self.permits.dealers.contains_key(id);
        if is_new && self.limit_owner(id) == Some(LimitOwner::ThisBox) {
            let starts = self.dealing_starts(id);
            self.permits
                .dealers
                .insert(id.clone(), PermitAllocator::new(starts));
        }
    }
}

//! Which box owns the limit of an endpoint, and when it may start to allocate permits.
//!
//! The owner is the box with the highest rendezvous hash among those that run in the endpoint's
//! failure domain. If no box runs there, the owner is a box of another domain; a rendezvous hash
//! selects this domain too. While boxes disagree about which boxes run, two boxes may regard
//! themselves as the owner. A new owner therefore allocates nothing for [`HANDOVER`]: after this
//! time the previous owner knows of the change or counts as lost.
//!
//! The wait may be shorter for a limit that the endpoint first named less than [`NEW_LIMIT_PERIOD`]
//! ago, because no other box can have allocated permits for it. The owner then waits only until the
//! requests that came to the endpoint before leave room in the window over which its requests are
//! counted ([`backlog_pause`]). A box that started or resumed less than [`HANDOVER`] ago waits for
//! [`HANDOVER`] in any case.
//!
//! The decisions depend on the roster, the limits and the recent load of endpoints that this box
//! knows at the time.

use std::net::SocketAddr;
use std::time::Duration;

use super::allocator::PermitAllocator;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::fleet::directives::limits::RequestRate;
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId, Micros};

/// Time for which a new owner allocates nothing. After it, the previous owner counts as lost at all
/// boxes and its last permits have expired.
pub(super) const HANDOVER: Duration = Duration::from_secs(4);
/// Time after the first report of a limit in which no other box can have allocated permits for it.
const NEW_LIMIT_PERIOD: Duration = Duration::from_secs(1);
/// Window over which the requests at an endpoint are counted against its limit, and the maximum of
/// [`backlog_pause`].
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Part of [`LIMIT_WINDOW`] that requests from before the limit was named may fill without a pause:
/// as many requests as the limit admits in this time.
const BACKLOG_ALLOWANCE: Duration = Duration::from_secs(3);
/// Number of requests from before the limit was named that need no pause, in addition to
/// [`BACKLOG_ALLOWANCE`].
const BACKLOG_EXTRA: f64 = 2.0;

/// The owner of the limit of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::gateway::dispatch) enum LimitOwner {
    /// This box.
    ThisBox,
    /// Another box of this failure domain.
    Local(SocketAddr),
    /// Some box of the failure domain that owns the limit; it forwards requests to the owner.
    Remote(SocketAddr),
}

/// Returns how long the owner allocates no permits for an endpoint that has just named a limit.
/// `came` estimates the backlog, the requests that came to the endpoint before: the average number
/// that end in a second plus the number that run. The pause lasts until the endpoint, at the rate
/// of the limit, has processed the part of the backlog above the allowance. The backlog is taken to
/// be two standard deviations (of a Poisson distribution) larger than `came`.
fn backlog_pause(rate: RequestRate, came: f64) -> Duration {
    let rate = rate.per_second();
    let allowance = rate * BACKLOG_ALLOWANCE.as_secs_f64() + BACKLOG_EXTRA;
    let excess = (came + 2.0 * came.sqrt() - allowance).max(0.0);
    let pause = excess / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(pause.min(LIMIT_WINDOW.as_secs_f64()))
}

impl Dispatcher {
    /// Starts an allocator for each limit that this box owns. Drops the allocators of limits that
    /// ended or that another box owns, and the permit requests for limits that ended.
    pub(in crate::gateway::dispatch) fn update_allocators(&mut self) {
        for id in self.fleet.directives.limits.in_force() {
            self.start_allocating(&id);
        }
        let allocators: Vec<EndpointId> = self.permits.allocators.keys().cloned().collect();
        for id in allocators {
            let is_limited = self.fleet.directives.limits.of(&id).is_some();
            if !is_limited || self.limit_owner(&id) != Some(LimitOwner::ThisBox) {
                self.permits.allocators.remove(&id);
            }
        }
        let limits = &self.fleet.directives.limits;
        self.permits
            .requested
            .retain(|id, _| limits.of(id).is_some());
    }

    /// The owner of the limit of an endpoint. `None` if this box doesn't know the endpoint, or
    /// knows no box of the domain that owns the limit.
    pub(in crate::gateway::dispatch) fn limit_owner(
        &mut self,
        id: &EndpointId,
    ) -> Option<LimitOwner> {
        let domain = &self.fleet.get(id)?.spec.domain;
        let owner_domain = self.owner_domain(domain, id);
        if owner_domain != self.cfg.domain {
            let remote = self
                .peers
                .any_in_domain(&owner_domain, &mut self.rng, self.now);
            return remote.map(LimitOwner::Remote);
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

    /// The failure domain whose boxes own the limit: the domain of the endpoint if a box runs
    /// there, otherwise the domain with the highest rendezvous hash among those where boxes run.
    fn owner_domain(&self, of_endpoint: &DomainId, id: &EndpointId) -> DomainId {
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

    /// When this box, as a new owner, may start to allocate permits for an endpoint.
    fn allocation_start(&self, id: &EndpointId) -> Micros {
        let now = self.now;
        let after_handover = now.after(HANDOVER);
        let settled = self.started.max(self.permits.resumed_at).after(HANDOVER);
        let named = self
            .fleet
            .directives
            .limits
            .since(id)
            .zip(self.fleet.directives.limits.of(id));
        let Some((since, rate)) = named else {
            return after_handover;
        };
        if now < settled || now.since(since) >= NEW_LIMIT_PERIOD {
            return after_handover;
        }
        let came = self.fleet.get(id).map_or(0.0, |e| {
            let running = self.fleet.usage(e, now).running;
            e.health.rate(now) + f64::from(running)
        });
        now.after(backlog_pause(rate, came))
    }

    /// Starts an allocator for an endpoint if this box owns its limit and has no allocator for it
    /// yet.
    pub(in crate::gateway::dispatch) fn start_allocating(&mut self, id: &EndpointId) {
        let is_new = !self.permits.allocators.contains_key(id);
        if is_new && self.limit_owner(id) == Some(LimitOwner::ThisBox) {
            let start = self.allocation_start(id);
            self.permits
                .allocators
                .insert(id.clone(), PermitAllocator::new(start));
        }
    }
}

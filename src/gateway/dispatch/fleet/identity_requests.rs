//! Which endpoints are asked for their identity, and when.
//!
//! The answer of an endpoint that restarted arrives before its entry in the list, above all while
//! the store is unavailable. All boxes of a domain suspect the same endpoints at the same time, so
//! each box asks only its share in a round: about [`ASKED_BY`] boxes ask each endpoint, which ones
//! is decided by rendezvous hashing, and a box that has few peers asks more. The answers are published
//! ([`super::identities`]). Rounds go on, less and less often, until all endpoints of the domain are
//! verified or gone. In each further round a box asks endpoints that it has not asked yet first.
//!
//! Inputs: outages ([`super::losses`]) and the number of boxes in the domain. State: how many
//! endpoints were asked in the current round of an outage.

use std::cmp::Reverse;
use std::time::Duration;

use super::losses::SUSPECTED_FOR;
use super::{Endpoint, Fleet};
use crate::gateway::dispatch::event::EndpointSpec;
use crate::rendezvous;
use crate::schema::{BoxId, DomainId, EndpointId, Micros, ServiceId};

/// Time that an endpoint is suspected before its identity is requested: about as long as a restart
/// takes.
pub(super) const IDENTIFY_AFTER: Duration = Duration::from_millis(1_400);
/// Shortest time between two identity requests to one endpoint, and between two rounds of an outage.
const IDENTIFY_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest time between two rounds of an outage, for endpoints that don't come back.
const MAX_IDENTIFY_INTERVAL: Duration = Duration::from_secs(6);
/// Number of boxes that ask an endpoint in one round.
const ASKED_BY: usize = 3;
/// Minimum number of endpoints that a box asks in one round.
const MIN_ASKED: usize = 4;

/// Time between two rounds of an outage that began so long ago.
fn round_interval(age: Duration) -> Duration {
    (age / 2).clamp(IDENTIFY_INTERVAL, MAX_IDENTIFY_INTERVAL)
}

/// The box's share of the identity requests of its domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdentityShare {
    /// Hash of the box's id.
    me: u64,
    /// Boxes of the domain, this one included.
    boxes: usize,
}

impl Default for IdentityShare {
    fn default() -> Self {
        Self { me: 0, boxes: 1 }
    }
}

/// The endpoints that were asked in the current round of an outage.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Round {
    /// Start of the round; that of no round until the first one.
    start: Micros,
    asked: usize,
}

impl Fleet {
    /// Sets among how many boxes of the domain, `me` included, identity requests are divided.
    pub fn share_identity_requests(&mut self, me: &BoxId, boxes: usize) {
        let me = rendezvous::item(me);
        self.identity_share = IdentityShare { me, boxes };
    }

    /// Returns the endpoints whose identity is to be requested now, and records the request: this
    /// box's share of those of a domain that have been suspected for [`IDENTIFY_AFTER`], and hosts
    /// of replicas that failed as long ago and may have restarted.
    pub fn take_due_identity_requests(
        &mut self,
        domain: &DomainId,
        now: Micros,
    ) -> Vec<EndpointSpec> {
        let mut found = self.maybe_restarted_hosts(now);
        let outages = self.losses.outages.iter();
        let due = outages
            .filter(|((_, of), outage)| of == domain && now.since(outage.begin) >= IDENTIFY_AFTER);
        let services: Vec<ServiceId> = due.map(|((service, _), _)| service.clone()).collect();
        for service in services {
            for id in self.take_share(&service, domain, now) {
                if let Some(endpoint) = self.endpoints.get_mut(&id) {
                    endpoint.identity_requested = now;
                    found.push(endpoint.spec.clone());
                }
            }
        }
        found
    }

    /// Takes what is left of this box's share of the suspected endpoints in the current round.
    fn take_share(
        &mut self,
        service: &ServiceId,
        domain: &DomainId,
        now: Micros,
    ) -> Vec<EndpointId> {
        let share = self.identity_share;
        let key = (service.clone(), domain.clone());
        let Some(outage) = self.losses.outages.get(&key).copied() else {
            return Vec::new();
        };
        let mut round = outage.round;
        let interval = round_interval(now.since(outage.begin));
        if now.since(round.start) >= interval {
            round = Round {
                start: now,
                asked: 0,
            };
        }
        let due = self.of_service(service).filter(|e| {
            let is_due = now.since(e.identity_requested) >= interval;
            let is_present = e.listed && !e.is_displaced && e.spec.domain == *domain;
            is_due && is_present && self.is_suspected(e, now)
        });
        let mut due: Vec<&Endpoint> = due.collect();
        let all = due.len() + round.asked;
        let limit = (all * ASKED_BY).div_ceil(share.boxes.max(1)).max(MIN_ASKED);
        due.sort_by_cached_key(|e| {
            let score = rendezvous::score(&e.spec.id, share.me);
            (e.identity_requested, Reverse(score))
        });
        due.truncate(limit.saturating_sub(round.asked));
        let ids: Vec<EndpointId> = due.iter().map(|e| e.spec.id.clone()).collect();
        round.asked += ids.len();
        if let Some(outage) = self.losses.outages.get_mut(&key) {
            outage.round = round;
        }
        ids
    }

    /// Endpoints that hold replicas for this box, failed a while ago and may have restarted.
    fn maybe_restarted_hosts(&mut self, now: Micros) -> Vec<EndpointSpec> {
        let mut found = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            let Some(since) = endpoint.maybe_restarted_since else {
                continue;
            };
            let is_due = (IDENTIFY_AFTER..SUSPECTED_FOR).contains(&now.since(since))
                && now.since(endpoint.identity_requested) >= IDENTIFY_INTERVAL;
            let is_leaving = self.directives.is_leaving(&endpoint.spec.id);
            let is_host = endpoint.is_offered() && !is_leaving && endpoint.own.memory > 0;
            if is_host && is_due {
                endpoint.identity_requested = now;
                found.push(endpoint.spec.clone());
            }
        }
        found
    }
}

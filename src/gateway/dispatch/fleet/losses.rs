//! Endpoints in trouble: which failed, which can't be reached, and which may have been lost with
//! their failure domain.
//!
//! An endpoint that failed is avoided for a while that grows with each failure. When several of a
//! failure domain were lost at once, the others of it are suspected until they are heard. A domain
//! to which no connection can be made is tried now and then only.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Endpoint, FAILURE_SHARE, Fleet};
use crate::backoff::doubled;
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{DomainId, EndpointId, Micros, ServiceId};

/// How long an endpoint is avoided after its first failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(800);
/// The longest time that an endpoint is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(6);
/// Failures in a row after which the avoidance grows no more.
const MOST_AVOIDANCE_DOUBLINGS: u32 = 4;
/// Losses in one failure domain that tell of a loss of the domain.
const DOMAIN_LOSSES: usize = 2;
/// The time within which these losses must lie, and for which the domain is then avoided.
const DOMAIN_WINDOW: Duration = Duration::from_millis(1_500);
/// Connections to a domain that must fail in a row before it counts as unreachable.
const UNREACHABLE_AFTER: u32 = 3;
/// Time between trials of a domain that can't be reached.
const TRIAL_PAUSE: Duration = Duration::from_millis(300);
/// How long an endpoint that was there before its domain failed is suspected, unless it is heard: a
/// restarted one is listed under another id by then.
const SUSPECTED_FOR: Duration = Duration::from_millis(4_500);
/// How long an endpoint is suspected before it is asked who it is.
const IDENTIFY_AFTER: Duration = Duration::from_millis(1_400);
/// Time between two such questions.
const IDENTIFY_AGAIN: Duration = Duration::from_millis(1_500);
/// How recently this box must have heard an endpoint to trust that more than a peer's word.
const HEARD_LATELY: Duration = Duration::from_millis(200);

/// An endpoint that was lost, by this box's own account or a peer's.
#[derive(Clone, Debug)]
struct Loss {
    at: Micros,
    endpoint: EndpointId,
    domain: DomainId,
    service: ServiceId,
    is_own: bool,
}

/// A failure domain whose endpoints of a service could not be connected to.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    failures: u32,
    last: Micros,
    next_trial: Micros,
}

/// All that is known of losses.
#[derive(Debug, Default)]
pub(super) struct Losses {
    recent: Vec<Loss>,
    /// Domains of which several endpoints were lost at once, and when.
    suspected_domains: BTreeMap<(ServiceId, DomainId), Micros>,
    unreachable: BTreeMap<(ServiceId, DomainId), Unreachable>,
}

impl Fleet {
    /// Notes that an endpoint could not be connected to.
    pub fn on_unreachable(&mut self, id: &EndpointId, now: Micros) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        let entry = self.losses.unreachable.entry(key).or_insert(Unreachable {
            failures: 0,
            last: now,
            next_trial: now,
        });
        if now.since(entry.last) > DOMAIN_WINDOW {
            entry.failures = 0;
        }
        entry.failures += 1;
        entry.last = now;
        if entry.failures >= UNREACHABLE_AFTER {
            entry.next_trial = now.after(TRIAL_PAUSE);
        }
    }

    /// Notes that an endpoint could be connected to, whatever it said.
    pub fn on_reached(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get(id) {
            let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
            self.losses.unreachable.remove(&key);
        }
    }

    /// Whether an endpoint's domain can't be reached, and no trial is due.
    #[must_use]
    pub fn is_unreachable(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        self.losses
            .unreachable
            .get(&key)
            .is_some_and(|entry| now < entry.next_trial)
    }

    /// Whether a service has endpoints, but none in a failure domain and none elsewhere that could
    /// be connected to lately.
    #[must_use]
    pub fn is_out_of_reach(&self, service: &ServiceId, domain: &DomainId) -> bool {
        let mut endpoints = self
            .of_service(service)
            .filter(|e| e.takes_work())
            .peekable();
        let has_any = endpoints.peek().is_some();
        has_any && endpoints.all(|e| e.spec.domain != *domain && self.fails_to_connect(e))
    }

    fn fails_to_connect(&self, endpoint: &Endpoint) -> bool {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        let entry = self.losses.unreachable.get(&key);
        entry.is_some_and(|entry| entry.failures >= UNREACHABLE_AFTER)
    }

    /// Notes a sending, which is the trial if its domain can't be reached.
    pub fn on_sending(&mut self, endpoint: &EndpointSpec, now: Micros) {
        let key = (endpoint.service.clone(), endpoint.domain.clone());
        if let Some(entry) = self.losses.unreachable.get_mut(&key)
            && entry.failures >= UNREACHABLE_AFTER
        {
            entry.next_trial = now.after(TRIAL_PAUSE);
        }
    }

    /// Notes that a connection to an endpoint broke or can't be made.
    pub fn on_failure(&mut self, id: &EndpointId, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.failing += (1.0 - endpoint.failing) * FAILURE_SHARE;
        if endpoint.is_avoided(now) {
            return;
        }
        let avoidance = doubled(FIRST_AVOIDANCE, endpoint.failures, MOST_AVOIDANCE_DOUBLINGS);
        endpoint.failures += 1;
        endpoint.avoided_until = now.after(avoidance.min(LONGEST_AVOIDANCE));
        self.note_loss(id, now, true);
    }

    /// Notes that an endpoint was lost; several at once tell of a loss of their domain.
    fn note_loss(&mut self, id: &EndpointId, now: Micros, is_own: bool) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let domain = endpoint.spec.domain.clone();
        let service = endpoint.spec.service.clone();
        self.losses
            .recent
            .retain(|loss| now.since(loss.at) < DOMAIN_WINDOW && loss.endpoint != *id);
        self.losses.recent.push(Loss {
            at: now,
            endpoint: id.clone(),
            domain: domain.clone(),
            service: service.clone(),
            is_own,
        });
        let of_domain = |loss: &&Loss| loss.domain == domain && loss.service == service;
        if self.losses.recent.iter().filter(of_domain).count() >= DOMAIN_LOSSES {
            self.losses.suspected_domains.insert((service, domain), now);
        }
    }

    /// The endpoints that this box itself lost a short while ago.
    pub fn lost(&self, now: Micros) -> impl Iterator<Item = &EndpointId> {
        self.losses
            .recent
            .iter()
            .filter(move |loss| loss.is_own && now.since(loss.at) < DOMAIN_WINDOW)
            .map(|loss| &loss.endpoint)
    }

    /// Whether an endpoint may have been lost with others of its domain.
    #[must_use]
    pub fn is_suspected(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        let Some(failed) = self.losses.suspected_domains.get(&key) else {
            return false;
        };
        let is_unheard = endpoint.heard < *failed && endpoint.first_seen < *failed;
        is_unheard && now.since(*failed) < SUSPECTED_FOR
    }

    /// The endpoints of a domain that have been suspected for a while and not asked who they are since;
    /// notes that they are.
    pub fn to_identify(&mut self, domain: &DomainId, now: Micros) -> Vec<EndpointSpec> {
        let mut found = Vec::new();
        for ((service, of), failed) in &self.losses.suspected_domains {
            let suspected_for = now.since(*failed);
            if of != domain || !(IDENTIFY_AFTER..SUSPECTED_FOR).contains(&suspected_for) {
                continue;
            }
            let suspected = self.endpoints.values_mut().filter(|e| {
                let is_unheard = e.heard < *failed && e.first_seen < *failed;
                e.listed && is_unheard && e.spec.service == *service && e.spec.domain == *domain
            });
            for endpoint in suspected {
                if now.since(endpoint.identity_asked) >= IDENTIFY_AGAIN {
                    endpoint.identity_asked = now;
                    found.push(endpoint.spec.clone());
                }
            }
        }
        found
    }

    /// Takes in which endpoints a peer lost.
    pub(super) fn on_peer_losses(&mut self, lost: &[EndpointId], now: Micros) {
        for id in lost {
            let is_known = self.losses.recent.iter().any(|loss| loss.endpoint == *id);
            let Some(endpoint) = self.endpoints.get_mut(id) else {
                continue;
            };
            if is_known || now.since(endpoint.heard) < HEARD_LATELY {
                continue;
            }
            endpoint.avoided_until = endpoint.avoided_until.max(now.after(FIRST_AVOIDANCE));
            self.note_loss(id, now, false);
        }
    }
}

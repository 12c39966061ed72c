//! When an endpoint is avoided or suspected after losses, and when it is trusted again.
//!
//! | state | begins | ends | what it means for placement |
//! |---|---|---|---|
//! | avoided | a connection to it broke or could not be made, by this box's account or a peer's | after 0.8 s, doubled with each failure in a row up to 6 s; or with a success | only where nothing else is left |
//! | suspected | [`DOMAIN_LOSSES`] endpoints of its service in its failure domain were lost within [`DOMAIN_WINDOW`] | it is heard, or [`SUSPECTED_FOR`] has passed | dearer than a full endpoint; no host of replicas |
//! | unreachable | [`UNREACHABLE_AFTER`] connections in a row to its failure domain failed | a connection to the domain is made | one trial each [`TRIAL_PAUSE`], else left out |
//!
//! An endpoint that was there before its domain failed is most likely gone, or in another life: it
//! comes back under another id, or under its own with another birth ([`super::incarnations`]), and
//! is trusted from then on. 16 of 21 late streams of lundavik quiet-1 had their replica at an
//! instance that had died with its domain before it was chosen. Lundavik's score rose from 0.809 to
//! 0.925 with suspicion by domain and with losses told to peers (4d9b3e2).
//!
//! Owns: losses of the last moments. Relies on: [`super::Endpoint::heard`], and peers' accounts of
//! what they lost.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{AnswerKind, Endpoint, Fleet};
use crate::backoff::doubled;
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{DomainId, EndpointId, EndpointIncarnation, Micros, ServiceId};

/// How long an endpoint is avoided after its first failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(800);
/// The longest time that an endpoint is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(6);
/// Failures in a row after which the avoidance grows no more.
const MOST_AVOIDANCE_DOUBLINGS: u32 = 4;
/// Losses in one failure domain that tell of a loss of the domain.
const DOMAIN_LOSSES: usize = 2;
/// The time within which these losses must lie.
const DOMAIN_WINDOW: Duration = Duration::from_millis(1_500);
/// Other losses in a domain with which an endpoint has fallen, and one over the part of the
/// domain's endpoints that they must be. A domain that falls loses nine in ten on the users' days.
const FALL_LOSSES: usize = 2;
const FALL_PART: usize = 3;
/// How far apart they may lie.
const FALL_WINDOW: Duration = Duration::from_secs(1);
/// Connections to a domain that must fail in a row before it counts as unreachable. A request burnt
/// twelve connections on dead instances before this bound (lundavik scale-2, docs/FINDINGS.md).
const UNREACHABLE_AFTER: u32 = 3;
/// Time between trials of a domain that can't be reached.
const TRIAL_PAUSE: Duration = Duration::from_millis(300);
/// How long an endpoint that was there before its domain failed is suspected, unless it is heard: a
/// restarted one is listed under another id or birth by then.
const SUSPECTED_FOR: Duration = Duration::from_millis(4_500);
/// How long an endpoint is suspected before it is asked who it is: one that restarts needs about as
/// long.
pub(super) const IDENTIFY_AFTER: Duration = Duration::from_millis(1_400);
/// Time between two such questions.
const IDENTIFY_AGAIN: Duration = Duration::from_millis(1_500);
/// How recently this box must have heard an endpoint to trust that more than a peer's word.
const HEARD_LATELY: Duration = Duration::from_millis(200);

/// An endpoint that was lost, by this box's own account or a peer's.
#[derive(Clone, Debug)]
struct Loss {
    at: Micros,
    endpoint: EndpointIncarnation,
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
    /// When several endpoints of a service were lost at once in a domain: the begin of its outage.
    /// Endpoints that were there before and go on being lost belong to the same outage; otherwise
    /// attempts at dead ones put off the question who has their addresses now, and make those
    /// suspected that came up meanwhile. Prompts read again after an address was taken over, of
    /// 11,550 streams: 22, and 61 if each loss begins an outage (grown Nilecycle, six plays).
    outages: BTreeMap<(ServiceId, DomainId), Micros>,
    unreachable: BTreeMap<(ServiceId, DomainId), Unreachable>,
}

impl Losses {
    /// Forgets that an endpoint was lost.
    pub(super) fn forget(&mut self, id: &EndpointId) {
        self.recent.retain(|loss| loss.endpoint.id != *id);
    }
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

    /// Notes an attempt, which is the trial if its domain can't be reached.
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
        self.note_answer(id, AnswerKind::Broken, now);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        if endpoint.is_avoided(now) {
            return;
        }
        let avoidance = doubled(FIRST_AVOIDANCE, endpoint.failures, MOST_AVOIDANCE_DOUBLINGS);
        endpoint.failures += 1;
        endpoint.note_unsure(now);
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
        let first_seen = endpoint.first_seen;
        let lost = endpoint.spec.incarnation();
        self.losses
            .recent
            .retain(|loss| now.since(loss.at) < DOMAIN_WINDOW && loss.endpoint.id != *id);
        self.losses.recent.push(Loss {
            at: now,
            endpoint: lost,
            domain: domain.clone(),
            service: service.clone(),
            is_own,
        });
        let of_domain = |loss: &&Loss| loss.domain == domain && loss.service == service;
        if self.losses.recent.iter().filter(of_domain).count() < DOMAIN_LOSSES {
            return;
        }
        let begin = self.losses.outages.entry((service, domain)).or_insert(now);
        let is_over = now.since(*begin) >= SUSPECTED_FOR;
        if is_over || first_seen >= *begin {
            *begin = now;
        }
    }

    /// Whether others of a service ended in a failure domain at about the time when one of them did:
    /// two at least, and with it a third of those there. Those that `is_explained` takes for lost by
    /// another cause don't count.
    #[must_use]
    pub fn fell_with_domain(
        &self,
        life: &EndpointIncarnation,
        service: &ServiceId,
        domain: &DomainId,
        at: Micros,
        is_explained: impl Fn(&EndpointIncarnation) -> bool,
    ) -> bool {
        let is_beside = |loss: &&Loss| {
            let apart = at.since(loss.at).max(loss.at.since(at));
            loss.domain == *domain
                && loss.service == *service
                && loss.endpoint.id != life.id
                && apart < FALL_WINDOW
                && !is_explained(&loss.endpoint)
        };
        let lost = self.losses.recent.iter().filter(is_beside).count();
        let all = self.of_service(service);
        let all = all.filter(|e| e.listed && e.spec.domain == *domain).count();
        lost >= FALL_LOSSES && (lost + 1) * FALL_PART >= all
    }

    /// The endpoints that this box itself lost a short while ago.
    pub fn lost(&self, now: Micros) -> impl Iterator<Item = &EndpointIncarnation> {
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
        let Some(begin) = self.losses.outages.get(&key) else {
            return false;
        };
        let is_unheard = endpoint.heard < *begin && endpoint.first_seen < *begin;
        is_unheard && now.since(*begin) < SUSPECTED_FOR
    }

    /// The endpoints to be asked who they are; notes that they are. Those of a domain that have been
    /// suspected for a while, and hosts of replicas that failed a while ago and may be in another
    /// life.
    pub fn to_identify(&mut self, domain: &DomainId, now: Micros) -> Vec<EndpointSpec> {
        let mut found = self.unsure_hosts(now);
        for ((service, of), begin) in &self.losses.outages {
            let suspected_for = now.since(*begin);
            if of != domain || !(IDENTIFY_AFTER..SUSPECTED_FOR).contains(&suspected_for) {
                continue;
            }
            let suspected = self.endpoints.values_mut().filter(|e| {
                let is_unheard = e.heard < *begin && e.first_seen < *begin;
                e.listed
                    && !e.is_displaced
                    && is_unheard
                    && e.spec.service == *service
                    && e.spec.domain == *domain
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

    /// Endpoints that hold replicas for this box and failed a while ago.
    fn unsure_hosts(&mut self, now: Micros) -> Vec<EndpointSpec> {
        let mut found = Vec::new();
        for endpoint in self.endpoints.values_mut() {
            let Some(since) = endpoint.unsure_since else {
                continue;
            };
            let is_due = (IDENTIFY_AFTER..SUSPECTED_FOR).contains(&now.since(since))
                && now.since(endpoint.identity_asked) >= IDENTIFY_AGAIN;
            let is_host = endpoint.takes_work() && endpoint.own.memory > 0;
            if is_host && is_due {
                endpoint.identity_asked = now;
                found.push(endpoint.spec.clone());
            }
        }
        found
    }

    /// Takes in which endpoints a peer lost.
    pub(super) fn on_peer_losses(&mut self, lost: &[EndpointIncarnation], now: Micros) {
        for life in lost {
            let id = &life.id;
            let is_known = self
                .losses
                .recent
                .iter()
                .any(|loss| loss.endpoint.id == *id);
            let Some(endpoint) = self.get_incarnation_mut(life) else {
                continue;
            };
            if is_known || now.since(endpoint.heard) < HEARD_LATELY {
                continue;
            }
            endpoint.note_unsure(now);
            endpoint.avoided_until = endpoint.avoided_until.max(now.after(FIRST_AVOIDANCE));
            self.note_loss(id, now, false);
        }
    }
}

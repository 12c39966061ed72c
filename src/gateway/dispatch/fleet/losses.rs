//! When endpoints are avoided, suspected or unreachable after losses, and when they are trusted again.
//!
//! | state | begins | ends | effect on placement |
//! |---|---|---|---|
//! | avoided | a connection to it broke or failed, at this box or as reported by a peer | after 0.8 s, doubled with each failure in a row up to 6 s; or with a success | only where nothing else is left |
//! | suspected | [`DOMAIN_LOSSES`] endpoints of its service in its failure domain were lost within [`DOMAIN_WINDOW`] | it is verified ([`super::identities`]); for plain services also after [`SUSPECTED_FOR`] | costs more than a full endpoint; hosts no replicas; has to name itself before it gets a request |
//! | unreachable | [`UNREACHABLE_AFTER`] connections in a row to its failure domain failed | a connection to the domain succeeds | excluded, except for one trial each [`TRIAL_INTERVAL`] |
//!
//! An endpoint that was known before its domain failed has most likely exited or restarted. It
//! returns under another id, or under its own id with another start time
//! ([`super::incarnations`]), and that incarnation is trusted. The loss of an endpoint that is
//! suspected already is no news of its domain and begins no outage. In one outage 16 of 21 late streams had
//! their replica at an endpoint that had exited with its domain before it was selected. Suspicion by
//! domain, together with losses reported to peers, raised the score there from 0.809 to 0.925.
//!
//! Inputs: failures and successes at this box, and losses that peers report. State: recent losses,
//! outages by service and domain, and domains that are unreachable.

use std::collections::BTreeMap;
use std::time::Duration;

use super::identity_requests::Round;
use super::{AnswerKind, Endpoint, Fleet};
use crate::backoff::doubled;
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{DomainId, EndpointId, EndpointIncarnation, Micros, ServiceId};

/// Time that an endpoint is avoided after its first failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(800);
/// Maximum time that an endpoint is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(6);
/// Failures in a row after which the time is no longer doubled.
const MOST_AVOIDANCE_DOUBLINGS: u32 = 4;
/// Losses of one service in one failure domain that count as an outage of the domain.
const DOMAIN_LOSSES: usize = 2;
/// Time within which these losses must lie.
const DOMAIN_WINDOW: Duration = Duration::from_millis(1_500);
/// Other losses in a domain that explain the loss of an endpoint by an outage of the domain.
const OUTAGE_LOSSES: usize = 2;
/// One over the share of the domain's endpoints that must be lost. An outage of a domain takes nine
/// endpoints in ten.
const OUTAGE_PART: usize = 3;
/// Maximum time between these losses and that of the endpoint.
const OUTAGE_WINDOW: Duration = Duration::from_secs(1);
/// Connections to a domain that must fail in a row before it counts as unreachable. Without this
/// bound a request used up twelve connections on dead endpoints (docs/FINDINGS.md).
const UNREACHABLE_AFTER: u32 = 3;
/// Time between trials of an unreachable domain.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time that a server of a plain service that was known before its domain failed is suspected, unless
/// it is verified: a restarted one is listed under another id or start time by then in most cases.
pub(super) const SUSPECTED_FOR: Duration = Duration::from_millis(4_500);
/// Age of the last message from an endpoint up to which it outweighs a loss that a peer reports.
const SEEN_RECENTLY: Duration = Duration::from_millis(200);

/// The loss of an endpoint, observed by this box (`is_own`) or reported by a peer.
#[derive(Clone, Debug)]
struct Loss {
    at: Micros,
    endpoint: EndpointIncarnation,
    domain: DomainId,
    service: ServiceId,
    is_own: bool,
    /// Whether the endpoint was not suspected before, so that its loss tells something of its domain.
    is_news: bool,
}

/// Failed connections to the endpoints of a service in a failure domain.
#[derive(Clone, Copy, Debug)]
struct Unreachable {
    /// Failures in a row.
    failures: u32,
    last: Micros,
    next_trial: Micros,
}

/// The outage of a failure domain for a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    pub begin: Micros,
    /// The identity requests of this box to its endpoints.
    pub round: Round,
}

impl Outage {
    fn new(begin: Micros) -> Self {
        Self {
            begin,
            round: Round::default(),
        }
    }
}

/// Losses of endpoints and their consequences.
#[derive(Debug, Default)]
pub(super) struct Losses {
    recent: Vec<Loss>,
    /// When the outage of a domain began for a service: several endpoints were lost at once. Further
    /// losses of endpoints that were known before belong to the same outage. Otherwise failed
    /// attempts at dead endpoints postpone the identity requests for their addresses, and make
    /// endpoints suspected that started meanwhile. Prompts prefilled again after an address was taken
    /// over, of 11,550 streams: 22, and 61 if each loss begins an outage.
    pub(super) outages: BTreeMap<(ServiceId, DomainId), Outage>,
    unreachable: BTreeMap<(ServiceId, DomainId), Unreachable>,
}

impl Losses {
    /// Forgets that an endpoint was lost.
    pub(super) fn forget(&mut self, id: &EndpointId) {
        self.recent.retain(|loss| loss.endpoint.id != *id);
    }
}

impl Fleet {
    /// Handles a connection to an endpoint that could not be made.
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
            entry.next_trial = now.after(TRIAL_INTERVAL);
        }
    }

    /// Handles a connection to an endpoint that was made, whatever the answer.
    pub fn on_reached(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get(id) {
            let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
            self.losses.unreachable.remove(&key);
        }
    }

    /// Whether the domain of an endpoint is unreachable and no trial is due.
    #[must_use]
    pub fn is_unreachable(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        self.losses
            .unreachable
            .get(&key)
            .is_some_and(|entry| now < entry.next_trial)
    }

    /// Whether a service has endpoints, but none in the given failure domain, and recent connections
    /// to all others failed.
    #[must_use]
    pub fn is_out_of_reach(&self, service: &ServiceId, domain: &DomainId) -> bool {
        let mut endpoints = self
            .of_service(service)
            .filter(|e| self.takes_work(e))
            .peekable();
        let has_any = endpoints.peek().is_some();
        has_any && endpoints.all(|e| e.spec.domain != *domain && self.fails_to_connect(e))
    }

    fn fails_to_connect(&self, endpoint: &Endpoint) -> bool {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        let entry = self.losses.unreachable.get(&key);
        entry.is_some_and(|entry| entry.failures >= UNREACHABLE_AFTER)
    }

    /// Handles the start of an attempt, which counts as the trial if the domain is unreachable.
    pub fn on_attempt(&mut self, endpoint: &EndpointSpec, now: Micros) {
        let key = (endpoint.service.clone(), endpoint.domain.clone());
        if let Some(entry) = self.losses.unreachable.get_mut(&key)
            && entry.failures >= UNREACHABLE_AFTER
        {
            entry.next_trial = now.after(TRIAL_INTERVAL);
        }
    }

    /// Handles a connection to an endpoint that broke or could not be made.
    pub fn on_failure(&mut self, id: &EndpointId, now: Micros) {
        self.record_outcome(id, AnswerKind::Broken, now);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.doubted_at = now;
        if endpoint.has_failed_recently(now) {
            return;
        }
        let avoidance = doubled(FIRST_AVOIDANCE, endpoint.failures, MOST_AVOIDANCE_DOUBLINGS);
        endpoint.failures += 1;
        endpoint.mark_maybe_restarted(now);
        endpoint.avoided_until = now.after(avoidance.min(LONGEST_AVOIDANCE));
        self.record_loss(id, now, true);
    }

    /// Records the loss of an endpoint; several at once count as an outage of their domain.
    pub(super) fn record_loss(&mut self, id: &EndpointId, now: Micros, is_own: bool) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let domain = endpoint.spec.domain.clone();
        let service = endpoint.spec.service.clone();
        let lost = endpoint.spec.incarnation();
        let is_news = !self.is_suspected(endpoint, now);
        self.losses
            .recent
            .retain(|loss| now.since(loss.at) < DOMAIN_WINDOW && loss.endpoint.id != *id);
        self.losses.recent.push(Loss {
            at: now,
            endpoint: lost,
            domain: domain.clone(),
            service: service.clone(),
            is_own,
            is_news,
        });
        let of_domain =
            |loss: &&Loss| loss.is_news && loss.domain == domain && loss.service == service;
        if self.losses.recent.iter().filter(of_domain).count() < DOMAIN_LOSSES {
            return;
        }
        let outages = self.losses.outages.entry((service, domain));
        let outage = outages.or_insert_with(|| Outage::new(now));
        if is_news && outage.begin < now {
            *outage = Outage::new(now);
        }
    }

    /// Takes back the losses of a service's endpoints that this box observed while its own path to
    /// them was lost, `failed` being the endpoints that it could not reach.
    pub fn retract_losses(&mut self, service: &ServiceId, failed: &[EndpointId]) {
        self.losses
            .recent
            .retain(|loss| !loss.is_own || loss.service != *service);
        self.losses.outages.retain(|(of, _), _| of != service);
        self.losses.unreachable.retain(|(of, _), _| of != service);
        for id in failed {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.avoided_until = Micros::ZERO;
                endpoint.failures = 0;
                endpoint.doubted_at = Micros::ZERO;
            }
        }
    }

    /// Whether an incarnation that ended at `at` was lost with its failure domain: at least two other
    /// endpoints of the service there were lost at about the same time, and with it a third of all.
    /// Losses that have another cause according to `is_explained` don't count.
    #[must_use]
    pub fn fell_with_domain(
        &self,
        incarnation: &EndpointIncarnation,
        service: &ServiceId,
        domain: &DomainId,
        at: Micros,
        is_explained: impl Fn(&EndpointId, Micros) -> bool,
    ) -> bool {
        let is_concurrent = |loss: &&Loss| {
            let apart = at.since(loss.at).max(loss.at.since(at));
            loss.domain == *domain
                && loss.service == *service
                && loss.endpoint.id != incarnation.id
                && apart < OUTAGE_WINDOW
                && !is_explained(&loss.endpoint.id, loss.at)
        };
        let lost = self.losses.recent.iter().filter(is_concurrent).count();
        let all = self.of_service(service);
        let all = all.filter(|e| e.listed && e.spec.domain == *domain).count();
        lost >= OUTAGE_LOSSES && (lost + 1) * OUTAGE_PART >= all
    }

    /// The endpoints whose loss this box itself observed within [`DOMAIN_WINDOW`].
    pub fn lost(&self, now: Micros) -> impl Iterator<Item = &EndpointIncarnation> {
        self.losses
            .recent
            .iter()
            .filter(move |loss| loss.is_own && now.since(loss.at) < DOMAIN_WINDOW)
            .map(|loss| &loss.endpoint)
    }

    /// Whether an endpoint may have been lost in an outage of its domain.
    #[must_use]
    pub fn is_suspected(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let is_asked = self.engine_services.contains(&endpoint.spec.service);
        let is_recent = self
            .outage_begin(endpoint)
            .is_some_and(|begin| now.since(begin) < SUSPECTED_FOR);
        (is_asked || is_recent) && self.is_unseen_since_outage(endpoint)
    }

    /// Whether nothing has shown since the last outage of an endpoint's domain that it is still there.
    pub(super) fn is_unseen_since_outage(&self, endpoint: &Endpoint) -> bool {
        self.outage_begin(endpoint)
            .is_some_and(|begin| endpoint.verified_at < begin && endpoint.first_seen < begin)
    }

    fn outage_begin(&self, endpoint: &Endpoint) -> Option<Micros> {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        self.losses.outages.get(&key).map(|outage| outage.begin)
    }

    /// Applies losses that a peer reports.
    pub(super) fn on_peer_losses(&mut self, lost: &[EndpointIncarnation], now: Micros) {
        for incarnation in lost {
            let id = &incarnation.id;
            let is_known = self
                .losses
                .recent
                .iter()
                .any(|loss| loss.endpoint.id == *id);
            let Some(endpoint) = self.get_incarnation_mut(incarnation) else {
                continue;
            };
            if is_known || now.since(endpoint.last_seen) < SEEN_RECENTLY {
                continue;
            }
            endpoint.mark_maybe_restarted(now);
            endpoint.doubted_at = now;
            endpoint.avoided_until = endpoint.avoided_until.max(now.after(FIRST_AVOIDANCE));
            self.record_loss(id, now, false);
        }
    }
}

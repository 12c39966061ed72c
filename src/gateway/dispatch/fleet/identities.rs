//! Which endpoints are verified, and which processes are at the addresses of others.
//!
//! A server that crashes may come back as another instance at the same address, while the list names
//! the former one until the store has answered. A request that is sent there is turned away, and the
//! callers' bound counts it. So an endpoint of a service with engines is unverified once something
//! suggests that its process may have gone, and stays so until something shows that it has not:
//!
//! | doubts an endpoint | verifies it |
//! |---|---|
//! | a connection to it broke or could not be made, at this box or a peer | an answer or an event of an attempt: any other instance would have turned it away |
//! | an outage of its failure domain ([`super::losses`]) that began after it was last verified | its answer to an identity request or to the check before a send, here or at a peer |
//!
//! Time alone verifies nothing, and neither does a list that names the endpoint: lists are late. An
//! attempt at an unverified endpoint asks it on the connection who it is before the request is sent
//! ([`Fleet::is_unverified`]), and another instance that is found there is told to all boxes at once.
//! An instance that was replaced is remembered, so that a late list does not bring it back.
//!
//! Servers of plain services are not asked: a check takes one of their slots. For them suspicion ends
//! by time, and the retry budget bounds what is turned away.
//!
//! State: instances that were replaced, and identities that are not published yet.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Endpoint, Fleet};
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{
    EndpointId, EndpointIncarnation, IdentityReport, Micros, ServiceId, VersionId,
};

/// How long an instance that was replaced is remembered: longer than lists are late.
const REPLACED_FOR: Duration = Duration::from_secs(120);

/// An instance that another one has replaced at its address.
#[derive(Clone, Debug)]
struct Replaced {
    spec: EndpointSpec,
    at: Micros,
}

/// The process that this box found at the address of an endpoint.
#[derive(Clone, Debug)]
struct Identity {
    endpoint: EndpointIncarnation,
    instance: EndpointIncarnation,
    is_engine: bool,
    at: Micros,
}

/// Instances that were replaced, and identities that this box has not published yet.
#[derive(Debug, Default)]
pub(super) struct Identities {
    replaced: BTreeMap<EndpointId, Replaced>,
    unpublished: Vec<Identity>,
}

impl Identities {
    /// Whether an entry is that of an instance that was replaced. An instance without a start time
    /// never runs again under its id; one with a start time does if its entry has changed since.
    pub(super) fn is_replaced(&self, spec: &EndpointSpec) -> bool {
        self.replaced.get(&spec.id).is_some_and(|replaced| {
            let has_start = spec.born.or(replaced.spec.born).is_some();
            let is_same_place = replaced.spec.address == spec.address;
            is_same_place && (!has_start || spec.revision <= replaced.spec.revision)
        })
    }

    fn remember(&mut self, spec: EndpointSpec, at: Micros) {
        self.replaced
            .retain(|_, replaced| at.since(replaced.at) < REPLACED_FOR);
        self.replaced.insert(spec.id.clone(), Replaced { spec, at });
    }

    /// The instance that was replaced last at the address of another one.
    fn former_of(&self, successor: &EndpointSpec) -> Option<&EndpointSpec> {
        let replaced = self.replaced.values();
        let former = replaced
            .filter(|r| r.spec.address == successor.address && r.spec.id != successor.id)
            .max_by_key(|r| r.at);
        former.map(|replaced| &replaced.spec)
    }
}

/// The entry of an instance that took over the address of another one, until a list names it.
fn successor_of(former: &EndpointSpec, instance: &EndpointIncarnation) -> EndpointSpec {
    EndpointSpec {
        id: instance.id.clone(),
        version: VersionId::unlisted(&instance.id.clone().into()),
        born: instance.born,
        leaving: false,
        warm_up: Duration::ZERO,
        ..former.clone()
    }
}

impl Fleet {
    /// Sets the services with engines, whose endpoints are asked who they are.
    pub fn set_engine_services(&mut self, services: impl Iterator<Item = ServiceId>) {
        self.engine_services = services.collect();
    }

    /// Whether an endpoint's process may have been replaced, as far as this box knows, so that it has
    /// to name itself before it gets a request.
    #[must_use]
    pub fn is_unverified(&self, endpoint: &Endpoint) -> bool {
        let is_asked = self.engine_services.contains(&endpoint.spec.service);
        let is_doubted = endpoint.doubted_at > endpoint.verified_at;
        is_asked && (is_doubted || self.is_unseen_since_outage(endpoint))
    }

    /// Number of unverified endpoints that are listed.
    #[must_use]
    pub fn unverified_count(&self) -> usize {
        let listed = self.endpoints.values().filter(|e| e.listed);
        listed.filter(|e| self.is_unverified(e)).count()
    }

    /// Handles a message that only the present process of an endpoint can have sent.
    pub(super) fn verify(&mut self, id: &EndpointId, now: Micros) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        if self.is_unverified(endpoint) {
            let incarnation = endpoint.spec.incarnation();
            self.identities.unpublished.push(Identity {
                endpoint: incarnation.clone(),
                instance: incarnation,
                is_engine: true,
                at: now,
            });
        }
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.verified_at = now;
        }
    }

    /// Handles an event or the head of an answer that an attempt received from its endpoint.
    pub fn on_attempt_message(&mut self, incarnation: &EndpointIncarnation, now: Micros) {
        if let Some(endpoint) = self.get_incarnation_mut(incarnation) {
            endpoint.last_seen = now;
            self.verify(&incarnation.id, now);
        }
    }

    /// Handles another process at the address of an endpoint, which has therefore exited; its id, if it
    /// gave one. Peers are notified.
    pub fn on_replaced(&mut self, id: &EndpointId, instance: Option<&EndpointId>, now: Micros) {
        self.record_loss(id, now, true);
        let known = self.endpoints.get(id).map(|e| e.spec.clone());
        if let Some((former, instance)) = known.zip(instance) {
            self.identities.unpublished.push(Identity {
                endpoint: former.incarnation(),
                instance: instance.clone().into(),
                is_engine: false,
                at: now,
            });
            self.identities.remember(former, now);
        }
        self.unlist(id);
    }

    /// Adds an endpoint that identified itself before the list names it, unless the list dropped it
    /// recently or another one has replaced it since.
    pub fn on_identified(&mut self, spec: EndpointSpec, now: Micros) {
        if let Some(former) = self.identities.former_of(&spec) {
            let endpoint = former.incarnation();
            self.identities.unpublished.push(Identity {
                endpoint,
                instance: spec.incarnation(),
                is_engine: true,
                at: now,
            });
        }
        self.add_successor(spec, now);
    }

    fn add_successor(&mut self, spec: EndpointSpec, now: Micros) -> bool {
        let is_new = !self.endpoints.contains_key(&spec.id);
        if !is_new || self.departed.contains_key(&spec.id) || self.identities.is_replaced(&spec) {
            return false;
        }
        self.add_or_update(spec, now);
        self.resolve_shared_addresses();
        true
    }

    /// Applies a peer's report of the process at an endpoint's address; returns whether it was news.
    pub fn on_peer_identity(&mut self, report: &IdentityReport, now: Micros) -> bool {
        let at = now.before(Duration::from_millis(report.age_ms.into()));
        if report.endpoint.id == report.instance.id {
            return self.on_peer_verified(&report.instance, at);
        }
        let mut is_news = false;
        if let Some(endpoint) = self.get_incarnation_mut(&report.endpoint) {
            let former = endpoint.spec.clone();
            is_news = endpoint.listed;
            self.record_loss(&former.id, now, false);
            self.unlist(&former.id);
            self.identities.remember(former, now);
        }
        let former = self.identities.replaced.get(&report.endpoint.id);
        if let Some(former) = former.filter(|_| report.is_engine) {
            let successor = successor_of(&former.spec, &report.instance);
            is_news |= self.add_successor(successor, now);
        }
        is_news
    }

    fn on_peer_verified(&mut self, incarnation: &EndpointIncarnation, at: Micros) -> bool {
        let Some(endpoint) = self.get_incarnation(incarnation) else {
            return false;
        };
        let was_unverified = self.is_unverified(endpoint);
        if let Some(endpoint) = self.endpoints.get_mut(&incarnation.id) {
            endpoint.verified_at = endpoint.verified_at.max(at);
        }
        let endpoint = self.endpoints.get(&incarnation.id);
        was_unverified && endpoint.is_some_and(|e| !self.is_unverified(e))
    }

    /// Whether identities wait to be published.
    #[must_use]
    pub fn has_unpublished_identities(&self) -> bool {
        !self.identities.unpublished.is_empty()
    }

    /// Returns the identities to publish, and clears them.
    pub fn take_identities(&mut self, now: Micros) -> Vec<IdentityReport> {
        let found = std::mem::take(&mut self.identities.unpublished);
        let reports = found.into_iter().map(|identity| IdentityReport {
            endpoint: identity.endpoint,
            instance: identity.instance,
            is_engine: identity.is_engine,
            age_ms: u32::try_from(now.since(identity.at).as_millis()).unwrap_or(u32::MAX),
        });
        reports.collect()
    }
}

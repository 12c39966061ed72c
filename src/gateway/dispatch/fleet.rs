//! The state of the endpoints as this box knows or assumes it.
//!
//! The list, from the store or from a peer, names the endpoints and those that are leaving
//! (`list`). A process that restarts begins another incarnation of its endpoint, and the state of
//! the earlier one is dropped (`incarnations`). What endpoints ask of their callers
//! is in [`directives`], their load is in [`usage`], their learned speeds are in [`speeds`] and their recent failures are in [`health`]. Endpoints that are avoided,
//! suspected or unreachable are in `losses`, those that don't answer probes in [`silences`], those whose process may have been replaced in
//! [`identities`], requests for their identity in `identity_requests`;
//! whether engines prefill prompts is in `reading`.
//!
//! Inputs: the list, ends of attempts and probes, and states of peers. State: all of the above; an
//! endpoint is forgotten once it is neither listed nor in use.

pub mod directives;
pub mod domain_load;
pub mod health;
pub mod identities;
mod identity_requests;
mod incarnations;
mod list;
mod losses;
mod reading;
pub mod silences;
pub mod speeds;
pub mod usage;

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{
    BoxState, DomainId, EndpointAnswers, EndpointId, EndpointIncarnation, LimitReport, Micros,
    ServiceId,
};
use directives::Directives;
use domain_load::DomainLoads;
use health::{Answers, EndpointHealth, FailureShares};
use identities::Identities;
use identity_requests::IdentityShare;
use losses::Losses;
use silences::Unanswered;
use speeds::Speeds;
use usage::{PeerUsage, ReportedUsage};

pub use usage::Usage;

/// The state of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The entry in the list, with the start time that the endpoint itself reported if newer.
    pub spec: EndpointSpec,
    /// Whether the list names it; an endpoint that isn't listed is kept while it is in use.
    pub listed: bool,
    /// Whether its entry can be parsed.
    is_readable: bool,
    /// Whether another endpoint's entry with the same address changed later.
    is_displaced: bool,
    /// Load that this box causes there.
    pub own: Usage,
    /// Load that other boxes reported.
    others: Vec<PeerUsage>,
    /// Until when prompts of other boxes may be prefilled there.
    reads_until: Micros,
    /// When an attempt or a probe last got a message from it.
    pub last_seen: Micros,
    /// When something last showed that its present process is this incarnation.
    verified_at: Micros,
    /// When something other than an outage of its failure domain last left that open.
    doubted_at: Micros,
    /// When the probe that is unanswered was sent.
    pub probe_sent: Option<Micros>,
    /// When the last probe was sent, answered or not.
    pub last_probe: Micros,
    /// The probes that were not answered.
    unanswered: Option<Unanswered>,
    /// Recent failures, as counted by all boxes of the failure domain.
    pub health: EndpointHealth,
    /// When this box first knew of this incarnation.
    first_seen: Micros,
    /// Counts the incarnations of all endpoints in the order in which this box learnt of them.
    incarnation_number: u64,
    /// Since when a failure leaves open whether the process has restarted.
    maybe_restarted_since: Option<Micros>,
    /// When its identity was last requested.
    identity_requested: Micros,
    avoided_until: Micros,
    /// Until when it is slow from its start.
    warm_at: Micros,
    /// Failures in a row.
    failures: u32,
}

impl Endpoint {
    fn new(spec: EndpointSpec, now: Micros) -> Self {
        Self {
            warm_at: now.after(spec.warm_up),
            spec,
            listed: true,
            is_readable: true,
            is_displaced: false,
            own: Usage::default(),
            others: Vec::new(),
            reads_until: Micros::ZERO,
            last_seen: Micros::ZERO,
            verified_at: Micros::ZERO,
            doubted_at: Micros::ZERO,
            probe_sent: None,
            last_probe: Micros::ZERO,
            unanswered: None,
            health: EndpointHealth::default(),
            first_seen: now,
            incarnation_number: 0,
            maybe_restarted_since: None,
            identity_requested: Micros::ZERO,
            avoided_until: Micros::ZERO,
            failures: 0,
        }
    }

    /// Whether its entry offers it for new work.
    fn is_offered(&self) -> bool {
        self.listed && self.is_readable && !self.is_displaced && !self.spec.leaving
    }

    /// When its identity was last requested.
    #[must_use]
    pub fn identity_requested(&self) -> Micros {
        self.identity_requested
    }

    /// Whether a report about an incarnation can be about the current one.
    #[must_use]
    pub fn is_incarnation(&self, incarnation: &EndpointIncarnation) -> bool {
        self.spec.incarnation().may_be(incarnation)
    }

    /// Whether it is still slow from its start.
    #[must_use]
    pub fn is_cold(&self, now: Micros) -> bool {
        now < self.warm_at
    }

    /// Whether it failed recently or is silent, so that placement selects it only where nothing else is
    /// left.
    #[must_use]
    pub fn is_avoided(&self, now: Micros) -> bool {
        self.has_failed_recently(now) || self.is_unresponsive(now)
    }

    fn has_failed_recently(&self, now: Micros) -> bool {
        now < self.avoided_until
    }
}

/// How an attempt ended, as counted in the health of its endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerKind {
    Served,
    Error,
    Broken,
}

impl From<&EndpointAnswers> for Answers {
    fn from(reported: &EndpointAnswers) -> Self {
        Self {
            served: reported.served.into(),
            errors: reported.errors.into(),
            broken: reported.broken.into(),
        }
    }
}

/// The endpoints that this box knows.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    losses: Losses,
    identities: Identities,
    /// Services with engines.
    engine_services: BTreeSet<ServiceId>,
    /// This box's share of the identity requests of its domain.
    identity_share: IdentityShare,
    /// What endpoints ask of their callers.
    pub directives: Directives,
    /// Endpoints that the list dropped or showed as leaving or unreadable, and when.
    departed: BTreeMap<EndpointId, Micros>,
    /// Learned speeds of engines and plain servers.
    pub speeds: Speeds,
    /// Outcomes of attempts of this box that were not published to peers yet.
    unpublished: BTreeMap<EndpointId, EndpointAnswers>,
    /// Load of the boxes of other failure domains at plain services.
    domain_usage: BTreeMap<DomainId, ReportedUsage>,
    /// Load of the boxes of other failure domains on engines.
    domain_loads: DomainLoads,
    /// The services that the configuration names, or `None` before the first configuration.
    services: Option<BTreeSet<ServiceId>>,
    /// How many incarnations of endpoints this box has learnt of.
    incarnation_count: u64,
    /// Incarnations that ended since [`Fleet::take_ended_incarnations`] was last called.
    ended_incarnations: Vec<EndpointIncarnation>,
    is_known: bool,
}

impl Fleet {
    /// Whether a list of endpoints has been read.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// The endpoint with an id.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// The endpoint with an id, mutable.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// The endpoint of an incarnation, if that is the current one.
    #[must_use]
    pub fn get_incarnation(&self, incarnation: &EndpointIncarnation) -> Option<&Endpoint> {
        self.endpoints
            .get(&incarnation.id)
            .filter(|e| e.is_incarnation(incarnation))
    }

    /// The endpoint of an incarnation, mutable, if that is the current one.
    pub fn get_incarnation_mut(
        &mut self,
        incarnation: &EndpointIncarnation,
    ) -> Option<&mut Endpoint> {
        let found = self.endpoints.get_mut(&incarnation.id);
        found.filter(|e| e.is_incarnation(incarnation))
    }

    /// Iterates over the endpoints of a service in the order of their ids.
    pub fn of_service<'a, 'b>(
        &'a self,
        service: &'b ServiceId,
    ) -> impl Iterator<Item = &'a Endpoint> + use<'a, 'b> {
        self.endpoints
            .values()
            .filter(move |e| e.spec.service == *service)
    }

    /// Iterates over all endpoints in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Handles a successful answer, which ends the avoidance of the endpoint.
    pub fn on_success(&mut self, id: &EndpointId, now: Micros) {
        self.on_reached(id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.last_seen = now;
        endpoint.failures = 0;
        endpoint.avoided_until = Micros::ZERO;
        self.verify(id, now);
        self.record_outcome(id, AnswerKind::Served, now);
    }

    /// Counts the outcome of an attempt of this box, for the health here and at peers.
    fn record_outcome(&mut self, id: &EndpointId, kind: AnswerKind, now: Micros) {
        let count = |of| u32::from(of == kind);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let answers = EndpointAnswers {
            endpoint: endpoint.spec.incarnation(),
            served: count(AnswerKind::Served),
            errors: count(AnswerKind::Error),
            broken: count(AnswerKind::Broken),
        };
        endpoint.health.add((&answers).into(), now);
        match self.unpublished.get_mut(id) {
            Some(unpublished) => {
                unpublished.served += answers.served;
                unpublished.errors += answers.errors;
                unpublished.broken += answers.broken;
            }
            None => {
                self.unpublished.insert(id.clone(), answers);
            }
        }
    }

    /// Returns the outcomes of this box's attempts to publish, and clears them.
    pub fn take_unpublished(&mut self) -> Vec<EndpointAnswers> {
        std::mem::take(&mut self.unpublished)
            .into_values()
            .collect()
    }

    /// Adds the outcomes of a peer's attempts to the health of their endpoints.
    pub fn on_peer_answers(&mut self, answers: &[EndpointAnswers], now: Micros) {
        for reported in answers {
            if let Some(endpoint) = self.get_incarnation_mut(&reported.endpoint) {
                endpoint.health.add(reported.into(), now);
            }
        }
    }

    /// The lowest failure shares among the endpoints of a service, each share by itself.
    #[must_use]
    pub fn lowest_failure_shares(&self, service: &ServiceId, now: Micros) -> FailureShares {
        let shares = self
            .of_service(service)
            .map(|e| e.health.failure_shares(now));
        shares.fold(FailureShares::ALL, FailureShares::min)
    }

    /// Whether an endpoint takes new work: its entry offers it, and it has not said that it is leaving.
    #[must_use]
    pub fn takes_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.is_offered() && !self.directives.is_leaving(&endpoint.spec.id)
    }

    /// Whether an endpoint takes work and wants no rest from this box now.
    #[must_use]
    pub fn is_open(&self, endpoint: &Endpoint, now: Micros) -> bool {
        self.takes_work(endpoint) && self.directives.rest(&endpoint.spec.id, now).is_none()
    }

    /// Whether this box may send a request to an endpoint now: the endpoint is open, and this box
    /// holds the permit and the lease that the endpoint's limit and tolerance demand.
    #[must_use]
    pub fn may_send(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let (id, service) = (&endpoint.spec.id, &endpoint.spec.service);
        self.is_open(endpoint, now)
            && self.directives.limits.may_send(id, now)
            && self.directives.tolerances.may_send(service, id)
    }

    /// When the first endpoint of a service that takes work is open: `now` if one is; `None` if none
    /// takes work.
    #[must_use]
    pub fn opens_at(&self, service: &ServiceId, now: Micros) -> Option<Micros> {
        let usable = self.of_service(service).filter(|e| self.takes_work(e));
        let opens_at = |e: &Endpoint| {
            let rest = self.directives.rest(&e.spec.id, now);
            rest.map_or(now, |rest| rest.until)
        };
        usable.map(opens_at).min()
    }

    /// Returns the reports of limits that were held until the list named their endpoints.
    pub fn take_held_reports(&mut self, now: Micros) -> Vec<LimitReport> {
        let endpoints = &self.endpoints;
        self.directives
            .take_reports(|id| endpoints.contains_key(id), now)
    }

    /// Forgets the directives of endpoints that are no longer in force.
    pub fn forget_expired_directives(&mut self, now: Micros) {
        let endpoints = &self.endpoints;
        self.directives
            .forget_expired(|id| endpoints.contains_key(id), now);
    }

    /// Handles an error answer: the endpoint is reachable but the attempt failed.
    pub fn on_error_answer(&mut self, id: &EndpointId, now: Micros) {
        self.on_reached(id);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.last_seen = now;
        }
        self.verify(id, now);
        self.record_outcome(id, AnswerKind::Error, now);
    }

    /// Applies a peer's losses, its load, and the load of other failure domains that it reports.
    pub fn on_peer(&mut self, state: &BoxState, own: &DomainId, now: Micros) {
        self.on_peer_losses(&state.lost, now);
        self.on_peer_state(state, own, now);
        self.on_domain_usage(&state.domain_usage, own, now);
    }
}

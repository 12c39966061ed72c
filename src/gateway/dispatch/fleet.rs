//! What a box believes of the endpoints.
//!
//! The list, from the store or a peer, says who is there and who is leaving (`list`); a process that
//! starts again begins another life, and what was believed of the one before falls
//! (`incarnations`). What it says that it takes is in [`limits`]. What runs at an endpoint is in [`usage`]; who is avoided, suspected or
//! unreachable is in `losses`.
//!
//! Owns: all beliefs of endpoints; one is forgotten once it is neither listed nor in use.

pub mod health;
mod incarnations;
pub mod limits;
mod list;
mod losses;
pub mod usage;

use std::collections::{BTreeMap, BTreeSet};

use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{
    BoxState, DomainId, EndpointAnswers, EndpointId, EndpointIncarnation, Micros, ServiceId,
};
use health::{Answers, EndpointHealth, Failing};
use limits::Limits;
use losses::Losses;
use usage::{PeerUsage, ToldUsage};

pub use usage::Usage;

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the list says.
    pub spec: EndpointSpec,
    /// Whether it is listed.
    pub listed: bool,
    /// Whether its entry can be read.
    is_readable: bool,
    /// Whether the entry of another endpoint with its address changed later.
    is_displaced: bool,
    /// What this box runs there.
    pub own: Usage,
    /// What other boxes said that they run there.
    others: Vec<PeerUsage>,
    /// When this box last heard of it, by an attempt or a probe.
    pub heard: Micros,
    /// When a probe was sent that is not answered yet.
    pub probe_sent: Option<Micros>,
    /// When it was last probed.
    pub last_probe: Micros,
    /// How well it has answered lately.
    pub health: EndpointHealth,
    /// When this box first knew of this life.
    first_seen: Micros,
    /// Which of the lives that this box came to know it is.
    number: u64,
    /// Since when a failure leaves open whether this life goes on.
    unsure_since: Option<Micros>,
    identity_asked: Micros,
    avoided_until: Micros,
    failures: u32,
}

impl Endpoint {
    fn new(spec: EndpointSpec, now: Micros) -> Self {
        Self {
            spec,
            listed: true,
            is_readable: true,
            is_displaced: false,
            own: Usage::default(),
            others: Vec::new(),
            heard: Micros::ZERO,
            probe_sent: None,
            last_probe: Micros::ZERO,
            health: EndpointHealth::default(),
            first_seen: now,
            number: 0,
            unsure_since: None,
            identity_asked: Micros::ZERO,
            avoided_until: Micros::ZERO,
            failures: 0,
        }
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.listed && self.is_readable && !self.is_displaced && !self.spec.leaving
    }

    /// When it was last asked who it is.
    #[must_use]
    pub fn identity_asked(&self) -> Micros {
        self.identity_asked
    }

    /// Whether an account of a life can be of the present one.
    #[must_use]
    pub fn is_incarnation(&self, life: &EndpointIncarnation) -> bool {
        self.spec.incarnation().may_be(life)
    }

    /// Whether it failed a short while ago.
    #[must_use]
    pub fn is_avoided(&self, now: Micros) -> bool {
        now < self.avoided_until
    }
}

/// How an attempt ended, as far as its endpoint is judged by it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AnswerKind {
    Served,
    Error,
    Broken,
}

impl From<&EndpointAnswers> for Answers {
    fn from(told: &EndpointAnswers) -> Self {
        Self {
            served: told.served.into(),
            errors: told.errors.into(),
            broken: told.broken.into(),
        }
    }
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    losses: Losses,
    /// What endpoints say that they take.
    pub limits: Limits,
    /// Endpoints that the list dropped or showed as leaving, and when.
    departed: BTreeMap<EndpointId, Micros>,
    /// How attempts of this box ended that peers have not been told of.
    unpublished: BTreeMap<EndpointId, EndpointAnswers>,
    /// What other failure domains run at plain services.
    domain_usage: BTreeMap<DomainId, ToldUsage>,
    /// The services of the configuration, once there is one.
    services: Option<BTreeSet<ServiceId>>,
    /// Lives that this box came to know.
    lives: u64,
    /// Lives that have ended and of which nobody was told.
    ended: Vec<EndpointIncarnation>,
    is_known: bool,
}

impl Fleet {
    /// Whether a list of endpoints has been read.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Finds an endpoint.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(id)
    }

    /// Finds an endpoint to change it.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Finds an endpoint if a life of it goes on.
    #[must_use]
    pub fn get_incarnation(&self, life: &EndpointIncarnation) -> Option<&Endpoint> {
        self.endpoints
            .get(&life.id)
            .filter(|e| e.is_incarnation(life))
    }

    /// Finds an endpoint to change it, if a life of it goes on.
    pub fn get_incarnation_mut(&mut self, life: &EndpointIncarnation) -> Option<&mut Endpoint> {
        let found = self.endpoints.get_mut(&life.id);
        found.filter(|e| e.is_incarnation(life))
    }

    /// Iterates over the endpoints of a service.
    pub fn of_service<'a, 'b>(
        &'a self,
        service: &'b ServiceId,
    ) -> impl Iterator<Item = &'a Endpoint> + use<'a, 'b> {
        self.endpoints
            .values()
            .filter(move |e| e.spec.service == *service)
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Notes an answer of an endpoint.
    pub fn on_success(&mut self, id: &EndpointId, now: Micros) {
        self.on_reached(id);
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.heard = now;
        endpoint.failures = 0;
        endpoint.avoided_until = Micros::ZERO;
        self.note_answer(id, AnswerKind::Served, now);
    }

    /// Counts how an attempt of this box ended.
    fn note_answer(&mut self, id: &EndpointId, kind: AnswerKind, now: Micros) {
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

    /// How attempts of this box ended since this was asked last, to be told.
    pub fn take_unpublished(&mut self) -> Vec<EndpointAnswers> {
        std::mem::take(&mut self.unpublished)
            .into_values()
            .collect()
    }

    /// Takes in how attempts of a peer ended.
    pub fn on_peer_answers(&mut self, answers: &[EndpointAnswers], now: Micros) {
        for told in answers {
            if let Some(endpoint) = self.get_incarnation_mut(&told.endpoint) {
                endpoint.health.add(told.into(), now);
            }
        }
    }

    /// The least shares of attempts that fail at an endpoint of a service.
    #[must_use]
    pub fn least_failing(&self, service: &ServiceId, now: Micros) -> Failing {
        let shares = self.of_service(service).map(|e| e.health.failing(now));
        shares.fold(Failing::ALL, Failing::min)
    }

    /// Notes an answer that was no success, though the endpoint is there.
    pub fn on_error_answer(&mut self, id: &EndpointId, now: Micros) {
        self.on_reached(id);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.heard = now;
        }
        self.note_answer(id, AnswerKind::Error, now);
    }

    /// Takes in a peer's losses, what it runs, and what other failure domains run.
    pub fn on_peer(&mut self, state: &BoxState, own: &DomainId, now: Micros) {
        self.on_peer_losses(&state.lost, now);
        self.on_peer_state(&state.from, &state.usage, now);
        self.on_domain_usage(&state.domain_usage, own, now);
    }
}

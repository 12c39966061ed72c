//! What a box believes of the endpoints.
//!
//! The list, from the store or a peer, says who is there and who is leaving; an endpoint that it
//! dropped stays gone for [`DEPARTED_FOR`], whatever that endpoint says itself. What runs at an
//! endpoint is in [`usage`]; who is avoided, suspected or unreachable is in `losses`.
//!
//! Owns: all beliefs of endpoints; one is forgotten once it is neither listed nor in use.

mod losses;
pub mod standing;
pub mod usage;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::dispatch::event::{EndpointChange, EndpointSpec};
use crate::schema::{BoxState, DomainId, EndpointAnswers, EndpointId, Micros, ServiceId};
use losses::Losses;
use standing::{Answers, Failing, Standing};
use usage::{PeerUsage, ToldUsage};

pub use usage::Usage;

/// How long an endpoint that the list dropped is remembered as gone: without that, one that was
/// leaving came back by its own word (hunt-6df5-3, docs/FINDINGS.md). The figure is chosen, not
/// measured.
const DEPARTED_FOR: Duration = Duration::from_secs(60);

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the list says.
    pub spec: EndpointSpec,
    /// Whether it is listed.
    pub listed: bool,
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
    pub standing: Standing,
    first_seen: Micros,
    identity_asked: Micros,
    avoided_until: Micros,
    failures: u32,
}

impl Endpoint {
    fn new(spec: EndpointSpec, now: Micros) -> Self {
        Self {
            spec,
            listed: true,
            own: Usage::default(),
            others: Vec::new(),
            heard: Micros::ZERO,
            probe_sent: None,
            last_probe: Micros::ZERO,
            standing: Standing::default(),
            first_seen: now,
            identity_asked: Micros::ZERO,
            avoided_until: Micros::ZERO,
            failures: 0,
        }
    }

    /// Whether new work may go there.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.listed && !self.spec.leaving
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
    /// Endpoints that the list dropped or showed as leaving, and when.
    departed: BTreeMap<EndpointId, Micros>,
    /// How attempts of this box ended that peers have not been told of.
    untold: BTreeMap<EndpointId, EndpointAnswers>,
    /// What other failure domains run at plain services.
    domain_usage: BTreeMap<DomainId, ToldUsage>,
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

    /// Takes in a whole list; returns the ids that are no longer listed.
    pub fn replace(&mut self, specs: Vec<EndpointSpec>, now: Micros) -> Vec<EndpointId> {
        self.is_known = true;
        let listed: Vec<EndpointId> = specs.iter().map(|s| s.id.clone()).collect();
        for spec in specs {
            self.present(spec, now);
        }
        let gone: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|e| e.listed && !listed.contains(&e.spec.id))
            .map(|e| e.spec.id.clone())
            .collect();
        for id in &gone {
            self.depart(id, now);
        }
        gone
    }

    /// Takes an endpoint off the list, and remembers that for a while.
    fn depart(&mut self, id: &EndpointId, now: Micros) {
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_FOR);
        self.departed.insert(id.clone(), now);
        self.absent(id);
    }

    /// Takes in one change of the list.
    pub fn change(&mut self, change: EndpointChange, now: Micros) {
        match change {
            EndpointChange::Present(spec) => self.present(spec, now),
            EndpointChange::Absent(id) => self.depart(&id, now),
        }
    }

    fn present(&mut self, spec: EndpointSpec, now: Micros) {
        if spec.leaving {
            self.departed.insert(spec.id.clone(), now);
        } else {
            self.departed.remove(&spec.id);
        }
        if let Some(known) = self.endpoints.get_mut(&spec.id) {
            known.spec = spec;
            known.listed = true;
            return;
        }
        // Whoever had the address before is gone.
        for other in self.endpoints.values_mut() {
            if other.spec.address == spec.address {
                other.listed = false;
            }
        }
        self.endpoints
            .insert(spec.id.clone(), Endpoint::new(spec, now));
        self.forget_unused();
    }

    fn absent(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.listed = false;
        }
        self.forget_unused();
    }

    /// Forgets endpoints that are neither listed nor in use.
    pub fn forget_unused(&mut self) {
        self.endpoints
            .retain(|_, e| e.listed || e.own != Usage::default());
    }

    /// Notes that another instance has an endpoint's address: the endpoint is gone for good.
    pub fn replaced(&mut self, id: &EndpointId) {
        self.absent(id);
    }

    /// Takes in an instance that the list doesn't show yet; one that it has dropped stays gone.
    pub fn succeed(&mut self, spec: EndpointSpec, now: Micros) {
        let is_new = !self.endpoints.contains_key(&spec.id);
        if is_new && !self.departed.contains_key(&spec.id) {
            self.present(spec, now);
        }
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
        let answers = EndpointAnswers {
            endpoint: id.clone(),
            served: count(AnswerKind::Served),
            errors: count(AnswerKind::Error),
            broken: count(AnswerKind::Broken),
        };
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.standing.add((&answers).into(), now);
        match self.untold.get_mut(id) {
            Some(untold) => {
                untold.served += answers.served;
                untold.errors += answers.errors;
                untold.broken += answers.broken;
            }
            None => {
                self.untold.insert(id.clone(), answers);
            }
        }
    }

    /// How attempts of this box ended since this was asked last, to be told.
    pub fn take_untold(&mut self) -> Vec<EndpointAnswers> {
        std::mem::take(&mut self.untold).into_values().collect()
    }

    /// Takes in how attempts of a peer ended.
    pub fn on_peer_answers(&mut self, answers: &[EndpointAnswers], now: Micros) {
        for told in answers {
            if let Some(endpoint) = self.endpoints.get_mut(&told.endpoint) {
                endpoint.standing.add(told.into(), now);
            }
        }
    }

    /// The least shares of attempts that fail at an endpoint of a service.
    #[must_use]
    pub fn least_failing(&self, service: &ServiceId, now: Micros) -> Failing {
        let shares = self.of_service(service).map(|e| e.standing.failing(now));
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

//! What a box believes of the endpoints: who is listed, what runs there, who is in trouble.
//!
//! The list says who is there; what runs is counted from this box's own sendings and from what
//! peers tell of theirs. An endpoint that failed is avoided for a while that grows with each
//! failure; when several of a failure domain were lost at once, the others of it are avoided too.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::dispatch::event::{EndpointChange, EndpointSpec};
use crate::schema::{BoxState, DomainId, EndpointId, Micros, ServiceId};

/// How long an endpoint is avoided after its first failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(800);
/// The longest time that an endpoint is avoided.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(6);
/// Losses in one failure domain that tell of a loss of the domain.
const DOMAIN_LOSSES: usize = 2;
/// The time within which these losses must lie, and for which the domain is then avoided.
const DOMAIN_WINDOW: Duration = Duration::from_millis(1_500);
/// How long a peer's account of its sendings counts.
const PEER_ACCOUNT: Duration = Duration::from_millis(1_500);
/// How much of the estimate of failures the last request makes.
const FAILURE_SHARE: f64 = 0.2;

/// What runs at an endpoint, by one box's count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests that run there.
    pub running: u32,
    /// Tokens of prompts whose first event has not come.
    pub reading: u32,
    /// Tokens of KV memory that runs and copies take or will take.
    pub memory: u32,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// What the list says.
    pub spec: EndpointSpec,
    /// Whether it is listed.
    pub listed: bool,
    /// What this box runs there.
    pub own: Usage,
    /// When any of this box's sendings last heard of it.
    pub heard: Micros,
    /// When a probe was sent that is not answered yet.
    pub probe_sent: Option<Micros>,
    /// When it was last probed.
    pub last_probe: Micros,
    /// Share of requests that failed lately, 0 to 1.
    pub failing: f64,
    avoided_until: Micros,
    failures: u32,
}

impl Endpoint {
    fn new(spec: EndpointSpec) -> Self {
        Self {
            spec,
            listed: true,
            own: Usage::default(),
            heard: Micros::ZERO,
            probe_sent: None,
            last_probe: Micros::ZERO,
            failing: 0.0,
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

#[derive(Clone, Debug)]
struct PeerAccount {
    at: Micros,
    usage: BTreeMap<EndpointId, Usage>,
}

/// All endpoints.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    accounts: BTreeMap<String, PeerAccount>,
    losses: Vec<(Micros, EndpointId, DomainId, ServiceId)>,
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
    pub fn replace(&mut self, specs: Vec<EndpointSpec>) -> Vec<EndpointId> {
        self.is_known = true;
        let listed: Vec<EndpointId> = specs.iter().map(|s| s.id.clone()).collect();
        for spec in specs {
            self.present(spec);
        }
        let gone: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|e| e.listed && !listed.contains(&e.spec.id))
            .map(|e| e.spec.id.clone())
            .collect();
        for id in &gone {
            self.absent(id);
        }
        gone
    }

    /// Takes in one change of the list.
    pub fn change(&mut self, change: EndpointChange) {
        match change {
            EndpointChange::Present(spec) => self.present(spec),
            EndpointChange::Absent(id) => self.absent(&id),
        }
    }

    fn present(&mut self, spec: EndpointSpec) {
        match self.endpoints.get_mut(&spec.id) {
            Some(known) => {
                known.spec = spec;
                known.listed = true;
            }
            None => {
                self.endpoints.insert(spec.id.clone(), Endpoint::new(spec));
            }
        }
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

    /// Notes an answer of an endpoint.
    pub fn on_success(&mut self, id: &EndpointId, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        endpoint.heard = now;
        endpoint.failures = 0;
        endpoint.avoided_until = Micros::ZERO;
        endpoint.failing *= 1.0 - FAILURE_SHARE;
    }

    /// Notes an answer that was no success, though the endpoint is there.
    pub fn on_error_answer(&mut self, id: &EndpointId, now: Micros) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.heard = now;
            endpoint.failing += (1.0 - endpoint.failing) * FAILURE_SHARE;
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
        let doubled = FIRST_AVOIDANCE * 2_u32.pow(endpoint.failures.min(4));
        endpoint.failures += 1;
        endpoint.avoided_until = now.after(doubled.min(LONGEST_AVOIDANCE));
        let loss = (
            now,
            id.clone(),
            endpoint.spec.domain.clone(),
            endpoint.spec.service.clone(),
        );
        self.losses
            .retain(|(at, of, ..)| now.since(*at) < DOMAIN_WINDOW && of != id);
        self.losses.push(loss);
    }

    /// The endpoints that this box lost a short while ago.
    pub fn lost(&self, now: Micros) -> impl Iterator<Item = &EndpointId> {
        self.losses
            .iter()
            .filter(move |(at, ..)| now.since(*at) < DOMAIN_WINDOW)
            .map(|(_, id, ..)| id)
    }

    /// Whether a failure domain lost several endpoints of a service at once.
    #[must_use]
    pub fn is_domain_failing(&self, service: &ServiceId, domain: &DomainId, now: Micros) -> bool {
        let lost = self.losses.iter().filter(|(at, _, of_domain, of)| {
            of == service && of_domain == domain && now.since(*at) < DOMAIN_WINDOW
        });
        lost.count() >= DOMAIN_LOSSES
    }

    /// Takes in what a peer runs.
    pub fn on_peer(&mut self, state: &BoxState, now: Micros) {
        let usage = state.usage.iter().map(|u| {
            let usage = Usage {
                running: u.running,
                reading: u.reading,
                memory: u.memory,
            };
            (u.endpoint.clone(), usage)
        });
        let account = PeerAccount {
            at: now,
            usage: usage.collect(),
        };
        self.accounts.insert(state.from.to_string(), account);
        self.accounts
            .retain(|_, account| now.since(account.at) < PEER_ACCOUNT);
    }

    /// What runs at an endpoint by the count of all boxes that were heard lately.
    #[must_use]
    pub fn usage(&self, endpoint: &Endpoint, now: Micros) -> Usage {
        let mut total = endpoint.own;
        for account in self.accounts.values() {
            if now.since(account.at) >= PEER_ACCOUNT {
                continue;
            }
            if let Some(usage) = account.usage.get(&endpoint.spec.id) {
                total.running += usage.running;
                total.reading += usage.reading;
                total.memory += usage.memory;
            }
        }
        total
    }
}

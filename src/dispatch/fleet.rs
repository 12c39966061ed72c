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
/// Connections to a domain that must fail in a row before it counts as unreachable.
const UNREACHABLE_AFTER: u32 = 3;
/// Time between trials of a domain that can't be reached.
const TRIAL_PAUSE: Duration = Duration::from_millis(300);
/// How long an endpoint that was there before its domain failed is doubted, unless it is heard: a
/// restarted one is listed under another id by then.
const DOUBTED_FOR: Duration = Duration::from_millis(4_500);
/// How long an endpoint that the list dropped is remembered as gone.
const DEPARTED_FOR: Duration = Duration::from_secs(60);
/// How long an endpoint is doubted before it is asked who it is.
const IDENTIFY_AFTER: Duration = Duration::from_millis(1_400);
/// Time between two such questions.
const IDENTIFY_AGAIN: Duration = Duration::from_millis(1_500);
/// How recently this box must have heard an endpoint to trust that more than a peer's word.
const HEARD_LATELY: Duration = Duration::from_millis(200);
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
            heard: Micros::ZERO,
            probe_sent: None,
            last_probe: Micros::ZERO,
            failing: 0.0,
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

#[derive(Clone, Debug)]
struct PeerAccount {
    at: Micros,
    usage: BTreeMap<EndpointId, Usage>,
}

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

/// All endpoints.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    accounts: BTreeMap<String, PeerAccount>,
    losses: Vec<Loss>,
    failed_domains: BTreeMap<(ServiceId, DomainId), Micros>,
    unreachable: BTreeMap<(ServiceId, DomainId), Unreachable>,
    /// Endpoints that the list dropped or showed as leaving, and when.
    departed: BTreeMap<EndpointId, Micros>,
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

    /// Notes that an endpoint could not be connected to.
    pub fn on_unreachable(&mut self, id: &EndpointId, now: Micros) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        let entry = self.unreachable.entry(key).or_insert(Unreachable {
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
            self.unreachable.remove(&key);
        }
    }

    /// Whether an endpoint's domain can't be reached, and no trial is due.
    #[must_use]
    pub fn is_unreachable(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        self.unreachable
            .get(&key)
            .is_some_and(|entry| now < entry.next_trial)
    }

    /// Notes a sending, which is the trial if its domain can't be reached.
    pub fn on_sending(&mut self, endpoint: &EndpointSpec, now: Micros) {
        let key = (endpoint.service.clone(), endpoint.domain.clone());
        if let Some(entry) = self.unreachable.get_mut(&key)
            && entry.failures >= UNREACHABLE_AFTER
        {
            entry.next_trial = now.after(TRIAL_PAUSE);
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
        endpoint.failing *= 1.0 - FAILURE_SHARE;
    }

    /// Notes an answer that was no success, though the endpoint is there.
    pub fn on_error_answer(&mut self, id: &EndpointId, now: Micros) {
        self.on_reached(id);
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
            .retain(|loss| now.since(loss.at) < DOMAIN_WINDOW && loss.endpoint != *id);
        self.losses.push(Loss {
            at: now,
            endpoint: id.clone(),
            domain: domain.clone(),
            service: service.clone(),
            is_own,
        });
        let of_domain = |loss: &&Loss| loss.domain == domain && loss.service == service;
        if self.losses.iter().filter(of_domain).count() >= DOMAIN_LOSSES {
            self.failed_domains.insert((service, domain), now);
        }
    }

    /// The endpoints that this box itself lost a short while ago.
    pub fn lost(&self, now: Micros) -> impl Iterator<Item = &EndpointId> {
        self.losses
            .iter()
            .filter(move |loss| loss.is_own && now.since(loss.at) < DOMAIN_WINDOW)
            .map(|loss| &loss.endpoint)
    }

    /// Whether an endpoint may have been lost with others of its domain.
    #[must_use]
    pub fn is_doubted(&self, endpoint: &Endpoint, now: Micros) -> bool {
        let key = (endpoint.spec.service.clone(), endpoint.spec.domain.clone());
        let Some(failed) = self.failed_domains.get(&key) else {
            return false;
        };
        let is_unheard = endpoint.heard < *failed && endpoint.first_seen < *failed;
        is_unheard && now.since(*failed) < DOUBTED_FOR
    }

    /// The endpoints of a domain that have been doubted for a while and not asked who they are since;
    /// notes that they are.
    pub fn to_identify(&mut self, domain: &DomainId, now: Micros) -> Vec<EndpointSpec> {
        let mut found = Vec::new();
        for ((service, of), failed) in &self.failed_domains {
            let doubted_for = now.since(*failed);
            if of != domain || !(IDENTIFY_AFTER..DOUBTED_FOR).contains(&doubted_for) {
                continue;
            }
            let doubted = self.endpoints.values_mut().filter(|e| {
                let is_unheard = e.heard < *failed && e.first_seen < *failed;
                e.listed && is_unheard && e.spec.service == *service && e.spec.domain == *domain
            });
            for endpoint in doubted {
                if now.since(endpoint.identity_asked) >= IDENTIFY_AGAIN {
                    endpoint.identity_asked = now;
                    found.push(endpoint.spec.clone());
                }
            }
        }
        found
    }

    /// Takes in which endpoints a peer lost.
    fn on_peer_losses(&mut self, lost: &[EndpointId], now: Micros) {
        for id in lost {
            let is_known = self.losses.iter().any(|loss| loss.endpoint == *id);
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

    /// Takes in what a peer runs.
    pub fn on_peer(&mut self, state: &BoxState, now: Micros) {
        self.on_peer_losses(&state.lost, now);
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

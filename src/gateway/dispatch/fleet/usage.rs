//! What runs at endpoints: counted from this box's own attempts, and from what peers tell.
//!
//! A peer of the own failure domain tells at once what it began and ended at an endpoint, and now
//! and then all that it runs. What it told grows old: the prompts are prefilled meanwhile, and
//! after the time of a stream nothing of it counts any more. Of other domains one hears the sums
//! over all their boxes, for plain services only.

use std::time::Duration;

use super::{Endpoint, Fleet};
use crate::schema::{BoxId, DomainId, DomainUsage, EndpointId, EndpointUsage, Micros};

/// Tokens of a prompt that an engine prefills in a millisecond, by the users' site sheets.
pub const PREFILL_TOKENS_PER_MS: f64 = 5.0;
/// How long what a peer told of an engine counts: about as long as a stream takes (3.9 s from the
/// first event on where prompts don't meet).
const ENGINE_USAGE: Duration = Duration::from_secs(5);
/// How long what a peer told of a plain service counts: five messages between boxes.
const PLAIN_USAGE: Duration = Duration::from_millis(1_500);

/// How long what a box of another failure domain told of all boxes there counts.
const DOMAIN_USAGE: Duration = Duration::from_secs(3);

/// What runs at an endpoint, by one box's count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests that run there.
    pub running: u32,
    /// Tokens of prompts that wait for prefill: those whose first event has not come.
    pub prefill: u32,
    /// Tokens of KV memory that attempts and replicas take or will take.
    pub memory: u32,
}

/// Who told what runs.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Teller {
    /// A box, of itself.
    Box(BoxId),
    /// Some box of another failure domain, of all boxes there.
    Domain(DomainId),
}

/// What was told of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct PeerUsage {
    from: Teller,
    at: Micros,
    usage: Usage,
}

/// What the boxes of a failure domain were last told to run.
#[derive(Debug)]
pub(super) struct ToldUsage {
    at: Micros,
    usage: Vec<EndpointUsage>,
}

impl PeerUsage {
    /// What is left of it by now, if it still counts.
    fn left(&self, now: Micros) -> Option<Usage> {
        let age = now.since(self.at);
        let is_engine = self.usage.memory > 0;
        let life = match self.from {
            Teller::Box(_) if is_engine => ENGINE_USAGE,
            Teller::Box(_) => PLAIN_USAGE,
            Teller::Domain(_) => DOMAIN_USAGE,
        };
        let read = (age.as_secs_f64() * 1_000.0 * PREFILL_TOKENS_PER_MS) as u32;
        (age < life).then_some(Usage {
            prefill: self.usage.prefill.saturating_sub(read),
            ..self.usage
        })
    }
}

impl Fleet {
    /// Takes in all that a peer runs.
    pub(super) fn on_peer_state(&mut self, from: &BoxId, usage: &[EndpointUsage], now: Micros) {
        let from = Teller::Box(from.clone());
        self.forget_told_by(&from);
        self.on_told(&from, usage, now);
    }

    /// Takes in what a peer runs at some endpoints.
    pub fn on_peer_usage(&mut self, from: &BoxId, usage: &[EndpointUsage], now: Micros) {
        self.on_told(&Teller::Box(from.clone()), usage, now);
    }

    /// Takes in what the boxes of other failure domains than the own one run at plain services, by
    /// whoever told it; what is older than what is known is of no use.
    pub(super) fn on_domain_usage(&mut self, told: &[DomainUsage], own: &DomainId, now: Micros) {
        for told in told.iter().filter(|told| told.domain != *own) {
            let at = now.before(Duration::from_millis(told.age_ms.into()));
            let known = self.domain_usage.get(&told.domain);
            if known.is_some_and(|known| known.at >= at) {
                continue;
            }
            let from = Teller::Domain(told.domain.clone());
            self.forget_told_by(&from);
            self.on_told(&from, &told.usage, at);
            let usage = told.usage.clone();
            self.domain_usage
                .insert(told.domain.clone(), ToldUsage { at, usage });
        }
    }

    /// What other failure domains run at plain services, to be told inside the own one: each box
    /// hears one of them each 1.2 s, all boxes of a domain together each 20 ms.
    #[must_use]
    pub fn usage_of_others(&self, now: Micros) -> Vec<DomainUsage> {
        let told = self.domain_usage.iter();
        let fresh = told.filter(|(_, told)| now.since(told.at) < DOMAIN_USAGE);
        let told = fresh.map(|(domain, told)| DomainUsage {
            domain: domain.clone(),
            age_ms: now.since(told.at).as_millis() as u32,
            usage: told.usage.clone(),
        });
        told.collect()
    }

    fn forget_told_by(&mut self, from: &Teller) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.others.retain(|other| other.from != *from);
        }
    }

    fn on_told(&mut self, from: &Teller, usage: &[EndpointUsage], now: Micros) {
        for told in usage {
            let Some(endpoint) = self.get_incarnation_mut(&told.endpoint) else {
                continue;
            };
            endpoint
                .others
                .retain(|other| other.from != *from && other.left(now).is_some());
            endpoint.others.push(PeerUsage {
                from: from.clone(),
                at: now,
                usage: Usage {
                    running: told.running,
                    prefill: told.reading,
                    memory: told.memory,
                },
            });
        }
    }

    /// What this box and those of its failure domain run at plain services, to be told to others.
    #[must_use]
    pub fn usage_of_domain(&self, domain: &DomainId, now: Micros) -> DomainUsage {
        let mut found = Vec::new();
        for endpoint in self.endpoints.values() {
            let told = endpoint.others.iter();
            let near = told.filter(|other| matches!(other.from, Teller::Box(_)));
            let near = near.filter_map(|other| other.left(now));
            let (running, memory) = near.fold(
                (endpoint.own.running, endpoint.own.memory),
                |(running, memory), usage| (running + usage.running, memory + usage.memory),
            );
            if running > 0 && memory == 0 {
                found.push(EndpointUsage {
                    endpoint: endpoint.spec.incarnation(),
                    running,
                    reading: 0,
                    memory: 0,
                });
            }
        }
        DomainUsage {
            domain: domain.clone(),
            age_ms: 0,
            usage: found,
        }
    }

    /// What runs at an endpoint by the count of all boxes that told of it lately.
    #[must_use]
    pub fn usage(&self, endpoint: &Endpoint, now: Micros) -> Usage {
        let mut total = endpoint.own;
        for other in endpoint.others.iter().filter_map(|other| other.left(now)) {
            total.running += other.running;
            total.prefill += other.prefill;
            total.memory += other.memory;
        }
        total
    }

    /// What this box runs at an endpoint, to be told.
    #[must_use]
    pub fn own_usage(&self, id: &EndpointId) -> Option<EndpointUsage> {
        let endpoint = self.endpoints.get(id)?;
        Some(EndpointUsage {
            endpoint: endpoint.spec.incarnation(),
            running: endpoint.own.running,
            reading: endpoint.own.prefill,
            memory: endpoint.own.memory,
        })
    }

    /// All that this box runs, to be told.
    pub fn all_own_usage(&self) -> impl Iterator<Item = EndpointUsage> {
        let used = self.endpoints.values();
        used.filter(|e| e.own != Usage::default())
            .filter_map(|e| self.own_usage(&e.spec.id))
    }
}

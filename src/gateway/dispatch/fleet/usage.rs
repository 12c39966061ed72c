//! The load of endpoints: from this box's own attempts, and as reported by peers.
//!
//! A peer of the own failure domain reports at once what it started and ended at an endpoint, and
//! periodically all that it runs. Reports age: prompts are prefilled meanwhile, and after about the
//! time of a stream a report no longer counts. Of other domains this box gets the sums over all
//! their boxes: for plain services here, and for engines in [`super::domain_load`], whose sums
//! replace what single boxes of those domains report.

use std::ops::Add;
use std::time::Duration;

use super::speeds::TokensPerMs;
use super::{Endpoint, Fleet};
use crate::schema::{BoxId, BoxState, DomainId, DomainUsage, EndpointId, EndpointUsage, Micros};

/// Prompt tokens that an engine prefills in a millisecond, as long as nothing else is learned
/// ([`super::speeds`]).
pub const PREFILL_TOKENS_PER_MS: f64 = 5.0;
/// How long a peer's report about an engine counts: about as long as a stream takes (3.9 s from the
/// first event on if no other prompt is prefilled).
pub(super) const ENGINE_REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// How long a peer's report about a plain service counts: five intervals of messages between boxes.
const PLAIN_REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// How long the sum over the boxes of another failure domain counts.
const DOMAIN_REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// The load of an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Running requests.
    pub running: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    pub prefill: u32,
    /// Tokens of KV memory that attempts and replicas occupy or will occupy.
    pub memory: u32,
}

impl Add for Usage {
    type Output = Self;

    /// Adds two loads; reports of peers are not trusted to stay within the range of the numbers.
    fn add(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            prefill: self.prefill.saturating_add(other.prefill),
            memory: self.memory.saturating_add(other.memory),
        }
    }
}

/// The source of a report.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Source {
    /// A box of the own failure domain, about its own load.
    Box(BoxId),
    /// A box of another failure domain, about its own load.
    RemoteBox(BoxId, DomainId),
    /// Some box, about the load of all boxes of a failure domain.
    Domain(DomainId),
}

/// A report about an endpoint.
#[derive(Clone, Debug)]
pub(super) struct PeerUsage {
    from: Source,
    at: Micros,
    usage: Usage,
}

/// The latest report about all boxes of a failure domain.
#[derive(Debug)]
pub(super) struct ReportedUsage {
    at: Micros,
    usage: Vec<EndpointUsage>,
}

impl PeerUsage {
    /// Whether the report has expired.
    fn is_expired(&self, now: Micros) -> bool {
        let is_engine = self.usage.memory > 0;
        let lifetime = match self.from {
            Source::Box(_) | Source::RemoteBox(..) if is_engine => ENGINE_REPORT_LIFETIME,
            Source::Box(_) | Source::RemoteBox(..) => PLAIN_REPORT_LIFETIME,
            Source::Domain(_) => DOMAIN_REPORT_LIFETIME,
        };
        now.since(self.at) >= lifetime
    }

    /// The load that the report still stands for, without what an engine of this rate prefilled
    /// meanwhile; `None` once it has expired.
    fn remaining(&self, rate: TokensPerMs, now: Micros) -> Option<Usage> {
        let prefilled = rate.tokens_in(now.since(self.at));
        (!self.is_expired(now)).then_some(Usage {
            prefill: self.usage.prefill.saturating_sub(prefilled),
            ..self.usage
        })
    }
}

impl Endpoint {
    /// The load of this box and those of its failure domain; `rate` is the endpoint's own.
    pub(super) fn usage_of_own_domain(&self, rate: TokensPerMs, now: Micros) -> Usage {
        let reports = self.others.iter();
        let local = reports.filter(|other| matches!(other.from, Source::Box(_)));
        let local = local.filter_map(|other| other.remaining(rate, now));
        local.fold(self.own, Add::add)
    }
}

impl Fleet {
    /// Replaces the load of a peer by a report of all that it runs.
    pub(super) fn on_peer_state(&mut self, state: &BoxState, own: &DomainId, now: Micros) {
        let from = if state.domain == *own {
            Source::Box(state.from.clone())
        } else {
            Source::RemoteBox(state.from.clone(), state.domain.clone())
        };
        self.forget_reports_of(&from);
        self.add_reports(&from, &state.usage, now);
    }

    /// Updates the load of a peer at some endpoints.
    pub fn on_peer_usage(&mut self, from: &BoxId, usage: &[EndpointUsage], now: Micros) {
        self.add_reports(&Source::Box(from.clone()), usage, now);
    }

    /// Applies reports, from any box, of the load of other failure domains at plain services; a report
    /// that is not newer than the known one is ignored.
    pub(super) fn on_domain_usage(&mut self, reports: &[DomainUsage], own: &DomainId, now: Micros) {
        for report in reports.iter().filter(|report| report.domain != *own) {
            let at = now.before(Duration::from_millis(report.age_ms.into()));
            let known = self.domain_usage.get(&report.domain);
            if known.is_some_and(|known| known.at >= at) {
                continue;
            }
            let from = Source::Domain(report.domain.clone());
            self.forget_reports_of(&from);
            self.add_reports(&from, &report.usage, at);
            let usage = report.usage.clone();
            self.domain_usage
                .insert(report.domain.clone(), ReportedUsage { at, usage });
        }
    }

    /// The load of other failure domains at plain services, to publish in the own one: each box
    /// gets a report from one of them each 1.2 s, all boxes of a domain together each 20 ms.
    #[must_use]
    pub fn usage_of_others(&self, now: Micros) -> Vec<DomainUsage> {
        let reports = self.domain_usage.iter();
        let fresh = reports.filter(|(_, report)| now.since(report.at) < DOMAIN_REPORT_LIFETIME);
        let reports = fresh.map(|(domain, report)| DomainUsage {
            domain: domain.clone(),
            age_ms: now.since(report.at).as_millis() as u32,
            usage: report.usage.clone(),
        });
        reports.collect()
    }

    fn forget_reports_of(&mut self, from: &Source) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.others.retain(|other| other.from != *from);
        }
    }

    fn add_reports(&mut self, from: &Source, usage: &[EndpointUsage], now: Micros) {
        for report in usage {
            let found = self.endpoints.get_mut(&report.endpoint.id);
            let Some(endpoint) = found.filter(|e| e.is_incarnation(&report.endpoint)) else {
                continue;
            };
            endpoint
                .others
                .retain(|other| other.from != *from && !other.is_expired(now));
            if matches!(from, Source::Box(_)) {
                endpoint.on_reported_prefill(report.reading, now);
            }
            endpoint.others.push(PeerUsage {
                from: from.clone(),
                at: now,
                usage: Usage {
                    running: report.running,
                    prefill: report.reading,
                    memory: report.memory,
                },
            });
            if report.reading > 0 {
                self.speeds
                    .on_peer_prompt(&endpoint.spec, report.reading, now);
            }
        }
    }

    /// The load of this box and those of its failure domain at plain services, to publish in others.
    #[must_use]
    pub fn usage_of_domain(&self, domain: &DomainId, now: Micros) -> DomainUsage {
        let mut found = Vec::new();
        for endpoint in self.endpoints.values() {
            let Usage {
                running, memory, ..
            } = endpoint.usage_of_own_domain(self.speeds.prefill(&endpoint.spec), now);
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

    /// The load of an endpoint over all boxes, as far as their reports have not expired.
    #[must_use]
    pub fn usage(&self, endpoint: &Endpoint, now: Micros) -> Usage {
        let rate = self.speeds.prefill(&endpoint.spec);
        let loads = self.domain_loads.at(&endpoint.spec, now);
        let others = endpoint.others.iter().filter(|other| match &other.from {
            Source::RemoteBox(_, domain) => !loads.replaces_boxes_of(domain),
            Source::Box(_) | Source::Domain(_) => true,
        });
        let others = others.filter_map(|other| other.remaining(rate, now));
        others.fold(endpoint.own + loads.total(), Add::add)
    }

    /// The load that this box causes at an endpoint, to publish.
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

    /// The load that this box causes at all endpoints, to publish.
    pub fn all_own_usage(&self) -> impl Iterator<Item = EndpointUsage> {
        let used = self.endpoints.values();
        used.filter(|e| e.own != Usage::default())
            .filter_map(|e| self.own_usage(&e.spec.id))
    }
}

//! The load that the boxes of other failure domains cause at engines, as one report for each domain.
//!
//! A report gives sums over all boxes of its domain, so it replaces what single boxes of that domain
//! have told this box. It never contains the load of the own domain, which this box knows from its
//! own attempts and from the messages of its domain. So each attempt counts once, also one that this
//! box started after the report was made.
//!
//! State: the last report of each other domain, with at most [`MAX_ENGINES`] engines. Alternatives:
//! all boxes report to all others (traffic grows with the square of their number), and the engines'
//! own load reports (each call has a cost, and all boxes read the same old values).

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::usage::PREFILL_TOKENS_PER_MS;
use super::{Fleet, Usage};
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{DomainId, EngineLoad, EngineLoadReport, Micros, StartTime};

/// How long the sums of a domain count, from when they were made: as long as a box takes to find
/// that the sender of the reports is lost and to take over.
const LIFETIME: Duration = Duration::from_secs(3);
/// Age of the last report from which the order of `sent_at` no longer counts. Four intervals of
/// reports have passed then, so another box, with another clock, probably sends them.
const SAME_SENDER_FOR: Duration = Duration::from_secs(1);
/// Engines in one report: with some 9 bytes each the report fits into one packet.
pub const MAX_ENGINES: usize = 128;
/// Tokens in a unit of `reading` and `memory` in reports.
const UNIT_TOKENS: u32 = 256;
/// Bits of [`EngineHash`] that come from the start time.
const START_BITS: u32 = 8;

/// Hash of an engine's incarnation: 24 bits of its id, then [`START_BITS`] of its start time, which
/// are 0 if the start time is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct EngineHash(u32);

impl EngineHash {
    fn of(spec: &EndpointSpec) -> Self {
        let id = xxh3_64_with_seed(spec.id.as_bytes(), 0) as u32;
        let start = spec.born.map_or(0, |StartTime(born)| {
            1 + xxh3_64_with_seed(&born.to_le_bytes(), 0) % ((1 << START_BITS) - 1)
        });
        Self((id << START_BITS) | start as u32)
    }

    fn id(self) -> u32 {
        self.0 >> START_BITS
    }

    /// Whether two hashes can be of the same incarnation: where one start time is unknown, the id
    /// decides.
    fn may_be(self, other: Self) -> bool {
        let start = |hash: Self| hash.0 % (1 << START_BITS);
        let is_other_start = start(self) != start(other) && start(self) != 0 && start(other) != 0;
        self.id() == other.id() && !is_other_start
    }
}

/// The last report of a domain.
#[derive(Debug)]
struct KnownReport {
    sent_at: u64,
    /// When the sums were made, by this box's clock.
    at: Micros,
    /// Loads by [`EngineHash::id`].
    engines: BTreeMap<u32, EngineLoad>,
}

impl KnownReport {
    fn is_fresh(&self, now: Micros) -> bool {
        now.since(self.at) < LIFETIME
    }

    /// Whether a report with this `sent_at` is to replace this one.
    fn is_before(&self, sent_at: u64, now: Micros) -> bool {
        let is_sender_lost = now.since(self.at) >= SAME_SENDER_FOR;
        sent_at > self.sent_at || (is_sender_lost && sent_at != self.sent_at)
    }

    /// The load at an engine, without what was prefilled since the sums were made.
    fn load(&self, engine: EngineHash, now: Micros) -> Option<Usage> {
        let load = self.engines.get(&engine.id())?;
        let is_current = EngineHash(load.engine).may_be(engine);
        let age_ms = now.since(self.at).as_secs_f64() * 1_000.0;
        let prefilled = (age_ms * PREFILL_TOKENS_PER_MS) as u32;
        is_current.then(|| Usage {
            running: load.running,
            prefill: tokens(load.reading).saturating_sub(prefilled),
            memory: tokens(load.memory),
        })
    }
}

/// The last report of each other failure domain.
#[derive(Debug, Default)]
pub(super) struct DomainLoads {
    known: BTreeMap<DomainId, KnownReport>,
}

/// What the reports that have not expired say of one engine.
#[derive(Debug)]
pub(super) struct LoadsAt<'a> {
    total: Usage,
    replaced: Vec<&'a DomainId>,
}

impl LoadsAt<'_> {
    /// The load of all domains that report.
    pub fn total(&self) -> Usage {
        self.total
    }

    /// Whether a domain's report replaces what single boxes of it have told of the engine.
    pub fn replaces_boxes_of(&self, domain: &DomainId) -> bool {
        self.replaced.contains(&domain)
    }
}

impl DomainLoads {
    /// What is known of an engine. A report with [`MAX_ENGINES`] engines may lack some, so it
    /// replaces the reports of single boxes only for those that it lists.
    pub fn at(&self, engine: &EndpointSpec, now: Micros) -> LoadsAt<'_> {
        let mut found = LoadsAt {
            total: Usage::default(),
            replaced: Vec::new(),
        };
        if self.known.is_empty() {
            return found;
        }
        let hash = EngineHash::of(engine);
        for (domain, report) in self.known.iter().filter(|(_, r)| r.is_fresh(now)) {
            let load = report.load(hash, now);
            if load.is_some() || report.engines.len() < MAX_ENGINES {
                found.replaced.push(domain);
            }
            found.total = found.total + load.unwrap_or_default();
        }
        found
    }
}

impl Fleet {
    /// Applies another domain's report; returns whether it is newer than the known one.
    pub fn on_domain_load(&mut self, report: &EngineLoadReport, now: Micros) -> bool {
        let known = &mut self.domain_loads.known;
        known.retain(|_, report| report.is_fresh(now));
        let at = now.before(Duration::from_millis(report.age_ms.into()));
        let known_before = known.get(&report.domain);
        let is_newer = known_before.is_none_or(|known| known.is_before(report.sent_at, now));
        if !is_newer || now.since(at) >= LIFETIME {
            return false;
        }
        let engines = report.engines.iter().take(MAX_ENGINES);
        let engines = engines.map(|load| (EngineHash(load.engine).id(), load.clone()));
        let report_known = KnownReport {
            sent_at: report.sent_at,
            at,
            engines: engines.collect(),
        };
        known.insert(report.domain.clone(), report_known);
        true
    }

    /// Number of other failure domains whose load on engines is known.
    #[must_use]
    pub fn domains_with_load(&self, now: Micros) -> usize {
        let reports = self.domain_loads.known.values();
        reports.filter(|report| report.is_fresh(now)).count()
    }

    /// The load of this box and those of its failure domain on engines, the engines with the most KV
    /// memory first. All are listed; [`MAX_ENGINES`] bounds only what is sent.
    #[must_use]
    pub fn engine_loads(&self, now: Micros) -> Vec<EngineLoad> {
        let mut found = Vec::new();
        for endpoint in self.endpoints.values() {
            let usage = endpoint.usage_of_own_domain(self.speeds.prefill(&endpoint.spec), now);
            if usage.memory > 0 {
                found.push(EngineLoad {
                    engine: EngineHash::of(&endpoint.spec).0,
                    running: usage.running,
                    reading: usage.prefill.div_ceil(UNIT_TOKENS),
                    memory: usage.memory.div_ceil(UNIT_TOKENS),
                });
            }
        }
        found.sort_by_key(|load| std::cmp::Reverse(load.memory));
        found
    }
}

fn tokens(units: u32) -> u32 {
    units.saturating_mul(UNIT_TOKENS)
}

//! Speeds that boxes of a failure domain report to each other.
//!
//! A box reports only what it observed itself: of the engines that it observed most recently with
//! its state, and of plain servers the answers that tell that one is slow now. An incarnation is
//! named by a hash; a report about one that this box doesn't know is ignored. So an incarnation
//! whose start time only one of two boxes knows is unknown to the other for that time.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::estimates::Published;
use super::{Observed, Speeds};
use crate::gateway::dispatch::event::EndpointSpec;
use crate::gateway::dispatch::fleet::Fleet;
use crate::schema::{AnswerTime, BoxId, EngineSpeed, Micros, SpeedUpdate};

/// Maximum number of engines in a message, and of answers.
pub(super) const MAX_REPORTED: usize = 16;
/// Interval after which the hashes of incarnations are computed again.
const INDEX_LIFETIME: Duration = Duration::from_secs(2);
/// Reported tokens per second of a token per ms.
const PREFILL_UNIT: f64 = 1_000.0;
/// Reported events per 1,000 seconds of an event per ms.
const EVENTS_UNIT: f64 = 1_000_000.0;

impl Speeds {
    /// The engines that this box observed most recently.
    fn engine_reports(&self, fleet: &Fleet, now: Micros) -> Vec<EngineSpeed> {
        let observed = self.observed.iter();
        let mut reports: Vec<_> = observed.filter_map(|(id, o)| o.own_report(id)).collect();
        reports.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
        let reports = reports.into_iter().take(MAX_REPORTED);
        let reports = reports.filter_map(|(at, id, [prefill, events])| {
            let count = |published: Option<Published>| published.map_or(0, |p| p.count);
            let speed = |published: Option<Published>, unit: f64| {
                published.map_or(0, |p| (p.speed * unit).round() as u32)
            };
            Some(EngineSpeed {
                endpoint: hash_of(&fleet.get(&id)?.spec),
                prefill: speed(prefill, PREFILL_UNIT),
                prefill_count: count(prefill),
                events: speed(events, EVENTS_UNIT),
                events_count: count(events),
                age_ms: now.since(at).as_millis() as u32,
            })
        });
        reports.collect()
    }
}

impl Observed {
    fn on_peer_engine(&mut self, peer: u32, reported: &EngineSpeed, now: Micros) {
        let at = now.before(Duration::from_millis(reported.age_ms.into()));
        let published = |speed: u32, unit, count| Published {
            speed: f64::from(speed) / unit,
            count,
            at,
        };
        let prefill = published(reported.prefill, PREFILL_UNIT, reported.prefill_count);
        let events = published(reported.events, EVENTS_UNIT, reported.events_count);
        self.prefill.on_peer(peer, prefill);
        self.events.on_peer(peer, events);
    }
}

impl Fleet {
    /// What this box observed of engines, to publish; `None` if there is nothing.
    #[must_use]
    pub fn engine_speeds(&self, from: &BoxId, now: Micros) -> Option<SpeedUpdate> {
        let engines = self.speeds.engine_reports(self, now);
        (!engines.is_empty()).then(|| SpeedUpdate {
            from: from.clone(),
            engines,
            answers: Vec::new(),
        })
    }

    /// Returns the answers of plain servers to publish, and clears them; `None` if there are none.
    pub fn take_answer_times(&mut self, from: &BoxId) -> Option<SpeedUpdate> {
        let times = std::mem::take(&mut self.speeds.unpublished);
        let answers: Vec<AnswerTime> = times
            .into_iter()
            .filter_map(|(id, micros)| {
                Some(AnswerTime {
                    endpoint: hash_of(&self.get(&id)?.spec),
                    micros,
                })
            })
            .collect();
        (!answers.is_empty()).then(|| SpeedUpdate {
            from: from.clone(),
            engines: Vec::new(),
            answers,
        })
    }

    /// Applies what a peer of the own failure domain observed.
    pub fn on_peer_speeds(&mut self, update: &SpeedUpdate, now: Micros) {
        self.index_incarnations(now);
        let peer = xxh3_64(update.from.as_bytes()) as u32;
        for reported in update.engines.iter().take(MAX_REPORTED) {
            if let Some(observed) = self.observed_by_hash(reported.endpoint) {
                observed.on_peer_engine(peer, reported, now);
            }
        }
        for reported in update.answers.iter().take(MAX_REPORTED) {
            if let Some(observed) = self.observed_by_hash(reported.endpoint) {
                observed.answers.on_peer(reported.micros, now);
            }
        }
    }

    fn observed_by_hash(&mut self, hash: u32) -> Option<&mut Observed> {
        let endpoint = self.endpoints.get(self.speeds.index.get(&hash)?)?;
        Some(self.speeds.observed_mut(&endpoint.spec))
    }

    fn index_incarnations(&mut self, now: Micros) {
        let indexed = self.speeds.indexed;
        if indexed.is_some_and(|at| now.since(at) < INDEX_LIFETIME) {
            return;
        }
        let specs = self.endpoints.values().map(|e| &e.spec);
        self.speeds.index = specs.map(|spec| (hash_of(spec), spec.id.clone())).collect();
        self.speeds.indexed = Some(now);
    }
}

fn hash_of(spec: &EndpointSpec) -> u32 {
    xxh3_64(spec.incarnation().to_string().as_bytes()) as u32
}

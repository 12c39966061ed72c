//! Speeds of endpoints, learned from the attempts of this box and of those of its failure domain.
//!
//! Of an engine this is its prefill rate and its time per event of a stream, and of a plain server
//! the time of its answers. Engines of a service whose speeds don't clearly differ count as equal
//! (`comparison`), and then at the usual rate [`PREFILL_TOKENS_PER_MS`] if the median is close to it,
//! so that noise changes no choice. A number of tokens per event isn't known, but it is the same for
//! all engines of a service, so times per event are compared with their median only.
//!
//! Inputs: first events, events and answers of own attempts, prompts of others (`watch`), and what
//! peers observed. State: a few observations for each incarnation of an endpoint that the fleet
//! has; a new incarnation starts without any. Alternatives: speeds that engines report (none does),
//! and the number of requests alone (a slow engine with few streams looks free).

mod answers;
mod comparison;
mod estimates;
mod reports;
mod watch;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use super::Fleet;
use super::usage::PREFILL_TOKENS_PER_MS;
use crate::gateway::dispatch::event::EndpointSpec;
use crate::schema::{EndpointId, Micros, ServiceId};
use answers::{AnswerLog, ServiceTimes};
use comparison::{Comparison, are_equal};
use estimates::{Estimate, Published};
use reports::MAX_REPORTED;
use watch::PromptLog;

pub use watch::AttemptWatch;

/// Shortest prompt whose first event tells a rate; of shorter ones the network is a large part.
const MIN_PROMPT: u32 = 1_000;
/// Factor by which an engine that runs other requests prefills slower: a chunk of a prompt takes
/// 25 ms, and the tokens of the others about 5 ms more.
const INTERLEAVED: f64 = 1.2;
/// Requests at an engine up to which the time per event depends little on their number.
const MAX_RUNNING: u32 = 4;
/// Interval between two comparisons of the endpoints, for each [`ENDPOINTS_PER_REFRESH`].
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// With more endpoints they are compared less often, so that the work a second stays the same.
const ENDPOINTS_PER_REFRESH: usize = 1_000;

/// Prompt tokens that an engine prefills in a millisecond.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct TokensPerMs(pub f64);

impl TokensPerMs {
    /// The rate of engines of which nothing is known.
    pub const USUAL: Self = Self(PREFILL_TOKENS_PER_MS);

    /// Milliseconds to prefill a number of tokens.
    #[must_use]
    pub fn millis(self, tokens: u32) -> f64 {
        f64::from(tokens) / self.0
    }

    /// Tokens prefilled in a time.
    #[must_use]
    pub fn tokens_in(self, time: Duration) -> u32 {
        (time.as_secs_f64() * 1_000.0 * self.0) as u32
    }
}

impl fmt::Display for TokensPerMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} tokens/ms", self.0)
    }
}

/// What was observed of an endpoint.
#[derive(Clone, Debug)]
struct Observed {
    service: ServiceId,
    prompts: PromptLog,
    prefill: Estimate,
    /// Events per ms.
    events: Estimate,
    answers: AnswerLog,
}

impl Observed {
    fn new(service: ServiceId) -> Self {
        Self {
            service,
            prompts: PromptLog::default(),
            prefill: Estimate::default(),
            events: Estimate::default(),
            answers: AnswerLog::default(),
        }
    }

    /// The own observations as published, with the time of the last one.
    fn own_report(&self, id: &EndpointId) -> Option<(Micros, EndpointId, [Option<Published>; 2])> {
        let own = [self.prefill.own(), self.events.own()];
        let at = own.iter().flatten().map(|o| o.at).max()?;
        Some((at, id.clone(), own))
    }
}

/// The endpoints of a service compared with each other.
#[derive(Clone, Debug, Default)]
struct Service {
    prefill: Comparison,
    events: Comparison,
    answers: Option<ServiceTimes>,
}

/// What is known of the endpoints of a service.
#[derive(Default)]
struct KnownSpeeds {
    prefill: Vec<(EndpointId, f64)>,
    events: Vec<(EndpointId, f64)>,
    answers: Vec<u32>,
}

impl KnownSpeeds {
    fn compare(self, before: Option<&Service>) -> Service {
        let was_uneven =
            |of: fn(&Service) -> &Comparison| before.is_some_and(|s| of(s).is_uneven());
        Service {
            prefill: Comparison::new(self.prefill, was_uneven(|s| &s.prefill)),
            events: Comparison::new(self.events, was_uneven(|s| &s.events)),
            answers: ServiceTimes::new(self.answers),
        }
    }
}

/// The engines of a service turned out to be of different speeds, or to be even again.
#[derive(Clone, Debug, PartialEq)]
pub struct EvennessChange {
    /// The service.
    pub service: ServiceId,
    /// Number of engines whose prefill rate differs from the median; 0 if they are even.
    pub differing: usize,
    /// Number of engines whose prefill rate is known.
    pub known: usize,
    /// The prefill rate of all other engines.
    pub median: TokensPerMs,
}

/// The learned speeds of all endpoints.
#[derive(Debug, Default)]
pub struct Speeds {
    observed: BTreeMap<EndpointId, Observed>,
    services: BTreeMap<ServiceId, Service>,
    refreshed: Option<Micros>,
    /// Endpoints by the hash of their incarnation, and when that was computed.
    index: HashMap<u32, EndpointId>,
    indexed: Option<Micros>,
    /// Answers to publish, by server.
    unpublished: BTreeMap<EndpointId, u32>,
}

impl Speeds {
    /// The prefill rate of an engine: its own if it clearly differs from those of its service, else
    /// their median, or the usual one if that is close to the median or too little is known.
    #[must_use]
    pub fn prefill(&self, engine: &EndpointSpec) -> TokensPerMs {
        let service = self.services.get(&engine.service);
        let own = service.and_then(|service| service.prefill.own(&engine.id));
        own.map_or_else(|| self.median_prefill(&engine.service), TokensPerMs)
    }

    /// The prefill rate of an engine of which nothing is known.
    #[must_use]
    pub fn median_prefill(&self, service: &ServiceId) -> TokensPerMs {
        let median = self.services.get(service).and_then(|s| s.prefill.median);
        let median = median.filter(|median| !are_equal(*median, PREFILL_TOKENS_PER_MS));
        median.map_or(TokensPerMs::USUAL, TokensPerMs)
    }

    /// The time per token of an engine relative to the median of its service, 1 if it is equal or
    /// unknown.
    #[must_use]
    pub fn decode_factor(&self, engine: &EndpointSpec) -> f64 {
        let service = self.services.get(&engine.service);
        service.map_or(1.0, |service| 1.0 / service.events.factor(&engine.id))
    }

    /// The time of a plain server's answers now, relative to the median of its service.
    #[must_use]
    pub fn answer_factor(&self, server: &EndpointSpec, now: Micros) -> f64 {
        self.answer_times(server)
            .map_or(1.0, |(log, service)| log.factor(service, now))
    }

    /// How many ms longer than usual an answer of a plain server takes now; negative if the server
    /// is faster.
    #[must_use]
    pub fn answer_delay_ms(&self, server: &EndpointSpec, now: Micros) -> f64 {
        self.answer_times(server).map_or(0.0, |(log, service)| {
            (log.factor(service, now) - 1.0) * service.median / 1_000.0
        })
    }

    fn answer_times(&self, server: &EndpointSpec) -> Option<(&AnswerLog, ServiceTimes)> {
        let service = self.services.get(&server.service)?.answers?;
        Some((&self.observed.get(&server.id)?.answers, service))
    }

    /// Number of engines whose prefill rate differs from that of their service.
    #[must_use]
    pub fn differing_engines(&self) -> usize {
        let services = self.services.values();
        services.map(|service| service.prefill.differing()).sum()
    }

    fn observed_mut(&mut self, spec: &EndpointSpec) -> &mut Observed {
        self.observed
            .entry(spec.id.clone())
            .or_insert_with(|| Observed::new(spec.service.clone()))
    }

    /// Handles a prompt that another box reported at an engine.
    pub fn on_peer_prompt(&mut self, engine: &EndpointSpec, tokens: u32, now: Micros) {
        self.observed_mut(engine).prompts.add(tokens, now);
    }

    /// Handles the start of an attempt that prefills a prompt; `is_idle` says whether no other
    /// prompt is known to be queued at the engine.
    pub fn on_attempt(
        &mut self,
        engine: &EndpointSpec,
        tokens: u32,
        is_idle: bool,
        now: Micros,
    ) -> AttemptWatch {
        let prompts = &mut self.observed_mut(engine).prompts;
        let watch = AttemptWatch::start(*prompts, is_idle, now);
        prompts.add(tokens, now);
        watch
    }

    /// Observes the first event of an attempt, `took` after its start. `others` is the number of
    /// other requests that run there.
    pub fn observe_first_event(
        &mut self,
        engine: &EndpointSpec,
        watch: &mut AttemptWatch,
        tokens: u32,
        took: Duration,
        others: u32,
        now: Micros,
    ) {
        let observed = self.observed_mut(engine);
        if watch.on_first_event(&mut observed.prompts, now) && tokens >= MIN_PROMPT {
            let rate = f64::from(tokens) / (took.as_secs_f64() * 1_000.0);
            let interleaved = if others > 0 { INTERLEAVED } else { 1.0 };
            observed.prefill.observe(rate * interleaved, now);
        }
    }

    /// Observes an event of a stream after its first one; `running` is the number of requests at
    /// the engine.
    pub fn observe_events(
        &mut self,
        engine: &EndpointSpec,
        watch: &mut AttemptWatch,
        event: u64,
        running: u32,
        now: Micros,
    ) {
        if watch.is_done() {
            return;
        }
        let observed = self.observed_mut(engine);
        let time = watch.on_event(observed.prompts, event, now);
        if let Some(time) = time.filter(|_| running <= MAX_RUNNING) {
            observed.events.observe(0.001 / time.as_secs_f64(), now);
            watch.on_events_observed();
        }
    }

    /// Observes an answer of a plain server. It is published if it is slow, or ends the time for
    /// which the server counted as slow.
    pub fn observe_answer(&mut self, server: &EndpointSpec, took: Duration, now: Micros) {
        let micros = u32::try_from(took.as_micros()).unwrap_or(u32::MAX);
        let service = self.services.get(&server.service).and_then(|s| s.answers);
        let log = &mut self.observed_mut(server).answers;
        let was_slow = service.is_some_and(|s| log.slow_factor(s, now).is_some());
        log.observe(micros, now);
        let is_slow = service.is_some_and(|service| service.is_slow(micros));
        if is_slow || was_slow {
            self.publish_answer(server, micros);
        }
    }

    /// Observes a call that was abandoned as slow, which counts only as the present speed.
    pub fn observe_abandoned_call(&mut self, server: &EndpointSpec, after: Duration, now: Micros) {
        let micros = u32::try_from(after.as_micros()).unwrap_or(u32::MAX);
        let service = self.services.get(&server.service).and_then(|s| s.answers);
        if service.is_some_and(|service| service.is_slow(micros)) {
            self.observed_mut(server).answers.on_peer(micros, now);
            self.publish_answer(server, micros);
        }
    }

    fn publish_answer(&mut self, server: &EndpointSpec, micros: u32) {
        if self.unpublished.len() < MAX_REPORTED {
            self.unpublished.insert(server.id.clone(), micros);
        }
    }

    /// Forgets an incarnation of an endpoint that has ended.
    pub(super) fn forget(&mut self, id: &EndpointId) {
        self.observed.remove(id);
        self.unpublished.remove(id);
        self.indexed = None;
        for service in self.services.values_mut() {
            service.prefill.forget(id);
            service.events.forget(id);
        }
    }

    /// Forgets endpoints that are gone.
    pub(super) fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        let ids = self.observed.keys().filter(|id| !is_known(id));
        for id in ids.cloned().collect::<Vec<_>>() {
            self.forget(&id);
        }
    }

    /// Compares the endpoints of each service; returns the services whose engines are now even or no
    /// longer so.
    fn compare(&mut self, now: Micros) -> Vec<EvennessChange> {
        for observed in self.observed.values_mut() {
            observed.prefill.forget_expired(now);
            observed.events.forget_expired(now);
            observed.answers.forget_expired(now);
        }
        let mut known: BTreeMap<&ServiceId, KnownSpeeds> = BTreeMap::new();
        for (id, observed) in &self.observed {
            let of = known.entry(&observed.service).or_default();
            let with_id = |speed| (id.clone(), speed);
            of.prefill.extend(observed.prefill.speed().map(with_id));
            of.events.extend(observed.events.speed().map(with_id));
            of.answers.extend(observed.answers.own_times());
        }
        let known = known.into_iter();
        let compared: BTreeMap<_, _> = known
            .map(|(name, known)| (name.clone(), known.compare(self.services.get(name))))
            .collect();
        let before = std::mem::replace(&mut self.services, compared);
        for observed in self.observed.values_mut() {
            let service = self.services.get(&observed.service);
            observed.answers.compare(service.and_then(|s| s.answers));
        }
        let services = self.services.iter();
        let changed = services.filter(|(name, service)| {
            let before = before.get(*name);
            before.is_some_and(|b| b.prefill.is_uneven()) != service.prefill.is_uneven()
        });
        changed
            .map(|(name, service)| EvennessChange {
                service: name.clone(),
                differing: service.prefill.differing(),
                known: service.prefill.known,
                median: self.median_prefill(name),
            })
            .collect()
    }
}

impl Fleet {
    /// Compares the speeds of endpoints, if that is due; returns the services whose engines are now
    /// even or no longer so.
    pub fn refresh_speeds(&mut self, now: Micros) -> Vec<EvennessChange> {
        let speeds = &mut self.speeds;
        let groups = u32::try_from(speeds.observed.len() / ENDPOINTS_PER_REFRESH);
        let interval = REFRESH_INTERVAL * groups.unwrap_or(u32::MAX).saturating_add(1);
        if speeds.refreshed.is_some_and(|at| now.since(at) < interval) {
            return Vec::new();
        }
        speeds.refreshed = Some(now);
        speeds.compare(now)
    }
}

//! What a node knows of the endpoints: load, speed, whether they are leaving, and whether they
//! have been failing.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3Builder;

use crate::backoff::doubled;
use crate::keyed::bundle::Bundle;
use crate::keyed::node::gaps::Gaps;
use crate::keyed::node::prefixes::Prefixes;
use crate::keyed::node::suspicion::{LossRate, UNKNOWN_FIRST, UNKNOWN_P99};
use crate::schema::{DomainId, EndpointId, EndpointKind, EndpointSpec, LoadReport, Micros};

/// The quantile that counts as the usual longest time.
const P99: f64 = 0.99;
/// Failures in a row after which an endpoint is left alone.
const OUTLIER_FAILURES: u32 = 3;
/// How long it is left alone the first time.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Doublings of that time.
const REST_DOUBLINGS: u32 = 5;
/// How long an endpoint that had no room is left alone.
const BUSY_REST: Duration = Duration::from_millis(40);
/// How much the concurrency limit shrinks when an endpoint is overloaded.
const SHRINK: f64 = 0.85;
/// The least time between two cuts of the limit.
const SHRINK_SPACING: Duration = Duration::from_millis(200);
/// How far the limit may grow beyond an endpoint's slots.
const GROWTH: f64 = 1.25;
/// Gaps this many times longer than the best median count as overload.
const OVERLOAD_GAP: u32 = 3;
/// How fast the prefill rate follows new measurements.
const PREFILL_RATE_WEIGHT: f64 = 0.2;
/// Prompt bytes that an engine is taken to read in a second before it was measured.
const UNKNOWN_PREFILL_RATE: f64 = 20_000.0;
/// How long an own sending is reckoned with on top of a load report.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// What is known of one endpoint.
#[derive(Debug)]
pub struct EndpointState {
    /// Its address.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it checks the epoch of orders.
    pub checks_orders: bool,
    /// How many requests it serves at once.
    pub slots: u32,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// When that came.
    pub reported: Micros,
    /// This box's requests that it runs now.
    pub mine: u32,
    /// Whether it is leaving, by its own word, the platform's list or a peer.
    pub leaving: bool,
    /// Times between tokens.
    pub gaps: Gaps,
    /// Times to the first token.
    pub first: Gaps,
    /// Prompt bytes that it reads in a second.
    pub prefill_rate: f64,
    limit: f64,
    shrunk: Micros,
    recent: Vec<Micros>,
    failures: u32,
    rest_until: Micros,
    probing: bool,
}

impl EndpointState {
    fn new(spec: &EndpointSpec) -> Self {
        let slots = match &spec.serves {
            EndpointKind::Engine(engine) => engine.slots,
            EndpointKind::Service(service) => service.slots,
        };
        Self {
            address: spec.address.clone(),
            domain: spec.domain.clone(),
            checks_orders: spec.checks_orders,
            slots,
            report: None,
            reported: Micros::ZERO,
            mine: 0,
            leaving: false,
            gaps: Gaps::default(),
            first: Gaps::default(),
            prefill_rate: UNKNOWN_PREFILL_RATE,
            limit: f64::from(slots),
            shrunk: Micros::ZERO,
            recent: Vec::new(),
            failures: 0,
            rest_until: Micros::ZERO,
            probing: false,
        }
    }

    /// The load: what was reported, and what this box has sent that the report can't show yet.
    #[must_use]
    pub fn load(&self, now: Micros) -> f64 {
        let unseen = self
            .recent
            .iter()
            .filter(|at| now.since(**at) < REPORT_LAG)
            .count();
        let reported = self.report.as_ref().map_or(0, |r| r.running + r.queued);
        f64::from(reported + unseen as u32).max(f64::from(self.mine))
    }

    /// Whether new work may be sent now.
    #[must_use]
    pub fn takes_work(&self, now: Micros) -> bool {
        !self.leaving && !self.probing && now >= self.rest_until && self.load(now) < self.limit
    }

    /// How long it takes to read prompt bytes that aren't cached.
    #[must_use]
    pub fn prefill(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.prefill_rate)
    }

    fn on_start(&mut self, now: Micros) {
        self.mine += 1;
        self.recent.retain(|at| now.since(*at) < REPORT_LAG);
        self.recent.push(now);
        // After a rest, one request goes first; the others wait for what comes of it.
        self.probing = self.failures >= OUTLIER_FAILURES;
    }

    fn on_success(&mut self) {
        self.failures = 0;
        self.probing = false;
        let most = f64::from(self.slots) * GROWTH;
        self.limit = (self.limit + 1.0 / self.limit).min(most.max(1.0));
    }

    fn on_failure(&mut self, now: Micros) {
        self.failures += 1;
        self.probing = false;
        if self.failures >= OUTLIER_FAILURES {
            let beyond = self.failures - OUTLIER_FAILURES;
            self.rest_until = now.after(doubled(FIRST_REST, beyond, REST_DOUBLINGS));
        }
    }

    fn shrink(&mut self, now: Micros) {
        if now.since(self.shrunk) >= SHRINK_SPACING {
            self.shrunk = now;
            self.limit = (self.limit * SHRINK).max(1.0);
        }
    }

    /// The adaptive concurrency limit.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }
}

/// All endpoints of the bundle in force.
#[derive(Debug, Default)]
pub struct Endpoints {
    table: HashMap<EndpointId, EndpointState, Xxh3Builder>,
    /// Which endpoint has which prompt prefix cached.
    pub prefixes: Prefixes,
    /// How likely a token gap is a loss.
    pub losses: LossRate,
    all_gaps: Gaps,
    all_first: Gaps,
}

impl Endpoints {
    /// Takes over the endpoints of a bundle; what is known of those that stay is kept.
    pub fn adopt(&mut self, bundle: &Bundle) {
        self.table
            .retain(|id, state| bundle.endpoint(id).is_some() || state.mine > 0);
        for spec in bundle.endpoints() {
            match self.table.get_mut(&spec.id) {
                Some(state) if state.address == spec.address => {
                    let fresh = EndpointState::new(spec);
                    state.domain = fresh.domain;
                    state.checks_orders = fresh.checks_orders;
                    state.slots = fresh.slots;
                }
                _ => {
                    self.table.insert(spec.id.clone(), EndpointState::new(spec));
                }
            }
        }
    }

    /// Looks up an endpoint.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.table.get(id)
    }

    /// Looks up an endpoint to change it.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.table.get_mut(id)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.table.iter()
    }

    /// The usual longest time between two tokens of an endpoint; of one that is not known well
    /// yet, that of all endpoints.
    #[must_use]
    pub fn p99(&self, id: &EndpointId) -> Duration {
        let own = self.table.get(id).and_then(|e| e.gaps.quantile(P99));
        own.or_else(|| self.all_gaps.quantile(P99))
            .unwrap_or(UNKNOWN_P99)
    }

    /// The usual longest time to the first token of an endpoint; of one that is not known well
    /// yet, that of all endpoints.
    #[must_use]
    pub fn first_p99(&self, id: &EndpointId) -> Duration {
        let own = self.table.get(id).and_then(|e| e.first.quantile(P99));
        own.or_else(|| self.all_first.quantile(P99))
            .unwrap_or(UNKNOWN_FIRST)
    }

    /// Notes that work was sent.
    pub fn on_start(&mut self, id: &EndpointId, now: Micros) {
        if let Some(state) = self.table.get_mut(id) {
            state.on_start(now);
        }
    }

    /// Notes that work on an endpoint is over, however it ended.
    pub fn on_end(&mut self, id: &EndpointId) {
        if let Some(state) = self.table.get_mut(id) {
            state.mine = state.mine.saturating_sub(1);
        }
    }

    /// Notes that work went well.
    pub fn on_success(&mut self, id: &EndpointId) {
        if let Some(state) = self.table.get_mut(id) {
            state.on_success();
        }
    }

    /// Notes that work failed through the endpoint's fault.
    pub fn on_failure(&mut self, id: &EndpointId, now: Micros) {
        if let Some(state) = self.table.get_mut(id) {
            state.on_failure(now);
        }
    }

    /// Notes that an endpoint had no room.
    pub fn on_busy(&mut self, id: &EndpointId, now: Micros) {
        if let Some(state) = self.table.get_mut(id) {
            state.shrink(now);
            state.rest_until = state.rest_until.max(now.after(BUSY_REST));
        }
    }

    /// Notes that a run on an endpoint is suspected; nothing more is sent there for a moment.
    pub fn on_suspicion(&mut self, id: &EndpointId, now: Micros) {
        if let Some(state) = self.table.get_mut(id) {
            state.rest_until = state.rest_until.max(now.after(FIRST_REST));
        }
    }

    /// Notes the time between two tokens.
    pub fn on_gap(&mut self, id: &EndpointId, gap: Duration, now: Micros) {
        self.losses.on_gap();
        self.all_gaps.record(gap);
        let Some(state) = self.table.get_mut(id) else {
            return;
        };
        state.gaps.record(gap);
        let usual = state.gaps.quantile(0.5).unwrap_or(UNKNOWN_P99);
        if gap > usual * OVERLOAD_GAP && state.load(now) > f64::from(state.slots) {
            state.shrink(now);
        }
    }

    /// Notes the time to the first token, and the prompt bytes that were read for it.
    pub fn on_first(&mut self, id: &EndpointId, took: Duration, bytes: usize) {
        let Some(state) = self.table.get_mut(id) else {
            return;
        };
        state.first.record(took);
        self.all_first.record(took);
        if bytes > 0 && !took.is_zero() {
            let rate = bytes as f64 / took.as_secs_f64();
            state.prefill_rate += PREFILL_RATE_WEIGHT * (rate - state.prefill_rate);
        }
    }

    /// Takes in a load report, which also is the endpoint's own word on leaving.
    pub fn on_report(&mut self, report: &LoadReport, now: Micros) {
        if let Some(state) = self.table.get_mut(&report.endpoint) {
            state.leaving = report.leaving;
            state.report = Some(report.clone());
            state.reported = now;
        }
    }

    /// Notes that an endpoint is leaving.
    pub fn on_leaving(&mut self, id: &EndpointId) -> bool {
        match self.table.get_mut(id) {
            Some(state) if !state.leaving => {
                state.leaving = true;
                true
            }
            _ => false,
        }
    }
}

//! Which endpoint a request goes to, and which one keeps a copy of its memory.
//!
//! Reading prompts is what engines have least of, so the cost of an engine is the time that the
//! prompts before this one still take, plus what runs beside it slows it down. Boxes choose
//! without seeing each other's latest choices, so each request has an order of its own among equals.

use std::time::Duration;

use crate::gateway::dispatch::event::Tokens;
use crate::gateway::dispatch::fleet::{Endpoint, Fleet};
use crate::gateway::dispatch::table::EngineSpec;
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId, Micros, ServiceId};

/// Tokens of a prompt that an engine reads in a millisecond, as long as nothing better is known.
pub(super) const READ_PER_MS: f64 = 5.0;
/// What one request that runs beside it costs a stream, in milliseconds.
const RUNNING_COST: f64 = 30.0;
/// What an engine of another failure domain costs, in milliseconds.
const OTHER_DOMAIN_COST: f64 = 300.0;
/// What a plain service of another failure domain costs, in milliseconds.
const OTHER_DOMAIN_PLAIN_COST: f64 = 40.0;
/// What an endpoint without a free slot costs, in milliseconds.
const FULL_COST: f64 = 2_000.0;
/// What an endpoint costs that fails all its requests, in milliseconds.
const FAILING_COST: f64 = 1_500.0;
/// What an endpoint costs that may have been lost with others of its domain, in milliseconds.
const SUSPECTED_COST: f64 = 3_000.0;
/// What a copy in the same failure domain as the run costs, in milliseconds.
const SAME_DOMAIN_COST: f64 = 3_000.0;
/// What an endpoint costs that failed a short while ago, in milliseconds.
const AVOIDED_COST: f64 = 20_000.0;
/// What an engine without free memory costs, in milliseconds.
const NO_MEMORY_COST: f64 = 4_000.0;
/// By how much the own order of a request sets equals apart, in milliseconds.
const SPREAD: f64 = 100.0;
/// What a request that runs at a plain service costs the next one, in milliseconds.
const PLAIN_RUNNING_COST: f64 = 10.0;

/// Who places a request.
#[derive(Clone, Debug)]
pub struct Placer {
    /// The box's failure domain.
    pub domain: DomainId,
}

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// What is known of its engines, if it has them.
    pub engine: Option<EngineSpec>,
    /// Tokens of KV memory that it will take.
    pub memory: Tokens,
    /// Endpoints that it was sent to before.
    pub tried: &'a [EndpointId],
    /// What sets equals apart: the same for each sending of a request at any box.
    pub key: u64,
}

impl Placer {
    /// Chooses the endpoint of least cost.
    #[must_use]
    pub fn choose<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let costs = fleet
            .of_service(demand.service)
            .filter(|e| e.takes_work() && !demand.tried.contains(&e.spec.id))
            .filter(|e| !fleet.is_unreachable(e, now))
            .map(|e| (self.cost(fleet, e, demand, now), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, endpoint)| endpoint)
    }

    /// Chooses the endpoint that keeps a copy: one of another failure domain if there is one.
    #[must_use]
    pub fn choose_mirror<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        first: &Endpoint,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let costs = fleet
            .of_service(demand.service)
            .filter(|e| {
                e.takes_work()
                    && !e.is_avoided(now)
                    && !fleet.is_suspected(e, now)
                    && !fleet.is_unreachable(e, now)
                    && e.spec.id != first.spec.id
            })
            .map(|e| (self.mirror_cost(fleet, e, demand, first, now), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .filter(|(cost, _)| *cost < AVOIDED_COST)
            .map(|(_, endpoint)| endpoint)
    }

    /// Chooses the endpoint that another copy of a run goes to, among those that stand well.
    #[must_use]
    pub fn choose_snapshot_host<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        engine: &Endpoint,
        stands: impl Fn(&Endpoint) -> bool,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let others = fleet
            .of_service(demand.service)
            .filter(|e| e.spec.id != engine.spec.id && stands(e));
        let costs = others.map(|e| (self.cost(fleet, e, demand, now), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .filter(|(cost, _)| *cost < NO_MEMORY_COST)
            .map(|(_, endpoint)| endpoint)
    }

    fn mirror_cost(
        &self,
        fleet: &Fleet,
        endpoint: &Endpoint,
        demand: Demand<'_>,
        first: &Endpoint,
        now: Micros,
    ) -> f64 {
        let same = endpoint.spec.domain == first.spec.domain;
        let with_first = if same { SAME_DOMAIN_COST } else { 0.0 };
        let tried = demand.tried.contains(&endpoint.spec.id);
        let again = if tried { AVOIDED_COST } else { 0.0 };
        self.cost(fleet, endpoint, demand, now) + with_first + again
    }

    fn cost(&self, fleet: &Fleet, endpoint: &Endpoint, demand: Demand<'_>, now: Micros) -> f64 {
        let usage = fleet.usage(endpoint, now);
        let work = match demand.engine {
            Some(engine) => {
                let free = engine.kv_tokens.saturating_sub(usage.memory);
                let memory = if free < demand.memory.0 {
                    NO_MEMORY_COST
                } else {
                    0.0
                };
                f64::from(usage.prefill) / READ_PER_MS
                    + f64::from(usage.running) * RUNNING_COST
                    + memory
            }
            None => f64::from(usage.running) * PLAIN_RUNNING_COST,
        };
        let is_other = endpoint.spec.domain != self.domain;
        let distance = match (is_other, demand.engine) {
            (false, _) => 0.0,
            (true, Some(_)) => OTHER_DOMAIN_COST,
            (true, None) => OTHER_DOMAIN_PLAIN_COST,
        };
        work + distance
            + standing_cost(fleet, endpoint, usage.running, now)
            + spread(demand.key, &endpoint.spec.id)
    }

    /// The endpoints where a request with this key was most likely sent before: callers come back
    /// to a box of the same failure domain as a rule, and that sent it to an engine of its own.
    #[must_use]
    pub fn likely<'a>(&self, fleet: &'a Fleet, service: &ServiceId, key: u64) -> Vec<&'a Endpoint> {
        let mut found: Vec<&Endpoint> = fleet.of_service(service).filter(|e| e.listed).collect();
        found.sort_by_key(|e| std::cmp::Reverse(rendezvous::score(&e.spec.id, key)));
        let (near, far): (Vec<_>, Vec<_>) = found
            .into_iter()
            .partition(|e| e.spec.domain == self.domain);
        let near = near.into_iter().take(MOST_ASKED_NEAR);
        near.chain(far).take(MOST_ASKED).collect()
    }
}

/// What an endpoint costs whatever the request.
fn standing_cost(fleet: &Fleet, endpoint: &Endpoint, running: u32, now: Micros) -> f64 {
    let spec = &endpoint.spec;
    let mut cost = endpoint.failing * FAILING_COST;
    if running >= spec.slots {
        cost += FULL_COST;
    }
    if endpoint.is_avoided(now) {
        cost += AVOIDED_COST;
    } else if fleet.is_suspected(endpoint, now) {
        cost += SUSPECTED_COST;
    }
    cost
}

/// A part between 0 and [`SPREAD`] that each key has of its own for each endpoint.
fn spread(key: u64, endpoint: &EndpointId) -> f64 {
    let drawn = rendezvous::score(endpoint, key);
    (1.0 - drawn as f64 / u64::MAX as f64) * SPREAD
}

/// How long to wait for a connection before another endpoint is better.
pub const ATTEMPT_CONNECT_LIMIT: Duration = Duration::from_millis(120);
/// How many endpoints are asked for a prompt.
const MOST_ASKED: usize = 24;
/// How many of them are of the own failure domain, if that has so many.
const MOST_ASKED_NEAR: usize = 18;

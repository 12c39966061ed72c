//! Placement: which endpoint an attempt is sent to, and which endpoint holds a replica of its KV
//! memory.
//!
//! An attempt goes to the endpoint of least cost among the endpoints of the service that take work,
//! want no rest from this box, were not tried before, can be reached, and are allowed by a roll-out
//! and by their rate limits. The cost of an engine is the time to prefill the prompts queued there, because prefill is the
//! scarcest resource of an engine, plus a cost for each running request, both at the engine's learned speed
//! ([`crate::gateway::dispatch::fleet::speeds`]). The cost of an endpoint of
//! a plain service is a cost for each running request, and what its answers take longer than usual. Distance, missing capacity and recent
//! failures of the endpoint add to both. The cost table is in [`costs`].
//!
//! Placement uses the fleet as this box knows it now. Reports of other boxes in the failure domain
//! are up to 10 ms old. The load of another domain is some 250 ms old ([`super::load_reports`]), so
//! of the engines there only a sample is compared ([`sample`]). This box assumes that
//! engines prefill the reported prompts in the meantime. Placement does without full reports to all
//! boxes, a separate set of engines for each box, and load reports by the engines.

pub mod costs;
pub mod sample;

use std::time::Duration;

use crate::gateway::dispatch::admission::room::Room;
use crate::gateway::dispatch::event::Tokens;
use crate::gateway::dispatch::fleet::health::FailureShares;
use crate::gateway::dispatch::fleet::{Endpoint, Fleet, Usage};
use crate::gateway::dispatch::rollout::VersionRules;
use crate::gateway::dispatch::table::EngineSpec;
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId, EndpointIncarnation, Micros, ServiceId};

/// Maximum time to connect, after which the attempt moves to another endpoint. The slowest working
/// connections at the users' sites take about 3 ms.
pub const ATTEMPT_CONNECT_LIMIT: Duration = Duration::from_millis(120);
/// Maximum number of endpoints in a prompt search: enough that one of them usually keeps the
/// prompt, few enough for a box on a slow link.
const MAX_PROMPT_CANDIDATES: usize = 24;
/// Maximum number of endpoints of the own failure domain in a prompt search. In a fleet with
/// faults, searches with up to 18 local endpoints found 513,000 kept tokens; searches of the 24
/// endpoints with the highest scores, whatever their domain, found 378,000.
const MAX_LOCAL_PROMPT_CANDIDATES: usize = 18;

/// Selects endpoints for the requests of one box.
#[derive(Clone, Debug)]
pub struct Placer {
    /// Failure domain of this box; endpoints of other domains cost more.
    pub domain: DomainId,
}

/// Which endpoints are considered, by what is known of their processes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trust {
    /// Those that are neither suspected nor avoided.
    Sound,
    /// All.
    Any,
}

/// The properties of a request that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Only endpoints of this service are considered.
    pub service: &'a ServiceId,
    /// Properties of the service's engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Tokens of KV memory that the request takes at an engine.
    pub memory: Tokens,
    /// Endpoints of earlier attempts, which are excluded.
    pub tried: &'a [EndpointIncarnation],
    /// Key of the tie-break between endpoints of similar cost. All attempts of a request have the
    /// same key at all boxes.
    pub key: u64,
    /// Whether the request should run at an endpoint that runs nothing else.
    pub alone: bool,
    /// Whether the request had an attempt before.
    pub is_repeat: bool,
    /// Which endpoints are considered, by what is known of their processes.
    pub trust: Trust,
    /// Versions of endpoints at which attempts may be placed.
    pub rules: VersionRules<'a>,
}

impl Demand<'_> {
    /// Whether an earlier attempt was made at this incarnation of an endpoint.
    fn was_tried(&self, endpoint: &Endpoint) -> bool {
        self.tried
            .iter()
            .any(|tried| endpoint.is_incarnation(tried))
    }
}

impl Placer {
    /// Selects the endpoint of least cost among those whose rate limits let this box send a
    /// request.
    #[must_use]
    pub fn choose<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        self.choose_among(fleet, demand, now, |e| fleet.may_send(e, now))
    }

    /// Selects the engine of least cost among those that have room for the request and whose rate
    /// limits let this box send it.
    #[must_use]
    pub fn choose_with_room<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let engine = demand.engine?;
        let has_room = |e: &Endpoint| {
            let usage = fleet.usage(e, now);
            Room::new(e.spec.slots, engine, usage).admits(demand.memory)
        };
        self.choose_among(fleet, demand, now, |e| {
            fleet.may_send(e, now) && has_room(e)
        })
    }

    /// Selects the endpoint of least cost whether or not this box holds a permit for it.
    #[must_use]
    pub fn choose_ignoring_permits<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        self.choose_among(fleet, demand, now, |e| fleet.is_open(e, now))
    }

    fn choose_among<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
        may_send: impl Fn(&Endpoint) -> bool,
    ) -> Option<&'a Endpoint> {
        let context = CostContext::new(fleet, demand, now);
        let eligible = fleet
            .of_service(demand.service)
            .filter(|e| may_send(e) && !demand.was_tried(e))
            .filter(|e| demand.rules.admits(e))
            .filter(|e| demand.trust == Trust::Any || is_sound(fleet, e, now))
            .filter(|e| !fleet.is_unreachable(e, now));
        let compared = self.compared(&context, eligible).into_iter();
        let costs = compared.map(|(rank, e)| (rank + self.cost(&context, e), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, endpoint)| endpoint)
    }

    /// Selects the host of a mirror, preferably in another failure domain than the attempt's
    /// endpoint (`primary`), among the endpoints of its version that `has_room` accepts. Excludes endpoints that are
    /// avoided, suspected, unreachable or tried before, and those that cost [`costs::AVOIDED`] or
    /// more.
    #[must_use]
    pub fn choose_mirror<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        primary: &Endpoint,
        has_room: impl Fn(&Endpoint) -> bool,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let context = CostContext::of_replica(fleet, demand, now);
        let eligible = fleet.of_service(demand.service).filter(|e| {
            fleet.is_open(e, now)
                && e.spec.version == primary.spec.version
                && !e.is_avoided(now)
                && !fleet.is_suspected(e, now)
                && !fleet.is_unreachable(e, now)
                && e.spec.id != primary.spec.id
                && has_room(e)
        });
        let compared = self.compared(&context, eligible).into_iter();
        let costs = compared.map(|(rank, e)| (rank + self.mirror_cost(&context, e, primary), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .filter(|(cost, _)| *cost < costs::AVOIDED)
            .map(|(_, endpoint)| endpoint)
    }

    /// Selects the host of a snapshot among the endpoints that `is_eligible` accepts, other than
    /// `engine`, which runs the attempt, and of its version. Excludes endpoints that cost [`costs::NO_MEMORY`] or more.
    #[must_use]
    pub fn choose_snapshot_host<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        engine: &Endpoint,
        is_eligible: impl Fn(&Endpoint) -> bool,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let context = CostContext::of_replica(fleet, demand, now);
        let others = fleet
            .of_service(demand.service)
            .filter(|e| e.spec.id != engine.spec.id && e.spec.version == engine.spec.version)
            .filter(|e| is_eligible(e));
        let compared = self.compared(&context, others).into_iter();
        let costs = compared.map(|(rank, e)| (rank + self.cost(&context, e), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .filter(|(cost, _)| *cost < costs::NO_MEMORY)
            .map(|(_, endpoint)| endpoint)
    }

    fn mirror_cost(
        &self,
        context: &CostContext<'_>,
        endpoint: &Endpoint,
        primary: &Endpoint,
    ) -> f64 {
        let is_same_domain = endpoint.spec.domain == primary.spec.domain;
        let same_domain = if is_same_domain {
            costs::SAME_DOMAIN_AS_ATTEMPT
        } else {
            0.0
        };
        let tried = context.demand.was_tried(endpoint);
        let tried_before = if tried { costs::AVOIDED } else { 0.0 };
        self.cost(context, endpoint) + same_domain + tried_before
    }

    fn cost(&self, context: &CostContext<'_>, endpoint: &Endpoint) -> f64 {
        let CostContext {
            fleet, demand, now, ..
        } = *context;
        let usage = fleet.usage(endpoint, now);
        let work = match demand.engine {
            Some(engine) => self.engine_work(context, engine, endpoint, usage),
            None => plain_work(context, endpoint, usage),
        };
        let is_remote = endpoint.spec.domain != self.domain;
        let distance = match (is_remote, demand.engine) {
            (false, _) => 0.0,
            (true, Some(_)) => costs::OTHER_DOMAIN_ENGINE,
            (true, None) => costs::OTHER_DOMAIN_PLAIN,
        };
        let shared = if demand.alone && usage.running > 0 {
            costs::NOT_ALONE
        } else {
            0.0
        };
        let cold = if endpoint.is_cold(now) {
            costs::COLD
        } else {
            0.0
        };
        work + distance
            + cold
            + shared
            + context.health_cost(endpoint, usage.running)
            + tie_break(demand, &endpoint.spec.id)
    }

    /// The cost of what runs and waits at an engine: the time until the first event, beyond that of
    /// the request's own prompt at an engine of median speed, and the slowdown of tokens. An engine of
    /// another domain gets no credit for prefilling the prompt faster, because a fast engine would
    /// then draw requests from all domains.
    fn engine_work(
        &self,
        context: &CostContext<'_>,
        engine: EngineSpec,
        endpoint: &Endpoint,
        usage: Usage,
    ) -> f64 {
        let speeds = &context.fleet.speeds;
        let free = engine.kv_tokens.saturating_sub(usage.memory);
        let memory = if free < context.demand.memory.0 {
            costs::NO_MEMORY
        } else {
            0.0
        };
        let rate = speeds.prefill(&endpoint.spec);
        let prompt = if context.prefills {
            let median = speeds.median_prefill(&endpoint.spec.service);
            let prompt = context.demand.prompt.0;
            rate.millis(prompt) - median.millis(prompt)
        } else {
            0.0
        };
        let least = if endpoint.spec.domain == self.domain {
            -costs::OWN_PROMPT
        } else {
            0.0
        };
        rate.millis(usage.prefill)
            + f64::from(usage.running)
                * costs::ENGINE_RUNNING
                * speeds.decode_factor(&endpoint.spec)
            + memory
            + prompt.clamp(least, costs::OWN_PROMPT)
    }

    /// Returns the endpoints that most likely keep the prompt of a request with this key: first
    /// those of the own failure domain, then the others, each by falling rendezvous score. The own
    /// domain comes first because callers usually reconnect to a box of the same domain, and the
    /// former box placed the request at an engine of that domain.
    #[must_use]
    pub fn prompt_candidates<'a>(
        &self,
        fleet: &'a Fleet,
        service: &ServiceId,
        key: u64,
        now: Micros,
    ) -> Vec<&'a Endpoint> {
        let mut found: Vec<&Endpoint> = fleet
            .of_service(service)
            .filter(|e| fleet.is_open(e, now))
            .collect();
        found.sort_by_key(|e| std::cmp::Reverse(rendezvous::score(&e.spec.id, key)));
        let (local, remote): (Vec<_>, Vec<_>) = found
            .into_iter()
            .partition(|e| e.spec.domain == self.domain);
        let local = local.into_iter().take(MAX_LOCAL_PROMPT_CANDIDATES);
        local.chain(remote).take(MAX_PROMPT_CANDIDATES).collect()
    }
}

/// Inputs of the cost function that are the same for all endpoints of one selection.
#[derive(Clone, Copy, Debug)]
struct CostContext<'a> {
    fleet: &'a Fleet,
    demand: Demand<'a>,
    /// Lowest failure shares among the endpoints of the service. [`costs::FAILING`] counts only
    /// what exceeds them.
    lowest_failure_shares: FailureShares,
    /// Whether the endpoint will prefill the prompt; the host of a replica won't.
    prefills: bool,
    now: Micros,
}

impl<'a> CostContext<'a> {
    fn new(fleet: &'a Fleet, demand: Demand<'a>, now: Micros) -> Self {
        Self {
            fleet,
            demand,
            lowest_failure_shares: fleet.lowest_failure_shares(demand.service, now),
            prefills: true,
            now,
        }
    }

    /// The context for the host of a replica.
    fn of_replica(fleet: &'a Fleet, demand: Demand<'a>, now: Micros) -> Self {
        Self {
            prefills: false,
            ..Self::new(fleet, demand, now)
        }
    }

    /// The cost of recent failures, of having no free slot, and of being avoided or suspected.
    fn health_cost(&self, endpoint: &Endpoint, running: u32) -> f64 {
        let shares = endpoint.health.failure_shares(self.now);
        let mut cost = shares.excess_over(self.lowest_failure_shares) * costs::FAILING;
        if running >= endpoint.spec.slots {
            cost += costs::FULL;
        }
        if endpoint.is_avoided(self.now) {
            cost += costs::AVOIDED;
        } else if self.fleet.is_suspected(endpoint, self.now) {
            cost += costs::SUSPECTED;
        }
        cost
    }
}

/// Whether an endpoint is neither suspected nor avoided.
fn is_sound(fleet: &Fleet, endpoint: &Endpoint, now: Micros) -> bool {
    !endpoint.is_avoided(now) && !fleet.is_suspected(endpoint, now)
}

/// The cost of what runs at a server of a plain service, and of its answers taking longer than usual.
fn plain_work(context: &CostContext<'_>, endpoint: &Endpoint, usage: Usage) -> f64 {
    let speeds = &context.fleet.speeds;
    let factor = speeds.answer_factor(&endpoint.spec, context.now);
    let delay = speeds.answer_delay_ms(&endpoint.spec, context.now);
    f64::from(usage.running) * costs::PLAIN_RUNNING * factor + delay.min(costs::SLOW_ANSWER)
}

/// Returns a small cost that depends only on the request key, the endpoint and the kind of service:
/// pseudo-random, and lower for a higher rendezvous score.
fn tie_break(demand: Demand<'_>, endpoint: &EndpointId) -> f64 {
    let score = rendezvous::score(endpoint, demand.key);
    let upper_bound = match demand.engine {
        Some(_) => costs::TIE_BREAK,
        None => costs::TIE_BREAK_PLAIN,
    };
    (1.0 - score as f64 / u64::MAX as f64) * upper_bound
}

//! Where an attempt is made, and which endpoint holds a replica of its KV memory.
//!
//! The rule: of the endpoints of the service that take work, were not tried before and can be
//! reached, the one of least cost. For an engine the cost is the time that the prompts before this
//! one still take to prefill, since prefill is what engines have least of, plus what runs beside
//! it; for a plain service what runs there. Distance, a lack of room and an endpoint's recent health are
//! added. [`costs`] holds the table.
//!
//! Inputs: the fleet as this box believes it now. What other boxes run is up to 10 ms old inside
//! the failure domain; outside it is the older the more boxes there are, since each tells one box
//! of another domain each 300 ms ([`super::gossip`]); what they told is taken to be prefilled
//! meanwhile. Weighed (docs/PLATFORM.md): full accounts to all boxes, engines partitioned among boxes,
//! engines' own reports.

pub mod costs;

use std::time::Duration;

use crate::gateway::dispatch::event::Tokens;
use crate::gateway::dispatch::fleet::health::Failing;
use crate::gateway::dispatch::fleet::usage::PREFILL_TOKENS_PER_MS;
use crate::gateway::dispatch::fleet::{Endpoint, Fleet};
use crate::gateway::dispatch::rollout::VersionRules;
use crate::gateway::dispatch::table::EngineSpec;
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId, EndpointIncarnation, Micros, ServiceId};

/// How long to wait for a connection before another endpoint is better. Over the slowest sound
/// connection of the users' sites (some 3 ms).
pub const ATTEMPT_CONNECT_LIMIT: Duration = Duration::from_millis(120);
/// How many endpoints are asked for a prompt: enough that one of them keeps it as a rule, few
/// enough for a box on a slow link.
const MOST_ASKED: usize = 24;
/// How many of them are of the own failure domain, if that has so many. Tokens found kept on grown
/// sahel trouble-1: 378,000 with all 24 by rank, 513,000 with 18 near ones.
const MOST_ASKED_NEAR: usize = 18;

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
    /// Endpoints where attempts were made before.
    pub tried: &'a [EndpointIncarnation],
    /// What sets endpoints of equal cost apart: the same for each attempt of a request at any box.
    pub key: u64,
    /// Whether it is to run where nothing else does.
    pub alone: bool,
    /// Which endpoints it may use while its service moves to another version.
    pub rules: VersionRules<'a>,
}

impl Demand<'_> {
    /// Whether an attempt was made before at an endpoint, in its present life.
    fn was_tried(&self, endpoint: &Endpoint) -> bool {
        self.tried.iter().any(|life| endpoint.is_incarnation(life))
    }
}

impl Placer {
    /// Chooses the endpoint of least cost, among those to which this box may send a request.
    #[must_use]
    pub fn choose<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        self.choose_among(fleet, demand, now, |e| {
            fleet.limits.may_send(&e.spec.id, now)
        })
    }

    /// Chooses the endpoint of least cost as if this box had permits for all that name a limit.
    #[must_use]
    pub fn choose_with_permits<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        self.choose_among(fleet, demand, now, |_| true)
    }

    fn choose_among<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        now: Micros,
        may_send: impl Fn(&Endpoint) -> bool,
    ) -> Option<&'a Endpoint> {
        let weighing = Weighing::new(fleet, demand, now);
        let costs = fleet
            .of_service(demand.service)
            .filter(|e| e.takes_work() && !demand.was_tried(e))
            .filter(|e| demand.rules.attempts.admits(e))
            .filter(|e| !fleet.is_unreachable(e, now) && may_send(e))
            .map(|e| (self.cost(&weighing, e), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, endpoint)| endpoint)
    }

    /// Chooses the host of a mirror: one of another failure domain if there is one, and none that
    /// is avoided or suspected.
    #[must_use]
    pub fn choose_mirror<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        first: &Endpoint,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let weighing = Weighing::new(fleet, demand, now);
        let costs = fleet
            .of_service(demand.service)
            .filter(|e| {
                e.takes_work()
                    && demand.rules.replicas.admits(e)
                    && !e.is_avoided(now)
                    && !fleet.is_suspected(e, now)
                    && !fleet.is_unreachable(e, now)
                    && e.spec.id != first.spec.id
            })
            .map(|e| (self.mirror_cost(&weighing, e, first), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .filter(|(cost, _)| *cost < costs::AVOIDED)
            .map(|(_, endpoint)| endpoint)
    }

    /// Chooses the host of a snapshot, among those that `stands` takes for sound.
    #[must_use]
    pub fn choose_snapshot_host<'a>(
        &self,
        fleet: &'a Fleet,
        demand: Demand<'_>,
        engine: &Endpoint,
        stands: impl Fn(&Endpoint) -> bool,
        now: Micros,
    ) -> Option<&'a Endpoint> {
        let weighing = Weighing::new(fleet, demand, now);
        let others = fleet
            .of_service(demand.service)
            .filter(|e| e.spec.id != engine.spec.id && demand.rules.replicas.admits(e))
            .filter(|e| stands(e));
        let costs = others.map(|e| (self.cost(&weighing, e), e));
        costs
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .filter(|(cost, _)| *cost < costs::NO_MEMORY)
            .map(|(_, endpoint)| endpoint)
    }

    fn mirror_cost(&self, weighing: &Weighing<'_>, endpoint: &Endpoint, first: &Endpoint) -> f64 {
        let same = endpoint.spec.domain == first.spec.domain;
        let with_first = if same {
            costs::SAME_DOMAIN_AS_ATTEMPT
        } else {
            0.0
        };
        let tried = weighing.demand.was_tried(endpoint);
        let again = if tried { costs::AVOIDED } else { 0.0 };
        self.cost(weighing, endpoint) + with_first + again
    }

    fn cost(&self, weighing: &Weighing<'_>, endpoint: &Endpoint) -> f64 {
        let Weighing {
            fleet, demand, now, ..
        } = *weighing;
        let usage = fleet.usage(endpoint, now);
        let work = match demand.engine {
            Some(engine) => {
                let free = engine.kv_tokens.saturating_sub(usage.memory);
                let memory = if free < demand.memory.0 {
                    costs::NO_MEMORY
                } else {
                    0.0
                };
                f64::from(usage.prefill) / PREFILL_TOKENS_PER_MS
                    + f64::from(usage.running) * costs::ENGINE_RUNNING
                    + memory
            }
            None => f64::from(usage.running) * costs::PLAIN_RUNNING,
        };
        let is_other = endpoint.spec.domain != self.domain;
        let distance = match (is_other, demand.engine) {
            (false, _) => 0.0,
            (true, Some(_)) => costs::OTHER_DOMAIN_ENGINE,
            (true, None) => costs::OTHER_DOMAIN_PLAIN,
        };
        let beside = if demand.alone && usage.running > 0 {
            costs::BESIDE_OTHERS
        } else {
            0.0
        };
        work + distance
            + beside
            + weighing.health_cost(endpoint, usage.running)
            + tie_break(demand, &endpoint.spec.id)
    }

    /// The endpoints that most likely keep the prompt of a request with this key: callers come back
    /// to a box of the same failure domain as a rule, and that placed the request at an engine of
    /// its own.
    #[must_use]
    pub fn likely<'a>(&self, fleet: &'a Fleet, service: &ServiceId, key: u64) -> Vec<&'a Endpoint> {
        let mut found: Vec<&Endpoint> = fleet
            .of_service(service)
            .filter(|e| e.takes_work())
            .collect();
        found.sort_by_key(|e| std::cmp::Reverse(rendezvous::score(&e.spec.id, key)));
        let (near, far): (Vec<_>, Vec<_>) = found
            .into_iter()
            .partition(|e| e.spec.domain == self.domain);
        let near = near.into_iter().take(MOST_ASKED_NEAR);
        near.chain(far).take(MOST_ASKED).collect()
    }
}

/// What endpoints are weighed by.
#[derive(Clone, Copy, Debug)]
struct Weighing<'a> {
    fleet: &'a Fleet,
    demand: Demand<'a>,
    /// The least shares that fail at an endpoint of the service.
    least_failing: Failing,
    now: Micros,
}

impl<'a> Weighing<'a> {
    fn new(fleet: &'a Fleet, demand: Demand<'a>, now: Micros) -> Self {
        Self {
            fleet,
            demand,
            least_failing: fleet.least_failing(demand.service, now),
            now,
        }
    }

    /// What an endpoint costs whatever the request.
    fn health_cost(&self, endpoint: &Endpoint, running: u32) -> f64 {
        let failing = endpoint.health.failing(self.now);
        let mut cost = failing.beyond(self.least_failing) * costs::FAILING;
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

/// Tie-breaking jitter per request and endpoint.
fn tie_break(demand: Demand<'_>, endpoint: &EndpointId) -> f64 {
    let drawn = rendezvous::score(endpoint, demand.key);
    let greatest = match demand.engine {
        Some(_) => costs::TIE_BREAK,
        None => costs::TIE_BREAK_PLAIN,
    };
    (1.0 - drawn as f64 / u64::MAX as f64) * greatest
}

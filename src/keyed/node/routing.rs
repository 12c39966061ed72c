//! Where a request runs: the endpoint of least cost among those that take work now.
//!
//! The cost is the expected time to the request's first token there, in seconds: prefill of the
//! part of the prompt that isn't cached, waiting behind its load, loading an adapter, and crossing
//! to another failure domain.
//!
//! Inputs: the endpoints' load reports, late by a poll or a heartbeat, and the prompt's blocks that
//! they were seen to cache. Weighed and measured (docs/MEASUREMENTS.md, "Routing"): by chance
//! (first token 222 ms at the median instead of 209, 8.2% of prompts from the cache instead of
//! 23.7) and least loaded (221 ms, 10.7%). Both are still settings.
//!
//! The gateway places by other costs, [`crate::gateway::dispatch::placement`]: its engines tell
//! their caches and load only late, so what boxes tell each other counts there.

use std::collections::HashMap;

use rand::Rng;

use crate::keyed::node::endpoints::{EndpointState, Endpoints};
use crate::keyed::settings::Routing;
use crate::schema::{AdapterId, DomainId, EndpointId, Micros};

/// Seconds that crossing to another failure domain counts as.
const REMOTE_SECONDS: f64 = 0.02;
/// Seconds that loading an adapter counts as.
const ADAPTER_SECONDS: f64 = 0.2;
/// Seconds that one running request per slot adds.
const CROWDING_SECONDS: f64 = 0.3;

/// What a request needs of an endpoint.
#[derive(Debug)]
pub struct Need<'a> {
    /// The endpoints that serve it.
    pub candidates: &'a [EndpointId],
    /// Endpoints that must not be chosen.
    pub avoid: &'a [EndpointId],
    /// The adapter, and the endpoints that have it loaded.
    pub adapter: Option<(&'a AdapterId, &'a [EndpointId])>,
    /// Chained hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// Bytes to be read before the first token.
    pub bytes: usize,
    /// The failure domain of this box.
    pub domain: &'a DomainId,
}

/// Chooses an endpoint, or none if no endpoint takes work now.
pub fn choose(
    routing: Routing,
    endpoints: &Endpoints,
    need: &Need<'_>,
    now: Micros,
    rng: &mut impl Rng,
) -> Option<EndpointId> {
    let able: Vec<(&EndpointId, &EndpointState)> = need
        .candidates
        .iter()
        .filter(|id| !need.avoid.contains(id))
        .filter_map(|id| endpoints.get(id).map(|state| (id, state)))
        .filter(|(_, state)| state.takes_work(now))
        .collect();
    let chosen = match routing {
        Routing::Random if able.is_empty() => None,
        Routing::Random => Some(able[rng.random_range(0..able.len())]),
        Routing::LeastLoaded => cheapest(&able, |(_, state)| crowding(state, now)),
        Routing::Cost => {
            let cached = endpoints.prefixes.cached(need.blocks);
            cheapest(&able, |(id, state)| cost(id, state, need, &cached, now))
        }
    };
    chosen.map(|(id, _)| id.clone())
}

type Candidate<'a> = (&'a EndpointId, &'a EndpointState);

fn cheapest<'a>(
    able: &[Candidate<'a>],
    cost: impl Fn(&Candidate<'a>) -> f64,
) -> Option<Candidate<'a>> {
    able.iter()
        .map(|candidate| (cost(candidate), candidate))
        .min_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.0.cmp(y.0)))
        .map(|(_, candidate)| *candidate)
}

fn crowding(state: &EndpointState, now: Micros) -> f64 {
    state.load(now) / f64::from(state.slots.max(1))
}

fn cost(
    id: &EndpointId,
    state: &EndpointState,
    need: &Need<'_>,
    cached: &HashMap<&EndpointId, usize>,
    now: Micros,
) -> f64 {
    let known = cached.get(id).copied().unwrap_or(0).min(need.bytes);
    let prefill = state.prefill(need.bytes - known).as_secs_f64();
    let crowd = crowding(state, now) * CROWDING_SECONDS;
    let remote = if &state.domain == need.domain {
        0.0
    } else {
        REMOTE_SECONDS
    };
    let adapter = match need.adapter {
        Some((_, loaded)) if !loaded.contains(id) => ADAPTER_SECONDS,
        _ => 0.0,
    };
    prefill + crowd + remote + adapter
}

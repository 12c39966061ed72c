//! Which engines are compared for a request: on its first attempt all of the box's own failure
//! domain, else a few, and a few of the other domains.
//!
//! What a box knows of other domains is some hundred milliseconds old, and many boxes decide on the
//! same report. If each compared all engines there, the one that looks best would get the requests
//! of all of them. So each request compares only the engines with the highest rendezvous scores for
//! its key, which differ between requests, and prefers those with the higher scores
//! ([`costs::SAMPLE_RANK`]). A prompt search asks the engines with the highest scores of the same
//! key, so it finds the engine that an earlier placement chose.
//!
//! Engines of the own domain are sampled too for a further attempt of a request: the loss of a domain
//! makes all boxes place hundreds of them within some milliseconds, before any can tell the others.
//!
//! Only engines with room are sampled. All are compared if none has room, if there are no more than
//! a sample, for plain services, and for a request that should run alone at its engine, which
//! rarely occurs and needs an idle one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::{CostContext, Placer, costs};
use crate::gateway::dispatch::fleet::Endpoint;
use crate::rendezvous;

/// Engines that are compared for a request where not all are: of all other failure domains together,
/// and of the own one.
pub const SAMPLE_SIZE: usize = 8;

/// An endpoint to compare, and the cost that its place in the sample adds.
type Compared<'a> = (f64, &'a Endpoint);

impl Placer {
    /// Selects what to compare among the endpoints that a request may be placed at.
    pub(super) fn compared<'a>(
        &self,
        context: &CostContext<'_>,
        eligible: impl Iterator<Item = &'a Endpoint>,
    ) -> Vec<Compared<'a>> {
        let (local, remote): (Vec<_>, Vec<_>) =
            eligible.partition(|e| e.spec.domain == self.domain);
        let mut compared = if context.demand.is_repeat {
            sampled(context, local)
        } else {
            unsampled(local)
        };
        compared.extend(sampled(context, remote));
        compared
    }
}

/// A sample of the endpoints, or all of them where none is taken.
fn sampled<'a>(context: &CostContext<'_>, endpoints: Vec<&'a Endpoint>) -> Vec<Compared<'a>> {
    let demand = context.demand;
    let is_sampled = demand.engine.is_some() && !demand.alone && endpoints.len() > SAMPLE_SIZE;
    let sample = if is_sampled {
        sample(context, &endpoints)
    } else {
        Vec::new()
    };
    if sample.is_empty() {
        unsampled(endpoints)
    } else {
        sample
    }
}

fn unsampled(endpoints: Vec<&Endpoint>) -> Vec<Compared<'_>> {
    endpoints.into_iter().map(|e| (0.0, e)).collect()
}

/// The engines with room that have the highest scores, the highest first.
fn sample<'a>(context: &CostContext<'_>, endpoints: &[&'a Endpoint]) -> Vec<Compared<'a>> {
    let key = context.demand.key;
    let scores = endpoints.iter().enumerate();
    let scores = scores.map(|(at, e)| (rendezvous::score(&e.spec.id, key), Reverse(at)));
    let mut scores: BinaryHeap<_> = scores.collect();
    let by_score = std::iter::from_fn(|| scores.pop().map(|(_, Reverse(at))| endpoints[at]));
    by_score
        .filter(|e| context.has_room(e))
        .take(SAMPLE_SIZE)
        .enumerate()
        .map(|(rank, e)| (rank as f64 * costs::SAMPLE_RANK, e))
        .collect()
}

impl CostContext<'_> {
    /// Whether an engine is sound, and has a free slot and KV memory for the request.
    fn has_room(&self, endpoint: &Endpoint) -> bool {
        let usage = self.fleet.usage(endpoint, self.now);
        let kv_tokens = self.demand.engine.map_or(0, |engine| engine.kv_tokens);
        usage.running < endpoint.spec.slots
            && kv_tokens.saturating_sub(usage.memory) >= self.demand.memory.0
            && !endpoint.is_avoided(self.now)
            && !self.fleet.is_suspected(endpoint, self.now)
    }
}

//! Which engines are compared for a request: all of the box's own failure domain, and a few of the
//! other domains.
//!
//! What a box knows of other domains is some hundred milliseconds old, and many boxes decide on the
//! same report. If each compared all engines there, the one that looks best would get the requests
//! of all of them. So each request compares only the engines with the highest rendezvous scores for
//! its key, which differ between requests, and prefers those with the higher scores
//! ([`costs::SAMPLE_RANK`]). A prompt search asks the engines with the highest scores of the same
//! key, so it finds the engine that an earlier placement chose.
//!
//! Only engines with room are sampled. All are compared if none has room, if there are no more than
//! a sample, for plain services, and for a request that should run alone at its engine, which
//! rarely occurs and needs an idle one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::{CostContext, Placer, costs};
use crate::gateway::dispatch::fleet::Endpoint;
use crate::rendezvous;

/// Engines of all other failure domains together that are compared for a request.
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
        let (mut compared, remote): (Vec<Compared<'_>>, Vec<_>) = eligible
            .map(|e| (0.0, e))
            .partition(|(_, e)| e.spec.domain == self.domain);
        let demand = context.demand;
        let is_sampled = demand.engine.is_some() && !demand.alone && remote.len() > SAMPLE_SIZE;
        let sample = if is_sampled {
            sample(context, &remote)
        } else {
            Vec::new()
        };
        compared.extend(if sample.is_empty() { remote } else { sample });
        compared
    }
}

/// The engines with room that have the highest scores, the highest first.
fn sample<'a>(context: &CostContext<'_>, remote: &[Compared<'a>]) -> Vec<Compared<'a>> {
    let key = context.demand.key;
    let scores = remote.iter().enumerate();
    let scores = scores.map(|(at, (_, e))| (rendezvous::score(&e.spec.id, key), Reverse(at)));
    let mut scores: BinaryHeap<_> = scores.collect();
    let by_score = std::iter::from_fn(|| scores.pop().map(|(_, Reverse(at))| remote[at].1));
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

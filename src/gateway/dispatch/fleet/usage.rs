//! What runs at endpoints: counted from this box's own attempts, and from what peers tell.
//!
//! A peer tells at once what it sent to an engine, and now and then all that it runs. What it told
//! grows old: the prompts are prefilled meanwhile, and after the time of a stream nothing of it
//! counts any more.

use std::time::Duration;

use super::{Endpoint, Fleet};
use crate::schema::{BoxId, EndpointId, EndpointUsage, Micros};

/// Tokens of a prompt that an engine prefills in a millisecond, by the users' site sheets.
pub const PREFILL_TOKENS_PER_MS: f64 = 5.0;
/// How long what a peer told of an engine counts: about as long as a stream takes (3.9 s from the
/// first event on where prompts don't meet, commit 71515c8).
const ENGINE_USAGE: Duration = Duration::from_secs(5);
/// How long what a peer told of a plain service counts: five messages between boxes. Chosen, not
/// measured.
const PLAIN_USAGE: Duration = Duration::from_millis(1_500);

/// What runs at an endpoint, by one box's count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Usage {
    /// Requests that run there.
    pub running: u32,
    /// Tokens of prompts that wait for prefill: those whose first event has not come.
    pub prefill: u32,
    /// Tokens of KV memory that attempts and replicas take or will take.
    pub memory: u32,
}

/// What a peer said that it runs at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct PeerUsage {
    from: BoxId,
    at: Micros,
    usage: Usage,
}

impl PeerUsage {
    /// What is left of it by now, if it still counts.
    fn left(&self, now: Micros) -> Option<Usage> {
        let age = now.since(self.at);
        let is_engine = self.usage.memory > 0;
        let life = if is_engine { ENGINE_USAGE } else { PLAIN_USAGE };
        let read = (age.as_secs_f64() * 1_000.0 * PREFILL_TOKENS_PER_MS) as u32;
        (age < life).then_some(Usage {
            prefill: self.usage.prefill.saturating_sub(read),
            ..self.usage
        })
    }
}

impl Fleet {
    /// Takes in all that a peer runs.
    pub(super) fn on_peer_state(&mut self, from: &BoxId, usage: &[EndpointUsage], now: Micros) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.others.retain(|other| other.from != *from);
        }
        self.on_peer_usage(from, usage, now);
    }

    /// Takes in what a peer runs at some endpoints.
    pub fn on_peer_usage(&mut self, from: &BoxId, usage: &[EndpointUsage], now: Micros) {
        for told in usage {
            let Some(endpoint) = self.endpoints.get_mut(&told.endpoint) else {
                continue;
            };
            endpoint
                .others
                .retain(|other| other.from != *from && other.left(now).is_some());
            endpoint.others.push(PeerUsage {
                from: from.clone(),
                at: now,
                usage: Usage {
                    running: told.running,
                    prefill: told.reading,
                    memory: told.memory,
                },
            });
        }
    }

    /// What runs at an endpoint by the count of all boxes that told of it lately.
    #[must_use]
    pub fn usage(&self, endpoint: &Endpoint, now: Micros) -> Usage {
        let mut total = endpoint.own;
        for other in endpoint.others.iter().filter_map(|other| other.left(now)) {
            total.running += other.running;
            total.prefill += other.prefill;
            total.memory += other.memory;
        }
        total
    }

    /// What this box runs at an endpoint, to be told.
    #[must_use]
    pub fn own_usage(&self, id: &EndpointId) -> Option<EndpointUsage> {
        let endpoint = self.endpoints.get(id)?;
        Some(EndpointUsage {
            endpoint: id.clone(),
            running: endpoint.own.running,
            reading: endpoint.own.prefill,
            memory: endpoint.own.memory,
        })
    }

    /// All that this box runs, to be told.
    #[must_use]
    pub fn all_own_usage(&self) -> Vec<EndpointUsage> {
        let used = self.endpoints.values();
        used.filter(|e| e.own != Usage::default())
            .filter_map(|e| self.own_usage(&e.spec.id))
            .collect()
    }
}

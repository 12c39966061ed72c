//! Which endpoint has which prompt prefix in its cache, as far as this box knows.
//!
//! Cache events come late and with gaps, so a box also reckons with what it has sent itself. What
//! it believes is a hint: a wrong one costs a prefill, never a wrong answer.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::schema::EndpointId;

/// Bytes of prompt that one cache block covers.
pub const BLOCK_BYTES: usize = 64;
/// The most blocks of a prompt that are looked at.
const MOST_BLOCKS: usize = 64;
/// The most blocks that are remembered.
const CAPACITY: usize = 50_000;
/// The most endpoints that are remembered for one block.
const ENDPOINTS_PER_BLOCK: usize = 4;

/// Returns the chained hashes of a prompt's full blocks, the shortest prefix first.
#[must_use]
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MOST_BLOCKS)
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// A bounded record of cached prefixes; the blocks that were learnt first go first.
#[derive(Debug, Default)]
pub struct Prefixes {
    holders: HashMap<u64, Vec<EndpointId>>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Notes that an endpoint has, or soon will have, these blocks.
    pub fn stored(&mut self, endpoint: &EndpointId, blocks: &[u64]) {
        for block in blocks {
            if !self.holders.contains_key(block) {
                self.order.push_back(*block);
            }
            let holders = self.holders.entry(*block).or_default();
            holders.retain(|e| e != endpoint);
            holders.push(endpoint.clone());
            if holders.len() > ENDPOINTS_PER_BLOCK {
                holders.remove(0);
            }
        }
        while self.order.len() > CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    /// Notes that an endpoint no longer has a block.
    pub fn evicted(&mut self, endpoint: &EndpointId, block: u64) {
        if let Some(holders) = self.holders.get_mut(&block) {
            holders.retain(|e| e != endpoint);
        }
    }

    /// Returns, for each endpoint that has any, the bytes of the prompt that it has cached.
    #[must_use]
    pub fn cached(&self, blocks: &[u64]) -> HashMap<&EndpointId, usize> {
        let mut cached = HashMap::new();
        for (place, block) in blocks.iter().enumerate().rev() {
            for endpoint in self.holders.get(block).into_iter().flatten() {
                cached.entry(endpoint).or_insert((place + 1) * BLOCK_BYTES);
            }
        }
        cached
    }
}

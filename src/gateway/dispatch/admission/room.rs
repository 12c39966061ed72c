//! Whether an engine has room for a request: a free slot, and enough free KV memory for the prompt
//! and the output of the request.
//!
//! The load of an engine is what the boxes have reported ([`Usage`]), replicas included, so room is
//! an estimate. An engine that has less room than estimated queues the request or preempts a run.

use crate::gateway::dispatch::event::Tokens;
use crate::gateway::dispatch::fleet::Usage;
use crate::gateway::dispatch::table::EngineSpec;

/// The free capacity of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Room {
    slots: u32,
    memory: Tokens,
}

impl Room {
    /// The capacity that is left at an engine with a number of slots under a load.
    #[must_use]
    pub fn new(slots: u32, engine: EngineSpec, usage: Usage) -> Self {
        Self {
            slots: slots.saturating_sub(usage.running),
            memory: Tokens(engine.kv_tokens.saturating_sub(usage.memory)),
        }
    }

    /// Whether a request that takes this much KV memory can start.
    #[must_use]
    pub fn admits(self, memory: Tokens) -> bool {
        self.slots > 0 && memory <= self.memory
    }
}

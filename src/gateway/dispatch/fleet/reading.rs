//! Whether prompts are prefilled at an engine, which makes the pauses of its streams longer.
//!
//! [`super::usage`] estimates how much is left to prefill, for placement. Here the time until which
//! an engine may prefill what a box reported is kept, at the speed of a slow engine. It stays when
//! the box reports that it is done, since a pause that began before may still continue.

use super::usage::ENGINE_REPORT_LIFETIME;
use super::{Endpoint, Fleet};
use crate::gateway::dispatch::probe_timing::{SLOW_PREFILL, prefill_time};
use crate::schema::Micros;

impl Endpoint {
    /// Applies a peer's report, made at `at`, of the prompt tokens that wait for prefill.
    pub(super) fn on_reported_prefill(&mut self, tokens: u32, at: Micros) {
        let time = prefill_time(tokens).mul_f64(SLOW_PREFILL);
        let until = at.after(time.min(ENGINE_REPORT_LIFETIME));
        self.reads_until = self.reads_until.max(until);
    }
}

impl Fleet {
    /// Whether prompts are or may be prefilled at an engine, as far as this box knows.
    #[must_use]
    pub fn reads_prompts(&self, endpoint: &Endpoint, now: Micros) -> bool {
        endpoint.own.prefill > 0 || now < endpoint.reads_until
    }
}

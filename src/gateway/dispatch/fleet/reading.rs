//! Whether prompts are prefilled at an engine, which makes the pauses of its streams longer.
//!
//! [`super::usage`] estimates how much is left to prefill, for placement. Here the time until which
//! an engine may prefill what a box reported is kept, at the speed of a slow engine. It stays when
//! the box reports that it is done, since a pause that began before may still continue. A long pause
//! between two events of a stream of this box shows prompts of boxes that report nothing here.

use std::time::Duration;

use super::usage::ENGINE_REPORT_LIFETIME;
use super::{Endpoint, Fleet};
use crate::gateway::dispatch::probe_timing::{SILENCE_LIMIT, SLOW_PREFILL, prefill_time};
use crate::schema::Micros;

/// Pause between two events from which on prompts are prefilled at the engine. Without that, an
/// event of 8 tokens takes 48 ms, and 70 ms at an engine of 0.7 times the usual speed.
const PREFILL_PAUSE: Duration = Duration::from_millis(100);

impl Endpoint {
    /// Applies a peer's report, made at `at`, of the prompt tokens that wait for prefill.
    pub(super) fn on_reported_prefill(&mut self, tokens: u32, at: Micros) {
        let time = prefill_time(tokens).mul_f64(SLOW_PREFILL);
        let until = at.after(time.min(ENGINE_REPORT_LIFETIME));
        self.reads_until = self.reads_until.max(until);
    }

    /// Applies the pause between two events of an attempt of this box, the second one at `now`.
    pub fn on_event_pause(&mut self, pause: Duration, now: Micros) {
        if pause >= PREFILL_PAUSE {
            // The next pause may be as long, up to the time after which the engine is left.
            self.reads_until = self.reads_until.max(now.after(SILENCE_LIMIT));
        }
    }
}

impl Fleet {
    /// Whether prompts are or may be prefilled at an engine, as far as this box knows.
    #[must_use]
    pub fn reads_prompts(&self, endpoint: &Endpoint, now: Micros) -> bool {
        endpoint.own.prefill > 0 || now < endpoint.reads_until
    }
}

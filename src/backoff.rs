//! Pauses that grow with each failure in a row, with jitter so that boxes don't ask in step.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

/// How pauses grow.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The pause after the first failure.
    pub first: Duration,
    /// The longest pause, before jitter.
    pub longest: Duration,
    /// Failures after which a pause grows no more.
    pub max_doublings: u32,
    /// What a pause is multiplied with, drawn evenly.
    pub jitter: Range<f64>,
}

impl Backoff {
    /// The pause after a failure that came after `earlier` others in a row.
    pub fn pause(&self, earlier: u32, rng: &mut impl Rng) -> Duration {
        doubled(self.first, earlier, self.max_doublings)
            .min(self.longest)
            .mul_f64(rng.random_range(self.jitter.clone()))
    }
}

/// A time that doubles with each failure in a row, up to `max_doublings` times.
#[must_use]
pub fn doubled(first: Duration, failures: u32, max_doublings: u32) -> Duration {
    first * 2_u32.pow(failures.min(max_doublings))
}

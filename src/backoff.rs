//! Exponential backoff: the delay doubles with each consecutive failure. Jitter keeps boxes from
//! retrying at the same time.

use std::ops::Range;
use std::time::Duration;

use rand::Rng;

/// Parameters of an exponential backoff.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The delay after the first failure, before jitter.
    pub first: Duration,
    /// The upper bound of the delay, before jitter.
    pub longest: Duration,
    /// The number of doublings after which the delay stays constant.
    pub max_doublings: u32,
    /// The factor on the delay, drawn uniformly from this range.
    pub jitter: Range<f64>,
}

impl Backoff {
    /// Returns the delay after a failure that follows `earlier` consecutive failures.
    pub fn pause(&self, earlier: u32, rng: &mut impl Rng) -> Duration {
        doubled(self.first, earlier, self.max_doublings)
            .min(self.longest)
            .mul_f64(rng.random_range(self.jitter.clone()))
    }
}

/// Returns `first`, doubled once per consecutive failure but at most `max_doublings` times.
#[must_use]
pub fn doubled(first: Duration, failures: u32, max_doublings: u32) -> Duration {
    first * 2_u32.pow(failures.min(max_doublings))
}

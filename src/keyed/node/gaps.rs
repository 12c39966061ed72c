//! Measures an endpoint's usual times: between tokens, and to the first token.
//!
//! Two windows take turns, so that the figures follow an endpoint whose speed changes.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Samples after which the older window is dropped.
const WINDOW: u64 = 2_000;
/// Samples that a window needs before its quantiles are used.
const ENOUGH: u64 = 30;
/// The longest time that is told apart, in microseconds.
const LONGEST: u64 = 120_000_000;
/// Significant decimal digits that are kept.
const DIGITS: u8 = 2;

/// A sliding record of times.
#[derive(Debug)]
pub struct Gaps {
    current: Histogram<u32>,
    previous: Option<Histogram<u32>>,
}

impl Default for Gaps {
    fn default() -> Self {
        Self {
            current: empty(),
            previous: None,
        }
    }
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("constant bounds are valid")
}

impl Gaps {
    /// Adds a time.
    pub fn record(&mut self, gap: Duration) {
        let micros = u64::try_from(gap.as_micros()).unwrap_or(LONGEST);
        self.current.saturating_record(micros.max(1));
        if self.current.len() >= WINDOW {
            self.previous = Some(std::mem::replace(&mut self.current, empty()));
        }
    }

    /// Returns a quantile, or `None` while there are too few samples.
    #[must_use]
    pub fn quantile(&self, q: f64) -> Option<Duration> {
        let windows = [Some(&self.current), self.previous.as_ref()];
        windows
            .into_iter()
            .flatten()
            .filter(|w| w.len() >= ENOUGH)
            .map(|w| Duration::from_micros(w.value_at_quantile(q)))
            .max()
    }
}

//! Estimates the duration of a stream from recent ones. A box that is stopping hands streams back that
//! would not finish within its grace period ([`super::stopping`]).

use std::time::Duration;

/// Estimate before the first stream has finished. An undisturbed stream takes 5.2 s at the users'
/// sites.
const INITIAL_ESTIMATE: Duration = Duration::from_secs(5);
/// A shorter stream lowers the estimate by the difference divided by this, so the estimate stays near
/// the longest of about the last ten streams.
const DECAY_DIVISOR: u32 = 10;

/// Estimate of a duration within which nearly every stream finishes.
#[derive(Clone, Copy, Debug)]
pub struct StreamTime {
    expected: Duration,
}

impl Default for StreamTime {
    fn default() -> Self {
        Self {
            expected: INITIAL_ESTIMATE,
        }
    }
}

impl StreamTime {
    /// Updates the estimate with the time from the arrival to the end of a complete stream.
    pub fn on_answered(&mut self, took: Duration) {
        let shorter_by = self.expected.saturating_sub(took);
        let lowered = self.expected.saturating_sub(shorter_by / DECAY_DIVISOR);
        self.expected = took.max(lowered);
    }

    /// Returns the expected duration of the next stream.
    #[must_use]
    pub fn expected(self) -> Duration {
        self.expected
    }
}

//! How long streams take, as this box has seen lately: a stop must leave them that time.

use std::time::Duration;

/// What a stream is taken to need before this box has seen any. Chosen by the users' sites, where
/// an undisturbed one takes 5.2 s.
const FIRST_GUESS: Duration = Duration::from_secs(5);
/// One over the part by which a shorter stream draws the expected time towards its own, so that it
/// stays near the longest of the last ten or so.
const FORGETTING: u32 = 10;

/// The time that nearly every stream needs.
#[derive(Clone, Copy, Debug)]
pub struct StreamTime {
    expected: Duration,
}

impl Default for StreamTime {
    fn default() -> Self {
        Self {
            expected: FIRST_GUESS,
        }
    }
}

impl StreamTime {
    /// Notes a stream that was answered whole, from its arrival to its end.
    pub fn on_answered(&mut self, took: Duration) {
        let shorter_by = self.expected.saturating_sub(took);
        let drawn_down = self.expected.saturating_sub(shorter_by / FORGETTING);
        self.expected = took.max(drawn_down);
    }

    /// What to expect of the next one.
    #[must_use]
    pub fn expected(self) -> Duration {
        self.expected
    }
}
